package controller

import (
	"net/http"
	"testing"

	"claybarrow/internal/protocol"
)

// TestLeaderRejectedByStateService covers a leader whose requests the state service rejects, while the service answers
// the other controllers. Another leader must be elected within 10 s. The former leader may then answer a poll only with
// 503, or with the status that is right for the job: 200 for a known job, 404 for an unknown one.
func TestLeaderRejectedByStateService(t *testing.T) {
	w := newWorld(t, 11)
	w.submit("j-1", map[string]any{"shards": 4})
	w.until(60*second, "tasks run", func() bool { return w.running("j-1") > 0 })
	rejected := w.awaitLeader()
	w.state.RefusedClients[rejected] = true
	w.until(10*second, "another leader is elected", func() bool { l := w.leader(); return l >= 0 && l != rejected })
	w.user(rejected, OpPoll, "j-1", func(s int, _ protocol.JobStatus) {
		if s != http.StatusServiceUnavailable && s != http.StatusOK {
			t.Errorf("status %d for a known job from the leader that the state service rejects", s)
		}
	})
	w.user(rejected, OpPoll, "j-99", func(s int, _ protocol.JobStatus) {
		if s != http.StatusServiceUnavailable && s != http.StatusNotFound {
			t.Errorf("status %d for an unknown job from the leader that the state service rejects", s)
		}
	})
	w.run(20 * second)
	w.state.RefusedClients[rejected] = false
	w.awaitStatus(120*second, "j-1", protocol.JobDone)
	w.requireNoViolations()
}

// TestUserReplyStatus checks the status codes of replies to users, from the leader and from followers.
func TestUserReplyStatus(t *testing.T) {
	w := newWorld(t, 12)
	w.awaitLeader()
	w.run(2 * second)
	check := func(name string, op Op, uid string, body []byte, want int) {
		t.Helper()
		for i := range 3 {
			got := -1
			w.sendRequest(i, Request{Op: op, UID: uid, Body: body}, func(r Reply) { got = r.Status })
			w.run(second)
			if got != want {
				t.Errorf("%s at controller %d: status %d, want %d", name, i, got, want)
			}
		}
	}
	submission := func(change map[string]any) []byte { return protocol.Encode(w.spec("j-50", change)) }
	check("malformed", OpSubmit, "", []byte("x"), 400)
	check("wrong field", OpSubmit, "", submission(map[string]any{"rank": "top"}), 400)
	check("unknown team", OpSubmit, "", submission(map[string]any{"owner": "green"}), 422)
	check("too large", OpSubmit, "", submission(map[string]any{"cores": 9.0}), 422)
	check("over the limit", OpSubmit, "", submission(map[string]any{"shape": "service", "shards": 9}), 422)
	check("no type", OpSubmit, "", submission(map[string]any{"flavours": []string{}}), 422)
	check("unknown", OpPoll, "j-77", nil, 404)
	check("unknown cancel", OpCancel, "j-77", nil, 404)
	w.submit("j-1", nil)
	w.run(second)
	// A repeated submission of an accepted job is confirmed even if the repeat is malformed.
	check("damaged repeat", OpSubmit, "", protocol.Encode(w.spec("j-1", map[string]any{"rank": "top"})), 200)
	w.requireNoViolations()
}

// TestNotReadyWithoutTheLeader checks the readiness endpoint while requests between controllers are lost and all of
// them reach the state service. Only the leader may report that it is ready. The followers become ready again when they
// reach the leader.
func TestNotReadyWithoutTheLeader(t *testing.T) {
	w := newWorld(t, 33)
	lead := w.awaitLeader()
	w.run(5 * second)
	countReady := func() (n int) {
		for i := range 3 {
			w.sendRequest(i, Request{Op: OpReady}, func(r Reply) {
				if r.Status == http.StatusOK {
					n++
				}
			})
		}
		return n
	}
	if n := countReady(); n != 3 {
		t.Fatalf("%d of 3 controllers are ready", n)
	}
	w.callFault = func(_ int, c Call) deliveryFault { return deliveryFault{lost: c.Target == ToPeer} }
	w.run(6 * second)
	if n := countReady(); n != 1 || w.leader() != lead {
		t.Fatalf("%d controllers are ready, the leader is %d, was %d", n, w.leader(), lead)
	}
	w.callFault = nil
	w.run(2 * second)
	if n := countReady(); n != 3 {
		t.Fatalf("%d of 3 controllers are ready again", n)
	}
}
