package controller

import (
	"slices"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// exitedTasks counts the exited tasks that the workers still report.
func (w *world) exitedTasks() (n int) {
	for _, worker := range w.workers() {
		for _, t := range worker.Tasks {
			if t.State == protocol.TaskExited {
				n++
			}
		}
	}
	return n
}

// storedCounter returns the token counter in the state service.
func (w *world) storedCounter() uint64 {
	w.t.Helper()
	var counter counterRecord
	if err := protocol.Decode(w.state.Item(keyCounter).Value, &counter); err != nil {
		w.t.Fatal(err)
	}
	return counter.Token
}

// TestClearWithoutAFenceIsRefused plants a clear under the token of the task's start command.
func TestClearWithoutAFenceIsRefused(t *testing.T) {
	l, attempt, recorder := leadershipWithTask(t)
	m, key := attempt.Machine, attempt.Key()
	m.Exited[key] = &clusterstate.ExitedTask{Attempt: attempt, StartToken: l.tokens.of(m), Clearable: true}
	commands := func() []protocol.Command {
		return []protocol.Command{{Verb: protocol.VerbClear, Task: key.Task, Attempt: key.Attempt}}
	}
	l.dispatcher.sendCommands(m, commands())
	call, isCall := l.controller.outbox.effects[0].(Call)
	var request protocol.CommandRequest
	if !isCall || protocol.Decode(call.Body, &request) != nil || len(request.Commands) > 0 {
		t.Errorf("sent %+v, want no command", request)
	}
	l.controller.outbox.effects = nil
	l.heartbeats.replyWithCommands(requester{id: 77}, m, commands())
	var answer protocol.WorkerHeartbeatReply
	reply, isReply := l.controller.outbox.effects[0].(Reply)
	if !isReply || protocol.Decode(reply.Body, &answer) != nil || len(answer.Commands) > 0 {
		t.Errorf("answered %+v, want no command", answer)
	}
	if !slices.Equal(recorder.invariants, []Invariant{ClearNeedsFence, ClearNeedsFence}) {
		t.Errorf("violated %v, want %s twice", recorder.invariants, ClearNeedsFence)
	}
}

// TestExitsAreHeldUntilATokenIsReserved guards against a clear without a fence when no higher token is reserved.
func TestExitsAreHeldUntilATokenIsReserved(t *testing.T) {
	w := newWorld(t, 65)
	w.awaitLeader()
	w.runTime = func(string) time.Duration { return 5 * second }
	tokens := w.leadership().tokens
	tokens.reservedUntil, tokens.reserving = tokens.lease.token, true
	w.submit("j-0", map[string]any{"shape": "service", "shards": 2, "apart": true, "cores": 1.0}) // keeps the machines
	w.until(90*second, "replicas run", func() bool { return w.running("j-0") == 2 })
	w.submit("j-1", map[string]any{"shards": 4, "cores": 2.0})
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.run(5 * second)
	if n := w.exitedTasks(); n != 4 {
		t.Errorf("workers report %d exited tasks while no token is reserved, want 4", n)
	}
	tokens.reserving = false
	w.until(5*second, "the exits are cleared", func() bool { return w.exitedTasks() == 0 })
	if want := tokens.lease.token + tokenBlock; w.storedCounter() != want {
		t.Errorf("stored token counter %d, want %d", w.storedCounter(), want)
	}
	w.settle()
}

// TestExitsAreClearedDuringAnOutage guards against reports that grow while the state service is down.
func TestExitsAreClearedDuringAnOutage(t *testing.T) {
	w := newWorld(t, 66)
	w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 3})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 3 })
	w.state.InjectOutage(20 * second)
	w.run(8 * second) // longer than the leader's lease
	for _, worker := range w.workers() {
		worker.Execute(stopCommands(worker))
	}
	if n := w.exitedTasks(); n != 3 {
		t.Fatalf("%d replicas have exited, want 3", n)
	}
	w.run(4 * second)
	if n := w.exitedTasks(); n != 0 {
		t.Errorf("workers report %d exited tasks during the outage, want them cleared", n)
	}
	w.settle()
}

