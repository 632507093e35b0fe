package coordination

import (
	"fmt"
	"testing"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
)

// The start of a replica is written before those of an array that wait already, also on a
// machine that has one of these to be written.
func TestReplicasStartBeforeAnArray(t *testing.T) {
	w := newWorld(t, 96)
	r := w.term()
	add := func(uid string, service bool, tasks int) *ledger.Job {
		j := r.AddJob(&protocol.Spec{UID: uid, Team: "red", Service: service, Tasks: tasks, Cores: 1, MemoryGB: 1}, r.c.wall)
		j.Stored = true
		return j
	}
	array, service := add("j-1", false, 100), add("j-2", true, 2)
	for i := range 100 {
		m := r.AddMachine(fmt.Sprintf("i-9%05d", i))
		m.Type, m.Zone, m.Size = "m8", "a", r.sizeOf("m8")
		r.start(array, i, m, r.nextTry())
	}
	for i, id := range []string{"i-900099", "i-900098"} {
		r.start(service, i, r.Machines[id], r.nextTry())
	}
	txn := r.records.Compose()
	if txn == nil || len(txn.Puts) < 2 {
		t.Fatal("no transaction")
	}
	for i, id := range []string{"i-900099", "i-900098"} {
		if got := txn.Puts[i]; got != ledger.MachinePrefix+id {
			t.Errorf("write %d is %s, not that of %s", i, got, id)
		}
	}
}
