package membership

import "time"

// StateOf is what a label is held for. We are alive to ourselves, and nothing is known against
// labels that are not among the peers.
func (d *Detector) StateOf(label string) State {
	if m := d.members[label]; m != nil {
		return m.state
	}
	return Alive
}

// Serves says whether a label may serve machines: it is not dead or gone, and if it was, it has
// been back for the steady time. Suspicion alone takes no machine from it.
func (d *Detector) Serves(label string, now time.Duration) bool {
	m := d.members[label]
	if m == nil {
		return label == d.settings.Self
	}
	return m.present() && (m.rejoinedAt == 0 || now >= m.rejoinedAt+d.settings.Steady)
}

// TakesWork says whether new work may be sent to a label now.
func (d *Detector) TakesWork(label string, now time.Duration) bool {
	return d.StateOf(label) == Alive && d.Serves(label, now)
}

// Way is how a label is reached at the moment: directly, or, where that failed, by a member
// that reached it since; "" with false: not at all, as far as is known.
func (d *Detector) Way(label string) (via string, reached bool) {
	m := d.members[label]
	switch {
	case m == nil || !m.directProbeFailed:
		return "", true
	case m.lastIndirectAckAt > m.lastDirectAckAt && d.now < m.lastIndirectAckAt+reportLifetimeIntervals*d.settings.Interval && d.StateOf(m.lastHelper) == Alive:
		return m.lastHelper, true
	}
	return "", false
}

// Successors are the labels that may follow a leader: all that are alive to us but it, and we.
func (d *Detector) Successors(leader string) []string {
	out := []string{}
	if d.settings.Self != leader {
		out = append(out, d.settings.Self)
	}
	for _, label := range d.labels {
		if label != leader && d.members[label].state == Alive {
			out = append(out, label)
		}
	}
	return out
}

// Member is what is known of one label.
type Member struct {
	Label       string
	State       State
	Since       time.Duration
	Incarnation Incarnation
	Heartbeats  bool // it is judged by heartbeats
}

// Members lists the peers, by label.
func (d *Detector) Members() []Member {
	out := make([]Member, 0, len(d.labels))
	for _, label := range d.labels {
		m := d.members[label]
		out = append(out, Member{Label: label, State: m.state, Since: m.since, Incarnation: m.incarnation, Heartbeats: m.method == viaHeartbeat})
	}
	return out
}

// Incarnation is our own.
func (d *Detector) Incarnation() Incarnation { return d.incarnation }

// Health is how little the observer trusts its own silence, 0 to 8.
func (d *Detector) Health() int { return d.health.score }

// Counters are what was counted so far.
func (d *Detector) Counters() Counters { return d.counters }
