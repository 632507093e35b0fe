package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// lowerLimits are the state service's future limits, as announced by the settings in these tests.
var lowerLimits = emulator.StateLimits{ValueBytes: 2 << 10, Changes: 10}

// announceLimits restarts all controllers with settings that announce the future limits.
func (w *world) announceLimits() {
	for i, cfg := range w.cfgs {
		cfg.Cluster.State.Next = &config.NextState{ValueKB: 2, TxnOps: 10, WriteRPS: 35}
		w.restart(i, 100*time.Millisecond)
	}
	w.run(2 * second)
	w.awaitLeader()
}

// TestLowerLimitsWithABacklog lets the announced limits take effect while writes are queued, before, during or after a
// failover. No transaction may exceed the limits, and no write may be lost.
func TestLowerLimitsWithABacklog(t *testing.T) {
	for _, crashDelay := range []time.Duration{-second, 0, 20 * time.Millisecond, second} {
		t.Run(fmt.Sprintf("leader crashes %v after the limits take effect", crashDelay), func(t *testing.T) {
			w := newWorld(t, 131)
			w.announceLimits()
			w.submit("j-0", map[string]any{"shape": "service", "shards": 3, "cores": 2.0})
			w.until(60*second, "the replicas run", func() bool { return w.running("j-0") == 3 })
			for i := range 40 {
				w.submit(fmt.Sprintf("j-%d", 100+i), map[string]any{"cores": 0.5, "shards": 2})
			}
			w.submit("j-1", gangChanges(8, 0.5, nil))
			w.after(2*second, func() { w.state.Limits = lowerLimits })
			w.after(2*second+crashDelay, func() { w.restart(w.leaderOrFirst(), second) })
			w.awaitStatus(200*second, "j-1", protocol.JobDone)
			for i := range 40 {
				w.awaitStatus(200*second, fmt.Sprintf("j-%d", 100+i), protocol.JobDone)
			}
			if w.state.TooLargeTransactions > 0 {
				t.Errorf("%d transactions exceeded the limits", w.state.TooLargeTransactions)
			}
			w.settle()
		})
	}
}

// TestLargeArrayAcrossLowerLimits covers an array of 40,000 tasks whose completions were stored under the previous
// limit. Its last tasks complete under the lower limit, across a failover. Completed tasks must not be started again,
// the new completions must be stored, and the job must become done.
func TestLargeArrayAcrossLowerLimits(t *testing.T) {
	const tasks = 40_000
	waitingTasks := []int{5, 20_000, 39_998, 39_999}
	w := newWorld(t, 132)
	w.awaitLeader()
	w.runTime = func(task string) time.Duration {
		if strings.HasSuffix(task, "39999") {
			return 40 * second
		}
		return 5 * second
	}
	w.completedTasks = map[string]bool{}
	w.specs["j-1"] = w.spec("j-1", map[string]any{"shards": tasks, "cores": 1.0})
	_, spec, err := protocol.ParseSubmission(protocol.Encode(w.specs["j-1"]))
	if err != nil {
		t.Fatal(err)
	}
	state := clusterstate.New(16<<10, 16<<10)
	j := state.AddJob(spec, 1)
	for i := range tasks {
		if i != waitingTasks[0] && i != waitingTasks[1] && i < waitingTasks[2] {
			j.MarkDone(i)
			w.completedTasks[clusterstate.TaskName("j-1", i)] = true
		}
	}
	w.state.ForceChange(clusterstate.JobPrefix+"j-1", &emulator.Item{Value: protocol.Encode(clusterstate.JobRecord{Submitted: 1, Spec: spec})})
	w.state.ForceChange(state.CompletionKey(j, 0), &emulator.Item{Value: protocol.Encode(state.CompletionRecord(j, 0))})
	w.startPolling("j-1")
	w.state.Limits = lowerLimits
	w.announceLimits()
	w.until(60*second, "three of the last tasks are done", func() bool {
		return w.completedTasks["j-1/5"] && w.completedTasks["j-1/20000"] && w.completedTasks["j-1/39998"]
	})
	w.run(2 * second)
	w.restart(w.awaitLeader(), second)
	w.awaitStatus(90*second, "j-1", protocol.JobDone)
	started := 0
	for task, times := range w.startCounts {
		started += times
		if times > 1 {
			t.Errorf("task %s started %d times", task, times)
		}
	}
	if started != len(waitingTasks) || w.state.TooLargeTransactions > 0 {
		t.Errorf("%d tasks were started, %d transactions exceeded the limits", started, w.state.TooLargeTransactions)
	}
	w.run(5 * second)
	for _, key := range w.state.Keys() {
		if strings.HasPrefix(key, clusterstate.CompletionPrefix) || strings.HasPrefix(key, clusterstate.CompletionPartPrefix) {
			t.Errorf("key %s has not been deleted", key)
		}
	}
	w.settle()
}

// TestMachineWithAnOversizedRecordIsReleased covers an unreachable machine whose record was stored under the previous
// limit and exceeds the lower one. The machine must be released and its tasks restarted on other machines.
func TestMachineWithAnOversizedRecordIsReleased(t *testing.T) {
	w := newWorld(t, 133)
	w.runTime = func(string) time.Duration { return 200 * second }
	w.submit("j-1", map[string]any{"shards": 70, "cores": 0.1, "ramGb": 0.1})
	w.until(90*second, "all tasks run", func() bool { return w.running("j-1") == 70 })
	worker := w.machinesWithTasksOf("j-1")[0]
	w.state.Limits = lowerLimits
	if len(worker.Tasks) < 60 {
		t.Fatalf("%d tasks on the machine, want at least 60", len(worker.Tasks))
	}
	worker.Partitioned = true
	w.announceLimits()
	w.until(100*second, "the unreachable machine is deleted", func() bool { return worker.Deleted })
	w.runTime = func(string) time.Duration { return second }
	w.awaitStatus(300*second, "j-1", protocol.JobDone)
	w.settle()
}

// TestCompletionsOfFinishedJobsAreDeleted checks that a new leader deletes completion records of finished jobs that
// an earlier leader left in the store.
func TestCompletionsOfFinishedJobsAreDeleted(t *testing.T) {
	w := newWorld(t, 134)
	lead := w.awaitLeader()
	for _, key := range []string{"d/j-7/0", "p/j-7/3"} {
		w.state.ForceChange(key, &emulator.Item{Value: protocol.Encode(clusterstate.CompletionRecord{Bits: "AQ=="})})
	}
	w.restart(lead, second)
	w.run(10 * second)
	for _, key := range []string{"d/j-7/0", "p/j-7/3"} {
		if w.state.Item(key) != nil {
			t.Errorf("key %s has not been deleted", key)
		}
	}
	w.settle()
}
