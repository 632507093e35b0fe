package emulator

import (
	"fmt"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// Name is the key of a task's attempt on its worker.
func Name(task string, try uint64) string { return fmt.Sprintf("%s@%d", task, try) }

// Execute carries out commands in order.
func (k *Worker) Execute(commands []protocol.Command) {
	for _, c := range commands {
		name := Name(c.Task, c.Attempt)
		t := k.Tasks[name]
		switch c.Verb {
		case protocol.VerbRun:
			if t == nil {
				k.run(c.Task, name, c.Attempt)
			}
		case protocol.VerbStop:
			if t != nil && t.State != protocol.Exited {
				k.halt(name, t, c.GraceS)
			}
		case protocol.VerbClear:
			if t != nil && t.State == protocol.Exited {
				delete(k.Tasks, name)
				k.fleet.forgetGang(t)
				k.noteChange()
			}
		}
	}
}

// Hold has a task on the machine that no command has started.
func (k *Worker) Hold(task string, t *Task) {
	k.Tasks[Name(task, t.Try)] = t
	if job := k.fleet.Jobs(t.UID); job != nil && job.Gang {
		k.fleet.joinGang(k, t)
	}
}

// setState changes a task's state, and tells of it where that matters.
func (k *Worker) setState(name string, t *Task, state protocol.TaskState, cause protocol.ExitCause) {
	was := t.Here()
	t.State, t.Cause = state, cause
	if !t.Here() {
		k.noteLeft(name, t, was)
	}
	k.noteChange()
}

// noteLeft tells that a task that was on the machine no longer is.
func (k *Worker) noteLeft(name string, t *Task, was bool) {
	if was && k.fleet.Leaves != nil {
		task, _, _ := strings.Cut(name, "@")
		k.fleet.Leaves(k, task, t)
	}
}

func (k *Worker) run(task, name string, try uint64) {
	f := k.fleet
	uid, _, _ := strings.Cut(task, "/")
	job := f.Jobs(uid)
	k.Lives++
	t := &Task{UID: uid, Try: try, State: protocol.FetchingImage, began: k.Lives}
	k.Tasks[name] = t
	k.noteChange()
	if f.RefuseUnfit {
		if cause := k.refuses(task, t, job); cause != "" {
			t.State, t.Cause = protocol.Exited, cause
			return
		}
	}
	life := t.began
	f.agenda.After(f.FetchTime(k, task, job), func() {
		if k.Tasks[name] != t || t.State != protocol.FetchingImage || t.began != life || k.Gone {
			return
		}
		k.begin(task, name, t, job)
	})
}

// refuses tells why a task can't start here, or nothing.
func (k *Worker) refuses(task string, started *Task, job *Job) protocol.ExitCause {
	if job == nil {
		return "no_such"
	}
	cores, accel, memory := job.Cores, job.Accel, job.Memory
	for name, t := range k.Tasks {
		if t == started || t.State == protocol.Exited {
			continue
		}
		if other, _, _ := strings.Cut(name, "@"); other == task {
			return protocol.CauseBusy
		}
		if j := k.fleet.Jobs(t.UID); j != nil {
			cores, accel, memory = cores+j.Cores, accel+j.Accel, memory+j.Memory
		}
	}
	const slack = 1e-3
	if cores > k.Size.Cores+slack || accel > k.Size.Accelerators+slack || memory > k.Size.MemoryGB+slack {
		return protocol.CauseNoRoom
	}
	return ""
}

// begin has a task that has its image be on its machine.
func (k *Worker) begin(task, name string, t *Task, job *Job) {
	f := k.fleet
	if f.Fails != nil && f.Fails(k, t) {
		k.setState(name, t, protocol.Exited, protocol.CauseError)
		return
	}
	k.setState(name, t, protocol.Running, "")
	if f.Begins != nil {
		f.Begins(k, task, t)
	}
	if job.Gang {
		k.gather(name, t, job)
	}
	if !job.Service && !job.Gang {
		f.agenda.After(f.RunTime(task), func() { k.finish(task, name, t, t.began) })
	}
}

// finish completes a task whose time is over.
func (k *Worker) finish(task, name string, t *Task, life int) {
	f := k.fleet
	if k.Hung {
		// It does not execute its tasks meanwhile.
		f.agenda.After(f.Timing.Look, func() { k.finish(task, name, t, life) })
		return
	}
	if k.Gone || t.State != protocol.Running || t.began != life || k.Tasks[name] != t {
		return
	}
	k.setState(name, t, protocol.Exited, protocol.CauseDone)
	if f.Done != nil {
		f.Done(task, t)
	}
}

// halt stops a task: at once, or once it has saved.
func (k *Worker) halt(name string, t *Task, graceS float64) {
	job := k.fleet.Jobs(t.UID)
	if job.Gang {
		k.haltGangTask(name, t, job, graceS)
		return
	}
	if t.State == protocol.Running && job.SaveS > 0 && graceS >= job.SaveS {
		k.setState(name, t, protocol.Saving, "")
		k.fleet.agenda.After(time.Duration(job.SaveS*float64(time.Second)), func() {
			if t.State == protocol.Saving && k.Tasks[name] == t {
				k.setState(name, t, protocol.Exited, protocol.CauseStopped)
			}
		})
		return
	}
	k.setState(name, t, protocol.Exited, protocol.CauseStopped)
}
