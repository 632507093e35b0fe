package membership

import (
	"maps"
	"slices"
	"time"
)

// groupView is this controller's view of the group: itself and its peers.
type groupView struct {
	settings Settings
	clock    detectorClock
	self     localMember
	members  map[string]*member // the peers, by label
	labels   []string           // labels of the peers, sorted
}

func newGroupView(settings Settings) groupView {
	view := groupView{settings: settings, clock: newDetectorClock(settings), self: localMember{label: settings.Self},
		members: map[string]*member{}}
	for _, label := range settings.Peers {
		view.members[label] = &member{label: label, loggedDrops: map[DropReason]bool{}}
	}
	view.labels = slices.Sorted(maps.Keys(view.members))
	return view
}

// reportLifetime returns how long a peer's suspicion report stays valid.
func (g *groupView) reportLifetime() time.Duration {
	return reportLifetimeIntervals * g.settings.ProbeInterval
}

// countAliveExcept counts the alive peers, excluding the given peer.
func (g *groupView) countAliveExcept(except *member) int {
	n := 0
	for _, m := range g.members {
		if m != except && m.state == Alive {
			n++
		}
	}
	return n
}

// helpersFor lists the labels of the peers that can run an indirect probe of the target.
func (g *groupView) helpersFor(target *member) []string {
	var helpers []string
	for _, label := range g.labels {
		if m := g.members[label]; m != target && m.state == Alive && m.method == viaProbe {
			helpers = append(helpers, label)
		}
	}
	return helpers
}

// claimsFor returns the claims to send to a peer: the members that are not alive in the local view, and
// the worst recent suspicion report about the peer itself.
func (g *groupView) claimsFor(peer string) []Claim {
	var claims []Claim
	if g.self.leaving {
		claims = append(claims, Claim{Label: g.self.label, State: Left, Incarnation: g.self.incarnation})
	}
	for _, label := range g.labels {
		m := g.members[label]
		if m.state != Alive && len(claims) < maxClaims-1 {
			claims = append(claims, m.claim())
		}
	}
	if m := g.members[peer]; m != nil && m.state == Alive {
		// The reporting member may be unable to reach the peer. Relaying the report lets the peer refute it.
		if worst := m.worstReport(g.clock.now, g.reportLifetime()); worst.state != Alive {
			claims = append(claims, Claim{Label: peer, State: worst.state, Incarnation: worst.incarnation})
		}
	}
	return claims
}
