package controller

import (
	"testing"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// reportUnrecorded adds an attempt of j-1/0 that no record names to a machine without one, and returns the machine.
func (w *world) reportUnrecorded(number uint64) *emulator.Worker {
	for _, worker := range w.workers() {
		if worker.Deleted || !worker.Up || len(worker.Tasks) > 0 {
			continue
		}
		worker.AddTask("j-1/0", &emulator.Task{UID: "j-1", Attempt: number, State: protocol.TaskRunning})
		return worker
	}
	w.t.Fatal("no machine without tasks")
	return nil
}

// TestUnrecordedAttemptIsStoppedAndCounted guards against an attempt that no record names, which runs on beside its task's
// recorded attempt while its room and its team's quota count as free.
func TestUnrecordedAttemptIsStoppedAndCounted(t *testing.T) {
	const saveS = 3.0
	w := newWorld(t, 64)
	w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "saveEveryS": 10.0, "saveTakesS": saveS})
	w.submit("j-2", map[string]any{"shape": "service", "cores": 8.0})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 1 && w.running("j-2") == 1 })
	w.cancel("j-2") // leaves a machine without tasks
	w.awaitStatus(20*second, "j-2", protocol.JobCancelled)
	for failovers := range 3 {
		machine := w.reportUnrecorded(uint64(7 + failovers))
		key := clusterstate.AttemptKey{Task: "j-1/0", Attempt: uint64(7 + failovers)}
		counted := func() bool {
			l := w.leadership()
			m := l.state.Machines[machine.ID]
			return m.Attempts[key] != nil && m.Used.Cores == 4 && l.state.Quotas["red"].Used.Cores == 8
		}
		w.until(2*second, "the attempt counts on its machine and against its team's quota", counted)
		w.until(4*second, "the attempt is told to save and stop", func() bool {
			return machine.Tasks[emulator.AttemptKey("j-1/0", key.Attempt)].State == protocol.TaskSavingCheckpoint
		})
		if !counted() {
			t.Errorf("after %d failovers: the attempt does not count while it saves", failovers)
		}
		w.until(seconds(saveS)+4*second, "the attempt is gone and forgotten", func() bool {
			return len(machine.Tasks) == 0 && w.leadership().state.Quotas["red"].Used.Cores == 4
		})
		w.crash(w.leader())
		w.awaitLeader()
		w.boot(w.firstDown())
		w.run(2 * second)
	}
	if n := w.running("j-1"); n != 1 {
		t.Errorf("%d replicas run, want the recorded one", n)
	}
	w.requireNoViolations()
}

// firstDown returns the index of the first controller that is down.
func (w *world) firstDown() int {
	for i, n := range w.nodes {
		if !n.alive {
			return i
		}
	}
	w.t.Fatal("all controllers are up")
	return -1
}
