package controller

import "claybarrow/internal/clusterstate"

// ExclusionReason is the logged reason why a machine gets no tasks.
type ExclusionReason string

// Reasons why a machine gets no tasks.
const (
	// notExcluded means that the machine may get tasks.
	notExcluded ExclusionReason = ""
	// ExcludedReleasing: its deletion is decided.
	ExcludedReleasing ExclusionReason = "releasing"
	// ExcludedReclaimed: the cloud has announced to reclaim the spot machine.
	ExcludedReclaimed ExclusionReason = "spot_reclaim"
	// ExcludedUnknownType: the cloud has not described its type yet.
	ExcludedUnknownType ExclusionReason = "unknown_type"
	// ExcludedUnknownTasks: it runs tasks of jobs that the cluster state lacks.
	ExcludedUnknownTasks ExclusionReason = "unknown_tasks"
	// ExcludedDraining: its tasks move to other machines.
	ExcludedDraining ExclusionReason = "draining"
	// ExcludedNewToLeader: it has not acknowledged this leader's token.
	ExcludedNewToLeader ExclusionReason = "token_not_acknowledged"
	// ExcludedAnswersMissed: the leader's answers do not reach it.
	ExcludedAnswersMissed ExclusionReason = "answers_undelivered"
	// ExcludedCallsFail: it does not answer direct calls.
	ExcludedCallsFail ExclusionReason = "calls_fail"
	// ExcludedSilent: it has sent no message for too long.
	ExcludedSilent ExclusionReason = "silent"
	// ExcludedUnanswered: the leader has answered none of its heartbeats for too long.
	ExcludedUnanswered ExclusionReason = "heartbeats_unanswered"
	// ExcludedFaulty: its circuit breaker is open, as tasks of several jobs have failed on it.
	ExcludedFaulty ExclusionReason = "faulty"
	// ExcludedOnProbation: its circuit breaker is half-open. It gets single tasks that find no room elsewhere.
	ExcludedOnProbation ExclusionReason = "on_probation"
)

// ExclusionReasons returns all reasons, including those of timed quarantines.
func ExclusionReasons() []ExclusionReason {
	reasons := []ExclusionReason{ExcludedReleasing, ExcludedReclaimed, ExcludedUnknownType, ExcludedUnknownTasks, ExcludedDraining,
		ExcludedNewToLeader, ExcludedAnswersMissed, ExcludedCallsFail, ExcludedSilent, ExcludedUnanswered, ExcludedFaulty, ExcludedOnProbation}
	for _, reason := range clusterstate.QuarantineReasons {
		reasons = append(reasons, ExclusionReason(reason))
	}
	return reasons
}

// exclusion returns the reason why a machine gets no tasks now, or notExcluded. No other code decides this. All reasons
// end while the machine is kept, except those that end with its deletion: releasing and spot_reclaim.
func (h *machineHealth) exclusion(m *clusterstate.Machine) ExclusionReason {
	switch {
	case m.Releasing:
		return ExcludedReleasing
	case m.ReclaimNotice:
		return ExcludedReclaimed
	case m.Size.Cores <= 0:
		return ExcludedUnknownType
	case len(m.UnknownTasks) > 0:
		return ExcludedUnknownTasks
	case h.env.now < m.DrainUntil:
		return ExcludedDraining
	case h.env.now < m.QuarantinedUntil:
		return ExclusionReason(m.QuarantineReason)
	}
	if reason := h.contactLoss(m); reason != notExcluded {
		return reason
	}
	switch m.Faults.Breaker {
	case clusterstate.BreakerOpen:
		return ExcludedFaulty
	case clusterstate.BreakerHalfOpen:
		return ExcludedOnProbation
	case clusterstate.BreakerClosed:
	}
	return notExcluded
}

// contactLoss returns the reason why a machine's contact with this leader does not allow to start tasks there: it has
// not acknowledged the leader's token, is silent, or does not get the leader's answers or calls.
func (h *machineHealth) contactLoss(m *clusterstate.Machine) ExclusionReason {
	switch {
	case !m.TokenAcknowledged:
		return ExcludedNewToLeader
	case m.UndeliveredAnswers > maxUndeliveredAnswers:
		return ExcludedAnswersMissed
	case m.FailedCalls > maxFailedCalls:
		return ExcludedCallsFail
	case h.env.now >= m.LastSeen+h.maxMessageAge():
		return ExcludedSilent
	case h.heartbeatUnanswered(m, h.maxUnanswered()):
		return ExcludedUnanswered
	}
	return notExcluded
}

// isSchedulable reports whether tasks may be started on the machine.
func (h *machineHealth) isSchedulable(m *clusterstate.Machine) bool {
	return h.exclusion(m) == notExcluded
}

// mayProbe reports whether a task may be started on the machine as a probe: nothing but the half-open circuit breaker
// excludes the machine, and no earlier probe stands in the way.
func (h *machineHealth) mayProbe(m *clusterstate.Machine) bool {
	return m.Faults.Breaker == clusterstate.BreakerHalfOpen && h.exclusion(m) == ExcludedOnProbation && h.quarantine.awaitsProbe(m)
}

// countExclusions counts the machines that have reported and get no tasks, by reason.
func (h *machineHealth) countExclusions() map[ExclusionReason]int {
	counts := map[ExclusionReason]int{}
	for _, m := range h.state.Machines {
		if !m.EverReported {
			continue
		}
		if reason := h.exclusion(m); reason != notExcluded {
			counts[reason]++
		}
	}
	return counts
}
