package controller

import (
	"time"

	"claybarrow/internal/protocol"
)

// A follower may lose contact with the leader while the state service still names that leader. Either the two zones are
// partitioned, or only the connection between the two controllers has failed. In the first case the workers of the zone
// can't reach the leader either, and a worker that is redirected to it tries all controllers while its lease runs out.
// In the second case the workers can reach the leader, and should send their heartbeats to it. The follower can't
// distinguish the two cases. It therefore redirects a limited number of workers to the leader as probes, and renews the
// leases of the other workers.

// leaderProbes is the state of the probes of the workers' route to a lost leader. It is discarded when the leader
// answers.
type leaderProbes struct {
	// redirectedAt holds the time when a worker was redirected to the leader, by machine, for each worker that has not
	// returned to this controller.
	redirectedAt   map[string]time.Duration
	lastRedirectAt time.Duration // when the last worker was redirected; 0: never
	// nextProbeAt is the earliest time of the next probe after a failed one; failures counts the failed probes.
	nextProbeAt time.Duration
	failures    int
}

const (
	// maxRedirectedWorkers bounds the size of leaderProbes.redirectedAt, and so its memory.
	maxRedirectedWorkers = 1 << 16
	// failedProbeMaxLeases is the number of leases after which the return of a redirected worker no longer counts as a
	// failed probe: the worker must have reached the leader, so it returned for another reason.
	failedProbeMaxLeases = 3
)

// recordReturn records a heartbeat from a worker. It reports whether the worker was redirected to the leader and
// returned so early that it can't have reached the leader.
func (p *leaderProbes) recordReturn(machine string, now, lease time.Duration) bool {
	redirectedAt, wasRedirected := p.redirectedAt[machine]
	if !wasRedirected {
		return false
	}
	delete(p.redirectedAt, machine)
	if now > redirectedAt+failedProbeMaxLeases*lease {
		return false
	}
	p.nextProbeAt = max(p.nextProbeAt, now+redirectBackoff(lease, p.failures))
	p.failures++
	return true
}

// recordRedirect records that a worker is redirected to the leader.
func (p *leaderProbes) recordRedirect(machine string, now time.Duration) {
	if p.redirectedAt == nil {
		p.redirectedAt = map[string]time.Duration{}
	}
	p.redirectedAt[machine], p.lastRedirectAt = now, now
}

// tryRedirectToLeader reports whether a worker of this controller's zone is redirected to the lost leader, and
// records the redirection.
func (f *follower) tryRedirectToLeader(heartbeat *protocol.WorkerHeartbeat) bool {
	probes := &f.contact.leaderProbes
	returned := probes.recordReturn(heartbeat.Machine, f.env.now, f.env.cfg.WorkerLease())
	if returned || f.env.now < probes.nextProbeAt || len(probes.redirectedAt) >= maxRedirectedWorkers {
		return false
	}
	if !f.leaderRefusesConnections() && !f.mayProbeAtLeaseRisk(heartbeat) {
		return false
	}
	probes.recordRedirect(heartbeat.Machine, f.env.now)
	return true
}

// leaderRefusesConnections reports whether connections to the leader are refused without delay, and a worker whose
// connections are refused tries all controllers within half a lease. Every worker may then probe the leader: if its
// connection is refused too, it returns long before its lease expires.
func (f *follower) leaderRefusesConnections() bool {
	return f.contact.connectionRefused && f.env.workerScanTime(heartbeatRetryPause) < f.env.cfg.WorkerLease()/2
}

// mayProbeAtLeaseRisk reports whether a worker may probe the leader while connection attempts to the leader time out.
// The worker then waits for the timeout at each controller, which may take longer than its lease. Therefore only one
// worker probes at a time, and during the first half of the outage tolerance (config.Config.OutageTolerance) only a
// worker without tasks.
func (f *follower) mayProbeAtLeaseRisk(heartbeat *protocol.WorkerHeartbeat) bool {
	contact := &f.contact
	if last := contact.leaderProbes.lastRedirectAt; last > 0 && f.env.now < last+f.env.workerFailoverTime() {
		return false
	}
	return len(heartbeat.Tasks) == 0 || f.env.now >= contact.leaderLostAt+f.env.cfg.OutageTolerance()/2
}
