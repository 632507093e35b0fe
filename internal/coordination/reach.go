package coordination

import (
	"fmt"
	"time"

	"claybarrow/internal/ledger"
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

// reach is what a leader knows of its own way to the workers.
type reach struct {
	reachedAt      time.Duration   // last direct sign of any worker
	missedMachines map[string]bool // machines missed since
	suspectAt      time.Duration   // when the first of them was
	// sampledAt and samples count the machines that were asked for a sign of life lately though
	// nobody was missed.
	sampledAt time.Duration
	samples   int
}

// reached notes a direct sign of life of a worker.
func (r *reach) reached(now time.Duration) {
	r.reachedAt = now
	if len(r.missedMachines) > 0 {
		r.missedMachines = nil
	}
}

// missed notes a machine that others heard while our request went unanswered.
func (r *reach) missed(id string, now time.Duration) {
	if r.missedMachines == nil {
		r.missedMachines, r.suspectAt = map[string]bool{}, now
	}
	r.missedMachines[id] = true
}

// probes says whether a machine is asked for a sign of life, as others did not
// answer though they are there: one that lately reported by another controller.
func (r *term) probes(m *ledger.Machine) bool {
	c := r.c
	if r.missedMachines[m.ID] || !m.Fresh || c.now >= m.Heard+2*c.cfg.Report() {
		return false
	}
	return len(r.missedMachines) > 0 && c.now > r.reachedAt+c.cfg.Lease()/20 || r.samplesReach()
}

// samplesReach says whether one more machine is asked for a sign of life because none has given
// any directly for a while: a leader that had nothing to say to its workers did not notice that it
// couldn't reach them, and those that reported to it lost their leases.
func (r *term) samplesReach() bool {
	c := r.c
	if !c.membership.enabled() || c.now <= r.reachedAt+c.cfg.Lease()/10 {
		return false
	}
	if c.now > r.sampledAt+c.cfg.Lease()/20 {
		r.sampledAt, r.samples = c.now, 0
	}
	r.samples++
	return r.samples <= leastMissed
}

// outOfReach says whether the workers are there for others and not for us.
func (r *term) outOfReach() bool {
	// Several machines that hear no answer may be missed at once while there was nothing to say to
	// others: those that can be reached answer a probe well within a twentieth of a
	// lease. Once it has stepped down, others have had their chance.
	return len(r.missedMachines) >= leastMissed && r.c.now > r.reachedAt+r.c.cfg.Lease()/10 &&
		r.c.now > r.suspectAt+r.c.cfg.Lease()/20 && r.c.now >= r.c.standBackUntil
}

// leastMissed is how many machines have to be missed before a leader gives up: one
// or two may hear nothing themselves.
const leastMissed = 3

// stepDown ends the leadership and its lease, so that another controller takes
// over at once. This one stands back as long as the others have a chance to.
func (r *term) stepDown() {
	c := r.c
	c.log.Info("stepping down: workers answer others, not us", "token", r.token, "machines", len(r.missedMachines))
	c.standBackUntil = c.now + 4*c.cfg.Lease()
	c.view.ended = r.lease
	c.endTerm("it can't reach the workers")
	c.endLease(r.lease)
}

// endLease gives a lease back, if that can be done.
func (c *Core) endLease(lease uint64) {
	c.stateCall("DELETE", fmt.Sprintf("/leases/%d", lease), nil, c.cfg.LeaderTTL()/2, func(Result) {})
}

// standsBack says whether this controller leaves the leadership to others.
func (c *Core) standsBack() bool {
	return c.now < c.standBackUntil && c.now < c.view.leaderless+c.cfg.Lease()/5
}
