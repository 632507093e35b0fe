package coordination

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
	case OpReady, OpHeartbeat, OpProbe, OpReport:
		return false // reports are refused where they are taken
	}
	return true
}

// send sends a request to the leader by the way that is known to work.
func (c *Core) send(q *leaderRequest) {
	to, relay := q.leader, q.relay
	if via := c.detour(q); via != "" {
		to, relay.To = via, q.leader
		c.observer.Detoured()
	}
	body := protocol.EncodePeer(relay)
	c.call(ToPeer, c.addrOf(to), "POST", q.path, body, q.deadline-c.now, func(res Result) {
		if res.Status == 0 && res.NoConn && c.retryLater(q) {
			return
		}
		q.then(res)
	})
}

// detour is the controller that reaches the leader, while we don't; "": the direct way is as
// good as any.
func (c *Core) detour(q *leaderRequest) string {
	if !c.membership.enabled() || q.relay.To != "" || q.from.relay {
		return "" // what came by another controller goes on directly or not at all
	}
	via, _ := c.membership.detector.Way(q.leader)
	return via
}

// retryLater has a request sent once more, if there is time; false: there is not.
func (c *Core) retryLater(q *leaderRequest) bool {
	at := c.now + c.pause()
	if !c.membership.enabled() || q.retried || c.term != nil || at >= q.deadline {
		return false
	}
	q.retried = true
	c.observer.Retried()
	c.retries = append(c.retries, retry{at: at, request: q})
	return true
}

// runRetries sends what is due once more. One whose time is over meanwhile is given up.
func (c *Core) runRetries() {
	due := c.retries
	c.retries = nil
	for _, r := range due {
		switch {
		case c.now < r.at:
			c.retries = append(c.retries, r)
		case c.now >= r.request.deadline || c.term != nil:
			r.request.then(Result{})
		default:
			c.send(r.request)
		}
	}
}

// relayToLeader passes a request on and answers it, at the latest when its time is over.
func (c *Core) relayToLeader(from requester, leader, path string, relay protocol.Relay) {
	if c.addrOf(leader) == "" || c.cannotReach(leader) || len(c.pendingRequests) >= c.cfg.Cluster.Resources.FDs/2 {
		c.refuse(from)
		return
	}
	c.pendingRequests[from.id] = &pendingRequest{from: from, deadline: c.now + decideWithin}
	c.send(&leaderRequest{from: from, leader: leader, path: path, relay: relay, deadline: c.now + relayWithin, then: func(res Result) {
		if c.pendingRequests[from.id] == nil {
			return
		}
		delete(c.pendingRequests, from.id)
		reply, ok := readRelayReply(res)
		if !ok {
			c.refuse(from)
			return
		}
		c.reply(from, reply.Status, reply.Body, reply.RetryAfter)
	}})
}

// cannotReach says whether a controller is dead to us and to all that we asked: waiting for its
// answer would be in vain.
func (c *Core) cannotReach(label string) bool {
	if c.stateOf(label) != membership.Dead {
		return false
	}
	_, reached := c.membership.detector.Way(label)
	return !reached
}

// passOn sends a request on to the leader for a controller that does not reach it. It is not
// sent on a second time.
func (c *Core) passOn(from requester, q Request, relay protocol.Relay) {
	leader := c.leaderLabel()
	if !c.membership.enabled() || relay.To == "" || relay.To != leader || leader == c.cfg.Label {
		c.refuse(from)
		return
	}
	relay.To = ""
	path := "/relay"
	if q.Op == OpForward {
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
