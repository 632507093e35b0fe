package controller

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/protocol"
)

// fullFleet fills so many machines with tasks of low priority that run for long, and makes the
// cloud unavailable, so that nothing else can be rented.
func (w *world) fullFleet(machines int) {
	w.t.Helper()
	w.runs = func(task string) time.Duration {
		if task[:3] == "j-0" {
			return 1000 * second
		}
		return 8 * second
	}
	tasks := machines * int(machineCores) / 2
	w.submit("j-0", map[string]any{"rank": "idle", "shards": tasks, "cores": 2.0, "saveEveryS": 10.0, "saveTakesS": 1.0, "owner": "red"})
	w.until(90*second, "the fleet is full", func() bool { return w.running("j-0") == tasks })
	w.run(5 * second)
	w.cloud.Down = true
}

// In a fleet that is full of work of lower priority, a gang gets all of its room at the boundary of
// a scheduling round, on one machine or not, and no more is preempted than it needs.
func TestGangGetsItsRoomAtARound(t *testing.T) {
	for _, together := range []bool{false, true} {
		t.Run(fmt.Sprintf("together %v", together), func(t *testing.T) {
			w := newWorld(t, 111)
			w.fullFleet(4)
			w.submit("j-1", group(3, 3, map[string]any{"rank": "high", "owner": "blue", "together": together}))
			w.until(10*second, "it runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
			if left := w.running("j-0"); left < 16-6 {
				t.Errorf("together %v: %d of 16 tasks are left, 6 had to go", together, left)
			}
			w.awaitStatus(30*second, "j-1", protocol.JobDone)
			w.cancel("j-0")
			w.settle()
		})
	}
}

// A gang for which preemption would free only a part of its room preempts nothing.
func TestNothingIsStoppedForAPartOfAGang(t *testing.T) {
	w := newWorld(t, 112)
	w.fullFleet(2)
	w.submit("j-1", group(4, 5, map[string]any{"rank": "high"})) // one task per machine
	w.run(40 * second)
	if n := w.running("j-0"); n != 8 {
		t.Errorf("%d of 8 tasks run", n)
	}
	w.cancel("j-0")
	w.cancel("j-1")
	w.settle()
}

// Small urgent gangs keep coming to a full fleet; large and small gangs of two teams, one of them
// on one machine, start all the same, and none holds another's room without using it.
func TestNoGangStarvesInAFullFleet(t *testing.T) {
	w := newWorld(t, 113)
	w.fullFleet(4)
	w.submit("j-1", group(6, 2, map[string]any{"owner": "blue"}))
	w.submit("j-2", group(7, 2, map[string]any{"owner": "red"}))
	w.submit("j-3", group(4, 2, map[string]any{"owner": "blue", "together": true}))
	w.submit("j-4", group(2, 2, map[string]any{"owner": "red", "apart": true}))
	for i := range 20 {
		w.submit(fmt.Sprintf("j-5%02d", i), group(2, 2, map[string]any{"rank": "high", "owner": []string{"red", "blue"}[i%2]}))
		w.run(4 * second)
	}
	for _, uid := range []string{"j-1", "j-2", "j-3", "j-4"} {
		w.until(40*second, uid+" has begun", func() bool { return w.machines.GangStarts[uid] > 0 })
	}
	w.cancel("j-0")
	w.settle()
}

// Room that is kept for expected replicas is not the gang's: a round preempts for it what has lower
// priority, instead of placing it in the kept room and leaving it to wait for a machine to boot.
func TestRoomForExpectedReplicasIsNoRoomForAGang(t *testing.T) {
	w := newWorld(t, 114)
	w.fullFleet(3)
	for i := range 8 {
		w.submit(fmt.Sprintf("j-2%d", i), map[string]any{"tier": "web", "shape": "service", "rank": "high", "cores": 0.5, "owner": "blue"})
	}
	w.run(8 * second)
	for i := range 8 {
		w.cancel(fmt.Sprintf("j-2%d", i))
	}
	w.run(6 * second)
	w.submit("j-1", group(2, 1, map[string]any{"rank": "high", "owner": "blue"}))
	w.until(7500*time.Millisecond, "it runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	w.awaitStatus(30*second, "j-1", protocol.JobDone)
	w.cancel("j-0")
	w.settle()
}
