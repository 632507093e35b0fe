package controller

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// TestLostTransactionReplies checks that jobs complete when every fifth transaction is applied but its reply is lost,
// and every seventh is applied long after its sender has timed out.
func TestLostTransactionReplies(t *testing.T) {
	w := newWorld(t, 4)
	n := 0
	w.callFault = func(_ int, c Call) deliveryFault {
		if c.Target != ToState || c.Path != "/multi" {
			return deliveryFault{}
		}
		n++
		switch {
		case n%5 == 0:
			return deliveryFault{replyLost: true}
		case n%7 == 0:
			return deliveryFault{delay: time.Duration(1+n%20) * second}
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

// TestDelayedRunCommand covers run commands that reach their machines after a long delay: a task must not have been
// started on another machine in the meantime, and must not start after its job was cancelled.
func TestDelayedRunCommand(t *testing.T) {
	w := newWorld(t, 5)
	w.submit("j-0", map[string]any{"shape": "service", "cores": 8.0})
	w.until(60*second, "the first job runs", func() bool { return w.running("j-0") == 1 })
	delayedCommands := 0
	w.callFault = func(_ int, c Call) deliveryFault {
		if c.Target == ToWorker && delayedCommands < 3 {
			delayedCommands++
			return deliveryFault{delay: time.Duration(20*delayedCommands) * second}
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

// TestStaleHeartbeatsAfterFailover covers duplicates of old heartbeats that reach a new leader before any current
// heartbeat: they must prove neither that a task is absent nor that a machine is alive.
func TestStaleHeartbeatsAfterFailover(t *testing.T) {
	w := newWorld(t, 6)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "cores": 4.0})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	w.run(5 * second)
	formerLeader := w.awaitLeader()
	// The workers are partitioned before the leader crashes; their tasks keep running.
	for _, worker := range w.workers() {
		worker.Partitioned = true
	}
	w.crash(formerLeader)
	l := w.awaitLeader()
	for range 8 {
		for _, worker := range w.workers() {
			for _, body := range w.sentHeartbeats[worker.ID] {
				w.sendRequest(l, Request{Op: OpWorkerHeartbeat, Body: body}, func(Reply) {})
			}
		}
		w.run(second)
	}
	if w.running("j-1") > 4 {
		t.Errorf("%d replicas run while the workers are partitioned, want at most 4", w.running("j-1"))
	}
	for _, worker := range w.workers() {
		worker.Partitioned = false
	}
	w.run(60 * second)
	if n := w.running("j-1"); n != 4 {
		t.Errorf("%d of 4 replicas run", n)
	}
	w.requireNoViolations()
}

// TestOldHeartbeatIsNoProofOfAbsence covers a duplicate of a heartbeat that was sent before the task started. It
// reaches a new leader while the machine is partitioned and another machine has room. Without the new leader's fencing
// token, the heartbeat must not prove that the task is absent.
func TestOldHeartbeatIsNoProofOfAbsence(t *testing.T) {
	w := newWorld(t, 15)
	w.submit("j-0", map[string]any{"shape": "service", "cores": 8.0})
	w.until(60*second, "the first machine runs a task", func() bool { return w.running("j-0") == 1 })
	w.submit("j-1", map[string]any{"shape": "service", "cores": 2.0})
	w.until(60*second, "the second machine runs a task", func() bool { return w.running("j-1") == 1 })
	w.cancel("j-0")
	w.submit("j-2", map[string]any{"shape": "service", "cores": 7.0})
	w.until(20*second, "the third job runs on the first machine", func() bool { return w.running("j-2") == 1 })
	w.cancel("j-2")
	w.submit("j-3", map[string]any{"shape": "service", "cores": 6.5})
	w.until(20*second, "the fourth job runs on the first machine", func() bool { return w.running("j-3") == 1 })
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
		for _, body := range w.sentHeartbeats[machine.ID] {
			w.sendRequest(l, Request{Op: OpWorkerHeartbeat, Body: body}, func(Reply) {})
		}
		w.run(second)
	}
	if n := w.running("j-1"); n != 1 {
		t.Errorf("%d replicas run, want 1", n)
	}
	w.requireNoViolations()
}

// TestDelayedTransactionIsNotApplied covers a delayed transaction that accepts a job: its retry is applied, the job is
// cancelled, and then the original transaction arrives. It must not restore the accepted job.
func TestDelayedTransactionIsNotApplied(t *testing.T) {
	w := newWorld(t, 16)
	w.awaitLeader()
	w.run(2 * second)
	delayed := false
	w.callFault = func(_ int, c Call) deliveryFault {
		if c.Target == ToState && c.Path == "/multi" && !delayed {
			delayed = true
			return deliveryFault{delay: 15 * second}
		}
		return deliveryFault{}
	}
	w.submit("j-1", map[string]any{"shape": "service"})
	w.until(8*second, "the job is accepted", func() bool { return w.lastReplies["j-1"] != "" })
	w.cancel("j-1")
	w.awaitStatus(5*second, "j-1", protocol.JobCancelled)
	w.run(15 * second)
	w.crash(w.awaitLeader())
	w.awaitLeader()
	for i := range 3 {
		w.user(i, OpPoll, "j-1", nil)
	}
	w.run(60 * second)
	if !delayed || w.running("j-1") > 0 {
		t.Errorf("transaction delayed %v, %d replicas of a cancelled job run", delayed, w.running("j-1"))
	}
	w.requireNoViolations()
}
