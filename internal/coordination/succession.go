package coordination

import (
	"fmt"
	"slices"
	"time"

	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// A follower that suspects the leader prepares to succeed it: it takes a lease and reads the
// records ahead. It campaigns only once the state service no longer has the leader's key, which
// nobody's suspicion brings about. What it read ahead is checked after the election against
// all that has changed since, so that the former leader's last writes are never missed.

// succession is what a follower does ahead of an election.
type succession struct {
	suspected time.Duration // when the leader was; 0: it is not
	former    string        // who led last
	ahead     *readAhead
}

// Ratios of the succession.
const (
	// candidatesApart of the leader's lease lie between two candidates' campaigns.
	candidatesApart = 10
	// preparing is how many candidates prepare: the first, and one more should it be gone too.
	preparing = 2
	// aheadMemoryShare is the part of the memory that records read ahead may take, counted as
	// they came.
	aheadMemoryShare = 16
	// aheadReserve of the burst of requests is left to others while records are read ahead.
	aheadReserve = 0.5
)

// rank is this controller's place among those who may follow a leader.
func (c *Core) rank(former string) int {
	return membership.Rank(c.cfg.Label, c.view.counter, c.membership.detector.Successors(former))
}

// mayCampaign says whether it is this candidate's turn: the first by rank at once, the others one
// after the other, as a rush of all costs the state service's requests and gains nothing.
func (c *Core) mayCampaign() bool {
	if !c.membership.enabled() {
		return true
	}
	apart := c.cfg.LeaderTTL() / candidatesApart
	return c.now >= c.view.leaderless+time.Duration(c.rank(c.succession.former))*apart
}

// keepSuccession prepares while the leader is suspected, and drops what was prepared once it is not.
func (c *Core) keepSuccession() {
	s := &c.succession
	if !c.membership.enabled() || c.term != nil {
		return
	}
	if c.view.leader != nil {
		s.former = c.view.leader.Label
	}
	leader := c.view.leader
	if leader == nil {
		return // the election is on
	}
	if leader.Label == c.cfg.Label || c.stateOf(leader.Label) == membership.Alive || c.standsBack() {
		s.suspected, s.ahead = 0, nil
		return
	}
	if !c.view.known {
		return // what was prepared stays: the keys are looked at anew now and then
	}
	if s.suspected == 0 {
		s.suspected = c.now
	}
	if c.rank(leader.Label) < preparing {
		c.keepCandidateLease()
		c.keepReadingAhead(leader.Token)
	}
}

// keepCandidateLease has a lease at hand, so that an election is one transaction.
func (c *Core) keepCandidateLease() {
	if c.candidacy == nil {
		c.candidacy = &candidacy{}
	}
	h := c.candidacy
	ttl := c.cfg.LeaderTTL()
	switch {
	case h.busy || c.now < h.next || !c.requests.Has(c.now, 1):
	case h.lease == 0 || c.now > h.sent+ttl*2/3:
		c.openLease(h, func() {})
	case c.now > h.sent+ttl/3:
		c.extendLease(h)
	}
}

// openLease asks for the candidate's lease.
func (c *Core) openLease(h *candidacy, then func()) {
	h.busy = true
	sent, ttl := c.now, c.cfg.LeaderTTL()
	c.stateCall("POST", "/leases", protocol.LeaseRequest{TTLMillis: ttl.Milliseconds()}, ttl/2, func(r Result) {
		h.busy = false
		var lease protocol.LeaseReply
		if r.Status != 200 || protocol.Decode(r.Body, &lease) != nil {
			h.next = c.now + c.pause()
			return
		}
		h.lease, h.sent = lease.Lease, sent
		then()
	})
}

// extendLease renews the candidate's lease before an election.
func (c *Core) extendLease(h *candidacy) {
	h.busy = true
	sent, ttl := c.now, c.cfg.LeaderTTL()
	c.stateCall("POST", fmt.Sprintf("/leases/%d/extend", h.lease), nil, ttl/2, func(r Result) {
		h.busy = false
		switch r.Status {
		case 200:
			h.sent = sent
		case 404:
			h.lease = 0
		default:
			h.next = c.now + c.pause()
		}
	})
}

// readAhead is the records of a leader that is suspected, as they were at some revision.
type readAhead struct {
	token uint64 // of that leader
	// order are the prefixes to be read, steps what was read of the first of them.
	order []string
	steps []aheadStep
	after string
	bytes int
	busy  bool
	over  bool // all is read, or it was given up
}

// aheadStep is the records under one prefix.
type aheadStep struct {
	items []protocol.Item
	// revision is that of the first page: what has changed after it is asked for.
	revision uint64
	complete bool
}

// aheadPage is how many records a page has. A prefix with fewer is read after the election:
// that takes one request, as to ask what has changed does.
const aheadPage = 1000

// keepReadingAhead reads the next page, where the budget allows.
func (c *Core) keepReadingAhead(token uint64) {
	s := &c.succession
	if s.ahead == nil || s.ahead.token != token {
		order := loadOrder(c.view.record.form())
		s.ahead = &readAhead{token: token, order: order, steps: make([]aheadStep, 1, len(order))}
	}
	a := s.ahead
	if a.over || a.busy || !c.requests.Has(c.now, 1+aheadReserve*c.requests.Burst()) {
		return
	}
	a.busy = true
	prefix := a.order[len(a.steps)-1]
	c.stateCall("GET", listPath(prefix, a.after), nil, c.cfg.LeaderTTL(), func(res Result) {
		a.busy = false
		if s.ahead != a || a.over {
			return
		}
		var items protocol.Items
		if res.Status != 200 || protocol.Decode(res.Body, &items) != nil {
			a.over = true
			return
		}
		a.bytes += len(res.Body)
		a.take(items)
		if a.bytes > int(c.cfg.Cluster.Resources.MemMB*(1<<20))/aheadMemoryShare {
			a.over = true
		}
		if c.view.leader != nil && c.term == nil {
			c.keepReadingAhead(token)
		}
	})
}

// take adds a page.
func (a *readAhead) take(items protocol.Items) {
	step := &a.steps[len(a.steps)-1]
	if a.after == "" {
		step.revision = items.Revision
	}
	step.items = append(step.items, items.Items...)
	if items.More && len(items.Items) > 0 {
		a.after = items.Items[len(items.Items)-1].Key
		return
	}
	step.complete = true
	if len(step.items) < aheadPage {
		step.items, step.complete = nil, false
	}
	if len(a.steps) == len(a.order) {
		a.over = true
		return
	}
	a.after = ""
	a.steps = append(a.steps, aheadStep{})
}

// step returns what was read ahead under a prefix; nil: it has to be read whole.
func (a *readAhead) step(prefix string) *aheadStep {
	if a == nil {
		return nil
	}
	number := slices.Index(a.order, prefix)
	if number < 0 || number >= len(a.steps) || !a.steps[number].complete {
		return nil
	}
	return &a.steps[number]
}

// catchUp brings records that were read ahead to what the state service has now.
func (s *aheadStep) catchUp(events []protocol.Event) []protocol.Item {
	current := make(map[string]protocol.Item, len(s.items))
	for _, it := range s.items {
		current[it.Key] = it
	}
	for _, e := range events {
		if e.Delete != "" {
			delete(current, e.Delete)
		} else {
			current[e.Put] = protocol.Item{Key: e.Put, Value: e.Value, Version: e.Version}
		}
	}
	out := make([]protocol.Item, 0, len(current))
	for _, key := range sortedKeys(current) {
		out = append(out, current[key])
	}
	return out
}

// loadAhead loads a step from what was read ahead and all that has changed since. It is asked
// for after the election, when nothing of earlier leaders can be added any more.
func (r *term) loadAhead(number int, prefix string, step *aheadStep) {
	c := r.c
	path := fmt.Sprintf("/follow?under=%s&after=%d&blockMs=0", prefix, step.revision)
	c.stateCall("GET", path, nil, c.cfg.LeaderTTL(), func(res Result) {
		if c.term != r {
			return
		}
		var events protocol.Events
		if res.Status != 200 || protocol.Decode(res.Body, &events) != nil {
			r.ahead = nil // too much has changed, say: all is read anew
			r.loadPage(number, "")
			return
		}
		items := step.catchUp(events.Events)
		r.handover.ReadAhead += len(step.items)
		r.loadItems(items)
		r.loadPage(number+1, "")
	})
}

// startHandover begins to note what becomes of a take-over.
func (c *Core) startHandover(token uint64) *Handover {
	s := &c.succession
	h := &Handover{Token: token, Former: s.former, Suspected: s.suspected, Gone: c.view.leaderless, Elected: c.now}
	s.suspected, s.former = 0, c.cfg.Label
	return h
}

// noteLoaded notes that the records are read.
func (r *term) noteLoaded() {
	h := r.handover
	h.Loaded, h.Jobs, h.Machines = r.c.now, len(r.Jobs), len(r.Machines)
	r.ahead = nil
}

// notePlaced notes the first start of the term, which ends the handover.
func (r *term) notePlaced() {
	if h := r.handover; h != nil && h.Placed == 0 {
		h.Placed = r.c.now
		r.endHandover()
	}
}

// endHandover tells of it once.
func (r *term) endHandover() {
	h := r.handover
	args := []any{"token", h.Token, "former", h.Former, "read_ahead", h.ReadAhead}
	for _, step := range h.Steps() {
		args = append(args, step.Name+"_s", (step.To - step.From).Seconds())
	}
	r.c.log.Info("handed over", args...)
	r.c.observer.HandedOver(*h)
	r.handover = nil
}

// keepHandover gives up waiting for a first placement.
func (r *term) keepHandover() {
	if h := r.handover; h != nil && h.Loaded > 0 && r.c.now > h.Loaded+r.c.cfg.Lease() {
		r.endHandover()
	}
}
