package coordination

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
	// served: the last answer given to a worker for the leader.
	served   time.Duration
	serving  bool
	heard    time.Duration // when the leader last answered; 0: never
	toldAt   time.Duration // when another controller last named the leader
	failed   bool          // the last request did not reach a leader
	refused  bool          // as the connection was refused at once
	lostAt   time.Duration // since when none did
	trials   leaderTrials  // of workers' ways to it since then
	busy     bool
	next     time.Duration
	turn     int    // of the sibling asked when no leader is known
	highest  uint64 // highest token known to this process
	lookedAt time.Duration
}

// leaderLabel is who leads, as far as this controller knows: by the state
// service or, where that does not answer it, by the leader itself.
func (c *Core) leaderLabel() string {
	if l := c.view.leader; l != nil && (c.view.known || l.Token >= c.follower.highest) {
		return l.Label
	}
	if d := &c.follower; d.leader != "" && d.heard > 0 && c.now < d.heard+c.cfg.Lease()/2 {
		return d.leader
	}
	return ""
}

// leaderToAsk is the controller that is asked for the leader's clock: whoever leads as far as
// is known, or is said to by another one.
func (c *Core) leaderToAsk() string {
	if label := c.leaderLabel(); label != "" {
		return label
	}
	if d := &c.follower; d.leader != "" && d.toldAt > 0 && c.now < d.toldAt+c.cfg.Lease()/2 {
		return d.leader
	}
	return ""
}

// keepFollowing stays in touch with the leader.
func (c *Core) keepFollowing() {
	d := &c.follower
	if c.view.leader != nil {
		d.highest = max(d.highest, c.view.leader.Token)
	}
	if c.term != nil {
		*d = follower{highest: max(d.highest, c.term.token), served: d.served}
		return
	}
	if d.busy || c.now < d.next || len(c.cfg.Siblings) == 0 {
		return
	}
	asked := c.leaderToAsk()
	if asked == "" || asked == c.cfg.Label || (d.failed && d.turn%2 == 1) {
		asked = c.cfg.Siblings[d.turn/2%len(c.cfg.Siblings)].Label
	}
	addr := c.addrOf(asked)
	if addr == "" {
		return
	}
	d.busy = true
	sent := c.now
	c.call(ToPeer, addr, "POST", "/heartbeat", protocol.EncodePeer(c.heartbeat()), c.cfg.Lease()/10, func(res Result) {
		c.onHeartbeatReply(asked, sent, res)
	})
}

// onHeartbeatReply takes the answer of the controller that was asked for the leader's clock.
func (c *Core) onHeartbeatReply(asked string, sent time.Duration, res Result) {
	d := &c.follower
	if sent < c.wokeAt {
		d.busy = false // from before a standstill: it tells nothing of now
		return
	}
	c.resumed(sent, res.Status != 0)
	if res.Status == 200 {
		c.heardPeer(asked, sent)
	}
	if c.term != nil {
		return
	}
	d.busy, d.next = false, sent+c.cfg.Heartbeat()
	var g protocol.HeartbeatReply
	ok := res.Status == 200 && protocol.DecodePeer(res.Body, &g) == nil && g.Token >= d.highest
	if ok && g.Leader != "" && g.Leader != c.cfg.Label {
		d.highest, d.leader, d.toldAt = max(d.highest, g.Token), g.Leader, c.now
	}
	// Only a leader gives a reading of its clock. One that had led, ended and was
	// back in a zone that is cut off once heard from the other controller there that
	// it leads, said so itself, and passed for the leader: the other one no longer
	// renewed the zone's leases.
	if !ok || g.Leader != asked || g.LeaderClock == 0 {
		d.turn++
		if asked == c.leaderLabel() {
			// A connection that was not made in time may have been held up.
			d.refused = res.NoConn && c.now < sent+c.cfg.Lease()/20
		}
		c.lostLeader()
		return
	}
	if d.serving {
		c.log.Info("the leader is heard again", "leader", g.Leader, "token", g.Token)
	}
	d.failed, d.refused, d.serving, d.heard = false, false, false, c.now
	d.trials = leaderTrials{}
	d.token, d.leaderClock = g.Token, g.LeaderClock
}

// heartbeat is what this controller tells a leader.
func (c *Core) heartbeat() protocol.Heartbeat {
	d := &c.follower
	ask := protocol.Heartbeat{From: c.cfg.Label, Incarnation: c.incarnation, Token: d.highest, ServedMS: -1, UptimeMS: c.now.Milliseconds(), Forms: c.formStatement()}
	if d.token == d.highest {
		ask.LeaderClock = d.leaderClock
	}
	if d.served > 0 {
		ask.ServedMS = (c.now - d.served).Milliseconds()
	}
	return ask
}

