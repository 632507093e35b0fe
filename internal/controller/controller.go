package controller

import (
	"fmt"
	"log/slog"
	"math/rand/v2"

	"claybarrow/internal/config"
)

// Controller owns all state of a controller. It is not safe for concurrent use: one goroutine hands it the
// events, one at a time.
type Controller struct {
	// leadership is what this controller knows and does as the leader; nil while it does not lead.
	leadership *leadership

	// The components that every controller has for as long as its process runs.
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
}

// New returns a controller that knows nothing yet. All its random numbers come from rng, so that a run can be
// repeated.
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

// wire connects the components with those that they need. The components of a leadership are connected in
// wiring.go.
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

// Observe sets the observer of this controller. It must be called before the first event is handled.
func (c *Controller) Observe(observer Observer) { c.env.observer = observer }

// Handle takes one event, with the clocks' reading of this moment, and returns the effects to carry out, in
// their order. Steady times must not go back; one that does counts as the last one.
func (c *Controller) Handle(at Clock, event Event) []Effect {
	paused := c.pause.detectPause(at.Steady - c.env.now)
	c.env.now, c.env.wall = max(c.env.now, at.Steady), at.Wall
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

// tick does what is due with time alone. The leader's own work comes last, as it depends on all that
// precedes it.
func (c *Controller) tick() {
	c.pending.expire()
	c.relay.runRetries()
	c.catalog.refreshMachineTypes()
	c.detection.tickFailureDetector()
	c.preparer.prepareFailover()
	c.election.watchLeaderKeys()
	c.follower.sendPeerHeartbeat()
	if c.leadership != nil {
		c.leadership.tick()
	}
}

// becomeLeader begins the leadership of the candidate whose election has been stored; version is that of the
// leader key.
func (c *Controller) becomeLeader(record *leaderRecord, version uint64) {
	candidate := c.election.candidate
	c.election.candidate = nil
	c.env.log.Info("elected leader", "token", record.Token, "lease", record.LeaseID)
	c.leadership = newLeadership(c, record, version, candidate.leaseAskedAt)
	c.leadership.trace.failover = c.preparer.beginFailover(record.Token)
	c.leadership.loader.preload = c.preparer.preparation.preload
	c.preparer.preparation.preload = nil
	c.leadership.loader.loadState()
}

// endLeadership ends this controller's leadership, if there is one, and refuses all requests that wait for it.
// Callbacks of calls that are under way find the leadership marked as ended.
func (c *Controller) endLeadership(reason endReason) {
	l := c.leadership
	if l == nil {
		return
	}
	c.env.log.Info("leadership ended", "token", l.lease.token, "reason", reason)
	l.lease.ended = true
	c.leadership = nil
	c.pending.refuseAll()
	// What else is known of the leadership keys may be out of date: list them before acting on them.
	keys := &c.election.leaderKeys
	keys.leader, keys.leaderlessSince = nil, c.env.now
	keys.refresh(c.env.now)
}

// shutDown ends in good order: a leader revokes its lease, so that another controller can be elected at once,
// and the failure detectors of the others are told. Without failure detection the process just ends, as
// earlier versions did.
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
