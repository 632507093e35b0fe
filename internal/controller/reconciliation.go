package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// reconciliationHandler handles the differences between a machine's message and the cluster state.
type reconciliationHandler interface {
	// onExit handles a task that the machine reports as exited.
	onExit(m *clusterstate.Machine, key clusterstate.AttemptKey, status protocol.TaskStatus)
	// onRunning handles an attempt that has begun to run.
	onRunning(m *clusterstate.Machine, a *clusterstate.Attempt)
	// adoptUnknownAttempt handles a reported task that the cluster state does not have on the machine. It returns
	// the attempt that it adds, or nil if the task's job is unknown.
	adoptUnknownAttempt(m *clusterstate.Machine, key clusterstate.AttemptKey) *clusterstate.Attempt
	// onAbsent handles an attempt that is proven to have left the machine.
	onAbsent(a *clusterstate.Attempt, proof absenceProof)
}

// reconciliation compares one message of a machine, its newest, with the machine's attempts in the cluster state.
type reconciliation struct {
	machine *clusterstate.Machine
	// hasLeaderToken is true if the message carries the leader's token: the worker then rejects commands of earlier
	// leaders.
	hasLeaderToken bool
	handler        reconciliationHandler
	reported       map[clusterstate.AttemptKey]bool
}

// reconcile compares the newest message of a machine with the cluster state, and passes the differences to the handler.
func reconcile(m *clusterstate.Machine, msg *protocol.WorkerHeartbeat, hasLeaderToken bool, handler reconciliationHandler) {
	r := &reconciliation{machine: m, hasLeaderToken: hasLeaderToken, handler: handler, reported: map[clusterstate.AttemptKey]bool{}}
	for _, status := range msg.Tasks {
		r.reconcileTask(status)
	}
	r.removeAbsent()
	r.deleteUnreported()
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
	a.RecordReport()
	if a.State == status.State {
		return
	}
	a.SetState(status.State)
	if status.State == protocol.TaskRunning {
		r.handler.onRunning(r.machine, a)
	}
}

// removeAbsent passes to the handler the attempts whose absence from the message proves that they have left the
// machine.
func (r *reconciliation) removeAbsent() {
	if !r.lacksSentAttempt() {
		return // the common case, without the cost of a sorted list
	}
	for _, a := range r.machine.SortedAttempts() {
		if !r.reported[a.Key()] && a.Sent && r.provesAbsence(a) {
			r.handler.onAbsent(a, absentFromHeartbeat)
		}
	}
}

// lacksSentAttempt reports whether the message lacks an attempt whose run command was sent.
func (r *reconciliation) lacksSentAttempt() bool {
	for key, a := range r.machine.Attempts {
		if !r.reported[key] && a.Sent {
			return true
		}
	}
	return false
}

// provesAbsence reports whether the message, which lacks the attempt, proves that the attempt is not on the machine.
// One proof is an agent epoch later than the epoch to which the attempt's run commands were addressed. The other proof
// is the leader's token in the message, if no direct call with a run command of the attempt is in flight, and the
// worker has acknowledged the attempt or an earlier leader stored it.
// Without the token the message may be old, and a run command of an earlier leader may be in flight.
//
// If the stop of the attempt was requested, it also suffices that no run command of the attempt can be in flight: none
// was lost, and the worker has sent a heartbeat after the last reply that carried one. Without this rule, an attempt
// whose run commands had all been rejected stayed in the cluster state until the agent epoch of its machine ended.
func (r *reconciliation) provesAbsence(a *clusterstate.Attempt) bool {
	if !a.Loaded && a.Epoch < r.machine.Epoch {
		return true
	}
	if !r.hasLeaderToken || a.RunsInFlight != 0 {
		return false
	}
	neverStarts := a.StopRequested && !a.RunUnanswered && r.machine.HeartbeatSequence > a.RunSequence
	return a.Acknowledged || a.Loaded || neverStarts
}

// deleteUnreported deletes the exited and unknown tasks that the machine no longer reports.
func (r *reconciliation) deleteUnreported() {
	for key := range r.machine.Exited {
		if r.hasLeaderToken && !r.reported[key] {
			delete(r.machine.Exited, key)
		}
	}
	for key := range r.machine.UnknownTasks {
		// Exited unknown tasks are deleted too, because a machine with unknown tasks gets no new tasks.
		if r.machine.Exited[key] != nil || r.hasLeaderToken && !r.reported[key] {
			delete(r.machine.UnknownTasks, key)
		}
	}
}
