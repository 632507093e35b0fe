package controller

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// failTasks makes the tasks of the given jobs fail as soon as they start on the given machines; nil
// stands for all jobs or all machines.
func (w *world) failTasks(jobs map[string]bool, machines map[string]bool) {
	w.failsAtStart = func(worker *emulator.Worker, uid string) bool {
		return (jobs == nil || jobs[uid]) && (machines == nil || machines[worker.ID])
	}
}

// A faulty job fails on every machine: it is retried with back-off and one task at a time, causes no
// machine to be quarantined, leaves the capacity to other jobs, and can be cancelled at any time.
func TestJobThatFailsEverywhere(t *testing.T) {
	w := newWorld(t, 91)
	w.failTasks(map[string]bool{"j-9": true}, nil)
	w.runTime = func(string) time.Duration { return 50 * second }
	w.submit("j-9", map[string]any{"shards": 12, "cores": 1.0})
	w.submit("j-1", map[string]any{"shards": 6})
	w.until(90*second, "the failures of j-9 are attributed to the job", func() bool {
		return w.leadership().state.Jobs["j-9"] != nil && w.leadership().state.Jobs["j-9"].Failures.IsJobFault
	})
	for _, m := range w.leadership().machines.sortedMachines() {
		if m.Faults.IsQuarantined() || m.Faults.IsFaulty() || len(m.Faults.SuspectJobs) > 0 || m.QuarantinedUntil > 0 {
			t.Errorf("failures of the job are attributed to machine %s: %+v", m.ID, m.Faults)
		}
	}
	w.awaitStatus(120*second, "j-1", protocol.JobDone)
	w.submit("j-2", map[string]any{"shape": "service"})
	w.until(60*second, "j-2 runs", func() bool { return w.running("j-2") == 1 })
	before := w.failures
	w.run(105 * second)
	if n := w.failures - before; n < 2 || n > 6 {
		t.Errorf("%d attempts in three times cancel_s, want 2 to 6", n)
	}
	w.cancel("j-9")
	w.awaitStatus(10*second, "j-9", protocol.JobCancelled)
	w.settle()
}

// Guards against work that waits for as long as mistaken jobs remain: arrays that fail again and again leave the upper
// queue, which is served first come, first served, and so don't take the room each time before a job that came later.
func TestFailingJobsDoNotStayAhead(t *testing.T) {
	w := newWorldWithMachines(t, 106, 1)
	w.fetchTime = func(string) time.Duration { return 8 * second }
	w.occupyMachines(1)
	const mistakenJobs = 8
	mistaken := w.submitMistakenJobs(mistakenJobs, map[string]any{"rank": "normal", "shards": 3, "cores": 3.0})
	w.run(150 * second)
	w.submit("j-2", map[string]any{"shards": 2, "cores": 1.0})
	w.until(maxWaitTime, "j-2 has begun", func() bool { return w.running("j-2") > 0 })
	for _, uid := range mistaken {
		w.cancel(uid)
	}
	w.settle()
}

// Tasks that fail on a faulty machine complete on other machines, which shows that the machine is at
// fault: it gets no more tasks.
func TestFaultyMachineIsQuarantined(t *testing.T) {
	w := newWorld(t, 92)
	w.runTime = func(string) time.Duration { return 10 * second }
	w.submit("j-0", map[string]any{"shape": "service", "cores": 2.0, "shards": 2, "apart": true})
	w.until(60*second, "replicas run", func() bool { return w.running("j-0") == 2 })
	faultyMachine := w.workers()[0].ID
	w.failTasks(nil, map[string]bool{faultyMachine: true})
	for i := range 2 {
		w.submit(fmt.Sprintf("j-%d", i+1), map[string]any{"shards": 4, "cores": 1.0})
	}
	for i := range 2 {
		w.awaitStatus(200*second, fmt.Sprintf("j-%d", i+1), protocol.JobDone)
	}
	if m := w.leadership().state.Machines[faultyMachine]; m != nil && (!m.Faults.IsQuarantined() || !m.Faults.IsFaulty()) {
		t.Errorf("machine not considered faulty after %d failures: %+v", w.failures, m.Faults)
	}
	for _, m := range w.leadership().machines.sortedMachines() {
		if m.ID != faultyMachine && (m.Faults.IsQuarantined() || m.Faults.IsFaulty() || m.Faults.ConfirmedJobs > 0) {
			t.Errorf("failures are attributed to machine %s: %+v", m.ID, m.Faults)
		}
	}
	w.settle()
}

