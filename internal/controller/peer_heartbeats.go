package controller

import (
	"time"

	"claybarrow/internal/protocol"
)

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
	if protocol.DecodePeer(body, &ask) != nil || c.env.peerAddr(ask.From) == "" {
		c.outbox.reply(from, 400, nil, 0)
		return
	}
	l := c.leadership
	if l != nil && ask.Token > l.lease.token {
		c.endLeadership(endPeerKnowsLater)
		l = nil
	}
	g := protocol.PeerHeartbeatReply{Token: c.follower.contact.highestToken, Versions: c.versionStatement()}
	if l != nil && l.lease.verifiesLease() && c.detection.enabled() {
		c.outbox.reply(from, 200, protocol.EncodePeer(g), 0) // it may have been replaced
		return
	}
	if l == nil {
		if label := c.follower.leaderLabel(); label != c.env.cfg.Label {
			g.Leader = label // our own is that of an earlier process
		}
		c.outbox.reply(from, 200, protocol.EncodePeer(g), 0)
		return
	}
	g.Leader, g.Token, g.LeaderClock = c.env.cfg.Label, l.lease.token, uint64(c.env.now)
	l.gating.onVersionStatement(&ask)
	p := l.peers[ask.From]
	p.lastHeard = c.env.now
	if p.firstHeard == 0 {
		p.firstHeard = c.env.now
	}
	if p.incarnation != ask.Incarnation {
		p.incarnation, p.lastServed = ask.Incarnation, c.env.now
		p.startedAt = c.env.now - time.Duration(ask.UptimeMS)*time.Millisecond
	}
	if ask.ServedMS >= 0 {
		p.lastServed = max(p.lastServed, c.env.now-time.Duration(ask.ServedMS)*time.Millisecond)
	}
	if ask.Token == l.lease.token && ask.LeaderClock != 0 {
		p.servedKnownUntil = max(p.servedKnownUntil, time.Duration(ask.LeaderClock))
	}
	c.outbox.reply(from, 200, protocol.EncodePeer(g), 0)
}
