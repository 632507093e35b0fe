package controller

import (
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/membership"
)

// sameZone moves all controllers into the first zone, so that its machines are divided between
// them.
func (w *world) sameZone() {
	for i, cfg := range w.cfgs {
		cfg.Zone = "a"
		for k := range cfg.Siblings {
			cfg.Siblings[k].Zone = "a"
		}
		w.boot(i)
	}
}

// controllersInFirstZone maps each running machine of the first zone to the index of its controller.
func (w *world) controllersInFirstZone() map[string]int {
	out := map[string]int{}
	for _, worker := range w.workers() {
		if worker.Up && !worker.Deleted && worker.Zone == w.topology.zones[0] {
			out[worker.ID] = worker.Controller
		}
	}
	return out
}

func (w *world) byID(id string) *emulator.Worker {
	for _, worker := range w.workers() {
		if worker.ID == id {
			return worker
		}
	}
	return nil
}

// The machines of a controller that died are redirected to the others once each, and no other
// machine is; they are redirected back once it has been steady, and not all at once. Suspicion
// alone moves none.
func TestMachinesMoveOncePerDeath(t *testing.T) {
	w := newMembershipWorld(t, 970)
	w.sameZone()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 8, "cores": 4.0, "yard": "a"})
	w.submit("j-2", map[string]any{"shape": "service", "shards": 4, "cores": 4.0, "yard": "a", "owner": "blue"})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 8 && w.running("j-2") == 4 })
	settled := func() bool {
		l := w.leadership()
		for _, m := range l.state.Machines {
			worker := w.byID(m.ID)
			if worker != nil && worker.Up && !worker.Deleted && m.Zone == "a" && label(worker.Controller) != l.router.ownerOf(m) {
				return false
			}
		}
		return true
	}
	w.until(60*second, "each machine sends heartbeats to its owner", settled)
	lead := w.awaitLeader()
	before := w.controllersInFirstZone()
	victim := -1
	for _, c := range before {
		if c != lead {
			victim = c
		}
	}
	if victim < 0 {
		t.Fatalf("all machines send heartbeats to the leader: %v", before)
	}
	// Suspicion alone, shorter than the timeout: the probes are lost, everything else works.
	began := w.Now()
	w.script = func(node int, c Call) deliveryFault {
		return deliveryFault{lost: c.Path == probePath && (node == victim || c.Addr == w.cfgs[victim].PeerListen)}
	}
	w.run(2800 * time.Millisecond)
	for id, c := range w.controllersInFirstZone() {
		if c != before[id] {
			t.Errorf("%s moved from %d to %d while it was suspected", id, before[id], c)
		}
	}
	w.script = nil
	w.run(10 * second)
	if w.nodes[lead].observer.became(label(victim), membership.Suspect, began) == 0 || w.nodes[lead].observer.became(label(victim), membership.Dead, began) > 0 {
		t.Errorf("it is not just suspected: %+v", w.nodes[lead].observer.changes)
	}
	for id, c := range w.controllersInFirstZone() {
		if c != before[id] {
			t.Errorf("%s moved from %d to %d at a suspicion", id, before[id], c)
		}
	}
	w.until(60*second, "each machine sends heartbeats to its owner", settled)
	w.nodes[lead].observer.redirected = nil
	before = w.controllersInFirstZone()
	w.crash(victim)
	w.run(30 * second)
	if !settled() {
		t.Errorf("not all machines send heartbeats to their owners")
	}
	for id, c := range w.controllersInFirstZone() {
		if before[id] != victim && c != before[id] {
			t.Errorf("%s moved from %d to %d though %d died", id, before[id], c, victim)
		}
		if sent := len(w.nodes[lead].observer.redirected[id]); sent > 1 {
			t.Errorf("%s was sent elsewhere %d times for one death", id, sent)
		}
	}
	w.boot(victim)
	w.run(10 * second)
	for id, c := range w.controllersInFirstZone() {
		if c == victim {
			t.Errorf("%s is back at a controller that is not steady yet", id)
		}
	}
	w.until(60*second, "each machine is back", settled)
	for _, worker := range w.workers() {
		if worker.Up && !worker.Deleted && worker.Epoch > 1 {
			t.Errorf("the lease of %s ran out", worker.ID)
		}
	}
	w.settle()
}
