package controller

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// TestControllerThatWorkersCannotReach covers a zone whose workers cannot reach their zone's controller while that
// controller stays in contact with the leader. The leader must not redirect the workers to it repeatedly, because they
// would lose their leases and their tasks. When the route works again, the workers return to the zone's controller.
func TestControllerThatWorkersCannotReach(t *testing.T) {
	w := newWorld(t, 37)
	lead := w.awaitLeader()
	if lead == 2 {
		t.Fatal("the leader is in the second zone")
	}
	w.submit("j-1", map[string]any{"shape": "service", "shards": 8, "apart": true, "cores": 4.0})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 8 })
	var zoneWorkers []*emulator.Worker
	for _, worker := range w.workers() {
		if worker.Zone == "b" && len(worker.Tasks) > 0 {
			zoneWorkers = append(zoneWorkers, worker)
		}
	}
	if len(zoneWorkers) < 2 {
		t.Fatalf("%d workers with tasks in the second zone, want at least 2", len(zoneWorkers))
	}
	sendToZoneController := func() bool {
		for _, worker := range zoneWorkers {
			if worker.Controller != 2 {
				return false
			}
		}
		return true
	}
	w.until(30*second, "the workers of zone b send heartbeats to their zone's controller", sendToZoneController)
	w.run(40 * second)
	w.heartbeatFault = func(_ *emulator.Worker, node int) deliveryFault { return deliveryFault{lost: node == 2} }
	started := map[string]int{}
	for task, n := range w.startCounts {
		started[task] = n
	}
	w.run(60 * second)
	for _, worker := range zoneWorkers {
		if worker.Epoch > 1 {
			t.Errorf("the lease of worker %s expired", worker.ID)
		}
	}
	for task, n := range w.startCounts {
		if n > started[task] {
			t.Errorf("task %s was started again", task)
		}
	}
	w.heartbeatFault = nil
	w.until(120*second, "the workers of zone b send heartbeats to their zone's controller again", sendToZoneController)
	w.requireNoViolations()
}

// TestRouteProbesUseOneWorker checks that the leader probes a route with a single worker until a heartbeat is
// forwarded by that controller, and that it backs off between probes if the workers return to the leader.
func TestRouteProbesUseOneWorker(t *testing.T) {
	const interval, lease = time.Second, 10 * time.Second
	var rt heartbeatRoute
	now := time.Minute
	if !rt.allowsRedirect(now, interval) || rt.allowsRedirect(now, interval) {
		t.Error("the first probe of the route does not use exactly one worker")
	}
	waits := []time.Duration{}
	for range 3 {
		now += heartbeatTimeout + heartbeatRetryPause
		rt.recordFailedRedirect(now, lease)
		from := now
		for !rt.allowsRedirect(now, interval) {
			now += interval / 10
		}
		waits = append(waits, now-from)
	}
	if waits[0] < lease/2 || waits[1] < lease || waits[2] < 2*lease {
		t.Errorf("probes of the route after %v, want an increasing back-off", waits)
	}
	rt.recordForwarded(now)
	if !rt.allowsRedirect(now, interval) || !rt.allowsRedirect(now+interval, interval) {
		t.Error("the route forwards heartbeats, but workers are not redirected to it")
	}
	if rt.recordFailedRedirect(now+interval, lease); rt.allowsRedirect(now+interval, interval) {
		t.Error("no back-off after a worker returned from the route")
	}
}

// TestLeaderProcessPause covers a pause of the leader's process while another controller is down: the remaining
// controller renews the leases of its zone's workers. Workers redirected to the leader would time out at both
// unresponsive controllers in turn, which takes longer than their lease.
func TestLeaderProcessPause(t *testing.T) {
	for seed := range uint64(6) {
		checkLeaderProcessPause(t, 380+seed)
	}
}

func checkLeaderProcessPause(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	lead := w.awaitLeader()
	if lead == 2 {
		t.Fatal("the leader is in the second zone")
	}
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true, "cores": 8.0})
	w.submit("j-2", map[string]any{"shape": "service", "shards": 2, "apart": true, "cores": 8.0, "owner": "blue"})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 && w.running("j-2") == 2 })
	w.until(30*second, "workers send heartbeats to their zone's controller", func() bool {
		for _, worker := range w.workers() {
			if worker.Zone == "b" && len(worker.Tasks) > 0 && worker.Controller != 2 {
				return false
			}
		}
		return true
	})
	w.crash(1 - lead)
	w.run(5*second + w.randomMilliseconds(0, 1000))
	w.callFault = func(node int, c Call) deliveryFault {
		return deliveryFault{lost: node == lead || c.Target == ToPeer && c.Addr != w.cfgs[2].PeerListen}
	}
	w.heartbeatFault = func(_ *emulator.Worker, node int) deliveryFault { return deliveryFault{lost: node != 2} }
	w.run(25 * second)
	for _, worker := range w.workers() {
		if worker.Zone == "b" && worker.Epoch > 1 {
			t.Errorf("the lease of worker %s expired", worker.ID)
		}
	}
	if w.leader() != 2 {
		t.Errorf("the leader is controller %d, want 2", w.leader())
	}
	w.requireNoViolations()
}

