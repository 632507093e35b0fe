package controller

import (
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/membership"
)

// moveControllersToFirstZone moves all controllers into the first zone, so that they share the ownership of its
// machines.
func (w *world) moveControllersToFirstZone() {
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
	controllers := map[string]int{}
	for _, worker := range w.workers() {
		if worker.Up && !worker.Deleted && worker.Zone == w.topology.zones[0] {
			controllers[worker.ID] = worker.Controller
		}
	}
	return controllers
}

func (w *world) workerByID(id string) *emulator.Worker {
	for _, worker := range w.workers() {
		if worker.ID == id {
			return worker
		}
	}
	return nil
}

// TestMachinesMoveOncePerDeath checks that the machines of a dead controller are redirected exactly once to another
// controller, that no other machine moves, and that they return only after the restarted controller has been alive
// for the rejoin delay. Suspicion of a controller must not move any machine.
func TestMachinesMoveOncePerDeath(t *testing.T) {
	w := newMembershipWorld(t, 970)
	w.moveControllersToFirstZone()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 8, "cores": 4.0, "yard": "a"})
	w.submit("j-2", map[string]any{"shape": "service", "shards": 4, "cores": 4.0, "yard": "a", "owner": "blue"})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 8 && w.running("j-2") == 4 })
	allWithOwners := func() bool {
		l := w.leadership()
		for _, m := range l.state.Machines {
			worker := w.workerByID(m.ID)
			if worker != nil && worker.Up && !worker.Deleted && m.Zone == "a" && controllerLabel(worker.Controller) != l.router.ownerOf(m) {
				return false
			}
		}
		return true
	}
	w.until(60*second, "each machine sends heartbeats to the controller that owns it", allWithOwners)
	lead := w.awaitLeader()
	before := w.controllersInFirstZone()
	victim := -1
	for _, c := range before {
		if c != lead {
			victim = c
		}
	}
	if victim < 0 {
		t.Fatalf("all machines send heartbeats to the leader, none to another controller: %v", before)
	}
	// Only probes are lost, for less than the suspicion timeout.
	began := w.Now()
	w.callFault = func(node int, c Call) deliveryFault {
		return deliveryFault{lost: c.Path == ProbePath && (node == victim || c.Addr == w.cfgs[victim].PeerListen)}
	}
	w.run(2800 * time.Millisecond)
	for id, c := range w.controllersInFirstZone() {
		if c != before[id] {
			t.Errorf("machine %s moved from controller %d to %d while the controller was suspected", id, before[id], c)
		}
	}
	w.callFault = nil
	w.run(10 * second)
	if w.nodes[lead].observer.firstChangeTo(controllerLabel(victim), membership.Suspect, began) == 0 || w.nodes[lead].observer.firstChangeTo(controllerLabel(victim), membership.Dead, began) > 0 {
		t.Errorf("the controller was not suspected, or was declared dead: %+v", w.nodes[lead].observer.changes)
	}
	for id, c := range w.controllersInFirstZone() {
		if c != before[id] {
			t.Errorf("machine %s moved from controller %d to %d after a suspicion", id, before[id], c)
		}
	}
	w.until(60*second, "each machine sends heartbeats to the controller that owns it", allWithOwners)
	w.nodes[lead].observer.redirected = nil
	before = w.controllersInFirstZone()
	w.crash(victim)
	w.run(30 * second)
	if !allWithOwners() {
		t.Errorf("not all machines send heartbeats to the controllers that own them")
	}
	for id, c := range w.controllersInFirstZone() {
		if before[id] != victim && c != before[id] {
			t.Errorf("machine %s moved from controller %d to %d although controller %d died", id, before[id], c, victim)
		}
		if sent := len(w.nodes[lead].observer.redirected[id]); sent > 1 {
			t.Errorf("machine %s was redirected %d times for one death", id, sent)
		}
	}
	w.boot(victim)
	w.run(10 * second)
	for id, c := range w.controllersInFirstZone() {
		if c == victim {
			t.Errorf("machine %s returned to a restarted controller before its rejoin delay has passed", id)
		}
	}
	w.until(60*second, "each machine sends heartbeats to the controller that owns it again", allWithOwners)
	for _, worker := range w.workers() {
		if worker.Up && !worker.Deleted && worker.Epoch > 1 {
			t.Errorf("the lease of worker %s expired", worker.ID)
		}
	}
	w.settle()
}
