package controller

import (
	"slices"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
	"claybarrow/internal/ratelimit"
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
	own heartbeatRoute
	// moves is how many machines may be sent elsewhere now: all of a fleet's within a lease, and in
	// small fleets a few with each report.
	moves ratelimit.TokenBucket
}

func newAssignments(c *Controller) assignments {
	report := c.env.cfg.Report().Seconds()
	rate := max(float64(c.env.cfg.FleetSize())/c.env.cfg.Lease().Seconds(), leastMoves/report)
	return assignments{zones: map[string]*membership.Assignment{}, moves: ratelimit.New(rate, rate*report)}
}

// leastMoves is how many machines may be sent elsewhere between two reports, however small the fleet.
const leastMoves = 4

// zoneServers are the controllers of a zone that may serve machines, sorted.
func (r *heartbeatRouter) zoneServers(zone string) []string {
	var out []string
	if r.env.cfg.Zone == zone {
		out = append(out, r.env.cfg.Label)
	}
	for _, s := range r.env.cfg.Siblings {
		if s.Zone == zone && r.detection.detector.Serves(s.Label, r.env.now) {
			out = append(out, s.Label)
		}
	}
	slices.Sort(out)
	return out
}

// ownerOf is the controller that a machine's reports fall to; "": its zone has none.
func (r *heartbeatRouter) ownerOf(m *clusterstate.Machine) string {
	a := r.assignments.zones[m.Zone]
	if a == nil {
		a = &membership.Assignment{}
		r.assignments.zones[m.Zone] = a
	}
	return a.Owner(m.ID, r.zoneServers(m.Zone))
}

// assignedRedirect names the controller that the worker is to report to instead of the one that
// its report came by, or none.
func (r *heartbeatRouter) assignedRedirect(m *clusterstate.Machine, msg *protocol.WorkerHeartbeat, from requester) string {
	by := r.env.cfg.Label
	if from.relayed {
		by = from.forwardedBy
	}
	if by == "" || m.Zone == "" || msg.Token != r.lease.token || r.env.now < r.lease.electedAt+r.env.cfg.Lease()/2 {
		return ""
	}
	owner := r.ownerOf(m)
	if by == r.env.cfg.Label {
		r.assignments.own.noteForwarded(r.env.now)
	}
	if owner == "" || owner == by || !r.isInContact(owner) {
		return ""
	}
	way, process := r.routeTo(owner)
	if m.RedirectedTo == owner && m.RedirectedProcess == process && m.RedirectedAt > 0 {
		r.onWorkerReturned(m, way)
		return ""
	}
	if m.RedirectedProcess != process {
		m.FailedRedirects = 0
	}
	if r.env.now < m.NoRedirectUntil || !r.assignments.moves.Has(r.env.now, 1) || !way.accepts(r.env.now, r.env.cfg.Report()) {
		return ""
	}
	r.assignments.moves.Take(r.env.now, 1)
	m.RedirectedAt, m.RedirectedTo, m.RedirectedProcess = r.env.now, owner, process
	r.env.observer.MachineRedirected(m.ID, owner)
	return owner
}

// isInContact says whether machines may be sent to a controller now: it is not suspected, and what
// it passes on reaches us.
func (r *heartbeatRouter) isInContact(label string) bool {
	p := r.peers[label]
	if label == r.env.cfg.Label {
		return true
	}
	return p != nil && p.lastHeard > 0 && r.env.now < p.lastHeard+r.env.cfg.Lease()/8 && r.detection.detector.TakesWork(label, r.env.now)
}

// routeTo is the way of workers to a controller, and which process that is. A machine that came
// back from there can't reach it, and is left alone for a while; what an earlier process
// of the same label did not take counts for nothing.
func (r *heartbeatRouter) routeTo(label string) (*heartbeatRoute, string) {
	if p := r.peers[label]; p != nil {
		return &p.route, p.incarnation
	}
	return &r.assignments.own, r.env.incarnation
}
