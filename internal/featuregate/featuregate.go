// Package featuregate decides when a new version of stored records may be written. During a rolling upgrade of the
// controllers, a program that does not support the version may still become leader. The gate therefore opens only
// once every controller has stated that it reads and writes the version. It closes for a rollback.
//
// The gate is a deterministic state machine that only the leader runs. Its inputs are statements and the time; its
// output is the state that must be stored next. The controller stores this state in the leader record, and the state
// takes effect only once it is stored. After a failover the new leader begins with the stored state and collects the
// statements again. docs/upgrades.md gives the reasons.
//
// Times are durations on the leader's clock.
package featuregate

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// StorageVersion is the number of a version of the stored records. Every program supports version 0.
type StorageVersion uint64

// Statement declares which versions a controller supports. Controllers send it in heartbeats and their answers. A
// message without a statement comes from a program that has no feature gate.
type Statement struct {
	// ReadsUpTo is the highest version that the controller's program reads.
	ReadsUpTo StorageVersion
	// WritesUpTo is the highest version that the controller's settings enable.
	WritesUpTo StorageVersion
	// HoldClosed is set if the controller's operators hold the gate closed.
	HoldClosed bool
}

// String returns the statement for logs. A nil statement stands for a program without the gate.
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

// State is the state of a gate. Its number is the value of the metric claybarrow_feature_gate_state.
type State int

// The states.
const (
	// Closed means that records are written in a version that every program supports.
	Closed State = iota
	// Opening means that the gate is closed and the state Open is being stored.
	Opening
	// Open means that records are written in the new version, and programs without it can't become leader.
	Open
	// Closing means that no record is written in the new version any more, and stored records of the new version
	// are being rewritten.
	Closing
)

// String returns the state's name in logs and metrics.
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

// Cause is the reason for which a controller keeps the gate from being open. The texts are logged, and listed in
// docs/upgrades.md.
type Cause string

// The causes.
const (
	NoCause                 Cause = ""
	NoMessage               Cause = "is not heard"
	NoStatement             Cause = "runs a version without the feature gate"
	CannotRead              Cause = "does not read the storage version"
	FeatureOff              Cause = "has the feature disabled"
	HeldClosed              Cause = "holds the gate closed"
	NotSettled              Cause = "has not stated the storage version for a leader's lease"
	RecentlyClosed          Cause = "closed the gate recently"
	ExceedsTransactionLimit Cause = "opening exceeds the state service's limits"
)

// Obstacle is a cause together with the label of the controller to which it applies.
type Obstacle struct {
	Controller string
	Cause      Cause
}

// String returns the obstacle for logs, or "" if there is none.
func (o Obstacle) String() string {
	if o.Cause == NoCause {
		return ""
	}
	return o.Controller + " " + string(o.Cause)
}

// Settings are the settings of a gate.
type Settings struct {
	// Version is the version of the stored records that the gate enables.
	Version StorageVersion
	// Self and Peers are the labels of all controllers in the settings.
	Self  string
	Peers []string
	// OwnStatement is the statement of this controller.
	OwnStatement Statement
	// TransactionsFit is set if the state service's limits allow the gate's transactions.
	TransactionsFit bool
	// SettleTime is the time for which each controller must have stated the version before the gate opens: the
	// duration of a leader's lease.
	SettleTime time.Duration
	// OlderProgramTimeout is the time for which messages of a program without the gate are received before the
	// gate closes: the duration of a worker's lease.
	OlderProgramTimeout time.Duration
	// BackOff is the minimum time between a closing and the next opening, and between a refused action and the next
	// attempt.
	BackOff time.Duration
}

// Action is a change of the stored state that the controller must carry out.
type Action int

// The actions. The outcome of each except NoAction must be reported by ActionStored or ActionRefused.
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
	// actionPending is set while the outcome of the returned action is not reported yet.
	actionPending bool
	// closingStored is set once Closing is stored, so that a new leader would continue it.
	closingStored bool
	// backingOff is set after a closing or a refused action: no action is returned before notBefore.
	backingOff bool
	notBefore  time.Duration
}

// peer records the messages of another controller.
type peer struct {
	messageReceived bool
	lastMessageAt   time.Duration
	incarnation     string     // incarnation of the process that sent the last message
	statement       *Statement // statement in the last message
	// statedSince is the time since which the same process has stated the version without a gap.
	statedSince time.Duration
	// lacksStatement is set if the last message had no statement. lacksStatementSince is the time since which
	// messages lack a statement; it is reset after a gap longer than OlderProgramTimeout.
	lacksStatement      bool
	lacksStatementSince time.Duration
}

