package coordination

import (
	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
)

// keepCompleteGang looks at a gang that a new leader has read: only one whose places
// are all in the ledger, under one number, goes on. Any other is cleared and starts anew,
// as nobody knows which of its tasks an earlier leader, or an older version that
// starts them one by one, has sent.
func (r *term) keepCompleteGang(j *ledger.Job) {
	if j.Gang == nil || j.HeldTotal == 0 || j.Gang.Complete() {
		return
	}
	j.Gang.Apply(ledger.PlacesIncomplete)
	r.clearGang(j, "its gang is not complete in the ledger")
}

// startGang sends the runs of a gang once the last of its places is durable.
func (r *term) startGang(j *ledger.Job) {
	if j.Gang == nil || !j.Gang.Complete() {
		return
	}
	for _, a := range j.Gang.Attempts() {
		r.dispatch(a.Machine)
	}
}

// gangTaskGone decides what the end of one task means for the rest of its gang.
func (r *term) gangTaskGone(a *ledger.Attempt, reason goneReason) {
	g := a.Job.Gang
	if g == nil || a.Try != g.Try || g.State == ledger.GangDone || endedAsTold(a, reason) {
		return
	}
	event := ledger.TaskLost
	if reason != exited && a.Durable && !a.Loaded && g.Replaces() {
		// The place is proved empty, and the worker does not have the number: after an
		// exit it would take a repeated run for one that it has had.
		event = ledger.TaskReplaceable
	}
	if g.Apply(event) && g.State == ledger.GangBroken {
		r.clearGang(a.Job, "a task of its gang is gone")
	}
}

// endedAsTold says whether a task that was told to stop has ended in good order, so
// that the others of its gang go on with saving.
func endedAsTold(a *ledger.Attempt, reason goneReason) bool {
	switch reason {
	case neverSent, absentFromReport:
		return a.Halt
	case exited:
		return a.Halt && a.Exit == protocol.CauseHalted
	}
	return false
}

// clearGang stops all that may be left of a gang's attempt, at once.
func (r *term) clearGang(j *ledger.Job, why string) {
	for _, a := range j.Gang.Attempts() {
		r.haltAttempt(a, 0, why)
	}
}

// haltGang stops all tasks under the attempt's number in the same breath and with
// the same leeway, which leaves them time to wait for one another after saving.
func (r *term) haltGang(j *ledger.Job, try uint64, grace float64, why string) {
	if try == j.Gang.Try {
		j.Gang.Apply(ledger.StopRequested)
	}
	if grace > 0 {
		grace += r.c.cfg.GangPeer().Seconds()
	}
	for _, a := range j.Gang.Attempts() {
		if a.Try == try {
			r.haltAttempt(a, grace, why)
		}
	}
}

// finishGang notes that a gang is done, as one of its tasks is.
func (r *term) finishGang(j *ledger.Job) {
	j.Gang.Apply(ledger.TaskDone)
	for i := range j.Spec.Tasks {
		j.MarkDone(i)
	}
	r.finish(j)
}
