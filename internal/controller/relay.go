package controller

import (
	"maps"
	"slices"
	"time"

	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

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
func (c *Controller) sendToLeader(q *leaderRequest) {
	to, relay := q.leader, q.relay
	if via := c.relayPath(q); via != "" {
		to, relay.To = via, q.leader
		c.observer.Rerouted()
	}
	body := protocol.EncodePeer(relay)
	c.call(ToPeer, c.peerAddr(to), "POST", q.path, body, q.deadline-c.now, func(res Result) {
		if res.Status == 0 && res.ConnectionFailed && c.scheduleRetry(q) {
			return
		}
		q.then(res)
	})
}

// relayPath is the controller that reaches the leader, while we don't; "": the direct way is as
// good as any.
func (c *Controller) relayPath(q *leaderRequest) string {
	if !c.detection.enabled() || q.relay.To != "" || q.from.relay {
		return "" // what came by another controller goes on directly or not at all
	}
	via, _ := c.detection.detector.Way(q.leader)
	return via
}

// scheduleRetry has a request sent once more, if there is time; false: there is not.
func (c *Controller) scheduleRetry(q *leaderRequest) bool {
	at := c.now + c.retryPause()
	if !c.detection.enabled() || q.retried || c.leadership != nil || at >= q.deadline {
		return false
	}
	q.retried = true
	c.observer.Retried()
	c.retries = append(c.retries, retry{at: at, request: q})
	return true
}

// runRetries sends what is due once more. One whose time is over meanwhile is given up.
func (c *Controller) runRetries() {
	due := c.retries
	c.retries = nil
	for _, r := range due {
		switch {
		case c.now < r.at:
			c.retries = append(c.retries, r)
		case c.now >= r.request.deadline || c.leadership != nil:
			r.request.then(Result{})
		default:
			c.sendToLeader(r.request)
		}
	}
}

// relayToLeader passes a request on and answers it, at the latest when its time is over.
func (c *Controller) relayToLeader(from requester, leader, path string, relay protocol.Relay) {
	if c.peerAddr(leader) == "" || c.isUnreachable(leader) || len(c.pendingRequests) >= c.cfg.Cluster.Resources.FDs/2 {
		c.replyUnavailable(from)
		return
	}
	c.pendingRequests[from.id] = &pendingRequest{from: from, deadline: c.now + decisionTimeout}
	c.sendToLeader(&leaderRequest{from: from, leader: leader, path: path, relay: relay, deadline: c.now + relayTimeout, then: func(res Result) {
		if c.pendingRequests[from.id] == nil {
			return
		}
		delete(c.pendingRequests, from.id)
		reply, ok := readRelayReply(res)
		if !ok {
			c.replyUnavailable(from)
			return
		}
		c.reply(from, reply.Status, reply.Body, reply.RetryAfter)
	}})
}

// isUnreachable says whether a controller is dead to us and to all that we asked: waiting for its
// answer would be in vain.
func (c *Controller) isUnreachable(label string) bool {
	if c.peerState(label) != membership.Dead {
		return false
	}
	_, reached := c.detection.detector.Way(label)
	return !reached
}

// forwardRelay sends a request on to the leader for a controller that does not reach it. It is not
// sent on a second time.
func (c *Controller) forwardRelay(from requester, q Request, relay protocol.Relay) {
	leader := c.leaderLabel()
	if !c.detection.enabled() || relay.To == "" || relay.To != leader || leader == c.cfg.Label {
		c.replyUnavailable(from)
		return
	}
	relay.To = ""
	path := "/relay"
	if q.Op == OpForwardedHeartbeat {
		path = "/forward"
	}
	c.relayToLeader(from, leader, path, relay)
}

// readRelayReply reads the leader's answer to what was passed on.
func readRelayReply(res Result) (protocol.RelayReply, bool) {
	var reply protocol.RelayReply
	ok := res.Status == 200 && protocol.DecodePeer(res.Body, &reply) == nil && reply.Status >= 200 && reply.Status <= 599
	return reply, ok
}

func sortedRequests(pending map[uint64]*pendingRequest) []uint64 {
	return slices.Sorted(maps.Keys(pending))
}
