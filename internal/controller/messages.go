// Package controller implements a controller: leader election, worker heartbeats, scheduling,
// scaling and users' requests. It is a deterministic state machine: it takes events and clock
// readings and returns effects, which package transport executes. The package does no I/O and
// starts no goroutines, so every failure can be replayed in a test.
package controller

import (
	"time"
)

// Clock is one reading of both clocks of a process.
type Clock struct {
	// Monotonic is the time since the process started, on the monotonic clock. All deadlines and leases
	// are computed from it.
	Monotonic time.Duration
	// Wall is the time of day in Unix milliseconds, for times that processes compare with one
	// another. No lease depends on it.
	Wall int64
}

// Op is the operation that a Request asks for.
type Op string

// The operations. OpSubmit, OpPoll, OpCancel and OpWorkerHeartbeat also travel in relayed requests,
// so their values are part of the protocol between controllers.
const (
	OpSubmit             Op = "submit"    // a user submits a job
	OpPoll               Op = "poll"      // a user asks for a job's status
	OpCancel             Op = "cancel"    // a user cancels a job
	OpReady              Op = "ready"     // the load balancer asks whether to send requests here
	OpWorkerHeartbeat    Op = "report"    // a worker's heartbeat
	OpRelay              Op = "relay"     // a user's request that another controller relays
	OpForwardedHeartbeat Op = "forward"   // a worker's heartbeat that its zone's controller forwards
	OpPeerHeartbeat      Op = "heartbeat" // another controller's heartbeat
	OpProbe              Op = "probe"     // another controller's failure detection probes this one
)

// Paths of the API between controllers.
const (
	RelayPath              = "/relay"
	ForwardedHeartbeatPath = "/forward"
	PeerHeartbeatPath      = "/heartbeat"
	ProbePath              = "/probe"
)

// Event is an input of Controller.Handle: a Request, a Result, a Tick or a Shutdown.
type Event interface{ isEvent() }

// Request is a message from a user, a worker, another controller or the load balancer. It is
// answered by a Reply with its ID.
type Request struct {
	ID uint64
	Op Op
	// UID is the job that a user's request names in its path; empty for the other operations and for
	// submissions, which name it in their body.
	UID  string
	Body []byte
}

// Result is the outcome of a Call.
type Result struct {
	ID uint64
	// Status is the HTTP status; 0: no response arrived.
	Status int
	Body   []byte
	// ConnectionFailed is set if no connection could be made, so that the request cannot have arrived.
	ConnectionFailed bool
}

// Tick reports that time has passed. It arrives at the interval of config.Config.TickInterval.
type Tick struct{}

// Shutdown reports that the controller's process is about to exit. It is the last event, so no further effects follow.
type Shutdown struct{}

func (Request) isEvent()  {}
func (Result) isEvent()   {}
func (Tick) isEvent()     {}
func (Shutdown) isEvent() {}

// Effect is an output of Controller.Handle that the caller executes: a Reply or a Call.
type Effect interface{ isEffect() }

// Reply answers a Request.
type Reply struct {
	ID     uint64
	Status int // of HTTP
	Body   []byte
	// RetryAfter is the delay after which the requester should retry, in seconds; 0: not stated.
	RetryAfter int
	// ValidUntil is the monotonic time up to which the answer is certain to be valid; 0: no limit. A
	// process that was paused after the decision must not send it later.
	ValidUntil time.Duration
}

// Target is the kind of receiver of a Call. Each has its own connection pool.
type Target int

// The targets.
const (
	ToState  Target = iota // the state service
	ToCloud                // the cloud's API
	ToWorker               // a worker
	ToPeer                 // another controller
)

// Call is a request of the controller to another process. Its outcome is a Result with its ID.
type Call struct {
	ID      uint64
	Target  Target
	Addr    string // host:port
	Method  string // of HTTP
	Path    string
	Body    []byte
	Timeout time.Duration
	// ValidUntil is the monotonic time after which the request must not be sent; 0: no limit. A process
	// that was paused after the decision must not send it later.
	ValidUntil time.Duration
}

func (Reply) isEffect() {}
func (Call) isEffect()  {}
