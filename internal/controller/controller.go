package controller

import (
	"fmt"
	"log/slog"
	"math/rand/v2"

	"claybarrow/internal/config"
)

// Controller owns all state of a controller. It is not safe for concurrent use: a single goroutine must pass it the
// events, one at a time.
type Controller struct {
	// leadership is the state of this controller as the leader; nil while it is not the leader.
	leadership *leadership

	// The components that exist for the lifetime of the process, whether this controller is the leader or not.
	env       *environment
	outbox    *outbox
	catalog   *machineCatalog
	pending   *pendingTable
	pause     *pauseRecovery
	election  *election
	preparer  *failoverPreparer
	follower  *follower
	relay     *leaderRelay
	detection *failureDetection

	// loggedReadiness is the last logged answer to readiness checks, if readinessLogged is set.
	loggedReadiness unreadyReason
	readinessLogged bool
}

// New returns a controller in its initial state. All its random numbers come from rng, so that runs are reproducible.
func New(cfg *config.Config, rng *rand.Rand, log *slog.Logger) *Controller {
	incarnation := fmt.Sprintf("%016x", rng.Uint64())
	env := &environment{cfg: cfg, rng: rng, log: log, observer: noObserver{}, incarnation: incarnation}
	outbox := newOutbox(env)
	c := &Controller{
		env:       env,
		outbox:    outbox,
		catalog:   newMachineCatalog(env, outbox),
		pending:   &pendingTable{env: env, outbox: outbox, pendingRequests: map[uint64]*pendingRequest{}},
		pause:     &pauseRecovery{},
		election:  &election{},
		preparer:  &failoverPreparer{},
		follower:  newFollower(),
		relay:     &leaderRelay{},
		detection: newFailureDetection(cfg, rng),
	}
	c.wire()
	return c
}

// wire sets the components' references to one another. The components of a leadership are wired in wiring.go.
func (c *Controller) wire() {
	env, outbox := c.env, c.outbox
	outbox.pause = c.pause

	c.pause.controller, c.pause.env, c.pause.outbox = c, env, outbox
	c.pause.detection, c.pause.election, c.pause.follower = c.detection, c.election, c.follower
	c.pause.pending, c.pause.preparer, c.pause.relay = c.pending, c.preparer, c.relay

	c.election.controller, c.election.env, c.election.outbox = c, env, outbox
	c.election.detection, c.election.preparer = c.detection, c.preparer

	c.preparer.controller, c.preparer.env, c.preparer.outbox = c, env, outbox
	c.preparer.detection, c.preparer.election = c.detection, c.election

	c.follower.controller, c.follower.env, c.follower.outbox = c, env, outbox
	c.follower.detection, c.follower.election = c.detection, c.election
	c.follower.pause, c.follower.relay = c.pause, c.relay

	c.relay.controller, c.relay.env, c.relay.outbox = c, env, outbox
	c.relay.detection, c.relay.follower, c.relay.pending = c.detection, c.follower, c.pending

	c.detection.env, c.detection.outbox, c.detection.pause = env, outbox, c.pause
	c.detection.follower, c.detection.preparer = c.follower, c.preparer
}

// Observe sets the observer of this controller. It must be called before the first call of Handle.
func (c *Controller) Observe(observer Observer) { c.env.observer = observer }

// Handle processes one event and returns the effects to carry out, in order. clock is the current reading of the
// clocks. If its monotonic time is lower than that of an earlier event, the earlier time is used.
func (c *Controller) Handle(clock Clock, event Event) []Effect {
	paused := c.pause.detectPause(clock.Monotonic - c.env.now)
	c.env.now, c.env.wall = max(c.env.now, clock.Monotonic), clock.Wall
	c.outbox.effects = nil
	if paused {
		c.pause.recoverFromPause()
	}
	switch event := event.(type) {
	case Tick:
		c.tick()
	case Result:
		c.outbox.deliver(event)
	case Request:
		c.onRequest(event)
	case Shutdown:
		c.shutDown()
	}
	if c.leadership != nil {
		c.leadership.afterEvent()
	}
	return c.outbox.effects
}

// tick runs the periodic work. The leadership's tick comes last because it depends on the results of the other steps.
func (c *Controller) tick() {
	c.pending.expire()
	c.outbox.refusals.tick()
	c.relay.runRetries()
	c.catalog.refreshMachineTypes()
	c.detection.tickFailureDetector()
	c.preparer.prepareFailover()
	c.election.tick()
	c.follower.sendPeerHeartbeat()
	if c.leadership != nil {
		c.leadership.tick()
	}
}

// becomeLeader starts this controller's leadership after its election transaction was applied; version is the version
// of the leader key.
func (c *Controller) becomeLeader(record *leaderRecord, version uint64) {
	candidate := c.election.candidate
	c.election.candidate = nil
	c.env.log.Info("elected leader", "token", record.Token, "lease", record.LeaseID, "leaderless_s", (c.env.now - c.election.leaderKeys.leaderlessSince).Seconds())
	c.leadership = newLeadership(c, record, version, candidate.leaseRequestedAt)
	c.leadership.trace.failover = c.preparer.beginFailover(record.Token)
	c.leadership.loader.preload = c.preparer.preparation.preload
	c.preparer.preparation.preload = nil
	c.leadership.loader.loadState()
}

// endLeadership ends this controller's leadership, if there is one, and rejects all pending requests. Callbacks of
// calls still in flight find the leadership marked as ended.
func (c *Controller) endLeadership(reason endReason) {
	l := c.leadership
	if l == nil {
		return
	}
	c.env.log.Info("leadership ended", "token", l.lease.token, "reason", reason, "led_s", (c.env.now - l.lease.electedAt).Seconds(), "loaded", l.loader.ready)
	l.lease.ended = true
	c.leadership = nil
	c.pending.refuseAll(refusedLeadershipEnded)
	// The copy of the leader keys may be out of date, so they are listed again before they are used.
	keys := &c.election.leaderKeys
	keys.leader, keys.leaderlessSince = nil, c.env.now
	keys.refresh(c.env.now)
}

// shutDown performs a graceful shutdown: a leader revokes its lease, so that another controller can be elected
// immediately, and the failure detector announces to the other controllers that this one leaves. If failure detection
// is disabled, it does nothing, as in earlier versions.
func (c *Controller) shutDown() {
	if !c.detection.enabled() {
		return
	}
	if l := c.leadership; l != nil {
		c.election.leaderKeys.revokedLease = l.lease.leaseID
		c.endLeadership(endShutdown)
		c.outbox.revokeLease(l.lease.leaseID)
	}
	c.election.electionBackoffUntil = c.env.now + c.env.cfg.OutageTolerance()
	c.detection.applyDetectorActions(c.detection.detector.Leave(c.detection.detectorClock()))
}
