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
	w.until(60*second, "both run", func() bool { return w.running("j-1") > 0 && w.running("j-2") == 2 })
	w.awaitStatus(90*second, "j-1", protocol.Done)
	w.cancel("j-2")
	w.awaitStatus(5*second, "j-2", protocol.Cancelled)
	w.until(2*second, "replicas have ended", func() bool { return w.running("j-2") == 0 })
	w.submit("j-1", map[string]any{"shards": 5}) // a late repeat
	w.run(120 * second)
	up := 0
	for _, worker := range w.workers() {
		if !worker.Deleted {
			up++
		}
	}
	if up > 2 {
		t.Errorf("%d machines are still there with nothing to do", up)
	}
	w.requireNoViolations()
}

// All controllers end together, at any moment of a job's life: nothing that was accepted is
// forgotten, nothing runs twice.
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
					w.at(time.Duration(100+w.rng.IntN(4000))*time.Millisecond, func() { w.boot(i) })
				}
			}
			for i := range 6 {
				w.awaitStatus(240*second, fmt.Sprintf("j-%d", i), protocol.Done)
			}
			w.requireNoViolations()
		})
	}
}

// A leader that is cut off from the state service goes on answering its workers while another is
// elected: two leaders, one fencing token.
func TestTwoLeaders(t *testing.T) {
	w := newWorld(t, 3)
	w.submit("j-1", map[string]any{"shards": 6, "cores": 4.0})
	w.submit("j-2", map[string]any{"shape": "service", "shards": 2})
	w.until(60*second, "they run", func() bool { return w.running("j-1") >= 4 && w.running("j-2") == 2 })
	old := w.awaitLeader()
	// The old leader keeps its workers, but loses the state service and the other controllers; the
	// workers can't be reached by the others' direct commands.
	w.script = func(node int, c Call) deliveryFault {
		lost := (node == old && (c.Target == ToState || c.Target == ToPeer)) ||
			(node != old && c.Target == ToWorker) || (c.Target == ToPeer && strings.HasPrefix(c.Addr, fmt.Sprintf("10.0.0.%d:", old)))
		return deliveryFault{lost: lost}
	}
	w.until(15*second, "a second leader", func() bool { l := w.leader(); return l >= 0 && l != old })
	w.cancel("j-2")
	for range 150 {
		w.run(second)
		w.checkCancelledTasksEnded()
	}
	if w.nodes[old].controller.leadership != nil {
		t.Error("the old leader coasts without end")
	}
	w.script = nil
	w.awaitStatus(200*second, "j-1", protocol.Done)
	w.requireNoViolations()
}

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
		w.awaitStatus(300*second, fmt.Sprintf("j-%d", i), protocol.Done)
	}
	w.awaitStatus(10*second, "j-7", protocol.Cancelled)
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
	w.awaitStatus(60*second, "j-1", protocol.Done)
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
		worker.Cut = true
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
		worker.Cut = false
	}
	w.run(60 * second)
	if n := w.running("j-1"); n != 4 {
		t.Errorf("%d replicas of 4 run", n)
	}
	w.requireNoViolations()
}

// A job is cancelled while the machine with its tasks is cut off.
func TestCancelWhilePartitioned(t *testing.T) {
	w := newWorld(t, 7)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	for _, worker := range w.workers() {
		worker.Cut = true
	}
	w.cloud.Down = true // no deletion proves anything faster
	w.cancel("j-1")
	for range 60 {
		w.run(second)
		w.checkCancelledTasksEnded()
	}
	if w.lastReplies["j-1"] != protocol.Cancelled || w.running("j-1") != 0 {
		t.Errorf("state %q, %d running", w.lastReplies["j-1"], w.running("j-1"))
	}
	w.requireNoViolations()
}

// A team's quota and `apart` count tasks on machines that can't be reached.
func TestUnreachableTasksCount(t *testing.T) {
	w := newWorld(t, 8)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "cores": 8.0, "apart": true}) // 32 of 32 cores
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	w.submit("j-2", map[string]any{"shards": 2})
	n := 0
	for _, worker := range w.workers() {
		if len(worker.Tasks) > 0 && n < 2 {
			n++
			worker.Cut = true
		}
	}
	w.run(90 * second)
	if w.running("j-1") != 4 {
		t.Errorf("%d of 4 replicas run after their machines were lost", w.running("j-1"))
	}
	w.requireNoViolations()
}

