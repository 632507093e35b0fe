package controller

import (
	"testing"

	"claybarrow/internal/emulator"
)

// A new leader receives the first messages of idle machines late, as calling thousands of machines
// takes a while. It must not treat a machine that has not yet sent a message as a machine that failed to boot.
func TestIdleMachinesAreKeptAfterAFailover(t *testing.T) {
	w := newWorld(t, 93)
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "cores": 8.0, "owner": "red"})
	w.until(60*second, "machines are up", func() bool { return w.running("j-1") == 4 })
	w.run(20 * second)
	w.cancel("j-1")
	w.until(20*second, "machines are idle", func() bool { return w.running("j-1") == 0 })
	lead := w.leader()
	w.cloud.DeletionRequests = nil
	// No message of the workers reaches the new leader for a while.
	w.callFault = func(_ int, c Call) deliveryFault {
		return deliveryFault{lost: c.Target == ToWorker || c.Path == "/forward"}
	}
	w.heartbeatFault = func(*emulator.Worker, int) deliveryFault { return deliveryFault{lost: true} }
	w.crash(lead)
	w.until(10*second, "another controller leads", func() bool { return w.leader() >= 0 && w.leader() != lead })
	w.run(3 * second)
	if len(w.cloud.DeletionRequests) > 0 {
		t.Errorf("idle machines %v were deleted after the failover", w.cloud.DeletionRequests)
	}
}
