package config

import (
	"fmt"
	"time"
)

// UnconfirmedSuspicionFactor is the suspicion timeout without any confirmation, in multiples of
// SuspicionTimeout.
const UnconfirmedSuspicionFactor = 3.0

// validateMembership returns the error of the first setting of the failure detector that is out of range or
// conflicts with another setting.
func (c *Config) validateMembership() error {
	m := c.Operator.Membership
	if err := validateEach(OperatorSource, []fieldRange{
		{"membership.probe", m.Probe, 0.05, 2},
		{"membership.timeout", m.Timeout, 0.02, 1},
		{"membership.suspicion", m.Suspicion, 0.5, 100},
		{"membership.steady", m.Steady, 0, 100},
	}); err != nil {
		return err
	}
	if m.Timeout > m.Probe {
		return &FieldError{Source: OperatorSource, Field: "membership.timeout", Value: m.Timeout,
			Reason: fmt.Sprintf("is longer than membership.probe, %v", m.Probe)}
	}
	// A dead controller's machines must be able to switch to another controller before their leases expire.
	if longestTimeout := time.Duration(float64(c.SuspicionTimeout()) * UnconfirmedSuspicionFactor); longestTimeout > c.WorkerLease() {
		return &FieldError{Source: OperatorSource, Field: "membership.suspicion", Value: m.Suspicion,
			Reason: fmt.Sprintf("leader's leases are up to %v, longer than the workers' lease of %v", longestTimeout, c.WorkerLease())}
	}
	return nil
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// ProbeInterval returns the time between two rounds of probes of the failure detector.
func (c *Config) ProbeInterval() time.Duration {
	return scaleDuration(c.LeaderLease(), c.Operator.Membership.Probe)
}

// ProbeTimeout returns how long a peer's ack may take before other controllers are asked to probe the peer.
func (c *Config) ProbeTimeout() time.Duration {
	return scaleDuration(c.LeaderLease(), c.Operator.Membership.Timeout)
}

// SuspicionTimeout returns the minimum time for which a controller is suspect before it is declared dead. The time
// is UnconfirmedSuspicionFactor times as long if no other controller confirms the suspicion.
func (c *Config) SuspicionTimeout() time.Duration {
	return scaleDuration(c.LeaderLease(), c.Operator.Membership.Suspicion)
}

// RejoinDelay returns how long a controller that was dead or left must be alive again before it serves
// machines.
func (c *Config) RejoinDelay() time.Duration {
	return scaleDuration(c.WorkerLease(), c.Operator.Membership.Steady)
}
