package coordination

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"claybarrow/internal/protocol"
)

// gang lists a gang's tasks under one attempt that are on machines.
func (w *world) gang(uid string, try uint64) (out []*simTask) {
	for _, k := range w.fleet() {
		for _, name := range slices.Sorted(maps.Keys(k.tasks)) {
			if t := k.tasks[name]; t.uid == uid && t.try == try && t.here() && !k.gone {
				out = append(out, t)
			}
		}
	}
	return out
}

// gather starts a gang once its last task is there. They end together.
func (w *world) gather(uid string, try uint64) {
	all := w.gang(uid, try)
	whole := func(state protocol.TaskState) bool {
		n := 0
		for _, t := range all {
			if t.state == state && t.halted == 0 {
				n++
			}
		}
		return n == w.specs[uid]["shards"].(int)
	}
	if !whole(protocol.Gathering) {
		return
	}
	for _, t := range all {
		t.state = protocol.Running
	}
	w.wholes[uid]++
	w.at(w.runs(uid+"/0"), func() {
		if len(w.gang(uid, try)) != len(all) || !whole(protocol.Running) {
			return
		}
		for i, t := range all {
			t.state, t.cause = protocol.Exited, protocol.CauseDone
			w.cloud.finished[uid+"/"+strconv.Itoa(i)] = true
		}
		if w.ended != nil {
			w.ended(uid)
		}
	})
}

// breakGangs has running tasks notice that others of their gang are gone or were
// told to stop and they weren't.
func (w *world) breakGangs() {
	for _, k := range w.fleet() {
		for _, t := range k.tasks {
			if w.specs[t.uid]["shape"] != "group" || t.state != protocol.Running || k.hung {
				continue
			}
			n := 0
			for _, mate := range w.gang(t.uid, t.try) {
				if mate.state == protocol.Running && mate.halted == 0 {
					n++
				}
			}
			switch {
			case n == w.specs[t.uid]["shards"].(int):
				t.alone = 0
			case t.alone == 0:
				t.alone = w.now
			case w.now >= t.alone+4*time.Second:
				t.state, t.cause = protocol.Exited, protocol.CauseMatesGone
			}
		}
	}
}
