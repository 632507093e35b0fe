package controller

import (
	"cmp"
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// heartbeatRouter decides which controller each worker sends its heartbeats to.
type heartbeatRouter struct {
	detection *failureDetection
	env       *environment
	lease     *leaderLease
	peers     map[string]*peer

	assignments assignments
}

// Workers report to a controller of their own zone, which forwards the reports to
// the leader, so that none has to look for it when the zone is cut off. A controller
// that is in touch with the leader may still be out of reach of the workers. So the
// leader first sends it a single one, and more only while reports come by it: a
// leader that had stepped down for want of a way to the workers was once sent all
// the workers of its zone, who waited 4 s for it each time, and their tasks were
// moved or lost.

// How long a worker waits for the answer to a report, and until it tries the
// next controller.
const (
	heartbeatTimeout    = 4 * time.Second
	heartbeatRetryPause = time.Second
)

// heartbeatRoute is what a leader knows of the way of reports by another controller.
type heartbeatRoute struct {
	// forwarded is when a report last came by it.
	forwarded time.Duration
	// nextProbe is when a worker may be sent there though no reports come by it;
	// failures counts the workers in a row that came back.
	nextProbe time.Duration
	failures  int
}

// maxBackoffDoublings bounds the doublings of the time between two trials.
const maxBackoffDoublings = 5

// noteForwarded notes that a worker's report came by the controller.
func (r *heartbeatRoute) noteForwarded(now time.Duration) {
	r.forwarded, r.failures = now, 0
}

// noteReturn notes that a worker came back from the controller. Reports of others
// prove at once that it was the worker's own trouble.
func (r *heartbeatRoute) noteReturn(now, lease time.Duration) {
	if r.forwarded < now {
		r.forwarded = 0
	}
	r.nextProbe = max(r.nextProbe, now+lease/2<<min(r.failures, maxBackoffDoublings))
	r.failures++
}

// accepts says whether a worker may be sent there now. Unless reports come by it, that
// is a trial, and the next one has to wait for the outcome.
func (r *heartbeatRoute) accepts(now, report time.Duration) bool {
	if r.forwarded > 0 && now < r.forwarded+3*report {
		return true
	}
	if now < r.nextProbe {
		return false
	}
	r.nextProbe = now + heartbeatTimeout + heartbeatRetryPause
	return true
}

// redirectTarget names the controller that the worker is to report to: one of its own
// zone that is in touch with us, or none. A worker that comes back from there
// can't reach it, and is left alone for a while.
func (r *heartbeatRouter) redirectTarget(m *clusterstate.Machine, msg *protocol.WorkerHeartbeat, from requester) string {
	if r.detection.enabled() {
		return r.assignedRedirect(m, msg, from)
	}
	if from.relayed || m.Zone == r.env.cfg.Zone || m.Zone == "" || msg.Token != r.lease.token || r.env.now < r.lease.electedAt+r.env.cfg.Lease()/2 {
		return ""
	}
	to := r.nearestController(m.Zone)
	if to == "" {
		return ""
	}
	p := r.peers[to]
	// One that has ended since is no reason: on a day of restarts one after the
	// other the workers of a zone were left with the leader, and lost in a cut.
	// As its end may not be known yet, the first time counts for little.
	if m.RedirectedProcess != p.incarnation {
		m.FailedRedirects = 0
	} else if m.RedirectedAt > 0 {
		r.onWorkerReturned(m, &p.route)
		return ""
	}
	if r.env.now < m.NoRedirectUntil || !p.route.accepts(r.env.now, r.env.cfg.Report()) {
		return ""
	}
	m.RedirectedAt, m.RedirectedProcess = r.env.now, p.incarnation
	return to
}

// onWorkerReturned notes that a worker reports to us again though it was sent to another
// controller.
func (r *heartbeatRouter) onWorkerReturned(m *clusterstate.Machine, way *heartbeatRoute) {
	if r.env.now > m.RedirectedAt+3*r.env.cfg.Lease() {
		m.FailedRedirects = 0 // it was there for long
	}
	m.NoRedirectUntil = r.env.now + r.env.cfg.Lease()/2<<min(m.FailedRedirects, maxBackoffDoublings)
	m.FailedRedirects++
	m.RedirectedAt = 0
	way.noteReturn(r.env.now, r.env.cfg.Lease())
}

// nearestController is the controller of a zone that is in touch with us, if any: of several
// the one whose next neighbour of the same zone is tried soonest after it.
func (r *heartbeatRouter) nearestController(zone string) string {
	var near []string
	for _, s := range r.env.cfg.Siblings {
		asked := r.peers[s.Label].lastHeard
		if s.Zone == zone && asked > 0 && r.env.now < asked+r.env.cfg.Lease()/8 {
			near = append(near, s.Label)
		}
	}
	if len(near) == 0 {
		return ""
	}
	return slices.MinFunc(near, func(a, b string) int {
		return cmp.Compare(r.env.controllersBetween(a), r.env.controllersBetween(b))
	})
}

// noteForwardedBy notes by which controller a report came. Older versions don't tell:
// then it is the zone's, if it has only one.
func (r *heartbeatRouter) noteForwardedBy(label, zone string) {
	p := r.peers[label]
	if label == "" {
		p = r.onlyPeerIn(zone)
	}
	if p != nil {
		p.route.noteForwarded(r.env.now)
	}
}

// onlyPeerIn is the single other controller of a zone, or nil.
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

// controllersBetween is how many controllers a worker tries between this one and the next of
// the same zone, should it end: they go through them in turn, and each that is
// cut off costs 4 s of a lease.
func (e *environment) controllersBetween(label string) int {
	type node struct{ label, zone string }
	all := []node{{e.cfg.Label, e.cfg.Zone}}
	for _, s := range e.cfg.Siblings {
		all = append(all, node{s.Label, s.Zone})
	}
	slices.SortFunc(all, func(a, b node) int {
		return cmp.Or(cmp.Compare(len(a.label), len(b.label)), cmp.Compare(a.label, b.label))
	})
	at := slices.IndexFunc(all, func(n node) bool { return n.label == label })
	for i := 1; i < len(all); i++ {
		if all[(at+i)%len(all)].zone == all[at].zone {
			return i
		}
	}
	return len(all)
}
