package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// A user's request for a cancellation gets status 503, and the user does not retry; then the leader crashes. The new
// leader still completes the cancellation.
func TestCancellationOutlivesTheLeader(t *testing.T) {
	w := newWorld(t, 70)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	lead := w.awaitLeader()
	for _, worker := range w.workers() {
		worker.Partitioned = true
	}
	answers := 0
	w.user(lead, OpCancel, "j-1", func(status int, _ protocol.JobStatus) {
		if answers++; status != http.StatusServiceUnavailable {
			t.Errorf("cancellation answered with status %d before the absence of the tasks is proved, want 503", status)
		}
	})
	w.run(2 * second)
	if w.lastReplies["j-1"] == protocol.JobCancelled || answers != 1 {
		t.Fatalf("reported state %q after %d answers, want 1 answer and no cancellation yet", w.lastReplies["j-1"], answers)
	}
	w.crash(lead)
	for _, worker := range w.workers() {
		worker.Partitioned = false
	}
	w.until(40*second, "j-1 is reported as cancelled by the new leader", func() bool { return w.lastReplies["j-1"] == protocol.JobCancelled })
	if w.running("j-1") != 0 {
		t.Error("a replica of the cancelled job still runs")
	}
	w.settle()
}

// All tasks of a job complete while its cancellation waits for the proof of their absence: the job ends
// as done.
func TestJobCompletesDuringCancellation(t *testing.T) {
	w := newWorld(t, 71)
	w.runTime = func(string) time.Duration { return 6 * second }
	w.submit("j-1", map[string]any{"shards": 2, "cores": 4.0})
	w.until(60*second, "j-1 runs", func() bool { return w.running("j-1") == 2 })
	for _, worker := range w.workers() {
		worker.Partitioned = true
		w.after(8*second, func() { worker.Partitioned = false })
	}
	w.cancel("j-1")
	w.awaitStatus(30*second, "j-1", protocol.JobDone)
	w.settle()
}

// A transaction that creates keys gets no answer, its retry applies, the keys are deleted, and then the
// first transaction arrives late. Its conditions on the keys hold again, as it requires their absence:
// only the condition on the leader key prevents it from applying.
func TestLateCreationAfterDeletion(t *testing.T) {
	w := newWorld(t, 72)
	w.awaitLeader()
	var createdKeys []string
	w.callFault = func(_ int, c Call) deliveryFault {
		var txn protocol.Transaction
		if c.Path != "/multi" || protocol.Decode(c.Body, &txn) != nil || len(createdKeys) > 0 {
			return deliveryFault{}
		}
		for _, ch := range txn.Then {
			if !strings.HasPrefix(ch.Put, clusterstate.MachinePrefix) {
				return deliveryFault{}
			}
		}
		for _, ch := range txn.Then {
			createdKeys = append(createdKeys, ch.Put)
		}
		return deliveryFault{delay: 55 * second, replyLost: true}
	}
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	w.cancel("j-1")
	absent := func() bool {
		for _, k := range createdKeys {
			if w.state.Item(k) != nil {
				return false
			}
		}
		return len(createdKeys) > 0
	}
	w.until(100*second, "the machines are deleted from the store", absent)
	w.run(60 * second)
	if !absent() {
		t.Errorf("deleted keys %v were created again by a late transaction", createdKeys)
	}
	w.settle()
}

// From some time on, without notice, the state service rejects larger transactions as malformed:
// transactions are split, no confirmed job is lost, and all jobs complete.
func TestMalformedTransactionsAreSplit(t *testing.T) {
	w := newWorld(t, 73)
	w.awaitLeader()
	n := 0
	w.callFault = func(_ int, c Call) deliveryFault {
		n++
		// Some transactions get no answer: they may have applied before their retry is rejected with 400.
		return deliveryFault{replyLost: c.Path == "/multi" && n%7 == 0}
	}
	w.after(15*second, func() { w.state.RefuseAsMalformed = func(txn protocol.Transaction) bool { return len(txn.Then) > 3 } })
	for i := range 10 {
		uid := fmt.Sprintf("j-%d", i)
		w.after(time.Duration(i/5)*14*second, func() { w.submit(uid, map[string]any{"shards": 3, "cores": 1.0}) })
	}
	w.run(30 * second)
	for i := range 10 {
		w.awaitStatus(200*second, fmt.Sprintf("j-%d", i), protocol.JobDone)
	}
	w.settle()
}

