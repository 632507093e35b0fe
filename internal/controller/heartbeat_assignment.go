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
func (l *leadership) zoneServers(zone string) []string {
	var out []string
	if l.controller.env.cfg.Zone == zone {
		out = append(out, l.controller.env.cfg.Label)
	}
	for _, s := range l.controller.env.cfg.Siblings {
		if s.Zone == zone && l.controller.detection.detector.Serves(s.Label, l.controller.env.now) {
			out = append(out, s.Label)
		}
	}
	slices.Sort(out)
	return out
}

// ownerOf is the controller that a machine's reports fall to; "": its zone has none.
func (l *leadership) ownerOf(m *clusterstate.Machine) string {
	a := l.assignments.zones[m.Zone]
	if a == nil {
		a = &membership.Assignment{}
		l.assignments.zones[m.Zone] = a
	}
	return a.Owner(m.ID, l.zoneServers(m.Zone))
}

// assignedRedirect names the controller that the worker is to report to instead of the one that
// its report came by, or none.
func (l *leadership) assignedRedirect(m *clusterstate.Machine, msg *protocol.WorkerHeartbeat, from requester) string {
	by := l.controller.env.cfg.Label
	if from.relay {
		by = from.by
	}
	if by == "" || m.Zone == "" || msg.Token != l.token || l.controller.env.now < l.electedAt+l.controller.env.cfg.Lease()/2 {
		return ""
	}
	owner := l.ownerOf(m)
	if by == l.controller.env.cfg.Label {
		l.assignments.own.noteForwarded(l.controller.env.now)
	}
	if owner == "" || owner == by || !l.isInContact(owner) {
		return ""
	}
	way, process := l.routeTo(owner)
	if m.RedirectedTo == owner && m.RedirectedProcess == process && m.RedirectedAt > 0 {
		l.onWorkerReturned(m, way)
		return ""
	}
	if m.RedirectedProcess != process {
		m.FailedRedirects = 0
	}
	if l.controller.env.now < m.NoRedirectUntil || !l.assignments.moves.Has(l.controller.env.now, 1) || !way.accepts(l.controller.env.now, l.controller.env.cfg.Report()) {
		return ""
	}
	l.assignments.moves.Take(l.controller.env.now, 1)
	m.RedirectedAt, m.RedirectedTo, m.RedirectedProcess = l.controller.env.now, owner, process
	l.controller.env.observer.MachineRedirected(m.ID, owner)
	return owner
}

// isInContact says whether machines may be sent to a controller now: it is not suspected, and what
// it passes on reaches us.
func (l *leadership) isInContact(label string) bool {
	p := l.peers[label]
	if label == l.controller.env.cfg.Label {
		return true
	}
	return p != nil && p.lastHeard > 0 && l.controller.env.now < p.lastHeard+l.controller.env.cfg.Lease()/8 && l.controller.detection.detector.TakesWork(label, l.controller.env.now)
}

// routeTo is the way of workers to a controller, and which process that is. A machine that came
// back from there can't reach it, and is left alone for a while; what an earlier process
// of the same label did not take counts for nothing.
func (l *leadership) routeTo(label string) (*heartbeatRoute, string) {
	if p := l.peers[label]; p != nil {
		return &p.route, p.incarnation
	}
	return &l.assignments.own, l.controller.env.incarnation
}
