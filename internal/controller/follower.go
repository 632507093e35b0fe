package controller

import (
	"net/http"
	"time"

	"claybarrow/internal/protocol"
)

// A zone that is cut off keeps its workers and, where there is one, a controller. That controller is the zone's
// follower: it answers the workers in the leader's place, with the token that they show and no commands, so that
// their leases are renewed while nobody can start or stop anything there. Without it, a partition longer than a
// lease killed every task in the zone, and replicas that must be spread over zones had nowhere else to go.
//
// The leader makes that safe. It takes no lease in a zone as expired by time alone unless every controller of
// that zone has told it since, in answer to a reading of the leader's clock, that it had renewed none for the
// length of a lease. A process that ends forgets what it renewed, so a new incarnation counts as having renewed
// leases until it was heard. While such a controller is silent, only the cloud's list proves that a machine there
// no longer exists. This needs no disk, and no permission given ahead of time: followers that restart in the
// middle of a partition go on where they were.

// follower is the part of a controller that does not lead: it stays in contact with the leader, forwards worker
// heartbeats to it, and renews the workers' leases in its place while it can't be reached. It belongs to the
// process; while this controller leads, its contact is empty but for the highest token and the last renewal.
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

// newFollower returns a follower that renews leases for the leader until it hears of one: a process that waited
// for its first request to fail refused the workers of a cut-off zone, whose leases had a second left.
func newFollower() *follower { return &follower{contact: leaderContact{leaderLost: true}} }

// leaderContact is what a controller that does not lead knows of the leader.
type leaderContact struct {
	leader       string // who answered as the leader, or was named as the leader by another controller
	highestToken uint64 // the highest fencing token that this process knows of

	// The leader's last answer: its token, the reading of its clock that it gave, and when the answer came.
	token         uint64
	leaderClock   uint64
	leaderHeardAt time.Duration // 0: never
	// leaderNamedAt is when another controller last named the leader; 0: never.
	leaderNamedAt time.Duration

	// leaderLost: the last request did not reach a leader; leaderLostAt is since when none did.
	leaderLost        bool
	leaderLostAt      time.Duration
	connectionRefused bool // the last connection to the leader was refused at once
	keysCheckedAt     time.Duration
	leaderProbes      leaderProbes // of the workers' route to the leader since it was lost

	// servesLeases: this controller renews workers' leases for the leader; lastServed is when it last did.
	servesLeases bool
	lastServed   time.Duration

	// The heartbeats to the leader.
	inFlight bool
	nextAt   time.Duration
	// nextSibling counts the heartbeats without a leader's answer; it decides which controller is asked next.
	nextSibling int
}

// Times as shares of the workers' lease, as divisors.
const (
	// contactValidity: the leader's own answer, or another controller's naming of it, counts for half a lease.
	contactValidity = 2
	// peerHeartbeatTimeout: the leader has a tenth of a lease to answer a heartbeat.
	peerHeartbeatTimeout = 10
	// refusedConnectionTime: a connection that fails within a twentieth of a lease was refused. One that takes
	// longer may have been held up on its way.
	refusedConnectionTime = 20
	// forwardTimeoutLease: a forwarded heartbeat is given up after an eighth of a lease.
	forwardTimeoutLease = 8
)

// forwardTimeout bounds the time of a forwarded heartbeat well inside the 4 s that a worker waits: a worker whose
// leader is cut off from this controller must get this controller's own answer in that time.
const forwardTimeout = heartbeatTimeout / 2

// leaderLabel is the label of the leader as far as this controller knows: by the state service or, where that
// does not answer, by the leader itself; empty: unknown.
func (f *follower) leaderLabel() string {
	keys, contact := &f.election.leaderKeys, &f.contact
	if keys.leader != nil && (keys.known || keys.leader.Token >= contact.highestToken) {
		return keys.leader.Label
	}
	if contact.leader != "" && f.isRecent(contact.leaderHeardAt) {
		return contact.leader
	}
	return ""
}

