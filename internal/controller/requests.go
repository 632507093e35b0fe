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
		return c.leadership.loader.ready || c.env.now < c.leadership.lease.electedAt+c.env.cfg.Lease()
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

// requester is who asked: a user or worker directly, or another controller for one.
type requester struct {
	id    uint64
	relay bool
	by    string // the controller that forwarded a report, if it tells
}
