package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// partitionZoneB partitions zone b, which holds the last controller, from the other zone, the state service and the
// cloud.
func (w *world) partitionZoneB() {
	outside := func(addr string) bool {
		worker := w.workerByAddr(addr)
		return worker == nil || worker.Zone != "b"
	}
	w.callFault = func(node int, c Call) deliveryFault {
		switch c.Target {
		case ToWorker:
			return deliveryFault{lost: (node == 2) == outside(c.Addr)}
		case ToPeer:
			return deliveryFault{lost: (node == 2) != (c.Addr == "10.0.0.2:1")}
		case ToState, ToCloud: // unreachable for the last controller
		}
		return deliveryFault{lost: node == 2}
	}
	w.heartbeatFault = func(worker *emulator.Worker, node int) deliveryFault {
		return deliveryFault{lost: (node == 2) != (worker.Zone == "b")}
	}
}

// replicasOverZones creates a world with two services whose replicas are spread over the zones. The leader is in zone b
// if leaderInZoneB is set.
func replicasOverZones(t *testing.T, seed uint64, leaderInZoneB bool) *world {
	t.Helper()
	w := newWorld(t, seed)
	if leaderInZoneB {
		w.crash(0)
		w.crash(1)
	}
	w.awaitLeader()
	w.run(3 * second)
	if leaderInZoneB {
		w.boot(0)
		w.boot(1)
	}
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
	w.submit("j-2", map[string]any{"shape": "service", "shards": 2, "apart": true, "cores": 8.0, "owner": "blue"})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 && w.running("j-2") == 2 })
	return w
}

// TestFollowerRenewsLeasesDuringPartition partitions a zone for much longer than a lease, without and with the leader
// in it. The zone's controller must keep renewing its workers' leases, so that replicas which must be spread, and fit
// nowhere else, keep running. A cancellation during the partition must not be confirmed before the unreachable task is
// proved absent.
func TestFollowerRenewsLeasesDuringPartition(t *testing.T) {
	for _, leaderInZoneB := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader inside %v", leaderInZoneB), func(t *testing.T) {
			w := replicasOverZones(t, 31, leaderInZoneB)
			w.run(5 * second)
			if (w.leader() == 2) != leaderInZoneB {
				t.Fatalf("controller %d leads from the wrong zone", w.leader())
			}
			w.partitionZoneB()
			w.run(12 * second)
			w.cancel("j-2")
			for range 60 {
				w.run(second)
				w.checkCancelledTasksEnded()
				if w.lastReplies["j-2"] == protocol.JobCancelled && w.running("j-2") > 0 {
					t.Fatal("the cancellation was confirmed while a task still runs")
				}
				if n := w.running("j-1"); n < 3 {
					t.Fatalf("%d replicas run during the partition", n)
				}
			}
			w.callFault, w.heartbeatFault = nil, nil
			w.awaitStatus(40*second, "j-2", protocol.JobCancelled)
			w.until(40*second, "all replicas run", func() bool { return w.running("j-1") == 4 })
			w.requireNoViolations()
		})
	}
}

// TestFollowerEndsDuringPartition covers a follower that crashes while its zone is partitioned. The leader cannot
// detect the crash, so the zone's tasks may be started elsewhere only after the workers' leases have expired too.
func TestFollowerEndsDuringPartition(t *testing.T) {
	w := newWorld(t, 32)
	w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	if w.leader() == 2 {
		t.Fatal("the leader is in the partitioned zone")
	}
	w.partitionZoneB()
	w.cloud.Down = true
	w.run(30 * second)
	w.crash(2)
	w.run(200 * second)
	w.cloud.Down = false
	w.callFault, w.heartbeatFault = nil, nil
	w.boot(2)
	w.until(60*second, "all replicas run", func() bool { return w.running("j-1") == 4 })
	w.requireNoViolations()
}

