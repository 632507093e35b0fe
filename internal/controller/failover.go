package controller

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

// failoverPreparation is what a follower does ahead of an election.
type failoverPreparation struct {
	suspectedAt  time.Duration // when the leader was; 0: it is not
	formerLeader string        // who led last
	preload      *recordPreload
}

// Ratios of the succession.
const (
	// candidateSpacing of the leader's lease lie between two candidates' campaigns.
	candidateSpacing = 10
	// preparingCandidates is how many candidates prepare: the first, and one more should it be gone too.
	preparingCandidates = 2
	// preloadMemoryShare is the part of the memory that records read ahead may take, counted as
	// they came.
	preloadMemoryShare = 16
	// preloadReserve of the burst of requests is left to others while records are read ahead.
	preloadReserve = 0.5
)

// successorRank is this controller's place among those who may follow a leader.
func (e *election) successorRank(former string) int {
	return membership.Rank(e.env.cfg.Label, e.leaderKeys.counter, e.detection.detector.Successors(former))
}

// mayCampaign says whether it is this candidate's turn: the first by rank at once, the others one
// after the other, as a rush of all costs the state service's requests and gains nothing.
func (e *election) mayCampaign() bool {
	if !e.detection.enabled() {
		return true
	}
	apart := e.env.cfg.LeaderTTL() / candidateSpacing
	return e.env.now >= e.leaderKeys.leaderlessSince+time.Duration(e.successorRank(e.preparer.preparation.formerLeader))*apart
}

// prepareFailover prepares while the leader is suspected, and drops what was prepared once it is not.
func (p *failoverPreparer) prepareFailover() {
	s := &p.preparation
	if !p.detection.enabled() || p.controller.leadership != nil {
		return
	}
	if p.election.leaderKeys.leader != nil {
		s.formerLeader = p.election.leaderKeys.leader.Label
	}
	leader := p.election.leaderKeys.leader
	if leader == nil {
		return // the election is on
	}
	if leader.Label == p.env.cfg.Label || p.detection.peerState(leader.Label) == membership.Alive || p.election.backsOffElection() {
		s.suspectedAt, s.preload = 0, nil
		return
	}
	if !p.election.leaderKeys.known {
		return // what was prepared stays: the keys are looked at anew now and then
	}
	if s.suspectedAt == 0 {
		s.suspectedAt = p.env.now
	}
	if p.election.successorRank(leader.Label) < preparingCandidates {
		p.election.maintainCandidateLease()
		p.preloadNextPage(leader.Token)
	}
}

// maintainCandidateLease has a lease at hand, so that an election is one transaction.
func (e *election) maintainCandidateLease() {
	if e.candidate == nil {
		e.candidate = &candidate{}
	}
	candidate := e.candidate
	ttl := e.env.cfg.LeaderTTL()
	switch {
	case candidate.inFlight || e.env.now < candidate.nextAt || !e.outbox.stateRequests.Has(e.env.now, 1):
	case candidate.leaseID == 0 || e.env.now > candidate.leaseAskedAt+ttl*2/3:
		e.acquireLease(candidate, func() {})
	case e.env.now > candidate.leaseAskedAt+ttl/3:
		e.renewCandidateLease(candidate)
	}
}

// acquireLease asks for the candidate's lease.
func (e *election) acquireLease(candidate *candidate, then func()) {
	candidate.inFlight = true
	sent, ttl := e.env.now, e.env.cfg.LeaderTTL()
	e.outbox.stateCall("POST", "/leases", protocol.LeaseRequest{TTLMillis: ttl.Milliseconds()}, ttl/2, func(r Result) {
		candidate.inFlight = false
		var lease protocol.LeaseReply
		if r.Status != 200 || protocol.Decode(r.Body, &lease) != nil {
			candidate.nextAt = e.env.now + e.env.retryPause()
			return
		}
		candidate.leaseID, candidate.leaseAskedAt = lease.Lease, sent
		then()
	})
}

// renewCandidateLease renews the candidate's lease before an election.
func (e *election) renewCandidateLease(candidate *candidate) {
	candidate.inFlight = true
	sent, ttl := e.env.now, e.env.cfg.LeaderTTL()
	e.outbox.stateCall("POST", fmt.Sprintf("/leases/%d/extend", candidate.leaseID), nil, ttl/2, func(r Result) {
		candidate.inFlight = false
		switch r.Status {
		case 200:
			candidate.leaseAskedAt = sent
		case 404:
			candidate.leaseID = 0
		default:
			candidate.nextAt = e.env.now + e.env.retryPause()
		}
	})
}

// recordPreload is the records of a leader that is suspected, as they were at some revision.
type recordPreload struct {
	token uint64 // of that leader
	// order are the prefixes to be read, steps what was read of the first of them.
	order    []string
	prefixes []preloadedPrefix
	after    string
	bytes    int
	inFlight bool
	finished bool // all is read, or it was given up
}

// preloadedPrefix is the records under one prefix.
type preloadedPrefix struct {
	items []protocol.Item
	// revision is that of the first page: what has changed after it is asked for.
	revision uint64
	complete bool
}

// recordsPerPage is how many records a page has. A prefix with fewer is read after the election:
// that takes one request, as to ask what has changed does.
const recordsPerPage = 1000

