package controller

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/protocol"
)

// fillFleet fills the given number of machines with long tasks of low priority and makes the cloud
// unavailable, so that no more machines can be rented.
func (w *world) fillFleet(machines int) {
	w.t.Helper()
	w.runTime = func(task string) time.Duration {
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

// In a fleet full of tasks of lower priority, a scheduling round preempts the capacity for all tasks of
// a gang, with or without the requirement of one zone, and preempts no more tasks than necessary.
func TestRoundPreemptsForWholeGang(t *testing.T) {
	for _, together := range []bool{false, true} {
		t.Run(fmt.Sprintf("together %v", together), func(t *testing.T) {
			w := newWorld(t, 111)
			w.fillFleet(4)
			w.submit("j-1", gangChanges(3, 3, map[string]any{"rank": "high", "owner": "blue", "together": together}))
			w.until(10*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
			if running := w.running("j-0"); running < 16-6 {
				t.Errorf("together %v: %d of 16 tasks still run, want at least 10", together, running)
			}
			w.awaitStatus(30*second, "j-1", protocol.JobDone)
			w.cancel("j-0")
			w.settle()
		})
	}
}

// If preemption can free capacity for only some of a gang's tasks, no task is preempted.
func TestNoPreemptionForPartOfAGang(t *testing.T) {
	w := newWorld(t, 112)
	w.fillFleet(2)
	w.submit("j-1", gangChanges(4, 5, map[string]any{"rank": "high"})) // one task per machine
	w.run(40 * second)
	if n := w.running("j-0"); n != 8 {
		t.Errorf("%d of 8 tasks run, want all", n)
	}
	w.cancel("j-0")
	w.cancel("j-1")
	w.settle()
}

// Small gangs of high priority are submitted to a full fleet continuously. Large and small gangs of two
// teams must still start, and no gang may reserve capacity that it does not use.
func TestNoGangStarvesInAFullFleet(t *testing.T) {
	w := newWorld(t, 113)
	w.fillFleet(4)
	w.submit("j-1", gangChanges(6, 2, map[string]any{"owner": "blue"}))
	w.submit("j-2", gangChanges(7, 2, map[string]any{"owner": "red"}))
	w.submit("j-3", gangChanges(4, 2, map[string]any{"owner": "blue", "together": true}))
	w.submit("j-4", gangChanges(2, 2, map[string]any{"owner": "red", "apart": true}))
	for i := range 20 {
		w.submit(fmt.Sprintf("j-5%02d", i), gangChanges(2, 2, map[string]any{"rank": "high", "owner": []string{"red", "blue"}[i%2]}))
		w.run(4 * second)
	}
	for _, uid := range []string{"j-1", "j-2", "j-3", "j-4"} {
		w.until(40*second, uid+" has started", func() bool { return w.machines.GangStarts[uid] > 0 })
	}
	w.cancel("j-0")
	w.settle()
}

// Capacity that is reserved for expected replicas is not available to a gang: a round preempts tasks of
// lower priority for the gang instead of counting on the reserved capacity, in which case the gang would
// wait for a machine to boot.
func TestGangDoesNotUseCapacityReservedForReplicas(t *testing.T) {
	w := newWorld(t, 114)
	w.fillFleet(3)
	for i := range 8 {
		w.submit(fmt.Sprintf("j-2%d", i), map[string]any{"tier": "web", "shape": "service", "rank": "high", "cores": 0.5, "owner": "blue"})
	}
	w.run(8 * second)
	for i := range 8 {
		w.cancel(fmt.Sprintf("j-2%d", i))
	}
	w.run(6 * second)
	w.submit("j-1", gangChanges(2, 1, map[string]any{"rank": "high", "owner": "blue"}))
	w.until(7500*time.Millisecond, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	w.awaitStatus(30*second, "j-1", protocol.JobDone)
	w.cancel("j-0")
	w.settle()
}
