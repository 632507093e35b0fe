package controller

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// partitionZones partitions the two zones from each other, while both reach the state service and the cloud.
// Connections between the zones are either refused or delayed. Delayed requests between controllers arrive when the
// partition ends.
func (w *world) partitionZones(refused bool, lasts time.Duration) {
	end := w.Now() + lasts
	cut := deliveryFault{lost: !refused, refused: refused}
	w.unreachable = map[string]bool{} // a delayed connection attempt times out
	for _, cfg := range w.cfgs {
		w.unreachable[cfg.PeerListen] = !refused
	}
	w.callFault = func(node int, c Call) deliveryFault {
		switch c.Target {
		case ToWorker:
			if worker := w.workerByAddr(c.Addr); worker != nil && worker.Zone != w.topology.controllers[node] {
				return cut
			}
		case ToPeer:
			if w.zoneOfPeer(c.Addr) == w.topology.controllers[node] {
				return deliveryFault{}
			}
			if !refused {
				return deliveryFault{delay: end - w.Now(), replyLost: true}
			}
			return cut
		case ToState, ToCloud: // reachable from both zones
		}
		return deliveryFault{}
	}
	w.heartbeatFault = func(worker *emulator.Worker, node int) deliveryFault {
		if worker.Zone != w.topology.controllers[node] {
			return cut
		}
		return deliveryFault{}
	}
}

// TestZonesPartitioned partitions the two zones for four leases while both reach the state service, so that the
// controllers in the other zone still read the leader from it. They must renew the leases of their zone's workers:
// workers that were redirected to the unreachable leader lost all their tasks (133 to 204 in the "clamping line"
// deployment with partitioned zones).
func TestZonesPartitioned(t *testing.T) {
	for _, leaderInZoneB := range []bool{false, true} {
		for _, refused := range []bool{false, true} {
			t.Run(fmt.Sprintf("leader in the zone with one controller %v, refused %v", leaderInZoneB, refused), func(t *testing.T) { checkZonesPartitioned(t, leaderInZoneB, refused) })
		}
	}
}

// zoneOfPeer returns the zone of the controller that listens to its peers on addr.
func (w *world) zoneOfPeer(addr string) string {
	for i, cfg := range w.cfgs {
		if cfg.PeerListen == addr {
			return w.topology.controllers[i]
		}
	}
	return ""
}

// totalStarts returns the number of task starts so far.
func (w *world) totalStarts() int {
	n := 0
	for _, starts := range w.startCounts {
		n += starts
	}
	return n
}

func checkZonesPartitioned(t *testing.T, leaderInZoneB, refused bool) {
	w := replicasOverZones(t, 61, leaderInZoneB)
	w.run(10 * second)
	lead := w.leader()
	if (lead == 2) != leaderInZoneB {
		t.Fatalf("controller %d leads from the wrong zone", lead)
	}
	epochs := map[string]uint64{}
	for _, worker := range w.workers() {
		if len(worker.Tasks) > 0 {
			epochs[worker.ID] = worker.Epoch
		}
	}
	var logged bytes.Buffer
	for _, n := range w.nodes {
		n.controller.env.log = slog.New(slog.NewTextHandler(&logged, nil))
	}
	w.partitionZones(refused, 40*second)
	for range 40 {
		w.run(second)
		if w.running("j-1") != 4 || w.running("j-2") != 2 {
			t.Fatalf("%d of 4 and %d of 2 replicas run during the partition", w.running("j-1"), w.running("j-2"))
		}
	}
	if w.leader() != lead {
		t.Errorf("the leader is controller %d, was %d", w.leader(), lead)
	}
	if n := strings.Count(logged.String(), "leader observed"); n > 0 {
		t.Errorf("the unchanged leader was logged %d times as observed", n)
	}
	// After the partition, machines answer the leader's direct requests before the first heartbeat is forwarded by
	// their zone's controller. The leader must not move tasks in that interval.
	starts := w.totalStarts()
	w.callFault, w.heartbeatFault, w.unreachable = func(_ int, c Call) deliveryFault {
		if c.Path == "/forward" {
			return deliveryFault{delay: 2 * second}
		}
		return deliveryFault{}
	}, nil, nil
	w.run(4 * second)
	w.callFault = nil
	w.run(20 * second)
	if n := w.totalStarts(); n != starts {
		t.Errorf("%d tasks were started again after the partition", n-starts)
	}
	for _, worker := range w.workers() {
		if epoch, recorded := epochs[worker.ID]; recorded && epoch != worker.Epoch {
			t.Errorf("the lease of worker %s expired", worker.ID)
		}
	}
	w.requireNoViolations()
}

