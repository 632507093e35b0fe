package controller

import (
	"time"

	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// A follower that suspects the leader prepares to succeed it: it takes a lease and reads the
// records ahead. It campaigns only once the state service no longer has the leader's key, which
// nobody's suspicion brings about. What it read ahead is checked after the election against
// all that has changed since, so that the former leader's last writes are never missed.

// failoverPreparer prepares a follower to succeed a suspected leader: it acquires a lease and preloads the
// stored records ahead of the election.
type failoverPreparer struct {
	controller *Controller
	detection  *failureDetection
	election   *election
	env        *environment
	outbox     *outbox

	preparation failoverPreparation
}

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

// beginFailover begins to note what becomes of a take-over.
func (p *failoverPreparer) beginFailover(token uint64) *Failover {
	s := &p.preparation
	h := &Failover{Token: token, Former: s.formerLeader, Suspected: s.suspectedAt, LeaderKeyGone: p.election.leaderKeys.leaderlessSince, Elected: p.env.now}
	s.suspectedAt, s.formerLeader = 0, p.env.cfg.Label
	return h
}
