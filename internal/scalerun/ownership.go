package scalerun

import (
	"time"

	"claybarrow/internal/emulator"
)

// ownership tracks which controller serves each machine and which leader owns each job, and counts the changes. The
// owner of a machine is the controller that last answered its heartbeat. The owner of a job is the fencing token under
// which one of its tasks last started; the token is part of the attempt number.
type ownership struct {
	machines map[string]*ownerRecord
	jobs     map[string]*ownerRecord
}

// ownerRecord records the owner of a machine or a job.
type ownerRecord struct {
	owner     uint64 // a controller's index or a fencing token
	changes   int
	changedAt time.Duration
}

// Ownership reports the owner changes in the measured phase of a run.
type Ownership struct {
	Machines        int `json:"machines"`         // machines with at least one answered heartbeat
	MachineMoves    int `json:"machine_moves"`    // changes of a machine's controller
	MaxMachineMoves int `json:"most_moves"`       // largest number of changes for a single machine
	Jobs            int `json:"jobs"`             // jobs with at least one started task
	JobHandovers    int `json:"job_handovers"`    // changes to a later fencing token
	JobsOwnedTwice  int `json:"jobs_owned_twice"` // task starts under an earlier token after a start under a later one
	JobsOrphaned    int `json:"jobs_orphaned"`    // unfinished jobs whose requests went unanswered at the end of the run
	SessionsExpired int `json:"sessions_expired"` // running machines whose lease has expired at least once
}

// attemptBlockBits is the number of low bits of an attempt number that count the attempts under one fencing token. The
// higher bits are the token.
const attemptBlockBits = 24

func newOwnership() *ownership {
	return &ownership{machines: map[string]*ownerRecord{}, jobs: map[string]*ownerRecord{}}
}

// workerAnswered records that a controller answered a machine's heartbeat.
func (o *ownership) workerAnswered(machine string, controller int, now time.Duration) {
	o.recordOwner(o.machines, machine, uint64(controller), now)
}

// recordOwner sets the owner of key and counts a change if the previous owner differs.
func (o *ownership) recordOwner(records map[string]*ownerRecord, key string, owner uint64, now time.Duration) {
	switch record := records[key]; {
	case record == nil:
		records[key] = &ownerRecord{owner: owner, changedAt: now}
	case record.owner != owner:
		record.owner, record.changedAt = owner, now
		record.changes++
	}
}

// taskStarted records the start of a job's task. It returns true if a leader with a later fencing token has already
// started tasks of the job, which means that two leaders own the job.
func (o *ownership) taskStarted(uid string, attempt uint64, now time.Duration) (ownedTwice bool) {
	token := attempt >> attemptBlockBits
	if record := o.jobs[uid]; record != nil && token < record.owner {
		return true
	}
	o.recordOwner(o.jobs, uid, token, now)
	return false
}

// reset clears the counts for the measured phase and keeps the owners.
func (o *ownership) reset() {
	for _, records := range []map[string]*ownerRecord{o.machines, o.jobs} {
		for _, record := range records {
			record.changes = 0
		}
	}
}

// totals returns the sums over all machines and jobs.
func (o *ownership) totals() Ownership {
	sums := Ownership{Machines: len(o.machines), Jobs: len(o.jobs)}
	for _, record := range o.machines {
		sums.MachineMoves += record.changes
		sums.MaxMachineMoves = max(sums.MaxMachineMoves, record.changes)
	}
	for _, record := range o.jobs {
		sums.JobHandovers += record.changes
	}
	return sums
}

// expiredSessions counts the running machines whose lease has expired at least once.
func expiredSessions(fleet *emulator.Fleet) int {
	n := 0
	for _, worker := range fleet.Workers {
		if worker.Up && worker.Epoch > 1 {
			n++
		}
	}
	return n
}