// TestControllersRefuseEachOther checks that, when only the connections between controllers are refused, the workers of
// a zone without the leader are redirected to the leader, and keep their leases.
func TestControllersRefuseEachOther(t *testing.T) {
	w := newWorld(t, 62)
	lead := w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	w.run(10 * second)
	if lead == 2 || w.leader() != lead {
		t.Fatal("the leader is in the second zone")
	}
	w.callFault = func(_ int, c Call) deliveryFault { return deliveryFault{refused: c.Target == ToPeer} }
	w.until(8*second, "the second zone's workers send heartbeats to the leader", func() bool {
		for _, worker := range w.workers() {
			if worker.Zone == "b" && len(worker.Tasks) > 0 && worker.Controller != lead {
				return false
			}
		}
		return true
	})
	for _, worker := range w.workers() {
		if worker.Epoch > 1 {
			t.Errorf("the lease of worker %s expired", worker.ID)
		}
	}
	w.requireNoViolations()
}

// TestOneWorkerAtATimeIsRedirectedToALostLeader checks that a follower which gets no answer from the leader redirects
// one worker at a time to probe whether workers reach the leader. A worker with tasks is redirected only after half of
// the outage tolerance.
func TestOneWorkerAtATimeIsRedirectedToALostLeader(t *testing.T) {
	w := newWorld(t, 63)
	w.awaitLeader()
	w.run(5 * second)
	w.callFault = func(_ int, c Call) deliveryFault { return deliveryFault{lost: c.Target == ToPeer} }
	w.run(8 * second)
	controller := w.nodes[2].controller
	redirected := func(machine string, tasks int) bool {
		msg := &protocol.WorkerHeartbeat{Machine: machine, Zone: "b", Token: 1, Tasks: make([]protocol.TaskStatus, tasks)}
		return !controller.follower.tryRenewLeaseForLeader(msg)
	}
	if redirected("i-1", 3) {
		t.Error("a worker with tasks is redirected first")
	}
	if !redirected("i-2", 0) || redirected("i-3", 0) {
		t.Error("not exactly one worker without tasks is redirected")
	}
	w.run(5 * second)
	if redirected("i-2", 0) {
		t.Error("a worker that returned from the leader is redirected again")
	}
	w.run(controller.env.workerFailoverTime() + time.Second)
	if !redirected("i-3", 0) || redirected("i-2", 0) {
		t.Error("the next probe does not use exactly one other worker")
	}
	w.until(controller.env.cfg.OutageTolerance(), "a worker with tasks is redirected", func() bool { return redirected("i-1", 3) })
	if controller.env.now < controller.follower.contact.leaderLostAt+controller.env.cfg.OutageTolerance()/2 {
		t.Error("a worker with tasks is redirected before half of the outage tolerance")
	}
}

// TestDelayedHeartbeatIsNoProofOfContact covers a machine that answers direct requests but whose heartbeats have not
// reached the leader for a whole lease. A heartbeat of its zone's controller that echoes an old reading of the leader's
// clock was delayed: the controller may have renewed the machine's lease since then, so the leader must not stop tasks
// there (125 tasks were stopped in the "rough" deployment with seed 23).
func TestDelayedHeartbeatIsNoProofOfContact(t *testing.T) {
	w := newWorld(t, 64)
	lead := w.awaitLeader()
	w.run(20 * second)
	c := w.nodes[lead].controller
	l := c.leadership
	m := l.state.AddMachine("i-900000")
	m.Type, m.Zone, m.Seen, m.TokenAcknowledged, m.EverReported = "m8", "b", true, true, true
	m.LastAnswered, m.TokenAcknowledgedAt, m.LastSeen = c.env.now-c.env.cfg.WorkerLease(), c.env.now-c.env.cfg.WorkerLease(), c.env.now
	p := l.peers[w.cfgs[2].Label]
	p.lastHeartbeatAt, p.renewalsKnownUntil, p.lastRenewalAt = c.env.now, c.env.now, 0
	if !l.health.cannotReachControllers(m) {
		t.Fatal("the machine counts as able to reach its zone's controller, which is in contact with the leader")
	}
	p.renewalsKnownUntil = c.env.now - c.env.cfg.WorkerLease()
	if l.health.cannotReachControllers(m) {
		t.Error("a delayed heartbeat of the zone's controller counts as current contact")
	}
	p.renewalsKnownUntil, p.lastRenewalAt = c.env.now, c.env.now-c.env.cfg.WorkerLease()/4
	if l.health.cannotReachControllers(m) {
		t.Error("the machine counts as unable to reach a controller although its zone's controller renewed its lease")
	}
}
