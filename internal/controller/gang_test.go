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

func group(shards int, cores float64, change map[string]any) map[string]any {
	m := map[string]any{"shape": "group", "shards": shards, "cores": cores, "saveEveryS": 5.0, "saveTakesS": 2.0}
	for k, v := range change {
		m[k] = v
	}
	return m
}

// A gang for which there is room only in part waits whole, and runs once there is room for all of
// it.
func TestGangRunsWholeOrNotAtAll(t *testing.T) {
	w := newWorld(t, 90)
	w.submit("j-1", map[string]any{"shape": "service", "cores": 4.0})
	w.until(60*second, "the replica runs", func() bool { return w.running("j-1") == 1 })
	w.cloud.Down = true // nothing else can be rented
	w.submit("j-2", group(3, 2, nil))
	for range 40 {
		w.run(second)
		if n := w.running("j-2"); n > 0 {
			t.Fatalf("%d tasks of a gang of 3 are on machines", n)
		}
	}
	w.cancel("j-1")
	w.awaitStatus(90*second, "j-2", protocol.JobDone)
	if w.machines.GangStarts["j-2"] != 1 {
		t.Errorf("the gang began %d times", w.machines.GangStarts["j-2"])
	}
	w.settle()
}

// A machine with a task of a running gang dies: what is left is cleared, and the gang starts again,
// whole.
func TestGangBeginsAgainAfterALoss(t *testing.T) {
	w := newWorld(t, 91)
	w.submit("j-1", group(4, 4, nil)) // two machines
	w.until(60*second, "it runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	w.run(3 * second)
	for _, worker := range w.workers() {
		if len(worker.Tasks) > 0 {
			worker.Die()
			break
		}
	}
	w.until(60*second, "it has begun again", func() bool { return w.machines.GangStarts["j-1"] == 2 })
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.settle()
}

// A gang on two machines has to leave one of them: all its tasks get the stop command within
// gang_peer_s, with time enough to save (2 s) and to wait for the others (5 s): a second stop
// command, which ends a save, counts from there.
func TestGangStopsWhole(t *testing.T) {
	w := newWorld(t, 92)
	w.runs = func(string) time.Duration { return 60 * second }
	w.submit("j-1", group(4, 4, nil))
	w.until(60*second, "it runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	w.run(2 * second)
	for _, worker := range w.workers() {
		if len(worker.Tasks) > 0 {
			worker.HeartbeatsLost = true
			break
		}
	}
	w.until(20*second, "it gets a stop command", func() bool { return len(w.stopCommands["j-1"]) > 0 })
	w.run(5 * second)
	commands := w.stopCommands["j-1"]
	if len(commands) != 4 {
		t.Fatalf("%d of 4 tasks got a stop command", len(commands))
	}
	for _, h := range commands {
		if h.at > commands[0].at+5*second || h.grace < 2+5 {
			t.Errorf("a stop command came %v after the first, with a grace period of %v s", h.at-commands[0].at, h.grace)
		}
	}
	w.until(60*second, "it has begun again", func() bool { return w.machines.GangStarts["j-1"] == 2 })
	w.awaitStatus(90*second, "j-1", protocol.JobDone)
	w.settle()
}

// Leaders end at any moment of a gang's start: it runs whole all the same, never in parts under two
// attempts.
func TestGangStartsAcrossLeaders(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, 93)
			w.submit("j-0", map[string]any{"shape": "service", "shards": 2, "cores": 2.0, "apart": true})
			w.until(60*second, "machines are up", func() bool { return w.running("j-0") == 2 })
			lead := w.awaitLeader()
			w.submit("j-1", group(4, 2, nil))
			w.run(time.Duration(seed) * 3 * time.Millisecond)
			w.crash(lead)
			w.at(2*second, func() { w.boot(lead) })
			w.awaitStatus(120*second, "j-1", protocol.JobDone)
			w.settle()
		})
	}
}

