package membership

import "time"

// Action is an effect for the caller to carry out: a Send, Respond, StateChange or DroppedMessage.
type Action interface{ isAction() }

// Send is a request to a peer. The caller passes the outcome to Detector.HandleResponse with the same ID.
type Send struct {
	ID uint64
	To string // label of the peer
	// Heartbeat requests a heartbeat instead of a probe, because the peer's version does not support
	// probes. The caller composes the heartbeat; Body is empty.
	Heartbeat bool
	Body      []byte
	Timeout   time.Duration
}

// Respond answers the probe that was passed to Detector.HandleProbe with the same Request.
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
	// After is how long the member was in the previous state.
	After time.Duration
}

// DroppedMessage reports a probe or a reply that the detector dropped.
type DroppedMessage struct {
	Label  string // label of the sender; "" if it cannot be decoded
	Reason DropReason
	First  bool // whether this is the first drop for this peer and reason; only the first is logged
}

func (Send) isAction()           {}
func (Respond) isAction()        {}
func (StateChange) isAction()    {}
func (DroppedMessage) isAction() {}
