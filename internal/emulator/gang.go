package emulator

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// GangAttempt identifies an attempt of a gang by the UID of its job and the number of the attempt.
type GangAttempt struct {
	UID     string
	Attempt uint64
}

// gangTasks returns the tasks of a gang's attempt that occupy machines, ordered by the number of their start on
// their own worker (startNumber).
func (f *Fleet) gangTasks(attempt GangAttempt) (tasks []*Task) {
	for t, worker := range f.gangs[attempt] {
		if t.OccupiesMachine() && !worker.Deleted {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, func(a, b *Task) int { return cmp.Compare(a.startNumber, b.startNumber) })
	return tasks
}

func (t *Task) gangAttempt() GangAttempt { return GangAttempt{t.UID, t.Attempt} }

// joinGang adds a task to the attempt of its gang.
func (f *Fleet) joinGang(worker *Worker, t *Task) {
	attempt := t.gangAttempt()
	if f.gangs[attempt] == nil {
		f.gangs[attempt] = map[*Task]*Worker{}
	}
	f.gangs[attempt][t] = worker
}

// leaveGang removes a task that its worker no longer reports from the attempt of its gang.
func (f *Fleet) leaveGang(t *Task) {
	attempt := t.gangAttempt()
	delete(f.gangs[attempt], t)
	if len(f.gangs[attempt]) == 0 {
		delete(f.gangs, attempt)
	}
}

// waitForGang makes a gang's task wait for the other tasks of the gang, and starts the gang if this task was the last
// missing one. A task whose gang does not start within Timing.GangStartTimeout ends.
func (w *Worker) waitForGang(key string, t *Task, job *Job) {
	f := w.fleet
	w.setState(key, t, protocol.TaskWaitingForGang, "")
	f.joinGang(w, t)
	f.startGangIfComplete(t.gangAttempt(), job)
	f.queue.After(f.Timing.GangStartTimeout, func() {
		if t.State == protocol.TaskWaitingForGang {
			w.setState(key, t, protocol.TaskExited, protocol.CauseIncomplete)
		}
	})
}

// startGangIfComplete starts a gang once all of its tasks are waiting. The tasks complete together.
func (f *Fleet) startGangIfComplete(attempt GangAttempt, job *Job) {
	tasks := f.gangTasks(attempt)
	allInState := func(state protocol.TaskState) bool {
		count := 0
		for _, t := range tasks {
			if t.State == state && t.StopRequestedAt == 0 {
				count++
			}
		}
		return count == job.Tasks
	}
	if !allInState(protocol.TaskWaitingForGang) {
		return
	}
	for _, t := range tasks {
		t.State = protocol.TaskRunning
		f.gangs[attempt][t].heartbeatSoon()
	}
	f.GangStarts[attempt.UID]++
	f.queue.After(f.RunTime(attempt.UID+"/0"), func() {
		if len(f.gangTasks(attempt)) != len(tasks) || !allInState(protocol.TaskRunning) {
			return
		}
		f.finishGang(attempt, tasks)
	})
}

// finishGang completes all tasks of a gang.
func (f *Fleet) finishGang(attempt GangAttempt, tasks []*Task) {
	for _, t := range tasks {
		worker := f.gangs[attempt][t]
		key := worker.attemptKey(t)
		worker.setState(key, t, protocol.TaskExited, protocol.CauseDone)
	}
	for i, t := range tasks {
		if f.TaskCompleted != nil {
			f.TaskCompleted(attempt.UID+"/"+strconv.Itoa(i), t)
		}
	}
}

// attemptKey returns the key of a task in the worker's Tasks.
func (w *Worker) attemptKey(t *Task) string {
	for key, other := range w.Tasks {
		if other == t {
			return key
		}
	}
	return AttemptKey(t.UID, t.Attempt)
}

// stopGangTask stops a gang's task. A running task whose grace period (in seconds) is long enough to save a checkpoint
// is ended later by stepGangStop and is reported as running until then, as the protocol documentation specifies. Any
// other task ends at once.
func (w *Worker) stopGangTask(key string, t *Task, job *Job, graceS float64) {
	f := w.fleet
	if t.StopRequestedAt == 0 && f.GangStopRequested != nil {
		f.GangStopRequested(t, graceS)
	}
	if t.State != protocol.TaskRunning || job.CheckpointS == 0 || graceS < job.CheckpointS {
		w.setState(key, t, protocol.TaskExited, protocol.CauseStopped)
		return
	}
	if t.StopRequestedAt == 0 {
		t.StopRequestedAt = f.queue.Now()
	}
}

// StepGangs makes the running tasks of gangs react to missing or stopping tasks of the same gang, as the protocol
// documentation specifies. The owner of the fleet calls it at short intervals.
func (f *Fleet) StepGangs() {
	attempts := slices.SortedFunc(maps.Keys(f.gangs), func(a, b GangAttempt) int {
		return cmp.Or(strings.Compare(a.UID, b.UID), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, attempt := range attempts {
		job := f.Jobs(attempt.UID)
		for _, t := range f.gangTasks(attempt) {
			worker := f.gangs[attempt][t]
			if t.State != protocol.TaskRunning || worker.Hung {
				continue
			}
			if t.StopRequestedAt > 0 {
				f.stepGangStop(worker, t, job)
			} else {
				f.checkGangPeers(worker, t, job)
			}
		}
	}
}

// checkGangPeers ends a task that has not received a stop command if, for Timing.GangPeerTimeout, other tasks of its
// gang have been missing or stopping.
func (f *Fleet) checkGangPeers(worker *Worker, t *Task, job *Job) {
	running := 0
	for _, peer := range f.gangTasks(t.gangAttempt()) {
		if peer.State == protocol.TaskRunning && peer.StopRequestedAt == 0 {
			running++
		}
	}
	now := f.queue.Now()
	switch {
	case running == job.Tasks:
		t.peersMissingSince = 0
	case t.peersMissingSince == 0:
		t.peersMissingSince = now
	case now >= t.peersMissingSince+f.Timing.GangPeerTimeout:
		worker.setState(worker.attemptKey(t), t, protocol.TaskExited, protocol.CausePeersLost)
	}
}

// stepGangStop ends a task that has received a stop command: with a checkpoint once the time to save one has passed and
// all tasks of the gang have received a stop command, or without a checkpoint if the others have received none within
// Timing.GangPeerTimeout of the first one.
func (f *Fleet) stepGangStop(worker *Worker, t *Task, job *Job) {
	attempt := t.gangAttempt()
	// Tasks that have ended with a checkpoint had received a stop command.
	stopRequested, firstStopAt := f.checkpointedTasks[attempt], t.StopRequestedAt
	for _, peer := range f.gangTasks(attempt) {
		if peer.StopRequestedAt > 0 {
			stopRequested++
			firstStopAt = min(firstStopAt, peer.StopRequestedAt)
		}
	}
	saveDuration := time.Duration(job.CheckpointS * float64(time.Second))
	now := f.queue.Now()
	switch {
	case now < t.StopRequestedAt+saveDuration:
	case stopRequested == job.Tasks:
		t.CheckpointSaved = true
		worker.setState(worker.attemptKey(t), t, protocol.TaskExited, protocol.CauseStopped)
		if f.checkpointedTasks[attempt] == 0 {
			f.GangCheckpoints[t.UID]++
		}
		f.checkpointedTasks[attempt]++
	case now >= firstStopAt+f.Timing.GangPeerTimeout:
		worker.setState(worker.attemptKey(t), t, protocol.TaskExited, protocol.CausePeersLost)
	}
}
