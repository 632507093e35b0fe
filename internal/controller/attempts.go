package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// attemptTracker requests the stop of attempts, and removes attempts that are proven to have left their machines.
//
// It has no state of its own: the attempts are in the cluster state. After a failover the next leader loads them from
// the stored records, and learns from the workers' heartbeats which of them are still on their machines.
type attemptTracker struct {
	authority   *authority
	completions *completionRecorder
	dispatcher  *commandDispatcher
	env         *environment
	jobs        *jobCompletion
	machines    *machineRegistry
	placement   *taskScheduler
	state       *clusterstate.State
}

// requestStop requests the stop of an attempt, or of all attempts of its gang. grace is the time in seconds that each
// task has to save a checkpoint.
func (t *attemptTracker) requestStop(a *clusterstate.Attempt, grace float64, reason stopReason) {
	if a.Job.Gang != nil && !a.Job.Finalizing {
		t.requestGangStop(a.Job, a.Number, grace, reason)
		return
	}
	t.requestAttemptStop(a, grace, reason)
}

// requestAttemptStop requests the stop of one attempt. A repeated request takes effect only if it shortens the grace
// period. A durable attempt whose run command was never sent is removed at once.
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

// removeAttempt removes an attempt that is proven to have left its machine from the cluster state.
func (t *attemptTracker) removeAttempt(a *clusterstate.Attempt, proof absenceProof) {
	m, j := a.Machine, a.Job
	if !t.authority.mayForget(a, proof) {
		t.authority.violated(RemovalNeedsProof, a.Key().Task)
		return
	}
	t.state.RemoveAttempt(a)
	if m.Images[j.Spec.Image] {
		t.machines.recordImageUse(m, j)
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

// wasInterrupted reports whether an attempt of a batch task, after its run command was sent, ended before the task was
// done, for a reason other than the task's own failure, a lack of resources on the machine, or preemption.
func wasInterrupted(a *clusterstate.Attempt) bool {
	if a.Job.Spec.Service || !a.Sent || a.Preempted || a.Job.IsDone(a.Index) {
		return false
	}
	return a.ExitCause != protocol.CauseError && a.ExitCause != protocol.CauseInsufficientResources
}
