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
	env      *environment
	follower *follower
	outbox   *outbox
	pause    *pauseRecovery
	preparer *failoverPreparer

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

func newFailureDetection(cfg *config.Config, random *rand.Rand) *failureDetection {
	if !cfg.Operator.Membership.Enabled || len(cfg.Siblings) == 0 {
		return &failureDetection{}
	}
	settings := membership.Settings{Self: cfg.Label, Interval: cfg.ProbeInterval(), Timeout: cfg.ProbeTimeout(),
		Suspicion: cfg.Suspicion(), SuspicionFactor: config.SuspicionFactor, Steady: cfg.Steady(),
		Stall: stallTimeouts * cfg.ProbeTimeout(), ClockError: cfg.ClockError()}
	for _, s := range cfg.Siblings {
		settings.Peers = append(settings.Peers, s.Label)
	}
	return &failureDetection{detector: membership.New(settings, random), probed: map[uint64]requester{}}
}

// enabled says whether failed controllers are noticed by probes.
func (d *failureDetection) enabled() bool { return d.detector != nil }

func (d *failureDetection) detectorClock() membership.Clock {
	return membership.Clock{Steady: d.env.now, Wall: d.env.wall}
}

// tickFailureDetector lets time pass for the detector.
func (d *failureDetection) tickFailureDetector() {
	v := d
	if !v.enabled() {
		return
	}
	d.applyDetectorActions(v.detector.Tick(d.detectorClock()))
	if d.env.now >= v.reportAt {
		v.reportAt = d.env.now + d.env.cfg.Lease()
		d.env.observer.Detector(v.detector.Health(), v.detector.Counters())
	}
}

// applyDetectorActions carries out what the detector wants done.
func (d *failureDetection) applyDetectorActions(actions []membership.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case membership.Send:
			d.sendProbe(action)
		case membership.Respond:
			d.replyToProbe(action)
		case membership.Change:
			d.onMemberChange(action)
		case membership.Drop:
			d.env.observer.Dropped(action)
			if action.First {
				d.env.log.Info("peer message dropped", "controller", action.Label, "reason", string(action.Reason))
			}
		}
	}
}

func (d *failureDetection) sendProbe(send membership.Send) {
	path, body := probePath, send.Body
	if send.Heartbeat {
		path, body = "/heartbeat", protocol.EncodePeer(d.follower.peerHeartbeat())
	}
	sent := d.env.now
	d.outbox.call(ToPeer, d.env.peerAddr(send.To), "POST", path, body, send.Timeout, func(res Result) {
		if d.enabled() {
			d.pause.noteAnswer(sent, res.Status != 0)
			d.applyDetectorActions(d.detector.Answered(d.detectorClock(), send.ID, membership.Answer{Status: res.Status, Body: res.Body}))
		}
	})
}

func (d *failureDetection) replyToProbe(respond membership.Respond) {
	v := d
	from, waits := v.probed[respond.Request]
	if !waits {
		return
	}
	delete(v.probed, respond.Request)
	retryAfter := 0
	if respond.Status == 503 {
		retryAfter = retryAfterSeconds
	}
	d.outbox.reply(from, respond.Status, respond.Body, retryAfter)
}

// onProbe takes another controller's probe.
func (d *failureDetection) onProbe(from requester, body []byte) {
	v := d
	if !v.enabled() {
		d.outbox.reply(from, 404, nil, 0)
		return
	}
	v.lastRequest++
	v.probed[v.lastRequest] = from
	d.applyDetectorActions(v.detector.Probed(d.detectorClock(), v.lastRequest, body))
}

// notePeerAnswer notes that a peer answered a request that was sent at a time.
func (d *failureDetection) notePeerAnswer(label string, sent time.Duration) {
	if d.enabled() {
		d.applyDetectorActions(d.detector.Heard(d.detectorClock(), label, sent))
	}
}

// onMemberChange logs a change of state and tells those whom it concerns.
func (d *failureDetection) onMemberChange(change membership.Change) {
	d.env.log.Info("controller is "+change.To.String(), "controller", change.Label, "previous", change.From.String(),
		"reason", string(change.Reason), "incarnation", uint64(change.Incarnation), "after_s", change.After.Seconds())
	d.env.observer.MemberChanged(change)
	if change.Label == d.follower.leaderLabel() && change.To == membership.Suspect {
		d.preparer.preparation.suspectedAt = d.env.now
	}
}

// peerState is what a controller is held for; alive, while nothing is known.
func (d *failureDetection) peerState(label string) membership.State {
	if !d.enabled() {
		return membership.Alive
	}
	return d.detector.StateOf(label)
}
