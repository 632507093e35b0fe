package controller

import (
	"fmt"
	"time"

	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// election watches the leader keys in the state service and campaigns when nobody leads.
type election struct {
	controller *Controller
	detection  *failureDetection
	env        *environment
	outbox     *outbox
	preparer   *failoverPreparer

	leaderKeys leaderKeys
	candidate  *candidate
	// electionBackoffUntil: until then, others are given the chance to lead.
	electionBackoffUntil time.Duration
}

// candidate is one try to become leader.
type candidate struct {
	leaseID      uint64
	leaseAskedAt time.Duration // when the lease was asked for
	nextAt       time.Duration
	inFlight     bool
}

// watchLeaderKeys keeps the leadership keys in sight: a list, then a watch after it.
func (e *election) watchLeaderKeys() {
	keys := &e.leaderKeys
	if e.controller.leadership == nil && keys.known && keys.leader == nil && !e.backsOffElection() && e.mayCampaign() && e.supportsStoredVersion() {
		e.campaign()
	}
	if keys.inFlight || e.env.now < keys.nextAt || e.controller.leadership != nil || !e.outbox.stateRequests.Has(e.env.now, 1) {
		return
	}
	keys.inFlight = true
	gen := keys.generation
	if !keys.known {
		e.outbox.stateCall("GET", "/store?under="+keyPrefix+"&limit=10", nil, e.env.cfg.LeaderTTL()/2, func(r Result) {
			if keys.generation != gen {
				return
			}
			keys.inFlight = false
			var items protocol.Items
			if r.Status != 200 || protocol.Decode(r.Body, &items) != nil {
				keys.nextAt = e.env.now + e.env.retryPause()
				if !keys.listFailureLogged {
					keys.listFailureLogged = true
					e.env.log.Info("listing the leader keys failed", "addr", e.env.cfg.Services.State, "status", r.Status)
				}
				return
			}
			keys.known, keys.revision, keys.listFailureLogged = true, items.Revision, false
			keys.clearKeys()
			for _, it := range items.Items {
				keys.applyKey(it.Key, it.Value, it.Version)
			}
			e.observeLeader()
			e.watchLeaderKeys()
		})
		return
	}
	block := 4 * e.env.cfg.LeaderTTL()
	path := fmt.Sprintf("/follow?under=%s&after=%d&blockMs=%d", keyPrefix, keys.revision, block.Milliseconds())
	e.outbox.stateCall("GET", path, nil, block+e.env.cfg.LeaderTTL(), func(r Result) {
		if keys.generation != gen {
			return
		}
		keys.inFlight = false
		var events protocol.Events
		if r.Status != 200 || protocol.Decode(r.Body, &events) != nil {
			keys.known, keys.nextAt = false, e.env.now+e.env.retryPause()
			return
		}
		keys.revision = events.Revision
		for _, event := range events.Events {
			if event.Delete != "" {
				keys.applyKey(event.Delete, nil, 0)
			} else {
				keys.applyKey(event.Put, event.Value, event.Version)
			}
		}
		e.observeLeader()
		e.watchLeaderKeys()
	})
}

// campaign tries to become leader: a lease, then one transaction that raises
// the counter and puts the leader key, if nobody did so meanwhile.
func (e *election) campaign() {
	if e.candidate == nil {
		e.candidate = &candidate{}
	}
	candidate := e.candidate
	if candidate.inFlight || e.env.now < candidate.nextAt || !e.outbox.stateRequests.Has(e.env.now, 1) {
		return
	}
	ttl := e.env.cfg.LeaderTTL()
	if candidate.leaseID == 0 || e.env.now > candidate.leaseAskedAt+ttl/2 {
		e.acquireLease(candidate, func() {
			if e.leaderKeys.known && e.leaderKeys.leader == nil && e.controller.leadership == nil {
				e.campaign()
			}
		})
		return
	}
	candidate.inFlight = true
	keys := &e.leaderKeys
	rec := leaderRecord{Label: e.env.cfg.Label, Incarnation: e.env.incarnation, Token: keys.counter + 1, LeaseID: candidate.leaseID}
	txn := keys.electionTxn(&rec)
	e.outbox.stateCall("POST", "/multi", txn, ttl/2, func(r Result) {
		candidate.inFlight = false
		if e.candidate != candidate || e.controller.leadership != nil {
			// The watch told of our own key before this answer came: a process
			// ended here by taking over twice.
			return
		}
		var reply protocol.TxnReply
		if r.Status == 200 && protocol.Decode(r.Body, &reply) == nil {
			keys.noteElectionWon(&rec, reply.Revision)
			e.controller.becomeLeader(&rec, reply.Revision)
			return
		}
		candidate.nextAt = e.env.now + e.env.retryPause()
		if r.Status == 400 {
			candidate.leaseID = 0 // it ran out before the transaction came
		}
		// Lost races and lost answers alike: look at the keys again. The watch
		// goes on, but a fresh list is needed before the next try.
		keys.refresh(e.env.now)
	})
}

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

// supportsStoredVersion says whether this version reads the records that are stored; one that does not
// leaves the leadership to those that do.
func (e *election) supportsStoredVersion() bool {
	keys := &e.leaderKeys
	if keys.record == nil || keys.record.storageVersion() <= newestStorageVersion {
		return true
	}
	if !keys.unsupportedLogged {
		keys.unsupportedLogged = true
		e.env.log.Error("stored records need a newer version, not campaigning",
			"stored", keys.record.StorageVersion, "reads", uint64(newestStorageVersion))
	}
	return false
}

// observeLeader looks at who leads by the keys.
func (e *election) observeLeader() {
	keys := &e.leaderKeys
	rec := keys.currentLeader()
	if rec == nil {
		if keys.leader != nil || keys.leaderlessSince == 0 {
			keys.leaderlessSince = e.env.now
		}
		keys.leader = nil
		return
	}
	if keys.loggedToken != rec.Token {
		// Once: a follower in a cut reads the keys anew every few seconds.
		keys.loggedToken = rec.Token
		e.env.log.Info("leader observed", "leader", rec.Label, "token", rec.Token)
	}
	keys.leader = rec
	if e.controller.leadership != nil {
		// A watch that was open when we won tells of ourselves, or of somebody
		// who came after us.
		if rec.Token > e.controller.leadership.lease.token {
			e.controller.endLeadership(endLaterLeaderKey)
		}
		return
	}
	if rec.Label != e.env.cfg.Label {
		return
	}
	if rec.Incarnation == e.env.incarnation && e.candidate != nil && rec.LeaseID == e.candidate.leaseID {
		// Our own transaction, whose answer was lost, did apply.
		e.controller.becomeLeader(rec, keys.recordVersion)
		return
	}
	e.revokeFormerLease(rec.LeaseID)
}

// revokeFormerLease ends the lease of an earlier process of ours, or of a transaction of ours that we
// gave up. That is safe, as its writes are fenced.
func (e *election) revokeFormerLease(lease uint64) {
	keys := &e.leaderKeys
	if keys.revokedLease == lease {
		return
	}
	keys.revokedLease = lease
	e.env.log.Info("revoking the lease of an earlier incarnation", "lease", lease)
	e.outbox.stateCall("DELETE", fmt.Sprintf("/leases/%d", lease), nil, e.env.cfg.LeaderTTL()/2, func(res Result) {
		if res.Status == 0 || res.Status >= 429 {
			keys.revokedLease = 0
			keys.refresh(e.env.now + e.env.retryPause())
		}
	})
}

// backsOffElection says whether this controller leaves the leadership to others.
func (e *election) backsOffElection() bool {
	return e.env.now < e.electionBackoffUntil && e.env.now < e.leaderKeys.leaderlessSince+e.env.cfg.Lease()/5
}