// An outage longer than a worker's lease: the leader coasts, so nothing is lost; the jobs go on and
// users are told at once to retry later.
func TestOutageLongerThanLease(t *testing.T) {
	w := newWorld(t, 9)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	w.run(3 * second)
	w.state.Outage(18 * second)
	w.run(12 * second)
	status := -1
	w.spec("j-2", nil)
	w.user(w.awaitNode(), OpSubmit, "j-2", func(s int, _ protocol.JobStatus) { status = s })
	w.run(tick)
	if status != http.StatusServiceUnavailable {
		t.Errorf("a submission in the outage got %d, not 503 at once", status)
	}
	if w.running("j-1") != 2 {
		t.Error("the outage cost replicas")
	}
	w.run(10 * second)
	w.submit("j-2", nil)
	w.awaitStatus(90*second, "j-2", protocol.Done)
	if w.running("j-1") != 2 {
		t.Error("the outage cost replicas in the end")
	}
	w.requireNoViolations()
}

func (w *world) awaitNode() int {
	for i, n := range w.nodes {
		if n.alive && n.controller.leadership != nil {
			return i
		}
	}
	return 0
}

// Heartbeats arrive, answers and direct commands don't: the tasks die with the worker's lease, and
// the leader places no tasks on the machine again.
func TestMachineThatHearsNoAnswer(t *testing.T) {
	w := newWorld(t, 10)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2, "cores": 8.0})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	var answersLost *emulator.Worker
	for _, worker := range w.workers() {
		if len(worker.Tasks) > 0 && (answersLost == nil || worker.ID < answersLost.ID) {
			answersLost = worker
		}
	}
	w.heartbeatFault = func(worker *emulator.Worker, _ int) deliveryFault {
		return deliveryFault{answerLost: worker == answersLost}
	}
	w.script = func(_ int, c Call) deliveryFault {
		return deliveryFault{lost: c.Target == ToWorker && c.Addr == answersLost.Addr}
	}
	w.until(60*second, "the replica is back elsewhere", func() bool {
		return w.running("j-1") == 2 && len(answersLost.Tasks) == 0
	})
	w.requireNoViolations()
}

// The state service refuses the leader alone: it must not confirm to anybody what it can't know,
// and another leads soon.
func TestRefusedByStateAlone(t *testing.T) {
	w := newWorld(t, 11)
	w.submit("j-1", map[string]any{"shards": 4})
	w.until(60*second, "tasks run", func() bool { return w.running("j-1") > 0 })
	old := w.awaitLeader()
	w.state.Refuse[old] = true
	w.until(10*second, "another leader", func() bool { l := w.leader(); return l >= 0 && l != old })
	w.user(old, OpPoll, "j-1", func(s int, _ protocol.JobStatus) {
		if s != http.StatusServiceUnavailable && s != http.StatusOK {
			t.Errorf("the refused leader answers %d", s)
		}
	})
	w.user(old, OpPoll, "j-99", func(s int, _ protocol.JobStatus) {
		if s != http.StatusServiceUnavailable && s != http.StatusNotFound {
			t.Errorf("the refused leader answers %d", s)
		}
	})
	w.run(20 * second)
	w.state.Refuse[old] = false
	w.awaitStatus(120*second, "j-1", protocol.Done)
	w.requireNoViolations()
}

// The answers that users must get, also from a controller that does not lead.
func TestUsersAnswers(t *testing.T) {
	w := newWorld(t, 12)
	w.awaitLeader()
	w.run(2 * second)
	check := func(name string, op Op, uid string, body []byte, want int) {
		t.Helper()
		for i := range 3 {
			got := -1
			w.ask(i, Request{Op: op, UID: uid, Body: body}, func(r Reply) { got = r.Status })
			w.run(second)
			if got != want {
				t.Errorf("%s at node %d: %d, want %d", name, i, got, want)
			}
		}
	}
	sub := func(change map[string]any) []byte { return protocol.Encode(w.spec("j-50", change)) }
	check("malformed", OpSubmit, "", []byte("x"), 400)
	check("wrong field", OpSubmit, "", sub(map[string]any{"rank": "top"}), 400)
	check("unknown team", OpSubmit, "", sub(map[string]any{"owner": "green"}), 422)
	check("too large", OpSubmit, "", sub(map[string]any{"cores": 9.0}), 422)
	check("over the limit", OpSubmit, "", sub(map[string]any{"shape": "service", "shards": 9}), 422)
	check("no type", OpSubmit, "", sub(map[string]any{"flavours": []string{}}), 422)
	check("unknown", OpPoll, "j-77", nil, 404)
	check("unknown cancel", OpCancel, "j-77", nil, 404)
	w.submit("j-1", nil)
	w.run(second)
	// A malformed repeat of an accepted job is no reason to refuse it.
	check("damaged repeat", OpSubmit, "", protocol.Encode(w.spec("j-1", map[string]any{"rank": "top"})), 200)
	w.requireNoViolations()
}

