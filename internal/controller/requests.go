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

func (c *Controller) reply(to requester, status int, body []byte, retryAfter int) {
	c.replyUntil(to, status, body, retryAfter, 0)
}

func (c *Controller) replyUntil(to requester, status int, body []byte, retryAfter int, until time.Duration) {
	if to.relay {
		body = protocol.EncodePeer(protocol.RelayReply{Status: status, Body: body, RetryAfter: retryAfter})
		status, retryAfter = 200, 0
	}
	c.effects = append(c.effects, Reply{ID: to.id, Status: status, Body: body, RetryAfter: retryAfter, ValidUntil: until})
}

// replyAsLeader answers with what only a leader may say, and only as long as it is certain
// to be one.
func (l *leadership) replyAsLeader(to requester, status int, s protocol.JobStatus) {
	l.controller.replyUntil(to, status, protocol.Encode(s), 0, l.holdsLeaseUntil())
}

// replyUnavailable answers at once that it can't be decided now.
func (c *Controller) replyUnavailable(to requester) { c.reply(to, 503, nil, retryAfterSeconds) }

func (c *Controller) replyStatus(to requester, status int, s protocol.JobStatus) {
	c.reply(to, status, protocol.Encode(s), 0)
}

func (c *Controller) onRequest(q Request) {
	from := requester{id: q.ID}
	if c.isRecovering() && q.Op.needsLeader() {
		from.relay = q.Op == OpRelay || q.Op == OpForwardedHeartbeat
		c.replyUnavailable(from)
		return
	}
	switch q.Op {
	case OpReady:
		if c.isReady() {
			c.reply(from, 200, nil, 0)
		} else {
			c.replyUnavailable(from)
		}
	case OpWorkerHeartbeat:
		c.onWorkerHeartbeat(from, q.Body)
	case OpForwardedHeartbeat:
		var relay protocol.Relay
		from.relay = true
		if protocol.DecodePeer(q.Body, &relay) != nil {
			c.replyUnavailable(from)
			return
		}
		if c.leadership == nil {
			c.forwardRelay(from, q, relay)
			return
		}
		from.by = relay.From
		c.onWorkerHeartbeat(from, relay.Body)
	case OpPeerHeartbeat:
		c.onPeerHeartbeat(from, q.Body)
	case OpProbe:
		c.onProbe(from, q.Body)
	case OpRelay:
		var relay protocol.Relay
		if protocol.DecodePeer(q.Body, &relay) != nil {
			c.reply(from, 400, nil, 0)
			return
		}
		from.relay = true
		if c.leadership == nil {
			c.forwardRelay(from, q, relay)
			return
		}
		c.leadership.userRequests.handle(from, Op(relay.Op), relay.UID, relay.Body)
	default:
		if c.leadership != nil {
			c.leadership.userRequests.handle(from, q.Op, q.UID, q.Body)
			return
		}
		c.relayUserRequest(from, q)
	}
}

// isReady must not flap: the load balancer doubles its pause at each removal.
// A controller is fit for requests while it knows a leader, or lost the last
// one only a moment ago; what can't be decided is answered 503 at once.
func (c *Controller) isReady() bool {
	if c.leadership != nil {
		return c.leadership.ready || c.now < c.leadership.electedAt+c.cfg.Lease()
	}
	if !c.leaderKeys.known && c.leaderKeys.leader == nil && c.leaderKeys.leaderlessSince == 0 {
		return false
	}
	// One that can't reach the leader who is there, as connections between
	// controllers are refused, could only send its users away one by one.
	if f := &c.follower; f.leaderLost && len(c.cfg.Siblings) > 0 {
		patience := c.cfg.Lease() / 2
		if c.leaderKeys.known && c.leaderKeys.leader != nil {
			patience = min(2*c.cfg.LeaderTTL(), c.cfg.Lease()*3/20)
		}
		if c.now > f.leaderLostAt+patience {
			return false
		}
	}
	return c.leaderLabel() != "" || c.now < c.leaderKeys.leaderlessSince+c.cfg.Lease()/2
}

// relayUserRequest passes a user's request on to the leader.
func (c *Controller) relayUserRequest(from requester, q Request) {
	if q.Op == OpSubmit {
		// What is malformed needs no leader, unless the id may be known to it.
		if uid, _, err := protocol.ParseSubmission(q.Body); err != nil && !protocol.ValidUID(uid) {
			c.reply(from, 400, nil, 0)
			return
		}
	}
	c.relayToLeader(from, c.leaderLabel(), "/relay", protocol.Relay{Op: string(q.Op), UID: q.UID, Body: q.Body})
}

// expirePendingRequests answers what was given up, at once and finally.
func (c *Controller) expirePendingRequests() {
	for _, id := range sortedRequests(c.pendingRequests) {
		if w := c.pendingRequests[id]; c.now >= w.deadline {
			delete(c.pendingRequests, id)
			c.replyUnavailable(w.from)
		}
	}
}

// addPending notes that the requester is answered later, or refused at its deadline.
func (l *leadership) addPending(from requester) bool {
	if len(l.controller.pendingRequests) >= l.controller.cfg.Cluster.Resources.FDs/2 {
		l.controller.reply(from, 429, nil, retryAfterSeconds)
		return false
	}
	l.controller.pendingRequests[from.id] = &pendingRequest{from: from, deadline: l.controller.now + decisionTimeout}
	return true
}

// refusePendingRequests answers all that wait, at once and with when to come back.
func (l *leadership) refusePendingRequests() {
	for _, id := range sortedRequests(l.controller.pendingRequests) {
		w := l.controller.pendingRequests[id]
		delete(l.controller.pendingRequests, id)
		l.controller.replyUnavailable(w.from)
	}
}

// takePending says whether the requester still waits, and ends that.
func (l *leadership) takePending(from requester) bool {
	if l.controller.pendingRequests[from.id] == nil {
		return false
	}
	delete(l.controller.pendingRequests, from.id)
	return true
}
