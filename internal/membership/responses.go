package membership

import "net/http"

// Response is the outcome of a Send.
type Response struct {
	Status int // HTTP status; 0: there was no answer
	Body   []byte
}

// HandleResponse handles the outcome of the Send with the ID. That of a probe which has ended is ignored.
func (d *Detector) HandleResponse(at Clock, id uint64, answer Response) []Action {
	d.advanceClock(at)
	request := d.pending.takeRequest(id)
	if request == nil {
		return d.out.actions
	}
	d.counters.BytesReceived += uint64(len(answer.Body))
	if request.helper != "" {
		d.handleIndirectResponse(request, answer)
	} else {
		d.handleDirectResponse(request, answer)
	}
	return d.out.actions
}

// handleDirectResponse handles what came from the target of a probe itself.
func (d *Detector) handleDirectResponse(request *pendingRequest, answer Response) {
	probe, target := request.probe, request.probe.target
	reply, ok := d.readReply(target.label, request, answer)
	switch {
	case ok:
		d.recordAck(target, request, reply)
	case answer.Status == http.StatusNotFound && !request.heartbeat:
		// The process runs, but its version knows no probes: it is sent heartbeats from now on.
		target.method = viaHeartbeat
		d.recordAck(target, request, ProbeReply{})
	case answer.Status == http.StatusOK && request.heartbeat:
		d.recordAck(target, request, ProbeReply{})
	case probe.forPeer:
		d.out.nack(probe)
		d.pending.finish(probe)
		return
	case !probe.indirect:
		d.startIndirectProbes(probe) // after a refused connection, say: no need to wait for the timeout
		return
	default:
		return
	}
	if probe.forPeer {
		d.out.ack(probe)
	}
	d.pending.finish(probe)
}

// handleIndirectResponse handles what came from a helper. Without a valid reply the helper counts as
// silent: neither an ack nor a nack.
func (d *Detector) handleIndirectResponse(request *pendingRequest, answer Response) {
	probe, target := request.probe, request.probe.target
	reply, ok := d.readReply(request.helper, request, answer)
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

// recordAck handles the ack that a member gave to a request of ours. It clears a suspicion if the request
// was sent since. A member that is dead or left comes back by a later incarnation alone, unless its
// version knows no probes, and so no incarnations.
func (d *Detector) recordAck(m *member, request *pendingRequest, reply ProbeReply) {
	d.counters.Replies++
	m.recordDirectAck(d.clock.now)
	m.unconfirmedFailures = 0
	d.health.improve()
	sinceSuspected := m.state == Suspect && request.sentAt >= m.suspicion.since
	sinceAbsent := m.state != Suspect && m.method == viaHeartbeat && request.sentAt >= m.since
	switch {
	case m.updateIncarnation(reply.Incarnation, &d.clock):
		d.markAlive(m, ReasonRefuted)
	case sinceSuspected, sinceAbsent:
		d.markAlive(m, ReasonAck)
	}
	d.handleClaims(m.label, reply.Claims)
}

// readReply reads the reply to a probe; ok is false if there is none or it is dropped. A rejected probe
// (409) counts too, as only a running process rejects one.
func (d *Detector) readReply(from string, request *pendingRequest, answer Response) (reply ProbeReply, ok bool) {
	if request.heartbeat || answer.Status != http.StatusOK && answer.Status != http.StatusConflict {
		return ProbeReply{}, false
	}
	reply, err := decodeMessage[ProbeReply](answer.Body)
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
