package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// verifyGang looks at a gang that a new leader has read: only one whose places
// are all in the ledger, under one number, goes on. Any other is cleared and starts anew,
// as nobody knows which of its tasks an earlier leader, or an older version that
// starts them one by one, has sent.
func (t *attemptTracker) verifyGang(j *clusterstate.Job) {
	if j.Gang == nil || j.ActiveAttempts == 0 || j.Gang.Complete() {
		return
	}
	j.Gang.Apply(clusterstate.PlacesIncomplete)
	t.abortGang(j, stopGangIncomplete)
}

// startGang sends the runs of a gang once the last of its places is durable.
func (t *attemptTracker) startGang(j *clusterstate.Job) {
	if j.Gang == nil || !j.Gang.Complete() {
		return
	}
	for _, a := range j.Gang.Attempts() {
		t.dispatcher.dispatchCommands(a.Machine)
	}
}

// gangTaskGone decides what the end of one task means for the rest of its gang.
func (t *attemptTracker) gangTaskGone(a *clusterstate.Attempt, reason absenceProof) {
	g := a.Job.Gang
	if g == nil || a.Number != g.Number || g.State == clusterstate.GangDone || endedAsTold(a, reason) {
		return
	}
	event := clusterstate.TaskLost
	if reason != reportedExited && a.Durable && !a.Loaded && g.Replaces() {
		// The place is proved empty, and the worker does not have the number: after an
		// exit it would take a repeated run for one that it has had.
		event = clusterstate.TaskReplaceable
	}
	if g.Apply(event) && g.State == clusterstate.GangBroken {
		t.abortGang(a.Job, stopGangTaskLost)
	}
}

// endedAsTold says whether a task that was told to stop has ended in good order, so
// that the others of its gang go on with saving.
func endedAsTold(a *clusterstate.Attempt, reason absenceProof) bool {
	switch reason {
	case neverSent, absentFromHeartbeat:
		return a.StopRequested
	case reportedExited:
		return a.StopRequested && a.Exit == protocol.CauseStopped
	}
	return false
}

// abortGang stops all that may be left of a gang's attempt, at once.
func (t *attemptTracker) abortGang(j *clusterstate.Job, reason stopReason) {
	for _, a := range j.Gang.Attempts() {
		t.requestAttemptStop(a, 0, reason)
	}
}

// requestGangStop stops all tasks under the attempt's number in the same breath and with
// the same leeway, which leaves them time to wait for one another after saving.
func (t *attemptTracker) requestGangStop(j *clusterstate.Job, try uint64, grace float64, reason stopReason) {
	if try == j.Gang.Number {
		j.Gang.Apply(clusterstate.StopRequested)
	}
	if grace > 0 {
		grace += t.env.cfg.GangPeer().Seconds()
	}
	for _, a := range j.Gang.Attempts() {
		if a.Number == try {
			t.requestAttemptStop(a, grace, reason)
		}
	}
}

// completeGang notes that a gang is done, as one of its tasks is.
func (t *attemptTracker) completeGang(j *clusterstate.Job) {
	j.Gang.Apply(clusterstate.TaskDone)
	for i := range j.Spec.Tasks {
		j.MarkDone(i)
	}
	t.jobs.completeJob(j)
}
