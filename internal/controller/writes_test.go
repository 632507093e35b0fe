package controller

import (
	"fmt"
	"testing"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// The start of a replica is written before the starts of an array that waits already, also on a
// machine that has one of these to be written.
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
		l.placement.startTask(array, i, m, l.attemptNumbers.take())
	}
	for i, id := range []string{"i-900099", "i-900098"} {
		l.placement.startTask(service, i, l.state.Machines[id], l.attemptNumbers.take())
	}
	txn := l.store.BuildTransaction()
	if txn == nil || len(txn.Puts) < 2 {
		t.Fatal("no transaction")
	}
	for i, id := range []string{"i-900099", "i-900098"} {
		if got := txn.Puts[i]; got != clusterstate.MachinePrefix+id {
			t.Errorf("write %d is %s, not that of %s", i, got, id)
		}
	}
}
