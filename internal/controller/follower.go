package controller

import (
	"time"

	"claybarrow/internal/protocol"
)

// A zone that is cut off keeps its workers and, where there is one, a
// controller. That controller is the zone's follower: it answers the workers in
// the leader's stead, with the token they show and no commands, so that their
// leases go on while nobody can start or stop anything there. Without it, a cut
// longer than a lease killed every task in the zone, and replicas that must be
// spread over zones had nowhere else to go.
//
// The safety of it is the leader's. It takes no lease in a zone for over by time
// alone unless every controller of that zone has told it since, in answer to a
// reading of its clock, that it had served nobody for a lease. A process that ends
// forgets what it served, so a new incarnation counts as having served until it
// was heard. While such a controller is silent, only the cloud's word proves that
// a machine there is gone. It needs no disk and no leave given in time: followers
// that end in the middle of a cut go on where they were.

// follower is what a controller that does not lead knows of the leader.
type follower struct {
	leader      string // who answered as the leader, or is said to lead
	token       uint64 // of the last answer, with the leader's clock
	leaderClock uint64
	// lastServed: the last answer given to a worker for the leader.
	lastServed        time.Duration
	servesLeases      bool
	leaderHeardAt     time.Duration // when the leader last answered; 0: never
	leaderNamedAt     time.Duration // when another controller last named the leader
	leaderLost        bool          // the last request did not reach a leader
	connectionRefused bool          // as the connection was refused at once
	leaderLostAt      time.Duration // since when none did
	leaderProbes      leaderProbes  // of workers' ways to it since then
	inFlight          bool
	nextAt            time.Duration
	nextSibling       int    // of the sibling asked when no leader is known
	highestToken      uint64 // highestToken token known to this process
	keysCheckedAt     time.Duration
}

// leaderLabel is who leads, as far as this controller knows: by the state
// service or, where that does not answer it, by the leader itself.
func (c *Controller) leaderLabel() string {
	if l := c.leaderKeys.leader; l != nil && (c.leaderKeys.known || l.Token >= c.follower.highestToken) {
		return l.Label
	}
	if f := &c.follower; f.leader != "" && f.leaderHeardAt > 0 && c.now < f.leaderHeardAt+c.cfg.Lease()/2 {
		return f.leader
	}
	return ""
}

// heartbeatTarget is the controller that is asked for the leader's clock: whoever leads as far as
// is known, or is said to by another one.
func (c *Controller) heartbeatTarget() string {
	if label := c.leaderLabel(); label != "" {
		return label
	}
	if f := &c.follower; f.leader != "" && f.leaderNamedAt > 0 && c.now < f.leaderNamedAt+c.cfg.Lease()/2 {
		return f.leader
	}
	return ""
}

// sendPeerHeartbeat stays in touch with the leader.
func (c *Controller) sendPeerHeartbeat() {
	f := &c.follower
	if c.leaderKeys.leader != nil {
		f.highestToken = max(f.highestToken, c.leaderKeys.leader.Token)
	}
	if c.leadership != nil {
		*f = follower{highestToken: max(f.highestToken, c.leadership.token), lastServed: f.lastServed}
		return
	}
	if f.inFlight || c.now < f.nextAt || len(c.cfg.Siblings) == 0 {
		return
	}
	asked := c.heartbeatTarget()
	if asked == "" || asked == c.cfg.Label || (f.leaderLost && f.nextSibling%2 == 1) {
		asked = c.cfg.Siblings[f.nextSibling/2%len(c.cfg.Siblings)].Label
	}
	addr := c.peerAddr(asked)
	if addr == "" {
		return
	}
	f.inFlight = true
	sent := c.now
	c.call(ToPeer, addr, "POST", "/heartbeat", protocol.EncodePeer(c.peerHeartbeat()), c.cfg.Lease()/10, func(res Result) {
		c.onPeerHeartbeatReply(asked, sent, res)
	})
}

