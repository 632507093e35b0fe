package membership

import "net/http"

// Response is the outcome of a Send.
type Response struct {
	Status int // HTTP status; 0: no answer
	Body   []byte
}

// HandleResponse handles the outcome of the Send with the given ID. It is ignored if the probe has ended.
func (d *Detector) HandleResponse(at Clock, id uint64, response Response) []Action {
	d.advanceClock(at)
	request := d.pending.takeRequest(id)
	if request == nil {
		return d.out.actions
	}
	d.counters.BytesReceived += uint64(len(response.Body))
	if request.helper != "" {
		d.handleIndirectResponse(request, response)
	} else {
		d.handleDirectResponse(request, response)
	}
	return d.out.actions
}

// handleDirectResponse handles the outcome of a request to the target of a probe.
func (d *Detector) handleDirectResponse(request *pendingRequest, response Response) {
	probe, target := request.probe, request.probe.target
	reply, ok := d.readReply(target.label, request, response)
	switch {
	case ok:
		d.recordAck(target, request, reply)
	case response.Status == http.StatusNotFound && !request.heartbeat:
		// The process is alive, but its version does not support probes: use heartbeats from now on.
		target.method = viaHeartbeat
		d.recordAck(target, request, ProbeReply{})
	case response.Status == http.StatusOK && request.heartbeat:
		d.recordAck(target, request, ProbeReply{})
	case probe.forPeer:
		d.out.nack(probe)
		d.pending.finish(probe)
		return
	case !probe.indirect:
		d.startIndirectProbes(probe) // the request failed early, for example by a refused connection
		return
	default:
		return
	}
	if probe.forPeer {
		d.out.ack(probe)
	}
	d.pending.finish(probe)
}

// handleIndirectResponse handles the outcome of a request to a helper. A missing or invalid reply counts as
// neither an ack nor a nack.
func (d *Detector) handleIndirectResponse(request *pendingRequest, response Response) {
	probe, target := request.probe, request.probe.target
	reply, ok := d.readReply(request.helper, request, response)
	if !ok {
		return
	}
	helper := d.members[request.helper]
	d.recordAck(helper, request, ProbeReply{Incarnation: reply.Incarnation, Claims: reply.Claims})
	if !reply.Reached {
		probe.nacks++
		return
	}
	d.counters.IndirectAcks++
	target.recordIndirectAck(d.clock.now, request.helper)
	switch {
	case target.updateIncarnation(reply.TargetIncarnation, &d.clock):
		d.markAlive(target, ReasonRefuted)
	case target.state == Suspect && request.sentAt >= target.suspicion.since:
		d.markAlive(target, ReasonIndirectAck)
	}
	d.pending.finish(probe)
}

// recordAck handles a member's ack of a request. The ack clears a suspicion if the request was sent after the
// suspicion started. A dead or left member becomes alive again only with a later incarnation. A version
// without probe support has no incarnations: for such a member, an ack of a request that was sent after the
// member became dead or left is enough.
func (d *Detector) recordAck(m *member, request *pendingRequest, reply ProbeReply) {
	d.counters.Replies++
	m.recordDirectAck(d.clock.now)
	m.unconfirmedFailures = 0
	d.health.improve()
	ackClearsSuspicion := m.state == Suspect && request.sentAt >= m.suspicion.since
	ackEndsAbsence := m.state != Suspect && m.method == viaHeartbeat && request.sentAt >= m.since
	switch {
	case m.updateIncarnation(reply.Incarnation, &d.clock):
		d.markAlive(m, ReasonRefuted)
	case ackClearsSuspicion, ackEndsAbsence:
		d.markAlive(m, ReasonAck)
	}
	d.handleClaims(m.label, reply.Claims)
}

// readReply decodes the reply to a probe; ok is false if there is no reply or it is dropped. The rejection of
// a probe (409) counts as a reply, as only a running process rejects probes.
func (d *Detector) readReply(from string, request *pendingRequest, response Response) (reply ProbeReply, ok bool) {
	if request.heartbeat || response.Status != http.StatusOK && response.Status != http.StatusConflict {
		return ProbeReply{}, false
	}
	reply, err := decodeMessage[ProbeReply](response.Body)
	if err != nil {
		d.out.drop(from, dropReasonOf(err))
		return ProbeReply{}, false
	}
	if reply.From != from || reply.Sequence != request.sequence {
		d.out.drop(from, DropUnknown)
		return ProbeReply{}, false
	}
	return reply, true
}
