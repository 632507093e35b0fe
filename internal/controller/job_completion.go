package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/statestore"
)

// jobCompletion stores the final states of jobs. It has no state of its own: after a failover the next leader loads the
// stored final states, and repeats the completion of jobs whose final state was not stored.
type jobCompletion struct {
	completions  *completionRecorder
	env          *environment
	failures     *failureTracker
	state        *clusterstate.State
	store        *statestore.Writer
	userRequests *userRequests
}

// completeCancellation stores the final state of a cancelled job once its last task is proven to have ended; the user
// gets the reply once that state is durable. A follower in a partitioned zone may keep a task alive for longer than
// cancel_s, but only while the cancellation is unconfirmed. The request to cancel is stored at once: a user without a
// reply repeats the request only for a limited time, and the job must not continue to run after a failover.
func (c *jobCompletion) completeCancellation(j *clusterstate.Job) {
	if !j.Cancelling || j.Finalizing || j.ActiveAttempts > 0 {
		return
	}
	j.Finalizing = true
	c.storeTerminalState(j, clusterstate.TerminalState{Cancelled: true})
}

// completeJob stores the final state of a job whose tasks are all done; users who wait for its cancellation get the
// reply once that state is durable. A job whose tasks were done before its cancellation completed counts as done.
func (c *jobCompletion) completeJob(j *clusterstate.Job) {
	if j.Finalizing {
		return
	}
	j.Finalizing, j.Cancelling = true, false
	c.failures.withdrawFailures(j)
	c.storeTerminalState(j, clusterstate.TerminalState{Tasks: j.Spec.Tasks})
}

// storeTerminalState stores a job's final state. Once that is durable, the job and its completion records are removed,
// and the users who wait for its cancellation get the reply.
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

// deleteCompletionRecords queues the deletion of a job's completion records, which the final state replaces.
func (c *jobCompletion) deleteCompletionRecords(j *clusterstate.Job) {
	for _, key := range c.state.CompletionKeys(j) {
		if c.store.Version(key) != 0 || c.store.IsPending(key) {
			c.store.QueueWrite(key, statestore.PriorityBackground, func() any { return nil }, nil)
		}
	}
}
