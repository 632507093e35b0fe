package membership

// handleClaims handles the claims in a message from a peer. Claims about third members change no state.
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

// handleSuspicionReport handles a claim by another member that m is suspect, dead or left. The claim
// confirms the local suspicion of m. If m is not suspect here and has not acked recently, m is probed at
// once.
func (d *Detector) handleSuspicionReport(m *member, reporter string, claim Claim) {
	m.addReport(reporter, suspicionReport{at: d.clock.now, state: min(claim.State, Dead), incarnation: claim.Incarnation})
	switch m.state {
	case Suspect:
		m.suspicion.confirmations[reporter] = true
	case Alive:
		if !m.probeInFlight && d.clock.now > m.lastAckAt+d.settings.ProbeTimeout {
			d.startProbe(&pendingProbe{target: m})
		}
	case Dead, Left: // already absent in the local view
	}
}

// handleClaimAboutSelf refutes a claim that this controller is not alive, by taking a later incarnation.
// Such a claim indicates that this controller answered late, so its local health degrades.
func (d *Detector) handleClaimAboutSelf(claim Claim) {
	if d.clock.isFuture(claim.Incarnation) {
		return
	}
	if d.self.refute(claim) {
		d.counters.Refutations++
		d.health.degrade()
	}
}
