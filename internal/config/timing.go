package config

import "time"

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// WithClockDrift lengthens a duration by 0.1%. This is twice the maximum drift between two monotonic clocks
// (0.05%), which also covers rounding.
func WithClockDrift(d time.Duration) time.Duration { return d + d/1000 }

// WorkerHeartbeatInterval returns the time between two heartbeats of a worker.
func (c *Config) WorkerHeartbeatInterval() time.Duration {
	return seconds(c.Cluster.Workers.HeartbeatS)
}

// WorkerLease returns the duration of the workers' lease.
func (c *Config) WorkerLease() time.Duration { return seconds(c.Cluster.Workers.LeaseS) }

// Bounds on the leader's lease.
const (
	// minLeaderLease is the minimum of LeaderLease, whatever the settings.
	minLeaderLease = 500 * time.Millisecond
	// leaderPauseCoreSeconds is the work that may delay a leader's renewal of its lease, in seconds of a
	// whole core.
	leaderPauseCoreSeconds = 0.5
	// renewalsPerLease is the number of renewals during a lease. The lease lasts at least as long as the
	// state service takes for 100 times as many requests, so that renewals use at most 1% of its rate limit.
	renewalsPerLease = 5
)

// LeaderLease returns the duration of the leader's lease in the state service. The lease is as short as three
// durations allow: the time for the work that may delay a renewal (leaderPauseCoreSeconds), the takeover of the
// whole fleet (TakeoverDuration), and the time in which the renewals use 1% of the state service's rate limit
// (renewalsPerLease). It does not grow with the workers' lease, which is longer in larger fleets, because users
// should not be without a leader for longer there. Its maximum is 3/20 of the workers' lease, so that a successor
// is elected well before the workers' leases expire; its minimum, which has precedence, is minLeaderLease.
func (c *Config) LeaderLease() time.Duration {
	cores, rps := c.Cluster.Resources.Cores, c.Cluster.State.RPS
	needed := seconds(max(leaderPauseCoreSeconds/cores, 100*renewalsPerLease/rps, c.TakeoverDuration().Seconds()))
	return max(min(c.maxLeaderLease(), needed), minLeaderLease)
}

// maxLeaderLease returns the maximum leader's lease for the workers' lease.
func (c *Config) maxLeaderLease() time.Duration { return c.WorkerLease() * 3 / 20 }

// TickInterval returns the time between two ticks, which handle timeouts and periodic work.
func (c *Config) TickInterval() time.Duration { return c.LeaderLease() / 15 }

// PeerHeartbeatInterval returns the time between two heartbeats of a controller to the leader.
func (c *Config) PeerHeartbeatInterval() time.Duration { return c.LeaderLease() / 3 }

// CancelTimeout returns the maximum time for the tasks of a cancelled job to end.
func (c *Config) CancelTimeout() time.Duration { return seconds(c.Cluster.Workers.CancelS) }

// outageToleranceLeases is OutageTolerance in workers' leases.
const outageToleranceLeases = 12

// OutageTolerance returns how long a leader may continue to answer workers after it sent the last confirmed
// renewal of its lease, and how long missing heartbeats of a zone are attributed to a network partition. It
// is longer than most partitions and outages, because a cancellation is not confirmed to users before its
// tasks are known to have ended. It is bounded, because unreachable tasks count as running until it has
// passed.
func (c *Config) OutageTolerance() time.Duration { return outageToleranceLeases * c.WorkerLease() }

// CloudListLag returns the usual lag of the cloud's list of machines.
func (c *Config) CloudListLag() time.Duration { return seconds(c.Cluster.Cloud.ListLagS) }

// GangPeerTimeout returns how long the tasks of a gang wait for each other when they stop.
func (c *Config) GangPeerTimeout() time.Duration { return seconds(c.Cluster.Workers.GangPeerS) }

// ClockError returns the maximum error of the wall clock.
func (c *Config) ClockError() time.Duration { return seconds(c.Cluster.ClockErrorMS / 1000) }
