package config

import (
	"fmt"
	"time"
)

// SuspicionFactor is how many times as long a suspicion lasts that nobody confirms.
const SuspicionFactor = 3.0

// checkMembership names the first setting of failure detection that is out of range or
// contradicts another.
func (c *Config) checkMembership() error {
	m := c.Operator.Membership
	for _, n := range []struct {
		field           string
		value, min, max float64
	}{
		{"probe", m.Probe, 0.05, 2},
		{"timeout", m.Timeout, 0.02, 1},
		{"suspicion", m.Suspicion, 0.5, 100},
		{"steady", m.Steady, 0, 100},
	} {
		if !(n.value >= n.min && n.value <= n.max) {
			return fmt.Errorf("operators' settings: membership.%s: %v is not between %v and %v", n.field, n.value, n.min, n.max)
		}
	}
	if m.Timeout > m.Probe {
		return fmt.Errorf("operators' settings: membership.timeout: %v is longer than membership.probe, %v", m.Timeout, m.Probe)
	}
	// A dead controller's machines must find another one within their leases.
	if longest := time.Duration(float64(c.Suspicion()) * SuspicionFactor); longest > c.Lease() {
		return fmt.Errorf("operators' settings: membership.suspicion: %v leader's leases are up to %v, longer than the workers' lease of %v", m.Suspicion, longest, c.Lease())
	}
	return nil
}

// ratio is a part of a time.
func ratio(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }

// ProbeInterval is the time between two probes of a peer.
func (c *Config) ProbeInterval() time.Duration {
	return ratio(c.Operator.Membership.Probe, c.LeaderTTL())
}

// ProbeTimeout is how long a peer's answer may take before others are asked.
func (c *Config) ProbeTimeout() time.Duration {
	return ratio(c.Operator.Membership.Timeout, c.LeaderTTL())
}

// Suspicion is the least time from suspicion to death.
func (c *Config) Suspicion() time.Duration {
	return ratio(c.Operator.Membership.Suspicion, c.LeaderTTL())
}

// Steady is how long a controller that came back must have been alive to serve machines.
func (c *Config) Steady() time.Duration { return ratio(c.Operator.Membership.Steady, c.Lease()) }

// ClockError is how far the time of day may be off.
func (c *Config) ClockError() time.Duration { return seconds(c.Cluster.ClockErrorMS / 1000) }
