package controller

import (
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/protocol"
)

// TestLateCopiesOfUsersRequestsChangeNothing guards against a job that runs again, or is told otherwise, because a copy of its
// submission or of its cancellation arrives after its end, also at a later leader.
func TestLateCopiesOfUsersRequestsChangeNothing(t *testing.T) {
	w := newWorld(t, 70)
	w.awaitLeader()
	w.runTime = func(string) time.Duration { return 5 * second }
	w.submit("j-1", nil)
	w.submit("j-2", map[string]any{"shape": "service"})
	w.until(90*second, "the replica runs", func() bool { return w.running("j-2") == 1 })
	w.cancel("j-2")
	w.awaitStatus(20*second, "j-2", protocol.JobCancelled)
	w.awaitStatus(20*second, "j-1", protocol.JobDone)
	starts := w.totalStarts()
	for range 2 {
		for node := range w.nodes {
			for uid, want := range map[string]protocol.JobState{"j-1": protocol.JobDone, "j-2": protocol.JobCancelled} {
				for _, op := range []Op{OpSubmit, OpCancel, OpPoll} {
					w.user(node, op, uid, func(status int, s protocol.JobStatus) {
						if status != http.StatusOK || s.State != want {
							t.Errorf("copy of %s of %s at controller %d: status %d, state %q, want %q", op, uid, node, status, s.State, want)
						}
					})
				}
			}
		}
		w.run(20 * second)
		w.restart(w.leader(), 200*time.Millisecond)
		w.awaitLeader()
		w.run(2 * second)
	}
	if n := w.totalStarts(); n != starts {
		t.Errorf("%d tasks started by copies", n-starts)
	}
	w.requireNoViolations()
}
