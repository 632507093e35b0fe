package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// reconciliationHandler is told of what the comparison of a report with the ledger finds.
type reconciliationHandler interface {
	// onExit takes a task that the machine reports as ended.
	onExit(m *clusterstate.Machine, key clusterstate.AttemptKey, t protocol.TaskStatus)
	// onRunning takes an attempt that has begun to run.
	onRunning(m *clusterstate.Machine, a *clusterstate.Attempt)
	// adoptUnknownAttempt takes a task that the ledger does not have there; nil: nothing is known of it at all.
	adoptUnknownAttempt(m *clusterstate.Machine, key clusterstate.AttemptKey) *clusterstate.Attempt
	// onAbsent takes an attempt that is proved to be no longer on the machine.
	onAbsent(a *clusterstate.Attempt, why absenceProof)
}

// reconciliation sets the newest message of a machine against what the ledger has there.
type reconciliation struct {
	machine *clusterstate.Machine
	// ours: the message shows our token, so no command of an earlier leader can follow it.
	ours     bool
	handler  reconciliationHandler
	reported map[clusterstate.AttemptKey]bool
}

// reconcile takes a machine's newest message.
func reconcile(m *clusterstate.Machine, msg *protocol.WorkerHeartbeat, ours bool, outcomes reconciliationHandler) {
	c := &reconciliation{machine: m, ours: ours, handler: outcomes, reported: map[clusterstate.AttemptKey]bool{}}
	for _, t := range msg.Tasks {
		c.reconcileTask(t)
	}
	c.removeAbsent()
	c.forgetUnreported()
}

// reconcileTask takes a task that the machine reports.
func (r *reconciliation) reconcileTask(t protocol.TaskStatus) {
	key := clusterstate.AttemptKey{Task: t.Task, Attempt: t.Attempt}
	r.reported[key] = true
	if t.State == protocol.Exited {
		r.handler.onExit(r.machine, key, t)
		return
	}
	a := r.machine.Attempts[key]
	if a == nil {
		a = r.handler.adoptUnknownAttempt(r.machine, key)
	}
	if a == nil {
		return
	}
	a.Acknowledged, a.Sent = true, true
	a.Epoch = r.machine.Epoch
	if a.State == t.State {
		return
	}
	a.SetState(t.State)
	if t.State == protocol.Running {
		r.handler.onRunning(r.machine, a)
	}
}

// removeAbsent looks for attempts whose absence from the message proves that they are gone.
func (r *reconciliation) removeAbsent() {
	if !r.lacksSentAttempt() {
		return // mostly so, and nothing to sort
	}
	for _, a := range r.machine.Sorted() {
		if !r.reported[a.Key()] && a.Sent && r.provesAbsence(a) {
			r.handler.onAbsent(a, absentFromHeartbeat)
		}
	}
}

// lacksSentAttempt says whether an attempt whose run was sent is not reported.
func (r *reconciliation) lacksSentAttempt() bool {
	for key, a := range r.machine.Attempts {
		if !r.reported[key] && a.Sent {
			return true
		}
	}
	return false
}

// provesAbsence says whether the message, which lacks the attempt, proves that it is not on the
// machine: by a later session than any run of it named, or by our token after its run was
// answered. Without our token the message may be old, and a run of an earlier leader under way.
// Of one that is to be stopped it is also enough that no run of it can be on its way: none was
// lost, and a report was sent after the last answer that carried one. Without this a task
// whose runs had all been refused was waited for until its machine's session ended.
func (r *reconciliation) provesAbsence(a *clusterstate.Attempt) bool {
	if !a.Loaded && a.Epoch < r.machine.Epoch {
		return true
	}
	neverBegins := a.StopRequested && !a.RunLost && r.machine.HeartbeatSequence > a.RunSequence
	return r.ours && (a.Acknowledged || a.Loaded || neverBegins) && a.RunsInFlight == 0
}

// forgetUnreported drops ended and unknown tasks that the machine no longer reports.
func (r *reconciliation) forgetUnreported() {
	for key := range r.machine.Exited {
		if r.ours && !r.reported[key] {
			delete(r.machine.Exited, key)
		}
	}
	for key := range r.machine.UnknownTasks {
		// Gone or ended: with any left the machine takes no work.
		if r.machine.Exited[key] != nil || r.ours && !r.reported[key] {
			delete(r.machine.UnknownTasks, key)
		}
	}
}
