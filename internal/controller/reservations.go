package controller

import (
	"time"

	"claybarrow/internal/scheduler"
)

// reservation keeps a machine for the job that tasks there were preempted for, until as many of the job's
// tasks have started on it, or until its time is over. Without it the freed room would go to others, and
// each round would preempt for the job anew.
type reservation struct {
	job   string // id
	tasks int
	until time.Duration
}

// reserve keeps machines for the jobs that a round has preempted tasks for: until the preempted tasks have had
// the time that they may take to stop (stopTimes, by job), and for a worker's lease longer.
func (t *taskScheduler) reserve(reserved []scheduler.Reservation, stopTimes map[string]time.Duration) {
	for _, added := range reserved {
		r := t.reservations[added.Machine.ID]
		r.job = added.Job.ID
		r.until = t.env.now + t.env.cfg.WorkerLease() + stopTimes[added.Job.ID]
		r.tasks += added.Tasks
		t.reservations[added.Machine.ID] = r
	}
}

// useReservation counts one task of a job that starts on a machine against the machine's reservation, if that is
// the job's.
func (t *taskScheduler) useReservation(machineID, jobID string) {
	r := t.reservations[machineID]
	if r.job != jobID {
		return
	}
	if r.tasks--; r.tasks > 0 {
		t.reservations[machineID] = r
	} else {
		delete(t.reservations, machineID)
	}
}

// activeReservations counts the tasks that machines are kept for, by job id, and drops the reservations that are
// over: their time has passed, or their job or machine has ended.
func (t *taskScheduler) activeReservations() map[string]int {
	reservedTasks := map[string]int{}
	for machineID, r := range t.reservations {
		if j := t.state.Jobs[r.job]; j == nil || j.Cancelling || t.env.now >= r.until || t.state.Machines[machineID] == nil {
			delete(t.reservations, machineID)
		} else {
			reservedTasks[r.job] += r.tasks
		}
	}
	return reservedTasks
}

// dropReservations ends all reservations of a job.
func (t *taskScheduler) dropReservations(jobID string) {
	for machineID, r := range t.reservations {
		if r.job == jobID {
			delete(t.reservations, machineID)
		}
	}
}