// TestWorkerFindsAControllerBeforeItsLeaseEnds checks that workers which reach a controller again within their lease
// keep their tasks.
func TestWorkerFindsAControllerBeforeItsLeaseEnds(t *testing.T) {
	w := newWorld(t, 39)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 2, "cores": 4.0, "apart": true})
	w.until(60*second, "replicas run", func() bool { return w.running("j-1") == 2 })
	w.run(5 * second)
	worker := w.workers()[0]
	w.heartbeatTimeout = 2 * second
	worker.HeartbeatsLost = true
	w.run(6 * second)
	worker.HeartbeatsLost = false
	w.run(10 * second)
	for task, n := range w.startCounts {
		if n > 1 {
			t.Errorf("task %s was started again", task)
		}
	}
	w.settle()
}

// TestLeaderDoesNotAnswerItsFollower covers a leader that is still stored in the state service but does not answer a
// follower. The follower first renews the leases of its zone's workers; if the leader stays silent for longer than a
// failover takes, the follower redirects the workers to the leader.
func TestLeaderDoesNotAnswerItsFollower(t *testing.T) {
	w := newWorld(t, 40)
	lead := w.awaitLeader()
	w.run(5 * second)
	body := protocol.Encode(protocol.WorkerHeartbeat{Machine: "i-900000", Type: "m8", Zone: "b", Epoch: 1, Sequence: 1, Token: 1})
	status := 0
	sendHeartbeat := func() {
		w.sendRequest(2, Request{Op: OpWorkerHeartbeat, Body: body}, func(r Reply) { status = r.Status })
	}
	w.callFault = func(_ int, c Call) deliveryFault { return deliveryFault{lost: c.Target == ToPeer} }
	w.run(1500 * time.Millisecond)
	if sendHeartbeat(); status != http.StatusOK {
		t.Errorf("status %d for a heartbeat right after the leader fell silent", status)
	}
	w.run(6 * second)
	if sendHeartbeat(); status != http.StatusMisdirectedRequest || w.leader() != lead {
		t.Errorf("status %d for a heartbeat after a failover would have completed", status)
	}
}

// TestHeartbeatBeforeClusterStateIsLoaded checks that a new leader which is still loading the cluster state renews a
// worker's lease but sends no commands. The leader records the time of the reply, because a lease counts as expired
// only when enough time has passed since then.
func TestHeartbeatBeforeClusterStateIsLoaded(t *testing.T) {
	w := newWorld(t, 42)
	lead := w.awaitLeader()
	w.run(5 * second)
	w.callFault = func(_ int, c Call) deliveryFault {
		return deliveryFault{lost: strings.HasPrefix(c.Path, "/store?under="+clusterstate.JobPrefix)}
	}
	w.crash(lead)
	next := -1
	w.until(20*second, "another leader is elected", func() bool {
		for i, n := range w.nodes {
			if n.alive && n.controller.leadership != nil {
				next = i
			}
		}
		return next >= 0
	})
	w.run(second)
	l := w.nodes[next].controller.leadership
	if l.loader.ready {
		t.Fatal("the cluster state is loaded already")
	}
	var got Reply
	sendHeartbeat := func(token uint64) {
		body := protocol.Encode(protocol.WorkerHeartbeat{Machine: "i-900000", Type: "m8", Zone: "a", Epoch: 1, Sequence: 1, Token: token})
		w.sendRequest(next, Request{Op: OpWorkerHeartbeat, Body: body}, func(r Reply) { got = r })
	}
	sendHeartbeat(1)
	var reply protocol.WorkerHeartbeatReply
	if got.Status != http.StatusOK || protocol.Decode(got.Body, &reply) != nil || reply.Token != 1 || len(reply.Commands) > 0 {
		t.Errorf("status %d with reply %+v", got.Status, reply)
	}
	if l.heartbeats.leaseOnlyReplyAt != l.controller.env.now {
		t.Error("the time of the reply is not recorded for the proof of lease expiry")
	}
	sendHeartbeat(0)
	if got.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d for a worker that has had no leader yet", got.Status)
	}
	sendHeartbeat(l.tokens.highest() + 1)
	if got.Status != http.StatusServiceUnavailable || w.nodes[next].controller.leadership != nil {
		t.Errorf("status %d for a worker with a higher fencing token", got.Status)
	}
}
