package controller

import (
	"net/http"
	"time"

	"claybarrow/internal/protocol"
)

// peer is what a leader knows of another controller. It begins empty with each leadership: a new leader takes no
// lease in a zone as expired before it has heard that zone's controllers itself.
type peer struct {
	zone        string
	incarnation string        // of its process
	firstHeard  time.Duration // when it was first heard in this leadership; 0: never
	lastHeard   time.Duration
	startedAt   time.Duration // when its process started, by this controller's clock
	// lastServed is when it last renewed a worker's lease for the leader, and servedKnownUntil the time up to which
	// that is known: between the two it renewed none.
	servedKnownUntil, lastServed time.Duration
	route                        heartbeatRoute
}

// onPeerHeartbeat answers the heartbeat of another controller: with who leads, and if this controller does, with a
// reading of its clock.
func (c *Controller) onPeerHeartbeat(from requester, body []byte) {
	var heartbeat protocol.PeerHeartbeat
	if protocol.DecodePeer(body, &heartbeat) != nil || c.env.peerAddr(heartbeat.From) == "" {
		c.outbox.reply(from, http.StatusBadRequest, nil, 0)
		return
	}
	if l := c.leadership; l != nil && heartbeat.Token > l.lease.token {
		c.endLeadership(endPeerKnowsLater)
	}
	reply := protocol.PeerHeartbeatReply{Token: c.follower.contact.highestToken, Versions: c.versionStatement()}
	switch l := c.leadership; {
	case l == nil:
		// A label of our own is that of an earlier process, which led.
		if label := c.follower.leaderLabel(); label != c.env.cfg.Label {
			reply.Leader = label
		}
	case l.lease.verifiesLease() && c.detection.enabled():
		// After a process pause this leader may have been replaced: it names nobody.
	default:
		reply.Leader, reply.Token, reply.LeaderClock = c.env.cfg.Label, l.lease.token, uint64(c.env.now)
		l.gating.onVersionStatement(&heartbeat)
		l.peers[heartbeat.From].noteHeartbeat(&heartbeat, l.lease.token, c.env.now)
	}
	c.outbox.reply(from, http.StatusOK, protocol.EncodePeer(reply), 0)
}

// noteHeartbeat notes a heartbeat that came now to the leader with a token. A new incarnation counts as having
// renewed a lease just now, as it does not know what the one before it did.
func (p *peer) noteHeartbeat(heartbeat *protocol.PeerHeartbeat, token uint64, now time.Duration) {
	p.lastHeard = now
	if p.firstHeard == 0 {
		p.firstHeard = now
	}
	if p.incarnation != heartbeat.Incarnation {
		p.incarnation, p.lastServed = heartbeat.Incarnation, now
		p.startedAt = now - milliseconds(heartbeat.UptimeMS)
	}
	if heartbeat.ServedMS >= 0 {
		p.lastServed = max(p.lastServed, now-milliseconds(heartbeat.ServedMS))
	}
	// Only this leader's own clock proves when the heartbeat's statement was true.
	if heartbeat.Token == token && heartbeat.LeaderClock != 0 {
		p.servedKnownUntil = max(p.servedKnownUntil, time.Duration(heartbeat.LeaderClock))
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