// isReady reports whether a controller that does not lead should get users' requests. One that has not heard of
// any leader yet should not, nor one that can't reach the leader that there is, as connections between
// controllers are refused: it could only refuse its users one by one.
func (f *follower) isReady() bool {
	keys := &f.election.leaderKeys
	if !keys.known && keys.leader == nil && keys.leaderlessSince == 0 {
		return false
	}
	if f.lostLeaderForLong() {
		return false
	}
	return f.leaderLabel() != "" || f.env.now < keys.leaderlessSince+f.env.cfg.WorkerLease()/2
}

// lostLeaderForLong reports whether no leader has answered for longer than a failover should take. Where the
// state service names a leader that is little; where it does not, an election may still be under way.
func (f *follower) lostLeaderForLong() bool {
	if !f.contact.leaderLost || len(f.env.cfg.Siblings) == 0 {
		return false
	}
	patience := f.env.cfg.WorkerLease() / 2
	if f.storeNamesLeader() {
		patience = min(f.env.maxFailoverTime(), f.env.cfg.WorkerLease()*3/20)
	}
	return f.env.now > f.contact.leaderLostAt+patience
}

// sendPeerHeartbeat sends a heartbeat to the leader when one is due. A leader sends none.
func (f *follower) sendPeerHeartbeat() {
	contact := &f.contact
	if leader := f.election.leaderKeys.leader; leader != nil {
		contact.highestToken = max(contact.highestToken, leader.Token)
	}
	if l := f.controller.leadership; l != nil {
		*contact = leaderContact{highestToken: max(contact.highestToken, l.lease.token), lastServed: contact.lastServed}
		return
	}
	if contact.inFlight || f.env.now < contact.nextAt || len(f.env.cfg.Siblings) == 0 {
		return
	}
	asked := f.heartbeatTarget()
	if f.env.peerAddr(asked) == "" {
		return
	}
	contact.inFlight = true
	sent := f.env.now
	body, timeout := protocol.EncodePeer(f.peerHeartbeat()), f.env.cfg.WorkerLease()/peerHeartbeatTimeout
	f.outbox.peerCall(asked, peerHeartbeatPath, body, timeout, func(res Result) {
		f.onPeerHeartbeatReply(asked, sent, res)
	})
}

// heartbeatTarget is the controller that the next heartbeat goes to. While the leader is lost every other one
// goes to one of the other controllers in turn, which may know who leads now.
func (f *follower) heartbeatTarget() string {
	contact, siblings := &f.contact, f.env.cfg.Siblings
	label := f.presumedLeader()
	if label == "" || label == f.env.cfg.Label || (contact.leaderLost && contact.nextSibling%2 == 1) {
		return siblings[contact.nextSibling/2%len(siblings)].Label
	}
	return label
}

// presumedLeader is the leader as far as this controller knows, or the one that another controller names.
func (f *follower) presumedLeader() string {
	if label := f.leaderLabel(); label != "" {
		return label
	}
	if f.contact.leader != "" && f.isRecent(f.contact.leaderNamedAt) {
		return f.contact.leader
	}
	return ""
}

// peerHeartbeat is the heartbeat of this controller to a leader: with the leader's last clock reading, and how
// long ago it last renewed a worker's lease for it.
func (f *follower) peerHeartbeat() protocol.PeerHeartbeat {
	contact := &f.contact
	heartbeat := protocol.PeerHeartbeat{
		From:        f.env.cfg.Label,
		Incarnation: f.env.incarnation,
		Token:       contact.highestToken,
		ServedMS:    -1, // never
		UptimeMS:    f.env.now.Milliseconds(),
		Versions:    f.controller.versionStatement(),
	}
	if contact.token == contact.highestToken {
		heartbeat.LeaderClock = contact.leaderClock
	}
	if contact.lastServed > 0 {
		heartbeat.ServedMS = (f.env.now - contact.lastServed).Milliseconds()
	}
	return heartbeat
}

