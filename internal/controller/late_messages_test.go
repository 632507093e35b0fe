package controller

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// Every fifth transaction applies but its answer is lost, and every seventh applies late, long
// after its sender gave it up.
func TestLostTransactionAnswers(t *testing.T) {
	w := newWorld(t, 4)
	n := 0
	w.script = func(_ int, c Call) deliveryFault {
		if c.Target != ToState || c.Path != "/multi" {
			return deliveryFault{}
		}
		n++
		switch {
		case n%5 == 0:
			return deliveryFault{answerLost: true}
		case n%7 == 0:
			return deliveryFault{hold: time.Duration(1+n%20) * second}
		}
		return deliveryFault{}
	}
	for i := range 8 {
		w.submit(fmt.Sprintf("j-%d", i), map[string]any{"shards": 3, "cores": 2.0})
	}
	w.run(20 * second)
	w.cancel("j-7")
	w.crash(w.awaitLeader())
	for i := range 7 {
		w.awaitStatus(300*second, fmt.Sprintf("j-%d", i), protocol.JobDone)
	}
	w.awaitStatus(10*second, "j-7", protocol.JobCancelled)
	w.requireNoViolations()
}

// A direct run command is delayed for minutes and executed late: the task must not have been
// started elsewhere meanwhile, nor start after its cancellation.
func TestLateRun(t *testing.T) {
	w := newWorld(t, 5)
	w.submit("j-0", map[string]any{"shape": "service", "cores": 8.0})
	w.until(60*second, "a machine is up", func() bool { return w.running("j-0") == 1 })
	held := 0
	w.script = func(_ int, c Call) deliveryFault {
		if c.Target == ToWorker && held < 3 {
			held++
			return deliveryFault{hold: time.Duration(20*held) * second}
		}
		return deliveryFault{}
	}
	w.submit("j-1", map[string]any{"shards": 4, "cores": 2.0})
	w.submit("j-2", map[string]any{"shape": "service", "shards": 2})
	w.run(25 * second)
	w.cancel("j-2")
	for range 120 {
		w.run(second)
		w.checkCancelledTasksEnded()
	}
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.requireNoViolations()
}

// Copies of old heartbeats arrive right after a failover, before the machine's own: they prove
// neither that a task is absent nor that a machine is alive.
func TestStaleHeartbeatsAfterFailover(t *testing.T) {
	w := newWorld(t, 6)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "cores": 4.0})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	w.run(5 * second)
	old := w.awaitLeader()
	// The workers are cut off when the leader ends, and their tasks run on.
	for _, worker := range w.workers() {
		worker.Partitioned = true
	}
	w.crash(old)
	l := w.awaitLeader()
	for range 8 {
		for _, worker := range w.workers() {
			for _, body := range w.copies[worker.ID] {
				w.ask(l, Request{Op: OpWorkerHeartbeat, Body: body}, func(Reply) {})
			}
		}
		w.run(second)
	}
	if w.running("j-1") > 4 {
		t.Errorf("%d replicas of 4 run", w.running("j-1"))
	}
	for _, worker := range w.workers() {
		worker.Partitioned = false
	}
	w.run(60 * second)
	if n := w.running("j-1"); n != 4 {
		t.Errorf("%d replicas of 4 run", n)
	}
	w.requireNoViolations()
}

// A copy of a heartbeat from before the task started reaches the new leader, while the machine
// itself is cut off and there is room elsewhere: without the new fencing token it is no proof of
// absence.
func TestOldCopyIsNoProof(t *testing.T) {
	w := newWorld(t, 15)
	w.submit("j-0", map[string]any{"shape": "service", "cores": 8.0})
	w.until(60*second, "first machine", func() bool { return w.running("j-0") == 1 })
	w.submit("j-1", map[string]any{"shape": "service", "cores": 2.0})
	w.until(60*second, "second machine", func() bool { return w.running("j-1") == 1 })
	w.cancel("j-0")
	w.submit("j-2", map[string]any{"shape": "service", "cores": 7.0})
	w.until(20*second, "third job on the first machine", func() bool { return w.running("j-2") == 1 })
	w.cancel("j-2")
	w.submit("j-3", map[string]any{"shape": "service", "cores": 6.5})
	w.until(20*second, "room for one on the first machine", func() bool { return w.running("j-3") == 1 })
	var machine *emulator.Worker
	for _, worker := range w.workers() {
		for _, task := range worker.Tasks {
			if task.UID == "j-1" {
				machine = worker
			}
		}
	}
	machine.Partitioned = true
	w.cancel("j-3")
	w.submit("j-4", map[string]any{"shape": "service", "cores": 5.0})
	w.crash(w.awaitLeader())
	l := w.awaitLeader()
	for range 5 {
		for _, body := range w.copies[machine.ID] {
			w.ask(l, Request{Op: OpWorkerHeartbeat, Body: body}, func(Reply) {})
		}
		w.run(second)
	}
	if n := w.running("j-1"); n != 1 {
		t.Errorf("%d replicas of 1 run", n)
	}
	w.requireNoViolations()
}

// The first attempt of the transaction that accepts a job is delayed, its repeat applies, the job
// is cancelled, and then the first attempt arrives: it must not restore the accepted job.
func TestLateTransactionChangesNothing(t *testing.T) {
	w := newWorld(t, 16)
	w.awaitLeader()
	w.run(2 * second)
	held := false
	w.script = func(_ int, c Call) deliveryFault {
		if c.Target == ToState && c.Path == "/multi" && !held {
			held = true
			return deliveryFault{hold: 15 * second}
		}
		return deliveryFault{}
	}
	w.submit("j-1", map[string]any{"shape": "service"})
	w.until(8*second, "accepted", func() bool { return w.lastReplies["j-1"] != "" })
	w.cancel("j-1")
	w.awaitStatus(5*second, "j-1", protocol.JobCancelled)
	w.run(15 * second)
	w.crash(w.awaitLeader())
	w.awaitLeader()
	for i := range 3 {
		w.user(i, OpPoll, "j-1", nil)
	}
	w.run(60 * second)
	if !held || w.running("j-1") > 0 {
		t.Errorf("held %v, %d replicas of a cancelled job run", held, w.running("j-1"))
	}
	w.requireNoViolations()
}