// renewsLease says whether this controller answers the worker for the leader: it reaches neither a leader nor the state service that would name one,
// and the worker is of its own zone and has had a leader. For a moment it does so too while the
// state service still names a leader that does not answer: that one has most probably ended or
// stands still, and the next will be known before long. Workers that were sent to it waited for
// 4 s there and as long for the next controller that had ended, and their leases ran out.
// After that a leader that the state service still names is there, and workers go to it if they
// can reach it (leadertrial.go).
func (c *Core) renewsLease(msg *protocol.Report) bool {
	d := &c.follower
	if !d.failed || msg.Zone != c.cfg.Zone || msg.Token == 0 {
		return false
	}
	if c.view.known && c.view.leader != nil && c.now > d.lostAt+c.successionTime() && c.sendsToLeader(msg) {
		return false
	}
	if !d.serving {
		c.log.Info("renewing leases for the leader in this zone", "token", msg.Token)
	}
	d.serving, d.served = true, c.now
	return true
}

// lostLeader notes that the leader did not answer. Is it lost, or are we? The
// state service tells, if it answers us.
func (c *Core) lostLeader() {
	d := &c.follower
	if !d.failed {
		d.failed, d.lostAt = true, c.now
	}
	if c.view.known && c.now > d.lookedAt+c.cfg.LeaderTTL() {
		d.lookedAt = c.now
		c.view.refresh(c.now)
	}
}

// successionTime is how long it takes at the most until the state service no longer names a
// leader that has ended: its lease, and the election of the next.
func (c *Core) successionTime() time.Duration { return 2 * c.cfg.LeaderTTL() }

func (c *Core) renewLease(from requester, msg *protocol.Report) {
	c.reply(from, 200, protocol.Encode(protocol.ReportReply{Token: msg.Token, Commands: []protocol.Command{}}), 0)
}

// forwards says whether the worker's report is passed on to the leader: workers
// report to a controller of their own zone, so that none has to look for one
// when the zone is cut off. Looking took up to 4 s a controller, and longer than
// a lease where the next two were outside.
func (c *Core) forwards(msg *protocol.Report) bool {
	d := &c.follower
	return msg.Zone == c.cfg.Zone && d.token != 0 && d.token >= d.highest && !d.failed && c.addrOf(d.leader) != ""
}

// forwardWithin is well inside the 4 s that a worker waits: one whose leader is
// cut off from us must get our own answer in that time.
const forwardWithin = reportWait / 2

func (c *Core) forward(from requester, msg *protocol.Report, body []byte) {
	leader := c.follower.leader
	within := min(c.cfg.Lease()/8, forwardWithin)
	deadline := c.now + within
	relay := protocol.Relay{Op: string(OpReport), Body: body, From: c.cfg.Label}
	c.send(&leaderRequest{from: from, leader: leader, path: "/forward", relay: relay, deadline: deadline, then: func(res Result) {
		reply, ok := readRelayReply(res)
		d := &c.follower
		switch {
		case c.term != nil:
			c.term.takeOverReport(from, msg, body)
		case ok:
			c.reply(from, reply.Status, reply.Body, reply.RetryAfter)
		default:
			if leader == d.leader {
				c.lostLeader()
			}
			if c.renewsLease(msg) {
				c.renewLease(from, msg)
				return
			}
			c.reply(from, 421, protocol.Encode(protocol.Elsewhere{Leader: c.leaderLabel()}), 0)
		}
	}})
}

// peer is what a leader knows of another controller.
type peer struct {
	zone        string
	incarnation string
	contact     time.Duration // when it was first heard in this term
	asked       time.Duration // and last
	started     time.Duration // when its process did, by our clock
	// clear: up to here it had served nobody later than served.
	clear, served time.Duration
	route         route
}

// onHeartbeat answers a controller that stays in touch with the leader.
func (c *Core) onHeartbeat(from requester, body []byte) {
	var ask protocol.Heartbeat
	if protocol.DecodePeer(body, &ask) != nil || c.addrOf(ask.From) == "" {
		c.reply(from, 400, nil, 0)
		return
	}
	r := c.term
	if r != nil && ask.Token > r.token {
		c.endTerm("another controller knows a later leader")
		r = nil
	}
	g := protocol.HeartbeatReply{Token: c.follower.highest, Forms: c.formStatement()}
	if r != nil && r.suspended() && c.membership.enabled() {
		c.reply(from, 200, protocol.EncodePeer(g), 0) // it may have been replaced
		return
	}
	if r == nil {
		if label := c.leaderLabel(); label != c.cfg.Label {
			g.Leader = label // our own is that of an earlier process
		}
		c.reply(from, 200, protocol.EncodePeer(g), 0)
		return
	}
	g.Leader, g.Token, g.LeaderClock = c.cfg.Label, r.token, uint64(c.now)
	r.hearForms(&ask)
	p := r.peers[ask.From]
	p.asked = c.now
	if p.contact == 0 {
		p.contact = c.now
	}
	if p.incarnation != ask.Incarnation {
		p.incarnation, p.served = ask.Incarnation, c.now
		p.started = c.now - time.Duration(ask.UptimeMS)*time.Millisecond
	}
	if ask.ServedMS >= 0 {
		p.served = max(p.served, c.now-time.Duration(ask.ServedMS)*time.Millisecond)
	}
	if ask.Token == r.token && ask.LeaderClock != 0 {
		p.clear = max(p.clear, time.Duration(ask.LeaderClock))
	}
	c.reply(from, 200, protocol.EncodePeer(g), 0)
}
