package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// verifyGang checks a gang that a new leader has loaded. A gang continues only if all its tasks have recorded
// placements under one attempt number. Any other gang is stopped and restarted, as the records do not show which run
// commands an earlier leader has sent. An older version of the program, which starts the tasks of a gang one by one,
// may have sent some of them.
func (t *attemptTracker) verifyGang(j *clusterstate.Job) {
	if j.Gang == nil || j.ActiveAttempts == 0 || j.Gang.Complete() {
		return
	}
	j.Gang.Apply(clusterstate.PlacementsIncomplete)
	t.abortGang(j, stopGangIncomplete)
}

// startGang sends the run commands of a gang once all its placements are durable.
func (t *attemptTracker) startGang(j *clusterstate.Job) {
	if j.Gang == nil || !j.Gang.Complete() {
		return
	}
	for _, a := range j.Gang.Attempts() {
		t.dispatcher.dispatchCommands(a.Machine)
	}
}

// completeGang marks all tasks of a gang as done after one of them has completed.
func (t *attemptTracker) completeGang(j *clusterstate.Job) {
	j.Gang.Apply(clusterstate.TaskDone)
	for i := range j.Spec.Tasks {
		j.MarkDone(i)
	}
	t.jobs.completeJob(j)
}

// onGangTaskRemoved applies the removal of one task's attempt to the state of its gang, and aborts the gang if the task
// can't be replaced.
func (t *attemptTracker) onGangTaskRemoved(a *clusterstate.Attempt, proof absenceProof) {
	g := a.Job.Gang
	if g == nil || a.Number != g.Number || g.State == clusterstate.GangDone || stoppedAsRequested(a, proof) {
		return
	}
	event := clusterstate.TaskLost
	if proof != reportedExited && a.Durable && !a.Loaded && g.MayReplaceTasks() {
		// The attempt is proved absent, and the worker has not recorded its number. After an exit the worker would
		// ignore a repeated run command with the same number as already executed.
		event = clusterstate.TaskReplaceable
	}
	if g.Apply(event) && g.State == clusterstate.GangBroken {
		t.abortGang(a.Job, stopGangTaskLost)
	}
}

// stoppedAsRequested reports whether a task has ended because its stop was requested. The other tasks of its gang then
// continue to save their checkpoints.
func stoppedAsRequested(a *clusterstate.Attempt, proof absenceProof) bool {
	switch proof {
	case neverSent, absentFromHeartbeat:
		return a.StopRequested
	case reportedExited:
		return a.StopRequested && a.ExitCause == protocol.CauseStopped
	case notRecorded, leaseExpired, machineFailed, machineDeleted, machineUnlisted:
		return false // the task was lost, even if its stop had been requested
	}
	return false
}

// abortGang requests the immediate stop of all remaining attempts of a gang, without a grace period.
func (t *attemptTracker) abortGang(j *clusterstate.Job, reason stopReason) {
	for _, a := range j.Gang.Attempts() {
		t.requestAttemptStop(a, 0, reason)
	}
}

// requestGangStop requests the stop of all tasks of a gang under one attempt number, with the same grace period. A
// grace period above 0 is extended by the time for which tasks wait for their peers after saving.
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
