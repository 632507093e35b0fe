package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
)

// failureTracker tells faulty machines from jobs that fail everywhere, and delays failing jobs.
type failureTracker struct {
	catalog *machineCatalog
	env     *environment
	state   *clusterstate.State
	views   *schedulerViews
}

// Tasks fail because their machine is faulty or because their job was submitted with a
// mistake and fails everywhere. What tells them apart is evidence: a job that fails on
// several machines is at fault itself, a machine where several jobs fail, or one that
// completes its tasks elsewhere, is faulty. Counted by tasks, one job with a mistake had
// good machines returned, and others given no work for 100 leases (inc-5ccc).

// onTaskError takes the failure of a task.
func (f *failureTracker) onTaskError(m *clusterstate.Machine, j *clusterstate.Job, a *clusterstate.Attempt, key clusterstate.AttemptKey) {
	if a != nil && j.Spec.Service && f.env.now > a.Since+seconds(f.catalog.longestBootS()) {
		f.noteTaskSuccess(j, nil) // it ran for a while before
	}
	f.env.log.Debug("task failed", "task", key.Task, "attempt", key.Attempt, "machine", m.ID)
	if j.Failures.Waves == 0 || a != nil && a.Since > j.Failures.LastWave {
		f.backOffJob(j)
	}
	switch {
	case j.Failures.Note(m.ID, f.env.now):
		f.env.log.Info("job failing on every machine tried", "job", j.Spec.UID, "class", j.Spec.Class, "team", j.Spec.Team, "machines", len(j.Failures.Machines))
		f.withdrawFailures(j)
	case j.Failures.Everywhere:
	case m.Faults.Suspect(j.Spec.UID):
		f.logFaultyMachine(m)
	}
}

// noteTaskSuccess notes that a task of the job has completed on a machine.
func (f *failureTracker) noteTaskSuccess(j *clusterstate.Job, m *clusterstate.Machine) {
	if m != nil {
		m.Faults.Clear()
	}
	if j.Failures.Waves == 0 {
		return
	}
	if j.Failures.Everywhere {
		f.env.log.Info("job no longer failing", "job", j.Spec.UID)
	}
	for id := range j.Failures.Machines {
		other := f.state.Machines[id]
		if other == nil || other == m {
			continue
		}
		switch {
		case other.Faults.Confirm(j.Spec.UID):
			f.logFaultyMachine(other)
		case other.Faults.Confirmed > 0:
			other.QuarantinedUntil = max(other.QuarantinedUntil, f.env.now+f.env.cfg.Lease())
		}
	}
	j.Failures = clusterstate.JobFailures{}
}

// withdrawFailures takes a job's failures for its own fault, not the machines'.
func (f *failureTracker) withdrawFailures(j *clusterstate.Job) {
	for id := range j.Failures.Machines {
		if m := f.state.Machines[id]; m != nil {
			m.Faults.Withdraw(j.Spec.UID)
		}
	}
}

// logFaultyMachine sets a machine aside for good: it is returned once it is idle.
func (f *failureTracker) logFaultyMachine(m *clusterstate.Machine) {
	f.env.log.Info("machine quarantined", "machine", m.ID, "type", m.Type, "zone", m.Zone, "failed_jobs", len(m.Faults.Suspects)+m.Faults.Confirmed)
}

// backOffJob delays a failing job, and counts the time as attained service: a job
// that fails at once would keep the top rank for ever otherwise.
func (f *failureTracker) backOffJob(j *clusterstate.Job) {
	j.Failures.Waves++
	j.Failures.LastWave = f.env.now
	wait := f.retryDelay(j)
	j.NotBefore = max(j.NotBefore, f.env.now+wait)
	j.Scale.Attained += wait.Seconds() * capacityShare(j, f.views.readyCapacity())
}

// retryDelay doubles with each failure. At most a lease, as a job that waits for longer with
// room beside it is stuck, or what a cancellation may take if it fails everywhere.
func (f *failureTracker) retryDelay(j *clusterstate.Job) time.Duration {
	const mostDoublings = 8
	longest := f.env.cfg.Lease()
	if j.Failures.Everywhere {
		longest = max(longest, f.env.cfg.Cancel())
	}
	wait := f.env.cfg.Report() << min(max(j.Failures.Waves-1, 0), mostDoublings)
	return min(wait, longest)
}

// noteProbingStart notes the start of a task of a job that is tried with one task at a time: the
// next one waits for the outcome.
func (f *failureTracker) noteProbingStart(j *clusterstate.Job) {
	if j.Failures.Probing() && j.Gang == nil {
		j.NotBefore = max(j.NotBefore, f.env.now+f.retryDelay(j))
	}
}