// stopCommands returns commands that stop all tasks of a worker.
func stopCommands(worker *emulator.Worker) (commands []protocol.Command) {
	for _, status := range worker.Heartbeat().Tasks {
		commands = append(commands, protocol.Command{Verb: protocol.VerbStop, Task: status.Task, Attempt: status.Attempt})
	}
	return commands
}

// TestOwnRaisedTokenDoesNotEndTheLeadership guards against a leader that takes its own raised token for a later leader's.
func TestOwnRaisedTokenDoesNotEndTheLeadership(t *testing.T) {
	for _, tc := range []struct {
		name      string
		aboveLast uint64
		ends      bool
	}{{"the last reserved token", 0, false}, {"a token that is not reserved", 1, true}} {
		t.Run(tc.name, func(t *testing.T) {
			l, attempt, _ := leadershipWithTask(t)
			m, token := attempt.Machine, l.tokens.highest()+tc.aboveLast
			msg := &protocol.WorkerHeartbeat{Machine: m.ID, Type: m.Type, Zone: m.Zone, Epoch: m.Epoch, Sequence: m.Sequence + 1, Token: token,
				Tasks: []protocol.TaskStatus{{Task: attempt.Key().Task, Attempt: attempt.Number, State: protocol.TaskRunning}}}
			l.heartbeats.applyHeartbeat(msg, true)
			if l.lease.ended != tc.ends {
				t.Errorf("leadership ended %t", l.lease.ended)
			}
			if !tc.ends && (l.tokens.of(m) != token || m.StartToken != token) {
				t.Errorf("token of the machine's messages %d, of its last start %d, want both %d", l.tokens.of(m), m.StartToken, token)
			}
		})
	}
}

// TestTokensAreReservedAheadOfTheirUse guards against tokens that a later leader is elected with.
func TestTokensAreReservedAheadOfTheirUse(t *testing.T) {
	w := newWorld(t, 67)
	w.awaitLeader()
	tokens := w.leadership().tokens
	first := tokens.highest()
	if w.storedCounter() != first {
		t.Fatalf("stored token counter %d after the election, want %d", w.storedCounter(), first)
	}
	tokens.highestUsed = first - tokenBlock/2
	w.run(2 * second)
	if tokens.highest() != first+tokenBlock || w.storedCounter() != tokens.highest() {
		t.Errorf("highest token %d, stored %d, want both %d", tokens.highest(), w.storedCounter(), first+tokenBlock)
	}
	w.crash(w.leader())
	w.awaitLeader()
	if next := w.leadership().lease.token; next != first+tokenBlock+1 {
		t.Errorf("the next leader has token %d, want %d", next, first+tokenBlock+1)
	}
}

// TestFenceRaisesOnlyTheMachinesOwnToken checks that the token rises by one, and only above a start under the same token.
func TestFenceRaisesOnlyTheMachinesOwnToken(t *testing.T) {
	l, attempt, _ := leadershipWithTask(t)
	m, other := attempt.Machine, l.state.AddMachine("i-900000")
	before := l.tokens.of(m)
	if !l.tokens.fence(m, before-1) || l.tokens.of(m) != before {
		t.Errorf("token %d after a fence above an earlier token, want %d", l.tokens.of(m), before)
	}
	if !l.tokens.fence(m, before) || l.tokens.of(m) != before+1 || l.tokens.of(other) != l.lease.token {
		t.Errorf("tokens %d and %d after a fence, want %d and %d", l.tokens.of(m), l.tokens.of(other), before+1, l.lease.token)
	}
	if l.tokens.fence(m, l.tokens.highest()) {
		t.Error("a fence above the last reserved token")
	}
}
