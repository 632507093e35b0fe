package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// TestRelayAroundAnAsymmetricPartition covers a partition in one direction between a follower and the leader. The
// follower must relay its users' requests through the third controller, and no controller may suspect the leader.
func TestRelayAroundAnAsymmetricPartition(t *testing.T) {
	for _, toLeader := range []bool{true, false} {
		t.Run(fmt.Sprintf("requests to the leader lost %v", toLeader), func(t *testing.T) {
			w := newMembershipWorld(t, 952)
			w.startReplicas()
			lead := w.awaitLeader()
			from := (lead + 1) % 3
			began := w.Now()
			w.callFault = func(node int, c Call) deliveryFault {
				if node == from && c.Target == ToPeer && c.Addr == w.cfgs[lead].PeerListen {
					return deliveryFault{lost: toLeader, replyLost: true}
				}
				return deliveryFault{}
			}
			w.run(5 * second)
			answered := 0
			for range 5 {
				w.user(from, OpPoll, "j-1", func(status int, _ protocol.JobStatus) {
					if status == http.StatusOK {
						answered++
					}
				})
				w.run(second)
			}
			if answered < 5 {
				t.Errorf("requests to the leader lost %v: %d of 5 user requests were answered", toLeader, answered)
			}
			if w.nodes[from].observer.reroutes == 0 {
				t.Error("no request was relayed by the third controller")
			}
			for i, n := range w.nodes {
				if at := n.observer.firstChangeTo(controllerLabel(lead), membership.Suspect, began); at > 0 {
					t.Errorf("n%d suspects the leader", i)
				}
			}
			w.settle()
		})
	}
}

// TestRefusedConnectionIsRetriedOnce checks that a refused connection to the leader is retried exactly once, after a
// pause. A user's request succeeds on the retry, or fails within the decision timeout with a request to retry later.
func TestRefusedConnectionIsRetriedOnce(t *testing.T) {
	for _, refusedAgain := range []bool{true, false} {
		t.Run(fmt.Sprintf("refused again %v", refusedAgain), func(t *testing.T) {
			w := newMembershipWorld(t, 956)
			w.startReplicas()
			lead := w.awaitLeader()
			from := (lead + 1) % 3
			var attempts []time.Duration
			w.callFault = func(node int, c Call) deliveryFault {
				if node != from || c.Path != "/relay" {
					return deliveryFault{}
				}
				attempts = append(attempts, w.Now())
				return deliveryFault{refused: refusedAgain || len(attempts) == 1}
			}
			requestedAt := w.Now()
			status, repliedAt := 0, time.Duration(0)
			w.user(from, OpPoll, "j-1", func(got int, _ protocol.JobStatus) { status, repliedAt = got, w.Now() })
			w.run(2 * second)
			want := 200
			if refusedAgain {
				want = 503
			}
			if len(attempts) != 2 || status != want || repliedAt-requestedAt > decisionTimeout {
				t.Errorf("refused again %v: %d attempts, status %d after %v", refusedAgain, len(attempts), status, repliedAt-requestedAt)
			}
			if len(attempts) == 2 && attempts[1]-attempts[0] < 50*time.Millisecond {
				t.Errorf("retried after %v, want at least 50 ms", attempts[1]-attempts[0])
			}
			w.settle()
		})
	}
}
