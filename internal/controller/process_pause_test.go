package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// pauseProcess pauses a controller's process for the duration d. Events for it are queued and handled afterwards.
func (w *world) pauseProcess(i int, d time.Duration) {
	n := w.nodes[i]
	n.paused = true
	w.after(d, func() {
		n.paused = false
		w.handleEvent(i, Tick{})
		queued := n.queuedEvents
		n.queuedEvents = nil
		for _, handle := range queued {
			handle()
		}
	})
}

// TestPausedLeaderAfterFailover covers a leader whose process is paused beyond its lease and resumes after another
// leader was elected. It must step down before it sends a command to a worker or declares a machine lost.
func TestPausedLeaderAfterFailover(t *testing.T) {
	for _, pause := range []time.Duration{8 * second, 30 * second, 2 * time.Minute} {
		t.Run(fmt.Sprintf("paused for %v", pause), func(t *testing.T) {
			w := newWorld(t, 43)
			lead := w.awaitLeader()
			w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true})
			w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
			w.run(5 * second)
			w.pauseProcess(lead, pause)
			w.run(pause - time.Millisecond)
			replaced := false
			for i, n := range w.nodes {
				replaced = replaced || i != lead && n.controller.leadership != nil && n.controller.leadership.loader.ready
			}
			if !replaced {
				t.Fatalf("no other leader was elected during a pause of %v", pause)
			}
			formerLeader := w.nodes[lead].controller
			commands := 0
			w.callFault = func(node int, c Call) deliveryFault {
				if node == lead && c.Target == ToWorker && formerLeader.leadership != nil {
					commands++
				}
				return deliveryFault{}
			}
			w.run(3 * second)
			if formerLeader.leadership != nil {
				t.Errorf("the former leader has not stepped down after a pause of %v", pause)
			}
			if commands > 0 {
				t.Errorf("after a pause of %v, the former leader sent %d requests to workers before it stepped down", pause, commands)
			}
			for task, n := range w.startCounts {
				if n > 1 {
					t.Errorf("after a pause of %v, task %s was started again", pause, task)
				}
			}
			w.callFault = nil
			w.settle()
		})
	}
}

// TestPausedLeaderWithoutFailover covers a pause of the leader during an outage of the state service, when no other
// controller can be elected. The leader must verify its lease and keep leading.
func TestPausedLeaderWithoutFailover(t *testing.T) {
	w := newWorld(t, 44)
	lead := w.awaitLeader()
	w.submit("j-1", map[string]any{"shards": 4})
	w.until(90*second, "tasks run", func() bool { return w.running("j-1") == 4 })
	w.state.InjectOutage(8 * second)
	w.run(second)
	w.pauseProcess(lead, 4*second)
	w.run(15 * second)
	if l := w.nodes[lead].controller.leadership; l == nil || l.lease.isVerifyingLease() {
		t.Error("the leader stepped down or has not verified its lease")
	}
	w.awaitStatus(90*second, "j-1", "done")
	w.settle()
}

// TestProcessPauses pauses the leader, the controller that relays a zone's heartbeats, or both, for half a leader's
// lease up to six of them, which is less than a worker's lease. No task may run on two machines, and no task may be
// started again if only one of the two controllers is paused.
func TestProcessPauses(t *testing.T) {
	lease := 1500 * time.Millisecond
	for k, pause := range []time.Duration{lease / 2, lease, 3 * lease, 6 * lease} {
		for _, pausedProcess := range []string{"leader", "relay", "both"} {
			t.Run(fmt.Sprintf("%s for %v", pausedProcess, pause), func(t *testing.T) {
				w := newMembershipWorld(t, uint64(940+k))
				w.startReplicas()
				lead := w.awaitLeader()
				relay := 2
				if lead == 2 {
					relay = 0
				}
				began := w.Now()
				if pausedProcess != "relay" {
					w.pauseProcess(lead, pause)
				}
				if pausedProcess != "leader" {
					w.pauseProcess(relay, pause)
				}
				w.run(pause + 30*second)
				if pause < lease {
					for i, n := range w.nodes {
						for _, c := range n.observer.changes {
							if c.at >= began && c.To == membership.Dead {
								t.Errorf("n%d declared a paused controller dead: %+v", i, c)
							}
						}
					}
				}
				if pause <= 6*lease {
					for task, n := range w.startCounts {
						if n > 1 && pausedProcess != "both" {
							t.Errorf("task %s was started again", task)
						}
					}
				}
				w.settle()
			})
		}
	}
}

// TestResumedLeaderWaitsForContact checks that a leader which resumes from a process pause rejects user requests with a
// retry, renews no lease, claims no leadership, and sends no commands, writes or relayed requests until it has had
// contact with another controller. Until then its state may be stale.
func TestResumedLeaderWaitsForContact(t *testing.T) {
	w := newMembershipWorld(t, 951)
	w.startReplicas()
	lead := w.awaitLeader()
	n := w.nodes[lead]
	w.pauseProcess(lead, 8*second)
	w.run(8*second - time.Millisecond)
	prematureCalls := []string{}
	w.callFault = func(node int, c Call) deliveryFault {
		if node == lead && n.controller.pause.isRecovering() {
			switch {
			case c.Target == ToWorker, c.Path == "/multi", c.Path == "/relay", c.Path == "/forward":
				prematureCalls = append(prematureCalls, c.Path)
			}
		}
		return deliveryFault{}
	}
	n.paused = false
	w.handleEvent(lead, Tick{}) // the process resumes
	if !n.controller.pause.isRecovering() {
		t.Fatal("the controller did not detect the pause of its process")
	}
	for _, op := range []Op{OpPoll, OpCancel} {
		w.sendRequest(lead, Request{Op: op, UID: "j-1"}, func(r Reply) {
			if r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 {
				t.Errorf("%s: status %d, retry after %d", op, r.Status, r.RetryAfter)
			}
		})
	}
	var heartbeat []byte
	for _, worker := range w.workers() {
		if worker.Up && !worker.Deleted {
			heartbeat = protocol.Encode(worker.Heartbeat())
		}
	}
	w.sendRequest(lead, Request{Op: OpWorkerHeartbeat, Body: heartbeat}, func(r Reply) {
		if r.Status == http.StatusOK {
			t.Error("the resumed leader renewed a worker's lease")
		}
	})
	peerHeartbeat := protocol.PeerHeartbeat{From: controllerLabel((lead + 1) % 3), Incarnation: n.controller.env.incarnation, Token: n.controller.leadership.lease.token}
	w.sendRequest(lead, Request{Op: OpPeerHeartbeat, Body: protocol.EncodePeer(peerHeartbeat)}, func(r Reply) {
		var reply protocol.PeerHeartbeatReply
		if err := protocol.DecodePeer(r.Body, &reply); err != nil || reply.Leader != "" || reply.LeaderClock != 0 {
			t.Errorf("the resumed controller claims to lead: %+v, %v", reply, err)
		}
	})
	w.run(5 * second)
	if len(prematureCalls) > 0 {
		t.Errorf("calls %v before contact with another controller", prematureCalls)
	}
	if n.controller.pause.isRecovering() {
		t.Error("the controller is still recovering after 5 s")
	}
	w.settle()
}
