package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// attemptTracker stops attempts, and removes those that are proved to be gone.
type attemptTracker struct {
	completions *completionRecorder
	dispatcher  *commandDispatcher
	env         *environment
	jobs        *jobCompletion
	machines    *machineRegistry
	placement   *taskScheduler
	state       *clusterstate.State
}

// requestStop has an attempt stopped, and with it all of its gang.
func (t *attemptTracker) requestStop(a *clusterstate.Attempt, grace float64, reason stopReason) {
	if a.Job.Gang != nil && !a.Job.Finishing {
		t.requestGangStop(a.Job, a.Number, grace, reason)
		return
	}
	t.requestAttemptStop(a, grace, reason)
}

// requestAttemptStop has one attempt stopped. What never left is dropped at once.
func (t *attemptTracker) requestAttemptStop(a *clusterstate.Attempt, grace float64, reason stopReason) {
	if a.StopRequested && grace >= a.Grace {
		return
	}
	if a.StopRequested {
		a.StopSentAt = 0
	}
	a.StopRequested, a.Grace = true, grace
	t.env.log.Debug("stop requested", "task", a.Key().Task, "attempt", a.Number, "machine", a.Machine.ID, "reason", reason)
	if a.Durable && !a.Sent {
		t.removeAttempt(a, neverSent)
	} else {
		t.dispatcher.dispatchCommands(a.Machine)
	}
}

// absenceProof is why an attempt is proved gone.
type absenceProof string

// Proofs that an attempt is gone.
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

// removeAttempt takes an attempt that is proved gone out of the ledger.
func (t *attemptTracker) removeAttempt(a *clusterstate.Attempt, why absenceProof) {
	m := a.Machine
	t.state.RemoveAttempt(a)
	if m.Images[a.Job.Spec.Image] {
		t.machines.noteImageUse(m, a.Job)
	}
	if len(m.Attempts) == 0 {
		m.IdleSince = t.env.now
	}
	t.env.log.Debug("attempt removed", "task", a.Key().Task, "attempt", a.Number, "machine", m.ID, "reason", why)
	j := a.Job
	if !j.Spec.Service && a.Sent && !a.Preempted && !j.IsDone(a.Index) && a.Exit != protocol.CauseError && a.Exit != protocol.CauseNoRoom {
		j.MarkInterrupted(a.Index)
	}
	t.jobs.completeCancellation(j)
	t.gangTaskGone(a, why)
	t.completions.recordDeparture(a)
	t.placement.fillPending = true
}
