package membership

import (
	"slices"
)

// probeRound begins the probes of a round: of all others, in large groups of some in turn.
func (d *Detector) probeRound() {
	begun := 0
	for range d.labels {
		if begun == mostProbesAtOnce {
			return
		}
		d.turn = (d.turn + 1) % len(d.labels)
		m := d.members[d.labels[d.turn]]
		if m.probing || d.now < m.nextProbe || !m.present() && d.round%goneEvery != 0 {
			continue
		}
		begun++
		d.probe(&probe{target: m})
	}
}

// probe asks the target itself.
func (d *Detector) probe(p *probe) {
	p.sent, p.timeout = d.now, d.health.stretch(d.settings.Timeout)
	if !p.onBehalf {
		p.target.probing = true
	}
	d.counters.Probes++
	d.probes = append(d.probes, p)
	d.ask(p, "")
}

// ask sends one request of a probe: to its target, or to a witness.
func (d *Detector) ask(p *probe, witness string) {
	d.lastID++
	q := &question{probe: p, witness: witness, sent: d.now}
	d.questions[d.lastID] = q
	to, timeout := p.target.label, p.sent+(1+indirectTimeouts)*p.timeout-d.now
	if p.onBehalf {
		timeout = p.timeout
	}
	if witness == "" && p.target.speech == byHeartbeats {
		q.heartbeat = true
		d.out = append(d.out, Send{ID: d.lastID, To: to, Heartbeat: true, Timeout: timeout})
		return
	}
	message := d.message(to)
	if witness != "" {
		to, timeout = witness, indirectTimeouts*p.timeout
		message = d.message(to)
		message.Target = p.target.label
	}
	q.sequence = message.Sequence
	body := encode(message)
	d.counters.BytesSent += uint64(len(body))
	d.out = append(d.out, Send{ID: d.lastID, To: to, Body: body, Timeout: timeout})
}

// expireProbes asks others where the direct way took too long, and gives up what none answered.
func (d *Detector) expireProbes() {
	for _, p := range slices.Clone(d.probes) {
		switch {
		case p.onBehalf && d.now >= p.sent+p.timeout:
			d.deny(p)
			d.end(p)
		case p.onBehalf:
		case d.now >= p.sent+(1+indirectTimeouts)*p.timeout:
			d.end(p)
			d.failed(p)
		case !p.asked && d.now >= p.sent+p.timeout:
			d.askWitnesses(p)
		}
	}
}

// end forgets a probe; answers that still come find no question.
func (d *Detector) end(p *probe) {
	i := slices.Index(d.probes, p)
	if i < 0 {
		return
	}
	d.probes = slices.Delete(d.probes, i, i+1)
	if p.onBehalf {
		d.onBehalf--
	} else {
		p.target.probing = false
	}
	for id, q := range d.questions {
		if q.probe == p {
			delete(d.questions, id)
		}
	}
}

// askWitnesses has others probe the target, so that a bad link of ours convicts nobody, and asks it
// once more itself: a single message that was lost is no reason for a suspicion.
func (d *Detector) askWitnesses(p *probe) {
	p.asked = true
	p.target.unreached = true
	d.ask(p, "")
	var able []string
	for _, label := range d.labels {
		if m := d.members[label]; m != p.target && m.state == Alive && m.speech == byProbes {
			able = append(able, label)
		}
	}
	d.random.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	for _, label := range able[:min(len(able), mostWitnesses)] {
		p.witnesses++
		d.counters.WitnessesAsked++
		d.ask(p, label)
	}
}

// failed takes a probe that had no sign of life in time.
func (d *Detector) failed(p *probe) {
	m := p.target
	if m.answeredAt >= p.sent {
		return
	}
	d.counters.Failures++
	others := d.othersAlive(m)
	switch {
	case p.denials > 0:
		m.onlyOurWord = 0
		d.suspect(m, ReasonSilent)
	case others > 0 && p.witnesses > 0:
		// None of those asked answered us either: it is rather us.
		d.health.worse()
		if m.onlyOurWord++; m.onlyOurWord >= roundsOnOurWord {
			d.suspect(m, ReasonSilent)
		}
	default:
		d.suspect(m, ReasonOnlyOurWord)
	}
}

// othersAlive counts whom we hold alive beside a member.
func (d *Detector) othersAlive(but *member) int {
	n := 0
	for _, m := range d.members {
		if m != but && m.state == Alive {
			n++
		}
	}
	return n
}
