package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/statestore"
)

// adoptUnknownAttempt adds an attempt that the worker reports and the cluster state lacks, and requests its stop.
// The added attempt keeps the scheduler from starting the task a second time while it runs, and counts against its
// machine's room and its team's quota until it is proved gone. The result is nil if the task's job is unknown.
func (h *heartbeatReceiver) adoptUnknownAttempt(m *clusterstate.Machine, key clusterstate.AttemptKey) *clusterstate.Attempt {
	uid, index, ok := clusterstate.ParseTaskName(key.Task)
	if !ok {
		return nil
	}
	j := h.state.Jobs[uid]
	if j == nil || index >= j.Spec.Tasks {
		h.recordUnknownTask(m, key)
		return nil
	}
	h.reportUnrecorded(m, key)
	a := h.state.AddAttempt(m, j, index, key.Attempt, h.env.now)
	a.Durable, a.Loaded = true, true
	a.RecordReport()
	h.attempts.requestStop(a, j.Spec.SaveS, stopUnrecorded)
	h.machines.storeMachine(m, statestore.PriorityBackground, nil)
	return a
}

// reportUnrecorded logs an attempt that the worker reports and the cluster state lacks. If this leader has started the
// attempt, it has also seen its end: the worker has started it again.
func (h *heartbeatReceiver) reportUnrecorded(m *clusterstate.Machine, key clusterstate.AttemptKey) {
	ended := h.attemptNumbers.isAllocated(key.Attempt)
	h.env.observer.UnrecordedAttemptReported(ended)
	args := []any{"task", key.Task, "attempt", key.Attempt, "machine", m.ID, "epoch", m.Epoch, "sequence", m.Sequence, "worker_token", m.Token, "token", h.tokens.of(m)}
	if ended {
		h.env.log.Warn("worker runs an attempt again that had ended", append(args, "exit_reported", m.Exited[key] != nil)...)
		return
	}
	h.env.log.Info("heartbeat lists an unrecorded attempt", args...)
}

// recordUnknownTask records a reported task whose job the cluster state lacks. The dispatcher then sends stop commands
// for it.
func (h *heartbeatReceiver) recordUnknownTask(m *clusterstate.Machine, key clusterstate.AttemptKey) {
	if m.UnknownTasks == nil {
		m.UnknownTasks = map[clusterstate.AttemptKey]time.Duration{}
	}
	if _, known := m.UnknownTasks[key]; !known {
		h.env.log.Info("heartbeat lists an unknown task", "task", key.Task, "attempt", key.Attempt, "machine", m.ID)
		m.UnknownTasks[key] = 0
	}
}
