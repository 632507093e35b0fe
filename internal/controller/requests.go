package controller

import (
	"time"

	"claybarrow/internal/protocol"
)

// Times of the protocol's users: they wait 5 s for a submission or a
// cancellation and 2 s for a poll. Requests are given up well inside that.
const (
	decisionTimeout   = 1500 * time.Millisecond
	relayTimeout      = 1300 * time.Millisecond
	retryAfterSeconds = 1 // seconds
)

func (o *outbox) reply(to requester, status int, body []byte, retryAfter int) {
	o.replyUntil(to, status, body, retryAfter, 0)
}

func (o *outbox) replyUntil(to requester, status int, body []byte, retryAfter int, until time.Duration) {
	if to.relay {
		body = protocol.EncodePeer(protocol.RelayReply{Status: status, Body: body, RetryAfter: retryAfter})
		status, retryAfter = 200, 0
	}
	o.effects = append(o.effects, Reply{ID: to.id, Status: status, Body: body, RetryAfter: retryAfter, ValidUntil: until})
}

// replyAsLeader answers with what only a leader may say, and only as long as it is certain
// to be one.
func (l *leadership) replyAsLeader(to requester, status int, s protocol.JobStatus) {
	l.controller.outbox.replyUntil(to, status, protocol.Encode(s), 0, l.holdsLeaseUntil())
}

// replyUnavailable answers at once that it can't be decided now.
func (o *outbox) replyUnavailable(to requester) { o.reply(to, 503, nil, retryAfterSeconds) }

func (o *outbox) replyStatus(to requester, status int, s protocol.JobStatus) {
	o.reply(to, status, protocol.Encode(s), 0)
}

func (c *Controller) onRequest(q Request) {
	from := requester{id: q.ID}
	if c.pause.isRecovering() && q.Op.needsLeader() {
		from.relay = q.Op == OpRelay || q.Op == OpForwardedHeartbeat
		c.outbox.replyUnavailable(from)
		return
	}
	switch q.Op {
	case OpReady:
		if c.isReady() {
			c.outbox.reply(from, 200, nil, 0)
		} else {
			c.outbox.replyUnavailable(from)
		}
	case OpWorkerHeartbeat:
		c.onWorkerHeartbeat(from, q.Body)
	case OpForwardedHeartbeat:
		var relay protocol.Relay
		from.relay = true
		if protocol.DecodePeer(q.Body, &relay) != nil {
			c.outbox.replyUnavailable(from)
			return
		}
		if c.leadership == nil {
			c.relay.forwardRelay(from, q, relay)
			return
		}
		from.by = relay.From
		c.onWorkerHeartbeat(from, relay.Body)
	case OpPeerHeartbeat:
		c.onPeerHeartbeat(from, q.Body)
	case OpProbe:
		c.detection.onProbe(from, q.Body)
	case OpRelay:
		var relay protocol.Relay
		if protocol.DecodePeer(q.Body, &relay) != nil {
			c.outbox.reply(from, 400, nil, 0)
			return
		}
		from.relay = true
		if c.leadership == nil {
			c.relay.forwardRelay(from, q, relay)
			return
		}
		c.leadership.userRequests.handle(from, Op(relay.Op), relay.UID, relay.Body)
	default:
		if c.leadership != nil {
			c.leadership.userRequests.handle(from, q.Op, q.UID, q.Body)
			return
		}
		c.relay.relayUserRequest(from, q)
	}
}

// isReady must not flap: the load balancer doubles its pause at each removal.
// A controller is fit for requests while it knows a leader, or lost the last
// one only a moment ago; what can't be decided is answered 503 at once.
func (c *Controller) isReady() bool {
	if c.leadership != nil {
		return c.leadership.ready || c.env.now < c.leadership.electedAt+c.env.cfg.Lease()
	}
	if !c.election.leaderKeys.known && c.election.leaderKeys.leader == nil && c.election.leaderKeys.leaderlessSince == 0 {
		return false
	}
	// One that can't reach the leader who is there, as connections between
	// controllers are refused, could only send its users away one by one.
	if contact := &c.follower.contact; contact.leaderLost && len(c.env.cfg.Siblings) > 0 {
		patience := c.env.cfg.Lease() / 2
		if c.election.leaderKeys.known && c.election.leaderKeys.leader != nil {
			patience = min(2*c.env.cfg.LeaderTTL(), c.env.cfg.Lease()*3/20)
		}
		if c.env.now > contact.leaderLostAt+patience {
			return false
		}
	}
	return c.follower.leaderLabel() != "" || c.env.now < c.election.leaderKeys.leaderlessSince+c.env.cfg.Lease()/2
}

// relayUserRequest passes a user's request on to the leader.
func (r *leaderRelay) relayUserRequest(from requester, q Request) {
	if q.Op == OpSubmit {
		// What is malformed needs no leader, unless the id may be known to it.
		if uid, _, err := protocol.ParseSubmission(q.Body); err != nil && !protocol.ValidUID(uid) {
			r.outbox.reply(from, 400, nil, 0)
			return
		}
	}
	r.relayToLeader(from, r.follower.leaderLabel(), "/relay", protocol.Relay{Op: string(q.Op), UID: q.UID, Body: q.Body})
}

// expirePendingRequests answers what was given up, at once and finally.
func (p *pendingTable) expirePendingRequests() {
	for _, id := range sortedRequests(p.pendingRequests) {
		if w := p.pendingRequests[id]; p.env.now >= w.deadline {
			delete(p.pendingRequests, id)
			p.outbox.replyUnavailable(w.from)
		}
	}
}

// addPending notes that the requester is answered later, or refused at its deadline.
func (p *pendingTable) addPending(from requester) bool {
	if len(p.pendingRequests) >= p.env.cfg.Cluster.Resources.FDs/2 {
		p.outbox.reply(from, 429, nil, retryAfterSeconds)
		return false
	}
	p.pendingRequests[from.id] = &pendingRequest{from: from, deadline: p.env.now + decisionTimeout}
	return true
}

// refusePendingRequests answers all that wait, at once and with when to come back.
func (p *pendingTable) refusePendingRequests() {
	for _, id := range sortedRequests(p.pendingRequests) {
		w := p.pendingRequests[id]
		delete(p.pendingRequests, id)
		p.outbox.replyUnavailable(w.from)
	}
}

// takePending says whether the requester still waits, and ends that.
func (p *pendingTable) takePending(from requester) bool {
	if p.pendingRequests[from.id] == nil {
		return false
	}
	delete(p.pendingRequests, from.id)
	return true
}
