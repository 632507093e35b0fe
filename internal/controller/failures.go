package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
)

// Tasks fail because their machine is faulty, or because their job has a fault and fails on every machine. The two
// cases are distinguished as follows: a job that fails on several machines is itself at fault; a machine is faulty if
// several jobs fail on it, or if a job fails on it that completes tasks on other machines. When failures were counted
// per task, a single faulty job caused the release of good machines, and other machines got no tasks for 100 leases
// (inc-5ccc).

// failureTracker distinguishes faulty machines from jobs that fail on every machine, and delays failing jobs.
//
// It has no state of its own: a job's failures are stored in the Job, and the evidence against a machine in the
// Machine.
type failureTracker struct {
	catalog *machineCatalog
	env     *environment
	state   *clusterstate.State
	views   *schedulerViews
}

// maxRetryDoublings bounds how often the retry delay of a failing job is doubled.
const maxRetryDoublings = 8

// onTaskError handles a task that exited with an error. a is nil if the cluster state lacks the attempt.
func (f *failureTracker) onTaskError(m *clusterstate.Machine, j *clusterstate.Job, a *clusterstate.Attempt, key clusterstate.AttemptKey) {
	if a != nil && j.Spec.Service && f.env.now > a.AddedAt+seconds(f.catalog.longestBootS()) {
		f.recordTaskSuccess(j, nil) // a service task that ran for longer than the longest boot counts as a success
	}
	f.env.log.Debug("task failed", "task", key.Task, "attempt", key.Attempt, "machine", m.ID)
	if j.Failures.Backoffs == 0 || a != nil && a.AddedAt > j.Failures.LastBackoffAt {
		f.backOffJob(j)
	}
	switch {
	case j.Failures.RecordFailure(m.ID, f.env.now):
		f.env.log.Info("job failing on every machine tried", "job", j.Spec.UID, "class", j.Spec.Class, "team", j.Spec.Team, "machines", len(j.Failures.Machines))
		f.withdrawFailures(j)
	case j.Failures.IsJobFault:
		// The failure is the job's own fault and no evidence against the machine.
	case m.Faults.AddSuspect(j.Spec.UID):
		f.logFaultyMachine(m)
	}
}

// recordTaskSuccess records that a task of the job has succeeded on the machine; m is nil if the success is not
// attributed to a machine. The success confirms the suspicion against the other machines on which tasks of the job
// failed.
func (f *failureTracker) recordTaskSuccess(j *clusterstate.Job, m *clusterstate.Machine) {
	if m != nil {
		m.Faults.Clear()
	}
	if j.Failures.Backoffs == 0 {
		return
	}
	if j.Failures.IsJobFault {
		f.env.log.Info("job no longer failing", "job", j.Spec.UID)
	}
	for id := range j.Failures.Machines {
		otherMachine := f.state.Machines[id]
		if otherMachine == nil || otherMachine == m {
			continue
		}
		switch {
		case otherMachine.Faults.ConfirmSuspect(j.Spec.UID):
			f.logFaultyMachine(otherMachine)
		case otherMachine.Faults.ConfirmedJobs > 0:
			otherMachine.Quarantine(clusterstate.QuarantineFailureConfirmed, f.env.now+f.env.cfg.WorkerLease())
		}
	}
	j.Failures = clusterstate.JobFailures{}
}

// withdrawFailures removes a job's failures from the evidence against the machines.
func (f *failureTracker) withdrawFailures(j *clusterstate.Job) {
	for id := range j.Failures.Machines {
		if m := f.state.Machines[id]; m != nil {
			m.Faults.RemoveSuspect(j.Spec.UID)
		}
	}
}

// logFaultyMachine logs that a machine is quarantined: it gets no more tasks, and is released once it is idle.
func (f *failureTracker) logFaultyMachine(m *clusterstate.Machine) {
	f.env.log.Info("machine quarantined", "machine", m.ID, "type", m.Type, "zone", m.Zone, "failed_jobs", len(m.Faults.SuspectJobs)+m.Faults.ConfirmedJobs)
}

// backOffJob delays a failing job, and counts the delay as attained service. Otherwise a job whose tasks fail
// immediately would keep the highest rank indefinitely.
func (f *failureTracker) backOffJob(j *clusterstate.Job) {
	j.Failures.Backoffs++
	j.Failures.LastBackoffAt = f.env.now
	delay := f.retryDelay(j)
	j.NotBefore = max(j.NotBefore, f.env.now+delay)
	j.Scale.Attained += delay.Seconds() * capacityShare(j, f.views.readyCapacity())
}

// retryDelay is the delay before a failing job starts tasks again. It is a heartbeat interval after the first back-off
// and doubles with each further one. It is at most a worker lease, because a job that waits longer while resources are
// free counts as stuck. For a job that fails on every machine it may be as long as the cancellation timeout.
func (f *failureTracker) retryDelay(j *clusterstate.Job) time.Duration {
	maxDelay := f.env.cfg.WorkerLease()
	if j.Failures.IsJobFault {
		maxDelay = max(maxDelay, f.env.cfg.CancelTimeout())
	}
	delay := f.env.cfg.WorkerHeartbeatInterval() << min(max(j.Failures.Backoffs-1, 0), maxRetryDoublings)
	return min(delay, maxDelay)
}

// recordProbingStart records the start of a task of a job that may start only one task at a time because of its
// failures. The next start is delayed until the outcome of this task is likely to be known.
func (f *failureTracker) recordProbingStart(j *clusterstate.Job) {
	if j.Failures.IsProbing() && j.Gang == nil {
		j.NotBefore = max(j.NotBefore, f.env.now+f.retryDelay(j))
	}
}
