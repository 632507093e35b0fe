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

// gang lists a gang's tasks under one attempt that are on machines.
func (f *Fleet) gang(try GangTry) (out []*Task) {
	for t, k := range f.gangs[try] {
		if t.Here() && !k.Deleted {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *Task) int { return cmp.Compare(a.began, b.began) })
	return out
}

func (t *Task) gangTry() GangTry { return GangTry{t.UID, t.Try} }

// joinGang puts a task among those of its attempt.
func (f *Fleet) joinGang(k *Worker, t *Task) {
	try := t.gangTry()
	if f.gangs[try] == nil {
		f.gangs[try] = map[*Task]*Worker{}
	}
	f.gangs[try][t] = k
}

// forgetGang takes a task that its worker has forgotten out of its gang.
func (f *Fleet) forgetGang(t *Task) {
	try := t.gangTry()
	delete(f.gangs[try], t)
	if len(f.gangs[try]) == 0 {
		delete(f.gangs, try)
	}
}

// gather has a gang's task wait for the others, and starts the gang once the last one is
// there.
func (w *Worker) gather(name string, t *Task, job *Job) {
	f := w.fleet
	w.setState(name, t, protocol.WaitingForGang, "")
	f.joinGang(w, t)
	f.startWhole(t.gangTry(), job)
	f.queue.After(f.Timing.GangWait, func() {
		if t.State == protocol.WaitingForGang {
			w.setState(name, t, protocol.Exited, protocol.CauseIncomplete)
		}
	})
}

// startWhole starts a gang whose tasks all wait. They end together.
func (f *Fleet) startWhole(try GangTry, job *Job) {
	all := f.gang(try)
	whole := func(state protocol.TaskState) bool {
		n := 0
		for _, t := range all {
			if t.State == state && t.Halted == 0 {
				n++
			}
		}
		return n == job.Tasks
	}
	if !whole(protocol.WaitingForGang) {
		return
	}
	for _, t := range all {
		t.State = protocol.Running
		f.gangs[try][t].noteChange()
	}
	f.Wholes[try.UID]++
	f.queue.After(f.RunTime(try.UID+"/0"), func() {
		if len(f.gang(try)) != len(all) || !whole(protocol.Running) {
			return
		}
		f.finishGang(try, all)
	})
}

func (f *Fleet) finishGang(try GangTry, all []*Task) {
	for _, t := range all {
		k := f.gangs[try][t]
		name := k.nameOf(t)
		k.setState(name, t, protocol.Exited, protocol.CauseDone)
	}
	for i, t := range all {
		if f.Done != nil {
			f.Done(try.UID+"/"+strconv.Itoa(i), t)
		}
	}
}

// nameOf finds the key of a task on the worker.
func (w *Worker) nameOf(t *Task) string {
	for name, other := range w.Tasks {
		if other == t {
			return name
		}
	}
	return Name(t.UID, t.Try)
}

// haltGangTask stops a gang's task: at once, unless it runs and has time to save. Until it
// ends it is called running, as the protocol's page has it.
func (w *Worker) haltGangTask(name string, t *Task, job *Job, graceS float64) {
	f := w.fleet
	if t.Halted == 0 && f.Halted != nil {
		f.Halted(t, graceS)
	}
	if t.State != protocol.Running || job.SaveS == 0 || graceS < job.SaveS {
		w.setState(name, t, protocol.Exited, protocol.CauseStopped)
		return
	}
	if t.Halted == 0 {
		t.Halted = f.queue.Now()
	}
}

// StepGangs has running tasks of gangs do what the protocol's page says of the end of one
// of them, or of a stop. Whoever owns the fleet calls it often.
func (f *Fleet) StepGangs() {
	tries := slices.SortedFunc(maps.Keys(f.gangs), func(a, b GangTry) int {
		return cmp.Or(strings.Compare(a.UID, b.UID), cmp.Compare(a.Try, b.Try))
	})
	for _, try := range tries {
		job := f.Jobs(try.UID)
		for _, t := range f.gang(try) {
			k := f.gangs[try][t]
			if t.State != protocol.Running || k.Hung {
				continue
			}
			if t.Halted > 0 {
				f.stepStop(k, t, job)
			} else {
				f.missMates(k, t, job)
			}
		}
	}
}

// missMates ends a task when others of its gang have been gone, or were told to stop and it
// was not, for gang_peer_s.
func (f *Fleet) missMates(k *Worker, t *Task, job *Job) {
	all := 0
	for _, mate := range f.gang(t.gangTry()) {
		if mate.State == protocol.Running && mate.Halted == 0 {
			all++
		}
	}
	now := f.queue.Now()
	switch {
	case all == job.Tasks:
		t.alone = 0
	case t.alone == 0:
		t.alone = now
	case now >= t.alone+f.Timing.GangPeer:
		k.setState(k.nameOf(t), t, protocol.Exited, protocol.CausePeersLost)
	}
}

// stepStop ends a task that was told to stop: with its progress saved, once it has saved and
// all others were told, or without when they weren't in time.
func (f *Fleet) stepStop(k *Worker, t *Task, job *Job) {
	try := t.gangTry()
	told, first := f.savedTasks[try], t.Halted // those that have ended were told
	for _, mate := range f.gang(try) {
		if mate.Halted > 0 {
			told++
			first = min(first, mate.Halted)
		}
	}
	takes := time.Duration(job.SaveS * float64(time.Second))
	now := f.queue.Now()
	switch {
	case now < t.Halted+takes:
	case told == job.Tasks:
		t.Stored = true
		k.setState(k.nameOf(t), t, protocol.Exited, protocol.CauseStopped)
		if f.savedTasks[try] == 0 {
			f.Saves[t.UID]++
		}
		f.savedTasks[try]++
	case now >= first+f.Timing.GangPeer:
		k.setState(k.nameOf(t), t, protocol.Exited, protocol.CausePeersLost)
	}
}
