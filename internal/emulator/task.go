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
	generation        int           // the worker's TasksStarted at the start of this task
}

// OccupiesMachine reports whether a task occupies its machine, as the protocol documentation defines it.
func (t *Task) OccupiesMachine() bool {
	return t.State == protocol.TaskRunning || t.State == protocol.TaskSavingCheckpoint || t.State == protocol.TaskWaitingForGang
}

// AttemptKey returns the key of a task's attempt in the Tasks of its worker.
func AttemptKey(task string, attempt uint64) string { return fmt.Sprintf("%s@%d", task, attempt) }

// Execute executes commands in order. Repeated run and clear commands have no effect. A repeated stop command ends a
// task that is still saving its checkpoint.
func (w *Worker) Execute(commands []protocol.Command) {
	for _, c := range commands {
		name := AttemptKey(c.Task, c.Attempt)
		existing := w.Tasks[name]
		switch c.Verb {
		case protocol.VerbRun:
			if existing == nil {
				w.startTask(c.Task, name, c.Attempt)
			}
		case protocol.VerbStop:
			if existing != nil && existing.State != protocol.TaskExited {
				w.stopTask(name, existing, c.GraceS)
			}
		case protocol.VerbClear:
			if existing != nil && existing.State == protocol.TaskExited {
				delete(w.Tasks, name)
				w.fleet.leaveGang(existing)
				w.heartbeatSoon()
			}
		}
	}
}

// AddTask adds a task to the machine without a command.
func (w *Worker) AddTask(task string, t *Task) {
	w.Tasks[AttemptKey(task, t.Attempt)] = t
	if job := w.fleet.Jobs(t.UID); job != nil && job.Gang {
		w.fleet.joinGang(w, t)
	}
}

// setState changes a task's state and schedules a heartbeat. It notifies the observer if the task no longer occupies its
// machine.
func (w *Worker) setState(name string, t *Task, state protocol.TaskState, cause protocol.ExitCause) {
	wasRunning := t.OccupiesMachine()
	t.State, t.Cause = state, cause
	if !t.OccupiesMachine() {
		w.notifyLeft(name, t, wasRunning)
	}
	w.heartbeatSoon()
}

// notifyLeft notifies the observer that a task no longer occupies its machine, if it did before.
func (w *Worker) notifyLeft(name string, t *Task, wasRunning bool) {
	if wasRunning && w.fleet.TaskStopped != nil {
		task, _, _ := strings.Cut(name, "@")
		w.fleet.TaskStopped(w, task, t)
	}
}

// startTask adds a task and begins to fetch its image, unless the worker refuses the task.
func (w *Worker) startTask(task, name string, attempt uint64) {
	f := w.fleet
	uid, _, _ := strings.Cut(task, "/")
	job := f.Jobs(uid)
	w.TasksStarted++
	t := &Task{UID: uid, Attempt: attempt, State: protocol.TaskFetchingImage, generation: w.TasksStarted}
	w.Tasks[name] = t
	w.heartbeatSoon()
	if f.RefuseUnfit {
		if cause := w.refusalCause(task, t, job); cause != "" {
			t.State, t.Cause = protocol.TaskExited, cause
			return
		}
	}
	generation := t.generation
	f.queue.After(f.FetchTime(w, task, job), func() {
		if w.Tasks[name] != t || t.State != protocol.TaskFetchingImage || t.generation != generation || w.Deleted {
			return
		}
		w.imageReady(task, name, t, job)
	})
}

// refusalCause returns the cause with which the worker refuses a task, or an empty cause if the task can start.
func (w *Worker) refusalCause(task string, started *Task, job *Job) protocol.ExitCause {
	if job == nil {
		return "no_such"
	}
	cores, accel, memory := job.Cores, job.Accelerators, job.MemoryGB
	for name, t := range w.Tasks {
		if t == started || t.State == protocol.TaskExited {
			continue
		}
		if other, _, _ := strings.Cut(name, "@"); other == task {
			return protocol.CauseBusy
		}
		if j := w.fleet.Jobs(t.UID); j != nil {
			cores, accel, memory = cores+j.Cores, accel+j.Accelerators, memory+j.MemoryGB
		}
	}
	const slack = 1e-3 // tolerance for rounding errors of the sums
	if cores > w.MachineType.Cores+slack || accel > w.MachineType.Accelerators+slack || memory > w.MachineType.MemoryGB+slack {
		return protocol.CauseInsufficientResources
	}
	return ""
}

// imageReady starts a task whose image has been fetched. A gang's task then waits for its gang.
func (w *Worker) imageReady(task, name string, t *Task, job *Job) {
	f := w.fleet
	if f.FailsAtStart != nil && f.FailsAtStart(w, t) {
		w.setState(name, t, protocol.TaskExited, protocol.CauseError)
		return
	}
	w.setState(name, t, protocol.TaskRunning, "")
	if f.TaskStarted != nil {
		f.TaskStarted(w, task, t)
	}
	if job.Gang {
		w.waitForGang(name, t, job)
	}
	if !job.Service && !job.Gang {
		f.queue.After(f.RunTime(task), func() { w.finishTask(task, name, t, t.generation) })
	}
}

// finishTask completes a task whose run time has passed.
func (w *Worker) finishTask(task, name string, t *Task, generation int) {
	f := w.fleet
	if w.Hung {
		// A task on a hung machine makes no progress: it completes after the machine resumes.
		f.queue.After(f.Timing.CheckInterval, func() { w.finishTask(task, name, t, generation) })
		return
	}
	if w.Deleted || t.State != protocol.TaskRunning || t.generation != generation || w.Tasks[name] != t {
		return
	}
	w.setState(name, t, protocol.TaskExited, protocol.CauseDone)
	if f.TaskCompleted != nil {
		f.TaskCompleted(task, t)
	}
}

// stopTask stops a task. A running task that saves checkpoints, and whose grace period (in seconds) is long enough, ends
// after the time to save one. Any other task ends at once.
func (w *Worker) stopTask(name string, t *Task, graceS float64) {
	job := w.fleet.Jobs(t.UID)
	if job.Gang {
		w.stopGangTask(name, t, job, graceS)
		return
	}
	if t.State == protocol.TaskRunning && job.CheckpointS > 0 && graceS >= job.CheckpointS {
		w.setState(name, t, protocol.TaskSavingCheckpoint, "")
		w.fleet.queue.After(time.Duration(job.CheckpointS*float64(time.Second)), func() {
			if t.State == protocol.TaskSavingCheckpoint && w.Tasks[name] == t {
				w.setState(name, t, protocol.TaskExited, protocol.CauseStopped)
			}
		})
		return
	}
	w.setState(name, t, protocol.TaskExited, protocol.CauseStopped)
}
