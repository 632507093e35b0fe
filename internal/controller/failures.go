package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// Tasks fail because their machine is faulty, or because their job has a fault and fails on every machine. The two
// cases are distinguished as follows: a job that fails on several machines is itself at fault, or one that fails again
// on each machine that it can use, or again on a machine that works for others; a machine is faulty if several jobs fail
// on it, or if a job fails on it that completes tasks on other machines. When failures were counted per task, a single
// faulty job caused the release of good machines, and other machines got no tasks for 100 leases (inc-5ccc).
//
// Evidence against a machine stands until a task that was placed there later succeeds, or until the failed job is held
// to be at fault itself, is cancelled or ends. machineQuarantine acts on the evidence.

// failureTracker distinguishes faulty machines from jobs that fail on every machine, and delays failing jobs.
//
// It has no state of its own: a job's failures are stored in the Job, and the evidence against a machine in the
// Machine.
type failureTracker struct {
	catalog    *machineCatalog
	env        *environment
	quarantine *machineQuarantine
	state      *clusterstate.State
	timers     *timerQueue
	views      *schedulerViews
}

// maxRetryDoublings bounds how often the retry delay of a failing job is doubled.
const maxRetryDoublings = 8

// onTaskError handles a task that exited with an error. a is nil if the cluster state lacks the attempt.
func (f *failureTracker) onTaskError(m *clusterstate.Machine, j *clusterstate.Job, a *clusterstate.Attempt, key clusterstate.AttemptKey) {
	if a != nil && j.Spec.Service && f.hasRunLong(a) {
		f.recordJobSuccess(j, m, a.AddedAt)
	}
	f.env.log.Debug("task failed", "task", key.Task, "attempt", key.Attempt, "machine", m.ID)
	if j.Failures.Backoffs == 0 || a != nil && a.AddedAt > j.Failures.LastBackoffAt {
		f.backOffJob(j)
	}
	if j.Cancelling || j.Finalizing {
		return // nobody will know whether the job would have completed elsewhere
	}
	switch {
	case j.Failures.RecordFailure(f.describeFailure(m, j, a)):
		f.env.log.Info("job failing on every machine tried", "job", j.Spec.UID, "class", j.Spec.Class, "team", j.Spec.Team, "machines", len(j.Failures.Machines))
		f.withdrawFailures(j)
	case j.Failures.IsJobFault:
		// The failure is the job's own fault and no evidence against the machine.
	case m.Faults.AddSuspect(j.Spec.UID, f.env.now):
		f.quarantine.onFailure(m, a)
	}
}

// describeFailure describes a failure of a task of the job on the machine. a is nil if the cluster state lacks the
// task's attempt.
func (f *failureTracker) describeFailure(m *clusterstate.Machine, j *clusterstate.Job, a *clusterstate.Attempt) clusterstate.JobFailure {
	failure := clusterstate.JobFailure{Machine: m.ID, At: f.env.now}
	failure.HasUntriedMachine = func(tried map[string]time.Duration) bool { return f.hasUntriedMachine(j, tried) }
	if previousAt, failedBefore := j.Failures.Machines[m.ID]; failedBefore && a != nil {
		failure.Retried = a.AddedAt > previousAt
		failure.MachineWorked = m.Faults.WorkedSince(previousAt)
	}
	return failure
}

// hasUntriedMachine reports whether a machine is up that could hold a task of the job and is not among those tried.
func (f *failureTracker) hasUntriedMachine(j *clusterstate.Job, tried map[string]time.Duration) bool {
	view := newJobView(j)
	for id, m := range f.state.Machines {
		if _, isTried := tried[id]; isTried || !m.EverReported || m.Releasing {
			continue
		}
		if view.AllowedOn(m.Type, m.Zone, m.Spot) && j.Request.Fits(m.Size) {
			return true
		}
	}
	return false
}

