package controller

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/config"
)

// The number of concurrent direct calls is bounded by CPU capacity even if more sockets are available.
// For the numbers of sockets of today's deployments, the number of sockets sets the bound.
func TestConcurrentCallsAreBoundedByTheCore(t *testing.T) {
	for _, tc := range []struct {
		sockets int
		cores   float64
		want    int
	}{{600, 0.144, 75}, {1_938, 0.468, 242}, {2_061, 0.312, 257}, {16_488, 1, 1024}, {16_488, 4, 2061}} {
		t.Run(fmt.Sprintf("%d sockets, %v cores", tc.sockets, tc.cores), func(t *testing.T) {
			calls := newCallLimiter(config.Resources{FDs: tc.sockets, Cores: tc.cores})
			if got := calls.maxInFlight; got != tc.want {
				t.Errorf("%d concurrent calls, want %d", got, tc.want)
			}
		})
	}
}

// A new leader calls all machines to learn their state. The rate of these calls is limited, so that
// CPU time is left for renewing the leader's lease, and the remaining calls follow as time passes.
func TestManyCallsAreSpreadOverTime(t *testing.T) {
	w := newWorld(t, 58)
	c := w.nodes[w.awaitLeader()].controller
	l := c.leadership
	l.dispatcher.callLimiter = newCallLimiter(config.Resources{FDs: 1 << 16, Cores: c.env.cfg.Cluster.Resources.Cores})
	c.outbox.effects = nil
	for i := range 3000 {
		m := l.state.AddMachine(fmt.Sprintf("i-9%05d", i))
		m.Type, m.Zone, m.Addr, m.ListedRunning, m.EverReported = "m8", "a", fmt.Sprintf("10.2.0.%d:1", i), true, true
		m.KnownToExistAt, m.LaunchedAt = c.env.now, c.env.now
	}
	dispatchAll := func() int {
		c.outbox.effects = nil
		for _, m := range l.machines.sortedMachines() {
			l.dispatcher.dispatchCommands(m)
		}
		for _, m := range l.machines.sortedMachines() {
			if m.CallInFlight { // as if the worker had answered
				m.CallInFlight, m.TokenAcknowledged, m.Probed = false, true, true
				l.dispatcher.callLimiter.inFlight, l.dispatcher.callLimiter.likelyTimeoutsInFlight = 0, 0
			}
		}
		return len(c.outbox.effects)
	}
	if n := dispatchAll(); n == 0 || n > callsPerCoreBurst {
		t.Errorf("%d calls in the first burst, want 1 to %d", n, callsPerCoreBurst)
	}
	calls := 0
	for range 20 {
		c.env.now += 100 * time.Millisecond
		calls += dispatchAll()
	}
	if calls < 2000 {
		t.Errorf("%d calls in two seconds, want at least 2000", calls)
	}
}