// If the state service rejects a transaction with a single record, that write is given up and the
// submission is not confirmed. Other jobs' records must not be blocked by it.
func TestRejectedRecordDoesNotBlockOthers(t *testing.T) {
	w := newWorld(t, 74)
	w.awaitLeader()
	w.run(2 * second)
	w.state.RefuseAsMalformed = func(txn protocol.Transaction) bool {
		for _, ch := range txn.Then {
			if ch.Put == clusterstate.JobPrefix+"j-1" {
				return true
			}
		}
		return false
	}
	w.submit("j-1", nil)
	w.submit("j-2", nil)
	w.awaitStatus(100*second, "j-2", protocol.JobDone)
	if w.lastReplies["j-1"] != "" {
		t.Errorf("j-1, which was never stored, is reported as %q", w.lastReplies["j-1"])
	}
	w.state.RefuseAsMalformed = nil
	w.submit("j-1", nil)
	w.awaitStatus(100*second, "j-1", protocol.JobDone)
	w.settle()
}

// A task without a record ends on the only machine with free capacity: once its absence is reported, the
// machine gets tasks again.
func TestUnknownTaskIsForgottenWhenAbsent(t *testing.T) {
	w := newWorld(t, 75)
	w.submit("j-1", map[string]any{"shape": "service", "cores": 2.0})
	w.until(60*second, "the replica runs", func() bool { return w.running("j-1") == 1 })
	w.cloud.Down = true // no more machines can be rented
	w.spec("j-9", nil)
	for _, worker := range w.workers() {
		worker.AddTask("j-9/0", &emulator.Task{UID: "j-9", Attempt: 7, State: protocol.TaskRunning})
	}
	w.run(5 * second)
	w.faultsEndedAt = w.Now()
	w.submit("j-2", map[string]any{"cores": 2.0})
	w.awaitStatus(60*second, "j-2", protocol.JobDone)
	w.settle()
}

// A machine's heartbeats are lost while commands still reach it: its tasks are restarted elsewhere
// before its lease expires, if there is capacity.
func TestTasksLeaveMachineWhoseHeartbeatsAreLost(t *testing.T) {
	w := newWorld(t, 76)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2, "cores": 4.0, "apart": true})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	w.run(5 * second)
	worker := w.workers()[0]
	worker.HeartbeatsLost = true
	w.run(8500 * time.Millisecond) // the worker's lease is 10 s
	for name, task := range worker.Tasks {
		if task.State == protocol.TaskRunning {
			t.Errorf("%s still runs on a machine whose lease is about to expire", name)
		}
	}
	w.until(15*second, "both replicas run", func() bool { return w.running("j-1") == 2 })
	w.settle()
}

// A run command was sent only in the answer to a heartbeat, and this answer was lost: the next heartbeat
// without the task proves that the cancelled task never ran on the machine.
func TestLostAnswerOfACancelledTask(t *testing.T) {
	w := newWorld(t, 77)
	c := w.nodes[w.awaitLeader()].controller
	l := c.leadership
	w.run(20 * second)
	j := l.state.AddJob(&protocol.JobSpec{UID: "j-1", Class: "x", Team: "red", Tasks: 1, Cores: 1, MemoryGB: 1}, c.env.wall)
	j.Stored, j.Cancelling = true, true
	m := l.state.AddMachine("i-900000")
	m.Type, m.Zone, m.Seen, m.TokenAcknowledged, m.EverReported = "m8", "a", true, true, true
	m.Epoch, m.Sequence, m.HeartbeatSequence, m.Token = 1, 10, 10, l.lease.token
	a := l.state.AddAttempt(m, j, 0, l.attemptNumbers.allocate(), c.env.now)
	a.Durable, a.Sent, a.Epoch, a.RunSequence, a.StopRequested = true, true, 1, 10, true
	heartbeat := func(seq uint64, reported bool) {
		l.heartbeats.applyHeartbeat(&protocol.WorkerHeartbeat{Machine: m.ID, Type: "m8", Zone: "a", Epoch: 1, Sequence: seq, Token: l.lease.token}, reported)
	}
	heartbeat(11, false) // a reply to a direct call: the answer with the run command may still be in flight
	if j.ActiveAttempts != 1 {
		t.Fatal("a reply to a direct call was taken for a proof of absence")
	}
	heartbeat(12, true)
	if j.ActiveAttempts != 0 {
		t.Error("the attempt of a task that can't start any more is still active")
	}
}

