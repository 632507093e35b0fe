package controller

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// failTasks makes the tasks of the named jobs fail as soon as they begin, on the given machines or
// on all.
func (w *world) failTasks(jobs map[string]bool, machines map[string]bool) {
	w.fails = func(worker *emulator.Worker, uid string) bool {
		return (jobs == nil || jobs[uid]) && (machines == nil || machines[worker.ID])
	}
}

// A faulty job fails on every machine: it is retried at growing intervals with one task at a time,
// has no machine quarantined, leaves the room to others, and can be cancelled at any time.
func TestJobThatFailsEverywhere(t *testing.T) {
	w := newWorld(t, 91)
	w.failTasks(map[string]bool{"j-9": true}, nil)
	w.runs = func(string) time.Duration { return 50 * second }
	w.submit("j-9", map[string]any{"shards": 12, "cores": 1.0})
	w.submit("j-1", map[string]any{"shards": 6})
	w.until(90*second, "it is found out", func() bool {
		return w.leadership().state.Jobs["j-9"] != nil && w.leadership().state.Jobs["j-9"].Failures.Everywhere
	})
	for _, m := range w.leadership().machines.sortedMachines() {
		if m.Faults.Faulty || len(m.Faults.Suspects) > 0 || m.QuarantinedUntil > 0 {
			t.Errorf("%s bears the blame: %+v", m.ID, m.Faults)
		}
	}
	w.awaitStatus(120*second, "j-1", protocol.Done)
	w.submit("j-2", map[string]any{"shape": "service"})
	w.until(60*second, "another runs beside it", func() bool { return w.running("j-2") == 1 })
	before := w.failures
	w.run(105 * second)
	if n := w.failures - before; n < 2 || n > 6 {
		t.Errorf("tried %d times in three times cancel_s", n)
	}
	w.cancel("j-9")
	w.awaitStatus(10*second, "j-9", protocol.Cancelled)
	w.settle()
}

// A faulty machine is given no more work: its tasks complete elsewhere, which shows that the fault
// is the machine's.
func TestFaultyMachineIsQuarantined(t *testing.T) {
	w := newWorld(t, 92)
	w.runs = func(string) time.Duration { return 10 * second }
	w.submit("j-0", map[string]any{"shape": "service", "cores": 2.0, "shards": 2, "apart": true})
	w.until(60*second, "replicas run", func() bool { return w.running("j-0") == 2 })
	bad := w.workers()[0].ID
	w.failTasks(nil, map[string]bool{bad: true})
	for i := range 2 {
		w.submit(fmt.Sprintf("j-%d", i+1), map[string]any{"shards": 4, "cores": 1.0})
	}
	for i := range 2 {
		w.awaitStatus(200*second, fmt.Sprintf("j-%d", i+1), protocol.Done)
	}
	if m := w.leadership().state.Machines[bad]; m != nil && !m.Faults.Faulty {
		t.Errorf("%d tasks failed on it: %+v", w.failures, m.Faults)
	}
	for _, m := range w.leadership().machines.sortedMachines() {
		if m.ID != bad && (m.Faults.Faulty || m.Faults.Confirmed > 0) {
			t.Errorf("%s bears the blame: %+v", m.ID, m.Faults)
		}
	}
	w.settle()
}

// Two faulty jobs on the same machines are not evidence enough against these machines.
func TestEvidenceOfFailures(t *testing.T) {
	var m clusterstate.MachineFaults
	if m.Suspect("j-1") || m.Suspect("j-2") || len(m.Suspects) != 2 {
		t.Error("two jobs are enough")
	}
	m.Withdraw("j-2")
	if m.Suspect("j-3") || !m.Confirm("j-1") || !m.Faulty {
		t.Errorf("a confirmed failure and a suspect: %+v", m)
	}
	if m.Clear(); !m.Faulty {
		t.Error("a task that was still running clears it")
	}
	var f clusterstate.JobFailures
	if f.Note("a", 0) || f.Probing() || f.Note("a", 0) || f.Note("b", second) || !f.Probing() || f.Everywhere || !f.Note("c", 0) || f.Note("d", 0) {
		t.Errorf("%+v", f)
	}
	f = clusterstate.JobFailures{}
	f.Note("a", 0)
	if !f.Avoid(second, 2*second)["a"] || len(f.Avoid(3*second, 2*second)) > 0 {
		t.Error("a machine is avoided for a while")
	}
}
