package coordination

import "testing"

// Direct calls are bounded by what a core can take in a moment, however many sockets there are;
// with the sockets of today's deployments the bounds are as they were.
func TestCallsAtOnceAreBoundedByTheCore(t *testing.T) {
	for _, tc := range []struct {
		sockets int
		cores   float64
		want    int
	}{{600, 0.144, 75}, {1_938, 0.468, 242}, {2_061, 0.312, 257}, {16_488, 1, 1024}, {16_488, 4, 2061}} {
		c := &Core{cfg: testConfig(t, 0)}
		c.cfg.Cluster.Resources.FDs, c.cfg.Cluster.Resources.Cores = tc.sockets, tc.cores
		if got := c.mostCalls(); got != tc.want {
			t.Errorf("%d sockets, %v cores: %d calls at once, want %d", tc.sockets, tc.cores, got, tc.want)
		}
	}
}
