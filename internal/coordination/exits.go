package coordination

import (
	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// onExit takes the end of an attempt.
func (r *term) onExit(m *ledger.Machine, key ledger.Key, t protocol.TaskReport) {
	if g := m.Exited[key]; g != nil {
		return
	}
	c := r.c
	g := &ledger.ExitedTask{Attempt: m.Attempts[key], Ready: true}
	m.Exited[key] = g
	if g.Attempt != nil {
		g.Attempt.Exit = t.Cause
	}
	uid, index, ok := ledger.ParseTask(key.Task)
	j := r.Jobs[uid]
	if !ok || j == nil || index >= j.Spec.Tasks {
		if g.Attempt != nil {
			r.gone(g.Attempt, exited)
		}
		return
	}
	c.log.Debug("exited", "task", key.Task, "try", key.Try, "machine", m.ID, "cause", t.Cause)
	switch t.Cause {
	case protocol.CauseDone:
		r.succeeded(j, m)
		if j.Spec.Service || j.Cancelling && j.Finishing {
			break
		}
		r.useImage(m, j)
		if j.Gang != nil {
			// If one task is done, all are; what tells so is kept until it is durable.
			g.Ready = false
			r.finishGang(j)
			r.records.Mark(ledger.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() { g.Ready = true })
			break
		}
		if j.MarkDone(index) || !j.Finishing {
			g.Ready = false
			ready := func() { g.Ready = true }
			if j.Done == j.Spec.Tasks {
				r.finish(j) // also if its cancellation was under way
				r.records.Mark(ledger.JobPrefix+uid, statestore.User, func() any { return j.Record() }, ready)
			} else {
				r.ends.completed(j, index, ready)
			}
		}
	case protocol.CauseError:
		r.onError(m, j, g.Attempt, key)
	case protocol.CauseNoRoom, protocol.CauseBusy:
		// The machine knows better than the ledger: leave it alone a moment.
		m.AsideUntil = max(m.AsideUntil, c.now+c.cfg.Report())
	case protocol.CauseHalted, protocol.CauseMatesGone:
	case protocol.CauseIncomplete:
		if c.now >= j.NotBefore {
			r.backOff(j) // once for all its tasks
		}
	default:
		r.backOff(j)
	}
	if g.Attempt != nil {
		r.gone(g.Attempt, exited)
	}
}

// goneReason is why an attempt is proved gone.
type goneReason string

// Proofs that an attempt is gone.
const (
	exited           goneReason = "exited"
	neverSent        goneReason = "never sent"
	notRecorded      goneReason = "it can't be recorded"
	absentFromReport goneReason = "absent from the machine's report"
	leaseOver        goneReason = "the worker's lease is over"
	machineFailed    goneReason = "the machine has failed"
	machineDeleted   goneReason = "deleted"
	machineUnlisted  goneReason = "no longer listed"
)

// gone takes an attempt that is proved gone out of the ledger.
func (r *term) gone(a *ledger.Attempt, why goneReason) {
	m := a.Machine
	r.Drop(a)
	if m.Images[a.Job.Spec.Image] {
		r.useImage(m, a.Job)
	}
	if len(m.Attempts) == 0 {
		m.IdleSince = r.c.now
	}
	r.c.log.Debug("gone", "task", a.Key().Task, "try", a.Try, "machine", m.ID, "why", why)
	j := a.Job
	if !j.Spec.Service && a.Sent && !a.Yielded && !j.IsDone(a.Index) && a.Exit != protocol.CauseError && a.Exit != protocol.CauseNoRoom {
		j.Interrupted(a.Index)
	}
	r.settleCancel(j)
	r.gangTaskGone(a, why)
	r.ends.left(a)
	r.fillDirty = true
}