// hasRunLong reports whether a task has been running for longer than the longest boot, which counts as a success.
// Replicas of services have no other success.
func (f *failureTracker) hasRunLong(a *clusterstate.Attempt) bool {
	return a.RunningSince > 0 && f.env.now > a.RunningSince+seconds(f.catalog.longestBootS())
}

// onTaskRunning handles a task that has begun to run. If its job or its machine has failed lately, the task is checked
// again once it has been running for long.
func (f *failureTracker) onTaskRunning(a *clusterstate.Attempt) {
	if a.Job.Failures.Backoffs > 0 || a.Machine.Faults.HasEvidence() {
		f.timers.runAt(f.env.now+seconds(f.catalog.longestBootS()), func() { f.recordLongRun(a) })
	}
}

// recordLongRun records the success of a task that has been running for long, if it still runs. It shows that its
// machine works, and also that its job does if that is a service: a batch task may still fail at its end.
func (f *failureTracker) recordLongRun(a *clusterstate.Attempt) {
	if a.Machine.Attempts[a.Key()] != a || a.State != protocol.TaskRunning || a.StopRequested {
		return
	}
	if a.Job.Spec.Service {
		f.recordJobSuccess(a.Job, a.Machine, a.AddedAt)
	}
	f.recordMachineSuccess(a.Machine, a.AddedAt)
}

// recordTaskSuccess records that a task of the job has succeeded on the machine. a is nil if the cluster state lacks
// the task's attempt.
func (f *failureTracker) recordTaskSuccess(j *clusterstate.Job, m *clusterstate.Machine, a *clusterstate.Attempt) {
	placedAt := time.Duration(0)
	if a != nil {
		placedAt = a.AddedAt
	}
	f.recordJobSuccess(j, m, placedAt)
	f.recordMachineSuccess(m, placedAt)
}

// recordMachineSuccess records that a task has succeeded on the machine that was placed at the given time; 0 if that is
// unknown.
func (f *failureTracker) recordMachineSuccess(m *clusterstate.Machine, placedAt time.Duration) {
	m.Faults.RecordSuccess(placedAt)
	f.quarantine.onEvidenceChanged(m, quarantineSucceeded)
}

// recordJobSuccess records that a task of the job has succeeded on the machine, where it was placed at the given time; 0
// if that is unknown. The success confirms the suspicion against the other machines on which tasks of the job failed. If
// the job has failed on this machine too before the task was placed, the cause was a passing one, and says nothing about
// the other machines.
func (f *failureTracker) recordJobSuccess(j *clusterstate.Job, m *clusterstate.Machine, placedAt time.Duration) {
	if j.Failures.Backoffs == 0 {
		return
	}
	if j.Failures.IsJobFault {
		f.env.log.Info("job no longer failing", "job", j.Spec.UID)
	}
	if failedAt, failedHere := j.Failures.Machines[m.ID]; failedHere && failedAt < placedAt {
		f.withdrawFailures(j)
	}
	m.Faults.RemoveSuspect(j.Spec.UID)
	f.confirmFailures(j)
	j.Failures = clusterstate.JobFailures{}
}

// confirmFailures confirms the suspicion against the machines on which tasks of the job failed.
func (f *failureTracker) confirmFailures(j *clusterstate.Job) {
	for id := range j.Failures.Machines {
		m := f.state.Machines[id]
		if m == nil {
			continue
		}
		if failedAt, suspected := m.Faults.ConfirmSuspect(j.Spec.UID); suspected {
			f.quarantine.onConfirmed(m, failedAt)
		}
	}
}

// withdrawFailures removes a job's failures from the evidence against the machines.
func (f *failureTracker) withdrawFailures(j *clusterstate.Job) {
	for id := range j.Failures.Machines {
		if m := f.state.Machines[id]; m != nil {
			m.Faults.RemoveSuspect(j.Spec.UID)
			f.quarantine.onEvidenceChanged(m, quarantineWithdrawn)
		}
	}
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