// Two gangs that each need more than half of the fleet run one after the other, and small ones that
// keep coming do not starve them.
func TestGangsTakeTurns(t *testing.T) {
	w := newWorld(t, 94)
	w.runs = func(string) time.Duration { return 8 * second }
	w.submit("j-1", map[string]any{"shape": "service", "cores": 1.0, "owner": "blue"})
	w.until(60*second, "a machine is up", func() bool { return w.running("j-1") == 1 })
	w.cloud.Down = true
	w.submit("j-2", group(5, 1, nil))
	w.submit("j-3", group(5, 1, map[string]any{"owner": "blue"}))
	for i := range 8 {
		w.submit(fmt.Sprintf("j-4%d", i), group(2, 1, nil))
		w.run(5 * second)
	}
	w.awaitStatus(60*second, "j-2", protocol.JobDone)
	w.awaitStatus(60*second, "j-3", protocol.JobDone)
	w.settle()
}

// A gang is validated like other jobs, and its team's quota bounds all of it.
func TestGangValidation(t *testing.T) {
	w := newWorld(t, 95)
	w.awaitLeader()
	w.run(5 * second)
	for uid, tc := range map[string]struct {
		change map[string]any
		status int
	}{
		"j-1": {group(5, 8, nil), 422}, // 40 of 32 cores
		"j-2": {group(4, 8, nil), 201},
		"j-3": {group(2, 9, nil), 422},
		"j-4": {group(0, 1, nil), 400},
		"j-6": {group(2, 1, map[string]any{"apart": true, "yard": "a"}), 422},
		"j-7": {group(2, 1, map[string]any{"apart": true, "together": true}), 422},
		"j-8": {group(2, 1, map[string]any{"apart": true}), 201},
		"j-5": {group(2, 1, map[string]any{"owner": "green"}), 422},
	} {
		w.spec(uid, tc.change)
		w.invalid[uid] = tc.status >= http.StatusBadRequest
		w.user(w.awaitLeader(), OpSubmit, uid, func(status int, _ protocol.JobStatus) {
			if status != tc.status {
				t.Errorf("%v: %d, want %d", tc.change, status, tc.status)
			}
		})
		w.run(second)
	}
	w.settle()
}

// An old version led for a while and started a gang's tasks as if they were an array's, under
// attempt numbers of their own: they are cleared, and the gang runs whole.
func TestGangInPartsFromAnOldVersion(t *testing.T) {
	w := newWorld(t, 96)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2, "cores": 4.0, "apart": true})
	w.until(60*second, "machines are up", func() bool { return w.running("j-1") == 2 })
	w.specs["j-2"] = w.spec("j-2", group(2, 1, nil))
	_, spec, err := protocol.ParseSubmission(protocol.Encode(w.specs["j-2"]))
	if err != nil {
		t.Fatal(err)
	}
	w.state.Preset(clusterstate.JobPrefix+"j-2", &emulator.Item{Version: 1, Value: protocol.Encode(clusterstate.JobRecord{Submitted: 1, Spec: spec})})
	w.startPolling("j-2")
	try := uint64(1 << 20)
	for i, worker := range w.workers() {
		it := w.state.Item(clusterstate.MachinePrefix + worker.ID)
		var rec clusterstate.MachineRecord
		if it == nil || i > 1 || protocol.Decode(it.Value, &rec) != nil {
			continue
		}
		try++
		rec.Attempts = append(rec.Attempts, clusterstate.AttemptEntry{Job: "j-2", Index: i, Try: try})
		it.Value = protocol.Encode(rec)
		worker.AddTask(clusterstate.TaskName("j-2", i), &emulator.Task{UID: "j-2", Attempt: try, State: protocol.TaskWaitingForGang})
	}
	w.restart(w.awaitLeader(), second)
	w.awaitStatus(120*second, "j-2", protocol.JobDone)
	w.settle()
}

// A task is lost while the others still wait for their images: it is replaced under the same
// attempt, and the gang starts once.
func TestGangReplacesALostTask(t *testing.T) {
	w := newWorld(t, 97)
	w.submit("j-0", map[string]any{"shape": "service", "shards": 3, "cores": 6.0})
	w.until(60*second, "machines are up", func() bool { return w.running("j-0") == 3 })
	w.pulls = func(string) time.Duration { return 12 * second }
	w.submit("j-1", group(2, 2, nil))
	try := func() (out uint64) {
		for _, worker := range w.workers() {
			for _, task := range worker.Tasks {
				if task.UID == "j-1" && !worker.Deleted {
					out = max(out, task.Attempt)
				}
			}
		}
		return out
	}
	w.until(10*second, "it is pulling", func() bool { return try() > 0 })
	w.run(second)
	first := try()
	for _, worker := range w.workers() {
		if _, here := worker.Tasks[fmt.Sprintf("j-1/0@%d", first)]; here {
			worker.Die()
		}
	}
	w.pulls = nil
	w.until(60*second, "it runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	if try() != first {
		t.Errorf("attempt %d, first %d", try(), first)
	}
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.settle()
}

