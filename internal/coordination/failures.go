package coordination

import (
	"time"

	"claybarrow/internal/ledger"
)

// Tasks fail because their machine is faulty or because their job was submitted with a
// mistake and fails everywhere. What tells them apart is evidence: a job that fails on
// several machines is at fault itself, a machine where several jobs fail, or one that
// completes its tasks elsewhere, is faulty. Counted by tasks, one job with a mistake had
// good machines returned, and others given no work for 100 leases (inc-5ccc).

// onError takes the failure of a task.
func (r *term) onError(m *ledger.Machine, j *ledger.Job, a *ledger.Attempt, key ledger.Key) {
	c := r.c
	if a != nil && j.Spec.Service && c.now > a.Since+seconds(c.bootS()) {
		r.succeeded(j, nil) // it ran for a while before
	}
	c.log.Debug("task failed", "task", key.Task, "try", key.Try, "machine", m.ID)
	if j.Failures.Waves == 0 || a != nil && a.Since > j.Failures.LastWave {
		r.backOff(j)
	}
	switch {
	case j.Failures.Note(m.ID, c.now):
		c.log.Info("job fails everywhere", "job", j.Spec.UID, "class", j.Spec.Class, "team", j.Spec.Team, "machines", len(j.Failures.Machines))
		r.withdrawFailures(j)
	case j.Failures.Everywhere:
	case m.Faults.Suspect(j.Spec.UID):
		r.faulty(m)
	}
}

// succeeded notes that a task of the job has completed on a machine.
func (r *term) succeeded(j *ledger.Job, m *ledger.Machine) {
	if m != nil {
		m.Faults.Clear()
	}
	if j.Failures.Waves == 0 {
		return
	}
	if j.Failures.Everywhere {
		r.c.log.Info("job no longer fails", "job", j.Spec.UID)
	}
	for id := range j.Failures.Machines {
		other := r.Machines[id]
		if other == nil || other == m {
			continue
		}
		switch {
		case other.Faults.Confirm(j.Spec.UID):
			r.faulty(other)
		case other.Faults.Confirmed > 0:
			other.AsideUntil = max(other.AsideUntil, r.c.now+r.c.cfg.Lease())
		}
	}
	j.Failures = ledger.JobFailures{}
}

// withdrawFailures takes a job's failures for its own fault, not the machines'.
func (r *term) withdrawFailures(j *ledger.Job) {
	for id := range j.Failures.Machines {
		if m := r.Machines[id]; m != nil {
			m.Faults.Withdraw(j.Spec.UID)
		}
	}
}

// faulty sets a machine aside for good: it is returned once it is idle.
func (r *term) faulty(m *ledger.Machine) {
	r.c.log.Info("machine is faulty", "machine", m.ID, "type", m.Type, "zone", m.Zone, "jobs", len(m.Faults.Suspects)+m.Faults.Confirmed)
}

// backOff delays a failing job, and counts the time as attained service: a job
// that fails at once would keep the top rank for ever otherwise.
func (r *term) backOff(j *ledger.Job) {
	j.Failures.Waves++
	j.Failures.LastWave = r.c.now
	wait := r.retryWait(j)
	j.NotBefore = max(j.NotBefore, r.c.now+wait)
	j.Scale.Attained += wait.Seconds() * shareOf(j, r.capacity())
}

// retryWait doubles with each failure. At most a lease, as a job that waits for longer with
// room beside it is stuck, or what a cancellation may take if it fails everywhere.
func (r *term) retryWait(j *ledger.Job) time.Duration {
	const mostDoublings = 8
	longest := r.c.cfg.Lease()
	if j.Failures.Everywhere {
		longest = max(longest, r.c.cfg.Cancel())
	}
	wait := r.c.cfg.Report() << min(max(j.Failures.Waves-1, 0), mostDoublings)
	return min(wait, longest)
}

// retried notes the start of a task of a job that is tried with one task at a time: the
// next one waits for the outcome.
func (r *term) retried(j *ledger.Job) {
	if j.Failures.Probing() && j.Gang == nil {
		j.NotBefore = max(j.NotBefore, r.c.now+r.retryWait(j))
	}
}
