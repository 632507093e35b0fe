package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

const second = time.Second

func TestSteadyState(t *testing.T) {
	w := newWorld(t, 1)
	w.submit("j-1", map[string]any{"shards": 5})
	w.submit("j-2", map[string]any{"shape": "service", "shards": 2, "apart": true})
	w.until(60*second, "both jobs run", func() bool { return w.running("j-1") > 0 && w.running("j-2") == 2 })
	w.awaitStatus(90*second, "j-1", protocol.JobDone)
	w.cancel("j-2")
	w.awaitStatus(5*second, "j-2", protocol.JobCancelled)
	w.until(2*second, "replicas have ended", func() bool { return w.running("j-2") == 0 })
	w.submit("j-1", map[string]any{"shards": 5}) // repeated after the job is done
	w.run(120 * second)
	remaining := 0
	for _, worker := range w.workers() {
		if !worker.Deleted {
			remaining++
		}
	}
	if remaining > 2 {
		t.Errorf("%d idle machines are kept, want at most 2", remaining)
	}
	w.requireNoViolations()
}

// All controllers crash at the same time, at different stages of the jobs: no accepted job is lost,
// and no task runs twice.
func TestAllControllersCrash(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed)
			for i := range 6 {
				w.submit(fmt.Sprintf("j-%d", i), map[string]any{"shards": 3, "cores": 2.0})
			}
			for round := range 4 {
				w.run(time.Duration(3+5*int(seed)+round)*second + time.Duration(w.rng.IntN(1000))*time.Millisecond)
				for i := range 3 {
					w.crash(i)
					w.after(time.Duration(100+w.rng.IntN(4000))*time.Millisecond, func() { w.boot(i) })
				}
			}
			for i := range 6 {
				w.awaitStatus(240*second, fmt.Sprintf("j-%d", i), protocol.JobDone)
			}
			w.requireNoViolations()
		})
	}
}

// A leader that can't reach the state service continues to answer its workers while another leader
// is elected: there are two leaders, and only the new one holds the latest fencing token.
func TestTwoLeaders(t *testing.T) {
	w := newWorld(t, 3)
	w.submit("j-1", map[string]any{"shards": 6, "cores": 4.0})
	w.submit("j-2", map[string]any{"shape": "service", "shards": 2})
	w.until(60*second, "tasks and replicas run", func() bool { return w.running("j-1") >= 4 && w.running("j-2") == 2 })
	oldLeader := w.awaitLeader()
	// The old leader still reaches its workers, and loses the state service and the other controllers.
	// Direct commands of the other controllers don't reach the workers.
	w.callFault = func(node int, c Call) deliveryFault {
		lost := (node == oldLeader && (c.Target == ToState || c.Target == ToPeer)) ||
			(node != oldLeader && c.Target == ToWorker) || (c.Target == ToPeer && strings.HasPrefix(c.Addr, fmt.Sprintf("10.0.0.%d:", oldLeader)))
		return deliveryFault{lost: lost}
	}
	w.until(15*second, "a second leader is elected", func() bool { l := w.leader(); return l >= 0 && l != oldLeader })
	w.cancel("j-2")
	for range 150 {
		w.run(second)
		w.checkCancelledTasksEnded()
	}
	if w.nodes[oldLeader].controller.leadership != nil {
		t.Error("the old leader has not resigned after 150 s without the state service")
	}
	w.callFault = nil
	w.awaitStatus(200*second, "j-1", protocol.JobDone)
	w.requireNoViolations()
}

// A job is cancelled while the machines with its tasks are partitioned: the cancellation is confirmed
// only when the workers' leases have expired and the tasks have ended.
func TestCancelWhilePartitioned(t *testing.T) {
	w := newWorld(t, 7)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	for _, worker := range w.workers() {
		worker.Partitioned = true
	}
	w.cloud.Down = true // no deletion of a machine proves the absence of its tasks sooner
	w.cancel("j-1")
	for range 60 {
		w.run(second)
		w.checkCancelledTasksEnded()
	}
	if w.lastReplies["j-1"] != protocol.JobCancelled || w.running("j-1") != 0 {
		t.Errorf("j-1 is reported as %q with %d running replicas, want cancelled with none", w.lastReplies["j-1"], w.running("j-1"))
	}
	w.requireNoViolations()
}

// Tasks on unreachable machines count towards the team's quota, and `apart` takes them into account.
func TestUnreachableTasksCount(t *testing.T) {
	w := newWorld(t, 8)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "cores": 8.0, "apart": true}) // 32 of 32 cores
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	w.submit("j-2", map[string]any{"shards": 2})
	partitioned := 0
	for _, worker := range w.workers() {
		if len(worker.Tasks) > 0 && partitioned < 2 {
			partitioned++
			worker.Partitioned = true
		}
	}
	w.run(90 * second)
	if w.running("j-1") != 4 {
		t.Errorf("%d of 4 replicas run after two of their machines were lost", w.running("j-1"))
	}
	w.requireNoViolations()
}