// The back-off of a job that fails repeatedly is bounded by a worker's lease.
func TestBackoffIsBounded(t *testing.T) {
	w := newWorld(t, 78)
	c := w.nodes[w.awaitLeader()].controller
	j := c.leadership.state.AddJob(&protocol.JobSpec{UID: "j-1", Team: "red", Tasks: 1, Cores: 1}, c.env.wall)
	for range 20 {
		c.leadership.failures.backOffJob(j)
	}
	if j.NotBefore > c.env.now+c.env.cfg.WorkerLease() {
		t.Errorf("back-off of %v, want at most %v", j.NotBefore-c.env.now, c.env.cfg.WorkerLease())
	}
}

// A leader that has just been elected can't conclude yet that a worker's lease has expired, not even if
// there are no other controllers: it may have answered the worker during an earlier leadership.
func TestNoLeaseExpiryRightAfterElection(t *testing.T) {
	w := newWorld(t, 79)
	w.run(40 * second)
	c := w.nodes[w.awaitLeader()].controller
	l := c.leadership
	clear(l.peers)
	l.lease.electedAt = c.env.now
	if l.health.isLeaseExpired(l.state.AddMachine("i-900000")) {
		t.Error("a worker's lease is considered expired at the time of the election")
	}
}

// Submissions that are invalid by the protocol are rejected, and a repeated submission of an accepted
// job returns its state whatever the body contains.
func TestInvalidRequests(t *testing.T) {
	w := newWorld(t, 80)
	w.awaitLeader()
	w.run(5 * second)
	w.submit("j-1", map[string]any{"shards": 2})
	w.until(30*second, "j-1 is accepted", func() bool { return w.lastReplies["j-1"] != "" })
	invalidSpecs := map[string]struct {
		change map[string]any
		status int
	}{
		"j-11": {map[string]any{"cores": 9.0}, 422}, // no machine is that large
		"j-12": {map[string]any{"ramGb": 33.0}, 422},
		"j-13": {map[string]any{"accelerators": 1.0}, 422},
		"j-14": {map[string]any{"owner": "green"}, 422},
		"j-15": {map[string]any{"shape": "service", "shards": 5, "cores": 8.0}, 422}, // 40 of 32 cores
		"j-16": {map[string]any{"flavours": []string{"m9"}}, 422},
		"j-17": {map[string]any{"flavours": []string{}}, 422},
		"j-18": {map[string]any{"yard": "c"}, 422},
		"j-19": {map[string]any{"shards": 0}, 400},
		"j-20": {map[string]any{"rank": nil}, 400},
		"j-21": {map[string]any{"tier": nil}, 400},
	}
	for uid, tc := range invalidSpecs {
		w.spec(uid, tc.change)
		w.invalid[uid] = true
		for node := range 3 {
			w.user(node, OpSubmit, uid, func(status int, _ protocol.JobStatus) {
				if status != tc.status {
					t.Errorf("submission %v: status %d, want %d", tc.change, status, tc.status)
				}
			})
		}
		w.run(second)
	}
	w.specs["j-1"]["rank"] = "top" // an invalid value in the repeated submission
	for node := range 3 {
		w.user(node, OpSubmit, "j-1", func(status int, _ protocol.JobStatus) {
			if status != http.StatusOK {
				t.Errorf("repeated submission: status %d, want 200", status)
			}
		})
	}
	w.run(second)
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.cancel("j-1") // the job remains done
	w.settle()
}

// A transaction applies, its answer is lost, and its retry is rejected as malformed because a limit has
// been lowered in the meantime: the leader finds that the transaction has applied, and does not lose its
// leadership.
func TestRejectedRetryOfAppliedTransaction(t *testing.T) {
	w := newWorld(t, 81)
	w.awaitLeader()
	w.run(2 * second)
	token := string(w.state.Item(keyCounter).Value)
	lost := false
	w.callFault = func(_ int, c Call) deliveryFault {
		var txn protocol.Transaction
		if c.Path != "/multi" || lost || protocol.Decode(c.Body, &txn) != nil || txn.Then[0].Put != clusterstate.JobPrefix+"j-1" {
			return deliveryFault{}
		}
		lost = true
		w.state.RefuseAsMalformed = func(txn protocol.Transaction) bool {
			return w.state.Item(clusterstate.JobPrefix+"j-1") != nil && len(txn.Then) > 0 && txn.Then[0].Put == clusterstate.JobPrefix+"j-1"
		}
		w.after(3*second, func() { w.state.RefuseAsMalformed = nil })
		return deliveryFault{replyLost: true}
	}
	w.submit("j-1", nil)
	w.submit("j-2", nil)
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.awaitStatus(60*second, "j-2", protocol.JobDone)
	if !lost || string(w.state.Item(keyCounter).Value) != token {
		t.Errorf("answer lost %v, or the token counter has changed: a new leader was elected", lost)
	}
	w.settle()
}
