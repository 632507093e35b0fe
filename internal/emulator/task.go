package emulator

import (
	"fmt"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// Task is an attempt of a task on a worker. Its times are on the clock of the event queue; 0: not yet.
type Task struct {
	UID               string
	Attempt           uint64
	State             protocol.TaskState
	Cause             protocol.ExitCause
	CheckpointSaved   bool          // whether the task has saved a checkpoint
	StopRequestedAt   time.Duration // when a gang's task received the stop command
	peersMissingSince time.Duration // when another task of its gang began to be missing or stopping
	startNumber       int           // the worker's TasksStarted at the start of this task
}

// OccupiesMachine reports whether a task occupies its machine, as the protocol documentation defines it.
func (t *Task) OccupiesMachine() bool {
	return t.State == protocol.TaskRunning || t.State == protocol.TaskSavingCheckpoint || t.State == protocol.TaskWaitingForGang
}

// AttemptKey returns the key of a task's attempt in the Tasks of its worker.
func AttemptKey(task string, attempt uint64) string { return fmt.Sprintf("%s@%d", task, attempt) }

// Execute executes commands in order. Repeated run and clear commands have no effect. A repeated stop command ends a
// task that is still saving its checkpoint; it ends a gang's task only if the new grace period is too short to save one.
func (w *Worker) Execute(commands []protocol.Command) {
	for _, command := range commands {
		key := AttemptKey(command.Task, command.Attempt)
		existing := w.Tasks[key]
		switch command.Verb {
		case protocol.VerbRun:
			if existing == nil {
				w.startTask(command.Task, key, command.Attempt)
			}
		case protocol.VerbStop:
			if existing != nil && existing.State != protocol.TaskExited {
				w.stopTask(key, existing, command.GraceS)
			}
		case protocol.VerbClear:
			if existing != nil && existing.State == protocol.TaskExited {
				delete(w.Tasks, key)
				w.fleet.leaveGang(existing)
				w.heartbeatSoon()
			}
		}
	}
}

// AddTask adds a task to the worker directly, without a run command.
func (w *Worker) AddTask(task string, t *Task) {
	w.Tasks[AttemptKey(task, t.Attempt)] = t
	if job := w.fleet.Jobs(t.UID); job != nil && job.Gang {
		w.fleet.joinGang(w, t)
	}
}

// setState changes a task's state and schedules a heartbeat. It notifies the observer if the task no longer occupies
// its machine.
func (w *Worker) setState(key string, t *Task, state protocol.TaskState, cause protocol.ExitCause) {
	occupiedMachine := t.OccupiesMachine()
	t.State, t.Cause = state, cause
	if !t.OccupiesMachine() {
		w.notifyTaskStopped(key, t, occupiedMachine)
	}
	w.heartbeatSoon()
}

// notifyTaskStopped notifies the observer that a task no longer occupies its machine, if it did before.
func (w *Worker) notifyTaskStopped(key string, t *Task, occupiedMachine bool) {
	if occupiedMachine && w.fleet.TaskStopped != nil {
		task, _, _ := strings.Cut(key, "@")
		w.fleet.TaskStopped(w, task, t)
	}
}

// startTask adds a task and begins to fetch its image, unless the worker refuses the task.
func (w *Worker) startTask(task, key string, attempt uint64) {
	f := w.fleet
	uid, _, _ := strings.Cut(task, "/")
	job := f.Jobs(uid)
	w.TasksStarted++
	t := &Task{UID: uid, Attempt: attempt, State: protocol.TaskFetchingImage, startNumber: w.TasksStarted}
	w.Tasks[key] = t
	w.heartbeatSoon()
	if f.RefuseUnfit {
		if cause := w.refusalCause(task, t, job); cause != "" {
			t.State, t.Cause = protocol.TaskExited, cause
			return
		}
	}
	startNumber := t.startNumber
	f.queue.After(f.FetchTime(w, task, job), func() {
		if w.Tasks[key] != t || t.State != protocol.TaskFetchingImage || t.startNumber != startNumber || w.Deleted {
			return
		}
		w.startFetchedTask(task, key, t, job)
	})
}

// refusalCause returns the cause with which the worker refuses a task, or an empty cause if the task can start.
func (w *Worker) refusalCause(task string, candidate *Task, job *Job) protocol.ExitCause {
	if job == nil {
		return "no_such"
	}
	cores, accelerators, memory := job.Cores, job.Accelerators, job.MemoryGB
	for key, t := range w.Tasks {
		if t == candidate || t.State == protocol.TaskExited {
			continue
		}
		if otherTask, _, _ := strings.Cut(key, "@"); otherTask == task {
			return protocol.CauseBusy
		}
		if otherJob := w.fleet.Jobs(t.UID); otherJob != nil {
			cores, accelerators, memory = cores+otherJob.Cores, accelerators+otherJob.Accelerators, memory+otherJob.MemoryGB
		}
	}
	const tolerance = 1e-3 // for rounding errors of the sums
	if cores > w.MachineType.Cores+tolerance || accelerators > w.MachineType.Accelerators+tolerance || memory > w.MachineType.MemoryGB+tolerance {
		return protocol.CauseInsufficientResources
	}
	return ""
}

// startFetchedTask starts a task whose image has been fetched. A gang's task then waits for its gang.
func (w *Worker) startFetchedTask(task, key string, t *Task, job *Job) {
	f := w.fleet
	if f.FailsAtStart != nil && f.FailsAtStart(w, t) {
		w.setState(key, t, protocol.TaskExited, protocol.CauseError)
		return
	}
	w.setState(key, t, protocol.TaskRunning, "")
	if f.TaskStarted != nil {
		f.TaskStarted(w, task, t)
	}
	if job.Gang {
		w.waitForGang(key, t, job)
	}
	if !job.Service && !job.Gang {
		f.queue.After(f.RunTime(task), func() { w.finishTask(task, key, t, t.startNumber) })
	}
}

// finishTask completes a task whose run time has passed.
func (w *Worker) finishTask(task, key string, t *Task, startNumber int) {
	f := w.fleet
	if w.Hung {
		// A task on a hung machine makes no progress: it completes after the machine resumes.
		f.queue.After(f.Timing.CheckInterval, func() { w.finishTask(task, key, t, startNumber) })
		return
	}
	if w.Deleted || t.State != protocol.TaskRunning || t.startNumber != startNumber || w.Tasks[key] != t {
		return
	}
	w.setState(key, t, protocol.TaskExited, protocol.CauseDone)
	if f.TaskCompleted != nil {
		f.TaskCompleted(task, t)
	}
}

// stopTask stops a task. A running task that saves checkpoints, and whose grace period (in seconds) is long enough,
// ends after the time to save one. Any other task ends at once.
func (w *Worker) stopTask(key string, t *Task, graceS float64) {
	job := w.fleet.Jobs(t.UID)
	if job.Gang {
		w.stopGangTask(key, t, job, graceS)
		return
	}
	if t.State == protocol.TaskRunning && job.CheckpointS > 0 && graceS >= job.CheckpointS {
		w.setState(key, t, protocol.TaskSavingCheckpoint, "")
		w.fleet.queue.After(time.Duration(job.CheckpointS*float64(time.Second)), func() {
			if t.State == protocol.TaskSavingCheckpoint && w.Tasks[key] == t {
				w.setState(key, t, protocol.TaskExited, protocol.CauseStopped)
			}
		})
		return
	}
	w.setState(key, t, protocol.TaskExited, protocol.CauseStopped)
}
