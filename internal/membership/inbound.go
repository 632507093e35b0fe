package membership

import (
	"errors"
	"net/http"
)

// HandleProbe handles a peer's probe. Its Respond, with the same request, may come from a later event when
// the probe is about a third member.
func (d *Detector) HandleProbe(at Clock, request uint64, body []byte) []Action {
	d.advanceClock(at)
	d.counters.BytesReceived += uint64(min(len(body), MaxMessageBytes))
	message, err := decodeMessage[Probe](body)
	sender := d.members[message.From]
	switch {
	case errors.Is(err, errUnsupportedVersion):
		// As a version that knows no probes answers: the later version judges us by heartbeats.
		d.out.reject(request, http.StatusNotFound, message.From, DropVersion)
	case err != nil:
		d.out.reject(request, http.StatusBadRequest, "", DropMalformed)
	case sender == nil:
		d.out.reject(request, http.StatusBadRequest, message.From, DropUnknown)
	default:
		d.handleProbe(request, sender, message)
	}
	return d.out.actions
}

// handleProbe takes what a valid probe tells of its sender, and answers it.
func (d *Detector) handleProbe(request uint64, sender *member, message Probe) {
	if violation, ok := sender.checkOrder(message, &d.clock); !ok {
		d.rejectStale(request, sender, message, violation)
		return
	}
	if sender.method == viaHeartbeat {
		sender.method = viaProbe // it was upgraded
	}
	if sender.updateIncarnation(message.Incarnation, &d.clock) {
		sender.lastAckAt = d.clock.now
		d.markAlive(sender, ReasonRefuted)
	}
	sender.sequence = message.Sequence
	d.handleClaims(sender.label, message.Claims)
	if message.Target == "" || message.Target == d.self.label {
		d.out.respond(request, http.StatusOK, ProbeReply{Sequence: message.Sequence, Reached: true,
			TargetIncarnation: d.self.incarnation, Claims: d.claimsFor(sender.label)})
		return
	}
	d.probeForPeer(request, sender, message)
}

// probeForPeer probes a third member for the sender (ping-req in SWIM), which gets its answer when that
// probe ends.
func (d *Detector) probeForPeer(request uint64, sender *member, message Probe) {
	target := d.members[message.Target]
	switch {
	case target == nil:
		d.out.reject(request, http.StatusBadRequest, sender.label, DropUnknown)
	case d.pending.forPeers >= maxProbesForPeers:
		d.out.respondEmpty(request, http.StatusServiceUnavailable)
	default:
		d.counters.ProbesForPeers++
		d.startProbe(&pendingProbe{target: target, forPeer: true, requestID: request, requester: sender.label,
			requesterSequence: message.Sequence})
	}
}

// rejectStale answers an out-of-order message without taking anything from it. The reply tells the
// sender what is known of it, so that one whose clock was set back takes a later incarnation.
func (d *Detector) rejectStale(request uint64, sender *member, message Probe, reason DropReason) {
	d.out.drop(sender.label, reason)
	d.out.respond(request, http.StatusConflict, ProbeReply{Sequence: message.Sequence,
		Claims: append(d.claimsFor(sender.label), sender.claim())})
}
