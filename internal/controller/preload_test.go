package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// storeCompletedJobs stores n records of completed jobs, so that a failover reads several pages.
func (w *world) storeCompletedJobs(n int) {
	for i := range n {
		w.state.ForceChange(fmt.Sprintf("j/j-9%06d", i), &emulator.Item{Value: protocol.Encode(map[string]any{"s": protocol.JobDone, "n": 1})})
	}
}

// TestSuccessorPreloadsClusterState checks that a follower preloads the stored records while it suspects the leader.
// When the follower is elected, its state must include the leader's later writes. If there were more changes than the
// state service keeps, it must read all records again.
func TestSuccessorPreloadsClusterState(t *testing.T) {
	for _, tooManyChanges := range []bool{false, true} {
		t.Run(fmt.Sprintf("too many changes %v", tooManyChanges), func(t *testing.T) {
			w := newMembershipWorld(t, 990)
			w.storeCompletedJobs(3500)
			w.startReplicas()
			lead := w.awaitLeader()
			w.submit("j-5", map[string]any{"shape": "service", "owner": "blue"})
			w.until(60*second, "the first job runs", func() bool { return w.running("j-5") == 1 })
			// The other controllers cannot reach the leader: they suspect it while it continues to work.
			w.callFault = func(node int, c Call) deliveryFault {
				return deliveryFault{lost: c.Target == ToPeer && (node == lead || c.Addr == w.cfgs[lead].PeerListen)}
			}
			preloaded := func() bool {
				for i, n := range w.nodes {
					if preload := n.controller.preparer.preparation.preload; i != lead && preload != nil && preload.finished {
						return true
					}
				}
				return false
			}
			w.until(10*second, "a follower has preloaded the records", preloaded)
			// The leader's last writes: a submitted job and a cancellation, which no preload has read.
			w.sendRequest(lead, Request{Op: OpSubmit, Body: protocol.Encode(w.spec("j-6", map[string]any{"shape": "service", "owner": "blue"}))}, func(r Reply) {
				if r.Status != http.StatusCreated {
					t.Errorf("status %d for the submission", r.Status)
				}
				w.recordStatus("j-6", protocol.JobStatus{UID: "j-6", State: protocol.JobPending}, w.Now())
				w.startPolling("j-6")
			})
			w.cancelRequested["j-5"] = true
			w.sendRequest(lead, Request{Op: OpCancel, UID: "j-5"}, func(Reply) {})
			w.run(300 * time.Millisecond)
			w.crash(lead)
			w.callFault = func(_ int, c Call) deliveryFault {
				if tooManyChanges && putsKeyWithPrefix(c, keyLeader) {
					w.storeCompletedJobs(25_000) // more changes than the state service keeps, immediately before the election
				}
				return deliveryFault{}
			}
			next := w.awaitLeader()
			w.callFault = nil
			w.run(15 * second)
			failovers := w.nodes[next].observer.failovers
			if len(failovers) == 0 {
				t.Fatal("no failover was observed")
			}
			if got := failovers[len(failovers)-1].Preloaded; (got >= 3500) == tooManyChanges {
				t.Errorf("too many changes %v: %d records were preloaded", tooManyChanges, got)
			}
			w.until(60*second, "the job submitted last runs", func() bool { return w.running("j-6") == 1 })
			if w.running("j-5") > 0 {
				t.Error("the cancelled job still runs")
			}
			w.settle()
		})
	}
}

// TestCandidatesDoNotCampaignAtOnce checks that candidates start their campaigns at different times.
func TestCandidatesDoNotCampaignAtOnce(t *testing.T) {
	w := newMembershipWorld(t, 995)
	w.startReplicas()
	lead := w.awaitLeader()
	campaigns := map[int]time.Duration{}
	w.callFault = func(node int, c Call) deliveryFault {
		if c.Path == "/multi" && w.nodes[node].controller.leadership == nil && campaigns[node] == 0 {
			campaigns[node] = w.Now()
		}
		return deliveryFault{lost: c.Path == "/multi"} // no candidate wins, so that each of them campaigns
	}
	w.crash(lead)
	w.run(4 * second)
	if len(campaigns) != 2 {
		t.Fatalf("campaigns by controller: %v, want 2", campaigns)
	}
	var first, last time.Duration
	for _, at := range campaigns {
		if first == 0 || at < first {
			first = at
		}
		last = max(last, at)
	}
	if last-first < 50*time.Millisecond {
		t.Errorf("the campaigns started %v apart, want at least 50 ms", last-first)
	}
	w.settle()
}
