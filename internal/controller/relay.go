package controller

import (
	"net/http"
	"time"

	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// A follower relays users' requests and workers' heartbeats to the leader. While this controller can't reach the leader
// and suspects it, but another controller can reach it, requests are relayed through that controller, over at most one
// intermediate hop. A request whose connection failed is retried once after a short randomized delay, so that the
// controllers do not retry in step. The retry does not extend the deadline of the request.

// leaderRelay relays requests to the leader, directly or through a controller that can reach it. Its lifetime is that
// of the process. When this controller is elected, the requests that wait for a retry are abandoned.
type leaderRelay struct {
	controller *Controller
	detection  *failureDetection
	env        *environment
	follower   *follower
	outbox     *outbox
	pending    *pendingTable

	scheduledRetries []retry
}

// leaderRequest is a request that is being relayed to the leader.
type leaderRequest struct {
	from      requester
	leader    string // label of the leader
	path      string // RelayPath or ForwardedHeartbeatPath
	forwarded protocol.ForwardedRequest
	deadline  time.Duration // when the request is abandoned
	retried   bool
	// onResult is called with the result. The status is 0 if the request was not answered or was abandoned.
	onResult func(Result)
}

// retry is a request that is scheduled to be sent again at a given time.
type retry struct {
	dueAt   time.Duration
	request *leaderRequest
}

// relayTimeout is the timeout of a relayed request. It is shorter than decisionTimeout, so that the leader's reply can
// still be returned to the requester.
const relayTimeout = 1300 * time.Millisecond

// maxRelayedStatus is the highest valid HTTP status of a relayed reply.
const maxRelayedStatus = 599

// relayFromUser relays a user's request to the leader. A malformed submission is rejected without the leader, unless
// its job id is valid: in that case the leader may have accepted the job earlier.
func (r *leaderRelay) relayFromUser(from requester, request Request) {
	if request.Op == OpSubmit {
		if uid, _, err := protocol.ParseSubmission(request.Body); err != nil && !protocol.ValidJobID(uid) {
			r.outbox.reply(from, http.StatusBadRequest, nil, 0)
			return
		}
	}
	forwarded := protocol.ForwardedRequest{Operation: string(request.Op), UID: request.UID, Body: request.Body}
	r.relayToLeader(from, r.follower.leaderLabel(), RelayPath, forwarded)
}

// relayFromPeer relays a request to the leader for another controller that can't reach it. The request is rejected if
// the two controllers disagree on the leader, and it is not relayed through a further controller.
func (r *leaderRelay) relayFromPeer(from requester, path string, forwarded protocol.ForwardedRequest) {
	leader := r.follower.leaderLabel()
	if !r.detection.enabled() || forwarded.To == "" || forwarded.To != leader || leader == r.env.cfg.Label {
		r.outbox.refuse(from, refusedLeadersDiffer)
		return
	}
	forwarded.To = ""
	r.relayToLeader(from, leader, path, forwarded)
}

// relayToLeader relays a request to the leader and returns the leader's reply to the requester. It rejects the request
// if the leader is unreachable, too many requests are pending or the leader does not reply in time.
func (r *leaderRelay) relayToLeader(from requester, leader, path string, forwarded protocol.ForwardedRequest) {
	switch {
	case r.env.peerAddr(leader) == "":
		r.outbox.refuse(from, refusedNoLeader)
		return
	case r.isUnreachable(leader):
		r.outbox.refuse(from, refusedLeaderUnreachable)
		return
	case r.pending.isFull():
		r.outbox.refuse(from, refusedTooManyPending)
		return
	}
	r.pending.start(from)
	r.sendToLeader(&leaderRequest{
		from:      from,
		leader:    leader,
		path:      path,
		forwarded: forwarded,
		deadline:  r.env.now + relayTimeout,
		onResult:  func(res Result) { r.onLeaderReply(from, res) },
	})
}

// onLeaderReply returns the leader's reply to the requester, unless the pending request has already been answered.
func (r *leaderRelay) onLeaderReply(from requester, res Result) {
	if !r.pending.take(from) {
		return
	}
	reply, ok := readRelayReply(res)
	if !ok {
		r.outbox.refuse(from, refusedNoReply)
		return
	}
	r.outbox.reply(from, reply.Status, reply.Body, reply.RetryAfter)
}

// sendToLeader sends a request to the leader, through an intermediary if only that route is known to work.
func (r *leaderRelay) sendToLeader(request *leaderRequest) {
	to, forwarded := request.leader, request.forwarded
	if intermediary := r.intermediary(request); intermediary != "" {
		to, forwarded.To = intermediary, request.leader
		r.env.observer.RequestRerouted()
	}
	body := protocol.EncodePeer(forwarded)
	r.outbox.peerCall(to, request.path, body, request.deadline-r.env.now, func(res Result) {
		if res.Status == 0 && res.ConnectionFailed && r.scheduleRetry(request) {
			return
		}
		request.onResult(res)
	})
}

// intermediary returns the label of a controller that can reach the leader while this one can't. It is empty if the
// direct route should be used. Requests from other controllers are sent only on the direct route.
func (r *leaderRelay) intermediary(request *leaderRequest) string {
	if !r.detection.enabled() || request.forwarded.To != "" || request.from.relayed {
		return ""
	}
	label, _ := r.detection.detector.RelayRoute(request.leader)
	return label
}

// isUnreachable reports whether the failure detector considers a controller dead and knows no relay route to it, so
// that a request to it would only time out.
func (r *leaderRelay) isUnreachable(label string) bool {
	if r.detection.peerState(label) != membership.Dead {
		return false
	}
	_, reached := r.detection.detector.RelayRoute(label)
	return !reached
}

// scheduleRetry schedules a retry of a request. It returns false if the request must not be retried: it has already
// been retried, the retry would miss its deadline, this controller is now the leader, or failure detection is disabled.
func (r *leaderRelay) scheduleRetry(request *leaderRequest) bool {
	retryAt := r.env.now + r.env.retryPause()
	if !r.detection.enabled() || request.retried || r.controller.leadership != nil || retryAt >= request.deadline {
		return false
	}
	request.retried = true
	r.env.observer.RequestRetried()
	r.scheduledRetries = append(r.scheduledRetries, retry{dueAt: retryAt, request: request})
	return true
}

// runRetries sends the requests whose retry is due. It abandons a request whose deadline has passed, and all due
// requests if this controller is now the leader.
func (r *leaderRelay) runRetries() {
	waiting := r.scheduledRetries
	r.scheduledRetries = nil
	for _, scheduled := range waiting {
		switch {
		case r.env.now < scheduled.dueAt:
			r.scheduledRetries = append(r.scheduledRetries, scheduled)
		case r.env.now >= scheduled.request.deadline || r.controller.leadership != nil:
			scheduled.request.onResult(Result{})
		default:
			r.sendToLeader(scheduled.request)
		}
	}
}

// discardRetries discards all retries after a process pause and rejects the heartbeats among them. The users' requests
// among them are rejected by the pendingTable, which tracks them too.
func (r *leaderRelay) discardRetries() {
	for _, scheduled := range r.scheduledRetries {
		if scheduled.request.path == ForwardedHeartbeatPath {
			r.outbox.replyUnavailable(scheduled.request.from)
		}
	}
	r.scheduledRetries = nil
}

// readRelayReply decodes the leader's reply to a relayed request. It returns false if there is no valid reply.
func readRelayReply(res Result) (protocol.ForwardedReply, bool) {
	var reply protocol.ForwardedReply
	ok := res.Status == http.StatusOK && protocol.DecodePeer(res.Body, &reply) == nil &&
		reply.Status >= http.StatusOK && reply.Status <= maxRelayedStatus
	return reply, ok
}
