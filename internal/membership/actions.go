package membership

import "time"

// Action is what the caller has to do: a Send, Respond, Change or Drop.
type Action interface{ isAction() }

// Send is a request to a peer. The caller passes its outcome to Detector.Answered with the ID.
type Send struct {
	ID uint64
	To string // label of the peer
	// Heartbeat says that the peer's version knows no probes: it is sent a heartbeat, which
	// the caller composes, and Body is empty.
	Heartbeat bool
	Body      []byte
	Timeout   time.Duration
}

// Respond answers the probe that was passed to Detector.Probed with the same Request.
type Respond struct {
	Request uint64
	Status  int // HTTP status
	Body    []byte
}

// StateChange reports a member's change of state.
type StateChange struct {
	Label       string
	From, To    State
	Reason      Reason
	Incarnation Incarnation
	// After is how long the former state had lasted.
	After time.Duration
}

// DroppedMessage reports a message that was not taken.
type DroppedMessage struct {
	Label  string // of the sender; "" if it can't be read
	Reason DropReason
	First  bool // whether it is the first from that peer for that reason, to be logged
}

func (Send) isAction()           {}
func (Respond) isAction()        {}
func (StateChange) isAction()    {}
func (DroppedMessage) isAction() {}
