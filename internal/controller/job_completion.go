package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/statestore"
)

// jobCompletion stores the final states of jobs.
type jobCompletion struct {
	completions  *completionRecorder
	env          *environment
	failures     *failureTracker
	state        *clusterstate.State
	store        *statestore.Writer
	userRequests *userRequests
}

// completeCancellation records the end of a cancelled job, and then tells of it, once its
// last task is proved gone. A follower in a zone that is cut off may keep a task
// alive for longer than cancel_s, but only of a job whose user has not been told.
// The request itself is stored at once: a user who has not been told asks again, but
// gives up after a while, and the job must not run on after a change of leader.
func (c *jobCompletion) completeCancellation(j *clusterstate.Job) {
	if !j.Cancelling || j.Finishing || j.ActiveAttempts > 0 {
		return
	}
	uid := j.Spec.UID
	j.Finishing = true
	c.failures.withdrawFailures(j)
	c.store.Mark(clusterstate.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() {
		c.state.Terminal[uid] = clusterstate.TerminalState{Cancelled: true}
		c.completions.releaseJobEntries(j)
		c.deleteCompletionRecords(j)
		c.userRequests.replyCancelled(uid)
		c.state.RemoveJob(uid)
	})
}

// completeJob writes a job's final state; its user is told once that is durable.
func (c *jobCompletion) completeJob(j *clusterstate.Job) {
	if j.Finishing {
		return
	}
	uid := j.Spec.UID
	// What ended before it could be cancelled is done.
	j.Finishing, j.Cancelling = true, false
	c.store.Mark(clusterstate.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() {
		c.env.log.Info("job done", "job", uid)
		c.state.Terminal[uid] = clusterstate.TerminalState{Tasks: j.Spec.Tasks}
		c.completions.releaseJobEntries(j)
		c.deleteCompletionRecords(j)
		c.userRequests.replyCancelled(uid)
		c.state.RemoveJob(uid)
	})
}

// deleteCompletionRecords has the records of completions of a job that is over deleted.
func (c *jobCompletion) deleteCompletionRecords(j *clusterstate.Job) {
	for _, key := range c.state.CompletionKeys(j) {
		if c.store.Version(key) != 0 || c.store.IsPending(key) {
			c.store.Mark(key, statestore.Lazy, func() any { return nil }, nil)
		}
	}
}
