package coordination

import (
	"math/rand/v2"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// What the detector of failed controllers says decides where messages go, which controller serves
// which machine, when a successor prepares, and what operators see. It never decides who leads,
// nor what is proved: see docs/failure-detection.md.

// membershipView is this controller's part in it. Without a detector it is turned off, and
// the controller looks to others like one of a version that knows no probes.
type membershipView struct {
	detector *membership.Detector
	// probed are those whose probe is not answered yet, by the detector's number.
	probed      map[uint64]requester
	lastRequest uint64
	reportAt    time.Duration // when the counters were last told
}

// probePath is where controllers of this version are probed.
const probePath = "/probe"

// Ratio of the detector's stall to its probe timeout: a gap in which a whole probe would have
// failed.
const stallTimeouts = 3

func newMembershipView(cfg *config.Config, random *rand.Rand) membershipView {
	if !cfg.Operator.Membership.Enabled || len(cfg.Siblings) == 0 {
		return membershipView{}
	}
	settings := membership.Settings{Self: cfg.Label, Interval: cfg.ProbeInterval(), Timeout: cfg.ProbeTimeout(),
		Suspicion: cfg.Suspicion(), SuspicionFactor: config.SuspicionFactor, Steady: cfg.Steady(),
		Stall: stallTimeouts * cfg.ProbeTimeout(), ClockError: cfg.ClockError()}
	for _, s := range cfg.Siblings {
		settings.Peers = append(settings.Peers, s.Label)
	}
	return membershipView{detector: membership.New(settings, random), probed: map[uint64]requester{}}
}

// enabled says whether failed controllers are noticed by probes.
func (v *membershipView) enabled() bool { return v.detector != nil }

func (c *Core) memberClock() membership.Clock {
	return membership.Clock{Steady: c.now, Wall: c.wall}
}

// keepMembership lets time pass for the detector.
func (c *Core) keepMembership() {
	v := &c.membership
	if !v.enabled() {
		return
	}
	c.actOn(v.detector.Tick(c.memberClock()))
	if c.now >= v.reportAt {
		v.reportAt = c.now + c.cfg.Lease()
		c.observer.Detector(v.detector.Health(), v.detector.Counters())
	}
}

// actOn carries out what the detector wants done.
func (c *Core) actOn(actions []membership.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case membership.Send:
			c.sendProbe(action)
		case membership.Respond:
			c.answerProbe(action)
		case membership.Change:
			c.memberChanged(action)
		case membership.Drop:
			c.observer.Dropped(action)
			if action.First {
				c.log.Info("a peer's message is dropped", "peer", action.Label, "why", string(action.Reason))
			}
		}
	}
}

func (c *Core) sendProbe(send membership.Send) {
	path, body := probePath, send.Body
	if send.Heartbeat {
		path, body = "/heartbeat", protocol.EncodePeer(c.heartbeat())
	}
	sent := c.now
	c.call(ToPeer, c.addrOf(send.To), "POST", path, body, send.Timeout, func(res Result) {
		if c.membership.enabled() {
			c.resumed(sent, res.Status != 0)
			c.actOn(c.membership.detector.Answered(c.memberClock(), send.ID, membership.Answer{Status: res.Status, Body: res.Body}))
		}
	})
}

func (c *Core) answerProbe(respond membership.Respond) {
	v := &c.membership
	from, waits := v.probed[respond.Request]
	if !waits {
		return
	}
	delete(v.probed, respond.Request)
	retryAfter := 0
	if respond.Status == 503 {
		retryAfter = comeBack
	}
	c.reply(from, respond.Status, respond.Body, retryAfter)
}

// onProbe takes another controller's probe.
func (c *Core) onProbe(from requester, body []byte) {
	v := &c.membership
	if !v.enabled() {
		c.reply(from, 404, nil, 0)
		return
	}
	v.lastRequest++
	v.probed[v.lastRequest] = from
	c.actOn(v.detector.Probed(c.memberClock(), v.lastRequest, body))
}

// heardPeer notes that a peer answered a request that was sent at a time.
func (c *Core) heardPeer(label string, sent time.Duration) {
	if c.membership.enabled() {
		c.actOn(c.membership.detector.Heard(c.memberClock(), label, sent))
	}
}

// memberChanged logs a change of state and tells those whom it concerns.
func (c *Core) memberChanged(change membership.Change) {
	c.log.Info("controller is "+change.To.String(), "controller", change.Label, "was", change.From.String(),
		"why", string(change.Reason), "incarnation", uint64(change.Incarnation), "after_s", change.After.Seconds())
	c.observer.MemberChanged(change)
	if change.Label == c.leaderLabel() && change.To == membership.Suspect {
		c.succession.suspected = c.now
	}
}

// stateOf is what a controller is held for; alive, while nothing is known.
func (c *Core) stateOf(label string) membership.State {
	if !c.membership.enabled() {
		return membership.Alive
	}
	return c.membership.detector.StateOf(label)
}

// shutDown ends in good order: a leader gives its lease back, so that another one takes over at
// once, and the others are told.
func (c *Core) shutDown() {
	if !c.membership.enabled() {
		return
	}
	if r := c.term; r != nil {
		c.view.ended = r.lease
		c.endTerm("the process is told to end")
		c.endLease(r.lease)
	}
	c.standBackUntil = c.now + c.cfg.Coast()
	c.actOn(c.membership.detector.Leave(c.memberClock()))
}
