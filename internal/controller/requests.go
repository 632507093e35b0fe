package controller

import (
	"net/http"

	"claybarrow/internal/protocol"
)

// A user's request passes these steps:
//
//  1. onRequest takes it from the transport, and refuses it if the process has just been paused.
//  2. onUserRequest hands it to the leader's userRequests, or to leaderRelay where another controller leads. The
//     leader gets it there as an OpRelay, in onRelayedRequest.
//  3. userRequests answers at once, or notes the requester in the pendingTable while the record is stored that
//     the answer depends on.
//  4. Once it is stored the requester is taken from the table and answered. One that waits for longer than
//     decisionTimeout, or whose leader ends, is told to come back: requests are idempotent.

// onRequest takes a request and answers it, now or by its deadline.
func (c *Controller) onRequest(request Request) {
	from := requester{id: request.ID}
	if c.pause.isRecovering() && request.Op.needsLeader() {
		from.relayed = request.Op == OpRelay || request.Op == OpForwardedHeartbeat
		c.outbox.replyUnavailable(from)
		return
	}
	switch request.Op {
	case OpReady:
		c.onReadinessCheck(from)
	case OpWorkerHeartbeat:
		c.onWorkerHeartbeat(from, request.Body)
	case OpForwardedHeartbeat:
		c.onForwardedHeartbeat(from, request.Body)
	case OpPeerHeartbeat:
		c.onPeerHeartbeat(from, request.Body)
	case OpProbe:
		c.detection.onProbe(from, request.Body)
	case OpRelay:
		c.onRelayedRequest(from, request.Body)
	case OpSubmit, OpPoll, OpCancel:
		c.onUserRequest(from, request)
	default:
		c.onUserRequest(from, request) // the leader refuses what it doesn't know
	}
}

// needsLeader reports whether a request can be answered only by the leader or with its help. Workers'
// heartbeats need it too, but onWorkerHeartbeat refuses those itself.
func (op Op) needsLeader() bool {
	switch op {
	case OpReady, OpPeerHeartbeat, OpProbe, OpWorkerHeartbeat:
		return false
	case OpSubmit, OpPoll, OpCancel, OpRelay, OpForwardedHeartbeat:
		return true
	}
	return true
}

// onUserRequest decides a user's request, or relays it to the leader.
func (c *Controller) onUserRequest(from requester, request Request) {
	if c.leadership == nil {
		c.relay.relayFromUser(from, request)
		return
	}
	c.leadership.userRequests.handle(from, request.Op, request.UID, request.Body)
}

// onRelayedRequest decides a user's request that another controller relayed, or relays it once more for a
// controller that does not reach the leader.
func (c *Controller) onRelayedRequest(from requester, body []byte) {
	var relay protocol.ForwardedRequest
	if protocol.DecodePeer(body, &relay) != nil {
		c.outbox.reply(from, http.StatusBadRequest, nil, 0)
		return
	}
	from.relayed = true
	if c.leadership == nil {
		c.relay.relayFromPeer(from, relayPath, relay)
		return
	}
	c.leadership.userRequests.handle(from, Op(relay.Operation), relay.UID, relay.Body)
}

// onForwardedHeartbeat takes a worker's heartbeat that another controller forwarded, or forwards it once more
// for a controller that does not reach the leader.
func (c *Controller) onForwardedHeartbeat(from requester, body []byte) {
	from.relayed = true
	var relay protocol.ForwardedRequest
	if protocol.DecodePeer(body, &relay) != nil {
		c.outbox.replyUnavailable(from)
		return
	}
	if c.leadership == nil {
		c.relay.relayFromPeer(from, forwardedHeartbeatPath, relay)
		return
	}
	from.forwardedBy = relay.From
	c.onWorkerHeartbeat(from, relay.Body)
}

// onReadinessCheck answers the load balancer.
func (c *Controller) onReadinessCheck(from requester) {
	if !c.isReady() {
		c.outbox.replyUnavailable(from)
		return
	}
	c.outbox.reply(from, http.StatusOK, nil, 0)
}

// isReady reports whether the load balancer should send requests here. It must not flap, as the load balancer
// doubles its pause at each removal: a controller is ready while it knows a leader, or has lost the last one
// only a moment ago. What can't be decided in that time is refused at once with status 503.
func (c *Controller) isReady() bool {
	if l := c.leadership; l != nil {
		return l.loader.ready || c.env.now < l.lease.electedAt+c.env.cfg.WorkerLease()
	}
	return c.follower.isReady()
}
