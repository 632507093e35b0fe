package controller

import (
	"fmt"
	"testing"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// TestReplicasStartBeforeAnArray checks that the start of a replica is written before the queued starts of an array,
// also if a start of the array is queued for the same machine.
func TestReplicasStartBeforeAnArray(t *testing.T) {
	w := newWorld(t, 96)
	l := w.leadership()
	add := func(uid string, service bool, tasks int) *clusterstate.Job {
		j := l.state.AddJob(&protocol.JobSpec{UID: uid, Team: "red", Service: service, Tasks: tasks, Cores: 1, MemoryGB: 1}, l.controller.env.wall)
		j.Stored = true
		return j
	}
	array, service := add("j-1", false, 100), add("j-2", true, 2)
	for i := range 100 {
		m := l.state.AddMachine(fmt.Sprintf("i-9%05d", i))
		m.Type, m.Zone, m.Size = "m8", "a", l.machines.machineSize("m8")
		l.placement.startTask(array, i, m, l.attemptNumbers.allocate())
	}
	for i, id := range []string{"i-900099", "i-900098"} {
		l.placement.startTask(service, i, l.state.Machines[id], l.attemptNumbers.allocate())
	}
	txn := l.store.BuildTransaction()
	if txn == nil || len(txn.Puts) < 2 {
		t.Fatal("no transaction with at least two writes")
	}
	for i, id := range []string{"i-900099", "i-900098"} {
		if got := txn.Puts[i]; got != clusterstate.MachinePrefix+id {
			t.Errorf("write %d puts %s, want the record of machine %s", i, got, id)
		}
	}
}