// A controller that finds its own label with another incarnation, during an election, ends that
// lease and goes on.
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

// The watch reports the controller's own key before the transaction's answer comes: a process once
// ended because it began its leadership twice.
func TestWatchOvertakesElection(t *testing.T) {
	w := newWorld(t, 14)
	w.script = func(_ int, c Call) deliveryFault {
		return deliveryFault{answerLost: c.Target == ToState && c.Path == "/multi"}
	}
	w.run(20 * second)
	w.script = nil
	w.awaitLeader()
	w.requireNoViolations()
}

// Random faults in random order, each with a fixed seed.
func TestManyRequestsAtOnce(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkRequestBurst(t, 100+seed) })
	}
}

func checkRequestBurst(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	var jobs []string
	cancelled := map[string]bool{}
	lossy := false
	w.script = func(_ int, _ Call) deliveryFault {
		if !lossy {
			return deliveryFault{}
		}
		f := deliveryFault{lost: w.rng.IntN(12) == 0, answerLost: w.rng.IntN(12) == 0}
		if w.rng.IntN(10) == 0 {
			f.hold = time.Duration(w.rng.IntN(40_000)) * time.Millisecond
		}
		return f
	}
	w.heartbeatFault = func(*emulator.Worker, int) deliveryFault {
		return deliveryFault{lost: lossy && w.rng.IntN(8) == 0, answerLost: lossy && w.rng.IntN(8) == 0}
	}
	w.runs = func(task string) time.Duration { return time.Duration(5+len(task)*7%40) * second }
	for step := range 50 {
		switch w.rng.IntN(12) {
		case 0, 1, 2:
			uid := fmt.Sprintf("j-%d", step)
			jobs = append(jobs, uid)
			shape := []string{"batch", "service"}[w.rng.IntN(2)]
			w.submit(uid, map[string]any{"shards": 1 + w.rng.IntN(4), "cores": float64(1 + w.rng.IntN(4)), "shape": shape,
				"owner": []string{"red", "blue"}[w.rng.IntN(2)], "apart": w.rng.IntN(2) == 0, "rank": []string{"idle", "normal", "high"}[w.rng.IntN(3)],
				"borrowed": w.rng.IntN(2) == 0})
		case 3:
			if len(jobs) > 0 {
				uid := jobs[w.rng.IntN(len(jobs))]
				cancelled[uid] = true
				w.cancel(uid)
			}
		case 4, 5:
			i := w.rng.IntN(3)
			w.crash(i)
			w.at(time.Duration(50+w.rng.IntN(6000))*time.Millisecond, func() {
				if !w.nodes[i].alive {
					w.boot(i)
				}
			})
		case 6:
			w.state.Outage(time.Duration(1+w.rng.IntN(20)) * second)
		case 7:
			for _, worker := range w.workers() {
				if worker.Up && w.rng.IntN(3) == 0 {
					worker.Cut = true
					w.at(time.Duration(w.rng.IntN(30))*second, func() { worker.Cut = false })
				}
			}
		case 8:
			lossy = !lossy
		case 9:
			for _, worker := range w.workers() {
				if len(w.copies[worker.ID]) > 0 {
					body := w.copies[worker.ID][w.rng.IntN(len(w.copies[worker.ID]))]
					w.ask(w.rng.IntN(3), Request{Op: OpWorkerHeartbeat, Body: body}, func(Reply) {})
				}
			}
		case 10:
			i := w.rng.IntN(3)
			w.state.Refuse[i] = true
			w.at(time.Duration(w.rng.IntN(25))*second, func() { w.state.Refuse[i] = false })
		case 11:
			for _, worker := range w.workers() {
				if worker.Up && w.rng.IntN(4) == 0 {
					worker.Die()
				}
			}
		}
		for range 5 {
			w.run(second)
			w.checkCancelledTasksEnded()
		}
	}
	lossy = false
	w.state.Refuse = map[int]bool{}
	for i := range 3 {
		if !w.nodes[i].alive {
			w.boot(i)
		}
	}
	w.run(40 * second)
	// Services may use a team's whole quota: they end like any other job.
	for _, uid := range jobs {
		if w.specs[uid]["shape"] == "service" {
			w.cancel(uid)
		}
	}
	for _, uid := range jobs {
		if !cancelled[uid] && w.specs[uid]["shape"] == "batch" {
			w.awaitStatus(400*second, uid, protocol.Done)
		}
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
	machine.Cut = true
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
	w.awaitStatus(5*second, "j-1", protocol.Cancelled)
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

// A machine that hangs longer than its lease and comes back is not released as idle meanwhile: its
// replicas go back to where their images are.
func TestSilentMachineIsNotIdle(t *testing.T) {
	w := newWorld(t, 17)
	w.submit("j-1", map[string]any{"shape": "service", "cores": 8.0})
	w.until(60*second, "a replica runs", func() bool { return w.running("j-1") == 1 })
	w.run(5 * second)
	for _, worker := range w.workers() {
		worker.Cut = true
	}
	w.run(20 * second)
	for _, worker := range w.workers() {
		if worker.Deleted && worker.Lives > 0 {
			t.Errorf("%s was returned while it could not be reached", worker.ID)
		}
		worker.Cut = false
	}
	w.until(30*second, "the replica is back", func() bool { return w.running("j-1") == 1 })
	w.requireNoViolations()
}

// partitionZoneB cuts zone b, with the last controller, off from everything.
func (w *world) partitionZoneB() {
	outside := func(addr string) bool {
		worker := w.byAddr(addr)
		return worker == nil || worker.Zone != "b"
	}
	w.script = func(node int, c Call) deliveryFault {
		switch c.Target {
		case ToWorker:
			return deliveryFault{lost: (node == 2) == outside(c.Addr)}
		case ToPeer:
			return deliveryFault{lost: (node == 2) != (c.Addr == "10.0.0.2:1")}
		case ToState, ToCloud: // cut off from the last controller
		}
		return deliveryFault{lost: node == 2}
	}
	w.heartbeatFault = func(worker *emulator.Worker, node int) deliveryFault {
		return deliveryFault{lost: (node == 2) != (worker.Zone == "b")}
	}
}

// replicasOverZones creates a world with two services that are spread over the zones, led from zone
// b if inside is set.
func replicasOverZones(t *testing.T, seed uint64, inside bool) *world {
	t.Helper()
	w := newWorld(t, seed)
	if inside {
		w.crash(0)
		w.crash(1)
	}
	w.awaitLeader()
	w.run(3 * second)
	if inside {
		w.boot(0)
		w.boot(1)
	}
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
	w.submit("j-2", map[string]any{"shape": "service", "shards": 2, "apart": true, "cores": 8.0, "owner": "blue"})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 && w.running("j-2") == 2 })
	return w
}

