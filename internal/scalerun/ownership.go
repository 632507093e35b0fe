package scalerun

import (
	"time"

	"claybarrow/internal/emulator"
)

// ownership counts which controller serves each machine and which leader owns each job, and how often
// that changes. A machine is owned by the controller whose answer it took last; a job by the fencing
// token under which a task of it was started last, which is part of the attempt's number.
type ownership struct {
	machines map[string]*owned
	jobs     map[string]*owned
}

// owned is a machine or a job with its owner.
type owned struct {
	owner     uint64 // a controller's number, or a fencing token
	changes   int
	changedAt time.Duration
}

// Ownership counts the changes of owners in the measured part of a run.
type Ownership struct {
	Machines        int `json:"machines"`         // that took a controller's answer
	MachineMoves    int `json:"machine_moves"`    // to another controller
	MaxMoves        int `json:"most_moves"`       // of the machine that changed its controller most often
	Jobs            int `json:"jobs"`             // with a task that was started
	JobHandovers    int `json:"job_handovers"`    // to a later token
	JobsOwnedTwice  int `json:"jobs_owned_twice"` // started under an earlier token after a later one
	JobsOrphaned    int `json:"jobs_orphaned"`    // not finished, and no question about them was answered at the end
	SessionsExpired int `json:"sessions_expired"` // of machines that are up
}

// attemptBlockBits is how many low bits of an attempt's number count the attempts under one fencing
// token; the bits above are the token.
const attemptBlockBits = 24

func newOwnership() *ownership {
	return &ownership{machines: map[string]*owned{}, jobs: map[string]*owned{}}
}

// workerAnswered records that a machine took a controller's answer.
func (o *ownership) workerAnswered(machine string, controller int, now time.Duration) {
	o.recordOwner(o.machines, machine, uint64(controller), now)
}

// recordOwner sets an owner, and counts it if it differs from the one before.
func (o *ownership) recordOwner(table map[string]*owned, key string, owner uint64, now time.Duration) {
	switch e := table[key]; {
	case e == nil:
		table[key] = &owned{owner: owner, changedAt: now}
	case e.owner != owner:
		e.owner, e.changedAt = owner, now
		e.changes++
	}
}

// taskStarted records the start of a job's task. It returns whether a later leader had started tasks of
// the job before: then two leaders own the job.
func (o *ownership) taskStarted(uid string, try uint64, now time.Duration) (twice bool) {
	token := try >> attemptBlockBits
	if e := o.jobs[uid]; e != nil && token < e.owner {
		return true
	}
	o.recordOwner(o.jobs, uid, token, now)
	return false
}

// reset begins the measured part: the owners stay, the counts start from 0.
func (o *ownership) reset() {
	for _, table := range []map[string]*owned{o.machines, o.jobs} {
		for _, e := range table {
			e.changes = 0
		}
	}
}

// totals sums up the counts of all machines and jobs.
func (o *ownership) totals() Ownership {
	out := Ownership{Machines: len(o.machines), Jobs: len(o.jobs)}
	for _, e := range o.machines {
		out.MachineMoves += e.changes
		out.MaxMoves = max(out.MaxMoves, e.changes)
	}
	for _, e := range o.jobs {
		out.JobHandovers += e.changes
	}
	return out
}

// expiredSessions counts the machines that are up and whose lease has expired at least once.
func expiredSessions(fleet *emulator.Fleet) int {
	n := 0
	for _, worker := range fleet.Workers {
		if worker.Up && worker.Epoch > 1 {
			n++
		}
	}
	return n
}
