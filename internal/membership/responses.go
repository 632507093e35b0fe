package membership

import (
	"errors"
	"net/http"
)

// Answer is the outcome of a Send. Status 0: there was no answer.
type Answer struct {
	Status int
	Body   []byte
}

// Answered takes the outcome of a request.
func (d *Detector) Answered(at Clock, id uint64, a Answer) []Action {
	d.advanceClock(at)
	q := d.pendingRequests[id]
	if q == nil {
		return d.out
	}
	delete(d.pendingRequests, id)
	d.counters.BytesReceived += uint64(len(a.Body))
	if q.helper != "" {
		d.handleIndirectResponse(q, a)
	} else {
		d.handleDirectResponse(q, a)
	}
	return d.out
}

// handleDirectResponse takes the target's own answer, or that there was none.
func (d *Detector) handleDirectResponse(q *pendingRequest, a Answer) {
	p, m := q.probe, q.probe.target
	reply, ok := d.readReply(m.label, q, a)
	switch {
	case ok:
		d.recordAck(m, q, reply)
	case a.Status == http.StatusNotFound && !q.heartbeat:
		// It is there, and its version knows no probes: from now on heartbeats tell.
		m.method = viaHeartbeat
		d.recordAck(m, q, ProbeReply{})
	case a.Status == http.StatusOK && q.heartbeat:
		d.recordAck(m, q, ProbeReply{})
	case p.forPeer:
		d.sendNack(p)
		d.finishProbe(p)
		return
	case !p.indirect:
		d.startIndirectProbes(p) // refused, say: no need to wait for the timeout
		return
	default:
		return
	}
	if p.forPeer {
		d.sendAck(p)
	}
	d.finishProbe(p)
}

// recordAck takes a sign of life that the member gave to a question of ours.
func (d *Detector) recordAck(m *member, q *pendingRequest, reply ProbeReply) {
	d.counters.Answers++
	m.lastAckAt, m.lastDirectAckAt, m.directProbeFailed, m.unconfirmedFailures = d.now, d.now, false, 0
	d.health.recover()
	switch {
	case d.updateIncarnation(m, reply.Incarnation):
		d.markAlive(m, ReasonRefuted)
	case m.state == Suspect && q.sentAt >= m.suspicion.since, m.state != Suspect && m.method == viaHeartbeat && q.sentAt >= m.since:
		d.markAlive(m, ReasonAck)
	}
	d.handleClaims(m.label, reply.Claims)
}

// readReply reads an answer to a probe. Also a refused probe (409) is answered by a process that lives.
func (d *Detector) readReply(from string, q *pendingRequest, a Answer) (ProbeReply, bool) {
	if q.heartbeat || a.Status != http.StatusOK && a.Status != http.StatusConflict {
		return ProbeReply{}, false
	}
	reply, err := decodeReply(a.Body)
	if err != nil {
		d.drop(from, dropReasonOf(err))
		return ProbeReply{}, false
	}
	if reply.From != from || reply.Sequence != q.sequence {
		d.drop(from, DropUnknown)
		return ProbeReply{}, false
	}
	return reply, true
}

// handleIndirectResponse takes a witness's answer.
func (d *Detector) handleIndirectResponse(q *pendingRequest, a Answer) {
	p, m := q.probe, q.probe.target
	reply, ok := d.readReply(q.helper, q, a)
	if !ok {
		return // silent
	}
	w := d.members[q.helper]
	d.recordAck(w, q, ProbeReply{Incarnation: reply.Incarnation, Claims: reply.Claims})
	if !reply.Reached {
		p.nacks++
		return
	}
	d.counters.WitnessesReached++
	m.lastAckAt, m.lastIndirectAckAt, m.lastHelper, m.unconfirmedFailures = d.now, d.now, q.helper, 0
	switch {
	case d.updateIncarnation(m, reply.TargetIncarnation):
		d.markAlive(m, ReasonRefuted)
	case m.state == Suspect && q.sentAt >= m.suspicion.since:
		d.markAlive(m, ReasonIndirectAck)
	}
	d.finishProbe(p)
}

// sendAck and deny answer the controller that asked for a probe.
func (d *Detector) sendAck(p *pendingProbe) {
	d.respond(p.requestID, http.StatusOK, ProbeReply{Sequence: p.requesterSequence, Reached: true, TargetIncarnation: p.target.incarnation, Claims: d.claimsFor(p.requester)})
}

func (d *Detector) sendNack(p *pendingProbe) {
	if p.forPeer {
		d.respond(p.requestID, http.StatusOK, ProbeReply{Sequence: p.requesterSequence, Claims: d.claimsFor(p.requester)})
	}
}

func (d *Detector) respond(request uint64, status int, reply ProbeReply) {
	reply.Version, reply.From, reply.Incarnation = Version, d.settings.Self, d.incarnation
	body := encode(reply)
	d.counters.BytesSent += uint64(len(body))
	d.out = append(d.out, Respond{Request: request, Status: status, Body: body})
}

// refuse answers a message that is not taken.
func (d *Detector) refuse(request uint64, status int, from string, why DropReason) {
	d.drop(from, why)
	d.out = append(d.out, Respond{Request: request, Status: status})
}

// drop counts a message that is not taken.
func (d *Detector) drop(from string, why DropReason) {
	d.counters.Dropped++
	first := false
	if m := d.members[from]; m != nil && !m.loggedDrops[why] {
		m.loggedDrops[why], first = true, true
	}
	d.out = append(d.out, Drop{Label: from, Reason: why, First: first})
}

func dropReasonOf(err error) DropReason {
	if errors.Is(err, errUnsupportedVersion) {
		return DropVersion
	}
	return DropMalformed
}