// TestFollowerRestartsDuringPartition covers a follower that crashes and restarts immediately while its zone is
// partitioned. Although it has lost its state, it must keep renewing the leases of the zone's workers with the fencing
// token that they present.
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
			w.sendRequest(2, Request{Op: OpWorkerHeartbeat, Body: protocol.Encode(worker.Heartbeat())}, func(r Reply) {
				if r.Status != http.StatusOK {
					t.Errorf("status %d for a heartbeat of a worker in the partitioned zone", r.Status)
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
	w.callFault, w.heartbeatFault = nil, nil
	w.run(30 * second)
	if n := w.running("j-1"); n != 4 {
		t.Fatalf("%d of 4 replicas run after the partition", n)
	}
	w.requireNoViolations()
}

// TestFormerLeaderRestartsDuringPartition partitions a zone with the leader and a follower. Another leader is elected
// outside, and the former leader crashes and restarts. The follower's heartbeats must not make the restarted process
// report itself as the leader: the follower would then stop renewing the leases of the zone's workers.
func TestFormerLeaderRestartsDuringPartition(t *testing.T) {
	for _, downtime := range []time.Duration{500 * time.Millisecond, 3 * second} {
		t.Run(fmt.Sprintf("restarts after %v", downtime), func(t *testing.T) {
			w := newWorld(t, 36)
			w.crash(2)
			lead := w.awaitLeader()
			w.run(3 * second)
			w.boot(2)
			w.submit("j-1", map[string]any{"shape": "service", "shards": 6, "yard": "a"})
			w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 6 })
			w.run(15 * second)
			w.partitionZoneB()
			zonePartition := w.callFault
			w.callFault = func(node int, c Call) deliveryFault { // in this test, only zone b reaches the state service and the cloud
				if c.Target == ToState || c.Target == ToCloud {
					return deliveryFault{lost: node != 2}
				}
				return zonePartition(node, c)
			}
			w.until(10*second, "a leader is elected in zone b", func() bool { return w.nodes[2].controller.leadership != nil })
			w.run(15 * second)
			w.crash(lead)
			w.after(downtime, func() { w.boot(lead) })
			heartbeat := protocol.EncodePeer(protocol.PeerHeartbeat{From: fmt.Sprintf("n%d", 1-lead), Incarnation: "x", ServedMS: -1})
			for range 400 {
				w.run(tick)
				if n := w.running("j-1"); n != 6 {
					t.Fatalf("restart after %v: %d of 6 replicas run", downtime, n)
				}
				w.sendRequest(lead, Request{Op: OpPeerHeartbeat, Body: heartbeat}, func(r Reply) {
					var answer protocol.PeerHeartbeatReply
					if protocol.DecodePeer(r.Body, &answer) == nil && answer.Leader == fmt.Sprintf("n%d", lead) {
						w.recordViolation("the restarted former leader reports itself as the leader")
					}
				})
			}
			w.settle()
		})
	}
}

// TestNewIncarnationMayHaveServed checks that the leader treats a new incarnation of a controller as if the previous
// one had renewed workers' leases until the first heartbeat of the new one, because a restarted process has lost the
// time of its last renewal.
func TestNewIncarnationMayHaveServed(t *testing.T) {
	w := newWorld(t, 35)
	lead := w.awaitLeader()
	l := w.nodes[lead].controller.leadership
	sendHeartbeat := func(incarnation string, served int64) {
		body := protocol.EncodePeer(protocol.PeerHeartbeat{From: "n2", Incarnation: incarnation, Token: l.lease.token, ServedMS: served})
		w.sendRequest(lead, Request{Op: OpPeerHeartbeat, Body: body}, func(Reply) {})
	}
	if lead == 2 {
		t.Fatal("the leader is the controller whose heartbeats the test sends")
	}
	w.crash(2) // the test sends its heartbeats
	sendHeartbeat("one", -1)
	first := l.peers["n2"].lastRenewalAt
	w.run(30 * second)
	sendHeartbeat("one", 12_000)
	if got := l.peers["n2"].lastRenewalAt; got != w.Now()-12*second || got <= first {
		t.Fatalf("last lease renewal at %v, reported as 12 s ago at %v", got, w.Now())
	}
	w.run(5 * second)
	sendHeartbeat("two", -1)
	if got := l.peers["n2"].lastRenewalAt; got != w.Now() {
		t.Fatalf("last lease renewal of a new incarnation at %v, want %v", got, w.Now())
	}
}

