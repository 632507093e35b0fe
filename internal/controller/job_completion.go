package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/statestore"
)

// jobCompletion stores the final states of jobs. It has no state of its own: a failover finds the final states among
// the stored records, and completes anew what was not stored.
type jobCompletion struct {
	completions  *completionRecorder
	env          *environment
	failures     *failureTracker
	state        *clusterstate.State
	store        *statestore.Writer
	userRequests *userRequests
}

// completeCancellation stores the end of a cancelled job once its last task is proved to have ended; its user is
// answered once that is stored. A follower in a zone that is cut off may keep a task alive for longer than cancel_s,
// but only of a job whose user has not been answered. The request to cancel is stored at once: a user who gets no
// answer asks again, but gives up after a while, and the job must not run on after a failover.
func (c *jobCompletion) completeCancellation(j *clusterstate.Job) {
	if !j.Cancelling || j.Finalizing || j.ActiveAttempts > 0 {
		return
	}
	j.Finalizing = true
	c.failures.withdrawFailures(j)
	c.storeTerminalState(j, clusterstate.TerminalState{Cancelled: true})
}

// completeJob stores the end of a job whose tasks are all done; its user is answered once that is stored. A job that
// was done before it could be cancelled counts as done.
func (c *jobCompletion) completeJob(j *clusterstate.Job) {
	if j.Finalizing {
		return
	}
	j.Finalizing, j.Cancelling = true, false
	c.storeTerminalState(j, clusterstate.TerminalState{Tasks: j.Spec.Tasks})
}

// storeTerminalState stores a job's final state. Once that is durable the job and its records of completions are
// removed, and the users who wait for its cancellation are answered.
func (c *jobCompletion) storeTerminalState(j *clusterstate.Job, terminal clusterstate.TerminalState) {
	uid := j.Spec.UID
	c.store.QueueWrite(clusterstate.JobPrefix+uid, statestore.PriorityUser, func() any { return j.Record() }, func() {
		if !terminal.Cancelled {
			c.env.log.Info("job done", "job", uid)
		}
		c.state.TerminalJobs[uid] = terminal
		c.completions.releaseJobEntries(j)
		c.deleteCompletionRecords(j)
		c.userRequests.replyCancelled(uid)
		c.state.RemoveJob(uid)
	})
}

// deleteCompletionRecords has the records of a job's completed tasks deleted, as its final state replaces them.
func (c *jobCompletion) deleteCompletionRecords(j *clusterstate.Job) {
	for _, key := range c.state.CompletionKeys(j) {
		if c.store.Version(key) != 0 || c.store.IsPending(key) {
			c.store.QueueWrite(key, statestore.PriorityBackground, func() any { return nil }, nil)
		}
	}
}