// New returns the gate of a new leader with the stored state: Closed, Open or Closing.
func New(settings Settings, stored State) *Gate {
	g := &Gate{settings: settings, state: stored, peers: map[string]*peer{}, closingStored: stored == Closing}
	for _, label := range settings.Peers {
		g.peers[label] = &peer{}
	}
	return g
}

// State returns the present state.
func (g *Gate) State() State { return g.state }

// MayWrite reports whether records of the version may be written.
func (g *Gate) MayWrite() bool { return g.state == Open }

// Obstacle returns the obstacle that keeps the gate closed or closes it, as of the last decision.
func (g *Gate) Obstacle() Obstacle { return g.obstacle }

// Statements returns the last statements of the other controllers by label, for logs. Controllers from which no
// message was received are missing. The statement of a program without the gate is nil.
func (g *Gate) Statements() map[string]*Statement {
	statements := map[string]*Statement{}
	for label, p := range g.peers {
		if p.messageReceived {
			statements[label] = p.statement
		}
	}
	return statements
}

// RecordStatement records a message of a controller with its statement, which is nil if the message had none.
// Messages of controllers that are not in the settings are ignored.
func (g *Gate) RecordStatement(now time.Duration, label, incarnation string, statement *Statement) {
	p := g.peers[label]
	if p == nil {
		return
	}
	gap := now - p.lastMessageAt
	switch {
	case statement != nil:
		p.lacksStatement = false
	case !p.lacksStatement || gap > g.settings.OlderProgramTimeout:
		p.lacksStatement, p.lacksStatementSince = true, now
	}
	continues := p.messageReceived && p.incarnation == incarnation && gap <= g.settings.SettleTime
	if !continues || g.blockingCause(label, p.statement) != NoCause {
		p.statedSince = now
	}
	p.messageReceived, p.lastMessageAt, p.incarnation, p.statement = true, now, incarnation, statement
}

// NextAction returns the action to carry out next. compacted must be set if no record of the version is stored.
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
		// The state becomes Open or Closed once the outcome of the opening is reported.
	}
	return NoAction
}

// nextClosingAction returns StoreClosing before any other action of the closing, so that a new leader continues the
// closing. It returns StoreClosed only once all records are compacted.
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

// ActionRefused records that the state service rejected the pending action. The gate returns it again after a back-off.
func (g *Gate) ActionRefused(now time.Duration) {
	g.actionPending = false
	if g.state == Opening {
		g.state = Closed
	}
	g.backOff(now)
}

// blockingCause returns the cause for which a controller's statement requires a closed gate, or NoCause.
func (g *Gate) blockingCause(label string, s *Statement) Cause {
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

// closingObstacle returns the first reason to close an open gate, if any. A controller that sends no messages does not
// close the gate. If it restarts with an older program, the messages of that program do.
func (g *Gate) closingObstacle(now time.Duration) Obstacle {
	if cause := g.blockingCause(g.settings.Self, &g.settings.OwnStatement); cause != NoCause {
		return Obstacle{g.settings.Self, cause}
	}
	for _, label := range slices.Sorted(maps.Keys(g.peers)) {
		p := g.peers[label]
		if g.isSilent(p, now) {
			continue
		}
		cause := g.blockingCause(label, p.statement)
		if cause == NoStatement && now <= p.lacksStatementSince+g.settings.OlderProgramTimeout {
			continue
		}
		if cause != NoCause {
			return Obstacle{label, cause}
		}
	}
	return Obstacle{}
}

// openingObstacle returns the first reason to leave a closed gate closed, if any.
func (g *Gate) openingObstacle(now time.Duration) Obstacle {
	if cause := g.blockingCause(g.settings.Self, &g.settings.OwnStatement); cause != NoCause {
		return Obstacle{g.settings.Self, cause}
	}
	if g.isBackingOff(now) {
		return Obstacle{g.settings.Self, RecentlyClosed}
	}
	for _, label := range slices.Sorted(maps.Keys(g.peers)) {
		if cause := g.peerBlockingCause(now, label); cause != NoCause {
			return Obstacle{label, cause}
		}
	}
	return Obstacle{}
}

// peerBlockingCause returns the cause for which a controller does not count as having stated the version for long
// enough, or NoCause.
func (g *Gate) peerBlockingCause(now time.Duration, label string) Cause {
	p := g.peers[label]
	if g.isSilent(p, now) {
		return NoMessage
	}
	if cause := g.blockingCause(label, p.statement); cause != NoCause {
		return cause
	}
	if now < p.statedSince+g.settings.SettleTime {
		return NotSettled
	}
	return NoCause
}

// isSilent reports whether no message of a controller was received within SettleTime.
func (g *Gate) isSilent(p *peer, now time.Duration) bool {
	return !p.messageReceived || now > p.lastMessageAt+g.settings.SettleTime
}
