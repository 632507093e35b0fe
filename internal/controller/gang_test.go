package controller

import (
	"fmt"
	"maps"
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// gangChanges returns the changes to the default submission for a gang with checkpoints, with further changes.
func gangChanges(shards int, cores float64, change map[string]any) map[string]any {
	m := map[string]any{"shape": "group", "shards": shards, "cores": cores, "saveEveryS": 5.0, "saveTakesS": 2.0}
	for k, v := range change {
		m[k] = v
	}
	return m
}

// While there is capacity for only some of a gang's tasks, none of them is placed. The gang runs as soon
// as there is capacity for all of them.
func TestGangRunsWholeOrNotAtAll(t *testing.T) {
	w := newWorld(t, 90)
	w.submit("j-1", map[string]any{"shape": "service", "cores": 4.0})
	w.until(60*second, "the replica runs", func() bool { return w.running("j-1") == 1 })
	w.cloud.Down = true // no more machines can be rented
	w.submit("j-2", gangChanges(3, 2, nil))
	for range 40 {
		w.run(second)
		if n := w.running("j-2"); n > 0 {
			t.Fatalf("%d tasks of a gang of 3 are on machines, want none", n)
		}
	}
	w.cancel("j-1")
	w.awaitStatus(90*second, "j-2", protocol.JobDone)
	if w.machines.GangStarts["j-2"] != 1 {
		t.Errorf("the gang started %d times, want 1", w.machines.GangStarts["j-2"])
	}
	w.settle()
}

// A machine with tasks of a running gang dies: the remaining tasks are stopped, and the gang restarts as
// a whole.
func TestGangRestartsAfterMachineLoss(t *testing.T) {
	w := newWorld(t, 91)
	w.submit("j-1", gangChanges(4, 4, nil)) // two machines
	w.until(60*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	w.run(3 * second)
	for _, worker := range w.workers() {
		if len(worker.Tasks) > 0 {
			worker.Terminate()
			break
		}
	}
	w.until(60*second, "the gang has restarted", func() bool { return w.machines.GangStarts["j-1"] == 2 })
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.settle()
}

// A gang must leave one of its two machines: all its tasks receive a stop command within gang_peer_s of
// the first one, with a grace period long enough to save (2 s) and to wait for the other tasks (5 s).
// The controller ends a save that outlasts the grace period with a second stop command (see stopIsDue).
func TestGangStopsWhole(t *testing.T) {
	w := newWorld(t, 92)
	w.runTime = func(string) time.Duration { return 60 * second }
	w.submit("j-1", gangChanges(4, 4, nil))
	w.until(60*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	w.run(2 * second)
	for _, worker := range w.workers() {
		if len(worker.Tasks) > 0 {
			worker.HeartbeatsLost = true
			break
		}
	}
	w.until(20*second, "the gang receives a stop command", func() bool { return len(w.stopCommands["j-1"]) > 0 })
	w.run(5 * second)
	commands := w.stopCommands["j-1"]
	if len(commands) != 4 {
		t.Fatalf("%d of 4 tasks received a stop command", len(commands))
	}
	for _, command := range commands {
		if command.at > commands[0].at+5*second || command.grace < 2+5 {
			t.Errorf("stop command received %v after the first one, with a grace period of %v s; want at most 5 s and at least 7 s", command.at-commands[0].at, command.grace)
		}
	}
	w.until(60*second, "the gang has restarted", func() bool { return w.machines.GangStarts["j-1"] == 2 })
	w.awaitStatus(90*second, "j-1", protocol.JobDone)
	w.settle()
}

// The leader crashes at different moments of a gang's start: the gang still runs as a whole,
// never with tasks of two attempts.
func TestGangStartAcrossFailover(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, 93)
			w.submit("j-0", map[string]any{"shape": "service", "shards": 2, "cores": 2.0, "apart": true})
			w.until(60*second, "machines are up", func() bool { return w.running("j-0") == 2 })
			lead := w.awaitLeader()
			w.submit("j-1", gangChanges(4, 2, nil))
			w.run(time.Duration(seed) * 3 * time.Millisecond)
			w.crash(lead)
			w.after(2*second, func() { w.boot(lead) })
			w.awaitStatus(120*second, "j-1", protocol.JobDone)
			w.settle()
		})
	}
}