// A zone is cut off for much longer than a lease, once without and once with the leader in it: its
// controller keeps the zone's workers, so that replicas which must be spread, and have nowhere else
// to go, live on. A cancellation meanwhile is not confirmed before the task that nobody reaches is
// proved absent.
func TestFollowerKeepsItsZone(t *testing.T) {
	for _, inside := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader inside %v", inside), func(t *testing.T) {
			w := replicasOverZones(t, 31, inside)
			w.run(5 * second)
			if (w.leader() == 2) != inside {
				t.Fatalf("leader %d", w.leader())
			}
			w.partitionZoneB()
			w.run(12 * second)
			w.cancel("j-2")
			for range 60 {
				w.run(second)
				w.checkCancelledTasksEnded()
				if w.lastReplies["j-2"] == protocol.Cancelled && w.running("j-2") > 0 {
					t.Fatal("a cancellation is confirmed with a task still there")
				}
				if n := w.running("j-1"); n < 3 {
					t.Fatalf("%d replicas run during the partition", n)
				}
			}
			w.script, w.heartbeatFault = nil, nil
			w.awaitStatus(40*second, "j-2", protocol.Cancelled)
			w.until(40*second, "all replicas run", func() bool { return w.running("j-1") == 4 })
			w.requireNoViolations()
		})
	}
}

