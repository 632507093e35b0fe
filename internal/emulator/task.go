package emulator

import (
	"fmt"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// Task is an attempt of a task on a worker. Times are those of the event queue; 0: not yet.
type Task struct {
	UID               string
	Try               uint64
	State             protocol.TaskState
	Cause             protocol.ExitCause
	Stored            bool          // a checkpoint was saved
	Halted            time.Duration // when a gang's task was told to stop
	peersMissingSince time.Duration // since when another task of its gang is missing or stopping
	generation        int           // number of the worker's task starts when it was made
}

// Here says whether a task occupies its machine, as the protocol's page counts it.
func (t *Task) Here() bool {
	return t.State == protocol.Running || t.State == protocol.Saving || t.State == protocol.WaitingForGang
}

// Name returns the key of a task's attempt among its worker's Tasks.
func Name(task string, attempt uint64) string { return fmt.Sprintf("%s@%d", task, attempt) }

// Execute carries out commands in order. Each is idempotent: a repeated one has no effect.
func (w *Worker) Execute(commands []protocol.Command) {
	for _, c := range commands {
		name := Name(c.Task, c.Attempt)
		existing := w.Tasks[name]
		switch c.Verb {
		case protocol.VerbRun:
			if existing == nil {
				w.startTask(c.Task, name, c.Attempt)
			}
		case protocol.VerbStop:
			if existing != nil && existing.State != protocol.Exited {
				w.stopTask(name, existing, c.GraceS)
			}
		case protocol.VerbClear:
			if existing != nil && existing.State == protocol.Exited {
				delete(w.Tasks, name)
				w.fleet.leaveGang(existing)
				w.heartbeatSoon()
			}
		}
	}
}

// Hold puts a task on the machine that no command has started.
func (w *Worker) Hold(task string, t *Task) {
	w.Tasks[Name(task, t.Try)] = t
	if job := w.fleet.Jobs(t.UID); job != nil && job.Gang {
		w.fleet.joinGang(w, t)
	}
}

// setState changes a task's state, which is reported soon, and tells the observer if it leaves.
func (w *Worker) setState(name string, t *Task, state protocol.TaskState, cause protocol.ExitCause) {
	wasRunning := t.Here()
	t.State, t.Cause = state, cause
	if !t.Here() {
		w.notifyLeft(name, t, wasRunning)
	}
	w.heartbeatSoon()
}

// notifyLeft tells the observer of a task that is no longer on the machine, if it was.
func (w *Worker) notifyLeft(name string, t *Task, wasRunning bool) {
	if wasRunning && w.fleet.Leaves != nil {
		task, _, _ := strings.Cut(name, "@")
		w.fleet.Leaves(w, task, t)
	}
}

// startTask begins to fetch a task's image, unless the worker refuses the task.
func (w *Worker) startTask(task, name string, attempt uint64) {
	f := w.fleet
	uid, _, _ := strings.Cut(task, "/")
	job := f.Jobs(uid)
	w.Lives++
	t := &Task{UID: uid, Try: attempt, State: protocol.FetchingImage, generation: w.Lives}
	w.Tasks[name] = t
	w.heartbeatSoon()
	if f.RefuseUnfit {
		if cause := w.refusalCause(task, t, job); cause != "" {
			t.State, t.Cause = protocol.Exited, cause
			return
		}
	}
	generation := t.generation
	f.queue.After(f.FetchTime(w, task, job), func() {
		if w.Tasks[name] != t || t.State != protocol.FetchingImage || t.generation != generation || w.Deleted {
			return
		}
		w.imageReady(task, name, t, job)
	})
}

// refusalCause returns why a task can't start on this worker, or nothing.
func (w *Worker) refusalCause(task string, started *Task, job *Job) protocol.ExitCause {
	if job == nil {
		return "no_such"
	}
	cores, accel, memory := job.Cores, job.Accel, job.Memory
	for name, t := range w.Tasks {
		if t == started || t.State == protocol.Exited {
			continue
		}
		if other, _, _ := strings.Cut(name, "@"); other == task {
			return protocol.CauseBusy
		}
		if j := w.fleet.Jobs(t.UID); j != nil {
			cores, accel, memory = cores+j.Cores, accel+j.Accel, memory+j.Memory
		}
	}
	const slack = 1e-3 // for the rounding of sums
	if cores > w.Size.Cores+slack || accel > w.Size.Accelerators+slack || memory > w.Size.MemoryGB+slack {
		return protocol.CauseNoRoom
	}
	return ""
}

// imageReady starts to run a task whose image has been fetched.
func (w *Worker) imageReady(task, name string, t *Task, job *Job) {
	f := w.fleet
	if f.Fails != nil && f.Fails(w, t) {
		w.setState(name, t, protocol.Exited, protocol.CauseError)
		return
	}
	w.setState(name, t, protocol.Running, "")
	if f.Begins != nil {
		f.Begins(w, task, t)
	}
	if job.Gang {
		w.waitForGang(name, t, job)
	}
	if !job.Service && !job.Gang {
		f.queue.After(f.RunTime(task), func() { w.finishTask(task, name, t, t.generation) })
	}
}

// finishTask completes a task whose time is over.
func (w *Worker) finishTask(task, name string, t *Task, generation int) {
	f := w.fleet
	if w.Hung {
		// A hung machine does not execute its tasks, so that they end when it goes on.
		f.queue.After(f.Timing.Look, func() { w.finishTask(task, name, t, generation) })
		return
	}
	if w.Deleted || t.State != protocol.Running || t.generation != generation || w.Tasks[name] != t {
		return
	}
	w.setState(name, t, protocol.Exited, protocol.CauseDone)
	if f.Done != nil {
		f.Done(task, t)
	}
}

// stopTask stops a task: at once or, if it saves checkpoints and the grace period (seconds) is long
// enough, once it has saved one.
func (w *Worker) stopTask(name string, t *Task, graceS float64) {
	job := w.fleet.Jobs(t.UID)
	if job.Gang {
		w.stopGangTask(name, t, job, graceS)
		return
	}
	if t.State == protocol.Running && job.SaveS > 0 && graceS >= job.SaveS {
		w.setState(name, t, protocol.Saving, "")
		w.fleet.queue.After(time.Duration(job.SaveS*float64(time.Second)), func() {
			if t.State == protocol.Saving && w.Tasks[name] == t {
				w.setState(name, t, protocol.Exited, protocol.CauseStopped)
			}
		})
		return
	}
	w.setState(name, t, protocol.Exited, protocol.CauseStopped)
}
