// Package featuregate decides when a new version of stored records may be written. While controllers are
// upgraded one at a time, programs that do not know the version may still lead, so the gate opens only
// once every controller has stated that it reads and writes the version. It closes for a rollback.
//
// The gate is a deterministic state machine that only the leader runs: statements and the time go in, and
// it returns which state is to be stored next. The controller stores it in the leader record. A state
// takes effect only once it is stored; after a failover the new leader begins with the stored state and
// collects the statements anew. docs/upgrades.md has the reasoning.
//
// Times are durations on the leader's clock.
package featuregate

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// StorageVersion numbers a version of the stored records. Every program knows version 0.
type StorageVersion uint64

// Statement is what a controller says of itself in heartbeats and their answers. A message without one is
// from a program that has no gate.
type Statement struct {
	// ReadsUpTo is the highest version that its program reads.
	ReadsUpTo StorageVersion
	// WritesUpTo is the highest version that its settings ask for.
	WritesUpTo StorageVersion
	// HoldClosed: its operators hold the gate closed.
	HoldClosed bool
}

// String is the statement for logs; nil is that of a program without the gate.
func (s *Statement) String() string {
	if s == nil {
		return "no statement"
	}
	text := fmt.Sprintf("reads %d, writes %d", s.ReadsUpTo, s.WritesUpTo)
	if s.HoldClosed {
		text += ", holds"
	}
	return text
}

// State is the state of a gate. The numbers are those of the metric claybarrow_feature_gate_state.
type State int

// The states.
const (
	// Closed: records are written as every program knows them.
	Closed State = iota
	// Opening: the gate is closed, and its opening is being stored.
	Opening
	// Open: the new version is written, and programs without it can't lead.
	Open
	// Closing: nothing is written in the new version any more, and what is stored in it is rewritten.
	Closing
)

// String is the state's name in logs and metrics.
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

// Cause is the reason why a controller keeps the gate from being open. The texts are in logs and in
// docs/upgrades.md.
type Cause string

// The causes.
const (
	NoCause                 Cause = ""
	NotHeard                Cause = "is not heard"
	NoStatement             Cause = "runs a version without the feature gate"
	CannotRead              Cause = "does not read the storage version"
	FeatureOff              Cause = "has the feature disabled"
	HeldClosed              Cause = "holds the gate closed"
	NotSettled              Cause = "has not stated the storage version for a leader's lease"
	RecentlyClosed          Cause = "closed the gate recently"
	ExceedsTransactionLimit Cause = "opening exceeds the state service's limits"
)

// Obstacle is a cause and the label of the controller that it comes from.
type Obstacle struct {
	Controller string
	Cause      Cause
}

// String is the obstacle for logs; empty if there is none.
func (o Obstacle) String() string {
	if o.Cause == NoCause {
		return ""
	}
	return o.Controller + " " + string(o.Cause)
}

// Settings are those of a gate.
type Settings struct {
	// Version is the version of the records that the gate is for.
	Version StorageVersion
	// Self and Peers are the labels of all controllers in the settings.
	Self  string
	Peers []string
	// Own is the statement of this controller.
	Own Statement
	// TransactionsFit: the state service's limits allow the gate's transactions.
	TransactionsFit bool
	// SettleTime is how long each controller must have stated the version before the gate opens: a leader's
	// lease.
	SettleTime time.Duration
	// OlderProgramTimeout is how long a program without the gate is heard before the gate closes: a workers' lease.
	OlderProgramTimeout time.Duration
	// BackOff is the least time from a closing to the next opening, and from a refused action to the next try.
	BackOff time.Duration
}

// Action is what is to be stored next.
type Action int

// The actions. The gate has to be told the outcome of each but NoAction.
const (
	NoAction Action = iota
	StoreOpen
	StoreClosing
	StoreClosed
)

// Gate is the gate of one leadership. It is not safe for concurrent use.
type Gate struct {
	settings Settings
	state    State
	obstacle Obstacle
	peers    map[string]*peer
	// actionPending: an action was returned and is not answered yet.
	actionPending bool
	// closingStored: Closing is stored, so a new leader would go on with it.
	closingStored bool
	// backingOff: no action before notBefore, after a closing or a refused action.
	backingOff bool
	notBefore  time.Duration
}

// peer is what the gate knows of another controller.
type peer struct {
	everHeard   bool
	lastHeard   time.Duration
	incarnation string     // of the process that was heard last
	statement   *Statement // its last one
	// statedSince is since when the same process states the version without a gap.
	statedSince time.Duration
	// lacksStatement: the last message had no statement. lacksStatementSince is since when, not counting
	// from before a silence that was longer than the time for which such a program is tolerated.
	lacksStatement      bool
	lacksStatementSince time.Duration
}

// New makes the gate of a new leader from the stored state: Closed, Open or Closing.
func New(settings Settings, stored State) *Gate {
	g := &Gate{settings: settings, state: stored, peers: map[string]*peer{}, closingStored: stored == Closing}
	for _, label := range settings.Peers {
		g.peers[label] = &peer{}
	}
	return g
}

// State is the present state.
func (g *Gate) State() State { return g.state }

// MayWrite reports whether records of the version may be written.
func (g *Gate) MayWrite() bool { return g.state == Open }

// Obstacle is why the gate is not open, or is closing, as of its last decision.
func (g *Gate) Obstacle() Obstacle { return g.obstacle }

