package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/membership"
)

// newMembershipWorld creates a world with failure detection enabled.
func newMembershipWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	return newWorldWith(t, seed, []byte(membershipOn))
}

// controllerLabel returns the label of controller i.
func controllerLabel(i int) string { return fmt.Sprintf("n%d", i) }

// startReplicas starts services of both teams and runs the world for a while.
func (w *world) startReplicas() {
	w.t.Helper()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true, "cores": 4.0})
	w.submit("j-2", map[string]any{"shape": "service", "shards": 2, "owner": "blue"})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 && w.running("j-2") == 2 })
	w.run(20 * second)
}

// Without failures, no controller suspects another one, not even during the initial load.
func TestNoSuspicionWithoutFailures(t *testing.T) {
	w := newMembershipWorld(t, 901)
	w.startReplicas()
	for _, n := range w.nodes {
		for _, c := range n.observer.changes {
			t.Errorf("n%d: state change without a failure: %+v", n.observer.node, c)
		}
	}
	w.settle()
}

// The leader's links flap every few seconds, or a share of the messages between controllers is lost:
// no controller is declared dead, the leader does not change and no worker's lease expires. Up to a
// loss of 5 %, no task is restarted elsewhere.
func TestFlappingLinkAndLoss(t *testing.T) {
	for k, loss := range []float64{0, 0.05, 0.10, 0.20} {
		t.Run(fmt.Sprintf("loss %v", loss), func(t *testing.T) {
			w := newMembershipWorld(t, uint64(960+k))
			w.startReplicas()
			lead := w.awaitLeader()
			token := w.leadership().lease.token
			began := w.Now()
			w.callFault = func(node int, c Call) deliveryFault {
				if c.Target != ToPeer {
					return deliveryFault{}
				}
				if loss > 0 {
					return deliveryFault{lost: w.rng.Float64() < loss, replyLost: w.rng.Float64() < loss}
				}
				between := node == lead || c.Addr == w.cfgs[lead].PeerListen
				return deliveryFault{lost: between && int(w.Now()/second)%5 < 2}
			}
			w.run(60 * second)
			if w.awaitLeader() != lead || w.leadership().lease.token != token {
				t.Errorf("loss %v: the leader changed", loss)
			}
			for i, n := range w.nodes {
				for _, c := range n.observer.changes {
					if c.at >= began && c.To == membership.Dead {
						t.Errorf("loss %v: n%d declared a live controller dead: %+v", loss, i, c)
					}
				}
			}
			for _, worker := range w.workers() {
				if worker.Up && !worker.Deleted && worker.Epoch > 1 {
					t.Errorf("loss %v: the lease of %s expired", loss, worker.ID)
				}
			}
			for task, n := range w.startCounts {
				if n > 1 && loss <= 0.05 {
					t.Errorf("loss %v: %s was started %d times", loss, task, n)
				}
			}
			w.settle()
		})
	}
}

// The monotonic clocks of the controllers drift apart by the tolerated bound during a failover.
func TestDriftingClocks(t *testing.T) {
	w := newMembershipWorld(t, 965)
	w.nodes[0].drift, w.nodes[1].drift = 0.0005, 0.0002
	w.startReplicas()
	w.crash(w.awaitLeader())
	w.run(60 * second)
	w.settle()
}

// A controller of an older version, which answers probes with 404, is never suspected because of that:
// failure detection relies on its heartbeats. It leads and follows as before, and its crash is detected.
func TestMixedVersions(t *testing.T) {
	for older := range 3 {
		t.Run(fmt.Sprintf("older controller %v", older), func(t *testing.T) {
			w := newMembershipWorld(t, uint64(980+older))
			w.cfgs[older].Operator.Membership.Enabled = false
			w.nodes[older].withoutProbes = true
			w.boot(older)
			w.startReplicas()
			for i, n := range w.nodes {
				for _, c := range n.observer.changes {
					if c.Label == controllerLabel(older) {
						t.Errorf("n%d: state change of the live older controller: %+v", i, c)
					}
				}
			}
			began := w.Now()
			w.crash(older)
			w.run(20 * second)
			for i, n := range w.nodes {
				if i != older && n.observer.firstChangeTo(controllerLabel(older), membership.Dead, began) == 0 {
					t.Errorf("n%d has not declared n%d dead", i, older)
				}
			}
			w.boot(older)
			w.run(20 * second)
			w.settle()
		})
	}
}

// While failure detection is disabled, probes are answered with 404, as by a version without probes.
func TestProbesReturn404WhileDisabled(t *testing.T) {
	w := newWorldWith(t, 985, nil)
	w.awaitLeader()
	w.sendRequest(0, Request{Op: OpProbe, Body: []byte{0xa0}}, func(r Reply) {
		if r.Status != http.StatusNotFound {
			t.Errorf("probe answered with status %d, want 404", r.Status)
		}
	})
}

// A graceful shutdown of the leader causes an immediate failover: the other controllers see that it
// left, and never suspect it.
func TestGracefulShutdown(t *testing.T) {
	w := newMembershipWorld(t, 986)
	w.startReplicas()
	lead := w.awaitLeader()
	began := w.Now()
	w.handleEvent(lead, Shutdown{})
	w.run(20 * time.Millisecond)
	w.crash(lead)
	w.until(second, "another controller leads", func() bool { l := w.leader(); return l >= 0 && l != lead })
	w.run(20 * second)
	for i, n := range w.nodes {
		if i == lead {
			continue
		}
		if n.observer.firstChangeTo(controllerLabel(lead), membership.Left, began) == 0 {
			t.Errorf("n%d has not recorded that the former leader left: %+v", i, n.observer.changes)
		}
		if n.observer.firstChangeTo(controllerLabel(lead), membership.Suspect, began) > 0 {
			t.Errorf("n%d suspected the former leader", i)
		}
	}
	w.settle()
}

// Random sequences of process pauses, crashes, partitions, message loss and outages of the state
// service; the checker alone decides whether the test passes.
func TestRandomFailuresOfControllers(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newMembershipWorld(t, 1000+seed)
			w.initialJobs()
			loss := 0.0
			cutFrom, cutTo := -1, -1
			w.callFault = func(node int, c Call) deliveryFault {
				if c.Target != ToPeer {
					return deliveryFault{}
				}
				cut := node == cutFrom && c.Addr == w.cfgs[max(0, cutTo)].PeerListen
				return deliveryFault{lost: cut || w.rng.Float64() < loss, replyLost: w.rng.Float64() < loss}
			}
			for step := range 12 {
				node := w.rng.IntN(3)
				switch w.rng.IntN(6) {
				case 0:
					if w.nodes[node].alive {
						w.pauseProcess(node, w.randomMilliseconds(200, 10_000))
					}
				case 1:
					w.crash(node)
					w.restart(node, w.randomMilliseconds(100, 8000))
				case 2:
					cutFrom, cutTo = node, (node+1)%3
				case 3:
					cutFrom, cutTo, loss = -1, -1, 0
				case 4:
					loss = w.rng.Float64() * 0.2
				case 5:
					w.state.InjectOutage(w.randomMilliseconds(500, 6000))
				}
				w.submit(fmt.Sprintf("j-7%d", step), map[string]any{"shards": 1 + w.rng.IntN(3), "cores": 1.0})
				w.run(w.randomMilliseconds(1000, 8000))
			}
			w.settle()
		})
	}
}
