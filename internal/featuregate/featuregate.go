// Package featuregate decides when a new form of stored records may be written. While controllers
// are upgraded one at a time, versions that don't know the form may still lead, so the gate opens
// only once every controller has stated that it reads and writes it. It closes for a rollback.
//
// The gate is a deterministic state machine of a leader: statements and time go in, and it says
// which state is to be stored next. A state holds only once it is stored; a successor begins with
// the stored one and nothing else. docs/upgrades.md has the reasoning.
package featuregate

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// StorageVersion numbers a form of stored records; 0 is the one that every version knows.
type StorageVersion uint64

// Statement is what a controller says of itself. A message without one is from a version that has
// no gate.
type Statement struct {
	// Reads is the highest form that its version reads.
	Reads StorageVersion
	// Writes is the highest form that its settings ask for.
	Writes StorageVersion
	// Hold: its operators hold the gate closed.
	Hold bool
}

// String words the statement for logs; nil is that of an older version.
func (s *Statement) String() string {
	if s == nil {
		return "no statement"
	}
	text := fmt.Sprintf("reads %d, writes %d", s.Reads, s.Writes)
	if s.Hold {
		text += ", holds"
	}
	return text
}

// State is the gate's. Opening is a closed gate whose opening is being stored.
type State int

// The states.
const (
	Closed State = iota
	Opening
	Open
	Closing
)

// String names the state in logs and metrics.
func (s State) String() string {
	switch s {
	case Closed:
		return "closed"
	case Opening:
		return "opening"
	case Open:
		return "open"
	case Closing:
		return "closing"
	}
	return fmt.Sprintf("State(%d)", int(s))
}

// Cause is why the gate is not open.
type Cause string

// The causes.
const (
	NoCause                 Cause = ""
	NotHeard                Cause = "is not heard"
	NoStatement             Cause = "is of a version without the gate"
	CannotRead              Cause = "does not read the form"
	FeatureOff              Cause = "has the feature off"
	HeldClosed              Cause = "is told to hold the gate closed"
	NotSettled              Cause = "has not stated the form for a leader's lease"
	RecentlyClosed          Cause = "closed the gate lately"
	ExceedsTransactionLimit Cause = "can't store the opening within the state service's limits"
)

// Obstacle is a cause and the controller that it comes from.
type Obstacle struct {
	Controller string
	Cause      Cause
}

// String tells the obstacle; "" is none.
func (o Obstacle) String() string {
	if o.Cause == NoCause {
		return ""
	}
	return o.Controller + " " + string(o.Cause)
}

// Settings are the gate's.
type Settings struct {
	Version StorageVersion
	// Self and Peers are the labels of all controllers of the settings.
	Self  string
	Peers []string
	Own   Statement
	// Fits: the state service's limits allow the transactions of the gate.
	Fits bool
	// Settled is how long each controller must have stated the form: a leader's lease.
	Settled time.Duration
	// Patience is how long an older process is heard before the gate closes: a workers' lease.
	Patience time.Duration
	// Pause is the least time from a closing to the next opening.
	Pause time.Duration
}

// Action is what is to be stored next.
type Action int

// The actions. Each is answered by Stored or Failed.
const (
	NoAction Action = iota
	StoreOpen
	StoreClosing
	StoreClosed
)

// Gate is a leader's.
type Gate struct {
	settings Settings
	state    State
	obstacle Obstacle
	peers    map[string]*peer
	// actionPending: an action is under way. closingStored: a successor would go on closing.
	actionPending, closingStored bool
	// notBefore is when the gate may act again after a closing or a failure.
	notBefore  time.Duration
	backingOff bool
}

// peer is what a gate knows of another controller.
type peer struct {
	incarnation         string
	lastHeard           time.Duration // last
	everHeard           bool          // heard at all
	statedSince         time.Duration // statedSince when it states the form without a gap
	lacksStatementSince time.Duration
	lacksStatement      bool
	statement           *Statement
}

// New makes the gate of a new leader with the state that is stored: Closed, Open or Closing.
func New(settings Settings, stored State) *Gate {
	g := &Gate{settings: settings, state: stored, peers: map[string]*peer{}, closingStored: stored == Closing}
	for _, label := range settings.Peers {
		g.peers[label] = &peer{}
	}
	return g
}

// State is the present one.
func (g *Gate) State() State { return g.state }

// MayWrite says whether the form may be written.
func (g *Gate) MayWrite() bool { return g.state == Open }

// Obstacle is why the gate is not open, or is closing, as last decided.
func (g *Gate) Obstacle() Obstacle { return g.obstacle }

