package controller

import (
	"time"

	"claybarrow/internal/protocol"
)

// follower is the part of a controller that does not lead: it stays in contact with the leader, forwards
// worker heartbeats to it, and renews the workers' leases in its stead while it can't be reached.
type follower struct {
	controller *Controller
	detection  *failureDetection
	election   *election
	env        *environment
	outbox     *outbox
	pause      *pauseRecovery
	relay      *leaderRelay

	contact leaderContact
}

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

// newFollower makes a follower that renews leases for the leader until it hears of one: a process that
// waited for its first request to fail turned away the workers of a cut zone, whose leases had a
// second left.
func newFollower() *follower { return &follower{contact: leaderContact{leaderLost: true}} }

// leaderContact is what a controller that does not lead knows of the leader.
type leaderContact struct {
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
func (f *follower) leaderLabel() string {
	if l := f.election.leaderKeys.leader; l != nil && (f.election.leaderKeys.known || l.Token >= f.contact.highestToken) {
		return l.Label
	}
	if contact := &f.contact; contact.leader != "" && contact.leaderHeardAt > 0 && f.env.now < contact.leaderHeardAt+f.env.cfg.Lease()/2 {
		return contact.leader
	}
	return ""
}

// heartbeatTarget is the controller that is asked for the leader's clock: whoever leads as far as
// is known, or is said to by another one.
func (f *follower) heartbeatTarget() string {
	if label := f.leaderLabel(); label != "" {
		return label
	}
	if contact := &f.contact; contact.leader != "" && contact.leaderNamedAt > 0 && f.env.now < contact.leaderNamedAt+f.env.cfg.Lease()/2 {
		return contact.leader
	}
	return ""
}

// sendPeerHeartbeat stays in touch with the leader.
func (f *follower) sendPeerHeartbeat() {
	contact := &f.contact
	if f.election.leaderKeys.leader != nil {
		contact.highestToken = max(contact.highestToken, f.election.leaderKeys.leader.Token)
	}
	if f.controller.leadership != nil {
		*contact = leaderContact{highestToken: max(contact.highestToken, f.controller.leadership.lease.token), lastServed: contact.lastServed}
		return
	}
	if contact.inFlight || f.env.now < contact.nextAt || len(f.env.cfg.Siblings) == 0 {
		return
	}
	asked := f.heartbeatTarget()
	if asked == "" || asked == f.env.cfg.Label || (contact.leaderLost && contact.nextSibling%2 == 1) {
		asked = f.env.cfg.Siblings[contact.nextSibling/2%len(f.env.cfg.Siblings)].Label
	}
	addr := f.env.peerAddr(asked)
	if addr == "" {
		return
	}
	contact.inFlight = true
	sent := f.env.now
	f.outbox.call(ToPeer, addr, "POST", "/heartbeat", protocol.EncodePeer(f.peerHeartbeat()), f.env.cfg.Lease()/10, func(res Result) {
		f.onPeerHeartbeatReply(asked, sent, res)
	})
}

// onPeerHeartbeatReply takes the answer of the controller that was asked for the leader's clock.
func (f *follower) onPeerHeartbeatReply(asked string, sent time.Duration, res Result) {
	contact := &f.contact
	if sent < f.pause.resumedAt {
		contact.inFlight = false // from before a standstill: it tells nothing of now
		return
	}
	f.pause.noteAnswer(sent, res.Status != 0)
	if res.Status == 200 {
		f.detection.notePeerAnswer(asked, sent)
	}
	if f.controller.leadership != nil {
		return
	}
	contact.inFlight, contact.nextAt = false, sent+f.env.cfg.Heartbeat()
	var g protocol.PeerHeartbeatReply
	ok := res.Status == 200 && protocol.DecodePeer(res.Body, &g) == nil && g.Token >= contact.highestToken
	if ok && g.Leader != "" && g.Leader != f.env.cfg.Label {
		contact.highestToken, contact.leader, contact.leaderNamedAt = max(contact.highestToken, g.Token), g.Leader, f.env.now
	}
	// Only a leader gives a reading of its clock. One that had led, ended and was
	// back in a zone that is cut off once heard from the other controller there that
	// it leads, said so itself, and passed for the leader: the other one no longer
	// renewed the zone's leases.
	if !ok || g.Leader != asked || g.LeaderClock == 0 {
		contact.nextSibling++
		if asked == f.leaderLabel() {
			// A connection that was not made in time may have been held up.
			contact.connectionRefused = res.ConnectionFailed && f.env.now < sent+f.env.cfg.Lease()/20
		}
		f.noteLeaderUnanswered()
		return
	}
	if contact.servesLeases {
		f.env.log.Info("leader reachable again", "leader", g.Leader, "token", g.Token)
	}
	contact.leaderLost, contact.connectionRefused, contact.servesLeases, contact.leaderHeardAt = false, false, false, f.env.now
	contact.leaderProbes = leaderProbes{}
	contact.token, contact.leaderClock = g.Token, g.LeaderClock
}

// peerHeartbeat is what this controller tells a leader.
func (f *follower) peerHeartbeat() protocol.PeerHeartbeat {
	contact := &f.contact
	ask := protocol.PeerHeartbeat{From: f.env.cfg.Label, Incarnation: f.env.incarnation, Token: contact.highestToken, ServedMS: -1, UptimeMS: f.env.now.Milliseconds(), Versions: f.controller.versionStatement()}
	if contact.token == contact.highestToken {
		ask.LeaderClock = contact.leaderClock
	}
	if contact.lastServed > 0 {
		ask.ServedMS = (f.env.now - contact.lastServed).Milliseconds()
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
func (f *follower) renewsLeaseForLeader(msg *protocol.WorkerHeartbeat) bool {
	contact := &f.contact
	if !contact.leaderLost || msg.Zone != f.env.cfg.Zone || msg.Token == 0 {
		return false
	}
	if f.election.leaderKeys.known && f.election.leaderKeys.leader != nil && f.env.now > contact.leaderLostAt+f.env.maxFailoverTime() && f.sendsWorkerToLeader(msg) {
		return false
	}
	if !contact.servesLeases {
		f.env.log.Info("renewing worker leases for the unreachable leader", "token", msg.Token)
	}
	contact.servesLeases, contact.lastServed = true, f.env.now
	return true
}

// noteLeaderUnanswered notes that the leader did not answer. Is it lost, or are we? The
// state service tells, if it answers us.
func (f *follower) noteLeaderUnanswered() {
	contact := &f.contact
	if !contact.leaderLost {
		contact.leaderLost, contact.leaderLostAt = true, f.env.now
	}
	if f.election.leaderKeys.known && f.env.now > contact.keysCheckedAt+f.env.cfg.LeaderTTL() {
		contact.keysCheckedAt = f.env.now
		f.election.leaderKeys.refresh(f.env.now)
	}
}

func (f *follower) replyLeaseOnly(from requester, msg *protocol.WorkerHeartbeat) {
	f.outbox.reply(from, 200, protocol.Encode(protocol.WorkerHeartbeatReply{Token: msg.Token, Commands: []protocol.Command{}}), 0)
}

// forwardsHeartbeat says whether the worker's report is passed on to the leader: workers
// report to a controller of their own zone, so that none has to look for one
// when the zone is cut off. Looking took up to 4 s a controller, and longer than
// a lease where the next two were outside.
func (f *follower) forwardsHeartbeat(msg *protocol.WorkerHeartbeat) bool {
	contact := &f.contact
	return msg.Zone == f.env.cfg.Zone && contact.token != 0 && contact.token >= contact.highestToken && !contact.leaderLost && f.env.peerAddr(contact.leader) != ""
}

// forwardTimeout is well inside the 4 s that a worker waits: one whose leader is
// cut off from us must get our own answer in that time.
const forwardTimeout = heartbeatTimeout / 2

func (f *follower) forwardHeartbeat(from requester, msg *protocol.WorkerHeartbeat, body []byte) {
	leader := f.contact.leader
	within := min(f.env.cfg.Lease()/8, forwardTimeout)
	deadline := f.env.now + within
	relay := protocol.Relay{Op: string(OpWorkerHeartbeat), Body: body, From: f.env.cfg.Label}
	f.relay.sendToLeader(&leaderRequest{from: from, leader: leader, path: "/forward", relay: relay, deadline: deadline, then: func(res Result) {
		reply, ok := readRelayReply(res)
		contact := &f.contact
		switch {
		case f.controller.leadership != nil:
			f.controller.leadership.heartbeats.answerForwardedHeartbeat(from, msg, body)
		case ok:
			f.outbox.reply(from, reply.Status, reply.Body, reply.RetryAfter)
		default:
			if leader == contact.leader {
				f.noteLeaderUnanswered()
			}
			if f.renewsLeaseForLeader(msg) {
				f.replyLeaseOnly(from, msg)
				return
			}
			f.outbox.reply(from, 421, protocol.Encode(protocol.Redirect{Leader: f.leaderLabel()}), 0)
		}
	}})
}
