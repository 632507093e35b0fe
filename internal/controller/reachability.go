package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
)

// A leader steps down if it cannot reach the workers while other controllers can. Its commands do not arrive, and the
// workers of its own zone try all controllers in turn, are redirected to the leader by each, and lose their leases.
// With the leader's zone partitioned, a quarter to half of all replicas were lost that way, on both fleets.
//
// The evidence must exclude a fault of the workers. A machine is counted as missed if a direct call to it gets no
// answer although its heartbeat arrived after the call was sent, usually through another controller. The count restarts
// whenever any machine answers a direct call or sends a heartbeat directly. Probes of the other machines show whether
// only a few machines are affected.

// reachability is a leader's evidence of whether it can reach the workers directly. It is discarded when the leadership
// ends; election.electionBackoffUntil outlives the leadership.
type reachability struct {
	detection *failureDetection
	election  *election
	env       *environment

	lastReachedAt  time.Duration   // when a worker last answered a direct call or sent a heartbeat directly
	missedMachines map[string]bool // the machines missed since then
	firstMissedAt  time.Duration   // when the first of these was missed
	// samples counts the machines probed since sampledAt although none was missed.
	sampledAt time.Duration
	samples   int
}

// minMissedMachines is the number of missed machines from which a leader may step down: one or two machines may be
// unreachable because they are faulty.
const minMissedMachines = 3

// stepDownBackoffLeases is the maximum number of worker leases for which a leader that has stepped down does not
// campaign. The back-off ends early if no other controller is elected (see election.isBackingOff).
const stepDownBackoffLeases = 4

// recordReached records that a worker answered a direct call or sent a heartbeat directly.
func (r *reachability) recordReached(now time.Duration) {
	r.lastReachedAt = now
	if len(r.missedMachines) > 0 {
		r.missedMachines = nil
	}
}

// recordMissed records a machine that did not answer a direct call although its heartbeat arrived after the call was
// sent.
func (r *reachability) recordMissed(id string, now time.Duration) {
	if r.missedMachines == nil {
		r.missedMachines, r.firstMissedAt = map[string]bool{}, now
	}
	r.missedMachines[id] = true
}

// probeTime is how long a reachable worker may take to answer a probe: a twentieth of the workers' lease.
func (r *reachability) probeTime() time.Duration { return r.env.cfg.WorkerLease() / 20 }

// suspiciousSilence is the time without direct heartbeats and answers of any worker after which the leader checks
// whether it can reach the workers: a tenth of the workers' lease.
func (r *reachability) suspiciousSilence() time.Duration { return r.env.cfg.WorkerLease() / 10 }

// probesReachability reports whether the machine should be probed to find out whether the leader can reach the
// workers. The machine must be up: its last message is younger than two heartbeat intervals. Machines are probed while
// others are missed, or as samples, which samplesReachability counts.
func (r *reachability) probesReachability(m *clusterstate.Machine) bool {
	if r.missedMachines[m.ID] || !m.TokenAcknowledged || r.env.now >= m.LastSeen+2*r.env.cfg.WorkerHeartbeatInterval() {
		return false
	}
	if len(r.missedMachines) > 0 && r.env.now > r.lastReachedAt+r.probeTime() {
		return true
	}
	return r.samplesReachability()
}

// samplesReachability reports whether one more machine is probed because no worker has answered directly for longer
// than suspiciousSilence. Without these samples, a leader without commands for its workers did not notice that it
// could not reach them, and the workers that sent their heartbeats to it lost their leases.
func (r *reachability) samplesReachability() bool {
	if !r.detection.enabled() || r.env.now <= r.lastReachedAt+r.suspiciousSilence() {
		return false
	}
	if r.env.now > r.sampledAt+r.probeTime() {
		r.sampledAt, r.samples = r.env.now, 0
	}
	r.samples++
	return r.samples <= minMissedMachines
}

// cannotReachWorkers reports whether other controllers can reach the workers and this leader cannot. Several faulty
// machines may be missed at the same time while the leader calls no other machines; probeTime gives the reachable
// machines enough time to answer a probe. A leader that has stepped down does not do so again before the end of its
// election back-off, during which the other controllers could be elected.
func (r *reachability) cannotReachWorkers() bool {
	return len(r.missedMachines) >= minMissedMachines &&
		r.env.now > r.lastReachedAt+r.suspiciousSilence() &&
		r.env.now > r.firstMissedAt+r.probeTime() &&
		r.env.now >= r.election.electionBackoffUntil
}

// stepDown ends the leadership and revokes its lease, so that another controller can be elected at once. This
// controller then does not campaign during its election back-off.
func (l *leadership) stepDown() {
	env, election := l.controller.env, l.controller.election
	env.log.Info("stepping down: workers unreachable from this leader only", "token", l.lease.token, "machines", len(l.reachability.missedMachines))
	election.electionBackoffUntil = env.now + stepDownBackoffLeases*env.cfg.WorkerLease()
	election.leaderKeys.revokedLease = l.lease.leaseID
	l.controller.endLeadership(endWorkersUnreachable)
	l.controller.outbox.revokeLease(l.lease.leaseID)
}
