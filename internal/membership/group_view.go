package membership

import (
	"maps"
	"slices"
	"time"
)

// groupView is what this controller knows of the group: itself and its peers.
type groupView struct {
	settings Settings
	clock    detectorClock
	self     localMember
	members  map[string]*member // the peers
	labels   []string           // of the peers, sorted
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

// reportLifetime is for how long a peer's report of a suspicion counts.
func (g *groupView) reportLifetime() time.Duration {
	return reportLifetimeIntervals * g.settings.ProbeInterval
}

// countAliveExcept counts the peers that are alive, without the given one.
func (g *groupView) countAliveExcept(except *member) int {
	n := 0
	for _, m := range g.members {
		if m != except && m.state == Alive {
			n++
		}
	}
	return n
}

// helpersFor lists the labels that can probe a member for us.
func (g *groupView) helpersFor(target *member) []string {
	var helpers []string
	for _, label := range g.labels {
		if m := g.members[label]; m != target && m.state == Alive && m.method == viaProbe {
			helpers = append(helpers, label)
		}
	}
	return helpers
}

// claimsFor lists what a peer should know: the members that are not alive for us, and whether
// anybody suspects the peer itself.
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
		// The member that suspects the peer may not reach it: the peer learns of it from us.
		if worst := m.worstReport(g.clock.now, g.reportLifetime()); worst.state != Alive {
			claims = append(claims, Claim{Label: peer, State: worst.state, Incarnation: worst.incarnation})
		}
	}
	return claims
}
