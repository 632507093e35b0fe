package controller

import (
	"slices"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
	"claybarrow/internal/ratelimit"
)

// With failure detection, the controller that serves a machine's heartbeats is a function of the live controllers
// of its zone, the leader among them: rendezvous hashing, so that a controller's end moves its own machines
// alone, each to one of the others. The leader tells a worker where to send its heartbeats, as nobody else's
// view counts. It sends none to a controller that is suspected, out of contact, or back for too short a time,
// and takes none from one that is only suspected.

// assignments are the owners of machines by zone, in the failure detector's view.
type assignments struct {
	zones map[string]*membership.Assignment
	// ownRoute is the workers' route to the leader itself.
	ownRoute heartbeatRoute
	// redirectBudget is how many machines may be redirected now: all of a fleet's within a lease, and in small
	// fleets minRedirectsPerHeartbeat in each heartbeat interval.
	redirectBudget ratelimit.TokenBucket
}

// minRedirectsPerHeartbeat is how many machines may be redirected in a heartbeat interval, however small the
// fleet is.
const minRedirectsPerHeartbeat = 4

func newAssignments(cfg *config.Config) assignments {
	interval := cfg.WorkerHeartbeatInterval().Seconds()
	perSecond := max(float64(cfg.FleetSize())/cfg.WorkerLease().Seconds(), minRedirectsPerHeartbeat/interval)
	return assignments{zones: map[string]*membership.Assignment{}, redirectBudget: ratelimit.New(perSecond, perSecond*interval)}
}

// assignedRedirect names the controller that the worker is to send its heartbeats to instead of the one that this
// heartbeat came by. It is empty if the worker stays there.
func (r *heartbeatRouter) assignedRedirect(m *clusterstate.Machine, msg *protocol.WorkerHeartbeat, from requester) string {
	servedBy := r.env.cfg.Label
	if from.relayed {
		servedBy = from.forwardedBy
	}
	if servedBy == "" || !r.mayRedirect(m, msg) {
		return ""
	}
	owner := r.ownerOf(m)
	if servedBy == r.env.cfg.Label {
		r.assignments.ownRoute.noteForwarded(r.env.now)
	}
	if owner == "" || owner == servedBy || !r.isInContact(owner) {
		return ""
	}
	route, process := r.routeTo(owner)
	if m.RedirectedTo == owner && m.RedirectedProcess == process && m.RedirectedAt > 0 {
		r.onWorkerReturned(m, route)
		return ""
	}
	if m.RedirectedProcess != process {
		m.FailedRedirects = 0
	}
	if !r.takeRedirect(m, route) {
		return ""
	}
	m.RedirectedAt, m.RedirectedTo, m.RedirectedProcess = r.env.now, owner, process
	r.env.observer.MachineRedirected(m.ID, owner)
	return owner
}

// takeRedirect takes a redirect of the machine from the budget, if it may be redirected by that route now. The
// route is asked last, as its answer starts a trial.
func (r *heartbeatRouter) takeRedirect(m *clusterstate.Machine, route *heartbeatRoute) bool {
	if r.env.now < m.NoRedirectUntil || !r.assignments.redirectBudget.Allows(r.env.now, 1) {
		return false
	}
	if !route.accepts(r.env.now, r.env.cfg.WorkerHeartbeatInterval()) {
		return false
	}
	r.assignments.redirectBudget.Take(r.env.now, 1)
	return true
}

// ownerOf is the controller that the machine's heartbeats are assigned to, or empty if its zone has none.
func (r *heartbeatRouter) ownerOf(m *clusterstate.Machine) string {
	assignment := r.assignments.zones[m.Zone]
	if assignment == nil {
		assignment = &membership.Assignment{}
		r.assignments.zones[m.Zone] = assignment
	}
	return assignment.Owner(m.ID, r.zoneServers(m.Zone))
}

// zoneServers are the controllers of a zone that may serve machines, sorted.
func (r *heartbeatRouter) zoneServers(zone string) []string {
	var labels []string
	if r.env.cfg.Zone == zone {
		labels = append(labels, r.env.cfg.Label)
	}
	for _, sibling := range r.env.cfg.Siblings {
		if sibling.Zone == zone && r.detection.detector.MayServeMachines(sibling.Label, r.env.now) {
			labels = append(labels, sibling.Label)
		}
	}
	slices.Sort(labels)
	return labels
}

// isInContact reports whether machines may be redirected to a controller now: it is not suspected, and what it
// forwards reaches the leader.
func (r *heartbeatRouter) isInContact(label string) bool {
	if label == r.env.cfg.Label {
		return true
	}
	p := r.peers[label]
	return p != nil && r.heardLately(p) && r.detection.detector.AcceptsWork(label, r.env.now)
}

// routeTo is the workers' route to a controller, and the incarnation of that controller's process. A machine that
// came back from there can't reach it, and is left alone for a while; what it could not reach of an earlier
// process with the same label does not count.
func (r *heartbeatRouter) routeTo(label string) (*heartbeatRoute, string) {
	if p := r.peers[label]; p != nil {
		return &p.route, p.incarnation
	}
	return &r.assignments.ownRoute, r.env.incarnation
}
