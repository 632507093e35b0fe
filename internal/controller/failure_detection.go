package controller

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

// failureDetection is this controller's part in it. Without a detector it is turned off, and
// the controller looks to others like one of a version that knows no probes.
type failureDetection struct {
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

func newFailureDetection(cfg *config.Config, random *rand.Rand) failureDetection {
	if !cfg.Operator.Membership.Enabled || len(cfg.Siblings) == 0 {
		return failureDetection{}
	}
	settings := membership.Settings{Self: cfg.Label, Interval: cfg.ProbeInterval(), Timeout: cfg.ProbeTimeout(),
		Suspicion: cfg.Suspicion(), SuspicionFactor: config.SuspicionFactor, Steady: cfg.Steady(),
		Stall: stallTimeouts * cfg.ProbeTimeout(), ClockError: cfg.ClockError()}
	for _, s := range cfg.Siblings {
		settings.Peers = append(settings.Peers, s.Label)
	}
	return failureDetection{detector: membership.New(settings, random), probed: map[uint64]requester{}}
}

// enabled says whether failed controllers are noticed by probes.
func (d *failureDetection) enabled() bool { return d.detector != nil }

func (c *Controller) detectorClock() membership.Clock {
	return membership.Clock{Steady: c.now, Wall: c.wall}
}

// tickFailureDetector lets time pass for the detector.
func (c *Controller) tickFailureDetector() {
	v := &c.detection
	if !v.enabled() {
		return
	}
	c.applyDetectorActions(v.detector.Tick(c.detectorClock()))
	if c.now >= v.reportAt {
		v.reportAt = c.now + c.cfg.Lease()
		c.observer.Detector(v.detector.Health(), v.detector.Counters())
	}
}

// applyDetectorActions carries out what the detector wants done.
func (c *Controller) applyDetectorActions(actions []membership.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case membership.Send:
			c.sendProbe(action)
		case membership.Respond:
			c.replyToProbe(action)
		case membership.Change:
			c.onMemberChange(action)
		case membership.Drop:
			c.observer.Dropped(action)
			if action.First {
				c.log.Info("a peer's message is dropped", "peer", action.Label, "why", string(action.Reason))
			}
		}
	}
}

func (c *Controller) sendProbe(send membership.Send) {
	path, body := probePath, send.Body
	if send.Heartbeat {
		path, body = "/heartbeat", protocol.EncodePeer(c.peerHeartbeat())
	}
	sent := c.now
	c.call(ToPeer, c.peerAddr(send.To), "POST", path, body, send.Timeout, func(res Result) {
		if c.detection.enabled() {
			c.noteAnswer(sent, res.Status != 0)
			c.applyDetectorActions(c.detection.detector.Answered(c.detectorClock(), send.ID, membership.Answer{Status: res.Status, Body: res.Body}))
		}
	})
}

func (c *Controller) replyToProbe(respond membership.Respond) {
	v := &c.detection
	from, waits := v.probed[respond.Request]
	if !waits {
		return
	}
	delete(v.probed, respond.Request)
	retryAfter := 0
	if respond.Status == 503 {
		retryAfter = retryAfterSeconds
	}
	c.reply(from, respond.Status, respond.Body, retryAfter)
}

// onProbe takes another controller's probe.
func (c *Controller) onProbe(from requester, body []byte) {
	v := &c.detection
	if !v.enabled() {
		c.reply(from, 404, nil, 0)
		return
	}
	v.lastRequest++
	v.probed[v.lastRequest] = from
	c.applyDetectorActions(v.detector.Probed(c.detectorClock(), v.lastRequest, body))
}

// notePeerAnswer notes that a peer answered a request that was sent at a time.
func (c *Controller) notePeerAnswer(label string, sent time.Duration) {
	if c.detection.enabled() {
		c.applyDetectorActions(c.detection.detector.Heard(c.detectorClock(), label, sent))
	}
}

// onMemberChange logs a change of state and tells those whom it concerns.
func (c *Controller) onMemberChange(change membership.Change) {
	c.log.Info("controller is "+change.To.String(), "controller", change.Label, "was", change.From.String(),
		"why", string(change.Reason), "incarnation", uint64(change.Incarnation), "after_s", change.After.Seconds())
	c.observer.MemberChanged(change)
	if change.Label == c.leaderLabel() && change.To == membership.Suspect {
		c.preparation.suspectedAt = c.now
	}
}

// peerState is what a controller is held for; alive, while nothing is known.
func (c *Controller) peerState(label string) membership.State {
	if !c.detection.enabled() {
		return membership.Alive
	}
	return c.detection.detector.StateOf(label)
}

// shutDown ends in good order: a leader gives its lease back, so that another one takes over at
// once, and the others are told.
func (c *Controller) shutDown() {
	if !c.detection.enabled() {
		return
	}
	if l := c.leadership; l != nil {
		c.leaderKeys.revokedLease = l.leaseID
		c.endLeadership("the process is told to end")
		c.revokeLease(l.leaseID)
	}
	c.electionBackoffUntil = c.now + c.cfg.Coast()
	c.applyDetectorActions(c.detection.detector.Leave(c.detectorClock()))
}