// Statements returns the last statements of the other controllers by label, for logs. Those that were not
// heard are missing; nil is that of a program without the gate.
func (g *Gate) Statements() map[string]*Statement {
	statements := map[string]*Statement{}
	for label, p := range g.peers {
		if p.everHeard {
			statements[label] = p.statement
		}
	}
	return statements
}

// RecordStatement records a controller's message with its statement; nil: the message had none. Controllers that are
// not in the settings are ignored.
func (g *Gate) RecordStatement(now time.Duration, label, incarnation string, statement *Statement) {
	p := g.peers[label]
	if p == nil {
		return
	}
	gap := now - p.lastHeard
	switch {
	case statement != nil:
		p.lacksStatement = false
	case !p.lacksStatement || gap > g.settings.OlderProgramTimeout:
		p.lacksStatement, p.lacksStatementSince = true, now
	}
	continues := p.everHeard && p.incarnation == incarnation && gap <= g.settings.SettleTime
	if !continues || g.objection(label, p.statement) != NoCause {
		p.statedSince = now
	}
	p.everHeard, p.lastHeard, p.incarnation, p.statement = true, now, incarnation, statement
}

// NextAction returns the action to carry out next. compacted: no record of the version is stored.
func (g *Gate) NextAction(now time.Duration, compacted bool) Action {
	if g.actionPending {
		return NoAction
	}
	action := g.decide(now, compacted)
	g.actionPending = action != NoAction
	return action
}

func (g *Gate) decide(now time.Duration, compacted bool) Action {
	switch g.state {
	case Closed:
		if g.obstacle = g.openingObstacle(now); g.obstacle.Cause != NoCause {
			return NoAction
		}
		g.state = Opening
		return StoreOpen
	case Open:
		if g.obstacle = g.closingObstacle(now); g.obstacle.Cause == NoCause {
			return NoAction
		}
		g.state = Closing
		return g.nextClosingAction(now, compacted)
	case Closing:
		return g.nextClosingAction(now, compacted)
	case Opening:
		// It is Open or Closed once the opening is answered.
	}
	return NoAction
}

// nextClosingAction stores that the gate is closing before anything else is done for it, so that a new
// leader goes on with it.
func (g *Gate) nextClosingAction(now time.Duration, compacted bool) Action {
	switch {
	case g.isBackingOff(now):
		return NoAction
	case !g.closingStored:
		return StoreClosing
	case compacted:
		return StoreClosed
	}
	return NoAction
}

func (g *Gate) isBackingOff(now time.Duration) bool { return g.backingOff && now < g.notBefore }

func (g *Gate) backOff(now time.Duration) {
	g.backingOff, g.notBefore = true, now+g.settings.BackOff
}

// ActionStored records that the pending action is durable.
func (g *Gate) ActionStored(now time.Duration) {
	g.actionPending, g.backingOff = false, false
	switch {
	case g.state == Opening:
		g.state = Open
	case g.state == Closing && !g.closingStored:
		g.closingStored = true
	case g.state == Closing:
		g.state, g.closingStored = Closed, false
		g.backOff(now)
	}
}

// ActionRefused records that the pending action was refused for good. It is tried again after a
// back-off.
func (g *Gate) ActionRefused(now time.Duration) {
	g.actionPending = false
	if g.state == Opening {
		g.state = Closed
	}
	g.backOff(now)
}

// objection is what a controller's statement has against an open gate.
func (g *Gate) objection(label string, s *Statement) Cause {
	switch {
	case s == nil:
		return NoStatement
	case s.ReadsUpTo < g.settings.Version:
		return CannotRead
	case s.HoldClosed:
		return HeldClosed
	case s.WritesUpTo < g.settings.Version:
		return FeatureOff
	case label == g.settings.Self && !g.settings.TransactionsFit:
		return ExceedsTransactionLimit
	}
	return NoCause
}

// closingObstacle is the first reason to close an open gate. Silence is none: a controller that comes back
// with an older program is heard then.
func (g *Gate) closingObstacle(now time.Duration) Obstacle {
	if cause := g.objection(g.settings.Self, &g.settings.Own); cause != NoCause {
		return Obstacle{g.settings.Self, cause}
	}
	for _, label := range slices.Sorted(maps.Keys(g.peers)) {
		p := g.peers[label]
		if g.isSilent(p, now) {
			continue
		}
		cause := g.objection(label, p.statement)
		if cause == NoStatement && now <= p.lacksStatementSince+g.settings.OlderProgramTimeout {
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
	if g.isBackingOff(now) {
		return Obstacle{g.settings.Self, RecentlyClosed}
	}
	for _, label := range slices.Sorted(maps.Keys(g.peers)) {
		if cause := g.peerObjection(now, label); cause != NoCause {
			return Obstacle{label, cause}
		}
	}
	return Obstacle{}
}

// peerObjection is why a controller does not count as one that has stated the version for long enough.
func (g *Gate) peerObjection(now time.Duration, label string) Cause {
	p := g.peers[label]
	if g.isSilent(p, now) {
		return NotHeard
	}
	if cause := g.objection(label, p.statement); cause != NoCause {
		return cause
	}
	if now < p.statedSince+g.settings.SettleTime {
		return NotSettled
	}
	return NoCause
}

// isSilent reports whether a controller was not heard for as long as its statement takes to settle.
func (g *Gate) isSilent(p *peer, now time.Duration) bool {
	return !p.everHeard || now > p.lastHeard+g.settings.SettleTime
}
