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
	d.begin(at)
	q := d.questions[id]
	if q == nil {
		return d.out
	}
	delete(d.questions, id)
	d.counters.BytesReceived += uint64(len(a.Body))
	if q.witness != "" {
		d.witnessed(q, a)
	} else {
		d.direct(q, a)
	}
	return d.out
}

// direct takes the target's own answer, or that there was none.
func (d *Detector) direct(q *question, a Answer) {
	p, m := q.probe, q.probe.target
	reply, ok := d.readReply(m.label, q, a)
	switch {
	case ok:
		d.sign(m, q, reply)
	case a.Status == http.StatusNotFound && !q.heartbeat:
		// It is there, and its version knows no probes: from now on heartbeats tell.
		m.speech = byHeartbeats
		d.sign(m, q, ProbeReply{})
	case a.Status == http.StatusOK && q.heartbeat:
		d.sign(m, q, ProbeReply{})
	case p.onBehalf:
		d.deny(p)
		d.end(p)
		return
	case !p.asked:
		d.askWitnesses(p) // refused, say: no need to wait for the timeout
		return
	default:
		return
	}
	if p.onBehalf {
		d.confirm(p)
	}
	d.end(p)
}

// sign takes a sign of life that the member gave to a question of ours.
func (d *Detector) sign(m *member, q *question, reply ProbeReply) {
	d.counters.Answers++
	m.answeredAt, m.directAt, m.unreached, m.onlyOurWord = d.now, d.now, false, 0
	d.health.better()
	switch {
	case d.later(m, reply.Incarnation):
		d.alive(m, ReasonRefuted)
	case m.state == Suspect && q.sent >= m.suspicion.since, m.state != Suspect && m.speech == byHeartbeats && q.sent >= m.since:
		d.alive(m, ReasonAnswered)
	}
	d.hear(m.label, reply.Claims)
}

// readReply reads an answer to a probe. Also a refused probe (409) is answered by a process that lives.
func (d *Detector) readReply(from string, q *question, a Answer) (ProbeReply, bool) {
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

// witnessed takes a witness's answer.
func (d *Detector) witnessed(q *question, a Answer) {
	p, m := q.probe, q.probe.target
	reply, ok := d.readReply(q.witness, q, a)
	if !ok {
		return // silent
	}
	w := d.members[q.witness]
	d.sign(w, q, ProbeReply{Incarnation: reply.Incarnation, Claims: reply.Claims})
	if !reply.Reached {
		p.denials++
		return
	}
	d.counters.WitnessesReached++
	m.answeredAt, m.viaAt, m.via, m.onlyOurWord = d.now, d.now, q.witness, 0
	switch {
	case d.later(m, reply.TargetIncarnation):
		d.alive(m, ReasonRefuted)
	case m.state == Suspect && q.sent >= m.suspicion.since:
		d.alive(m, ReasonOthers)
	}
	d.end(p)
}

// confirm and deny answer the controller that asked for a probe.
func (d *Detector) confirm(p *probe) {
	d.respond(p.request, http.StatusOK, ProbeReply{Sequence: p.echo, Reached: true, TargetIncarnation: p.target.incarnation, Claims: d.claims(p.asker)})
}

func (d *Detector) deny(p *probe) {
	if p.onBehalf {
		d.respond(p.request, http.StatusOK, ProbeReply{Sequence: p.echo, Claims: d.claims(p.asker)})
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
	if m := d.members[from]; m != nil && !m.dropped[why] {
		m.dropped[why], first = true, true
	}
	d.out = append(d.out, Drop{Label: from, Reason: why, First: first})
}

func dropReasonOf(err error) DropReason {
	if errors.Is(err, errVersion) {
		return DropVersion
	}
	return DropMalformed
}
