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

// partitionZones partitions the two zones: nothing gets from one to the other, while the state
// service and the cloud can be reached from both. Connections between them are refused, or delayed:
// then what controllers had sent to each other arrives when the partition ends.
func (w *world) partitionZones(refused bool, lasts time.Duration) {
	end := w.Now() + lasts
	nothing := deliveryFault{lost: !refused, refused: refused}
	w.unreachable = map[string]bool{} // a new connection that is delayed is not made in time
	for _, cfg := range w.cfgs {
		w.unreachable[cfg.PeerListen] = !refused
	}
	w.script = func(node int, c Call) deliveryFault {
		switch c.Target {
		case ToWorker:
			if worker := w.byAddr(c.Addr); worker != nil && worker.Zone != w.topology.controllers[node] {
				return nothing
			}
		case ToPeer:
			if w.zoneOfPeer(c.Addr) == w.topology.controllers[node] {
				return deliveryFault{}
			}
			if !refused {
				return deliveryFault{hold: end - w.Now(), answerLost: true}
			}
			return nothing
		case ToState, ToCloud: // reached from both zones
		}
		return deliveryFault{}
	}
	w.heartbeatFault = func(worker *emulator.Worker, node int) deliveryFault {
		if worker.Zone != w.topology.controllers[node] {
			return nothing
		}
		return deliveryFault{}
	}
}

// The two zones can't reach each other for four leases, while both reach the state service, so that
// it goes on naming the leader to the controllers on the other side: they keep their zone's
// workers. Redirected to the leader, all of the workers lost their tasks (clamping line with
// partitioned zones: 133 to 204 tasks).
func TestZonesPartitioned(t *testing.T) {
	for _, inside := range []bool{false, true} {
		for _, refused := range []bool{false, true} {
			t.Run(fmt.Sprintf("leader in the single one's zone %v, refused %v", inside, refused), func(t *testing.T) { checkZonesPartitioned(t, inside, refused) })
		}
	}
}

// zoneOfPeer returns the zone of the controller with that address for other controllers.
func (w *world) zoneOfPeer(addr string) string {
	for i, cfg := range w.cfgs {
		if cfg.PeerListen == addr {
			return w.topology.controllers[i]
		}
	}
	return ""
}

// totalStarts returns how many tasks have begun so far.
func (w *world) totalStarts() int {
	n := 0
	for _, starts := range w.starts {
		n += starts
	}
	return n
}

func checkZonesPartitioned(t *testing.T, inside, refused bool) {
	w := replicasOverZones(t, 61, inside)
	w.run(10 * second)
	lead := w.leader()
	if (lead == 2) != inside {
		t.Fatalf("leader %d", lead)
	}
	epochs := map[string]uint64{}
	for _, worker := range w.workers() {
		if len(worker.Tasks) > 0 {
			epochs[worker.ID] = worker.Epoch
		}
	}
	var out bytes.Buffer
	for _, n := range w.nodes {
		n.controller.env.log = slog.New(slog.NewTextHandler(&out, nil))
	}
	w.partitionZones(refused, 40*second)
	for range 40 {
		w.run(second)
		if w.running("j-1") != 4 || w.running("j-2") != 2 {
			t.Fatalf("%d and %d replicas run", w.running("j-1"), w.running("j-2"))
		}
	}
	if w.leader() != lead {
		t.Errorf("leader %d, was %d", w.leader(), lead)
	}
	if n := strings.Count(out.String(), "leader observed"); n > 0 {
		t.Errorf("the same leader is logged %d times", n)
	}
	// The partition has ended, and the leader's direct requests to machines are answered before the
	// first heartbeat comes by their zone's controller: no task is moved because of that.
	starts := w.totalStarts()
	w.script, w.heartbeatFault, w.unreachable = func(_ int, c Call) deliveryFault {
		if c.Path == "/forward" {
			return deliveryFault{hold: 2 * second}
		}
		return deliveryFault{}
	}, nil, nil
	w.run(4 * second)
	w.script = nil
	w.run(20 * second)
	if n := w.totalStarts(); n != starts {
		t.Errorf("%d tasks were moved", n-starts)
	}
	for _, worker := range w.workers() {
		if epoch, had := epochs[worker.ID]; had && epoch != worker.Epoch {
			t.Errorf("the lease of %s ran out", worker.ID)
		}
	}
	w.requireNoViolations()
}

// Only the controllers refuse each other's connections: the workers of a zone without the leader
// are redirected to it, and it goes on giving them work.
func TestControllersRefuseEachOther(t *testing.T) {
	w := newWorld(t, 62)
	lead := w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	w.run(10 * second)
	if lead == 2 || w.leader() != lead {
		t.Fatal("the leader is in the second zone")
	}
	w.script = func(_ int, c Call) deliveryFault { return deliveryFault{refused: c.Target == ToPeer} }
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
			t.Errorf("the lease of %s ran out", worker.ID)
		}
	}
	w.requireNoViolations()
}

// Where the leader's controller does not answer, one worker at a time tries whether it reaches the
// leader, and one with tasks only when the leader could no longer coast for long.
func TestOneWorkerAtATimeIsRedirectedToALostLeader(t *testing.T) {
	w := newWorld(t, 63)
	w.awaitLeader()
	w.run(5 * second)
	w.script = func(_ int, c Call) deliveryFault { return deliveryFault{lost: c.Target == ToPeer} }
	w.run(8 * second)
	core := w.nodes[2].controller
	sent := func(machine string, tasks int) bool {
		msg := &protocol.WorkerHeartbeat{Machine: machine, Zone: "b", Token: 1, Tasks: make([]protocol.TaskStatus, tasks)}
		return !core.follower.tryRenewLeaseForLeader(msg)
	}
	if sent("i-1", 3) {
		t.Error("a worker with tasks is sent first")
	}
	if !sent("i-2", 0) || sent("i-3", 0) {
		t.Error("not one worker without tasks is sent")
	}
	w.run(5 * second)
	if sent("i-2", 0) {
		t.Error("a worker that came back is sent again")
	}
	w.run(core.env.workerFailoverTime() + time.Second)
	if !sent("i-3", 0) || sent("i-2", 0) {
		t.Error("the next trial is not made")
	}
	w.until(core.env.cfg.OutageTolerance(), "one with tasks is sent", func() bool { return sent("i-1", 3) })
	if core.env.now < core.follower.contact.leaderLostAt+core.env.cfg.OutageTolerance()/2 {
		t.Error("a worker with tasks is sent early")
	}
}

// A machine answers direct requests and none of its heartbeats has come for long. A heartbeat of
// its zone's controller that echoes an old reading of the leader's clock was delayed: the
// controller may have renewed the machine's lease since, and nothing is stopped there (rough, seed
// 23: 125 tasks).
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
	p.lastHeard, p.servedKnownUntil, p.lastServed = c.env.now, c.env.now, 0
	if !l.health.cannotReachControllers(m) {
		t.Fatal("with the zone's controller in contact, its heartbeats are not taken for lost")
	}
	p.servedKnownUntil = c.env.now - c.env.cfg.WorkerLease()
	if l.health.cannotReachControllers(m) {
		t.Error("a heartbeat that was delayed passes for contact")
	}
	p.servedKnownUntil, p.lastServed = c.env.now, c.env.now-c.env.cfg.WorkerLease()/4
	if l.health.cannotReachControllers(m) {
		t.Error("the zone's controller renewed its lease")
	}
}
