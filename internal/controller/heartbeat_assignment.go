package controller

import (
	"slices"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
	"claybarrow/internal/ratelimit"
)

// With failure detection, the machines of a zone are assigned to the live controllers of the zone, including the
// leader, by rendezvous hashing: when a controller ends, only its own machines move, and each of them moves to one of
// the remaining controllers.
//
// Only the leader decides the assignment and redirects workers by it. It redirects no machine to a controller that is
// suspected, out of contact, or that has rejoined too recently. A suspected controller keeps its machines: suspicion
// alone moves none.

// assignments holds which controller owns each machine, by zone, in the failure detector's view.
type assignments struct {
	zones map[string]*membership.Assignment
	// directRoute is the workers' direct route to the leader.
	directRoute heartbeatRoute
	// redirectBudget limits the rate of redirects: it allows the whole fleet to be redirected within one worker
	// lease, and at least minRedirectsPerHeartbeat machines in each heartbeat interval.
	redirectBudget ratelimit.TokenBucket
}

// minRedirectsPerHeartbeat is the number of machines that may be redirected in a heartbeat interval even in the
// smallest fleet.
const minRedirectsPerHeartbeat = 4

func newAssignments(cfg *config.Config) assignments {
	interval := cfg.WorkerHeartbeatInterval().Seconds()
	perSecond := max(float64(cfg.FleetSize())/cfg.WorkerLease().Seconds(), minRedirectsPerHeartbeat/interval)
	return assignments{zones: map[string]*membership.Assignment{}, redirectBudget: ratelimit.New(perSecond, perSecond*interval)}
}

// assignedRedirect returns the label of the controller that the worker is redirected to, which is the machine's owner.
// It is empty if the worker keeps the controller that received this heartbeat.
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
		r.assignments.directRoute.recordForwarded(r.env.now)
	}
	if owner == "" || owner == servedBy || !r.isInContact(owner) {
		return ""
	}
	route, process := r.routeTo(owner)
	if m.RedirectedTo == owner && m.RedirectedIncarnation == process && m.RedirectedAt > 0 {
		r.onRedirectFailed(m, route)
		return ""
	}
	if m.RedirectedIncarnation != process {
		m.FailedRedirects = 0
	}
	if !r.takeRedirect(m, route) {
		return ""
	}
	m.RedirectedAt, m.RedirectedTo, m.RedirectedIncarnation = r.env.now, owner, process
	r.env.observer.MachineRedirected(m.ID, owner)
	return owner
}

// takeRedirect reports whether the machine may be redirected to the route now, and if so takes one redirect from the
// budget. It calls route.allowsRedirect last because that call may begin a probe of the route.
func (r *heartbeatRouter) takeRedirect(m *clusterstate.Machine, route *heartbeatRoute) bool {
	if r.env.now < m.NoRedirectUntil || !r.assignments.redirectBudget.Allows(r.env.now, 1) {
		return false
	}
	if !route.allowsRedirect(r.env.now, r.env.cfg.WorkerHeartbeatInterval()) {
		return false
	}
	r.assignments.redirectBudget.Take(r.env.now, 1)
	return true
}

// ownerOf returns the label of the controller that the machine is assigned to. It is empty if no controller of the
// machine's zone may serve machines.
func (r *heartbeatRouter) ownerOf(m *clusterstate.Machine) string {
	assignment := r.assignments.zones[m.Zone]
	if assignment == nil {
		assignment = &membership.Assignment{}
		r.assignments.zones[m.Zone] = assignment
	}
	return assignment.Owner(m.ID, r.zoneServers(m.Zone))
}

// zoneServers returns the sorted labels of the zone's controllers that may serve machines.
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

// isInContact reports whether machines may be redirected to a controller now: the controller is the leader itself, or
// its heartbeats reach the leader and the failure detector accepts it for new work.
func (r *heartbeatRouter) isInContact(label string) bool {
	if label == r.env.cfg.Label {
		return true
	}
	p := r.peers[label]
	return p != nil && r.hasRecentHeartbeat(p) && r.detection.detector.AcceptsWork(label, r.env.now)
}

// routeTo returns the workers' route to the controller with the label, and the incarnation of that controller's
// process. Failed redirects count only against the incarnation for which they were recorded.
func (r *heartbeatRouter) routeTo(label string) (*heartbeatRoute, string) {
	if p := r.peers[label]; p != nil {
		return &p.route, p.incarnation
	}
	return &r.assignments.directRoute, r.env.incarnation
}