// Two gangs that each need more than half of the fleet run one after the other, and small gangs that
// are submitted continuously do not starve them.
func TestGangsTakeTurns(t *testing.T) {
	w := newWorld(t, 94)
	w.runTime = func(string) time.Duration { return 8 * second }
	w.submit("j-1", map[string]any{"shape": "service", "cores": 1.0, "owner": "blue"})
	w.until(60*second, "a machine is up", func() bool { return w.running("j-1") == 1 })
	w.cloud.Down = true
	w.submit("j-2", gangChanges(5, 1, nil))
	w.submit("j-3", gangChanges(5, 1, map[string]any{"owner": "blue"}))
	for i := range 8 {
		w.submit(fmt.Sprintf("j-4%d", i), gangChanges(2, 1, nil))
		w.run(5 * second)
	}
	w.awaitStatus(60*second, "j-2", protocol.JobDone)
	w.awaitStatus(60*second, "j-3", protocol.JobDone)
	w.settle()
}

// A gang is validated like other jobs, and all of its tasks together must fit into the team's quota.
func TestGangValidation(t *testing.T) {
	w := newWorld(t, 95)
	w.awaitLeader()
	w.run(5 * second)
	for uid, tc := range map[string]struct {
		change map[string]any
		status int
	}{
		"j-1": {gangChanges(5, 8, nil), 422}, // 40 of 32 cores
		"j-2": {gangChanges(4, 8, nil), 201},
		"j-3": {gangChanges(2, 9, nil), 422},
		"j-4": {gangChanges(0, 1, nil), 400},
		"j-6": {gangChanges(2, 1, map[string]any{"apart": true, "yard": "a"}), 422},
		"j-7": {gangChanges(2, 1, map[string]any{"apart": true, "together": true}), 422},
		"j-8": {gangChanges(2, 1, map[string]any{"apart": true}), 201},
		"j-5": {gangChanges(2, 1, map[string]any{"owner": "green"}), 422},
	} {
		w.spec(uid, tc.change)
		w.invalid[uid] = tc.status >= http.StatusBadRequest
		w.user(w.awaitLeader(), OpSubmit, uid, func(status int, _ protocol.JobStatus) {
			if status != tc.status {
				t.Errorf("submission %v: status %d, want %d", tc.change, status, tc.status)
			}
		})
		w.run(second)
	}
	w.settle()
}

// A leader of an old version has started the tasks of a gang like the tasks of an array, each with its own
// attempt number: these tasks are stopped, and the gang runs as a whole.
func TestGangInPartsFromAnOldVersion(t *testing.T) {
	w := newWorld(t, 96)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2, "cores": 4.0, "apart": true})
	w.until(60*second, "machines are up", func() bool { return w.running("j-1") == 2 })
	w.specs["j-2"] = w.spec("j-2", gangChanges(2, 1, nil))
	_, spec, err := protocol.ParseSubmission(protocol.Encode(w.specs["j-2"]))
	if err != nil {
		t.Fatal(err)
	}
	w.state.Preset(clusterstate.JobPrefix+"j-2", &emulator.Item{Version: 1, Value: protocol.Encode(clusterstate.JobRecord{Submitted: 1, Spec: spec})})
	w.startPolling("j-2")
	attempt := uint64(1 << 20)
	for i, worker := range w.workers() {
		item := w.state.Item(clusterstate.MachinePrefix + worker.ID)
		var rec clusterstate.MachineRecord
		if item == nil || i > 1 || protocol.Decode(item.Value, &rec) != nil {
			continue
		}
		attempt++
		rec.Attempts = append(rec.Attempts, clusterstate.AttemptEntry{Job: "j-2", Index: i, Try: attempt})
		item.Value = protocol.Encode(rec)
		worker.AddTask(clusterstate.TaskName("j-2", i), &emulator.Task{UID: "j-2", Attempt: attempt, State: protocol.TaskWaitingForGang})
	}
	w.restart(w.awaitLeader(), second)
	w.awaitStatus(120*second, "j-2", protocol.JobDone)
	w.settle()
}

