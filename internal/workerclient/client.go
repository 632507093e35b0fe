// Package workerclient builds the direct requests to the agents on workers and reads their replies. It
// alone knows the agents' path and status codes. It does no I/O: the controller sends the request,
// as it also decides until when the request may leave.
package workerclient

import (
	"net/http"

	"claybarrow/internal/apicall"
	"claybarrow/internal/protocol"
)

// Where commands go.
const (
	CommandsMethod = http.MethodPost
	CommandsPath   = "/commands"
)

// NewCommands builds the body of a request under a fencing token to an agent of an epoch. A request
// without commands is a probe; it has an empty list on the wire, not nil.
func NewCommands(token, epoch uint64, commands []protocol.Command) protocol.CommandRequest {
	if commands == nil {
		commands = []protocol.Command{}
	}
	return protocol.CommandRequest{Token: token, Epoch: epoch, Commands: commands}
}

// Outcome is what became of the commands of a request.
type Outcome int

const (
	// NoAnswer means that there was no answer: the commands may have been executed, or may be
	// executed later.
	NoAnswer Outcome = iota
	// Failed means an answer with a status that says nothing about the commands: they may have been
	// executed. The worker was reached.
	Failed
	// Executed means that the agent took the commands (200).
	Executed
	// Rejected means that the agent took none of the commands (409): its token is higher, or its
	// epoch another one.
	Rejected
)

// String is the outcome in the log.
func (o Outcome) String() string {
	switch o {
	case NoAnswer:
		return "no answer"
	case Failed:
		return "failed"
	case Executed:
		return "executed"
	case Rejected:
		return "rejected"
	}
	return "unknown"
}

// IsAnswer reports whether the agent itself said what it did with the commands. Such an answer is
// expected to carry a heartbeat.
func (o Outcome) IsAnswer() bool { return o == Executed || o == Rejected }

// Reply is the answer to a request.
type Reply struct {
	Outcome Outcome
	// Heartbeat is the worker's, which comes both if the commands were executed and if they were
	// rejected. It is nil if it can't be read or is another machine's.
	Heartbeat *protocol.WorkerHeartbeat
}

// ReadReply reads the answer of a machine's agent; status apicall.StatusNoAnswer: there was none.
func ReadReply(machine string, status int, body []byte) Reply {
	reply := Reply{Outcome: outcomeOf(status)}
	if !reply.Outcome.IsAnswer() {
		return reply
	}
	var heartbeat protocol.WorkerHeartbeat
	if protocol.Decode(body, &heartbeat) == nil && heartbeat.Machine == machine {
		reply.Heartbeat = &heartbeat
	}
	return reply
}

func outcomeOf(status int) Outcome {
	switch status {
	case apicall.StatusNoAnswer:
		return NoAnswer
	case http.StatusOK:
		return Executed
	case http.StatusConflict:
		return Rejected
	default:
		return Failed
	}
}
