package membership

// message is a probe for a peer, with our claims.
func (d *Detector) message(to string) Probe {
	d.sequence++
	return Probe{Version: Version, From: d.settings.Self, Incarnation: d.incarnation, Sequence: d.sequence, Claims: d.claims(to)}
}

// claims are what a peer should know: who is not alive for us, and who accuses the peer.
func (d *Detector) claims(to string) []Claim {
	var out []Claim
	if d.leaving {
		out = append(out, Claim{Label: d.settings.Self, State: Left, Incarnation: d.incarnation})
	}
	for _, label := range d.labels {
		m := d.members[label]
		if m.state != Alive && len(out) < mostClaims-1 {
			out = append(out, Claim{Label: label, State: m.state, Incarnation: m.incarnation})
		}
	}
	if m := d.members[to]; m != nil && m.state == Alive {
		// Whoever accuses it may not reach it: it hears of that from us.
		worst := accusation{}
		for _, a := range m.accused {
			if d.fresh(a) && a.incarnation >= worst.incarnation && a.state > worst.state {
				worst = a
			}
		}
		if worst.state != Alive {
			out = append(out, Claim{Label: to, State: worst.state, Incarnation: worst.incarnation})
		}
	}
	return out
}

func (d *Detector) fresh(a accusation) bool {
	return d.now < a.at+accusationIntervals*d.settings.Interval
}

// hear takes the claims of a peer. Those about others change no state.
func (d *Detector) hear(from string, claims []Claim) {
	for _, claim := range claims {
		if claim.Label == d.settings.Self {
			d.hearOfSelf(claim)
			continue
		}
		m := d.members[claim.Label]
		if m == nil || claim.State > Left || d.inFuture(claim.Incarnation) {
			continue
		}
		switch {
		case claim.Label == from && claim.State == Left && claim.Incarnation == m.incarnation && m.present():
			d.change(m, Left, ReasonSaidGoodbye)
		case claim.Label != from && claim.State != Alive && claim.Incarnation >= m.incarnation:
			d.accused(m, from, claim)
		}
	}
}

// accused notes that another holds a member suspect, dead or gone.
func (d *Detector) accused(m *member, by string, claim Claim) {
	m.accuse(by, accusation{at: d.now, state: min(claim.State, Dead), incarnation: claim.Incarnation})
	switch m.state {
	case Suspect:
		m.suspicion.accusers[by] = true
	case Alive:
		if !m.probing && d.now > m.answeredAt+d.settings.Timeout {
			d.probe(&probe{target: m}) // is it so for us?
		}
	}
}

// hearOfSelf refutes what is claimed of us, by an incarnation after the claimed one.
func (d *Detector) hearOfSelf(claim Claim) {
	if d.leaving || d.inFuture(claim.Incarnation) {
		return
	}
	against := claim.State != Alive && claim.Incarnation >= d.incarnation
	if !against && claim.Incarnation <= d.incarnation {
		return
	}
	if against {
		d.counters.Refutations++
		d.health.worse()
	}
	d.incarnation, d.sequence = claim.Incarnation+1, 0
}