// The follower of a zone that is cut off ends. Nobody can know, so its tasks are started elsewhere
// only when its lease has expired as well.
func TestFollowerEndsDuringPartition(t *testing.T) {
	w := newWorld(t, 32)
	w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	if w.leader() == 2 {
		t.Fatal("the leader is in the zone")
	}
	w.partitionZoneB()
	w.cloud.Down = true
	w.run(30 * second)
	w.crash(2)
	w.run(200 * second)
	w.cloud.Down = false
	w.script, w.heartbeatFault = nil, nil
	w.boot(2)
	w.until(60*second, "all replicas run", func() bool { return w.running("j-1") == 4 })
	w.requireNoViolations()
}

// Connections between controllers are refused while all reach the state service: only the leader is
// ready for users, and the others report that they are not. When they reach it again they are ready
// too.
func TestNotReadyWithoutTheLeader(t *testing.T) {
	w := newWorld(t, 33)
	lead := w.awaitLeader()
	w.run(5 * second)
	fit := func() (n int) {
		for i := range 3 {
			w.ask(i, Request{Op: OpReady}, func(r Reply) {
				if r.Status == http.StatusOK {
					n++
				}
			})
		}
		return n
	}
	if n := fit(); n != 3 {
		t.Fatalf("%d of 3 controllers are fit", n)
	}
	w.script = func(_ int, c Call) deliveryFault { return deliveryFault{lost: c.Target == ToPeer} }
	w.run(6 * second)
	if n := fit(); n != 1 || w.leader() != lead {
		t.Fatalf("%d controllers are fit, the leader is %d, was %d", n, w.leader(), lead)
	}
	w.script = nil
	w.run(2 * second)
	if n := fit(); n != 3 {
		t.Fatalf("%d of 3 controllers are fit again", n)
	}
}

// The follower of a zone that is cut off ends and restarts at once: it has no state, but goes on
// answering the zone's workers with the token they present.
func TestFollowerRestartsDuringPartition(t *testing.T) {
	w := newWorld(t, 34)
	w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	w.run(15 * second)
	w.partitionZoneB()
	w.run(20 * second)
	w.crash(2)
	w.boot(2)
	for _, worker := range w.workers() {
		if worker.Zone == "b" && worker.Up {
			w.ask(2, Request{Op: OpWorkerHeartbeat, Body: protocol.Encode(worker.Message())}, func(r Reply) {
				if r.Status != http.StatusOK {
					t.Errorf("a worker of the zone got %d", r.Status)
				}
			})
		}
	}
	for range 40 {
		w.run(second)
		if n := w.running("j-1"); n != 4 {
			t.Fatalf("%d of 4 replicas run", n)
		}
	}
	w.script, w.heartbeatFault = nil, nil
	w.run(30 * second)
	if n := w.running("j-1"); n != 4 {
		t.Fatalf("%d of 4 replicas run after the cut", n)
	}
	w.requireNoViolations()
}

// A zone with the leader and one more controller is cut off, another leads outside, and the former
// leader ends and restarts. It leads nobody, and must not be taken for the leader because of what
// the other controller tells it: that one would stop renewing the zone's leases.
func TestFormerLeaderRestartsDuringPartition(t *testing.T) {
	for _, back := range []time.Duration{500 * time.Millisecond, 3 * second} {
		t.Run(fmt.Sprintf("restarts after %v", back), func(t *testing.T) {
			w := newWorld(t, 36)
			w.crash(2)
			lead := w.awaitLeader()
			w.run(3 * second)
			w.boot(2)
			w.submit("j-1", map[string]any{"shape": "service", "shards": 6, "yard": "a"})
			w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 6 })
			w.run(15 * second)
			w.partitionZoneB()
			cut := w.script
			w.script = func(node int, c Call) deliveryFault { // from the rest, as it is the other zone's turn
				if c.Target == ToState || c.Target == ToCloud {
					return deliveryFault{lost: node != 2}
				}
				return cut(node, c)
			}
			w.until(10*second, "another leads outside", func() bool { return w.nodes[2].controller.leadership != nil })
			w.run(15 * second)
			w.crash(lead)
			w.at(back, func() { w.boot(lead) })
			ask := protocol.EncodePeer(protocol.PeerHeartbeat{From: fmt.Sprintf("n%d", 1-lead), Incarnation: "x", ServedMS: -1})
			for range 400 {
				w.run(tick)
				if n := w.running("j-1"); n != 6 {
					t.Fatalf("back after %v: %d of 6 replicas run", back, n)
				}
				w.ask(lead, Request{Op: OpPeerHeartbeat, Body: ask}, func(r Reply) {
					var answer protocol.PeerHeartbeatReply
					if protocol.DecodePeer(r.Body, &answer) == nil && answer.Leader == fmt.Sprintf("n%d", lead) {
						w.violated("a follower calls itself the leader")
					}
				})
			}
			w.settle()
		})
	}
}

