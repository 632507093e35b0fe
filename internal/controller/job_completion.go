package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/statestore"
)

// completeCancellation records the end of a cancelled job, and then tells of it, once its
// last task is proved gone. A follower in a zone that is cut off may keep a task
// alive for longer than cancel_s, but only of a job whose user has not been told.
// The request itself is stored at once: a user who has not been told asks again, but
// gives up after a while, and the job must not run on after a change of leader.
func (l *leadership) completeCancellation(j *clusterstate.Job) {
	if !j.Cancelling || j.Finishing || j.ActiveAttempts > 0 {
		return
	}
	uid := j.Spec.UID
	j.Finishing = true
	l.withdrawFailures(j)
	l.store.Mark(clusterstate.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() {
		l.state.Terminal[uid] = clusterstate.TerminalState{Cancelled: true}
		l.completions.releaseJobEntries(j)
		l.deleteCompletionRecords(j)
		l.userRequests.replyCancelled(uid)
		l.state.RemoveJob(uid)
	})
}

// completeJob writes a job's final state; its user is told once that is durable.
func (l *leadership) completeJob(j *clusterstate.Job) {
	if j.Finishing {
		return
	}
	uid := j.Spec.UID
	// What ended before it could be cancelled is done.
	j.Finishing, j.Cancelling = true, false
	l.store.Mark(clusterstate.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() {
		l.controller.env.log.Info("done", "job", uid)
		l.state.Terminal[uid] = clusterstate.TerminalState{Tasks: j.Spec.Tasks}
		l.completions.releaseJobEntries(j)
		l.deleteCompletionRecords(j)
		l.userRequests.replyCancelled(uid)
		l.state.RemoveJob(uid)
	})
}

// deleteCompletionRecords has the records of completions of a job that is over deleted.
func (l *leadership) deleteCompletionRecords(j *clusterstate.Job) {
	for _, key := range l.state.CompletionKeys(j) {
		if l.store.Version(key) != 0 || l.store.IsPending(key) {
			l.store.Mark(key, statestore.Lazy, func() any { return nil }, nil)
		}
	}
}
