package coordination

import (
	"slices"

	"claybarrow/internal/budget"
	"claybarrow/internal/ledger"
	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// Which controller serves a machine's reports is a function of the live controllers of its
// zone, the leader among them: rendezvous hashing, so that a controller's end moves its machines
// alone, each to one of the others. The leader tells a worker where to report, as nobody
// else's view counts. It sends none to a controller that is suspected, out of touch, or back for
// too short a time, and takes none from one that is only suspected.

// assignments are the owners of machines by zone, in the detector's view.
type assignments struct {
	zones map[string]*membership.Assignment
	// own is the way of workers to the leader itself.
	own route
	// moves is how many machines may be sent elsewhere now: all of a fleet's within a lease, and in
	// small fleets a few with each report.
	moves budget.Bucket
}

func newAssignments(c *Core) assignments {
	report := c.cfg.Report().Seconds()
	rate := max(float64(c.cfg.FleetSize())/c.cfg.Lease().Seconds(), leastMoves/report)
	return assignments{zones: map[string]*membership.Assignment{}, moves: budget.New(rate, rate*report)}
}

// leastMoves is how many machines may be sent elsewhere between two reports, however small the fleet.
const leastMoves = 4

// servers are the controllers of a zone that may serve machines, sorted.
func (r *term) servers(zone string) []string {
	c := r.c
	var out []string
	if c.cfg.Zone == zone {
		out = append(out, c.cfg.Label)
	}
	for _, s := range c.cfg.Siblings {
		if s.Zone == zone && c.membership.detector.Serves(s.Label, c.now) {
			out = append(out, s.Label)
		}
	}
	slices.Sort(out)
	return out
}

// ownerOf is the controller that a machine's reports fall to; "": its zone has none.
func (r *term) ownerOf(m *ledger.Machine) string {
	a := r.assignments.zones[m.Zone]
	if a == nil {
		a = &membership.Assignment{}
		r.assignments.zones[m.Zone] = a
	}
	return a.Owner(m.ID, r.servers(m.Zone))
}

// assignedTarget names the controller that the worker is to report to instead of the one that
// its report came by, or none.
func (r *term) assignedTarget(m *ledger.Machine, msg *protocol.Report, from requester) string {
	c := r.c
	by := c.cfg.Label
	if from.relay {
		by = from.by
	}
	if by == "" || m.Zone == "" || msg.Token != r.token || c.now < r.since+c.cfg.Lease()/2 {
		return ""
	}
	owner := r.ownerOf(m)
	if by == c.cfg.Label {
		r.assignments.own.noteForwarded(c.now)
	}
	if owner == "" || owner == by || !r.inTouch(owner) {
		return ""
	}
	way, process := r.wayTo(owner)
	if m.SentLabel == owner && m.SentTo == process && m.SentAway > 0 {
		r.returned(m, way)
		return ""
	}
	if m.SentTo != process {
		m.Bounces = 0
	}
	if c.now < m.DirectUntil || !r.assignments.moves.Has(c.now, 1) || !way.takes(c.now, c.cfg.Report()) {
		return ""
	}
	r.assignments.moves.Take(c.now, 1)
	m.SentAway, m.SentLabel, m.SentTo = c.now, owner, process
	c.observer.MachineSent(m.ID, owner)
	return owner
}

// inTouch says whether machines may be sent to a controller now: it is not suspected, and what
// it passes on reaches us.
func (r *term) inTouch(label string) bool {
	c, p := r.c, r.peers[label]
	if label == c.cfg.Label {
		return true
	}
	return p != nil && p.asked > 0 && c.now < p.asked+c.cfg.Lease()/8 && c.membership.detector.TakesWork(label, c.now)
}

// wayTo is the way of workers to a controller, and which process that is. A machine that came
// back from there can't reach it, and is left alone for a while; what an earlier process
// of the same label did not take counts for nothing.
func (r *term) wayTo(label string) (*route, string) {
	if p := r.peers[label]; p != nil {
		return &p.route, p.incarnation
	}
	return &r.assignments.own, r.c.incarnation
}
