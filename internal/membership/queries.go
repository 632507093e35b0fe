package membership

import "time"

// StateOf is a controller's state. This controller is alive to itself, and so is a label that is not
// among the peers: nothing is known against it.
func (d *Detector) StateOf(label string) State {
	if m := d.members[label]; m != nil {
		return m.state
	}
	return Alive
}

// MayServeMachines reports whether a controller may serve machines at a monotonic time: it is neither dead nor
// left, and if it was, it has been back for Settings.Steady. Suspicion alone takes no machine away.
func (d *Detector) MayServeMachines(label string, now time.Duration) bool {
	m := d.members[label]
	if m == nil {
		return label == d.self.label
	}
	return m.isPresent() && (m.rejoinedAt == 0 || now >= m.rejoinedAt+d.settings.RejoinDelay)
}

// AcceptsWork reports whether new work may be sent to a controller at a monotonic time: it may serve
// machines and is not suspected.
func (d *Detector) AcceptsWork(label string, now time.Duration) bool {
	return d.StateOf(label) == Alive && d.MayServeMachines(label, now)
}

// RelayRoute is the relay route to a controller: via is "" for the direct route, or the member that reached it
// since our own last probe of it failed. reached is false if no route is known.
func (d *Detector) RelayRoute(label string) (via string, reached bool) {
	m := d.members[label]
	if m == nil || !m.directProbeFailed {
		return "", true
	}
	helperIsNewer := m.lastIndirectAckAt > m.lastDirectAckAt
	helperIsRecent := d.clock.now < m.lastIndirectAckAt+d.reportLifetime()
	if helperIsNewer && helperIsRecent && d.StateOf(m.lastHelper) == Alive {
		return m.lastHelper, true
	}
	return "", false
}

// LeaderCandidates lists the controllers that may follow a leader: this one and the peers that are alive,
// without the leader. The order is that of the labels, this controller first.
func (d *Detector) LeaderCandidates(leader string) []string {
	candidates := []string{}
	if d.self.label != leader {
		candidates = append(candidates, d.self.label)
	}
	for _, label := range d.labels {
		if label != leader && d.members[label].state == Alive {
			candidates = append(candidates, label)
		}
	}
	return candidates
}

// Member is what is known of a peer.
type Member struct {
	Label          string
	State          State
	Since          time.Duration // when the state began, monotonic
	Incarnation    Incarnation
	UsesHeartbeats bool // whether it is judged by heartbeats, as its version knows no probes
}

// Members lists the peers, sorted by label.
func (d *Detector) Members() []Member {
	members := make([]Member, 0, len(d.labels))
	for _, label := range d.labels {
		m := d.members[label]
		members = append(members, Member{Label: label, State: m.state, Since: m.since, Incarnation: m.incarnation, UsesHeartbeats: m.method == viaHeartbeat})
	}
	return members
}

// Incarnation is that of this controller.
func (d *Detector) Incarnation() Incarnation { return d.self.incarnation }

// LocalHealth is the local health score: 0, in good health, to 8.
func (d *Detector) LocalHealth() int { return d.health.score }

// Counters are the totals so far.
func (d *Detector) Counters() Counters { return d.counters }
