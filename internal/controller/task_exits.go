package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// onExit takes the end of an attempt.
func (l *leadership) onExit(m *clusterstate.Machine, key clusterstate.AttemptKey, t protocol.TaskStatus) {
	if g := m.Exited[key]; g != nil {
		return
	}

	g := &clusterstate.ExitedTask{Attempt: m.Attempts[key], Ready: true}
	m.Exited[key] = g
	if g.Attempt != nil {
		g.Attempt.Exit = t.Cause
	}
	uid, index, ok := clusterstate.ParseTask(key.Task)
	j := l.state.Jobs[uid]
	if !ok || j == nil || index >= j.Spec.Tasks {
		if g.Attempt != nil {
			l.removeAttempt(g.Attempt, reportedExited)
		}
		return
	}
	l.controller.env.log.Debug("exited", "task", key.Task, "try", key.Attempt, "machine", m.ID, "cause", t.Cause)
	switch t.Cause {
	case protocol.CauseDone:
		l.noteTaskSuccess(j, m)
		if j.Spec.Service || j.Cancelling && j.Finishing {
			break
		}
		l.noteImageUse(m, j)
		if j.Gang != nil {
			// If one task is done, all are; what tells so is kept until it is durable.
			g.Ready = false
			l.completeGang(j)
			l.store.Mark(clusterstate.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() { g.Ready = true })
			break
		}
		if j.MarkDone(index) || !j.Finishing {
			g.Ready = false
			ready := func() { g.Ready = true }
			if j.Done == j.Spec.Tasks {
				l.completeJob(j) // also if its cancellation was under way
				l.store.Mark(clusterstate.JobPrefix+uid, statestore.User, func() any { return j.Record() }, ready)
			} else {
				l.completions.recordCompletion(j, index, ready)
			}
		}
	case protocol.CauseError:
		l.onTaskError(m, j, g.Attempt, key)
	case protocol.CauseNoRoom, protocol.CauseBusy:
		// The machine knows better than the ledger: leave it alone a moment.
		m.QuarantinedUntil = max(m.QuarantinedUntil, l.controller.env.now+l.controller.env.cfg.Report())
	case protocol.CauseStopped, protocol.CausePeersLost:
	case protocol.CauseIncomplete:
		if l.controller.env.now >= j.NotBefore {
			l.backOffJob(j) // once for all its tasks
		}
	default:
		l.backOffJob(j)
	}
	if g.Attempt != nil {
		l.removeAttempt(g.Attempt, reportedExited)
	}
}

// absenceProof is why an attempt is proved gone.
type absenceProof string

// Proofs that an attempt is gone.
const (
	reportedExited      absenceProof = "exited"
	neverSent           absenceProof = "never sent"
	notRecorded         absenceProof = "it can't be recorded"
	absentFromHeartbeat absenceProof = "absent from the machine's report"
	leaseExpired        absenceProof = "the worker's lease is over"
	machineFailed       absenceProof = "the machine has failed"
	machineDeleted      absenceProof = "deleted"
	machineUnlisted     absenceProof = "no longer listed"
)

// removeAttempt takes an attempt that is proved gone out of the ledger.
func (l *leadership) removeAttempt(a *clusterstate.Attempt, why absenceProof) {
	m := a.Machine
	l.state.RemoveAttempt(a)
	if m.Images[a.Job.Spec.Image] {
		l.noteImageUse(m, a.Job)
	}
	if len(m.Attempts) == 0 {
		m.IdleSince = l.controller.env.now
	}
	l.controller.env.log.Debug("gone", "task", a.Key().Task, "try", a.Number, "machine", m.ID, "why", why)
	j := a.Job
	if !j.Spec.Service && a.Sent && !a.Preempted && !j.IsDone(a.Index) && a.Exit != protocol.CauseError && a.Exit != protocol.CauseNoRoom {
		j.MarkInterrupted(a.Index)
	}
	l.completeCancellation(j)
	l.gangTaskGone(a, why)
	l.completions.recordDeparture(a)
	l.fillPending = true
}
