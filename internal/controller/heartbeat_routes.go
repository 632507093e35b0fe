package controller

import (
	"cmp"
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// Workers send their heartbeats to a controller of their own zone, which forwards them to the leader, so that
// no worker has to look for a controller when the zone is partitioned. A controller that is in contact with the
// leader may still be unreachable for the workers. So the leader first redirects a single worker to it, and
// more only while heartbeats come by it: a leader that had stepped down because it could not reach the workers
// was once sent all the workers of its zone, who waited 4 s for it each time, and their tasks were moved or
// lost.
//
// Without failure detection this file decides alone. With it, heartbeat_assignment.go names the controller, and
// the routes here say whether a worker may be redirected to it now.

// heartbeatRouter decides which controller each worker sends its heartbeats to.
//
// It owns the assignments of machines to controllers; the routes by the other controllers are kept with its
// peers, and a machine's own redirects with the machine. All of them end with the leadership: the next leader
// tries each route anew.
type heartbeatRouter struct {
	detection *failureDetection
	env       *environment
	lease     *leaderLease
	peers     map[string]*peer

	assignments assignments
}

// The worker's side of a heartbeat.
const (
	// heartbeatTimeout is how long a worker waits for the reply to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// heartbeatRetryPause is how long it then waits before it tries the next controller.
	heartbeatRetryPause = time.Second
)

const (
	// maxBackoffDoublings bounds the doublings of the time between two trials of a route.
	maxBackoffDoublings = 5
	// routeFreshHeartbeats is for how many heartbeat intervals a forwarded heartbeat shows that a route works.
	routeFreshHeartbeats = 3
	// settledLeases is after how many leases a worker that comes back from a controller is taken to have been
	// served there: its return is then no sign against the route.
	settledLeases = 3
)

// heartbeatRoute is what a leader knows of the workers' route to it by one controller.
type heartbeatRoute struct {
	// lastForwardedAt is when a heartbeat last came by it; 0: none since a worker came back from there.
	lastForwardedAt time.Duration
	// nextProbeAt is when a worker may be redirected there though no heartbeats come by it; failures counts
	// the workers in a row that came back.
	nextProbeAt time.Duration
	failures    int
}

// noteForwarded notes that a worker's heartbeat came by the controller.
func (r *heartbeatRoute) noteForwarded(now time.Duration) {
	r.lastForwardedAt, r.failures = now, 0
}

// noteReturn notes that a worker came back from the controller. A heartbeat of another worker that comes by it
// right now proves that the fault was the worker's own.
func (r *heartbeatRoute) noteReturn(now, lease time.Duration) {
	if r.lastForwardedAt < now {
		r.lastForwardedAt = 0
	}
	r.nextProbeAt = max(r.nextProbeAt, now+redirectBackoff(lease, r.failures))
	r.failures++
}

// accepts reports whether a worker may be redirected there now. Unless heartbeats come by it that is a trial,
// and the next trial has to wait for its outcome.
func (r *heartbeatRoute) accepts(now, heartbeatInterval time.Duration) bool {
	if r.lastForwardedAt > 0 && now < r.lastForwardedAt+routeFreshHeartbeats*heartbeatInterval {
		return true
	}
	if now < r.nextProbeAt {
		return false
	}
	r.nextProbeAt = now + heartbeatTimeout + heartbeatRetryPause
	return true
}

// redirectBackoff is how long nothing is redirected after a number of failures in a row: half a lease after the
// first, and twice as long after each further one.
func redirectBackoff(lease time.Duration, failures int) time.Duration {
	return lease / 2 << min(failures, maxBackoffDoublings)
}

// redirectTarget names the controller that the worker is to send its heartbeats to: one of its own zone that is
// in contact with the leader. It is empty if the worker stays where it is. A worker that comes back from there
// can't reach it, and is left alone for a while.
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
	// A redirect to an earlier process of the controller does not count: on a day of rolling restarts the
	// workers of a zone were left with the leader, and lost in a partition. As the end of a process may not be
	// known yet, the first return from one counts for little.
	if m.RedirectedProcess != p.incarnation {
		m.FailedRedirects = 0
	} else if m.RedirectedAt > 0 {
		r.onWorkerReturned(m, &p.route)
		return ""
	}
	if r.env.now < m.NoRedirectUntil || !p.route.accepts(r.env.now, r.env.cfg.WorkerHeartbeatInterval()) {
		return ""
	}
	m.RedirectedAt, m.RedirectedProcess = r.env.now, p.incarnation
	return label
}

// mayRedirect reports whether a worker may be redirected at all: its zone is known, it has the leader's token,
// and half a lease has passed since the election.
func (r *heartbeatRouter) mayRedirect(m *clusterstate.Machine, msg *protocol.WorkerHeartbeat) bool {
	return m.Zone != "" && msg.Token == r.lease.token && r.env.now >= r.lease.electedAt+r.env.cfg.WorkerLease()/2
}

// onWorkerReturned notes that a worker sends its heartbeats elsewhere though it was redirected to a controller.
func (r *heartbeatRouter) onWorkerReturned(m *clusterstate.Machine, route *heartbeatRoute) {
	lease := r.env.cfg.WorkerLease()
	if r.env.now > m.RedirectedAt+settledLeases*lease {
		m.FailedRedirects = 0
	}
	m.NoRedirectUntil = r.env.now + redirectBackoff(lease, m.FailedRedirects)
	m.FailedRedirects++
	m.RedirectedAt = 0
	route.noteReturn(r.env.now, lease)
}

// nearestController is the controller of a zone that is in contact with the leader, if any. Of several it is the
// one after which a worker tries the next controller of the same zone soonest.
func (r *heartbeatRouter) nearestController(zone string) string {
	var candidates []string
	for _, sibling := range r.env.cfg.Siblings {
		if sibling.Zone == zone && r.heardLately(r.peers[sibling.Label]) {
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

// peerContactLimit is how long after a heartbeat of another controller that one counts as in contact: an eighth of
// the workers' lease.
func (e *environment) peerContactLimit() time.Duration { return e.cfg.WorkerLease() / 8 }

// heardLately reports whether the controller is in contact with the leader.
func (r *heartbeatRouter) heardLately(p *peer) bool {
	return p.lastHeard > 0 && r.env.now < p.lastHeard+r.env.peerContactLimit()
}

// noteForwardedBy notes which controller forwarded a heartbeat. Older versions don't say which: then it is the
// controller of the worker's zone, if that has only one.
func (r *heartbeatRouter) noteForwardedBy(label, zone string) {
	p := r.peers[label]
	if label == "" {
		p = r.onlyPeerIn(zone)
	}
	if p != nil {
		p.route.noteForwarded(r.env.now)
	}
}

// onlyPeerIn is the single other controller of a zone, or nil if there are none or several.
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

// controllersBetween is how many controllers a worker tries from this one to the next of the same zone, should
// this one end. Workers try them in the order of their labels, and each that is unreachable costs 4 s of a
// lease.
func (e *environment) controllersBetween(label string) int {
	type controller struct{ label, zone string }
	all := []controller{{e.cfg.Label, e.cfg.Zone}}
	for _, sibling := range e.cfg.Siblings {
		all = append(all, controller{sibling.Label, sibling.Zone})
	}
	slices.SortFunc(all, func(a, b controller) int {
		return cmp.Or(cmp.Compare(len(a.label), len(b.label)), cmp.Compare(a.label, b.label))
	})
	at := slices.IndexFunc(all, func(c controller) bool { return c.label == label })
	for i := 1; i < len(all); i++ {
		if all[(at+i)%len(all)].zone == all[at].zone {
			return i
		}
	}
	return len(all)
}
