package coordination

import (
	"time"

	"claybarrow/internal/protocol"
)

// Times of the protocol's users: they wait 5 s for a submission or a
// cancellation and 2 s for a poll. Requests are given up well inside that.
const (
	decideWithin = 1500 * time.Millisecond
	relayWithin  = 1300 * time.Millisecond
	comeBack     = 1 // seconds
)

func (c *Core) reply(to requester, status int, body []byte, retryAfter int) {
	c.replyUntil(to, status, body, retryAfter, 0)
}

func (c *Core) replyUntil(to requester, status int, body []byte, retryAfter int, until time.Duration) {
	if to.relay {
		body = protocol.EncodePeer(protocol.RelayReply{Status: status, Body: body, RetryAfter: retryAfter})
		status, retryAfter = 200, 0
	}
	c.out = append(c.out, Reply{ID: to.id, Status: status, Body: body, RetryAfter: retryAfter, Until: until})
}

// tell answers with what only a leader may say, and only as long as it is certain
// to be one.
func (r *term) tell(to requester, status int, s protocol.Standing) {
	r.c.replyUntil(to, status, protocol.Encode(s), 0, r.certainUntil())
}

// refuse answers at once that it can't be decided now.
func (c *Core) refuse(to requester) { c.reply(to, 503, nil, comeBack) }

func (c *Core) standing(to requester, status int, s protocol.Standing) {
	c.reply(to, status, protocol.Encode(s), 0)
}

func (c *Core) request(q Request) {
	from := requester{id: q.ID}
	if c.isResuming() && q.Op.needsLeader() {
		from.relay = q.Op == OpRelay || q.Op == OpForward
		c.refuse(from)
		return
	}
	switch q.Op {
	case OpReady:
		if c.isReady() {
			c.reply(from, 200, nil, 0)
		} else {
			c.refuse(from)
		}
	case OpReport:
		c.onReport(from, q.Body)
	case OpForward:
		var relay protocol.Relay
		from.relay = true
		if protocol.DecodePeer(q.Body, &relay) != nil {
			c.refuse(from)
			return
		}
		if c.term == nil {
			c.passOn(from, q, relay)
			return
		}
		from.by = relay.From
		c.onReport(from, relay.Body)
	case OpHeartbeat:
		c.onHeartbeat(from, q.Body)
	case OpProbe:
		c.onProbe(from, q.Body)
	case OpRelay:
		var relay protocol.Relay
		if protocol.DecodePeer(q.Body, &relay) != nil {
			c.reply(from, 400, nil, 0)
			return
		}
		from.relay = true
		if c.term == nil {
			c.passOn(from, q, relay)
			return
		}
		c.term.users.handle(from, Op(relay.Op), relay.UID, relay.Body)
	default:
		if c.term != nil {
			c.term.users.handle(from, q.Op, q.UID, q.Body)
			return
		}
		c.relay(from, q)
	}
}

// isReady must not flap: the load balancer doubles its pause at each removal.
// A controller is fit for requests while it knows a leader, or lost the last
// one only a moment ago; what can't be decided is answered 503 at once.
func (c *Core) isReady() bool {
	if c.term != nil {
		return c.term.ready || c.now < c.term.since+c.cfg.Lease()
	}
	if !c.view.known && c.view.leader == nil && c.view.leaderless == 0 {
		return false
	}
	// One that can't reach the leader who is there, as connections between
	// controllers are refused, could only send its users away one by one.
	if d := &c.follower; d.failed && len(c.cfg.Siblings) > 0 {
		patience := c.cfg.Lease() / 2
		if c.view.known && c.view.leader != nil {
			patience = min(2*c.cfg.LeaderTTL(), c.cfg.Lease()*3/20)
		}
		if c.now > d.lostAt+patience {
			return false
		}
	}
	return c.leaderLabel() != "" || c.now < c.view.leaderless+c.cfg.Lease()/2
}

// relay passes a user's request on to the leader.
func (c *Core) relay(from requester, q Request) {
	if q.Op == OpSubmit {
		// What is malformed needs no leader, unless the id may be known to it.
		if uid, _, err := protocol.ParseSubmission(q.Body); err != nil && !protocol.ValidUID(uid) {
			c.reply(from, 400, nil, 0)
			return
		}
	}
	c.relayToLeader(from, c.leaderLabel(), "/relay", protocol.Relay{Op: string(q.Op), UID: q.UID, Body: q.Body})
}

// expirePending answers what was given up, at once and finally.
func (c *Core) expirePending() {
	for _, id := range sortedRequests(c.pendingRequests) {
		if w := c.pendingRequests[id]; c.now >= w.deadline {
			delete(c.pendingRequests, id)
			c.refuse(w.from)
		}
	}
}

// wait notes that the requester is answered later, or refused at its deadline.
func (r *term) wait(from requester) bool {
	if len(r.c.pendingRequests) >= r.c.cfg.Cluster.Resources.FDs/2 {
		r.c.reply(from, 429, nil, comeBack)
		return false
	}
	r.c.pendingRequests[from.id] = &pendingRequest{from: from, deadline: r.c.now + decideWithin}
	return true
}

// refusePending answers all that wait, at once and with when to come back.
func (r *term) refusePending() {
	for _, id := range sortedRequests(r.c.pendingRequests) {
		w := r.c.pendingRequests[id]
		delete(r.c.pendingRequests, id)
		r.c.refuse(w.from)
	}
}

// waiting says whether the requester still waits, and ends that.
func (r *term) waiting(from requester) bool {
	if r.c.pendingRequests[from.id] == nil {
		return false
	}
	delete(r.c.pendingRequests, from.id)
	return true
}
