package controller

import (
	"net/http"
	"time"

	"claybarrow/internal/protocol"
)

// A partitioned zone contains workers and possibly a controller. That controller, a follower, answers the workers'
// heartbeats in place of the leader: it repeats the fencing token that the worker sent and returns no commands. The
// workers' leases are thereby renewed while no task can be started or stopped in the zone. Without these renewals, a
// partition longer than a lease killed every task in the zone, and replicas with a zone spread constraint could not
// be placed in any other zone.
//
// The leader accounts for these renewals. It does not treat a worker's lease as expired on elapsed time alone: every
// controller of the worker's zone must have reported, echoing a later reading of the leader's clock, that it had
// renewed no lease for the length of a lease. A restarted process does not know which leases the previous process
// renewed, so a new incarnation counts as having renewed leases until its first heartbeat. While such a controller is
// silent, only the cloud's list of machines proves that a machine in its zone no longer exists. The scheme needs
// neither persistent storage nor prior authorization by the leader: a follower that restarts during a partition
// resumes renewing leases.

// follower is the role of a controller that is not the leader. It sends heartbeats to the leader, forwards worker
// heartbeats to it, and renews the workers' leases while the leader is unreachable. Its lifetime is that of the
// process. While this controller is the leader, contact holds only the highest token and the time of the last renewal.
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

// newFollower returns a follower that treats the leader as lost until a leader answers it, and so renews workers'
// leases from the start. A process that first waited for a request to fail rejected the workers of a partitioned
// zone when their leases had only a second left.
func newFollower() *follower { return &follower{contact: leaderContact{leaderLost: true}} }

// leaderContact is a follower's view of the leader and of its own lease renewals.
type leaderContact struct {
	leader       string // label of the controller that last answered as the leader or that a peer named as the leader
	highestToken uint64 // highest fencing token seen by this process

	// The leader's last reply: its token, its clock reading, and the time of arrival.
	token           uint64
	leaderClock     uint64
	leaderRepliedAt time.Duration // 0: never
	// leaderNamedAt is when a peer last named the leader; 0: never.
	leaderNamedAt time.Duration

	// leaderLost reports that the last heartbeat or forwarded request got no reply from the leader; leaderLostAt is
	// the time of the first failure since the last reply.
	leaderLost        bool
	leaderLostAt      time.Duration
	unansweredBy      string        // label of the presumed leader that last left a heartbeat unanswered
	connectionRefused bool          // the last connection to the leader was refused without delay
	keysRefreshedAt   time.Duration // when the loss of the leader last caused the leader keys to be listed again
	leaderProbes      leaderProbes  // probes of the workers' route to the leader since it was lost

	// renewsLeases reports that this controller renews workers' leases for the leader; lastRenewalAt is the time of
	// the last renewal.
	renewsLeases  bool
	lastRenewalAt time.Duration

	// The state of the heartbeats to the leader.
	inFlight bool
	nextAt   time.Duration
	// unansweredHeartbeats counts the heartbeats that the leader did not answer. It selects the target of the next
	// heartbeat.
	unansweredHeartbeats int
}

// Divisors of the workers' lease.
const (
	// contactValidityDivisor: a reply from the leader, or from a peer that names the leader, is valid for half a lease.
	contactValidityDivisor = 2
	// peerHeartbeatTimeoutDivisor: a heartbeat to another controller times out after a tenth of a lease.
	peerHeartbeatTimeoutDivisor = 10
	// refusedConnectionDivisor: a connection attempt that fails within a twentieth of a lease counts as refused. A
	// slower failure may have been caused by a network delay.
	refusedConnectionDivisor = 20
	// forwardTimeoutDivisor: a forwarded heartbeat times out after an eighth of a lease.
	forwardTimeoutDivisor = 8
)

// maxForwardTimeout is the upper bound for the timeout of a forwarded heartbeat. It is well below the 4 s that a worker
// waits, so that this controller can still answer the worker itself if the leader does not.
const maxForwardTimeout = heartbeatTimeout / 2

