package controller

import (
	"math/rand/v2"
	"net/http"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// failureDetection runs the detector of failed controllers: it sends the probes that package membership asks
// for, answers those of the others and tells operators of changes. Without a detector it is turned off, and the
// controller looks to the others like one of a version that knows no probes. It belongs to the process: a
// failover does not touch it.
//
// What the detector finds decides where messages go, which controller serves which machine, when a successor
// prepares, and what operators see. It never decides who leads, nor that a machine or a task is lost: see
// docs/failure-detection.md.
type failureDetection struct {
	env      *environment
	follower *follower
	outbox   *outbox
	pause    *pauseRecovery
	preparer *failoverPreparer

	detector *membership.Detector // nil: turned off
	// probed are the controllers whose probe is not answered yet, by the number that the detector knows it by.
	probed        map[uint64]requester
	lastRequest   uint64        // the last such number
	countersDueAt time.Duration // when the observer next gets the detector's counters
}

// stallTimeouts is the detector's stall in probe timeouts: a gap between two ticks in which a whole probe would
// have failed.
const stallTimeouts = 3

func newFailureDetection(cfg *config.Config, rng *rand.Rand) *failureDetection {
	if !cfg.Operator.Membership.Enabled || len(cfg.Siblings) == 0 {
		return &failureDetection{}
	}
	settings := membership.Settings{
		Self:             cfg.Label,
		ProbeInterval:    cfg.ProbeInterval(),
		ProbeTimeout:     cfg.ProbeTimeout(),
		SuspicionTimeout: cfg.SuspicionTimeout(),
		SuspicionFactor:  config.UnconfirmedSuspicionFactor,
		RejoinDelay:      cfg.RejoinMinUptime(),
		PauseThreshold:   stallTimeouts * cfg.ProbeTimeout(),
		ClockError:       cfg.ClockError(),
	}
	for _, sibling := range cfg.Siblings {
		settings.Peers = append(settings.Peers, sibling.Label)
	}
	return &failureDetection{detector: membership.New(settings, rng), probed: map[uint64]requester{}}
}

// enabled reports whether failed controllers are detected by probes.
func (d *failureDetection) enabled() bool { return d.detector != nil }

// tickFailureDetector lets time pass for the detector.
func (d *failureDetection) tickFailureDetector() {
	if !d.enabled() {
		return
	}
	d.applyDetectorActions(d.detector.Tick(d.detectorClock()))
	if d.env.now >= d.countersDueAt {
		d.countersDueAt = d.env.now + d.env.cfg.WorkerLease()
		d.env.observer.DetectorSampled(d.detector.LocalHealth(), d.detector.Counters())
	}
}

// onProbe takes another controller's probe. The detector answers it, now or after it has probed a third
// controller.
func (d *failureDetection) onProbe(from requester, body []byte) {
	if !d.enabled() {
		d.outbox.reply(from, http.StatusNotFound, nil, 0)
		return
	}
	d.lastRequest++
	d.probed[d.lastRequest] = from
	d.applyDetectorActions(d.detector.HandleProbe(d.detectorClock(), d.lastRequest, body))
}

// notePeerAnswer notes that a controller answered a request that was sent at a steady time: it is alive, as if
// it had answered a probe.
func (d *failureDetection) notePeerAnswer(label string, sent time.Duration) {
	if d.enabled() {
		d.applyDetectorActions(d.detector.ObserveAck(d.detectorClock(), label, sent))
	}
}

// peerState is the state that the detector holds a controller in; alive while nothing is known of it.
func (d *failureDetection) peerState(label string) membership.State {
	if !d.enabled() {
		return membership.Alive
	}
	return d.detector.StateOf(label)
}

// applyDetectorActions carries out what the detector wants done.
func (d *failureDetection) applyDetectorActions(actions []membership.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case membership.Send:
			d.sendProbe(action)
		case membership.Respond:
			d.replyToProbe(action)
		case membership.StateChange:
			d.onMemberChange(action)
		case membership.DroppedMessage:
			d.onDroppedMessage(action)
		}
	}
}

// sendProbe sends a probe. A controller of a version that knows no probes gets a heartbeat in its place.
func (d *failureDetection) sendProbe(send membership.Send) {
	path, body := probePath, send.Body
	if send.Heartbeat {
		path, body = peerHeartbeatPath, protocol.EncodePeer(d.follower.peerHeartbeat())
	}
	sent := d.env.now
	d.outbox.peerCall(send.To, path, body, send.Timeout, func(res Result) {
		if !d.enabled() {
			return
		}
		d.pause.noteAnswer(sent, res.Status != 0)
		answer := membership.Response{Status: res.Status, Body: res.Body}
		d.applyDetectorActions(d.detector.HandleResponse(d.detectorClock(), send.ID, answer))
	})
}

// replyToProbe answers the controller whose probe the detector has dealt with.
func (d *failureDetection) replyToProbe(respond membership.Respond) {
	from, waits := d.probed[respond.Request]
	if !waits {
		return
	}
	delete(d.probed, respond.Request)
	retryAfter := 0
	if respond.Status == http.StatusServiceUnavailable {
		retryAfter = retryAfterSeconds
	}
	d.outbox.reply(from, respond.Status, respond.Body, retryAfter)
}

// onMemberChange logs a controller's change of state, and has the failover prepared if it is the leader that
// is suspected.
func (d *failureDetection) onMemberChange(change membership.StateChange) {
	d.env.log.Info("controller is "+change.To.String(), "controller", change.Label, "previous", change.From.String(),
		"reason", string(change.Reason), "incarnation", uint64(change.Incarnation), "after_s", change.After.Seconds())
	d.env.observer.MemberChanged(change)
	if change.Label == d.follower.leaderLabel() && change.To == membership.Suspect {
		d.preparer.preparation.suspectedAt = d.env.now
	}
}

// onDroppedMessage counts a message that the detector did not take, and logs the first of its kind.
func (d *failureDetection) onDroppedMessage(drop membership.DroppedMessage) {
	d.env.observer.PeerMessageDropped(drop)
	if drop.First {
		d.env.log.Info("peer message dropped", "controller", drop.Label, "reason", string(drop.Reason))
	}
}

func (d *failureDetection) detectorClock() membership.Clock {
	return membership.Clock{Monotonic: d.env.now, Wall: d.env.wall}
}