// TestWorkerReturnsFromUnreachableController covers a worker that returns to the leader because it cannot reach its
// zone's controller. It must send its heartbeats to the leader for increasing periods. A short crash of the controller
// may count as at most one failed redirect.
func TestWorkerReturnsFromUnreachableController(t *testing.T) {
	w := newWorld(t, 36)
	lead := w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	var zoneWorker *emulator.Worker
	for _, worker := range w.workers() {
		if worker.Zone == "b" {
			zoneWorker = worker
		}
	}
	if zoneWorker == nil || lead == 2 {
		t.Fatal("zone b has no worker, or its controller leads")
	}
	w.until(20*second, "the worker sends heartbeats to its zone's controller", func() bool { return zoneWorker.Controller == 2 })
	l := w.nodes[lead].controller.leadership
	w.crash(2)
	w.run(4 * second)
	w.boot(2)
	w.until(30*second, "the worker sends heartbeats to its zone's controller again", func() bool { return zoneWorker.Controller == 2 })
	if n := l.state.Machines[zoneWorker.ID].FailedRedirects; n > 1 {
		t.Errorf("%d failed redirects after a crash of the controller, want at most 1", n)
	}
	w.heartbeatFault = func(worker *emulator.Worker, node int) deliveryFault {
		return deliveryFault{lost: worker == zoneWorker && node == 2}
	}
	w.run(90 * second)
	secondsAtController := 0
	for range 40 {
		w.run(second)
		if zoneWorker.Controller == 2 {
			secondsAtController++
		}
	}
	if n := l.state.Machines[zoneWorker.ID].FailedRedirects; n < 3 || secondsAtController > 6 {
		t.Errorf("after %d failed redirects, the worker still sends heartbeats to the unreachable controller for %d of 40 s", n, secondsAtController)
	}
	w.requireNoViolations()
}

// TestZoneIsDeclaredLost covers a crash of all controllers during a partition, including the only controller of the
// partitioned zone. The zone's workers find no controller for longer than a lease, so the new leader must start their
// tasks elsewhere without waiting for the end of the partition. A crash of the leader alone must not have this effect.
func TestZoneIsDeclaredLost(t *testing.T) {
	for _, allCrash := range []bool{true, false} {
		t.Run(fmt.Sprintf("all controllers crash %v", allCrash), func(t *testing.T) {
			w := newWorld(t, 37)
			lead := w.awaitLeader()
			w.submit("j-1", map[string]any{"shape": "service", "shards": 4})
			w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
			w.run(15 * second)
			if lead == 2 {
				t.Fatal("the leader is in the partitioned zone")
			}
			w.partitionZoneB()
			w.run(8 * second)
			crashed := []int{lead}
			if allCrash {
				crashed = []int{0, 1, 2}
			}
			for _, i := range crashed {
				w.crash(i)
			}
			w.run(6 * second)
			for _, i := range crashed {
				w.boot(i)
			}
			w.run(25 * second)
			released := 0
			for _, id := range w.cloud.DeletionRequests {
				if w.machines.Workers[id].Zone == "b" {
					released++
				}
			}
			if allCrash != (released > 0) {
				t.Errorf("all controllers crashed: %v, but %d machines of the zone were released", allCrash, released)
			}
			w.run(20 * second)
			if w.running("j-1") != 4 {
				t.Errorf("all controllers crashed: %v, %d of 4 replicas run 45 s later", allCrash, w.running("j-1"))
			}
			w.callFault, w.heartbeatFault = nil, nil
			w.run(30 * second)
			w.requireNoViolations()
		})
	}
}
