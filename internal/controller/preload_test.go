package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// storeMany stores records of completed jobs, so that a failover reads them in pages.
func (w *world) storeMany(n int) {
	for i := range n {
		w.state.Change(fmt.Sprintf("j/j-9%06d", i), &emulator.Item{Value: protocol.Encode(map[string]any{"s": protocol.JobDone, "n": 1})})
	}
}

// A successor preloads the stored records while the leader is suspected; what the leader wrote
// after that is known all the same, and if too much has changed everything is read anew.
func TestSuccessorPreloadsClusterState(t *testing.T) {
	for _, tooMuch := range []bool{false, true} {
		t.Run(fmt.Sprintf("too many changes %v", tooMuch), func(t *testing.T) {
			w := newMembershipWorld(t, 990)
			w.storeMany(3500)
			w.replicas()
			lead := w.awaitLeader()
			w.submit("j-5", map[string]any{"shape": "service", "owner": "blue"})
			w.until(60*second, "it runs", func() bool { return w.running("j-5") == 1 })
			// The other controllers don't reach the leader, so that they suspect it while it works on.
			w.script = func(node int, c Call) deliveryFault {
				return deliveryFault{lost: c.Target == ToPeer && (node == lead || c.Addr == w.cfgs[lead].PeerListen)}
			}
			ahead := func() bool {
				for i, n := range w.nodes {
					if a := n.controller.preparer.preparation.preload; i != lead && a != nil && a.finished {
						return true
					}
				}
				return false
			}
			w.until(10*second, "records are read ahead", ahead)
			// Its last write: a job that no preload has read.
			w.ask(lead, Request{Op: OpSubmit, Body: protocol.Encode(w.spec("j-6", map[string]any{"shape": "service", "owner": "blue"}))}, func(r Reply) {
				if r.Status != http.StatusCreated {
					t.Errorf("the submission is answered %d", r.Status)
				}
				w.recordStatus("j-6", protocol.JobStatus{UID: "j-6", State: protocol.JobPending}, w.Now())
				w.startPolling("j-6")
			})
			w.cancelRequested["j-5"] = true
			w.ask(lead, Request{Op: OpCancel, UID: "j-5"}, func(Reply) {})
			w.run(300 * time.Millisecond)
			w.crash(lead)
			w.script = func(_ int, c Call) deliveryFault {
				if tooMuch && writesUnder(c, keyLeader) {
					w.storeMany(25_000) // more changes than the state service keeps, just before the election
				}
				return deliveryFault{}
			}
			next := w.awaitLeader()
			w.script = nil
			w.run(15 * second)
			h := w.nodes[next].observer.failovers
			if len(h) == 0 {
				t.Fatal("no failover is observed")
			}
			if got := h[len(h)-1].Preloaded; (got >= 3500) == tooMuch {
				t.Errorf("too much %v: %d records were preloaded", tooMuch, got)
			}
			w.until(60*second, "the last job runs", func() bool { return w.running("j-6") == 1 })
			if w.running("j-5") > 0 {
				t.Error("the cancelled job runs")
			}
			w.settle()
		})
	}
}

// Candidates do not all campaign in the same instant.
func TestCandidatesDoNotCampaignAtOnce(t *testing.T) {
	w := newMembershipWorld(t, 995)
	w.replicas()
	lead := w.awaitLeader()
	campaigns := map[int]time.Duration{}
	w.script = func(node int, c Call) deliveryFault {
		if c.Path == "/multi" && w.nodes[node].controller.leadership == nil && campaigns[node] == 0 {
			campaigns[node] = w.Now()
		}
		return deliveryFault{lost: c.Path == "/multi"} // nobody wins, so that all of them try
	}
	w.crash(lead)
	w.run(4 * second)
	if len(campaigns) != 2 {
		t.Fatalf("campaigns: %v", campaigns)
	}
	var first, last time.Duration
	for _, at := range campaigns {
		if first == 0 || at < first {
			first = at
		}
		last = max(last, at)
	}
	if last-first < 50*time.Millisecond {
		t.Errorf("they campaign %v apart", last-first)
	}
	w.settle()
}
