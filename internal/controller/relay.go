package controller

import (
	"time"

	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// leaderRelay passes requests on to the leader, directly or by a controller that reaches it.
type leaderRelay struct {
	controller *Controller
	detection  *failureDetection
	env        *environment
	follower   *follower
	outbox     *outbox
	pending    *pendingTable

	retries []retry
}

// Users' requests and workers' reports go to the leader. While it is suspected because we don't
// reach it, and another controller does, they go by that one: one hop, never more. A connection
// that could not be made is tried once more after a short pause, spread so that controllers
// don't do it in step. All of it within the time that the request had in the first place.

// leaderRequest is a request on its way to the leader.
type leaderRequest struct {
	from     requester
	leader   string
	path     string
	relay    protocol.Relay
	deadline time.Duration
	retried  bool
	then     func(Result)
}

// retry is a request that is sent once more.
type retry struct {
	at      time.Duration
	request *leaderRequest
}

// needsLeader says whether an answer needs the leader, or to be it.
func (op Op) needsLeader() bool {
	switch op {
	case OpReady, OpPeerHeartbeat, OpProbe, OpWorkerHeartbeat:
		return false // reports are refused where they are taken
	}
	return true
}

// sendToLeader sends a request to the leader by the way that is known to work.
func (r *leaderRelay) sendToLeader(q *leaderRequest) {
	to, relay := q.leader, q.relay
	if via := r.relayPath(q); via != "" {
		to, relay.To = via, q.leader
		r.env.observer.Rerouted()
	}
	body := protocol.EncodePeer(relay)
	r.outbox.call(ToPeer, r.env.peerAddr(to), "POST", q.path, body, q.deadline-r.env.now, func(res Result) {
		if res.Status == 0 && res.ConnectionFailed && r.scheduleRetry(q) {
			return
		}
		q.then(res)
	})
}

// relayPath is the controller that reaches the leader, while we don't; "": the direct way is as
// good as any.
func (r *leaderRelay) relayPath(q *leaderRequest) string {
	if !r.detection.enabled() || q.relay.To != "" || q.from.relay {
		return "" // what came by another controller goes on directly or not at all
	}
	via, _ := r.detection.detector.Way(q.leader)
	return via
}

// scheduleRetry has a request sent once more, if there is time; false: there is not.
func (r *leaderRelay) scheduleRetry(q *leaderRequest) bool {
	at := r.env.now + r.env.retryPause()
	if !r.detection.enabled() || q.retried || r.controller.leadership != nil || at >= q.deadline {
		return false
	}
	q.retried = true
	r.env.observer.Retried()
	r.retries = append(r.retries, retry{at: at, request: q})
	return true
}

// runRetries sends what is due once more. One whose time is over meanwhile is given up.
func (r *leaderRelay) runRetries() {
	due := r.retries
	r.retries = nil
	for _, next := range due {
		switch {
		case r.env.now < next.at:
			r.retries = append(r.retries, next)
		case r.env.now >= next.request.deadline || r.controller.leadership != nil:
			next.request.then(Result{})
		default:
			r.sendToLeader(next.request)
		}
	}
}

// relayToLeader passes a request on and answers it, at the latest when its time is over.
func (r *leaderRelay) relayToLeader(from requester, leader, path string, relay protocol.Relay) {
	if r.env.peerAddr(leader) == "" || r.isUnreachable(leader) || len(r.pending.pendingRequests) >= r.env.cfg.Cluster.Resources.FDs/2 {
		r.outbox.replyUnavailable(from)
		return
	}
	r.pending.pendingRequests[from.id] = &pendingRequest{from: from, deadline: r.env.now + decisionTimeout}
	r.sendToLeader(&leaderRequest{from: from, leader: leader, path: path, relay: relay, deadline: r.env.now + relayTimeout, then: func(res Result) {
		if r.pending.pendingRequests[from.id] == nil {
			return
		}
		delete(r.pending.pendingRequests, from.id)
		reply, ok := readRelayReply(res)
		if !ok {
			r.outbox.replyUnavailable(from)
			return
		}
		r.outbox.reply(from, reply.Status, reply.Body, reply.RetryAfter)
	}})
}

// isUnreachable says whether a controller is dead to us and to all that we asked: waiting for its
// answer would be in vain.
func (r *leaderRelay) isUnreachable(label string) bool {
	if r.detection.peerState(label) != membership.Dead {
		return false
	}
	_, reached := r.detection.detector.Way(label)
	return !reached
}

// forwardRelay sends a request on to the leader for a controller that does not reach it. It is not
// sent on a second time.
func (r *leaderRelay) forwardRelay(from requester, q Request, relay protocol.Relay) {
	leader := r.follower.leaderLabel()
	if !r.detection.enabled() || relay.To == "" || relay.To != leader || leader == r.env.cfg.Label {
		r.outbox.replyUnavailable(from)
		return
	}
	relay.To = ""
	path := "/relay"
	if q.Op == OpForwardedHeartbeat {
		path = "/forward"
	}
	r.relayToLeader(from, leader, path, relay)
}

// readRelayReply reads the leader's answer to what was passed on.
func readRelayReply(res Result) (protocol.RelayReply, bool) {
	var reply protocol.RelayReply
	ok := res.Status == 200 && protocol.DecodePeer(res.Body, &reply) == nil && reply.Status >= 200 && reply.Status <= 599
	return reply, ok
}