// onPeerHeartbeatReply takes the answer of the controller that a heartbeat went to.
func (f *follower) onPeerHeartbeatReply(asked string, sent time.Duration, res Result) {
	contact := &f.contact
	if sent < f.pause.resumedAt {
		contact.inFlight = false // sent before a process pause: it proves nothing about now
		return
	}
	f.pause.noteAnswer(sent, res.Status != 0)
	if res.Status == http.StatusOK {
		f.detection.notePeerAnswer(asked, sent)
	}
	if f.controller.leadership != nil {
		return
	}
	contact.inFlight, contact.nextAt = false, sent+f.env.cfg.PeerHeartbeatInterval()
	var reply protocol.PeerHeartbeatReply
	ok := res.Status == http.StatusOK && protocol.DecodePeer(res.Body, &reply) == nil && reply.Token >= contact.highestToken
	if ok && reply.Leader != "" && reply.Leader != f.env.cfg.Label {
		contact.highestToken = max(contact.highestToken, reply.Token)
		contact.leader, contact.leaderNamedAt = reply.Leader, f.env.now
	}
	// Only a leader gives a reading of its clock. A controller in a cut-off zone that had led, ended and restarted
	// once heard from the other controller there that it leads, repeated that, and was taken for the leader: the
	// other one no longer renewed the zone's leases.
	if ok && reply.Leader == asked && reply.LeaderClock != 0 {
		f.noteLeaderAnswered(&reply)
		return
	}
	contact.nextSibling++
	if asked == f.leaderLabel() {
		contact.connectionRefused = res.ConnectionFailed && f.env.now < sent+f.env.cfg.WorkerLease()/refusedConnectionTime
	}
	f.noteLeaderUnanswered()
}

// noteLeaderAnswered notes the leader's answer: it is in contact, and its workers are its own again.
func (f *follower) noteLeaderAnswered(reply *protocol.PeerHeartbeatReply) {
	contact := &f.contact
	if contact.servesLeases {
		f.env.log.Info("leader reachable again", "leader", reply.Leader, "token", reply.Token)
	}
	contact.leaderLost, contact.connectionRefused, contact.servesLeases = false, false, false
	contact.leaderProbes = leaderProbes{}
	contact.token, contact.leaderClock, contact.leaderHeardAt = reply.Token, reply.LeaderClock, f.env.now
}

// noteLeaderUnanswered notes that the leader did not answer. Either it has failed or this controller is cut off;
// the state service tells, if it answers.
func (f *follower) noteLeaderUnanswered() {
	contact := &f.contact
	if !contact.leaderLost {
		contact.leaderLost, contact.leaderLostAt = true, f.env.now
	}
	if f.election.leaderKeys.known && f.env.now > contact.keysCheckedAt+f.env.cfg.LeaderLease() {
		contact.keysCheckedAt = f.env.now
		f.election.leaderKeys.refresh(f.env.now)
	}
}

// tryRenewLeaseForLeader reports whether this controller answers the worker for the leader, and notes that it does.
// It does so while it reaches neither a leader nor a state service that would name one, if the worker is of its
// own zone and has had a leader.
//
// For a moment it does so too while the state service still names a leader that does not answer: that one has most
// probably ended or is paused, and the next will be known before long. Workers that were sent to it waited for 4 s
// there, and as long at the next controller that had ended, and their leases ran out. After that moment, a leader
// that the state service still names does lead, and workers go to it if they can reach it: see leader_probes.go.
func (f *follower) tryRenewLeaseForLeader(heartbeat *protocol.WorkerHeartbeat) bool {
	contact := &f.contact
	if !contact.leaderLost || heartbeat.Zone != f.env.cfg.Zone || heartbeat.Token == 0 {
		return false
	}
	failoverIsOver := f.env.now > contact.leaderLostAt+f.env.maxFailoverTime()
	if f.storeNamesLeader() && failoverIsOver && f.trySendWorkerToLeader(heartbeat) {
		return false
	}
	if !contact.servesLeases {
		f.env.log.Info("renewing worker leases for the unreachable leader", "token", heartbeat.Token)
	}
	contact.servesLeases, contact.lastServed = true, f.env.now
	return true
}

