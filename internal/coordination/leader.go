package coordination

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/protocol"
)

// candidacy is one try to become leader.
type candidacy struct {
	lease uint64
	sent  time.Duration // when the lease was asked for
	next  time.Duration
	busy  bool
}

func (c *Core) endTerm(why string) {
	r := c.term
	if r == nil {
		return
	}
	c.log.Info("no longer leader", "token", r.token, "why", why)
	c.term = nil
	r.refusePending()
	// Whatever else the view says may be old: read it again before acting.
	c.view.leader, c.view.leaderless = nil, c.now
	c.view.refresh(c.now)
}

// keepView keeps the leadership keys in sight: a list, then a watch after it.
func (c *Core) keepView() {
	v := &c.view
	if c.term == nil && v.known && v.leader == nil && !c.standsBack() && c.mayCampaign() && c.readsForm() {
		c.campaign()
	}
	if v.busy || c.now < v.next || c.term != nil || !c.requests.Has(c.now, 1) {
		return
	}
	v.busy = true
	gen := v.gen
	if !v.known {
		c.stateCall("GET", "/store?under="+keyPrefix+"&limit=10", nil, c.cfg.LeaderTTL()/2, func(r Result) {
			if v.gen != gen {
				return
			}
			v.busy = false
			var items protocol.Items
			if r.Status != 200 || protocol.Decode(r.Body, &items) != nil {
				v.next = c.now + c.pause()
				if !v.unanswered {
					v.unanswered = true
					c.log.Info("the state service does not tell who leads", "addr", c.cfg.Services.State, "status", r.Status)
				}
				return
			}
			v.known, v.revision, v.unanswered = true, items.Revision, false
			v.forgetKeys()
			for _, it := range items.Items {
				v.takeKey(it.Key, it.Value, it.Version)
			}
			c.seeLeader()
			c.keepView()
		})
		return
	}
	block := 4 * c.cfg.LeaderTTL()
	path := fmt.Sprintf("/follow?under=%s&after=%d&blockMs=%d", keyPrefix, v.revision, block.Milliseconds())
	c.stateCall("GET", path, nil, block+c.cfg.LeaderTTL(), func(r Result) {
		if v.gen != gen {
			return
		}
		v.busy = false
		var events protocol.Events
		if r.Status != 200 || protocol.Decode(r.Body, &events) != nil {
			v.known, v.next = false, c.now+c.pause()
			return
		}
		v.revision = events.Revision
		for _, e := range events.Events {
			if e.Delete != "" {
				v.takeKey(e.Delete, nil, 0)
			} else {
				v.takeKey(e.Put, e.Value, e.Version)
			}
		}
		c.seeLeader()
		c.keepView()
	})
}

// campaign tries to become leader: a lease, then one transaction that raises
// the counter and puts the leader key, if nobody did so meanwhile.
func (c *Core) campaign() {
	if c.candidacy == nil {
		c.candidacy = &candidacy{}
	}
	h := c.candidacy
	if h.busy || c.now < h.next || !c.requests.Has(c.now, 1) {
		return
	}
	ttl := c.cfg.LeaderTTL()
	if h.lease == 0 || c.now > h.sent+ttl/2 {
		c.openLease(h, func() {
			if c.view.known && c.view.leader == nil && c.term == nil {
				c.campaign()
			}
		})
		return
	}
	h.busy = true
	v := &c.view
	rec := leaderRecord{Label: c.cfg.Label, Incarnation: c.incarnation, Token: v.counter + 1, Lease: h.lease}
	txn := v.election(&rec)
	c.stateCall("POST", "/multi", txn, ttl/2, func(r Result) {
		h.busy = false
		if c.candidacy != h || c.term != nil {
			// The watch told of our own key before this answer came: a process
			// ended here by taking over twice.
			return
		}
		var reply protocol.TxnReply
		if r.Status == 200 && protocol.Decode(r.Body, &reply) == nil {
			v.won(&rec, reply.Revision)
			c.assume(&rec, reply.Revision)
			return
		}
		h.next = c.now + c.pause()
		if r.Status == 400 {
			h.lease = 0 // it ran out before the transaction came
		}
		// Lost races and lost answers alike: look at the keys again. The watch
		// goes on, but a fresh list is needed before the next try.
		v.refresh(c.now)
	})
}

