package membership

// setState changes a member's state and reports it.
func (d *Detector) setState(m *member, to State, reason Reason) {
	d.out.reportChange(StateChange{Label: m.label, From: m.state, To: to, Reason: reason, Incarnation: m.incarnation, After: d.clock.now - m.since})
	m.state, m.since = to, d.clock.now
}

// markSuspect suspects a member that is alive.
func (d *Detector) markSuspect(m *member, reason Reason) {
	if m.state != Alive {
		return
	}
	d.counters.Suspicions++
	m.startSuspicion(d.clock.now, d.clock.wall, d.reportLifetime())
	d.setState(m, Suspect, reason)
	m.nextProbeAt = 0
}

// expireSuspicions declares the members dead that were suspected for the whole timeout.
func (d *Detector) expireSuspicions() {
	for _, label := range d.labels {
		m := d.members[label]
		if m.state != Suspect {
			continue
		}
		timeout := m.suspicion.timeout(d.settings.SuspicionTimeout, d.settings.SuspicionFactor, len(d.labels)-1)
		if d.clock.now >= m.suspicion.since+d.health.stretch(timeout) {
			d.counters.Deaths++
			d.setState(m, Dead, ReasonSuspicionTimeout)
		}
	}
}

// markAlive brings a member back from any other state. If its process began before it was suspected,
// the suspicion was wrong and is counted as false.
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
		case Alive, Left: // nothing was suspected
		}
	}
	if !m.isPresent() {
		m.rejoinedAt = max(1, d.clock.now)
	}
	d.setState(m, Alive, reason)
}
