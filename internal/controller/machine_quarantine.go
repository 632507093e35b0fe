package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// machineQuarantine keeps work away from machines that are probably faulty. Each machine has a circuit breaker: it opens
// once the evidence against the machine suffices, is half-open a worker lease later, and closes when a task succeeds
// there or when the evidence is withdrawn. A half-open machine gets single tasks of jobs that find no room elsewhere, as
// probes. A machine that is idle while its breaker is not closed is released.
//
// If a fault is confirmed, that is if a job that failed on the machine has completed elsewhere, there is one probe at a
// time, and the breaker opens again if it fails. If the machine is only suspected, its jobs may as well be at fault. Then
// each job may probe it, and a failed probe counts against its job as much as against the machine: otherwise jobs with a
// mistake could keep others from a machine without an alternative, a lease for each.
//
// It has no state of its own: evidence and breaker are stored in the Machine, in memory only. A new leader begins with
// all breakers closed.
type machineQuarantine struct {
	env       *environment
	placement *taskScheduler
	state     *clusterstate.State
}

// quarantineReason is the logged reason for a change of a machine's circuit breaker.
type quarantineReason string

// Reasons for a change of a circuit breaker.
const (
	quarantineSuspected   quarantineReason = "failures of several jobs"
	quarantineConfirmed   quarantineReason = "failures of jobs that completed elsewhere"
	quarantineProbeFailed quarantineReason = "probe failed"
	quarantineElapsed     quarantineReason = "quarantine elapsed"
	quarantineSucceeded   quarantineReason = "task succeeded"
	quarantineWithdrawn   quarantineReason = "evidence withdrawn"
)

// QuarantineChange is a change of a machine's circuit breaker.
type QuarantineChange struct {
	Machine string
	To      clusterstate.BreakerState
	Reason  string
}

// quarantinedShareDivisor bounds the machines that are quarantined on suspicion only: a tenth of the machines that are
// up, and of those in the same zone and of the same type, but at least one. If tasks fail on more machines, their jobs
// are the likely cause.
const quarantinedShareDivisor = 10

// onFailure updates the circuit breaker after a task of a job that was not suspect there before has failed. a is nil if
// the cluster state lacks the task's attempt.
func (q *machineQuarantine) onFailure(m *clusterstate.Machine, a *clusterstate.Attempt) {
	switch {
	case m.Faults.Breaker != clusterstate.BreakerHalfOpen || a == nil || a.AddedAt <= m.Faults.OpenedAt:
		q.onEvidenceChanged(m, quarantineWithdrawn)
	case m.Faults.IsConfirmed():
		q.open(m, quarantineProbeFailed)
	default:
		q.env.log.Info("probe failed on suspected machine", "machine", m.ID, "job", a.Job.Spec.UID, "failed_jobs", len(m.Faults.SuspectJobs))
	}
}

// onConfirmed updates the circuit breaker after a job that failed on the machine, last at the given time, has completed a
// task elsewhere. A machine against which this does not suffice gets no tasks for a worker lease. A half-open breaker
// opens only if the failure was a probe's: earlier failures are what the machine is on probation for.
func (q *machineQuarantine) onConfirmed(m *clusterstate.Machine, failedAt time.Duration) {
	switch {
	case !m.Faults.IsFaulty():
		m.Quarantine(clusterstate.QuarantineFailureConfirmed, q.env.now+q.env.cfg.WorkerLease())
	case !m.Faults.IsQuarantined(), m.Faults.Breaker == clusterstate.BreakerHalfOpen && failedAt > m.Faults.OpenedAt:
		q.open(m, quarantineConfirmed)
	}
}

// onEvidenceChanged opens the circuit breaker of a machine if the evidence against it suffices, and closes it if the
// evidence does not suffice any more, for the given reason.
func (q *machineQuarantine) onEvidenceChanged(m *clusterstate.Machine, closeReason quarantineReason) {
	faulty := m.Faults.IsFaulty()
	switch {
	case m.Faults.IsQuarantined() && !faulty:
		q.close(m, closeReason)
	case !m.Faults.IsQuarantined() && faulty:
		q.openIfAllowed(m)
	case !faulty:
		m.Faults.Withheld = false
	}
}

// openIfAllowed opens the circuit breaker of a machine, unless the machine is only suspected and too many machines are
// quarantined on suspicion already.
func (q *machineQuarantine) openIfAllowed(m *clusterstate.Machine) {
	if m.Faults.IsConfirmed() {
		q.open(m, quarantineConfirmed)
		return
	}
	if q.admitsSuspect(m) {
		q.open(m, quarantineSuspected)
		return
	}
	if !m.Faults.Withheld {
		m.Faults.Withheld = true
		q.env.log.Info("machine not quarantined: too many machines are", "machine", m.ID, "type", m.Type, "zone", m.Zone, "failed_jobs", len(m.Faults.SuspectJobs))
	}
}

// machineShare counts machines that are up, and those of them that are quarantined on suspicion.
type machineShare struct{ up, suspected int }