// onPeerHeartbeatReply takes the answer of the controller that was asked for the leader's clock.
func (c *Controller) onPeerHeartbeatReply(asked string, sent time.Duration, res Result) {
	f := &c.follower
	if sent < c.resumedAt {
		f.inFlight = false // from before a standstill: it tells nothing of now
		return
	}
	c.noteAnswer(sent, res.Status != 0)
	if res.Status == 200 {
		c.notePeerAnswer(asked, sent)
	}
	if c.leadership != nil {
		return
	}
	f.inFlight, f.nextAt = false, sent+c.cfg.Heartbeat()
	var g protocol.PeerHeartbeatReply
	ok := res.Status == 200 && protocol.DecodePeer(res.Body, &g) == nil && g.Token >= f.highestToken
	if ok && g.Leader != "" && g.Leader != c.cfg.Label {
		f.highestToken, f.leader, f.leaderNamedAt = max(f.highestToken, g.Token), g.Leader, c.now
	}
	// Only a leader gives a reading of its clock. One that had led, ended and was
	// back in a zone that is cut off once heard from the other controller there that
	// it leads, said so itself, and passed for the leader: the other one no longer
	// renewed the zone's leases.
	if !ok || g.Leader != asked || g.LeaderClock == 0 {
		f.nextSibling++
		if asked == c.leaderLabel() {
			// A connection that was not made in time may have been held up.
			f.connectionRefused = res.ConnectionFailed && c.now < sent+c.cfg.Lease()/20
		}
		c.noteLeaderUnanswered()
		return
	}
	if f.servesLeases {
		c.log.Info("the leader is heard again", "leader", g.Leader, "token", g.Token)
	}
	f.leaderLost, f.connectionRefused, f.servesLeases, f.leaderHeardAt = false, false, false, c.now
	f.leaderProbes = leaderProbes{}
	f.token, f.leaderClock = g.Token, g.LeaderClock
}

// peerHeartbeat is what this controller tells a leader.
func (c *Controller) peerHeartbeat() protocol.PeerHeartbeat {
	f := &c.follower
	ask := protocol.PeerHeartbeat{From: c.cfg.Label, Incarnation: c.incarnation, Token: f.highestToken, ServedMS: -1, UptimeMS: c.now.Milliseconds(), Versions: c.versionStatement()}
	if f.token == f.highestToken {
		ask.LeaderClock = f.leaderClock
	}
	if f.lastServed > 0 {
		ask.ServedMS = (c.now - f.lastServed).Milliseconds()
	}
	return ask
}

// renewsLeaseForLeader says whether this controller answers the worker for the leader: it reaches neither a leader nor the state service that would name one,
// and the worker is of its own zone and has had a leader. For a moment it does so too while the
// state service still names a leader that does not answer: that one has most probably ended or
// stands still, and the next will be known before long. Workers that were sent to it waited for
// 4 s there and as long for the next controller that had ended, and their leases ran out.
// After that a leader that the state service still names is there, and workers go to it if they
// can reach it (leadertrial.go).
func (c *Controller) renewsLeaseForLeader(msg *protocol.WorkerHeartbeat) bool {
	f := &c.follower
	if !f.leaderLost || msg.Zone != c.cfg.Zone || msg.Token == 0 {
		return false
	}
	if c.leaderKeys.known && c.leaderKeys.leader != nil && c.now > f.leaderLostAt+c.maxFailoverTime() && c.sendsWorkerToLeader(msg) {
		return false
	}
	if !f.servesLeases {
		c.log.Info("renewing leases for the leader in this zone", "token", msg.Token)
	}
	f.servesLeases, f.lastServed = true, c.now
	return true
}

// noteLeaderUnanswered notes that the leader did not answer. Is it lost, or are we? The
// state service tells, if it answers us.
func (c *Controller) noteLeaderUnanswered() {
	f := &c.follower
	if !f.leaderLost {
		f.leaderLost, f.leaderLostAt = true, c.now
	}
	if c.leaderKeys.known && c.now > f.keysCheckedAt+c.cfg.LeaderTTL() {
		f.keysCheckedAt = c.now
		c.leaderKeys.refresh(c.now)
	}
}

// maxFailoverTime is how long it takes at the most until the state service no longer names a
// leader that has ended: its lease, and the election of the next.
func (c *Controller) maxFailoverTime() time.Duration { return 2 * c.cfg.LeaderTTL() }

func (c *Controller) replyLeaseOnly(from requester, msg *protocol.WorkerHeartbeat) {
	c.reply(from, 200, protocol.Encode(protocol.WorkerHeartbeatReply{Token: msg.Token, Commands: []protocol.Command{}}), 0)
}

