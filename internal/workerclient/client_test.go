package workerclient

import (
	"bytes"
	"testing"

	"claybarrow/internal/protocol"
)

func TestNewCommands(t *testing.T) {
	stop := []protocol.Command{{Verb: protocol.VerbStop, Task: "t/0", Attempt: 1}}
	for _, c := range []struct {
		name     string
		commands []protocol.Command
		want     protocol.CommandRequest
	}{
		{"commands", stop, protocol.CommandRequest{Token: 3, Epoch: 5, Commands: stop}},
		{"a probe has an empty list on the wire", nil, protocol.CommandRequest{Token: 3, Epoch: 5, Commands: []protocol.Command{}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := NewCommandRequest(3, 5, c.commands); !bytes.Equal(protocol.Encode(got), protocol.Encode(c.want)) {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

func TestReadReply(t *testing.T) {
	heartbeat := protocol.Encode(protocol.WorkerHeartbeat{Machine: "i-1", Epoch: 5})
	for _, c := range []struct {
		name         string
		status       int
		body         []byte
		outcome      Outcome
		isAnswer     bool
		hasHeartbeat bool
	}{
		{"executed", 200, heartbeat, Executed, true, true},
		{"rejected", 409, heartbeat, Rejected, true, true},
		{"executed, another machine's heartbeat", 200, protocol.Encode(protocol.WorkerHeartbeat{Machine: "i-2"}), Executed, true, false},
		{"executed, undecodable heartbeat", 200, []byte{0xc1}, Executed, true, false},
		{"rejected, no heartbeat", 409, nil, Rejected, true, false},
		{"no answer", 0, nil, NoAnswer, false, false},
		{"unavailable", 503, heartbeat, Failed, false, false},
		{"invalid request", 400, nil, Failed, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			reply := ReadReply("i-1", c.status, c.body)
			if reply.Outcome != c.outcome || reply.Outcome.IsAnswer() != c.isAnswer || (reply.Heartbeat != nil) != c.hasHeartbeat {
				t.Fatalf("outcome %v, is an answer: %v, heartbeat %+v", reply.Outcome, reply.Outcome.IsAnswer(), reply.Heartbeat)
			}
			if reply.Heartbeat != nil && reply.Heartbeat.Epoch != 5 {
				t.Errorf("heartbeat %+v", reply.Heartbeat)
			}
		})
	}
}

func TestOutcomeText(t *testing.T) {
	for outcome, want := range map[Outcome]string{NoAnswer: "no answer", Failed: "failed", Executed: "executed", Rejected: "rejected", 99: "unknown"} {
		t.Run(want, func(t *testing.T) {
			if outcome.String() != want {
				t.Errorf("%q", outcome.String())
			}
		})
	}
}
