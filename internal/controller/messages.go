// Package controller implements a controller: leader election, worker heartbeats, scheduling,
// scaling and users' requests. It is a deterministic state machine: events and clock readings go
// in, effects come out, and package transport carries the effects out. The package does no I/O and
// starts no goroutines, so every failure can be replayed in a test.
package controller

import (
	"time"
)

// Clock is a reading of the steady clock and of the time of day.
type Clock struct {
	Steady time.Duration
	Wall   int64 // ms
}

// Op is what somebody asks of the core.
type Op string

// The operations.
const (
	OpSubmit             Op = "submit"
	OpPoll               Op = "poll"
	OpCancel             Op = "cancel"
	OpReady              Op = "ready"
	OpWorkerHeartbeat    Op = "report"
	OpRelay              Op = "relay"     // a user's request passed on by another controller
	OpForwardedHeartbeat Op = "forward"   // a worker's report passed on by its zone's controller
	OpPeerHeartbeat      Op = "heartbeat" // another controller stays in touch with the leader
	OpProbe              Op = "probe"     // another controller asks for a sign of life
)

// Request is a message that wants a Reply with its ID.
type Request struct {
	ID   uint64
	Op   Op
	UID  string
	Body []byte
}

// Result is the outcome of a Call. Status 0: no response; ConnectionFailed: not even a
// connection could be made.
type Result struct {
	ID               uint64
	Status           int
	Body             []byte
	ConnectionFailed bool
}

// Tick lets time pass.
type Tick struct{}

// Shutdown tells the controller to end in good order: what it says goodbye with are its last
// effects.
type Shutdown struct{}

// Event is a Request, a Result, a Tick or a Shutdown.
type Event any

// Reply answers a Request.
type Reply struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter int // seconds, 0: none
	// ValidUntil is when the answer stops being true for sure, by the steady clock; 0:
	// never. A process that stood still after the decision must not send it.
	ValidUntil time.Duration
}

// Target is whom a Call goes to.
type Target int

// The targets.
const (
	ToState Target = iota
	ToCloud
	ToWorker
	ToPeer
)

// Call is a request to somebody else, answered by a Result with its ID.
type Call struct {
	ID      uint64
	Target  Target
	Addr    string
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
	// ValidUntil is when the request must not leave any more, by the steady clock; 0: never. A process
	// that stood still after the decision must not act on it.
	ValidUntil time.Duration
}

// Effect is a Reply or a Call.
type Effect any