// A process that ends forgets whom it served: the leader has to assume that a new incarnation has
// served until it was heard.
func TestNewIncarnationMayHaveServed(t *testing.T) {
	w := newWorld(t, 35)
	lead := w.awaitLeader()
	l := w.nodes[lead].controller.leadership
	touch := func(incarnation string, served int64) {
		body := protocol.EncodePeer(protocol.PeerHeartbeat{From: "n2", Incarnation: incarnation, Token: l.lease.token, ServedMS: served})
		w.ask(lead, Request{Op: OpPeerHeartbeat, Body: body}, func(Reply) {})
	}
	if lead == 2 {
		t.Fatal("the leader is the peer")
	}
	w.crash(2) // the script answers in its place
	touch("one", -1)
	first := l.peers["n2"].lastServed
	w.run(30 * second)
	touch("one", 12_000)
	if got := l.peers["n2"].lastServed; got != w.Now()-12*second || got <= first {
		t.Fatalf("served at %v, 12 s ago was reported at %v", got, w.Now())
	}
	w.run(5 * second)
	touch("two", -1)
	if got := l.peers["n2"].lastServed; got != w.Now() {
		t.Fatalf("a new incarnation counts as having served until %v, not %v", got, w.Now())
	}
}

// A worker that comes back because it can't reach its zone's controller sends its heartbeats to the
// leader for a while; but not if that controller has only ended.
func TestWorkerComesBack(t *testing.T) {
	w := newWorld(t, 36)
	lead := w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	var far *emulator.Worker
	for _, worker := range w.workers() {
		if worker.Zone == "b" {
			far = worker
		}
	}
	if far == nil || lead == 2 {
		t.Fatal("no worker of the other zone, or the leader is there")
	}
	w.until(20*second, "its heartbeats go to its zone's controller", func() bool { return far.Controller == 2 })
	l := w.nodes[lead].controller.leadership
	w.crash(2)
	w.run(4 * second)
	w.boot(2)
	w.until(30*second, "its heartbeats go there again", func() bool { return far.Controller == 2 })
	if n := l.state.Machines[far.ID].FailedRedirects; n > 1 {
		t.Errorf("the end of a controller was taken for one that can't be reached %d times", n)
	}
	w.heartbeatFault = func(worker *emulator.Worker, node int) deliveryFault {
		return deliveryFault{lost: worker == far && node == 2}
	}
	w.run(90 * second)
	away := 0
	for range 40 {
		w.run(second)
		if far.Controller == 2 {
			away++
		}
	}
	if n := l.state.Machines[far.ID].FailedRedirects; n < 3 || away > 6 {
		t.Errorf("it came back %d times and still spends %d of 40 s at a controller that it can't reach", n, away)
	}
	w.requireNoViolations()
}

// All controllers end during a partition, and the zone's only one with them: its workers search for
// longer than a lease, so their tasks go on elsewhere without waiting for the partition to end. The
// end of a leader alone is no such sign.
func TestZoneIsDeclaredLost(t *testing.T) {
	for _, all := range []bool{true, false} {
		t.Run(fmt.Sprintf("all controllers end %v", all), func(t *testing.T) {
			w := newWorld(t, 37)
			lead := w.awaitLeader()
			w.submit("j-1", map[string]any{"shape": "service", "shards": 4})
			w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
			w.run(15 * second)
			if lead == 2 {
				t.Fatal("the leader is in the zone")
			}
			w.partitionZoneB()
			w.run(8 * second)
			ends := []int{lead}
			if all {
				ends = []int{0, 1, 2}
			}
			for _, i := range ends {
				w.crash(i)
			}
			w.run(6 * second)
			for _, i := range ends {
				w.boot(i)
			}
			w.run(25 * second)
			returned := 0
			for _, id := range w.cloud.Deleted {
				if w.machines.Workers[id].Zone == "b" {
					returned++
				}
			}
			if all != (returned > 0) {
				t.Errorf("all ended %v, but %d machines of the zone were returned", all, returned)
			}
			w.run(20 * second)
			if w.running("j-1") != 4 {
				t.Errorf("all ended %v: %d of 4 replicas run 45 s later", all, w.running("j-1"))
			}
			w.script, w.heartbeatFault = nil, nil
			w.run(30 * second)
			w.requireNoViolations()
		})
	}
}