// A task of a gang is lost while the other task still fetches its image: the task is replaced within the
// same attempt, and the gang starts once.
func TestGangReplacesALostTask(t *testing.T) {
	w := newWorld(t, 97)
	w.submit("j-0", map[string]any{"shape": "service", "shards": 3, "cores": 6.0})
	w.until(60*second, "machines are up", func() bool { return w.running("j-0") == 3 })
	w.fetchTime = func(string) time.Duration { return 12 * second }
	w.submit("j-1", gangChanges(2, 2, nil))
	highestAttempt := func() (highest uint64) {
		for _, worker := range w.workers() {
			for _, task := range worker.Tasks {
				if task.UID == "j-1" && !worker.Deleted {
					highest = max(highest, task.Attempt)
				}
			}
		}
		return highest
	}
	w.until(10*second, "a task of the gang is on a machine", func() bool { return highestAttempt() > 0 })
	w.run(second)
	first := highestAttempt()
	for _, worker := range w.workers() {
		if _, found := worker.Tasks[fmt.Sprintf("j-1/0@%d", first)]; found {
			worker.Terminate()
		}
	}
	w.fetchTime = nil
	w.until(60*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	if highestAttempt() != first {
		t.Errorf("the gang runs in attempt %d, want the first attempt %d", highestAttempt(), first)
	}
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.settle()
}

// A gang's placement is stored in several transactions, and the state service is down after the first of
// them: no task of the gang is started before the whole placement is durable.
func TestGangWaitsUntilItsPlacementIsDurable(t *testing.T) {
	w := newWorld(t, 98)
	for _, cfg := range w.cfgs {
		cfg.Cluster.State.TxnOps = 3
	}
	w.submit("j-0", map[string]any{"shape": "service", "shards": 4, "cores": 4.0})
	w.submit("j-9", map[string]any{"shape": "service", "shards": 2, "cores": 4.0, "owner": "blue"})
	w.until(60*second, "machines are up", func() bool { return w.running("j-0") == 4 && w.running("j-9") == 2 })
	w.cancel("j-0")
	w.cancel("j-9")
	w.until(2*second, "the machines are empty", func() bool { return w.running("j-0")+w.running("j-9") == 0 })
	written := false
	w.callFault = func(_ int, c Call) deliveryFault {
		var txn protocol.Transaction
		if c.Path == "/multi" && !written && protocol.Decode(c.Body, &txn) == nil {
			for _, ch := range txn.Then {
				if rec, ok := ch.Value.(map[string]any); ok && rec["t"] != nil && ch.Put[:2] == clusterstate.MachinePrefix {
					written = true
					w.after(2*latency, func() { w.state.InjectOutage(20 * second) })
				}
			}
		}
		return deliveryFault{}
	}
	w.submit("j-1", gangChanges(4, 6, nil)) // each task needs a machine of its own
	w.until(30*second, "a part of the placement is written", func() bool { return written })
	for range 18 {
		w.run(second)
		if n := w.running("j-1"); n > 0 && n < 4 {
			t.Fatalf("%d of 4 tasks are on machines, want none or all", n)
		}
	}
	w.callFault = nil
	w.awaitStatus(120*second, "j-1", protocol.JobDone)
	w.settle()
}

// A task of a gang whose tasks wait for each other is lost together with the leader: the new leader
// stops the remaining task as soon as it detects the loss, before the worker times out.
func TestIncompleteGangIsStoppedAfterFailover(t *testing.T) {
	w := newWorld(t, 99)
	w.submit("j-0", map[string]any{"shape": "service", "shards": 3, "cores": 6.0})
	w.until(60*second, "machines are up", func() bool { return w.running("j-0") == 3 })
	w.fetchTime = func(string) time.Duration { return 6 * second }
	w.submit("j-1", gangChanges(2, 2, nil))
	hasGangTask := func(worker *emulator.Worker) bool {
		for _, task := range worker.Tasks {
			if task.UID == "j-1" {
				return true
			}
		}
		return false
	}
	w.until(10*second, "both tasks of the gang are on machines", func() bool {
		n := 0
		for _, worker := range w.workers() {
			if hasGangTask(worker) {
				n++
			}
		}
		return n == 2
	})
	for _, worker := range w.workers() {
		if hasGangTask(worker) {
			worker.Terminate()
			break
		}
	}
	w.crash(w.awaitLeader())
	w.fetchTime = nil
	w.until(32*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.settle()
}

// A repeated submission of an accepted gang returns the gang's state even if its body has changed and
// would be rejected as a new submission.
func TestRepeatedGangSubmissionReturnsItsState(t *testing.T) {
	w := newWorld(t, 100)
	w.submit("j-1", gangChanges(2, 1, nil))
	w.until(30*second, "j-1 is accepted", func() bool { return w.lastReplies["j-1"] != "" })
	first := w.specs["j-1"]
	for name, change := range map[string]map[string]any{
		"no tasks": {"shards": 0}, "beyond the limit": {"shards": 500}, "unknown shape": {"shape": "heap"},
		"another shape": {"shape": "service"}, "unknown team": {"owner": "green"},
	} {
		repeat := maps.Clone(first)
		maps.Copy(repeat, change)
		lead := w.awaitLeader()
		w.sendRequest(lead, Request{Op: OpSubmit, Body: protocol.Encode(repeat)}, func(r Reply) {
			var s protocol.JobStatus
			if r.Status != http.StatusOK || protocol.Decode(r.Body, &s) != nil || s.UID != "j-1" || s.State == "" {
				t.Errorf("repeated submission (%s): status %d, reply %+v", name, r.Status, s)
			}
		})
		w.run(second)
	}
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.settle()
}
