package controller

import (
	"fmt"
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
func (l *leadership) probesReachability(m *clusterstate.Machine) bool {
	c := l.controller
	if l.reachability.missedMachines[m.ID] || !m.TokenAcknowledged || c.now >= m.LastSeen+2*c.cfg.Report() {
		return false
	}
	return len(l.reachability.missedMachines) > 0 && c.now > l.reachability.reachedAt+c.cfg.Lease()/20 || l.samplesReachability()
}

// samplesReachability says whether one more machine is asked for a sign of life because none has given
// any directly for a while: a leader that had nothing to say to its workers did not notice that it
// couldn't reach them, and those that reported to it lost their leases.
func (l *leadership) samplesReachability() bool {
	c := l.controller
	if !c.detection.enabled() || c.now <= l.reachability.reachedAt+c.cfg.Lease()/10 {
		return false
	}
	if c.now > l.reachability.sampledAt+c.cfg.Lease()/20 {
		l.reachability.sampledAt, l.reachability.samples = c.now, 0
	}
	l.reachability.samples++
	return l.reachability.samples <= minMissedMachines
}

// cannotReachWorkers says whether the workers are there for others and not for us.
func (l *leadership) cannotReachWorkers() bool {
	// Several machines that hear no answer may be missed at once while there was nothing to say to
	// others: those that can be reached answer a probe well within a twentieth of a
	// lease. Once it has stepped down, others have had their chance.
	return len(l.reachability.missedMachines) >= minMissedMachines && l.controller.now > l.reachability.reachedAt+l.controller.cfg.Lease()/10 &&
		l.controller.now > l.reachability.suspectAt+l.controller.cfg.Lease()/20 && l.controller.now >= l.controller.electionBackoffUntil
}

// minMissedMachines is how many machines have to be missed before a leader gives up: one
// or two may hear nothing themselves.
const minMissedMachines = 3

// stepDown ends the leadership and its lease, so that another controller takes
// over at once. This one stands back as long as the others have a chance to.
func (l *leadership) stepDown() {
	c := l.controller
	c.log.Info("stepping down: workers answer others, not us", "token", l.token, "machines", len(l.reachability.missedMachines))
	c.electionBackoffUntil = c.now + 4*c.cfg.Lease()
	c.leaderKeys.revokedLease = l.leaseID
	c.endLeadership("it can't reach the workers")
	c.revokeLease(l.leaseID)
}

// revokeLease gives a lease back, if that can be done.
func (c *Controller) revokeLease(lease uint64) {
	c.stateCall("DELETE", fmt.Sprintf("/leases/%d", lease), nil, c.cfg.LeaderTTL()/2, func(Result) {})
}

// backsOffElection says whether this controller leaves the leadership to others.
func (c *Controller) backsOffElection() bool {
	return c.now < c.electionBackoffUntil && c.now < c.leaderKeys.leaderlessSince+c.cfg.Lease()/5
}
