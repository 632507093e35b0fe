// Package workerclient builds the direct requests to the agents on workers and decodes their replies. It
// encapsulates the agents' path and status codes. It does no I/O: the controller sends the request,
// because the controller also decides until when the request may be sent.
package workerclient

import (
	"net/http"

	"claybarrow/internal/apicall"
	"claybarrow/internal/protocol"
)

// Method and path of requests with commands.
const (
	CommandsMethod = http.MethodPost
	CommandsPath   = "/commands"
)

// NewCommandRequest builds the body of a request with a fencing token to the agent in the given epoch. A request
// without commands is a probe; its list of commands is encoded as an empty list, not as nil.
func NewCommandRequest(token, epoch uint64, commands []protocol.Command) protocol.CommandRequest {
	if commands == nil {
		commands = []protocol.Command{}
	}
	return protocol.CommandRequest{Token: token, Epoch: epoch, Commands: commands}
}

// Outcome is the outcome of the commands of a request.
type Outcome int

const (
	// NoAnswer means that the request had no answer: the commands may have been executed, or may be
	// executed later.
	NoAnswer Outcome = iota
	// Failed means that the worker was reached, but answered with a status that does not tell whether the
	// commands were executed.
	Failed
	// Executed means that the agent accepted the commands (200).
	Executed
	// Rejected means that the agent accepted none of the commands (409): it has seen a higher fencing token,
	// or is in another epoch.
	Rejected
)

// String returns the text for logs.
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

// IsAnswer reports whether the agent accepted or rejected the commands. Such an answer is expected to contain a
// heartbeat.
func (o Outcome) IsAnswer() bool { return o == Executed || o == Rejected }

// Reply is the decoded answer to a request.
type Reply struct {
	Outcome Outcome
	// Heartbeat is the worker's heartbeat, which the answer contains if the commands were executed or
	// rejected. It is nil if it cannot be decoded or is from another machine.
	Heartbeat *protocol.WorkerHeartbeat
}

// ReadReply decodes the answer of the agent on a machine; the status may be apicall.StatusNoAnswer.
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
