package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
)

// A leader that can't reach the workers while other controllers do is of no use
// to them: its commands don't arrive, and the workers of its own zone go round
// all controllers, are sent back to the leader each time, and lose their leases
// (apart, both fleets: a quarter to half of all replicas). So it hands over.
//
// Evidence is only what can't come from the workers' side: machines whose reports
// came by another controller while a direct request to them went unanswered, and
// no machine at all that answered or reported directly meanwhile. A few machines
// whose answers don't arrive are told apart by asking the others too.

// reachability is what a leader knows of its own way to the workers.
type reachability struct {
	detection *failureDetection
	election  *election
	env       *environment

	reachedAt      time.Duration   // last direct sign of any worker
	missedMachines map[string]bool // machines missed since
	suspectAt      time.Duration   // when the first of them was
	// sampledAt and samples count the machines that were asked for a sign of life lately though
	// nobody was missed.
	sampledAt time.Duration
	samples   int
}

// noteReached notes a direct sign of life of a worker.
func (r *reachability) noteReached(now time.Duration) {
	r.reachedAt = now
	if len(r.missedMachines) > 0 {
		r.missedMachines = nil
	}
}

// noteMissed notes a machine that others heard while our request went unanswered.
func (r *reachability) noteMissed(id string, now time.Duration) {
	if r.missedMachines == nil {
		r.missedMachines, r.suspectAt = map[string]bool{}, now
	}
	r.missedMachines[id] = true
}

// probesReachability says whether a machine is asked for a sign of life, as others did not
// answer though they are there: one that lately reported by another controller.
func (r *reachability) probesReachability(m *clusterstate.Machine) bool {
	if r.missedMachines[m.ID] || !m.TokenAcknowledged || r.env.now >= m.LastSeen+2*r.env.cfg.Report() {
		return false
	}
	return len(r.missedMachines) > 0 && r.env.now > r.reachedAt+r.env.cfg.Lease()/20 || r.samplesReachability()
}

// samplesReachability says whether one more machine is asked for a sign of life because none has given
// any directly for a while: a leader that had nothing to say to its workers did not notice that it
// couldn't reach them, and those that reported to it lost their leases.
func (r *reachability) samplesReachability() bool {
	if !r.detection.enabled() || r.env.now <= r.reachedAt+r.env.cfg.Lease()/10 {
		return false
	}
	if r.env.now > r.sampledAt+r.env.cfg.Lease()/20 {
		r.sampledAt, r.samples = r.env.now, 0
	}
	r.samples++
	return r.samples <= minMissedMachines
}

// cannotReachWorkers says whether the workers are there for others and not for us.
func (r *reachability) cannotReachWorkers() bool {
	// Several machines that hear no answer may be missed at once while there was nothing to say to
	// others: those that can be reached answer a probe well within a twentieth of a
	// lease. Once it has stepped down, others have had their chance.
	return len(r.missedMachines) >= minMissedMachines && r.env.now > r.reachedAt+r.env.cfg.Lease()/10 &&
		r.env.now > r.suspectAt+r.env.cfg.Lease()/20 && r.env.now >= r.election.electionBackoffUntil
}

// minMissedMachines is how many machines have to be missed before a leader gives up: one
// or two may hear nothing themselves.
const minMissedMachines = 3

// stepDown ends the leadership and its lease, so that another controller takes
// over at once. This one stands back as long as the others have a chance to.
func (l *leadership) stepDown() {
	l.controller.env.log.Info("stepping down: workers unreachable from this leader only", "token", l.lease.token, "machines", len(l.reach.missedMachines))
	l.controller.election.electionBackoffUntil = l.controller.env.now + 4*l.controller.env.cfg.Lease()
	l.controller.election.leaderKeys.revokedLease = l.lease.leaseID
	l.controller.endLeadership(endWorkersUnreachable)
	l.controller.outbox.revokeLease(l.lease.leaseID)
}
