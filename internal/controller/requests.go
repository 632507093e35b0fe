package controller

import (
	"net/http"

	"claybarrow/internal/protocol"
)

// A user's request is handled in these steps:
//
//  1. onRequest receives it from the transport, and refuses it if the process has just been paused.
//  2. onUserRequest passes it to userRequests if this controller leads, and otherwise to leaderRelay, which sends it to
//     the leader. The leader receives a relayed request as an OpRelay, in onRelayedRequest.
//  3. userRequests answers at once, or adds the requester to the pendingTable while the record that the answer depends
//     on is being stored.
//  4. Once the record is durable, the requester is removed from the table and gets the reply. A requester that waits
//     longer than decisionTimeout, or whose leader's leadership ends, gets status 503 and should retry: requests are
//     idempotent.

// onRequest handles a request and answers it, at once or by its deadline.
func (c *Controller) onRequest(request Request) {
	from := requester{id: request.ID}
	if c.pause.isRecovering() && request.Op.needsLeader() {
		from.relayed = request.Op == OpRelay || request.Op == OpForwardedHeartbeat
		c.outbox.refuse(from, refusedAfterPause)
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
		c.onUserRequest(from, request) // the leader refuses unsupported operations
	}
}

// needsLeader reports whether a request is refused during the recovery from a process pause because its answer depends
// on the leader. Workers' heartbeats depend on the leader too, but onWorkerHeartbeat refuses them itself.
func (op Op) needsLeader() bool {
	switch op {
	case OpReady, OpPeerHeartbeat, OpProbe, OpWorkerHeartbeat:
		return false
	case OpSubmit, OpPoll, OpCancel, OpRelay, OpForwardedHeartbeat:
		return true
	}
	return true
}

// onUserRequest handles a user's request as the leader, or relays it to the leader.
func (c *Controller) onUserRequest(from requester, request Request) {
	if c.leadership == nil {
		c.relay.relayFromUser(from, request)
		return
	}
	c.leadership.userRequests.handle(from, request.Op, request.UID, request.Body)
}

// onRelayedRequest handles a user's request that another controller relayed. A controller that does not lead relays it
// on behalf of the other controller, which cannot reach the leader.
func (c *Controller) onRelayedRequest(from requester, body []byte) {
	var forwarded protocol.ForwardedRequest
	if protocol.DecodePeer(body, &forwarded) != nil {
		c.outbox.reply(from, http.StatusBadRequest, nil, 0)
		return
	}
	from.relayed = true
	if c.leadership == nil {
		c.relay.relayFromPeer(from, RelayPath, forwarded)
		return
	}
	c.leadership.userRequests.handle(from, Op(forwarded.Operation), forwarded.UID, forwarded.Body)
}

// onForwardedHeartbeat handles a worker's heartbeat that another controller forwarded. A controller that does not lead
// forwards it on behalf of the other controller, which cannot reach the leader.
func (c *Controller) onForwardedHeartbeat(from requester, body []byte) {
	from.relayed = true
	var forwarded protocol.ForwardedRequest
	if protocol.DecodePeer(body, &forwarded) != nil {
		c.outbox.replyUnavailable(from)
		return
	}
	if c.leadership == nil {
		c.relay.relayFromPeer(from, ForwardedHeartbeatPath, forwarded)
		return
	}
	from.forwardedBy = forwarded.From
	c.onWorkerHeartbeat(from, forwarded.Body)
}

// onReadinessCheck answers the load balancer's readiness check.
func (c *Controller) onReadinessCheck(from requester) {
	reason := c.unreadyReason()
	c.logReadiness(reason)
	if reason != ready {
		c.outbox.replyUnavailable(from)
		return
	}
	c.outbox.reply(from, http.StatusOK, nil, 0)
}

// logReadiness logs a change of the answer to readiness checks.
func (c *Controller) logReadiness(reason unreadyReason) {
	if c.readinessLogged && reason == c.loggedReadiness {
		return
	}
	c.readinessLogged, c.loggedReadiness = true, reason
	c.env.log.Info("readiness changed", "ready", reason == ready, "reason", reason)
	c.env.observer.ReadinessChanged(reason == ready, string(reason))
}

// unreadyReason returns why the load balancer should send no requests to this controller, or ready. The result must not flap, because
// the load balancer doubles its pause with each removal. A controller is therefore ready while a leader is known, and
// for a short time after the last leader was lost; requests that need a leader are refused at once with status 503
// during that time.
func (c *Controller) unreadyReason() unreadyReason {
	l := c.leadership
	switch {
	case l == nil:
		return c.follower.unreadyReason()
	case l.loader.ready || c.env.now < l.lease.electedAt+c.env.cfg.WorkerLease():
		return ready
	}
	return unreadyLoading
}