// leaderLabel returns the label of the leader from the leader keys or, if the keys name no leader or are out of date,
// from the leader's recent replies. It is empty if the leader is unknown.
func (f *follower) leaderLabel() string {
	keys, contact := &f.election.leaderKeys, &f.contact
	if keys.leader != nil && (keys.listed || keys.leader.Token >= contact.highestToken) {
		return keys.leader.Label
	}
	if contact.leader != "" && f.isRecent(contact.leaderRepliedAt) {
		return contact.leader
	}
	return ""
}

// unreadyReason returns why a follower should receive no users' requests, or ready. It is not ready before it has read the leader keys
// for the first time, after the leader has been unreachable for too long, or after no leader has been known for half a
// worker lease: in these cases it would reject each request.
func (f *follower) unreadyReason() unreadyReason {
	keys := &f.election.leaderKeys
	switch {
	case !keys.listed && keys.leader == nil && keys.leaderlessSince == 0:
		return unreadyKeysUnread
	case f.lostLeaderTooLong():
		return unreadyLeaderLost
	case f.leaderLabel() == "" && f.env.now >= keys.leaderlessSince+f.env.cfg.WorkerLease()/2:
		return unreadyNoLeader
	}
	return ready
}

// lostLeaderTooLong reports whether no leader has answered for longer than a failover should take. The limit is short
// while the state service names a leader, and longer otherwise, because an election may still be in progress.
func (f *follower) lostLeaderTooLong() bool {
	if !f.contact.leaderLost || len(f.env.cfg.Siblings) == 0 {
		return false
	}
	limit := f.env.cfg.WorkerLease() / 2
	if f.storeNamesLeader() {
		if f.contact.leaderLostAt == 0 && f.contact.unansweredBy != f.election.leaderKeys.leader.Label {
			return false // a new process whose heartbeats other controllers hold up; its relays to the leader may work
		}
		limit = min(f.env.maxFailoverTime(), f.env.cfg.WorkerLease()*3/20)
	}
	return f.env.now > f.contact.leaderLostAt+limit
}

// sendPeerHeartbeat sends a heartbeat to the leader if one is due. A leader sends no such heartbeats.
func (f *follower) sendPeerHeartbeat() {
	contact := &f.contact
	if leader := f.election.leaderKeys.leader; leader != nil {
		contact.highestToken = max(contact.highestToken, leader.Token)
	}
	if l := f.controller.leadership; l != nil {
		*contact = leaderContact{highestToken: max(contact.highestToken, l.lease.token), lastRenewalAt: contact.lastRenewalAt}
		return
	}
	if contact.inFlight || f.env.now < contact.nextAt || len(f.env.cfg.Siblings) == 0 {
		return
	}
	target := f.heartbeatTarget()
	if f.env.peerAddr(target) == "" {
		return
	}
	contact.inFlight = true
	sent := f.env.now
	body, timeout := protocol.EncodePeer(f.peerHeartbeat()), peerHeartbeatTimeout(f.env.cfg)
	f.outbox.peerCall(target, PeerHeartbeatPath, body, timeout, func(res Result) {
		f.onPeerHeartbeatReply(target, sent, res)
	})
}

// heartbeatTarget returns the controller that the next heartbeat is sent to. While the leader is lost, every second
// heartbeat goes to the other controllers in turn, which may know the current leader.
func (f *follower) heartbeatTarget() string {
	contact, siblings := &f.contact, f.env.cfg.Siblings
	label := f.presumedLeader()
	if label == "" || label == f.env.cfg.Label || (contact.leaderLost && contact.unansweredHeartbeats%2 == 1) {
		return siblings[contact.unansweredHeartbeats/2%len(siblings)].Label
	}
	return label
}

