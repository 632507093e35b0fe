package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
)

// A leader that can't reach the workers while other controllers can is of no use to them: its commands don't
// arrive, and the workers of its own zone go round all controllers, are redirected to the leader each time, and
// lose their leases (with the leader's zone apart, on both fleets: a quarter to half of all replicas). So it
// steps down.
//
// Only what can't be the workers' fault counts as evidence: machines whose heartbeats came by another controller
// while a direct call to them went unanswered, and no machine at all that answered, or sent a heartbeat directly,
// meanwhile. If only a few machines get no answers, calling the others as well shows it.

// reachability is what a leader knows of its own way to the workers. It ends with the leadership; how long this
// controller then stands back from elections is kept by the election.
type reachability struct {
	detection *failureDetection
	election  *election
	env       *environment

	lastReachedAt  time.Duration   // last direct sign of life of any worker
	missedMachines map[string]bool // machines missed since
	firstMissedAt  time.Duration   // when the first of them was
	// sampledAt and samples count the machines that were lately probed though none was missed.
	sampledAt time.Duration
	samples   int
}

// minMissedMachines is how many machines have to be missed before a leader steps down: one or two may be
// unreachable themselves.
const minMissedMachines = 3

// stepDownBackoffLeases is for how many leases a leader that has stepped down stays out of elections, as long as
// the others have a chance to win one.
const stepDownBackoffLeases = 4

// noteReached notes a direct sign of life of a worker.
func (r *reachability) noteReached(now time.Duration) {
	r.lastReachedAt = now
	if len(r.missedMachines) > 0 {
		r.missedMachines = nil
	}
}

// noteMissed notes a machine whose heartbeat came by another controller while a direct call went unanswered.
func (r *reachability) noteMissed(id string, now time.Duration) {
	if r.missedMachines == nil {
		r.missedMachines, r.firstMissedAt = map[string]bool{}, now
	}
	r.missedMachines[id] = true
}

// probeTime is the twentieth of a lease in which a worker that can be reached answers a probe.
func (r *reachability) probeTime() time.Duration { return r.env.cfg.WorkerLease() / 20 }

// suspiciousSilence is how long no worker gives a direct sign of life before the leader doubts its own way to
// them.
func (r *reachability) suspiciousSilence() time.Duration { return r.env.cfg.WorkerLease() / 10 }

// probesReachability reports whether a machine is probed because others did not answer though they are up: it is
// one whose heartbeat lately came by another controller. It counts the samples that it grants.
func (r *reachability) probesReachability(m *clusterstate.Machine) bool {
	if r.missedMachines[m.ID] || !m.TokenAcknowledged || r.env.now >= m.LastSeen+2*r.env.cfg.WorkerHeartbeatInterval() {
		return false
	}
	if len(r.missedMachines) > 0 && r.env.now > r.lastReachedAt+r.probeTime() {
		return true
	}
	return r.samplesReachability()
}

// samplesReachability reports whether one more machine is probed because none has given a direct sign of life for
// a while. A leader that had no commands for its workers did not notice that it couldn't reach them, and those
// that sent their heartbeats to it lost their leases.
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

// cannotReachWorkers reports whether the workers are up for other controllers and not for this leader. Several
// machines that get no answers themselves may be missed at once while there were no commands for others: those
// that can be reached answer a probe well within probeTime. Once a leader has stepped down, the others have had
// their chance before it does so again.
func (r *reachability) cannotReachWorkers() bool {
	return len(r.missedMachines) >= minMissedMachines &&
		r.env.now > r.lastReachedAt+r.suspiciousSilence() &&
		r.env.now > r.firstMissedAt+r.probeTime() &&
		r.env.now >= r.election.electionBackoffUntil
}

// stepDown ends the leadership and revokes its lease, so that another controller is elected at once. This one
// stays out of elections as long as the others have a chance.
func (l *leadership) stepDown() {
	env, election := l.controller.env, l.controller.election
	env.log.Info("stepping down: workers unreachable from this leader only", "token", l.lease.token, "machines", len(l.reach.missedMachines))
	election.electionBackoffUntil = env.now + stepDownBackoffLeases*env.cfg.WorkerLease()
	election.leaderKeys.revokedLease = l.lease.leaseID
	l.controller.endLeadership(endWorkersUnreachable)
	l.controller.outbox.revokeLease(l.lease.leaseID)
}