// preloadNextPage reads the next page, where the budget allows.
func (p *failoverPreparer) preloadNextPage(token uint64) {
	s := &p.preparation
	if s.preload == nil || s.preload.token != token {
		order := loadOrder(p.election.leaderKeys.record.storageVersion())
		s.preload = &recordPreload{token: token, order: order, prefixes: make([]preloadedPrefix, 1, len(order))}
	}
	a := s.preload
	if a.finished || a.inFlight || !p.outbox.stateRequests.Has(p.env.now, 1+preloadReserve*p.outbox.stateRequests.Burst()) {
		return
	}
	a.inFlight = true
	prefix := a.order[len(a.prefixes)-1]
	p.outbox.stateCall("GET", listPath(prefix, a.after), nil, p.env.cfg.LeaderTTL(), func(res Result) {
		a.inFlight = false
		if s.preload != a || a.finished {
			return
		}
		var items protocol.Items
		if res.Status != 200 || protocol.Decode(res.Body, &items) != nil {
			a.finished = true
			return
		}
		a.bytes += len(res.Body)
		a.addPage(items)
		if a.bytes > int(p.env.cfg.Cluster.Resources.MemMB*(1<<20))/preloadMemoryShare {
			a.finished = true
		}
		if p.election.leaderKeys.leader != nil && p.controller.leadership == nil {
			p.preloadNextPage(token)
		}
	})
}

// addPage adds a page.
func (p *recordPreload) addPage(items protocol.Items) {
	step := &p.prefixes[len(p.prefixes)-1]
	if p.after == "" {
		step.revision = items.Revision
	}
	step.items = append(step.items, items.Items...)
	if items.More && len(items.Items) > 0 {
		p.after = items.Items[len(items.Items)-1].Key
		return
	}
	step.complete = true
	if len(step.items) < recordsPerPage {
		step.items, step.complete = nil, false
	}
	if len(p.prefixes) == len(p.order) {
		p.finished = true
		return
	}
	p.after = ""
	p.prefixes = append(p.prefixes, preloadedPrefix{})
}

// recordsUnder returns what was read ahead under a prefix; nil: it has to be read whole.
func (p *recordPreload) recordsUnder(prefix string) *preloadedPrefix {
	if p == nil {
		return nil
	}
	number := slices.Index(p.order, prefix)
	if number < 0 || number >= len(p.prefixes) || !p.prefixes[number].complete {
		return nil
	}
	return &p.prefixes[number]
}

// catchUp brings records that were read ahead to what the state service has now.
func (p *preloadedPrefix) catchUp(events []protocol.Event) []protocol.Item {
	current := make(map[string]protocol.Item, len(p.items))
	for _, it := range p.items {
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

// loadPreloaded loads a step from what was read ahead and all that has changed since. It is asked
// for after the election, when nothing of earlier leaders can be added any more.
func (l *leadership) loadPreloaded(number int, prefix string, step *preloadedPrefix) {
	path := fmt.Sprintf("/follow?under=%s&after=%d&blockMs=0", prefix, step.revision)
	l.controller.outbox.stateCall("GET", path, nil, l.controller.env.cfg.LeaderTTL(), func(res Result) {
		if l.ended {
			return
		}
		var events protocol.Events
		if res.Status != 200 || protocol.Decode(res.Body, &events) != nil {
			l.preload = nil // too much has changed, say: all is read anew
			l.loadPage(number, "")
			return
		}
		items := step.catchUp(events.Events)
		l.failover.Preloaded += len(step.items)
		l.loadRecords(items)
		l.loadPage(number+1, "")
	})
}

// beginFailover begins to note what becomes of a take-over.
func (p *failoverPreparer) beginFailover(token uint64) *Failover {
	s := &p.preparation
	h := &Failover{Token: token, Former: s.formerLeader, Suspected: s.suspectedAt, LeaderKeyGone: p.election.leaderKeys.leaderlessSince, Elected: p.env.now}
	s.suspectedAt, s.formerLeader = 0, p.env.cfg.Label
	return h
}

// noteStateLoaded notes that the records are read.
func (l *leadership) noteStateLoaded() {
	h := l.failover
	h.Loaded, h.Jobs, h.Machines = l.controller.env.now, len(l.state.Jobs), len(l.state.Machines)
	l.preload = nil
}

// noteFirstPlacement notes the first start of the term, which ends the handover.
func (l *leadership) noteFirstPlacement() {
	if h := l.failover; h != nil && h.FirstPlacement == 0 {
		h.FirstPlacement = l.controller.env.now
		l.finishFailover()
	}
}

// finishFailover tells of it once.
func (l *leadership) finishFailover() {
	h := l.failover
	args := []any{"token", h.Token, "former", h.Former, "read_ahead", h.Preloaded}
	for _, step := range h.Steps() {
		args = append(args, step.Name+"_s", (step.To - step.From).Seconds())
	}
	l.controller.env.log.Info("handed over", args...)
	l.controller.env.observer.FailedOver(*h)
	l.failover = nil
}

// expireFailover gives up waiting for a first placement.
func (l *leadership) expireFailover() {
	if h := l.failover; h != nil && h.Loaded > 0 && l.controller.env.now > h.Loaded+l.controller.env.cfg.Lease() {
		l.finishFailover()
	}
}