func (s *machineShare) add(suspected bool) {
	s.up++
	if suspected {
		s.suspected++
	}
}

func (s *machineShare) admitsOneMore() bool {
	return s.suspected < max(1, s.up/quarantinedShareDivisor)
}

// admitsSuspect reports whether one more machine may be quarantined on suspicion.
func (q *machineQuarantine) admitsSuspect(m *clusterstate.Machine) bool {
	var fleet, zone, typ machineShare
	for _, other := range q.state.Machines {
		if !other.EverReported || other.Releasing {
			continue
		}
		suspected := other.Faults.IsQuarantined() && !other.Faults.IsConfirmed()
		fleet.add(suspected)
		if other.Zone == m.Zone {
			zone.add(suspected)
		}
		if other.Type == m.Type {
			typ.add(suspected)
		}
	}
	return fleet.admitsOneMore() && zone.admitsOneMore() && typ.admitsOneMore()
}

// watch makes the circuit breaker half-open once it has been open for long enough.
func (q *machineQuarantine) watch(m *clusterstate.Machine) {
	if m.Faults.Breaker != clusterstate.BreakerOpen || q.env.now < m.Faults.OpenUntil {
		return
	}
	m.Faults.HalfOpen()
	q.placement.fillPending = true
	q.env.log.Info("machine on probation", "machine", m.ID, "type", m.Type, "zone", m.Zone)
	q.report(m, quarantineElapsed)
}

// open opens the circuit breaker for a worker lease. A longer time would leave a job without a task for longer than
// users accept if a probe of the machine is its only chance.
func (q *machineQuarantine) open(m *clusterstate.Machine, reason quarantineReason) {
	m.Faults.Open(q.env.now, q.env.now+q.env.cfg.WorkerLease())
	q.env.log.Info("machine quarantined", "machine", m.ID, "type", m.Type, "zone", m.Zone, "reason", reason,
		"failed_jobs", len(m.Faults.SuspectJobs)+m.Faults.ConfirmedJobs, "completed_elsewhere", m.Faults.ConfirmedJobs)
	q.report(m, reason)
}

func (q *machineQuarantine) close(m *clusterstate.Machine, reason quarantineReason) {
	quarantinedFor := q.env.now - m.Faults.OpenedAt
	m.Faults.Close()
	q.placement.fillPending = true
	q.env.log.Info("machine readmitted", "machine", m.ID, "type", m.Type, "zone", m.Zone, "reason", reason, "last_quarantine_s", int(quarantinedFor.Seconds()))
	q.report(m, reason)
}

func (q *machineQuarantine) report(m *clusterstate.Machine, reason quarantineReason) {
	q.env.observer.QuarantineChanged(QuarantineChange{Machine: m.ID, To: m.Faults.Breaker, Reason: string(reason)})
}

// probeSettleDivisor gives the time, as a fraction of a worker lease, that a probe must have been running before the
// next task may be started beside it. Most failures show sooner.
const probeSettleDivisor = 4

// awaitsProbe reports whether a task may be started on a machine as a probe: its circuit breaker is half-open and, if
// the fault is confirmed, no other probe is undecided.
func (q *machineQuarantine) awaitsProbe(m *clusterstate.Machine) bool {
	return m.Faults.Breaker == clusterstate.BreakerHalfOpen && (!m.Faults.IsConfirmed() || len(q.probingJobs(m)) == 0)
}

// describeProbation sets what the scheduler must know of a machine on probation.
func (q *machineQuarantine) describeProbation(view *scheduler.Machine, m *clusterstate.Machine) {
	view.OnProbation, view.SingleProbe, view.ProbingJobs = true, m.Faults.IsConfirmed(), q.probingJobs(m)
}

// probingJobs returns the ids of the jobs with an undecided probe on the machine.
func (q *machineQuarantine) probingJobs(m *clusterstate.Machine) map[string]bool {
	jobs := map[string]bool{}
	for _, a := range m.Attempts {
		if a.AddedAt > m.Faults.OpenedAt && q.isUndecided(a) {
			jobs[a.Job.Spec.UID] = true
		}
	}
	return jobs
}

// isUndecided reports whether the outcome of a probe is still likely to show soon: it has not been running for some time
// yet, and was placed less than a worker lease ago.
func (q *machineQuarantine) isUndecided(probe *clusterstate.Attempt) bool {
	lease := q.env.cfg.WorkerLease()
	hasSettled := probe.RunningSince > 0 && q.env.now >= probe.RunningSince+lease/probeSettleDivisor
	return !hasSettled && q.env.now < probe.AddedAt+lease
}

// mayAwaitProbe reports whether a quarantined machine is kept though it is idle, because it may still be needed: it is
// only suspected, the cloud has no other machine in its place, and its circuit breaker has not been half-open for longer
// than a worker lease without a task.
func (q *machineQuarantine) mayAwaitProbe(m *clusterstate.Machine, poolIsShort bool) bool {
	return !m.Faults.IsConfirmed() && poolIsShort && q.env.now < m.Faults.OpenUntil+q.env.cfg.WorkerLease()
}
