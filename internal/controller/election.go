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
	c.log.Info("no longer leader", "token", l.token, "why", why)
	c.leadership = nil
	l.refusePendingRequests()
	// Whatever else the view says may be old: read it again before acting.
	c.leaderKeys.leader, c.leaderKeys.leaderlessSince = nil, c.now
	c.leaderKeys.refresh(c.now)
}

// watchLeaderKeys keeps the leadership keys in sight: a list, then a watch after it.
func (c *Controller) watchLeaderKeys() {
	keys := &c.leaderKeys
	if c.leadership == nil && keys.known && keys.leader == nil && !c.backsOffElection() && c.mayCampaign() && c.supportsStoredVersion() {
		c.campaign()
	}
	if keys.inFlight || c.now < keys.nextAt || c.leadership != nil || !c.stateRequests.Has(c.now, 1) {
		return
	}
	keys.inFlight = true
	gen := keys.generation
	if !keys.known {
		c.stateCall("GET", "/store?under="+keyPrefix+"&limit=10", nil, c.cfg.LeaderTTL()/2, func(r Result) {
			if keys.generation != gen {
				return
			}
			keys.inFlight = false
			var items protocol.Items
			if r.Status != 200 || protocol.Decode(r.Body, &items) != nil {
				keys.nextAt = c.now + c.retryPause()
				if !keys.listFailureLogged {
					keys.listFailureLogged = true
					c.log.Info("the state service does not tell who leads", "addr", c.cfg.Services.State, "status", r.Status)
				}
				return
			}
			keys.known, keys.revision, keys.listFailureLogged = true, items.Revision, false
			keys.clearKeys()
			for _, it := range items.Items {
				keys.applyKey(it.Key, it.Value, it.Version)
			}
			c.observeLeader()
			c.watchLeaderKeys()
		})
		return
	}
	block := 4 * c.cfg.LeaderTTL()
	path := fmt.Sprintf("/follow?under=%s&after=%d&blockMs=%d", keyPrefix, keys.revision, block.Milliseconds())
	c.stateCall("GET", path, nil, block+c.cfg.LeaderTTL(), func(r Result) {
		if keys.generation != gen {
			return
		}
		keys.inFlight = false
		var events protocol.Events
		if r.Status != 200 || protocol.Decode(r.Body, &events) != nil {
			keys.known, keys.nextAt = false, c.now+c.retryPause()
			return
		}
		keys.revision = events.Revision
		for _, e := range events.Events {
			if e.Delete != "" {
				keys.applyKey(e.Delete, nil, 0)
			} else {
				keys.applyKey(e.Put, e.Value, e.Version)
			}
		}
		c.observeLeader()
		c.watchLeaderKeys()
	})
}

// campaign tries to become leader: a lease, then one transaction that raises
// the counter and puts the leader key, if nobody did so meanwhile.
func (c *Controller) campaign() {
	if c.candidate == nil {
		c.candidate = &candidate{}
	}
	candidate := c.candidate
	if candidate.inFlight || c.now < candidate.nextAt || !c.stateRequests.Has(c.now, 1) {
		return
	}
	ttl := c.cfg.LeaderTTL()
	if candidate.leaseID == 0 || c.now > candidate.leaseAskedAt+ttl/2 {
		c.acquireLease(candidate, func() {
			if c.leaderKeys.known && c.leaderKeys.leader == nil && c.leadership == nil {
				c.campaign()
			}
		})
		return
	}
	candidate.inFlight = true
	keys := &c.leaderKeys
	rec := leaderRecord{Label: c.cfg.Label, Incarnation: c.incarnation, Token: keys.counter + 1, LeaseID: candidate.leaseID}
	txn := keys.electionTxn(&rec)
	c.stateCall("POST", "/multi", txn, ttl/2, func(r Result) {
		candidate.inFlight = false
		if c.candidate != candidate || c.leadership != nil {
			// The watch told of our own key before this answer came: a process
			// ended here by taking over twice.
			return
		}
		var reply protocol.TxnReply
		if r.Status == 200 && protocol.Decode(r.Body, &reply) == nil {
			keys.noteElectionWon(&rec, reply.Revision)
			c.becomeLeader(&rec, reply.Revision)
			return
		}
		candidate.nextAt = c.now + c.retryPause()
		if r.Status == 400 {
			candidate.leaseID = 0 // it ran out before the transaction came
		}
		// Lost races and lost answers alike: look at the keys again. The watch
		// goes on, but a fresh list is needed before the next try.
		keys.refresh(c.now)
	})
}

