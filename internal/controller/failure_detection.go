package controller

import (
	"math/rand/v2"
	"net/http"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
)

// failureDetection connects the failure detector of package membership to the controller: it sends the detector's
// probes, passes other controllers' probes to it, and reports changes of state in the log and to the observer. If
// failure detection is disabled, there is no detector, and the controller answers probes like a version without probe
// support. Its lifetime is that of the process; a failover does not affect it.
//
// The detector's results determine the routes of messages, which controller serves which machine, when a successor
// prepares, and what operators see. They never determine which controller is the leader, nor that a machine or a task
// is lost: see docs/failure-detection.md.
type failureDetection struct {
	env      *environment
	follower *follower
	outbox   *outbox
	pause    *pauseRecovery
	preparer *failoverPreparer

	detector *membership.Detector // nil: failure detection is disabled
	// unansweredProbes holds the senders of the probes that have not been answered, by the probe ID that was passed to
	// the detector (membership.Respond.Request).
	unansweredProbes map[uint64]requester
	lastProbeID      uint64        // the last probe ID that was assigned
	countersDueAt    time.Duration // when the detector's counters are next reported to the observer
}

// pauseThresholdTimeouts is the detector's pause threshold in probe timeouts: a gap between two ticks in which a whole
// probe would have failed.
const pauseThresholdTimeouts = 3

func newFailureDetection(cfg *config.Config, rng *rand.Rand) *failureDetection {
	if !cfg.Operator.Membership.Enabled || len(cfg.Siblings) == 0 {
		return &failureDetection{}
	}
	settings := membership.Settings{
		Self:                       cfg.Label,
		ProbeInterval:              cfg.ProbeInterval(),
		ProbeTimeout:               cfg.ProbeTimeout(),
		SuspicionTimeout:           cfg.SuspicionTimeout(),
		UnconfirmedSuspicionFactor: config.UnconfirmedSuspicionFactor,
		RejoinDelay:                cfg.RejoinDelay(),
		PauseThreshold:             pauseThresholdTimeouts * cfg.ProbeTimeout(),
		ClockError:                 cfg.ClockError(),
	}
	for _, sibling := range cfg.Siblings {
		settings.Peers = append(settings.Peers, sibling.Label)
	}
	return &failureDetection{detector: membership.New(settings, rng), unansweredProbes: map[uint64]requester{}}
}

// enabled reports whether failure detection by probes is enabled.
func (d *failureDetection) enabled() bool { return d.detector != nil }

// tickFailureDetector advances the detector's clock, carries out the resulting actions, and reports the detector's
// counters to the observer once per workers' lease.
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

// onProbe passes another controller's probe to the detector. The detector answers it immediately or, for an indirect
// probe, after it has probed a third controller.
func (d *failureDetection) onProbe(from requester, body []byte) {
	if !d.enabled() {
		d.outbox.reply(from, http.StatusNotFound, nil, 0)
		return
	}
	d.lastProbeID++
	d.unansweredProbes[d.lastProbeID] = from
	d.applyDetectorActions(d.detector.HandleProbe(d.detectorClock(), d.lastProbeID, body))
}

// recordPeerAnswer reports to the detector that a controller answered a request, which counts like an answer to a
// probe. sent is the monotonic time when the request was sent.
func (d *failureDetection) recordPeerAnswer(label string, sent time.Duration) {
	if d.enabled() {
		d.applyDetectorActions(d.detector.ObserveAck(d.detectorClock(), label, sent))
	}
}

// peerState returns the state of a controller according to the detector. It is Alive if failure detection is disabled.
func (d *failureDetection) peerState(label string) membership.State {
	if !d.enabled() {
		return membership.Alive
	}
	return d.detector.StateOf(label)
}

// applyDetectorActions carries out the actions returned by the detector.
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

// sendProbe sends a probe, or a heartbeat if the target's version does not support probes.
func (d *failureDetection) sendProbe(send membership.Send) {
	path, body := ProbePath, send.Body
	if send.Heartbeat {
		path, body = PeerHeartbeatPath, protocol.EncodePeer(d.follower.peerHeartbeat())
	}
	sent := d.env.now
	d.outbox.peerCall(send.To, path, body, send.Timeout, func(res Result) {
		if !d.enabled() {
			return
		}
		d.pause.recordAnswer(sent, res.Status != 0)
		answer := membership.Response{Status: res.Status, Body: res.Body}
		d.applyDetectorActions(d.detector.HandleResponse(d.detectorClock(), send.ID, answer))
	})
}

// replyToProbe sends the detector's answer to the sender of a probe.
func (d *failureDetection) replyToProbe(respond membership.Respond) {
	from, found := d.unansweredProbes[respond.Request]
	if !found {
		return
	}
	delete(d.unansweredProbes, respond.Request)
	retryAfter := 0
	if respond.Status == http.StatusServiceUnavailable {
		retryAfter = retryAfterSeconds
	}
	d.outbox.reply(from, respond.Status, respond.Body, retryAfter)
}

// onMemberChange logs a change of a controller's state and reports it to the observer. If the leader became suspected,
// it records the time of the suspicion for the preparation of a failover.
func (d *failureDetection) onMemberChange(change membership.StateChange) {
	d.env.log.Info("controller is "+change.To.String(), "controller", change.Label, "previous", change.From.String(),
		"reason", string(change.Reason), "incarnation", uint64(change.Incarnation), "after_s", change.After.Seconds())
	d.env.observer.MemberChanged(change)
	if change.Label == d.follower.leaderLabel() && change.To == membership.Suspect {
		d.preparer.preparation.suspectedAt = d.env.now
	}
}

// onDroppedMessage reports a message that the detector rejected to the observer, and logs it if it is the first with
// this sender and reason.
func (d *failureDetection) onDroppedMessage(dropped membership.DroppedMessage) {
	d.env.observer.PeerMessageDropped(dropped)
	if dropped.First {
		d.env.log.Info("peer message dropped", "controller", dropped.Label, "reason", string(dropped.Reason))
	}
}

func (d *failureDetection) detectorClock() membership.Clock {
	return membership.Clock{Monotonic: d.env.now, Wall: d.env.wall}
}
