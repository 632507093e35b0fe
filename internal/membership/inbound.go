package membership

import (
	"errors"
	"net/http"
)

// Probed takes a peer's probe. Its Respond may come with a later call, when it is about a third one.
func (d *Detector) Probed(at Clock, request uint64, body []byte) []Action {
	d.advanceClock(at)
	d.counters.BytesReceived += uint64(min(len(body), MostBytes))
	message, err := decodeProbe(body)
	m := d.members[message.From]
	switch {
	case errors.Is(err, errUnsupportedVersion):
		// As one that knows no probes: the later version judges us by heartbeats.
		d.refuse(request, http.StatusNotFound, message.From, DropVersion)
	case err != nil:
		d.refuse(request, http.StatusBadRequest, "", DropMalformed)
	case m == nil:
		d.refuse(request, http.StatusBadRequest, message.From, DropUnknown)
	default:
		d.handleProbe(request, m, message)
	}
	return d.out
}

func (d *Detector) handleProbe(request uint64, m *member, message Probe) {
	switch {
	case d.isFuture(message.Incarnation) || message.Sequence > maxSequence:
		d.rejectStale(request, m, message, DropFuture)
		return
	case message.Incarnation < m.incarnation:
		d.rejectStale(request, m, message, DropIncarnation)
		return
	case message.Incarnation == m.incarnation && message.Sequence <= m.sequence:
		d.rejectStale(request, m, message, DropSequence)
		return
	}
	if m.method == viaHeartbeat {
		m.method = viaProbe // it was upgraded
	}
	if d.updateIncarnation(m, message.Incarnation) {
		m.lastAckAt = d.now
		d.markAlive(m, ReasonRefuted)
	}
	m.sequence = message.Sequence
	d.handleClaims(m.label, message.Claims)
	target := d.members[message.Target]
	switch {
	case message.Target == "" || message.Target == d.settings.Self:
		d.respond(request, http.StatusOK, ProbeReply{Sequence: message.Sequence, Reached: true, TargetIncarnation: d.incarnation, Claims: d.claimsFor(m.label)})
	case target == nil:
		d.refuse(request, http.StatusBadRequest, m.label, DropUnknown)
	case d.onBehalf >= maxProbesForPeers:
		d.out = append(d.out, Respond{Request: request, Status: http.StatusServiceUnavailable})
	default:
		d.onBehalf++
		d.counters.OnBehalf++
		d.startProbe(&pendingProbe{target: target, forPeer: true, requestID: request, requester: m.label, requesterSequence: message.Sequence})
	}
}

// rejectStale refuses a message without taking anything from it. The answer tells the sender
// what is known of it, so that one whose clock was set back gets a later incarnation.
func (d *Detector) rejectStale(request uint64, m *member, message Probe, why DropReason) {
	d.drop(m.label, why)
	d.respond(request, http.StatusConflict, ProbeReply{Sequence: message.Sequence,
		Claims: append(d.claimsFor(m.label), Claim{Label: m.label, State: m.state, Incarnation: m.incarnation})})
}
