package controller

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/config"
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

func (c *Controller) endLeadership(why string) {
	l := c.leadership
	if l == nil {
		return
	}
	c.env.log.Info("no longer leader", "token", l.token, "why", why)
	l.ended = true
	c.leadership = nil
	l.controller.pending.refusePendingRequests()
	// Whatever else the view says may be old: read it again before acting.
	c.election.leaderKeys.leader, c.election.leaderKeys.leaderlessSince = nil, c.env.now
	c.election.leaderKeys.refresh(c.env.now)
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
					e.env.log.Info("the state service does not tell who leads", "addr", e.env.cfg.Services.State, "status", r.Status)
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

func (c *Controller) becomeLeader(rec *leaderRecord, version uint64) {
	candidate := c.election.candidate
	c.election.candidate = nil
	c.env.log.Info("leader", "token", rec.Token, "lease", rec.LeaseID)
	c.leadership = newLeadership(c, rec, version, candidate.leaseAskedAt)
	c.leadership.failover, c.leadership.preload = c.preparer.beginFailover(rec.Token), c.preparer.preparation.preload
	c.preparer.preparation.preload = nil
	c.leadership.loadState()
}

// renewLeaderLease renews the leader's lease well before it runs out, counted from
// when the renewal was sent.
func (l *leadership) renewLeaderLease() {
	ttl := l.controller.env.cfg.LeaderTTL()
	if l.controller.env.now > l.leaseConfirmedAt+l.controller.env.cfg.Coast() && !l.holdsLease() {
		l.controller.endLeadership("no renewal of the lease for as long as a leader may coast")
		return
	}
	if l.renewalInFlight || l.controller.env.now < l.renewLeaseAt {
		return
	}
	l.renewalInFlight = true
	sent := l.controller.env.now
	path := fmt.Sprintf("/leases/%d/extend", l.leaseID)
	l.controller.outbox.stateCall("POST", path, nil, ttl/3, func(res Result) {
		l.renewalInFlight = false
		if l.ended {
			return
		}
		switch res.Status {
		case 200:
			if !l.holdsLease() {
				l.controller.env.log.Info("state service answers again", "token", l.token)
			}
			l.leaseConfirmedAt = max(l.leaseConfirmedAt, sent)
			l.verifyingLeaseUntil = 0
			l.renewLeaseAt = sent + ttl/5
		case 404:
			l.controller.endLeadership("the lease has ended")
		default:
			l.renewLeaseAt = l.controller.env.now + ttl/10
			if !l.holdsLease() && !l.coasting {
				l.coasting = true
				l.controller.env.log.Info("coasting: the lease is not confirmed", "token", l.token)
			}
			return
		}
		l.coasting = false
	})
}

// holdsLease says whether nobody else can have become leader: the lease, counted
// from the sending of its last confirmed renewal and shortened by the clocks'
// drift, still runs.
func (l *leadership) holdsLease() bool { return l.controller.env.now < l.holdsLeaseUntil() }

func (l *leadership) holdsLeaseUntil() time.Duration {
	ttl := l.controller.env.cfg.LeaderTTL()
	return l.leaseConfirmedAt + 2*ttl - config.Drift(ttl)
}

// loadState reads the whole ledger after the election was won: whatever earlier leaders
// wrote is there by now, and nothing of theirs can be added any more.
func (l *leadership) loadState() {
	l.loadPage(0, "")
}

func (l *leadership) loadPage(step int, after string) {
	order := loadOrder(l.storedRecord.storageVersion())
	if step == len(order) {
		l.onStateLoaded()
		return
	}
	if ahead := l.preload.recordsUnder(order[step]); ahead != nil && after == "" {
		l.loadPreloaded(step, order[step], ahead)
		return
	}
	l.controller.outbox.stateCall("GET", listPath(order[step], after), nil, l.controller.env.cfg.LeaderTTL(), func(res Result) {
		if l.ended {
			return
		}
		var items protocol.Items
		if res.Status != 200 || protocol.Decode(res.Body, &items) != nil {
			l.runAt(l.controller.env.now+l.controller.env.retryPause(), func() { l.loadPage(step, after) })
			return
		}
		l.loadRecords(items.Items)
		if items.More && len(items.Items) > 0 {
			l.loadPage(step, items.Items[len(items.Items)-1].Key)
			return
		}
		l.loadPage(step+1, "")
	})
}

// listPath is the path of the page of records after a key.
func listPath(prefix, after string) string {
	path := "/store?under=" + prefix + "&limit=1000"
	if after != "" {
		path += "&after=" + url.QueryEscape(after)
	}
	return path
}

// loadRecords takes records that were read.
func (l *leadership) loadRecords(items []protocol.Item) {
	for _, it := range items {
		l.store.Loaded(it.Key, it.Version)
		if err := l.loadRecord(it); err != nil {
			l.controller.env.log.Error("a record can't be read", "key", it.Key, "err", err)
		}
	}
}

// peerAddr is the leader's peer address as far as we know one.
func (e *environment) peerAddr(label string) string {
	i := slices.IndexFunc(e.cfg.Siblings, func(p config.Peer) bool { return p.Label == label })
	if i < 0 {
		return ""
	}
	return strings.TrimSpace(e.cfg.Siblings[i].Addr)
}
