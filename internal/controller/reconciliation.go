package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// reconciliationHandler acts on the differences that reconciliation finds between a machine's message and the
// cluster state.
type reconciliationHandler interface {
	// onExit handles a task that the machine reports as exited.
	onExit(m *clusterstate.Machine, key clusterstate.AttemptKey, status protocol.TaskStatus)
	// onRunning handles an attempt that has begun to run.
	onRunning(m *clusterstate.Machine, a *clusterstate.Attempt)
	// adoptUnknownAttempt handles a task that the cluster state does not have on the machine. It returns the
	// attempt that it adds, or nil if the task's job is unknown.
	adoptUnknownAttempt(m *clusterstate.Machine, key clusterstate.AttemptKey) *clusterstate.Attempt
	// onAbsent handles an attempt that is proved to be no longer on the machine.
	onAbsent(a *clusterstate.Attempt, proof absenceProof)
}

// reconciliation compares a machine's newest message with what the cluster state has on the machine. It lasts
// for one message.
type reconciliation struct {
	machine *clusterstate.Machine
	// showsToken: the message shows the leader's token, so no command of an earlier leader can follow it.
	showsToken bool
	handler    reconciliationHandler
	reported   map[clusterstate.AttemptKey]bool
}

// reconcile compares the newest message of a machine with the cluster state, and has the handler act on the
// differences.
func reconcile(m *clusterstate.Machine, msg *protocol.WorkerHeartbeat, showsToken bool, handler reconciliationHandler) {
	r := &reconciliation{machine: m, showsToken: showsToken, handler: handler, reported: map[clusterstate.AttemptKey]bool{}}
	for _, status := range msg.Tasks {
		r.reconcileTask(status)
	}
	r.removeAbsent()
	r.forgetUnreported()
}

// reconcileTask compares one reported task with the cluster state.
func (r *reconciliation) reconcileTask(status protocol.TaskStatus) {
	key := clusterstate.AttemptKey{Task: status.Task, Attempt: status.Attempt}
	r.reported[key] = true
	if status.State == protocol.TaskExited {
		r.handler.onExit(r.machine, key, status)
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
	if a.State == status.State {
		return
	}
	a.SetState(status.State)
	if status.State == protocol.TaskRunning {
		r.handler.onRunning(r.machine, a)
	}
}

// removeAbsent finds the attempts whose absence from the message proves that they are no longer on the machine.
func (r *reconciliation) removeAbsent() {
	if !r.lacksSentAttempt() {
		return // the usual case, which needs no sorted list
	}
	for _, a := range r.machine.SortedAttempts() {
		if !r.reported[a.Key()] && a.Sent && r.provesAbsence(a) {
			r.handler.onAbsent(a, absentFromHeartbeat)
		}
	}
}

// lacksSentAttempt reports whether any attempt whose run command was sent is not in the message.
func (r *reconciliation) lacksSentAttempt() bool {
	for key, a := range r.machine.Attempts {
		if !r.reported[key] && a.Sent {
			return true
		}
	}
	return false
}

// provesAbsence reports whether the message, which lacks the attempt, proves that it is not on the machine. One
// proof is a later agent epoch than any run command of it named. The other is the leader's token, once a run
// command of it was answered; without the token the message may be old, and a run command of an earlier
// leader may be on its way.
//
// For an attempt that is to be stopped it is also enough that no run command of it can be on its way: none was
// lost, and the worker has sent a heartbeat after the last reply that carried one. Without this rule a task
// whose run commands had all been refused was waited for until its machine's agent epoch ended.
func (r *reconciliation) provesAbsence(a *clusterstate.Attempt) bool {
	if !a.Loaded && a.Epoch < r.machine.Epoch {
		return true
	}
	if !r.showsToken || a.RunsInFlight != 0 {
		return false
	}
	neverBegins := a.StopRequested && !a.RunLost && r.machine.HeartbeatSequence > a.RunSequence
	return a.Acknowledged || a.Loaded || neverBegins
}

// forgetUnreported forgets the exited and unknown tasks that the machine no longer reports.
func (r *reconciliation) forgetUnreported() {
	for key := range r.machine.Exited {
		if r.showsToken && !r.reported[key] {
			delete(r.machine.Exited, key)
		}
	}
	for key := range r.machine.UnknownTasks {
		// A machine with unknown tasks gets no work, so those that have exited are forgotten too.
		if r.machine.Exited[key] != nil || r.showsToken && !r.reported[key] {
			delete(r.machine.UnknownTasks, key)
		}
	}
}
