package config

import "time"

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// WithClockDrift lengthens a duration by twice the most that two steady clocks may drift apart (0.05%), to
// be safe against rounding too.
func WithClockDrift(d time.Duration) time.Duration { return d + d/1000 }

// WorkerHeartbeatInterval is the time between two heartbeats of a worker.
func (c *Config) WorkerHeartbeatInterval() time.Duration {
	return seconds(c.Cluster.Workers.HeartbeatS)
}

// WorkerLease is the workers' lease.
func (c *Config) WorkerLease() time.Duration { return seconds(c.Cluster.Workers.LeaseS) }

// Bounds of the leader's lease.
const (
	// minLeaderTTL is the shortest lease whatever the settings say.
	minLeaderTTL = 500 * time.Millisecond
	// leaderPauseCoreSeconds is the work that may keep a leader from renewing, in seconds of a
	// whole core.
	leaderPauseCoreSeconds = 0.5
	// renewalsPerLease times 100 is how many of the state service's requests pass in a lease at
	// least, so that the leader's renewals take a hundredth of them.
	renewalsPerLease = 5
)

// LeaderLease is the leader's lease in the state service: 3/20 of the workers' lease, so that a
// successor is elected well before that runs out, or less where that costs nothing. Larger fleets
// have longer leases of their workers, which is no reason to leave users without a leader for
// longer. What bounds it from below is the work that may keep a leader from renewing: half a
// second of a whole core, and a failover with the whole fleet; and its five renewals, which may
// take a hundredth of the state service's requests.
func (c *Config) LeaderLease() time.Duration {
	cores, rps := c.Cluster.Resources.Cores, c.Cluster.State.RPS
	needed := seconds(max(leaderPauseCoreSeconds/cores, 100*renewalsPerLease/rps, c.TakeoverDuration().Seconds()))
	return max(min(c.maxLeaderTTL(), needed), minLeaderTTL)
}

// maxLeaderTTL is the longest lease of a leader that the workers' lease allows.
func (c *Config) maxLeaderTTL() time.Duration { return c.WorkerLease() * 3 / 20 }

// TickInterval is the time between two checks of what changes with time alone.
func (c *Config) TickInterval() time.Duration { return c.LeaderLease() / 15 }

// PeerHeartbeatInterval is the time between two heartbeats of a controller to the leader.
func (c *Config) PeerHeartbeatInterval() time.Duration { return c.LeaderLease() / 3 }

// CancelTimeout is how long the tasks of a cancelled job may take to end.
func (c *Config) CancelTimeout() time.Duration { return seconds(c.Cluster.Workers.CancelS) }

// outageLeases is Coast in workers' leases.
const outageLeases = 12

// OutageTolerance is how long a leader may go on answering workers after it sent the last lease renewal that
// was confirmed, and how long a zone's silence is taken for a network partition. It is longer than
// most partitions and outages, as nobody is told of a cancellation before its tasks are proved
// gone; and it is bounded, as until it is over tasks that cannot be reached count as running.
func (c *Config) OutageTolerance() time.Duration { return outageLeases * c.WorkerLease() }

// CloudListLag is how far the cloud's list of machines usually lags behind.
func (c *Config) CloudListLag() time.Duration { return seconds(c.Cluster.Cloud.ListLagS) }

// GangPeerTimeout is how long tasks of a gang wait for one another when they stop.
func (c *Config) GangPeerTimeout() time.Duration { return seconds(c.Cluster.Workers.GangPeerS) }

// ClockError is how far the time of day may be off.
func (c *Config) ClockError() time.Duration { return seconds(c.Cluster.ClockErrorMS / 1000) }
