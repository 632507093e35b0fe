package scalerun

import (
	"time"

	"claybarrow/internal/emulator"
)

// ownership counts who serves each machine and who owns each job, and how often that changed.
// A machine's owner is the controller whose answer it took last; a job's is the token under which a
// task of it was started last, as the attempt's number tells.
type ownership struct {
	machines map[string]*owned
	jobs     map[string]*owned
}

// owned is a machine or a job with its owner.
type owned struct {
	owner     uint64 // a controller's number, or a token's block of attempts
	changes   int
	changedAt time.Duration
}

// Ownership is what a run counted of it in the measured part.
type Ownership struct {
	Machines        int `json:"machines"`         // that took an answer
	MachineMoves    int `json:"machine_moves"`    // changes of their controllers
	MostMoves       int `json:"most_moves"`       // of one machine
	Jobs            int `json:"jobs"`             // of which a task was started
	JobHandovers    int `json:"job_handovers"`    // to a later token
	JobsOwnedTwice  int `json:"jobs_owned_twice"` // started under an earlier token after a later one
	JobsOrphaned    int `json:"jobs_orphaned"`    // not over, and nobody answers for them at the end
	SessionsExpired int `json:"sessions_expired"` // of machines that lived on
}

// attemptBlockBits is how many low bits of an attempt's number count within a token.
const attemptBlockBits = 24

func newOwnership() *ownership {
	return &ownership{machines: map[string]*owned{}, jobs: map[string]*owned{}}
}

// workerAnswered notes that a machine took a controller's answer.
func (o *ownership) workerAnswered(machine string, controller int, now time.Duration) {
	o.recordOwner(o.machines, machine, uint64(controller), now)
}

func (o *ownership) recordOwner(table map[string]*owned, key string, owner uint64, now time.Duration) {
	switch e := table[key]; {
	case e == nil:
		table[key] = &owned{owner: owner, changedAt: now}
	case e.owner != owner:
		e.owner, e.changedAt = owner, now
		e.changes++
	}
}

// taskStarted notes the start of a job's task. It returns whether a later leader had started some before:
// then two of them take the job for theirs.
func (o *ownership) taskStarted(uid string, try uint64, now time.Duration) (twice bool) {
	token := try >> attemptBlockBits
	if e := o.jobs[uid]; e != nil && token < e.owner {
		return true
	}
	o.recordOwner(o.jobs, uid, token, now)
	return false
}

// reset begins the measured part: owners stay, changes are counted anew.
func (o *ownership) reset() {
	for _, table := range []map[string]*owned{o.machines, o.jobs} {
		for _, e := range table {
			e.changes = 0
		}
	}
}

// totals adds up what was counted.
func (o *ownership) totals() Ownership {
	out := Ownership{Machines: len(o.machines), Jobs: len(o.jobs)}
	for _, e := range o.machines {
		out.MachineMoves += e.changes
		out.MostMoves = max(out.MostMoves, e.changes)
	}
	for _, e := range o.jobs {
		out.JobHandovers += e.changes
	}
	return out
}

// orphanTimeout is how long a job may go unanswered at a run's end while most others are answered:
// four of its user's questions.
const orphanTimeout = 4 * pollInterval

// checkOrphanedJobs finds jobs that are not over and that nobody answers for, and ends the run with the
// first. Where nobody is answered at all the region is down, which is no orphan.
func (r *region) checkOrphanedJobs() int {
	now := r.loop.queue.Now()
	var orphan *job
	orphans, answered := 0, 0
	for _, j := range r.invariants.jobs {
		switch {
		case j.acceptedAt == 0 || j.finished():
		case now > max(j.answeredAt, j.acceptedAt)+orphanTimeout:
			orphan = j
			orphans++
		default:
			answered++
		}
	}
	if orphan == nil || answered <= orphans {
		return 0
	}
	r.invariants.violate(orphan, "orphaned", "nobody answers for %s and %d others", orphan.uid, orphans-1)
	return orphans
}

// expiredSessions counts the machines whose lease ran out though they live.
func expiredSessions(fleet *emulator.Fleet) int {
	n := 0
	for _, worker := range fleet.Workers {
		if worker.Up && worker.Session > 1 {
			n++
		}
	}
	return n
}