// Statements lists what the others last stated, for logs; nil: nothing, or an older version.
func (g *Gate) Statements() map[string]*Statement {
	out := map[string]*Statement{}
	for label, p := range g.peers {
		if p.everHeard {
			out[label] = p.statement
		}
	}
	return out
}

// Heard takes what a controller of the settings stated; nil: its message had no statement.
func (g *Gate) Heard(now time.Duration, label, incarnation string, statement *Statement) {
	p := g.peers[label]
	if p == nil {
		return
	}
	gap := now - p.lastHeard
	switch {
	case statement != nil:
		p.lacksStatement = false
	case !p.lacksStatement || gap > g.settings.Patience:
		p.lacksStatement, p.lacksStatementSince = true, now
	}
	continues := p.everHeard && p.incarnation == incarnation && gap <= g.settings.Settled
	if !continues || g.objection(label, p.statement) != NoCause {
		p.statedSince = now
	}
	p.everHeard, p.lastHeard, p.incarnation, p.statement = true, now, incarnation, statement
}

// objection is what a statement has against an open gate.
func (g *Gate) objection(label string, s *Statement) Cause {
	switch {
	case s == nil:
		return NoStatement
	case s.Reads < g.settings.Version:
		return CannotRead
	case s.Hold:
		return HeldClosed
	case s.Writes < g.settings.Version:
		return FeatureOff
	case label == g.settings.Self && !g.settings.Fits:
		return ExceedsTransactionLimit
	}
	return NoCause
}

// Decide says what is to be stored next. folded: nothing is stored in the new form.
func (g *Gate) Decide(now time.Duration, folded bool) Action {
	if g.actionPending {
		return NoAction
	}
	if g.state == Open {
		if g.obstacle = g.closingObstacle(now); g.obstacle.Cause != NoCause {
			g.state = Closing
		}
	}
	action := NoAction
	switch {
	case g.state == Closed:
		if g.obstacle = g.openingObstacle(now); g.obstacle.Cause == NoCause {
			g.state, action = Opening, StoreOpen
		}
	case g.state != Closing || g.backingOff && now < g.notBefore:
	case !g.closingStored:
		action = StoreClosing
	case folded:
		action = StoreClosed
	}
	g.actionPending = action != NoAction
	return action
}

// Stored notes that the action is durable.
func (g *Gate) Stored(now time.Duration) {
	g.actionPending, g.backingOff = false, false
	switch {
	case g.state == Opening:
		g.state = Open
	case g.state == Closing && !g.closingStored:
		g.closingStored = true
	case g.state == Closing:
		g.state, g.closingStored = Closed, false
		g.notBefore, g.backingOff = now+g.settings.Pause, true
	}
}

// Failed notes that the action was refused for good; it is tried again after a pause.
func (g *Gate) Failed(now time.Duration) {
	g.actionPending = false
	if g.state == Opening {
		g.state = Closed
	}
	g.notBefore, g.backingOff = now+g.settings.Pause, true
}

// closingObstacle is the first reason to close an open gate. Silence is none: whoever comes back older
// is heard then.
func (g *Gate) closingObstacle(now time.Duration) Obstacle {
	if cause := g.objection(g.settings.Self, &g.settings.Own); cause != NoCause {
		return Obstacle{g.settings.Self, cause}
	}
	for _, label := range slices.Sorted(maps.Keys(g.peers)) {
		p := g.peers[label]
		if !p.everHeard || now > p.lastHeard+g.settings.Settled {
			continue
		}
		cause := g.objection(label, p.statement)
		if cause == NoStatement && now <= p.lacksStatementSince+g.settings.Patience {
			continue
		}
		if cause != NoCause {
			return Obstacle{label, cause}
		}
	}
	return Obstacle{}
}

// openingObstacle is the first reason to leave a closed gate closed.
func (g *Gate) openingObstacle(now time.Duration) Obstacle {
	if cause := g.objection(g.settings.Self, &g.settings.Own); cause != NoCause {
		return Obstacle{g.settings.Self, cause}
	}
	if g.backingOff && now < g.notBefore {
		return Obstacle{g.settings.Self, RecentlyClosed}
	}
	for _, label := range slices.Sorted(maps.Keys(g.peers)) {
		if cause := g.peerObjection(now, label); cause != NoCause {
			return Obstacle{label, cause}
		}
	}
	return Obstacle{}
}

// peerObjection is why a controller does not count as one that has stated the form for long enough.
func (g *Gate) peerObjection(now time.Duration, label string) Cause {
	p := g.peers[label]
	if !p.everHeard || now > p.lastHeard+g.settings.Settled {
		return NotHeard
	}
	if cause := g.objection(label, p.statement); cause != NoCause {
		return cause
	}
	if now < p.statedSince+g.settings.Settled {
		return NotSettled
	}
	return NoCause
}
