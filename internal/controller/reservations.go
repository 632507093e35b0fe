package controller

import (
	"time"

	"claybarrow/internal/scheduler"
)

// reservation reserves a machine for the job for which tasks on it were preempted, until the reserved number of the
// job's tasks have started there or the reservation expires. Without it the freed capacity would go to other jobs, and
// each round would preempt tasks for the same job again.
type reservation struct {
	jobID     string
	tasks     int           // tasks of the job that have yet to start on the machine
	expiresAt time.Duration // when the reservation expires, on the monotonic clock
}

// reserve reserves machines for the jobs for which a round has preempted tasks. A reservation expires one worker lease
// after the time that the preempted tasks may take to stop (stopTimes, by job id).
func (t *taskScheduler) reserve(reserved []scheduler.Reservation, stopTimes map[string]time.Duration) {
	for _, added := range reserved {
		r := t.reservations[added.Machine.ID]
		r.jobID = added.Job.ID
		r.expiresAt = t.env.now + t.env.cfg.WorkerLease() + stopTimes[added.Job.ID]
		r.tasks += added.Tasks
		t.reservations[added.Machine.ID] = r
	}
}

// consumeReservation subtracts a task that starts on a machine from the machine's reservation if the machine is
// reserved for the task's job.
func (t *taskScheduler) consumeReservation(machineID, jobID string) {
	r := t.reservations[machineID]
	if r.jobID != jobID {
		return
	}
	if r.tasks--; r.tasks > 0 {
		t.reservations[machineID] = r
	} else {
		delete(t.reservations, machineID)
	}
}

// activeReservations counts the reserved tasks by job id, and drops the reservations that have expired or whose job
// or machine no longer exists.
func (t *taskScheduler) activeReservations() map[string]int {
	reservedTasks := map[string]int{}
	for machineID, r := range t.reservations {
		if j := t.state.Jobs[r.jobID]; j == nil || j.Cancelling || t.env.now >= r.expiresAt || t.state.Machines[machineID] == nil {
			delete(t.reservations, machineID)
		} else {
			reservedTasks[r.jobID] += r.tasks
		}
	}
	return reservedTasks
}

// dropReservations drops all reservations of a job.
func (t *taskScheduler) dropReservations(jobID string) {
	for machineID, r := range t.reservations {
		if r.jobID == jobID {
			delete(t.reservations, machineID)
		}
	}
}
