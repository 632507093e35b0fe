package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// onExit takes the end of an attempt.
func (h *heartbeatReceiver) onExit(m *clusterstate.Machine, key clusterstate.AttemptKey, t protocol.TaskStatus) {
	if g := m.Exited[key]; g != nil {
		return
	}

	g := &clusterstate.ExitedTask{Attempt: m.Attempts[key], Ready: true}
	m.Exited[key] = g
	if g.Attempt != nil {
		g.Attempt.Exit = t.Cause
	}
	uid, index, ok := clusterstate.ParseTask(key.Task)
	j := h.state.Jobs[uid]
	if !ok || j == nil || index >= j.Spec.Tasks {
		if g.Attempt != nil {
			h.attempts.removeAttempt(g.Attempt, reportedExited)
		}
		return
	}
	h.env.log.Debug("task exited", "task", key.Task, "attempt", key.Attempt, "machine", m.ID, "cause", t.Cause)
	switch t.Cause {
	case protocol.CauseDone:
		h.failures.noteTaskSuccess(j, m)
		if j.Spec.Service || j.Cancelling && j.Finishing {
			break
		}
		h.machines.noteImageUse(m, j)
		if j.Gang != nil {
			// If one task is done, all are; what tells so is kept until it is durable.
			g.Ready = false
			h.attempts.completeGang(j)
			h.store.Mark(clusterstate.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() { g.Ready = true })
			break
		}
		if j.MarkDone(index) || !j.Finishing {
			g.Ready = false
			ready := func() { g.Ready = true }
			if j.Done == j.Spec.Tasks {
				h.jobs.completeJob(j) // also if its cancellation was under way
				h.store.Mark(clusterstate.JobPrefix+uid, statestore.User, func() any { return j.Record() }, ready)
			} else {
				h.completions.recordCompletion(j, index, ready)
			}
		}
	case protocol.CauseError:
		h.failures.onTaskError(m, j, g.Attempt, key)
	case protocol.CauseNoRoom, protocol.CauseBusy:
		// The machine knows better than the ledger: leave it alone a moment.
		m.QuarantinedUntil = max(m.QuarantinedUntil, h.env.now+h.env.cfg.Report())
	case protocol.CauseStopped, protocol.CausePeersLost:
	case protocol.CauseIncomplete:
		if h.env.now >= j.NotBefore {
			h.failures.backOffJob(j) // once for all its tasks
		}
	default:
		h.failures.backOffJob(j)
	}
	if g.Attempt != nil {
		h.attempts.removeAttempt(g.Attempt, reportedExited)
	}
}
