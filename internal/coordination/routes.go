package coordination

import (
	"cmp"
	"slices"
	"time"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
)

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
	reportWait  = 4 * time.Second
	reportPause = time.Second
)

// route is what a leader knows of the way of reports by another controller.
type route struct {
	// forwarded is when a report last came by it.
	forwarded time.Duration
	// nextTrial is when a worker may be sent there though no reports come by it;
	// failures counts the workers in a row that came back.
	nextTrial time.Duration
	failures  int
}

// mostTrialDelay bounds the doublings of the time between two trials.
const mostTrialDelay = 5

// noteForwarded notes that a worker's report came by the controller.
func (rt *route) noteForwarded(now time.Duration) {
	rt.forwarded, rt.failures = now, 0
}

// noteReturn notes that a worker came back from the controller. Reports of others
// prove at once that it was the worker's own trouble.
func (rt *route) noteReturn(now, lease time.Duration) {
	if rt.forwarded < now {
		rt.forwarded = 0
	}
	rt.nextTrial = max(rt.nextTrial, now+lease/2<<min(rt.failures, mostTrialDelay))
	rt.failures++
}

// takes says whether a worker may be sent there now. Unless reports come by it, that
// is a trial, and the next one has to wait for the outcome.
func (rt *route) takes(now, report time.Duration) bool {
	if rt.forwarded > 0 && now < rt.forwarded+3*report {
		return true
	}
	if now < rt.nextTrial {
		return false
	}
	rt.nextTrial = now + reportWait + reportPause
	return true
}

// reportTarget names the controller that the worker is to report to: one of its own
// zone that is in touch with us, or none. A worker that comes back from there
// can't reach it, and is left alone for a while.
func (r *term) reportTarget(m *ledger.Machine, msg *protocol.Report, from requester) string {
	c := r.c
	if c.membership.enabled() {
		return r.assignedTarget(m, msg, from)
	}
	if from.relay || m.Zone == c.cfg.Zone || m.Zone == "" || msg.Token != r.token || c.now < r.since+c.cfg.Lease()/2 {
		return ""
	}
	to := r.nearest(m.Zone)
	if to == "" {
		return ""
	}
	p := r.peers[to]
	// One that has ended since is no reason: on a day of restarts one after the
	// other the workers of a zone were left with the leader, and lost in a cut.
	// As its end may not be known yet, the first time counts for little.
	if m.SentTo != p.incarnation {
		m.Bounces = 0
	} else if m.SentAway > 0 {
		r.returned(m, &p.route)
		return ""
	}
	if c.now < m.DirectUntil || !p.route.takes(c.now, c.cfg.Report()) {
		return ""
	}
	m.SentAway, m.SentTo = c.now, p.incarnation
	return to
}

// returned notes that a worker reports to us again though it was sent to another
// controller.
func (r *term) returned(m *ledger.Machine, way *route) {
	c := r.c
	if c.now > m.SentAway+3*c.cfg.Lease() {
		m.Bounces = 0 // it was there for long
	}
	m.DirectUntil = c.now + c.cfg.Lease()/2<<min(m.Bounces, mostTrialDelay)
	m.Bounces++
	m.SentAway = 0
	way.noteReturn(c.now, c.cfg.Lease())
}

// nearest is the controller of a zone that is in touch with us, if any: of several
// the one whose next neighbour of the same zone is tried soonest after it.
func (r *term) nearest(zone string) string {
	c := r.c
	var near []string
	for _, s := range c.cfg.Siblings {
		asked := r.peers[s.Label].asked
		if s.Zone == zone && asked > 0 && c.now < asked+c.cfg.Lease()/8 {
			near = append(near, s.Label)
		}
	}
	if len(near) == 0 {
		return ""
	}
	return slices.MinFunc(near, func(a, b string) int { return cmp.Compare(c.controllersBetween(a), c.controllersBetween(b)) })
}

// forwardedBy notes by which controller a report came. Older versions don't tell:
// then it is the zone's, if it has only one.
func (r *term) forwardedBy(label, zone string) {
	p := r.peers[label]
	if label == "" {
		p = r.onlyPeerOf(zone)
	}
	if p != nil {
		p.route.noteForwarded(r.c.now)
	}
}

// onlyPeerOf is the single other controller of a zone, or nil.
func (r *term) onlyPeerOf(zone string) *peer {
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
func (c *Core) controllersBetween(label string) int {
	type node struct{ label, zone string }
	all := []node{{c.cfg.Label, c.cfg.Zone}}
	for _, s := range c.cfg.Siblings {
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
