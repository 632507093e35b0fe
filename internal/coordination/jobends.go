package coordination

import (
	"claybarrow/internal/ledger"
	"claybarrow/internal/statestore"
)

// settleCancel records the end of a cancelled job, and then tells of it, once its
// last task is proved gone. A follower in a zone that is cut off may keep a task
// alive for longer than cancel_s, but only of a job whose user has not been told.
// The request itself is stored at once: a user who has not been told asks again, but
// gives up after a while, and the job must not run on after a change of leader.
func (r *term) settleCancel(j *ledger.Job) {
	if !j.Cancelling || j.Finishing || j.HeldTotal > 0 {
		return
	}
	uid := j.Spec.UID
	j.Finishing = true
	r.withdrawFailures(j)
	r.records.Mark(ledger.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() {
		r.Terminal[uid] = ledger.TerminalState{Cancelled: true}
		r.ends.jobOver(j)
		r.dropChunks(j)
		r.users.answerCancels(uid)
		r.RemoveJob(uid)
	})
}

// finish writes a job's final state; its user is told once that is durable.
func (r *term) finish(j *ledger.Job) {
	if j.Finishing {
		return
	}
	uid := j.Spec.UID
	// What ended before it could be cancelled is done.
	j.Finishing, j.Cancelling = true, false
	r.records.Mark(ledger.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() {
		r.c.log.Info("done", "job", uid)
		r.Terminal[uid] = ledger.TerminalState{Tasks: j.Spec.Tasks}
		r.ends.jobOver(j)
		r.dropChunks(j)
		r.users.answerCancels(uid)
		r.RemoveJob(uid)
	})
}

// dropChunks has the records of completions of a job that is over deleted.
func (r *term) dropChunks(j *ledger.Job) {
	for _, key := range r.DoneKeys(j) {
		if r.records.Version(key) != 0 || r.records.IsPending(key) {
			r.records.Mark(key, statestore.Lazy, func() any { return nil }, nil)
		}
	}
}
