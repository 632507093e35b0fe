package controller

import (
	"net/http"
	"time"

	"claybarrow/internal/protocol"
)

// peer is a leader's view of another controller. It is empty at the start of each leadership: a new leader treats no
// lease in a zone as expired before it has itself received heartbeats from the controllers of that zone.
type peer struct {
	zone             string
	incarnation      string        // incarnation of its process
	firstHeartbeatAt time.Duration // when its first heartbeat in this leadership arrived; 0: never
	lastHeartbeatAt  time.Duration // when its last heartbeat arrived
	startedAt        time.Duration // when its process started, on this controller's clock
	// lastRenewalAt is when the peer last renewed a worker's lease for the leader. renewalsKnownUntil is the time up to
	// which this is known: between lastRenewalAt and renewalsKnownUntil the peer renewed no lease.
	renewalsKnownUntil, lastRenewalAt time.Duration
	route                             heartbeatRoute
}

// onPeerHeartbeat answers a heartbeat from another controller. The reply names the leader and, if this controller is
// the leader, contains a reading of its clock.
func (c *Controller) onPeerHeartbeat(from requester, body []byte) {
	var heartbeat protocol.PeerHeartbeat
	if protocol.DecodePeer(body, &heartbeat) != nil || c.env.peerAddr(heartbeat.From) == "" {
		c.outbox.reply(from, http.StatusBadRequest, nil, 0)
		return
	}
	if l := c.leadership; l != nil && heartbeat.Token > l.lease.token {
		c.endLeadership(endPeerReportedLaterLeader)
	}
	reply := protocol.PeerHeartbeatReply{Token: c.follower.contact.highestToken, Versions: c.versionStatement()}
	switch l := c.leadership; {
	case l == nil:
		// If the leader keys name this controller, the record was written by an earlier process of this controller or
		// for an abandoned candidacy.
		if label := c.follower.leaderLabel(); label != c.env.cfg.Label {
			reply.Leader = label
		}
	case l.lease.isVerifyingLease() && c.detection.enabled():
		// After a process pause this leader may have been replaced, so its reply names no leader.
	default:
		reply.Leader, reply.Token, reply.LeaderClock = c.env.cfg.Label, l.lease.token, uint64(c.env.now)
		l.featureGate.recordVersionStatement(&heartbeat)
		l.peers[heartbeat.From].recordHeartbeat(&heartbeat, l.lease.token, c.env.now)
	}
	c.outbox.reply(from, http.StatusOK, protocol.EncodePeer(reply), 0)
}

// recordHeartbeat records a heartbeat from the peer; token is the fencing token of this leader. A new incarnation
// counts as having renewed a lease now, because it does not know which leases the previous incarnation renewed.
func (p *peer) recordHeartbeat(heartbeat *protocol.PeerHeartbeat, token uint64, now time.Duration) {
	p.lastHeartbeatAt = now
	if p.firstHeartbeatAt == 0 {
		p.firstHeartbeatAt = now
	}
	if p.incarnation != heartbeat.Incarnation {
		p.incarnation, p.lastRenewalAt = heartbeat.Incarnation, now
		p.startedAt = now - milliseconds(heartbeat.UptimeMS)
	}
	if heartbeat.ServedMS >= 0 {
		p.lastRenewalAt = max(p.lastRenewalAt, now-milliseconds(heartbeat.ServedMS))
	}
	// The time at which the peer's statement was true is known only from an echoed reading of this leader's clock.
	if heartbeat.Token == token && heartbeat.LeaderClock != 0 {
		p.renewalsKnownUntil = max(p.renewalsKnownUntil, time.Duration(heartbeat.LeaderClock))
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
