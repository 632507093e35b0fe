package controller

import (
	"net/http"
	"testing"
	"time"
)

// readinessAfterRestart restarts a controller while its first sibling is paused and another one leads, and returns the
// answers to the load balancer's readiness checks, one a second from the first that was positive.
func readinessAfterRestart(t *testing.T, observed time.Duration) []int {
	t.Helper()
	const hung, restarted = 0, 2
	w := newWorldWith(t, 1, []byte("[fleet]\nmachines = 4000\n"))
	w.until(300*time.Second, "controller 1 leads", func() bool {
		if leader := w.leader(); leader >= 0 && leader != 1 {
			w.restart(leader, 5*time.Second)
		}
		return w.leader() == 1 && w.nodes[hung].alive && w.nodes[restarted].alive
	})
	w.run(10 * time.Second)
	w.nodes[hung].paused = true
	w.crash(restarted)
	w.run(time.Second)
	w.boot(restarted)
	var answers []int
	for end := w.Now() + observed; w.Now() < end; w.run(time.Second) {
		w.sendRequest(restarted, Request{Op: OpReady}, func(reply Reply) {
			if len(answers) > 0 || reply.Status == http.StatusOK {
				answers = append(answers, reply.Status)
			}
		})
	}
	return answers
}

// A single failed check so soon after the restart is the third of six, which removes the controller for twice as long.
func TestRestartedControllerDoesNotFlapReadinessWhileSiblingHangs(t *testing.T) {
	answers := readinessAfterRestart(t, 20*time.Second)
	if len(answers) == 0 {
		t.Fatal("the restarted controller was never ready")
	}
	for second, status := range answers {
		if status != http.StatusOK {
			t.Errorf("%d s after the first positive readiness check the answer is %d", second, status)
		}
	}
}
