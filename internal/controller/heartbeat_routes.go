package controller

import (
	"cmp"
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// Workers send their heartbeats to a controller of their own zone, which forwards them to the leader, so that no
// worker has to search for a controller when the zone is partitioned.
//
// A controller that is in contact with the leader may still be unreachable from the workers. The leader therefore
// redirects a single worker to such a controller as a probe, and redirects others only while forwarded heartbeats
// arrive from it. Without the probe, a leader that stepped down because it could not reach the workers was then
// assigned all workers of its zone. Each worker waited 4 s for every heartbeat to that controller, and tasks were
// moved or lost.
//
// Without failure detection, this file alone selects the controller. With failure detection, heartbeat_assignment.go
// selects it, and the routes of this file limit when a worker may be redirected to it.

// heartbeatRouter decides which controller each worker sends its heartbeats to.
//
// It owns the assignments of machines to controllers. The route through each other controller is stored in its peer,
// and the redirects of a machine in its Machine. All of this state is discarded when the leadership ends: the next
// leader tries each route again.
type heartbeatRouter struct {
	detection *failureDetection
	env       *environment
	lease     *leaderLease
	peers     map[string]*peer

	assignments assignments
}

// Timeouts of the worker for its heartbeats.
const (
	// heartbeatTimeout is how long a worker waits for the reply to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// heartbeatRetryPause is how long a worker waits after that timeout before it tries the next controller.
	heartbeatRetryPause = time.Second
)

const (
	// maxBackoffDoublings bounds how often the back-off between two probes of a route is doubled.
	maxBackoffDoublings = 5
	// routeFreshHeartbeats is the number of heartbeat intervals for which a forwarded heartbeat proves that a route
	// works.
	routeFreshHeartbeats = 3
	// redirectSuccessLeases is the number of worker leases after which a redirect counts as successful. If the worker
	// leaves the controller later than that, its earlier failed redirects are no longer counted.
	redirectSuccessLeases = 3
)

// heartbeatRoute is the state of the workers' route to the leader through one controller.
type heartbeatRoute struct {
	// lastForwardedAt is when a heartbeat last arrived by this route; 0: none has since a redirect to it failed.
	lastForwardedAt time.Duration
	// nextProbeAt is the earliest time of the next probe, which is a redirect to this route while no heartbeats
	// arrive by it. failures counts consecutive failed redirects.
	nextProbeAt time.Duration
	failures    int
}

// recordForwarded records that a worker's heartbeat arrived by this route.
func (r *heartbeatRoute) recordForwarded(now time.Duration) {
	r.lastForwardedAt, r.failures = now, 0
}

// recordFailedRedirect records a failed redirect: a worker that was redirected to this route sends its heartbeats by
// another route. If a heartbeat of a different worker arrived by this route at the same time, the route itself works,
// so lastForwardedAt is kept.
func (r *heartbeatRoute) recordFailedRedirect(now, lease time.Duration) {
	if r.lastForwardedAt < now {
		r.lastForwardedAt = 0
	}
	r.nextProbeAt = max(r.nextProbeAt, now+redirectBackoff(lease, r.failures))
	r.failures++
}

// allowsRedirect reports whether a worker may be redirected to this route now. If no heartbeat has arrived by it
// recently, the redirect is a probe, and allowsRedirect delays the next probe until the outcome of this one is known.
func (r *heartbeatRoute) allowsRedirect(now, heartbeatInterval time.Duration) bool {
	if r.lastForwardedAt > 0 && now < r.lastForwardedAt+routeFreshHeartbeats*heartbeatInterval {
		return true
	}
	if now < r.nextProbeAt {
		return false
	}
	r.nextProbeAt = now + heartbeatTimeout + heartbeatRetryPause
	return true
}

// redirectBackoff is the delay before the next redirect after another failure; failures is the number of consecutive
// failures before that one. The delay is half a lease after the first failure and doubles with each further one.
func redirectBackoff(lease time.Duration, failures int) time.Duration {
	return lease / 2 << min(failures, maxBackoffDoublings)
}

// redirectTarget returns the label of the controller that the worker is redirected to: a controller of the worker's
// zone that is in contact with the leader. It is empty if the worker is not redirected. A worker that has returned from
// a redirect could probably not reach that controller, and is not redirected again during a back-off.
func (r *heartbeatRouter) redirectTarget(m *clusterstate.Machine, msg *protocol.WorkerHeartbeat, from requester) string {
	if r.detection.enabled() {
		return r.assignedRedirect(m, msg, from)
	}
	if from.relayed || m.Zone == r.env.cfg.Zone || !r.mayRedirect(m, msg) {
		return ""
	}
	label := r.nearestController(m.Zone)
	if label == "" {
		return ""
	}
	p := r.peers[label]
	// A failed redirect to an earlier process of the controller does not count. When it did, all workers of a zone sent
	// their heartbeats to the leader after rolling restarts, and lost contact in a later partition. The leader may
	// learn late that a process has ended, so the back-off after the first failed redirect is short.
	if m.RedirectedIncarnation != p.incarnation {
		m.FailedRedirects = 0
	} else if m.RedirectedAt > 0 {
		r.onRedirectFailed(m, &p.route)
		return ""
	}
	if r.env.now < m.NoRedirectUntil || !p.route.allowsRedirect(r.env.now, r.env.cfg.WorkerHeartbeatInterval()) {
		return ""
	}
	m.RedirectedAt, m.RedirectedIncarnation = r.env.now, p.incarnation
	return label
}

// mayRedirect reports whether the worker satisfies the conditions of every redirect: its zone is known, it has the
// leader's token, and half a lease has passed since the election.
func (r *heartbeatRouter) mayRedirect(m *clusterstate.Machine, msg *protocol.WorkerHeartbeat) bool {
	return m.Zone != "" && msg.Token >= r.lease.token && r.env.now >= r.lease.electedAt+r.env.cfg.WorkerLease()/2
}

// onRedirectFailed records that a worker does not send its heartbeats to the controller that it was redirected to.
func (r *heartbeatRouter) onRedirectFailed(m *clusterstate.Machine, route *heartbeatRoute) {
	lease := r.env.cfg.WorkerLease()
	if r.env.now > m.RedirectedAt+redirectSuccessLeases*lease {
		m.FailedRedirects = 0
	}
	m.NoRedirectUntil = r.env.now + redirectBackoff(lease, m.FailedRedirects)
	m.FailedRedirects++
	m.RedirectedAt = 0
	route.recordFailedRedirect(r.env.now, lease)
}

// nearestController returns a controller of the zone that is in contact with the leader, or "" if there is none. Of
// several controllers it returns the one with the fewest controllersBetween: if that controller ends, a worker reaches
// another one of the zone soonest.
func (r *heartbeatRouter) nearestController(zone string) string {
	var candidates []string
	for _, sibling := range r.env.cfg.Siblings {
		if sibling.Zone == zone && r.hasRecentHeartbeat(r.peers[sibling.Label]) {
			candidates = append(candidates, sibling.Label)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return slices.MinFunc(candidates, func(a, b string) int {
		return cmp.Compare(r.env.controllersBetween(a), r.env.controllersBetween(b))
	})
}

// peerContactLimit is how long another controller counts as in contact after its last heartbeat: an eighth of the
// workers' lease.
func (e *environment) peerContactLimit() time.Duration { return e.cfg.WorkerLease() / 8 }

// hasRecentHeartbeat reports whether the controller is in contact with the leader: its last heartbeat is younger than
// peerContactLimit.
func (r *heartbeatRouter) hasRecentHeartbeat(p *peer) bool {
	return p.lastHeartbeatAt > 0 && r.env.now < p.lastHeartbeatAt+r.env.peerContactLimit()
}

// recordForwardedBy records which controller forwarded a heartbeat. Controllers of older versions don't send their
// label; such a heartbeat is attributed to the other controller of the worker's zone if there is exactly one.
func (r *heartbeatRouter) recordForwardedBy(label, zone string) {
	p := r.peers[label]
	if label == "" {
		p = r.onlyPeerIn(zone)
	}
	if p != nil {
		p.route.recordForwarded(r.env.now)
	}
}

// onlyPeerIn returns the other controller of the zone if there is exactly one, and nil otherwise.
func (r *heartbeatRouter) onlyPeerIn(zone string) *peer {
	var only *peer
	for _, p := range r.peers {
		if p.zone != zone {
			continue
		}
		if only != nil {
			return nil
		}
		only = p
	}
	return only
}

// controllersBetween is the number of controllers that a worker tries until it reaches the next controller of the same
// zone, if the controller with the label ends. Workers try the controllers in the order of their labels, and each
// unreachable controller costs 4 s of the worker's lease.
func (e *environment) controllersBetween(label string) int {
	type controller struct{ label, zone string }
	controllers := []controller{{e.cfg.Label, e.cfg.Zone}}
	for _, sibling := range e.cfg.Siblings {
		controllers = append(controllers, controller{sibling.Label, sibling.Zone})
	}
	slices.SortFunc(controllers, func(a, b controller) int {
		return cmp.Or(cmp.Compare(len(a.label), len(b.label)), cmp.Compare(a.label, b.label))
	})
	position := slices.IndexFunc(controllers, func(c controller) bool { return c.label == label })
	for i := 1; i < len(controllers); i++ {
		if controllers[(position+i)%len(controllers)].zone == controllers[position].zone {
			return i
		}
	}
	return len(controllers)
}
