package membership

import "time"

// StateOf returns the state of a controller. It is Alive for this controller itself and for labels that are
// not peers, as the detector has no evidence against them.
func (d *Detector) StateOf(label string) State {
	if m := d.members[label]; m != nil {
		return m.state
	}
	return Alive
}

// MayServeMachines reports whether a controller may serve machines at a monotonic time: it is neither dead nor
// left, and if it rejoined after being dead or left, Settings.RejoinDelay has passed since. Suspicion alone
// reassigns no machine.
func (d *Detector) MayServeMachines(label string, now time.Duration) bool {
	m := d.members[label]
	if m == nil {
		return label == d.self.label
	}
	return m.isPresent() && (m.rejoinedAt == 0 || now >= m.rejoinedAt+d.settings.RejoinDelay)
}

// AcceptsWork reports whether new work may be sent to a controller at a monotonic time: the controller may
// serve machines and is not suspect.
func (d *Detector) AcceptsWork(label string, now time.Duration) bool {
	return d.StateOf(label) == Alive && d.MayServeMachines(label, now)
}

// RelayRoute returns the route to a controller: via is "" for the direct route. After a direct probe failed, via
// is the label of a helper that has reached the controller recently, or reached is false if there is none.
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

// LeaderCandidates lists the controllers that may succeed a leader: this controller, then the alive peers
// sorted by label, without the leader.
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

// Member is a snapshot of the detector's record of a peer.
type Member struct {
	Label          string
	State          State
	Since          time.Duration // start of the state, monotonic
	Incarnation    Incarnation
	UsesHeartbeats bool // whether heartbeats replace probes, as the peer's version does not support probes
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

// Incarnation returns the incarnation of this controller.
func (d *Detector) Incarnation() Incarnation { return d.self.incarnation }

// LocalHealth returns the local health score, from 0 (good) to 8.
func (d *Detector) LocalHealth() int { return d.health.score }

// Counters returns a copy of the totals.
func (d *Detector) Counters() Counters { return d.counters }