// presumedLeader returns the label of the leader or, if it is unknown, of the controller that a peer recently named as
// the leader.
func (f *follower) presumedLeader() string {
	if label := f.leaderLabel(); label != "" {
		return label
	}
	if f.contact.leader != "" && f.isRecent(f.contact.leaderNamedAt) {
		return f.contact.leader
	}
	return ""
}

// peerHeartbeat returns this controller's heartbeat to a leader. It echoes the leader's last clock reading and states
// how long ago this controller last renewed a worker's lease.
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
	if contact.lastRenewalAt > 0 {
		heartbeat.ServedMS = (f.env.now - contact.lastRenewalAt).Milliseconds()
	}
	return heartbeat
}

// onPeerHeartbeatReply handles the result of a heartbeat that was sent to another controller.
func (f *follower) onPeerHeartbeatReply(target string, sent time.Duration, res Result) {
	contact := &f.contact
	if sent < f.pause.resumedAt {
		contact.inFlight = false // the heartbeat was sent before a process pause, so its result is out of date
		return
	}
	f.pause.recordAnswer(sent, res.Status != 0)
	if res.Status == http.StatusOK {
		f.detection.recordPeerAnswer(target, sent)
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
	// Only a leader's reply contains a clock reading. Without this check, a former leader that had restarted in a
	// partitioned zone learned from the other controller of the zone that it was the leader, and repeated this in its
	// replies. The other controller then took it for the leader and no longer renewed the zone's leases.
	if ok && reply.Leader == target && reply.LeaderClock != 0 {
		f.onLeaderAnswered(&reply)
		return
	}
	contact.unansweredHeartbeats++
	if target == f.leaderLabel() {
		contact.unansweredBy = target
		contact.connectionRefused = res.ConnectionFailed && f.env.now < sent+f.env.cfg.WorkerLease()/refusedConnectionDivisor
	}
	f.onLeaderUnanswered()
}

// onLeaderAnswered records a reply from the leader. The follower stops renewing workers' leases for it.
func (f *follower) onLeaderAnswered(reply *protocol.PeerHeartbeatReply) {
	contact := &f.contact
	if contact.renewsLeases {
		f.env.log.Info("leader reachable again", "leader", reply.Leader, "token", reply.Token)
	}
	contact.leaderLost, contact.connectionRefused, contact.renewsLeases = false, false, false
	contact.leaderProbes = leaderProbes{}
	contact.token, contact.leaderClock, contact.leaderRepliedAt = reply.Token, reply.LeaderClock, f.env.now
}

// onLeaderUnanswered records that the leader did not answer. Either the leader has failed or this controller is
// partitioned from it, so the leader keys are listed again, at most once per leader's lease.
func (f *follower) onLeaderUnanswered() {
	contact := &f.contact
	if !contact.leaderLost {
		contact.leaderLost, contact.leaderLostAt = true, f.env.now
	}
	if f.election.leaderKeys.listed && f.env.now > contact.keysRefreshedAt+f.env.cfg.LeaderLease() {
		contact.keysRefreshedAt = f.env.now
		f.election.leaderKeys.refresh(f.env.now)
	}
}

// tryRenewLeaseForLeader reports whether this controller renews the worker's lease in place of the leader, and records
// the renewal. It renews leases only while the leader is lost, and only of workers in its own zone that have received a
// token from a leader.
//
// During the maximum duration of a failover it does so even if the state service still names the unreachable leader:
// that leader has probably terminated or is paused, and a successor will be elected soon. Workers that were redirected
// to it waited 4 s for an answer, and another 4 s at the next terminated controller, until their leases expired. After
// that time, a leader that the state service still names is alive. A limited number of workers are then redirected to
// it as probes, and the leases of the other workers are still renewed: see leader_probes.go.
func (f *follower) tryRenewLeaseForLeader(heartbeat *protocol.WorkerHeartbeat) bool {
	contact := &f.contact
	if !contact.leaderLost || heartbeat.Zone != f.env.cfg.Zone || heartbeat.Token == 0 {
		return false
	}
	failoverIsOver := f.env.now > contact.leaderLostAt+f.env.maxFailoverTime()
	if f.storeNamesLeader() && failoverIsOver && f.tryRedirectToLeader(heartbeat) {
		return false
	}
	if !contact.renewsLeases {
		f.env.log.Info("renewing worker leases for the unreachable leader", "token", heartbeat.Token)
	}
	contact.renewsLeases, contact.lastRenewalAt = true, f.env.now
	return true
}

// replyLeaseOnly sends a reply that renews the worker's lease: it repeats the worker's token and has no commands.
func (f *follower) replyLeaseOnly(from requester, heartbeat *protocol.WorkerHeartbeat) {
	reply := protocol.WorkerHeartbeatReply{Token: heartbeat.Token, Commands: []protocol.Command{}}
	f.outbox.reply(from, http.StatusOK, protocol.Encode(reply), 0)
}

// shouldForwardHeartbeat reports whether the worker's heartbeat is forwarded to the leader. Workers send their
// heartbeats to a controller of their own zone, so that they need not search for another one when the zone is
// partitioned. Such a search took up to 4 s per controller, and longer than a lease if the next two controllers were
// outside the zone.
func (f *follower) shouldForwardHeartbeat(heartbeat *protocol.WorkerHeartbeat) bool {
	contact := &f.contact
	if heartbeat.Zone != f.env.cfg.Zone || contact.leaderLost {
		return false
	}
	return contact.token != 0 && contact.token >= contact.highestToken && f.env.peerAddr(contact.leader) != ""
}

// forwardHeartbeat forwards a worker's heartbeat to the leader and returns the leader's reply to the worker. If the
// leader does not reply, this controller answers the worker itself.
func (f *follower) forwardHeartbeat(from requester, heartbeat *protocol.WorkerHeartbeat, body []byte) {
	leader := f.contact.leader
	timeout := forwardTimeout(f.env.cfg)
	f.relay.sendToLeader(&leaderRequest{
		from:      from,
		leader:    leader,
		path:      ForwardedHeartbeatPath,
		forwarded: protocol.ForwardedRequest{Operation: string(OpWorkerHeartbeat), Body: body, From: f.env.cfg.Label},
		deadline:  f.env.now + timeout,
		onResult: func(res Result) {
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

// onForwardFailed answers a worker whose forwarded heartbeat the leader did not answer: this controller renews the
// worker's lease or redirects the worker to the leader.
func (f *follower) onForwardFailed(from requester, leader string, heartbeat *protocol.WorkerHeartbeat) {
	if leader == f.contact.leader {
		f.onLeaderUnanswered()
	}
	if f.tryRenewLeaseForLeader(heartbeat) {
		f.replyLeaseOnly(from, heartbeat)
		return
	}
	f.outbox.replyRedirect(from, f.leaderLabel())
}

// discardContact discards the state of the contact with the leader after a process pause. It keeps the highest token,
// which only increases, and the time of the last renewal, which the leader needs to decide whether a lease expired.
func (f *follower) discardContact() {
	former := &f.contact
	f.contact = leaderContact{
		highestToken:  former.highestToken,
		lastRenewalAt: former.lastRenewalAt,
		inFlight:      former.inFlight,
		nextAt:        f.env.now,
	}
}

// storeNamesLeader reports whether the copy of the leader keys is up to date and names a leader.
func (f *follower) storeNamesLeader() bool {
	return f.election.leaderKeys.listed && f.election.leaderKeys.leader != nil
}

// isRecent reports whether information received at the monotonic time receivedAt is still valid; 0: never received.
func (f *follower) isRecent(receivedAt time.Duration) bool {
	return receivedAt > 0 && f.env.now < receivedAt+f.env.cfg.WorkerLease()/contactValidityDivisor
}
