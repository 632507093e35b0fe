package controller

import (
	"net/http"
	"time"

	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// Users' requests and workers' heartbeats go to the leader. While this controller does not reach the leader,
// and suspects it for that, but another controller does, they go by that one: one hop, never more. A request
// whose connection could not be made is sent once more after a short pause, spread so that the controllers do
// not retry in step. All of that happens within the time that the request had in the first place.

// leaderRelay relays requests to the leader, directly or by a controller that reaches it. It belongs to the
// process; at the election of this controller the requests that still wait for their retry are given up.
type leaderRelay struct {
	controller *Controller
	detection  *failureDetection
	env        *environment
	follower   *follower
	outbox     *outbox
	pending    *pendingTable

	retries []retry
}

// leaderRequest is a request on its way to the leader.
type leaderRequest struct {
	from     requester
	leader   string // its label
	path     string // relayPath or forwardedHeartbeatPath
	relay    protocol.ForwardedRequest
	deadline time.Duration // when it is given up
	retried  bool
	// then is called with the outcome; a Result with status 0 if the request is given up.
	then func(Result)
}

// retry is a request that is sent once more, and when.
type retry struct {
	at      time.Duration
	request *leaderRequest
}

// relayTimeout is how long the leader's answer to a relayed request may take: less than decisionTimeout, so
// that the answer is still of use.
const relayTimeout = 1300 * time.Millisecond

// maxRelayedStatus is the highest HTTP status that a relayed answer may carry.
const maxRelayedStatus = 599

// relayFromUser relays a user's request to the leader. A malformed submission needs no leader to be rejected,
// unless its id is valid: then the leader may have accepted that job before.
func (r *leaderRelay) relayFromUser(from requester, request Request) {
	if request.Op == OpSubmit {
		if uid, _, err := protocol.ParseSubmission(request.Body); err != nil && !protocol.ValidJobID(uid) {
			r.outbox.reply(from, http.StatusBadRequest, nil, 0)
			return
		}
	}
	relay := protocol.ForwardedRequest{Operation: string(request.Op), UID: request.UID, Body: request.Body}
	r.relayToLeader(from, r.follower.leaderLabel(), relayPath, relay)
}

// relayFromPeer relays a request to the leader for a controller that does not reach it. It is not relayed a
// second time, and only to the leader that both controllers know.
func (r *leaderRelay) relayFromPeer(from requester, path string, relay protocol.ForwardedRequest) {
	leader := r.follower.leaderLabel()
	if !r.detection.enabled() || relay.To == "" || relay.To != leader || leader == r.env.cfg.Label {
		r.outbox.replyUnavailable(from)
		return
	}
	relay.To = ""
	r.relayToLeader(from, leader, path, relay)
}

// relayToLeader relays a request and answers it with the leader's answer, or refuses it when its time is over.
func (r *leaderRelay) relayToLeader(from requester, leader, path string, relay protocol.ForwardedRequest) {
	if r.env.peerAddr(leader) == "" || r.isUnreachable(leader) || r.pending.isFull() {
		r.outbox.replyUnavailable(from)
		return
	}
	r.pending.start(from)
	r.sendToLeader(&leaderRequest{
		from:     from,
		leader:   leader,
		path:     path,
		relay:    relay,
		deadline: r.env.now + relayTimeout,
		then:     func(res Result) { r.onLeaderReply(from, res) },
	})
}

// onLeaderReply answers the requester with the leader's answer.
func (r *leaderRelay) onLeaderReply(from requester, res Result) {
	if !r.pending.take(from) {
		return
	}
	reply, ok := readRelayReply(res)
	if !ok {
		r.outbox.replyUnavailable(from)
		return
	}
	r.outbox.reply(from, reply.Status, reply.Body, reply.RetryAfter)
}

// sendToLeader sends a request to the leader by the route that is known to work.
func (r *leaderRelay) sendToLeader(request *leaderRequest) {
	to, relay := request.leader, request.relay
	if intermediary := r.intermediary(request); intermediary != "" {
		to, relay.To = intermediary, request.leader
		r.env.observer.RequestRerouted()
	}
	body := protocol.EncodePeer(relay)
	r.outbox.peerCall(to, request.path, body, request.deadline-r.env.now, func(res Result) {
		if res.Status == 0 && res.ConnectionFailed && r.scheduleRetry(request) {
			return
		}
		request.then(res)
	})
}

// intermediary is the controller that reaches the leader while this one does not; empty: the direct route is as
// good as any. What came from another controller goes directly or not at all.
func (r *leaderRelay) intermediary(request *leaderRequest) string {
	if !r.detection.enabled() || request.relay.To != "" || request.from.relayed {
		return ""
	}
	label, _ := r.detection.detector.RelayRoute(request.leader)
	return label
}

// isUnreachable reports whether a controller is dead to this one and to all that it has asked: waiting for an
// answer would be in vain.
func (r *leaderRelay) isUnreachable(label string) bool {
	if r.detection.peerState(label) != membership.Dead {
		return false
	}
	_, reached := r.detection.detector.RelayRoute(label)
	return !reached
}

// scheduleRetry has a request sent once more. It returns false if that can't be, as it has been retried already
// or no time is left.
func (r *leaderRelay) scheduleRetry(request *leaderRequest) bool {
	at := r.env.now + r.env.retryPause()
	if !r.detection.enabled() || request.retried || r.controller.leadership != nil || at >= request.deadline {
		return false
	}
	request.retried = true
	r.env.observer.RequestRetried()
	r.retries = append(r.retries, retry{at: at, request: request})
	return true
}

// runRetries sends the requests whose retry is due. Those whose time is over, or that this controller would now
// have to decide itself, are given up.
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

// discardRetries refuses the heartbeats that wait for their retry, after a process pause. Users' requests among
// the retries are refused by the pendingTable, in which they wait too.
func (r *leaderRelay) discardRetries() {
	for _, next := range r.retries {
		if next.request.path == forwardedHeartbeatPath {
			r.outbox.replyUnavailable(next.request.from)
		}
	}
	r.retries = nil
}

// readRelayReply returns the leader's answer to what was relayed; false: there was none.
func readRelayReply(res Result) (protocol.ForwardedReply, bool) {
	var reply protocol.ForwardedReply
	ok := res.Status == http.StatusOK && protocol.DecodePeer(res.Body, &reply) == nil &&
		reply.Status >= http.StatusOK && reply.Status <= maxRelayedStatus
	return reply, ok
}
