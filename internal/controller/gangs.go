package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// verifyGang checks a gang that a new leader has read. Only one whose tasks all have recorded placements under
// one attempt number goes on. Any other is stopped and starts anew, as nobody knows which of its tasks an
// earlier leader, or an older version that starts them one by one, has sent.
func (t *attemptTracker) verifyGang(j *clusterstate.Job) {
	if j.Gang == nil || j.ActiveAttempts == 0 || j.Gang.Complete() {
		return
	}
	j.Gang.Apply(clusterstate.PlacesIncomplete)
	t.abortGang(j, stopGangIncomplete)
}

// startGang sends the run commands of a gang once the last of its placements is durable.
func (t *attemptTracker) startGang(j *clusterstate.Job) {
	if j.Gang == nil || !j.Gang.Complete() {
		return
	}
	for _, a := range j.Gang.Attempts() {
		t.dispatcher.dispatchCommands(a.Machine)
	}
}

// completeGang marks all tasks of a gang as done, as one of them is.
func (t *attemptTracker) completeGang(j *clusterstate.Job) {
	j.Gang.Apply(clusterstate.TaskDone)
	for i := range j.Spec.Tasks {
		j.MarkDone(i)
	}
	t.jobs.completeJob(j)
}

// onGangTaskRemoved decides what the removal of one task's attempt means for the rest of its gang.
func (t *attemptTracker) onGangTaskRemoved(a *clusterstate.Attempt, proof absenceProof) {
	g := a.Job.Gang
	if g == nil || a.Number != g.Number || g.State == clusterstate.GangDone || stoppedAsRequested(a, proof) {
		return
	}
	event := clusterstate.TaskLost
	if proof != reportedExited && a.Durable && !a.Loaded && g.MayReplaceTasks() {
		// The attempt is proved absent and the worker does not know its number. After an exit the worker would
		// take a repeated run command for one that it has executed.
		event = clusterstate.TaskReplaceable
	}
	if g.Apply(event) && g.State == clusterstate.GangBroken {
		t.abortGang(a.Job, stopGangTaskLost)
	}
}

// stoppedAsRequested reports whether a task that was requested to stop has ended as requested, so that the
// others of its gang go on saving.
func stoppedAsRequested(a *clusterstate.Attempt, proof absenceProof) bool {
	switch proof {
	case neverSent, absentFromHeartbeat:
		return a.StopRequested
	case reportedExited:
		return a.StopRequested && a.ExitCause == protocol.CauseStopped
	case notRecorded, leaseExpired, machineFailed, machineDeleted, machineUnlisted:
		return false // the task was lost, whatever was requested of it
	}
	return false
}

// abortGang stops all that may be left of a gang's attempts at once, without a grace period.
func (t *attemptTracker) abortGang(j *clusterstate.Job, reason stopReason) {
	for _, a := range j.Gang.Attempts() {
		t.requestAttemptStop(a, 0, reason)
	}
}

// requestGangStop stops all tasks under one attempt number together and with the same grace period, which
// leaves them time to wait for one another after saving.
func (t *attemptTracker) requestGangStop(j *clusterstate.Job, number uint64, grace float64, reason stopReason) {
	if number == j.Gang.Number {
		j.Gang.Apply(clusterstate.StopRequested)
	}
	if grace > 0 {
		grace += t.env.cfg.GangPeerTimeout().Seconds()
	}
	for _, a := range j.Gang.Attempts() {
		if a.Number == number {
			t.requestAttemptStop(a, grace, reason)
		}
	}
}
