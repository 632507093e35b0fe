package controller

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/protocol"
	"claybarrow/internal/ratelimit"
	"claybarrow/internal/scheduler"
)

// Controller owns all state of a controller.
type Controller struct {
	cfg *config.Config
	rng *rand.Rand
	log *slog.Logger

	now     time.Duration
	wall    int64
	effects []Effect

	lastCall uint64
	calls    map[uint64]func(Result)

	// incarnation tells this process from earlier ones of the same label.
	incarnation string

	types          []*scheduler.Type
	typeInfo       map[string]protocol.MachineType
	typesRefreshAt time.Duration
	typesInFlight  bool
	// typesGeneration counts the lists of machine types.
	typesGeneration int

	// warnedOfFetch are the classes whose fetches are known to take longer than their tasks may wait.
	warnedOfFetch map[string]bool

	stateRequests, stateChanges, cloudRequests ratelimit.TokenBucket

	leaderKeys leaderKeys
	leadership *leadership
	candidate  *candidate
	follower   follower

	pendingRequests map[uint64]*pendingRequest

	// electionBackoffUntil: until then, others are given the chance to lead.
	electionBackoffUntil time.Duration

	detection   failureDetection
	preparation failoverPreparation
	// recoveringUntil: the process stood still and has heard of nobody since; until when at most.
	recoveringUntil time.Duration
	resumedAt       time.Duration // when it last went on after that
	retries         []retry
	observer        Observer
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

// New makes a core. Random numbers are injected so that failures replay.
func New(cfg *config.Config, rng *rand.Rand, log *slog.Logger) *Controller {
	st := cfg.Cluster.State.Both()
	c := &Controller{cfg: cfg, rng: rng, log: log, calls: map[uint64]func(Result){}, observer: noObserver{},
		incarnation: fmt.Sprintf("%016x", rng.Uint64()),
		// Until it hears of a leader, a new process renews leases for it: one that
		// waited for its first request to fail turned away the workers of a cut
		// zone, whose leases had a second left.
		follower:      follower{leaderLost: true},
		typeInfo:      map[string]protocol.MachineType{},
		warnedOfFetch: map[string]bool{},
		// Most of the state service's limits is the leader's; the rest is left
		// to the other controllers and to what we count wrongly.
		stateRequests:   ratelimit.New(st.RPS*0.8, st.RPS*0.8),
		stateChanges:    ratelimit.New(st.WriteRPS*0.9, st.WriteRPS*0.8),
		cloudRequests:   ratelimit.New(cfg.Cluster.Cloud.RPS*0.8, cfg.Cluster.Cloud.RPS),
		pendingRequests: map[uint64]*pendingRequest{},
	}
	c.detection = newFailureDetection(cfg, rng)
	return c
}

// Observe has somebody told of what operators count and trace. It is called before anything is
// handled.
func (c *Controller) Observe(observer Observer) { c.observer = observer }

// Handle takes one message and returns what is to be done.
func (c *Controller) Handle(at Clock, ev Event) []Effect {
	woke := c.detectPause(at.Steady - c.now)
	c.now, c.wall, c.effects = max(c.now, at.Steady), at.Wall, nil
	if woke {
		c.recoverFromPause()
	}
	switch ev := ev.(type) {
	case Tick:
		c.tick()
	case Result:
		if then, ok := c.calls[ev.ID]; ok {
			delete(c.calls, ev.ID)
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
	return c.effects
}

func (c *Controller) tick() {
	c.expirePendingRequests()
	c.runRetries()
	c.refreshMachineTypes()
	c.tickFailureDetector()
	c.prepareFailover()
	c.watchLeaderKeys()
	c.sendPeerHeartbeat()
	if c.leadership != nil {
		c.leadership.tick()
	}
}

func (c *Controller) call(t Target, addr, method, path string, body any, timeout time.Duration, then func(Result)) {
	c.callUntil(t, addr, method, path, body, timeout, 0, then)
}

// callUntil is a call that must not leave after a moment.
func (c *Controller) callUntil(t Target, addr, method, path string, body any, timeout, until time.Duration, then func(Result)) {
	c.lastCall++
	c.calls[c.lastCall] = then
	e := Call{ID: c.lastCall, Target: t, Addr: addr, Method: method, Path: path, Timeout: timeout, ValidUntil: until}
	if b, ok := body.([]byte); ok {
		e.Body = b
	} else if body != nil {
		e.Body = protocol.Encode(body)
	}
	c.effects = append(c.effects, e)
}

func (c *Controller) stateCall(method, path string, body any, timeout time.Duration, then func(Result)) {
	c.stateRequests.Take(c.now, 1)
	sent := c.now
	c.call(ToState, c.cfg.Services.State, method, path, body, timeout, func(r Result) {
		c.noteAnswer(sent, r.Status != 0)
		then(r)
	})
}

func (c *Controller) cloudCall(method, path string, body any, timeout time.Duration, then func(Result)) {
	c.cloudRequests.Take(c.now, 1)
	c.call(ToCloud, c.cfg.Services.Cloud, method, path, body, timeout, then)
}

// retryPause is a short wait before something is tried again, spread so that the
// controllers don't do it in step.
func (c *Controller) retryPause() time.Duration {
	base := c.cfg.LeaderTTL() / 16
	return base + time.Duration(c.rng.Int64N(int64(base)+1))
}

// refreshMachineTypes fetches the machine types, at the start and then now and then, as
// the current prices come with them.
func (c *Controller) refreshMachineTypes() {
	if c.typesInFlight || c.now < c.typesRefreshAt || !c.cloudRequests.Has(c.now, 1) {
		return
	}
	c.typesInFlight = true
	c.cloudCall("GET", "/flavors", nil, c.cfg.Lease()/4, func(r Result) {
		c.typesInFlight = false
		var list protocol.MachineTypes
		if r.Status != 200 || protocol.Decode(r.Body, &list) != nil || len(list.Types) == 0 {
			c.typesRefreshAt = c.now + c.cfg.LeaderTTL()/2
			return
		}
		c.typesRefreshAt = c.now + 12*c.cfg.Lease()
		c.types = c.types[:0]
		c.typesGeneration++
		for _, t := range list.Types {
			c.typeInfo[t.Name] = t
			c.types = append(c.types, &scheduler.Type{Name: t.Name,
				Size:  scheduler.Need{Cores: t.Cores, Accel: t.Accelerators, Mem: t.MemoryGB},
				Price: t.Price, SpotPrice: t.SpotPrice, Zones: t.Zones, BootS: t.BootS, FetchGBPerS: t.FetchGBPerS})
		}
	})
}

func (c *Controller) machineType(name string) *scheduler.Type {
	for _, t := range c.types {
		if t.Name == name {
			return t
		}
	}
	return nil
}
