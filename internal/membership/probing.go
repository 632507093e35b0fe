package membership

import (
	"slices"
)

// probeRound begins the probes of a round: of all others, in large groups of some in turn.
func (d *Detector) probeRound() {
	begun := 0
	for range d.labels {
		if begun == maxProbesPerRound {
			return
		}
		d.cursor = (d.cursor + 1) % len(d.labels)
		m := d.members[d.labels[d.cursor]]
		if m.probeInFlight || d.now < m.nextProbeAt || !m.present() && d.round%absentProbeRounds != 0 {
			continue
		}
		begun++
		d.startProbe(&pendingProbe{target: m})
	}
}

// startProbe asks the target itself.
func (d *Detector) startProbe(p *pendingProbe) {
	p.sentAt, p.timeout = d.now, d.health.stretch(d.settings.Timeout)
	if !p.forPeer {
		p.target.probeInFlight = true
	}
	d.counters.Probes++
	d.probes = append(d.probes, p)
	d.sendRequest(p, "")
}

// sendRequest sends one request of a probe: to its target, or to a witness.
func (d *Detector) sendRequest(p *pendingProbe, witness string) {
	d.lastRequestID++
	q := &pendingRequest{probe: p, helper: witness, sentAt: d.now}
	d.pendingRequests[d.lastRequestID] = q
	to, timeout := p.target.label, p.sentAt+(1+indirectTimeoutFactor)*p.timeout-d.now
	if p.forPeer {
		timeout = p.timeout
	}
	if witness == "" && p.target.method == viaHeartbeat {
		q.heartbeat = true
		d.out = append(d.out, Send{ID: d.lastRequestID, To: to, Heartbeat: true, Timeout: timeout})
		return
	}
	message := d.newProbe(to)
	if witness != "" {
		to, timeout = witness, indirectTimeoutFactor*p.timeout
		message = d.newProbe(to)
		message.Target = p.target.label
	}
	q.sequence = message.Sequence
	body := encode(message)
	d.counters.BytesSent += uint64(len(body))
	d.out = append(d.out, Send{ID: d.lastRequestID, To: to, Body: body, Timeout: timeout})
}

// expireProbes asks others where the direct way took too long, and gives up what none answered.
func (d *Detector) expireProbes() {
	for _, p := range slices.Clone(d.probes) {
		switch {
		case p.forPeer && d.now >= p.sentAt+p.timeout:
			d.sendNack(p)
			d.finishProbe(p)
		case p.forPeer:
		case d.now >= p.sentAt+(1+indirectTimeoutFactor)*p.timeout:
			d.finishProbe(p)
			d.handleProbeFailure(p)
		case !p.indirect && d.now >= p.sentAt+p.timeout:
			d.startIndirectProbes(p)
		}
	}
}

// finishProbe forgets a probe; answers that still come find no question.
func (d *Detector) finishProbe(p *pendingProbe) {
	i := slices.Index(d.probes, p)
	if i < 0 {
		return
	}
	d.probes = slices.Delete(d.probes, i, i+1)
	if p.forPeer {
		d.onBehalf--
	} else {
		p.target.probeInFlight = false
	}
	for id, q := range d.pendingRequests {
		if q.probe == p {
			delete(d.pendingRequests, id)
		}
	}
}

// startIndirectProbes has others probe the target, so that a bad link of ours convicts nobody, and asks it
// once more itself: a single message that was lost is no reason for a suspicion.
func (d *Detector) startIndirectProbes(p *pendingProbe) {
	p.indirect = true
	p.target.directProbeFailed = true
	d.sendRequest(p, "")
	var able []string
	for _, label := range d.labels {
		if m := d.members[label]; m != p.target && m.state == Alive && m.method == viaProbe {
			able = append(able, label)
		}
	}
	d.random.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	for _, label := range able[:min(len(able), maxHelpers)] {
		p.helpers++
		d.counters.WitnessesAsked++
		d.sendRequest(p, label)
	}
}

// handleProbeFailure takes a probe that had no sign of life in time.
func (d *Detector) handleProbeFailure(p *pendingProbe) {
	m := p.target
	if m.lastAckAt >= p.sentAt {
		return
	}
	d.counters.Failures++
	others := d.countAliveExcept(m)
	switch {
	case p.nacks > 0:
		m.unconfirmedFailures = 0
		d.markSuspect(m, ReasonUnreachable)
	case others > 0 && p.helpers > 0:
		// None of those asked answered us either: it is rather us.
		d.health.degrade()
		if m.unconfirmedFailures++; m.unconfirmedFailures >= unconfirmedFailuresToSuspect {
			d.markSuspect(m, ReasonUnreachable)
		}
	default:
		d.markSuspect(m, ReasonUnconfirmed)
	}
}

// countAliveExcept counts whom we hold alive beside a member.
func (d *Detector) countAliveExcept(but *member) int {
	n := 0
	for _, m := range d.members {
		if m != but && m.state == Alive {
			n++
		}
	}
	return n
}
