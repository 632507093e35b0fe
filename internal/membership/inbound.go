package membership

import (
	"errors"
	"net/http"
)

// HandleProbe handles a probe from a peer. If the probe is about a third member, a later event may return
// the Respond action with the same request ID.
func (d *Detector) HandleProbe(at Clock, request uint64, body []byte) []Action {
	d.advanceClock(at)
	d.counters.BytesReceived += uint64(min(len(body), MaxMessageBytes))
	message, err := decodeMessage[Probe](body)
	sender := d.members[message.From]
	switch {
	case errors.Is(err, errUnsupportedVersion):
		// 404 is the answer of versions without probe support: the sender falls back to heartbeats.
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

// handleProbe updates the sender's state from a decoded probe and answers the probe.
func (d *Detector) handleProbe(request uint64, sender *member, message Probe) {
	if violation, ok := sender.checkOrder(message, &d.clock); !ok {
		d.rejectStale(request, sender, message, violation)
		return
	}
	if sender.method == viaHeartbeat {
		sender.method = viaProbe // the sender was upgraded
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

// probeForPeer probes a third member on behalf of the sender (ping-req in SWIM). The sender is answered when
// that probe ends.
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

// rejectStale drops an out-of-order message and answers it with a conflict. The reply includes the claim
// about the sender with its highest known incarnation, so that a sender whose clock was set back takes a
// later incarnation.
func (d *Detector) rejectStale(request uint64, sender *member, message Probe, reason DropReason) {
	d.out.drop(sender.label, reason)
	d.out.respond(request, http.StatusConflict, ProbeReply{Sequence: message.Sequence,
		Claims: append(d.claimsFor(sender.label), sender.claim())})
}
