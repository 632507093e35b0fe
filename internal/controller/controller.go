package controller

import (
	"fmt"
	"log/slog"
	"math/rand/v2"

	"claybarrow/internal/config"
	"claybarrow/internal/protocol"
)

// Controller owns all state of a controller.
type Controller struct {
	leadership *leadership
	env        *environment
	outbox     *outbox
	catalog    *machineCatalog
	pending    *pendingTable
	pause      *pauseRecovery
	election   *election
	preparer   *failoverPreparer
	follower   *follower
	relay      *leaderRelay
	detection  *failureDetection
}

// New makes a controller. Random numbers are injected so that failures replay.
func New(cfg *config.Config, rng *rand.Rand, log *slog.Logger) *Controller {
	env := &environment{cfg: cfg, rng: rng, log: log, observer: noObserver{}, incarnation: fmt.Sprintf("%016x", rng.Uint64())}
	c := &Controller{
		env:       env,
		outbox:    newOutbox(env),
		catalog:   &machineCatalog{typeInfo: map[string]protocol.MachineType{}, warnedOfFetch: map[string]bool{}},
		pending:   &pendingTable{pendingRequests: map[uint64]*pendingRequest{}},
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

// wire gives each component those that it works with.
func (c *Controller) wire() {
	env, outbox := c.env, c.outbox
	outbox.pause = c.pause
	c.catalog.env, c.catalog.outbox = env, outbox
	c.pending.env, c.pending.outbox = env, outbox

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

// Observe has somebody told of what operators count and trace. It is called before anything is
// handled.
func (c *Controller) Observe(observer Observer) { c.env.observer = observer }

// Handle takes one message and returns what is to be done.
func (c *Controller) Handle(at Clock, ev Event) []Effect {
	woke := c.pause.detectPause(at.Steady - c.env.now)
	c.env.now, c.env.wall, c.outbox.effects = max(c.env.now, at.Steady), at.Wall, nil
	if woke {
		c.pause.recoverFromPause()
	}
	switch ev := ev.(type) {
	case Tick:
		c.tick()
	case Result:
		if then, ok := c.outbox.calls[ev.ID]; ok {
			delete(c.outbox.calls, ev.ID)
			then(ev)
		}
	case Request:
		c.onRequest(ev)
	case Shutdown:
		c.shutDown()
	}
	if c.leadership != nil {
		c.leadership.afterEvent()
	}
	return c.outbox.effects
}

func (c *Controller) tick() {
	c.pending.expirePendingRequests()
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

func (c *Controller) endLeadership(reason endReason) {
	l := c.leadership
	if l == nil {
		return
	}
	c.env.log.Info("leadership ended", "token", l.lease.token, "reason", reason)
	l.lease.ended = true
	c.leadership = nil
	l.controller.pending.refusePendingRequests()
	// Whatever else the view says may be old: read it again before acting.
	c.election.leaderKeys.leader, c.election.leaderKeys.leaderlessSince = nil, c.env.now
	c.election.leaderKeys.refresh(c.env.now)
}

func (c *Controller) becomeLeader(rec *leaderRecord, version uint64) {
	candidate := c.election.candidate
	c.election.candidate = nil
	c.env.log.Info("elected leader", "token", rec.Token, "lease", rec.LeaseID)
	c.leadership = newLeadership(c, rec, version, candidate.leaseAskedAt)
	c.leadership.trace.failover, c.leadership.loader.preload = c.preparer.beginFailover(rec.Token), c.preparer.preparation.preload
	c.preparer.preparation.preload = nil
	c.leadership.loader.loadState()
}

// shutDown ends in good order: a leader gives its lease back, so that another one takes over at
// once, and the others are told.
func (c *Controller) shutDown() {
	if !c.detection.enabled() {
		return
	}
	if l := c.leadership; l != nil {
		c.election.leaderKeys.revokedLease = l.lease.leaseID
		c.endLeadership(endShutdown)
		c.outbox.revokeLease(l.lease.leaseID)
	}
	c.election.electionBackoffUntil = c.env.now + c.env.cfg.Coast()
	c.detection.applyDetectorActions(c.detection.detector.Leave(c.detection.detectorClock()))
}