func (c *Controller) becomeLeader(rec *leaderRecord, version uint64) {
	candidate := c.candidate
	c.candidate = nil
	c.log.Info("leader", "token", rec.Token, "lease", rec.LeaseID)
	c.leadership = newLeadership(c, rec, version, candidate.leaseAskedAt)
	c.leadership.failover, c.leadership.preload = c.beginFailover(rec.Token), c.preparation.preload
	c.preparation.preload = nil
	c.leadership.loadState()
}

// renewLeaderLease renews the leader's lease well before it runs out, counted from
// when the renewal was sent.
func (l *leadership) renewLeaderLease() {
	c := l.controller
	ttl := c.cfg.LeaderTTL()
	if c.now > l.leaseConfirmedAt+c.cfg.Coast() && !l.holdsLease() {
		c.endLeadership("no renewal of the lease for as long as a leader may coast")
		return
	}
	if l.renewalInFlight || c.now < l.renewLeaseAt {
		return
	}
	l.renewalInFlight = true
	sent := c.now
	path := fmt.Sprintf("/leases/%d/extend", l.leaseID)
	c.stateCall("POST", path, nil, ttl/3, func(res Result) {
		l.renewalInFlight = false
		if c.leadership != l {
			return
		}
		switch res.Status {
		case 200:
			if !l.holdsLease() {
				c.log.Info("state service answers again", "token", l.token)
			}
			l.leaseConfirmedAt = max(l.leaseConfirmedAt, sent)
			l.verifyingLeaseUntil = 0
			l.renewLeaseAt = sent + ttl/5
		case 404:
			c.endLeadership("the lease has ended")
		default:
			l.renewLeaseAt = c.now + ttl/10
			if !l.holdsLease() && !l.coasting {
				l.coasting = true
				c.log.Info("coasting: the lease is not confirmed", "token", l.token)
			}
			return
		}
		l.coasting = false
	})
}

// holdsLease says whether nobody else can have become leader: the lease, counted
// from the sending of its last confirmed renewal and shortened by the clocks'
// drift, still runs.
func (l *leadership) holdsLease() bool { return l.controller.now < l.holdsLeaseUntil() }

func (l *leadership) holdsLeaseUntil() time.Duration {
	ttl := l.controller.cfg.LeaderTTL()
	return l.leaseConfirmedAt + 2*ttl - config.Drift(ttl)
}

// loadState reads the whole ledger after the election was won: whatever earlier leaders
// wrote is there by now, and nothing of theirs can be added any more.
func (l *leadership) loadState() {
	l.loadPage(0, "")
}

func (l *leadership) loadPage(step int, after string) {
	c := l.controller
	order := loadOrder(l.storedRecord.storageVersion())
	if step == len(order) {
		l.onStateLoaded()
		return
	}
	if ahead := l.preload.recordsUnder(order[step]); ahead != nil && after == "" {
		l.loadPreloaded(step, order[step], ahead)
		return
	}
	c.stateCall("GET", listPath(order[step], after), nil, c.cfg.LeaderTTL(), func(res Result) {
		if c.leadership != l {
			return
		}
		var items protocol.Items
		if res.Status != 200 || protocol.Decode(res.Body, &items) != nil {
			l.runAt(c.now+c.retryPause(), func() { l.loadPage(step, after) })
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
			l.controller.log.Error("a record can't be read", "key", it.Key, "err", err)
		}
	}
}

// peerAddr is the leader's peer address as far as we know one.
func (c *Controller) peerAddr(label string) string {
	i := slices.IndexFunc(c.cfg.Siblings, func(p config.Peer) bool { return p.Label == label })
	if i < 0 {
		return ""
	}
	return strings.TrimSpace(c.cfg.Siblings[i].Addr)
}