// failureOn is the failure of a task of a job that was not placed there again after an earlier failure, and could use
// other machines.
func failureOn(machine string, at time.Duration) clusterstate.JobFailure {
	return clusterstate.JobFailure{Machine: machine, At: at, HasUntriedMachine: func(map[string]time.Duration) bool { return true }}
}

// Failures of two jobs on the same machine, neither confirmed by a completion elsewhere, are not
// sufficient evidence that the machine is faulty.
func TestEvidenceOfFailures(t *testing.T) {
	var m clusterstate.MachineFaults
	if !m.AddSuspect("j-1", second) || m.AddSuspect("j-1", second) || !m.AddSuspect("j-2", second) || m.IsFaulty() || len(m.SuspectJobs) != 2 {
		t.Error("unconfirmed failures of two jobs make a machine faulty")
	}
	m.RemoveSuspect("j-2")
	if m.AddSuspect("j-3", 2*second); m.IsFaulty() {
		t.Error("a withdrawn failure counts")
	}
	if m.ConfirmSuspect("j-1"); !m.IsFaulty() {
		t.Errorf("a confirmed and an unconfirmed failure do not make the machine faulty: %+v", m)
	}
	if m.RecordSuccess(second); !m.IsFaulty() || m.ConfirmedJobs != 1 {
		t.Error("the completion of a task that was still running clears the faulty state")
	}
	if m.RecordSuccess(3 * second); m.IsFaulty() || m.HasEvidence() {
		t.Error("a task that was placed after the failures has completed, and the machine is still faulty")
	}
	m.AddSuspect("j-4", 5*second)
	if m.RecordSuccess(4 * second); len(m.SuspectJobs) != 1 || !m.WorkedSince(3*second) || m.WorkedSince(4*second) {
		t.Errorf("evidence after the success of a task that was placed before the last failure: %+v", m)
	}
	var f clusterstate.JobFailures
	if f.RecordFailure(failureOn("a", 0)) || f.IsProbing() || f.RecordFailure(failureOn("a", 0)) || f.RecordFailure(failureOn("b", second)) || !f.IsProbing() || f.IsJobFault ||
		!f.RecordFailure(failureOn("c", 0)) || f.RecordFailure(failureOn("d", 0)) {
		t.Errorf("evidence against the job: %+v", f)
	}
	f = clusterstate.JobFailures{}
	f.RecordFailure(failureOn("a", 0))
	if !f.AvoidedMachines(second, 2*second)["a"] || len(f.AvoidedMachines(3*second, 2*second)) > 0 {
		t.Error("with an avoidance time of 2 s, the machine is not avoided after 1 s or is still avoided after 3 s")
	}
}

// A job that can't reach three machines is at fault if it fails again on each of those that it can use, at least two, or
// again on a machine that has worked for another job meanwhile. Failures of tasks placed together count once.
func TestJobFaultInSmallFleet(t *testing.T) {
	for _, test := range []struct {
		name       string
		machines   []string
		last       clusterstate.JobFailure
		untried    bool
		isJobFault bool
	}{
		{"again on both machines", []string{"a", "b"}, clusterstate.JobFailure{Machine: "a", Retried: true}, false, true},
		{"again, a third machine untried", []string{"a", "b"}, clusterstate.JobFailure{Machine: "a", Retried: true}, true, false},
		{"placed before the first failure", []string{"a", "b"}, clusterstate.JobFailure{Machine: "a", MachineWorked: true}, false, false},
		{"again on the only machine", []string{"a"}, clusterstate.JobFailure{Machine: "a", Retried: true}, false, false},
		{"again where another job succeeded", []string{"a"}, clusterstate.JobFailure{Machine: "a", Retried: true, MachineWorked: true}, true, true},
	} {
		var f clusterstate.JobFailures
		for _, machine := range test.machines {
			f.RecordFailure(failureOn(machine, second))
		}
		test.last.HasUntriedMachine = func(map[string]time.Duration) bool { return test.untried }
		if f.RecordFailure(test.last); f.IsJobFault != test.isJobFault {
			t.Errorf("%s: attributed to the job: %v", test.name, f.IsJobFault)
		}
	}
}