// Storing a gang's placement takes several transactions, and the state service is down after the
// first of them: no part of the gang is started.
func TestGangWaitsForAllItsPlaces(t *testing.T) {
	w := newWorld(t, 98)
	for _, cfg := range w.cfgs {
		cfg.Cluster.State.TxnOps = 3
	}
	w.submit("j-0", map[string]any{"shape": "service", "shards": 4, "cores": 4.0})
	w.submit("j-9", map[string]any{"shape": "service", "shards": 2, "cores": 4.0, "owner": "blue"})
	w.until(60*second, "machines are up", func() bool { return w.running("j-0") == 4 && w.running("j-9") == 2 })
	w.cancel("j-0")
	w.cancel("j-9")
	w.until(2*second, "they are empty", func() bool { return w.running("j-0")+w.running("j-9") == 0 })
	written := false
	w.script = func(_ int, c Call) deliveryFault {
		var txn protocol.Transaction
		if c.Path == "/multi" && !written && protocol.Decode(c.Body, &txn) == nil {
			for _, ch := range txn.Then {
				if rec, ok := ch.Value.(map[string]any); ok && rec["t"] != nil && ch.Put[:2] == clusterstate.MachinePrefix {
					written = true
					w.at(2*latency, func() { w.state.Outage(20 * second) })
				}
			}
		}
		return deliveryFault{}
	}
	w.submit("j-1", group(4, 6, nil)) // one machine each
	w.until(30*second, "a part of it is written", func() bool { return written })
	for range 18 {
		w.run(second)
		if n := w.running("j-1"); n > 0 && n < 4 {
			t.Fatalf("%d of 4 tasks are on machines", n)
		}
	}
	w.script = nil
	w.awaitStatus(120*second, "j-1", protocol.JobDone)
	w.settle()
}

// A task of a gang that is still gathering is lost together with the leader: what is left is
// cleared as soon as that is known, not when the workers time out.
func TestGangIsClearedAfterAFailover(t *testing.T) {
	w := newWorld(t, 99)
	w.submit("j-0", map[string]any{"shape": "service", "shards": 3, "cores": 6.0})
	w.until(60*second, "machines are up", func() bool { return w.running("j-0") == 3 })
	w.pulls = func(string) time.Duration { return 6 * second }
	w.submit("j-1", group(2, 2, nil))
	at := func(worker *emulator.Worker) bool {
		for _, task := range worker.Tasks {
			if task.UID == "j-1" {
				return true
			}
		}
		return false
	}
	w.until(10*second, "it is pulling", func() bool {
		n := 0
		for _, worker := range w.workers() {
			if at(worker) {
				n++
			}
		}
		return n == 2
	})
	for _, worker := range w.workers() {
		if at(worker) {
			worker.Die()
			break
		}
	}
	w.crash(w.awaitLeader())
	w.pulls = nil
	w.until(32*second, "it runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.settle()
}

// A gang that was accepted is answered with its state when it is submitted again, whatever the
// repeated request contains: also one that would be refused as new.
func TestRepeatedGangSubmissionReturnsItsState(t *testing.T) {
	w := newWorld(t, 100)
	w.submit("j-1", group(2, 1, nil))
	w.until(30*second, "it is accepted", func() bool { return w.lastReplies["j-1"] != "" })
	first := w.specs["j-1"]
	for name, change := range map[string]map[string]any{
		"no tasks": {"shards": 0}, "beyond the limit": {"shards": 500}, "unknown shape": {"shape": "heap"},
		"another shape": {"shape": "service"}, "unknown team": {"owner": "green"},
	} {
		repeat := maps.Clone(first)
		maps.Copy(repeat, change)
		lead := w.awaitLeader()
		w.ask(lead, Request{Op: OpSubmit, Body: protocol.Encode(repeat)}, func(r Reply) {
			var s protocol.JobStatus
			if r.Status != http.StatusOK || protocol.Decode(r.Body, &s) != nil || s.UID != "j-1" || s.State == "" {
				t.Errorf("%s: %d, %+v", name, r.Status, s)
			}
		})
		w.run(second)
	}
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.settle()
}