// forwardsHeartbeat says whether the worker's report is passed on to the leader: workers
// report to a controller of their own zone, so that none has to look for one
// when the zone is cut off. Looking took up to 4 s a controller, and longer than
// a lease where the next two were outside.
func (c *Controller) forwardsHeartbeat(msg *protocol.WorkerHeartbeat) bool {
	f := &c.follower
	return msg.Zone == c.cfg.Zone && f.token != 0 && f.token >= f.highestToken && !f.leaderLost && c.peerAddr(f.leader) != ""
}

// forwardTimeout is well inside the 4 s that a worker waits: one whose leader is
// cut off from us must get our own answer in that time.
const forwardTimeout = heartbeatTimeout / 2

func (c *Controller) forwardHeartbeat(from requester, msg *protocol.WorkerHeartbeat, body []byte) {
	leader := c.follower.leader
	within := min(c.cfg.Lease()/8, forwardTimeout)
	deadline := c.now + within
	relay := protocol.Relay{Op: string(OpWorkerHeartbeat), Body: body, From: c.cfg.Label}
	c.sendToLeader(&leaderRequest{from: from, leader: leader, path: "/forward", relay: relay, deadline: deadline, then: func(res Result) {
		reply, ok := readRelayReply(res)
		f := &c.follower
		switch {
		case c.leadership != nil:
			c.leadership.answerForwardedHeartbeat(from, msg, body)
		case ok:
			c.reply(from, reply.Status, reply.Body, reply.RetryAfter)
		default:
			if leader == f.leader {
				c.noteLeaderUnanswered()
			}
			if c.renewsLeaseForLeader(msg) {
				c.replyLeaseOnly(from, msg)
				return
			}
			c.reply(from, 421, protocol.Encode(protocol.Redirect{Leader: c.leaderLabel()}), 0)
		}
	}})
}

// peer is what a leader knows of another controller.
type peer struct {
	zone        string
	incarnation string
	firstHeard  time.Duration // when it was first heard in this term
	lastHeard   time.Duration // and last
	startedAt   time.Duration // when its process did, by our clock
	// servedKnownUntil: up to here it had served nobody later than served.
	servedKnownUntil, lastServed time.Duration
	route                        heartbeatRoute
}

// onPeerHeartbeat answers a controller that stays in touch with the leader.
func (c *Controller) onPeerHeartbeat(from requester, body []byte) {
	var ask protocol.PeerHeartbeat
	if protocol.DecodePeer(body, &ask) != nil || c.peerAddr(ask.From) == "" {
		c.reply(from, 400, nil, 0)
		return
	}
	l := c.leadership
	if l != nil && ask.Token > l.token {
		c.endLeadership("another controller knows a later leader")
		l = nil
	}
	g := protocol.PeerHeartbeatReply{Token: c.follower.highestToken, Versions: c.versionStatement()}
	if l != nil && l.verifiesLease() && c.detection.enabled() {
		c.reply(from, 200, protocol.EncodePeer(g), 0) // it may have been replaced
		return
	}
	if l == nil {
		if label := c.leaderLabel(); label != c.cfg.Label {
			g.Leader = label // our own is that of an earlier process
		}
		c.reply(from, 200, protocol.EncodePeer(g), 0)
		return
	}
	g.Leader, g.Token, g.LeaderClock = c.cfg.Label, l.token, uint64(c.now)
	l.onVersionStatement(&ask)
	p := l.peers[ask.From]
	p.lastHeard = c.now
	if p.firstHeard == 0 {
		p.firstHeard = c.now
	}
	if p.incarnation != ask.Incarnation {
		p.incarnation, p.lastServed = ask.Incarnation, c.now
		p.startedAt = c.now - time.Duration(ask.UptimeMS)*time.Millisecond
	}
	if ask.ServedMS >= 0 {
		p.lastServed = max(p.lastServed, c.now-time.Duration(ask.ServedMS)*time.Millisecond)
	}
	if ask.Token == l.token && ask.LeaderClock != 0 {
		p.servedKnownUntil = max(p.servedKnownUntil, time.Duration(ask.LeaderClock))
	}
	c.reply(from, 200, protocol.EncodePeer(g), 0)
}
