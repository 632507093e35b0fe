package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
)

// Tasks fail because their machine is faulty, or because their job was submitted with a mistake and fails
// everywhere. What tells the two apart is evidence: a job that fails on several machines is at fault itself; a
// machine where several jobs fail, or where a job fails that completes its tasks elsewhere, is faulty. When the
// failures were counted by tasks, one job with a mistake had good machines released, and others given no work for
// 100 leases (inc-5ccc).

// failureTracker tells faulty machines from jobs that fail everywhere, and delays failing jobs.
//
// It has no state of its own: a job's failures are kept with the job, and the evidence against a machine with the
// machine.
type failureTracker struct {
	catalog *machineCatalog
	env     *environment
	state   *clusterstate.State
	views   *schedulerViews
}

// maxRetryDoublings bounds the doublings of the delay of a failing job.
const maxRetryDoublings = 8

// onTaskError handles a task that exited with an error. The attempt is nil if the cluster state does not have it.
func (f *failureTracker) onTaskError(m *clusterstate.Machine, j *clusterstate.Job, a *clusterstate.Attempt, key clusterstate.AttemptKey) {
	if a != nil && j.Spec.Service && f.env.now > a.AddedAt+seconds(f.catalog.longestBootS()) {
		f.noteTaskSuccess(j, nil) // a service's task that ran for that long had succeeded
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
		// The job's own fault, which says nothing of the machine.
	case m.Faults.AddSuspect(j.Spec.UID):
		f.logFaultyMachine(m)
	}
}

// noteTaskSuccess notes that a task of the job has succeeded, on a machine unless that is nil. The job's failures
// then confirm the suspicion against the other machines where it failed.
func (f *failureTracker) noteTaskSuccess(j *clusterstate.Job, m *clusterstate.Machine) {
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
		other := f.state.Machines[id]
		if other == nil || other == m {
			continue
		}
		switch {
		case other.Faults.ConfirmSuspect(j.Spec.UID):
			f.logFaultyMachine(other)
		case other.Faults.ConfirmedJobs > 0:
			other.QuarantinedUntil = max(other.QuarantinedUntil, f.env.now+f.env.cfg.WorkerLease())
		}
	}
	j.Failures = clusterstate.JobFailures{}
}

// withdrawFailures withdraws the evidence that a job's failures were against the machines.
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

// backOffJob delays a failing job, and counts the delay as attained service: otherwise a job whose tasks fail at
// once would keep the top rank for ever.
func (f *failureTracker) backOffJob(j *clusterstate.Job) {
	j.Failures.Backoffs++
	j.Failures.LastBackoffAt = f.env.now
	delay := f.retryDelay(j)
	j.NotBefore = max(j.NotBefore, f.env.now+delay)
	j.Scale.Attained += delay.Seconds() * capacityShare(j, f.views.readyCapacity())
}

// retryDelay is a heartbeat interval after the first wave of failures, and doubles with each further one. It is a
// lease at the most, as a job that waits for longer beside free room is stuck. For a job that fails everywhere it
// may be as long as a cancellation may take.
func (f *failureTracker) retryDelay(j *clusterstate.Job) time.Duration {
	longest := f.env.cfg.WorkerLease()
	if j.Failures.IsJobFault {
		longest = max(longest, f.env.cfg.CancelTimeout())
	}
	delay := f.env.cfg.WorkerHeartbeatInterval() << min(max(j.Failures.Backoffs-1, 0), maxRetryDoublings)
	return min(delay, longest)
}

// noteProbingStart notes the start of a task of a job that is tried with one task at a time: the next one waits for
// the outcome.
func (f *failureTracker) noteProbingStart(j *clusterstate.Job) {
	if j.Failures.IsProbing() && j.Gang == nil {
		j.NotBefore = max(j.NotBefore, f.env.now+f.retryDelay(j))
	}
}