// replyLeaseOnly renews a worker's lease: it repeats the token that the worker shows, and has no commands.
func (f *follower) replyLeaseOnly(from requester, heartbeat *protocol.WorkerHeartbeat) {
	reply := protocol.WorkerHeartbeatReply{Token: heartbeat.Token, Commands: []protocol.Command{}}
	f.outbox.reply(from, http.StatusOK, protocol.Encode(reply), 0)
}

// forwardsHeartbeat reports whether the worker's heartbeat is forwarded to the leader. Workers send theirs to a
// controller of their own zone, so that none has to look for one when the zone is cut off: looking took up to 4 s a
// controller, and longer than a lease where the next two were outside the zone.
func (f *follower) forwardsHeartbeat(heartbeat *protocol.WorkerHeartbeat) bool {
	contact := &f.contact
	if heartbeat.Zone != f.env.cfg.Zone || contact.leaderLost {
		return false
	}
	return contact.token != 0 && contact.token >= contact.highestToken && f.env.peerAddr(contact.leader) != ""
}

// forwardHeartbeat forwards a worker's heartbeat to the leader, and answers the worker with the leader's answer or,
// in its absence, with this controller's own.
func (f *follower) forwardHeartbeat(from requester, heartbeat *protocol.WorkerHeartbeat, body []byte) {
	leader := f.contact.leader
	timeout := min(f.env.cfg.WorkerLease()/forwardTimeoutLease, forwardTimeout)
	f.relay.sendToLeader(&leaderRequest{
		from:     from,
		leader:   leader,
		path:     forwardedHeartbeatPath,
		relay:    protocol.ForwardedRequest{Operation: string(OpWorkerHeartbeat), Body: body, From: f.env.cfg.Label},
		deadline: f.env.now + timeout,
		then: func(res Result) {
			reply, ok := readRelayReply(res)
			switch l := f.controller.leadership; {
			case l != nil:
				l.heartbeats.answerForwardedHeartbeat(from, heartbeat, body)
			case ok:
				f.outbox.reply(from, reply.Status, reply.Body, reply.RetryAfter)
			default:
				f.onForwardFailed(from, leader, heartbeat)
			}
		},
	})
}

// onForwardFailed answers a worker whose heartbeat the leader did not answer: its lease is renewed here, or the
// worker is redirected to whoever leads.
func (f *follower) onForwardFailed(from requester, leader string, heartbeat *protocol.WorkerHeartbeat) {
	if leader == f.contact.leader {
		f.noteLeaderUnanswered()
	}
	if f.tryRenewLeaseForLeader(heartbeat) {
		f.replyLeaseOnly(from, heartbeat)
		return
	}
	f.outbox.replyRedirect(from, f.leaderLabel())
}

// discardContact drops what was known of the leader before a process pause. The highest token stays, as it only
// ever rises, and so does the time of the last renewal, on which the leader's proofs depend.
func (f *follower) discardContact() {
	former := &f.contact
	f.contact = leaderContact{
		highestToken: former.highestToken,
		lastServed:   former.lastServed,
		inFlight:     former.inFlight,
		nextAt:       f.env.now,
	}
}

// storeNamesLeader reports whether the state service has answered and names a leader.
func (f *follower) storeNamesLeader() bool {
	return f.election.leaderKeys.known && f.election.leaderKeys.leader != nil
}

// isRecent reports whether what was heard at a steady time still counts; 0: never heard.
func (f *follower) isRecent(heardAt time.Duration) bool {
	return heardAt > 0 && f.env.now < heardAt+f.env.cfg.WorkerLease()/contactValidity
}