// The state service is down for longer than a worker's lease. The leader continues to renew the
// workers' leases, so no replica is lost, and user requests are answered at once with 503 and
// Retry-After.
func TestOutageLongerThanLease(t *testing.T) {
	w := newWorld(t, 9)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	w.run(3 * second)
	w.state.InjectOutage(18 * second)
	w.run(12 * second)
	status := -1
	w.spec("j-2", nil)
	w.user(w.leadingNode(), OpSubmit, "j-2", func(s int, _ protocol.JobStatus) { status = s })
	w.run(tick)
	if status != http.StatusServiceUnavailable {
		t.Errorf("a submission during the outage got status %d, want 503 at once", status)
	}
	if w.running("j-1") != 2 {
		t.Error("replicas were lost during the outage")
	}
	w.run(10 * second)
	w.submit("j-2", nil)
	w.awaitStatus(90*second, "j-2", protocol.JobDone)
	if w.running("j-1") != 2 {
		t.Error("replicas were lost after the outage")
	}
	w.requireNoViolations()
}

// leadingNode returns the first live controller that has a leadership, or 0 if there is none.
func (w *world) leadingNode() int {
	for i, n := range w.nodes {
		if n.alive && n.controller.leadership != nil {
			return i
		}
	}
	return 0
}

// A machine's heartbeats arrive, and the answers and the direct commands to it are lost: its tasks end
// when the worker's lease expires, and the leader places no more tasks on the machine.
func TestMachineThatReceivesNoAnswers(t *testing.T) {
	w := newWorld(t, 10)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2, "cores": 8.0})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	var unreachableWorker *emulator.Worker
	for _, worker := range w.workers() {
		if len(worker.Tasks) > 0 && (unreachableWorker == nil || worker.ID < unreachableWorker.ID) {
			unreachableWorker = worker
		}
	}
	w.heartbeatFault = func(worker *emulator.Worker, _ int) deliveryFault {
		return deliveryFault{replyLost: worker == unreachableWorker}
	}
	w.callFault = func(_ int, c Call) deliveryFault {
		return deliveryFault{lost: c.Target == ToWorker && c.Addr == unreachableWorker.Addr}
	}
	w.until(60*second, "the replica runs on another machine", func() bool {
		return w.running("j-1") == 2 && len(unreachableWorker.Tasks) == 0
	})
	w.requireNoViolations()
}

// During an election, a restarted controller finds a leader record with its own label and an earlier
// incarnation: it ends the lease of that incarnation instead of waiting for it to expire.
func TestQuickRestart(t *testing.T) {
	w := newWorld(t, 13)
	for range 12 {
		l := w.awaitLeader()
		w.crash(l)
		w.run(time.Duration(w.rng.IntN(300)) * time.Millisecond)
		w.boot(l)
		began := w.Now()
		w.awaitLeader()
		if d := w.Now() - began; d > 4*second {
			t.Errorf("no leader for %v after a quick restart", d)
		}
		w.run(time.Duration(w.rng.IntN(400)) * time.Millisecond)
	}
	w.requireNoViolations()
}

// The watch reports the controller's own leader key before the answer to the election's transaction
// arrives: a process once started its leadership twice and crashed.
func TestWatchOvertakesElection(t *testing.T) {
	w := newWorld(t, 14)
	w.callFault = func(_ int, c Call) deliveryFault {
		return deliveryFault{replyLost: c.Target == ToState && c.Path == "/multi"}
	}
	w.run(20 * second)
	w.callFault = nil
	w.awaitLeader()
	w.requireNoViolations()
}

// A machine that is unreachable for longer than its lease and then recovers is not released as idle in
// the meantime, as its replicas can be restarted there with their images in the cache.
func TestUnreachableMachineIsNotReleasedAsIdle(t *testing.T) {
	w := newWorld(t, 17)
	w.submit("j-1", map[string]any{"shape": "service", "cores": 8.0})
	w.until(60*second, "a replica runs", func() bool { return w.running("j-1") == 1 })
	w.run(5 * second)
	for _, worker := range w.workers() {
		worker.Partitioned = true
	}
	w.run(20 * second)
	for _, worker := range w.workers() {
		if worker.Deleted && worker.TasksStarted > 0 {
			t.Errorf("%s was deleted while it was unreachable", worker.ID)
		}
		worker.Partitioned = false
	}
	w.until(30*second, "the replica runs again", func() bool { return w.running("j-1") == 1 })
	w.requireNoViolations()
}
