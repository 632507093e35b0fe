package membership

import "time"

// State is what a controller holds another one for.
type State uint8

// The states. Alive is the first, as nobody is suspected before it was probed.
const (
	Alive   State = iota
	Suspect       // it answers neither us nor those we asked
	Dead          // suspect for so long that its work passes over
	Left          // it has ended in good order and said so
)

// String names the state for logs and metrics.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Incarnation orders the processes of a label and their refutations: the time of day, in
// milliseconds, when the process started, and one more for each claim that it refuted.
type Incarnation uint64

// Reason says why a state changed.
type Reason string

// The reasons.
const (
	ReasonUnreachable      Reason = "neither we nor others reach it"
	ReasonUnconfirmed      Reason = "we don't reach it, and there is nobody else to ask"
	ReasonSuspicionTimeout Reason = "suspected for the whole timeout"
	ReasonAck              Reason = "it answered"
	ReasonIndirectAck      Reason = "others reach it"
	ReasonRefuted          Reason = "it refuted by a later incarnation"
	ReasonLeftGracefully   Reason = "it said so"
)

// DropReason says why a message was not taken.
type DropReason string

// The reasons.
const (
	DropMalformed   DropReason = "malformed"
	DropVersion     DropReason = "higher version"
	DropUnknown     DropReason = "unknown label"
	DropIncarnation DropReason = "older incarnation"
	DropSequence    DropReason = "sequence went backwards"
	DropFuture      DropReason = "from the future"
)

// Action is what the caller is to do: a Send, Respond, Change or Drop.
type Action any

// Send is a request to a peer, whose outcome is told by Answered with its ID.
type Send struct {
	ID uint64
	To string
	// Heartbeat: the peer's version knows no probes and is asked by a heartbeat, which
	// the caller composes; Body is empty then.
	Heartbeat bool
	Body      []byte
	Timeout   time.Duration
}

// Respond answers a peer's probe that was given to Probed with the Request.
type Respond struct {
	Request uint64
	Status  int
	Body    []byte
}

// Change is a member's change of state.
type Change struct {
	Label       string
	From, To    State
	Reason      Reason
	Incarnation Incarnation
	// After is how long the former state had lasted.
	After time.Duration
}

// Drop is a message that was not taken. First: the first of its kind from that peer.
type Drop struct {
	Label  string
	Reason DropReason
	First  bool
}
