package membership

// newProbe is a probe for a peer, with our claims.
func (d *Detector) newProbe(to string) Probe {
	d.sequence++
	return Probe{Version: Version, From: d.settings.Self, Incarnation: d.incarnation, Sequence: d.sequence, Claims: d.claimsFor(to)}
}

// claimsFor are what a peer should know: who is not alive for us, and who accuses the peer.
func (d *Detector) claimsFor(to string) []Claim {
	var out []Claim
	if d.leaving {
		out = append(out, Claim{Label: d.settings.Self, State: Left, Incarnation: d.incarnation})
	}
	for _, label := range d.labels {
		m := d.members[label]
		if m.state != Alive && len(out) < maxClaims-1 {
			out = append(out, Claim{Label: label, State: m.state, Incarnation: m.incarnation})
		}
	}
	if m := d.members[to]; m != nil && m.state == Alive {
		// Whoever accuses it may not reach it: it hears of that from us.
		worst := suspicionReport{}
		for _, a := range m.reports {
			if d.isRecent(a) && a.incarnation >= worst.incarnation && a.state > worst.state {
				worst = a
			}
		}
		if worst.state != Alive {
			out = append(out, Claim{Label: to, State: worst.state, Incarnation: worst.incarnation})
		}
	}
	return out
}

func (d *Detector) isRecent(a suspicionReport) bool {
	return d.now < a.at+reportLifetimeIntervals*d.settings.Interval
}

// handleClaims takes the claims of a peer. Those about others change no state.
func (d *Detector) handleClaims(from string, claims []Claim) {
	for _, claim := range claims {
		if claim.Label == d.settings.Self {
			d.handleClaimAboutSelf(claim)
			continue
		}
		m := d.members[claim.Label]
		if m == nil || claim.State > Left || d.isFuture(claim.Incarnation) {
			continue
		}
		switch {
		case claim.Label == from && claim.State == Left && claim.Incarnation == m.incarnation && m.present():
			d.setState(m, Left, ReasonLeftGracefully)
		case claim.Label != from && claim.State != Alive && claim.Incarnation >= m.incarnation:
			d.handleSuspicionReport(m, from, claim)
		}
	}
}

// handleSuspicionReport notes that another holds a member suspect, dead or gone.
func (d *Detector) handleSuspicionReport(m *member, by string, claim Claim) {
	m.addReport(by, suspicionReport{at: d.now, state: min(claim.State, Dead), incarnation: claim.Incarnation})
	switch m.state {
	case Suspect:
		m.suspicion.confirmations[by] = true
	case Alive:
		if !m.probeInFlight && d.now > m.lastAckAt+d.settings.Timeout {
			d.startProbe(&pendingProbe{target: m}) // is it so for us?
		}
	}
}

// handleClaimAboutSelf refutes what is claimed of us, by an incarnation after the claimed one.
func (d *Detector) handleClaimAboutSelf(claim Claim) {
	if d.leaving || d.isFuture(claim.Incarnation) {
		return
	}
	against := claim.State != Alive && claim.Incarnation >= d.incarnation
	if !against && claim.Incarnation <= d.incarnation {
		return
	}
	if against {
		d.counters.Refutations++
		d.health.degrade()
	}
	d.incarnation, d.sequence = claim.Incarnation+1, 0
}
