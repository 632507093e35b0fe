package controller

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
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

// pendingRequest is somebody whose answer needs something that is under way.
type pendingRequest struct {
	from     requester
	deadline time.Duration
}

// requester is who asked: a user or worker directly, or another controller for one.
type requester struct {
	id    uint64
	relay bool
	by    string // the controller that forwarded a report, if it tells
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

func (o *outbox) call(t Target, addr, method, path string, body any, timeout time.Duration, then func(Result)) {
	o.callUntil(t, addr, method, path, body, timeout, 0, then)
}

// callUntil is a call that must not leave after a moment.
func (o *outbox) callUntil(t Target, addr, method, path string, body any, timeout, until time.Duration, then func(Result)) {
	o.lastCall++
	o.calls[o.lastCall] = then
	e := Call{ID: o.lastCall, Target: t, Addr: addr, Method: method, Path: path, Timeout: timeout, ValidUntil: until}
	if b, ok := body.([]byte); ok {
		e.Body = b
	} else if body != nil {
		e.Body = protocol.Encode(body)
	}
	o.effects = append(o.effects, e)
}

func (o *outbox) stateCall(method, path string, body any, timeout time.Duration, then func(Result)) {
	o.stateRequests.Take(o.env.now, 1)
	sent := o.env.now
	o.call(ToState, o.env.cfg.Services.State, method, path, body, timeout, func(r Result) {
		o.pause.noteAnswer(sent, r.Status != 0)
		then(r)
	})
}

func (o *outbox) cloudCall(method, path string, body any, timeout time.Duration, then func(Result)) {
	o.cloudRequests.Take(o.env.now, 1)
	o.call(ToCloud, o.env.cfg.Services.Cloud, method, path, body, timeout, then)
}

// retryPause is a short wait before something is tried again, spread so that the
// controllers don't do it in step.
func (e *environment) retryPause() time.Duration {
	base := e.cfg.LeaderTTL() / 16
	return base + time.Duration(e.rng.Int64N(int64(base)+1))
}

// refreshMachineTypes fetches the machine types, at the start and then now and then, as
// the current prices come with them.
func (m *machineCatalog) refreshMachineTypes() {
	if m.typesInFlight || m.env.now < m.typesRefreshAt || !m.outbox.cloudRequests.Has(m.env.now, 1) {
		return
	}
	m.typesInFlight = true
	m.outbox.cloudCall("GET", "/flavors", nil, m.env.cfg.Lease()/4, func(r Result) {
		m.typesInFlight = false
		var list protocol.MachineTypes
		if r.Status != 200 || protocol.Decode(r.Body, &list) != nil || len(list.Types) == 0 {
			m.typesRefreshAt = m.env.now + m.env.cfg.LeaderTTL()/2
			return
		}
		m.typesRefreshAt = m.env.now + 12*m.env.cfg.Lease()
		m.types = m.types[:0]
		m.typesGeneration++
		for _, t := range list.Types {
			m.typeInfo[t.Name] = t
			m.types = append(m.types, &scheduler.Type{Name: t.Name,
				Size:  scheduler.Need{Cores: t.Cores, Accel: t.Accelerators, Mem: t.MemoryGB},
				Price: t.Price, SpotPrice: t.SpotPrice, Zones: t.Zones, BootS: t.BootS, FetchGBPerS: t.FetchGBPerS})
		}
	})
}

func (m *machineCatalog) machineType(name string) *scheduler.Type {
	for _, t := range m.types {
		if t.Name == name {
			return t
		}
	}
	return nil
}
