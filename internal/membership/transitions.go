package membership

// setState changes the state of a member and adds a StateChange action.
func (d *Detector) setState(m *member, to State, reason Reason) {
	d.out.reportChange(StateChange{Label: m.label, From: m.state, To: to, Reason: reason, Incarnation: m.incarnation, After: d.clock.now - m.since})
	m.state, m.since = to, d.clock.now
}

// markSuspect changes an alive member to suspect.
func (d *Detector) markSuspect(m *member, reason Reason) {
	if m.state != Alive {
		return
	}
	d.counters.Suspicions++
	m.startSuspicion(d.clock.now, d.clock.wall, d.reportLifetime())
	d.setState(m, Suspect, reason)
	m.nextProbeAt = 0
}

// expireSuspicions changes the suspects whose suspicion timed out to dead.
func (d *Detector) expireSuspicions() {
	for _, label := range d.labels {
		m := d.members[label]
		if m.state != Suspect {
			continue
		}
		timeout := m.suspicion.timeout(d.settings.SuspicionTimeout, d.settings.UnconfirmedSuspicionFactor, len(d.labels)-1)
		if d.clock.now >= m.suspicion.since+d.health.scale(timeout) {
			d.counters.Deaths++
			d.setState(m, Dead, ReasonSuspicionTimeout)
		}
	}
}

// markAlive changes a member from any other state to alive. If the member's process started before the member
// became suspect, the suspicion was false and is counted as such.
func (d *Detector) markAlive(m *member, reason Reason) {
	if m.state == Alive {
		return
	}
	if m.startedBefore(m.suspectedAtWall, d.settings.ClockError) {
		switch m.state {
		case Suspect:
			d.counters.FalseSuspicions++
		case Dead:
			d.counters.FalseDeaths++
		case Alive, Left: // the member was not suspect
		}
	}
	if !m.isPresent() {
		m.rejoinedAt = max(1, d.clock.now)
	}
	d.setState(m, Alive, reason)
}
