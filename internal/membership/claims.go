package membership

// handleClaims handles the claims in a message of a peer. Those about third members change no state.
func (d *Detector) handleClaims(from string, claims []Claim) {
	for _, claim := range claims {
		if claim.Label == d.self.label {
			d.handleClaimAboutSelf(claim)
			continue
		}
		m := d.members[claim.Label]
		if m == nil || claim.State > Left || d.clock.isFuture(claim.Incarnation) {
			continue
		}
		aboutSender := claim.Label == from
		switch {
		case aboutSender && claim.State == Left && claim.Incarnation == m.incarnation && m.isPresent():
			d.setState(m, Left, ReasonLeftGracefully)
		case !aboutSender && claim.State != Alive && claim.Incarnation >= m.incarnation:
			d.handleSuspicionReport(m, from, claim)
		}
	}
}

// handleSuspicionReport handles another member's claim that a member is suspect, dead or left. It confirms
// our own suspicion; if we have none, it hastens our own probe.
func (d *Detector) handleSuspicionReport(m *member, by string, claim Claim) {
	m.addReport(by, suspicionReport{at: d.clock.now, state: min(claim.State, Dead), incarnation: claim.Incarnation})
	switch m.state {
	case Suspect:
		m.suspicion.confirmations[by] = true
	case Alive:
		if !m.probeInFlight && d.clock.now > m.lastAckAt+d.settings.ProbeTimeout {
			d.startProbe(&pendingProbe{target: m})
		}
	case Dead, Left: // it is absent here already
	}
}

// handleClaimAboutSelf refutes a claim against ourselves by a later incarnation. That there was one is a
// sign that our own answers were late.
func (d *Detector) handleClaimAboutSelf(claim Claim) {
	if d.clock.isFuture(claim.Incarnation) {
		return
	}
	if d.self.refute(claim) {
		d.counters.Refutations++
		d.health.degrade()
	}
}
