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

// stepGangs has running tasks of gangs do what the protocol's page says of the end of
// one of them, or of a stop.
func (w *world) stepGangs() {
	for _, k := range w.fleet() {
		for _, name := range slices.Sorted(maps.Keys(k.tasks)) {
			t := k.tasks[name]
			if w.specs[t.uid]["shape"] != "group" || t.state != protocol.Running || k.hung {
				continue
			}
			if t.halted > 0 {
				w.stepStop(t)
			} else {
				w.missMates(t)
			}
		}
	}
}

// missMates ends a task when others of its gang have been gone, or were told to stop
// and it was not, for gang_peer_s.
func (w *world) missMates(t *simTask) {
	all := 0
	for _, mate := range w.gang(t.uid, t.try) {
		if mate.state == protocol.Running && mate.halted == 0 {
			all++
		}
	}
	switch {
	case all == w.specs[t.uid]["shards"].(int):
		t.alone = 0
	case t.alone == 0:
		t.alone = w.now
	case w.now >= t.alone+gangPeer:
		t.state, t.cause = protocol.Exited, protocol.CauseMatesGone
	}
}

// stepStop ends a task that was told to stop: with its progress saved, once it has
// saved and all others were told, or without when they weren't in time.
func (w *world) stepStop(t *simTask) {
	told, first := w.savedTasks[gangTry{t.uid, t.try}], t.halted // those that have ended were told
	for _, mate := range w.gang(t.uid, t.try) {
		if mate.halted > 0 {
			told++
			first = min(first, mate.halted)
		}
	}
	takes := time.Duration(w.specs[t.uid]["saveTakesS"].(float64) * float64(time.Second))
	switch {
	case w.now < t.halted+takes:
	case told == w.specs[t.uid]["shards"].(int):
		t.state, t.cause, t.stored = protocol.Exited, protocol.CauseHalted, true
		key := gangTry{t.uid, t.try}
		if w.savedTasks[key] == 0 {
			w.saves[t.uid]++
		}
		w.savedTasks[key]++
	case w.now >= first+gangPeer:
		t.state, t.cause = protocol.Exited, protocol.CauseMatesGone
	}
}

// gangPeer is gang_peer_s of testConfig.
const gangPeer = 5 * time.Second

// gangTry names an attempt of a gang.
type gangTry struct {
	uid string
	try uint64
}
