package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// attemptTracker stops attempts, and removes those that are proved to be no longer on their machines.
//
// It has no state of its own: the attempts are in the cluster state. After a failover the next leader reads
// them from the stored records, and learns from the workers' heartbeats which of them are there.
type attemptTracker struct {
	completions *completionRecorder
	dispatcher  *commandDispatcher
	env         *environment
	jobs        *jobCompletion
	machines    *machineRegistry
	placement   *taskScheduler
	state       *clusterstate.State
}

// absenceProof is what proves that an attempt is no longer on its machine.
type absenceProof string

// Proofs of absence.
const (
	reportedExited      absenceProof = "exited"
	neverSent           absenceProof = "start never sent"
	notRecorded         absenceProof = "record rejected"
	absentFromHeartbeat absenceProof = "absent from heartbeat"
	leaseExpired        absenceProof = "worker lease expired"
	machineFailed       absenceProof = "machine failed"
	machineDeleted      absenceProof = "machine deleted"
	machineUnlisted     absenceProof = "machine no longer listed"
)

// requestStop has an attempt stopped, and with it all of its gang. The tasks have grace seconds to save.
func (t *attemptTracker) requestStop(a *clusterstate.Attempt, grace float64, reason stopReason) {
	if a.Job.Gang != nil && !a.Job.Finalizing {
		t.requestGangStop(a.Job, a.Number, grace, reason)
		return
	}
	t.requestAttemptStop(a, grace, reason)
}

// requestAttemptStop has one attempt stopped. A repeated request counts only if it shortens the grace period.
// An attempt whose run command was never sent is removed at once.
func (t *attemptTracker) requestAttemptStop(a *clusterstate.Attempt, grace float64, reason stopReason) {
	if a.StopRequested && grace >= a.GraceSeconds {
		return
	}
	if a.StopRequested {
		a.StopSentAt = 0
	}
	a.StopRequested, a.GraceSeconds = true, grace
	t.env.log.Debug("stop requested", "task", a.Key().Task, "attempt", a.Number, "machine", a.Machine.ID, "reason", reason)
	if a.Durable && !a.Sent {
		t.removeAttempt(a, neverSent)
	} else {
		t.dispatcher.dispatchCommands(a.Machine)
	}
}

// removeAttempt takes an attempt that is proved to be no longer on its machine out of the cluster state.
func (t *attemptTracker) removeAttempt(a *clusterstate.Attempt, proof absenceProof) {
	m, j := a.Machine, a.Job
	t.state.RemoveAttempt(a)
	if m.Images[j.Spec.Image] {
		t.machines.noteImageUse(m, j)
	}
	if len(m.Attempts) == 0 {
		m.IdleSince = t.env.now
	}
	t.env.log.Debug("attempt removed", "task", a.Key().Task, "attempt", a.Number, "machine", m.ID, "reason", proof)
	if wasInterrupted(a) {
		j.MarkInterrupted(a.Index)
	}
	t.jobs.completeCancellation(j)
	t.onGangTaskRemoved(a, proof)
	t.completions.recordDeparture(a)
	t.placement.fillPending = true
}

// wasInterrupted reports whether a batch task ended before it was done, through no doing of its own or of the
// scheduler.
func wasInterrupted(a *clusterstate.Attempt) bool {
	if a.Job.Spec.Service || !a.Sent || a.Preempted || a.Job.IsDone(a.Index) {
		return false
	}
	return a.ExitCause != protocol.CauseError && a.ExitCause != protocol.CauseInsufficientResources
}
