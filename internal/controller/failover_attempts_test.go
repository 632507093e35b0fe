package controller

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// A new leader keeps the latest recorded attempt of each task and requests the stop of the others, in
// time linear in the size of the fleet. When the time was quadratic, 3,200 workers with a third of the
// tasks recorded twice took 31 s, and each new leader lost its lease in the meantime.
func TestFailoverStopsOlderAttempts(t *testing.T) {
	const machines = 5000
	w := newWorld(t, 75)
	c := w.nodes[w.awaitLeader()].controller
	l := newLeadership(c, &leaderRecord{Token: 99, LeaseID: 1}, 1, c.env.now)
	c.leadership = l
	j := l.state.AddJob(&protocol.JobSpec{UID: "j-1", Team: "red", Tasks: machines, Cores: 1, MemoryGB: 1}, c.env.wall)
	j.Stored = true
	for i := range machines {
		entries := []clusterstate.AttemptEntry{{Job: "j-1", Index: i, Try: 100}, {Job: "j-1", Index: (i + 1) % machines, Try: 7}}
		l.loader.loadMachine(fmt.Sprintf("i-9%05d", i), clusterstate.MachineRecord{Type: "m8", Zone: "a", Addr: "10.2.0.1:1", Attempts: entries})
	}
	began := time.Now()
	l.loader.onStateLoaded()
	if took := time.Since(began); took > time.Second {
		t.Errorf("loading the state took %v, want at most 1 s", took)
	}
	for _, m := range l.machines.sortedMachines() {
		for _, a := range m.SortedAttempts() {
			if a.StopRequested != (a.Number == 7) {
				t.Fatalf("attempt %d of task %d: stop requested %v", a.Number, a.Index, a.StopRequested)
			}
		}
	}
}
