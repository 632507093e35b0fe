package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

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
				if w.lastReplies["j-2"] == protocol.JobCancelled && w.running("j-2") > 0 {
					t.Fatal("a cancellation is confirmed with a task still there")
				}
				if n := w.running("j-1"); n < 3 {
					t.Fatalf("%d replicas run during the partition", n)
				}
			}
			w.script, w.heartbeatFault = nil, nil
			w.awaitStatus(40*second, "j-2", protocol.JobCancelled)
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
			w.ask(2, Request{Op: OpWorkerHeartbeat, Body: protocol.Encode(worker.Heartbeat())}, func(r Reply) {
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