func (c *Core) assume(rec *leaderRecord, version uint64) {
	h := c.candidacy
	c.candidacy = nil
	c.log.Info("leader", "token", rec.Token, "lease", rec.Lease)
	c.term = newTerm(c, rec, version, h.sent)
	c.term.handover, c.term.ahead = c.startHandover(rec.Token), c.succession.ahead
	c.succession.ahead = nil
	c.term.load()
}

// keepLease renews the leader's lease well before it runs out, counted from
// when the renewal was sent.
func (r *term) keepLease() {
	c := r.c
	ttl := c.cfg.LeaderTTL()
	if c.now > r.confirmed+c.cfg.Coast() && !r.certain() {
		c.endTerm("no renewal of the lease for as long as a leader may coast")
		return
	}
	if r.renewing || c.now < r.renewAt {
		return
	}
	r.renewing = true
	sent := c.now
	path := fmt.Sprintf("/leases/%d/extend", r.lease)
	c.stateCall("POST", path, nil, ttl/3, func(res Result) {
		r.renewing = false
		if c.term != r {
			return
		}
		switch res.Status {
		case 200:
			if !r.certain() {
				c.log.Info("state service answers again", "token", r.token)
			}
			r.confirmed = max(r.confirmed, sent)
			r.suspendedUntil = 0
			r.renewAt = sent + ttl/5
		case 404:
			c.endTerm("the lease has ended")
		default:
			r.renewAt = c.now + ttl/10
			if !r.certain() && !r.coasting {
				r.coasting = true
				c.log.Info("coasting: the lease is not confirmed", "token", r.token)
			}
			return
		}
		r.coasting = false
	})
}

// certain says whether nobody else can have become leader: the lease, counted
// from the sending of its last confirmed renewal and shortened by the clocks'
// drift, still runs.
func (r *term) certain() bool { return r.c.now < r.certainUntil() }

func (r *term) certainUntil() time.Duration {
	ttl := r.c.cfg.LeaderTTL()
	return r.confirmed + 2*ttl - config.Drift(ttl)
}

// load reads the whole ledger after the election was won: whatever earlier leaders
// wrote is there by now, and nothing of theirs can be added any more.
func (r *term) load() {
	r.loadPage(0, "")
}

func (r *term) loadPage(step int, after string) {
	c := r.c
	order := loadOrder(r.stored.form())
	if step == len(order) {
		r.begin()
		return
	}
	if ahead := r.ahead.step(order[step]); ahead != nil && after == "" {
		r.loadAhead(step, order[step], ahead)
		return
	}
	c.stateCall("GET", listPath(order[step], after), nil, c.cfg.LeaderTTL(), func(res Result) {
		if c.term != r {
			return
		}
		var items protocol.Items
		if res.Status != 200 || protocol.Decode(res.Body, &items) != nil {
			r.later(c.now+c.pause(), func() { r.loadPage(step, after) })
			return
		}
		r.loadItems(items.Items)
		if items.More && len(items.Items) > 0 {
			r.loadPage(step, items.Items[len(items.Items)-1].Key)
			return
		}
		r.loadPage(step+1, "")
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

// loadItems takes records that were read.
func (r *term) loadItems(items []protocol.Item) {
	for _, it := range items {
		r.records.Loaded(it.Key, it.Version)
		if err := r.loadItem(it); err != nil {
			r.c.log.Error("a record can't be read", "key", it.Key, "err", err)
		}
	}
}

// addrOf is the leader's peer address as far as we know one.
func (c *Core) addrOf(label string) string {
	i := slices.IndexFunc(c.cfg.Siblings, func(p config.Peer) bool { return p.Label == label })
	if i < 0 {
		return ""
	}
	return strings.TrimSpace(c.cfg.Siblings[i].Addr)
}
