package controller

import (
	"slices"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// violationRecorder is an observer that records the violated invariants.
type violationRecorder struct {
	noObserver
	invariants []Invariant
}

func (r *violationRecorder) InvariantViolated(v Violation) {
	r.invariants = append(r.invariants, v.Invariant)
}

// leadershipWithTask returns the leadership of a world in which a replica runs, the replica's attempt, and the recorder
// of the invariants that the leader violates from now on.
func leadershipWithTask(t *testing.T) (*leadership, *clusterstate.Attempt, *violationRecorder) {
	t.Helper()
	w := newWorld(t, 1)
	node := w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service"})
	w.until(90*time.Second, "the replica runs", func() bool { return w.running("j-1") == 1 })
	w.run(2 * time.Second)
	l, recorder := w.nodes[node].controller.leadership, &violationRecorder{}
	w.nodes[node].controller.Observe(recorder)
	w.nodes[node].controller.outbox.effects = nil
	for _, m := range l.state.SortedMachines() {
		for _, a := range m.SortedAttempts() {
			return l, a, recorder
		}
	}
	t.Fatal("no attempt in the cluster state")
	return nil, nil, nil
}

func TestAuthorityOfALeader(t *testing.T) {
	for _, tc := range []struct {
		name                string
		change              func(l *leadership)
		want                restriction
		mayDecide, mayServe bool
	}{
		{"loaded under a confirmed lease", func(*leadership) {}, unrestricted, true, true},
		{"lease not confirmed", func(l *leadership) { l.lease.leaseConfirmedAt = -time.Hour }, leaseNotConfirmed, false, true},
		{"lease being verified", func(l *leadership) { l.lease.verifyingLeaseUntil = l.lease.env.now + 1 }, leaseBeingVerified, false, false},
		{"records not loaded", func(l *leadership) { l.loader.ready = false }, recordsNotLoaded, false, false},
		{"ended", func(l *leadership) { l.lease.ended = true }, leadershipOver, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, _, _ := leadershipWithTask(t)
			tc.change(l)
			a := l.authority
			if a.restriction() != tc.want || a.mayDecide() != tc.mayDecide || a.mayServe() != tc.mayServe {
				t.Errorf("restriction %q, may decide %t, may serve %t", a.restriction(), a.mayDecide(), a.mayServe())
			}
		})
	}
}

func TestStartWithoutAuthorityIsRefused(t *testing.T) {
	l, attempt, recorder := leadershipWithTask(t)
	l.lease.leaseConfirmedAt = -time.Hour
	l.dispatcher.sendCommands(attempt.Machine, []protocol.Command{{Verb: protocol.VerbRun, Task: attempt.Key().Task, Attempt: attempt.Number}})
	if !slices.Contains(recorder.invariants, StartNeedsAuthority) || len(l.controller.outbox.effects) > 0 {
		t.Errorf("violated %v, effects %v", recorder.invariants, l.controller.outbox.effects)
	}
}

func TestRemovalOfAnAttemptWithoutProofIsRefused(t *testing.T) {
	l, attempt, recorder := leadershipWithTask(t)
	l.attempts.removeAttempt(attempt, "")
	if !slices.Contains(recorder.invariants, RemovalNeedsProof) || attempt.Machine.Attempts[attempt.Key()] != attempt {
		t.Errorf("violated %v, attempt removed", recorder.invariants)
	}
}

// A proof with a name is not enough: it has to agree with what the worker has reported.
func TestRemovalAgainstTheWorkersReportIsRefused(t *testing.T) {
	for _, proof := range []absenceProof{neverSent, notRecorded, reportedExited, absentFromHeartbeat, leaseExpired} {
		t.Run(string(proof), func(t *testing.T) {
			l, attempt, recorder := leadershipWithTask(t)
			attempt.Sent = proof == absentFromHeartbeat
			l.attempts.removeAttempt(attempt, proof)
			if !slices.Contains(recorder.invariants, RemovalNeedsProof) || attempt.Machine.Attempts[attempt.Key()] != attempt {
				t.Errorf("violated %v, attempt removed", recorder.invariants)
			}
		})
	}
}

func TestCancellationIsNotConfirmedBeforeItIsDurable(t *testing.T) {
	l, _, recorder := leadershipWithTask(t)
	waiter := requester{id: 77}
	l.controller.pending.start(waiter)
	l.userRequests.cancelWaiters["j-1"] = []requester{waiter}
	l.userRequests.replyCancelled("j-1")
	if !slices.Contains(recorder.invariants, FinalStateIsDurable) || len(l.controller.outbox.effects) > 0 {
		t.Errorf("violated %v, effects %v", recorder.invariants, l.controller.outbox.effects)
	}
}

func TestRefusalOfAStoredJobUnderACertainLeaseIsReported(t *testing.T) {
	l, attempt, recorder := leadershipWithTask(t)
	l.userRequests.refuseQuestion(requester{id: 77}, attempt.Job, leaseNotConfirmed)
	if !slices.Contains(recorder.invariants, StoredJobIsAnswered) {
		t.Errorf("violated %v", recorder.invariants)
	}
}

// A worker that has not heard the next leader would still start the task.
func TestRunCommandInAHeartbeatReplyIsNotSentAfterTheLease(t *testing.T) {
	l, attempt, _ := leadershipWithTask(t)
	for _, tc := range []struct {
		verb string
		want time.Duration
	}{{protocol.VerbRun, l.authority.decidesUntil()}, {protocol.VerbStop, 0}} {
		l.controller.outbox.effects = nil
		l.heartbeats.replyWithCommands(requester{id: 78}, attempt.Machine, []protocol.Command{{Verb: tc.verb, Task: attempt.Key().Task}})
		reply, ok := l.controller.outbox.effects[0].(Reply)
		if !ok || reply.ValidUntil != tc.want {
			t.Errorf("%s: reply is valid until %v, want %v", tc.verb, reply.ValidUntil, tc.want)
		}
	}
}

// A heartbeat that was forwarded before the election is answered without the leader's token while the lease is verified.
func TestForwardedHeartbeatDuringTheCheckAfterAPauseGetsNoToken(t *testing.T) {
	l, attempt, _ := leadershipWithTask(t)
	m := l.state.Machines[attempt.Machine.ID]
	workerToken := l.lease.token
	l.lease.token++
	l.lease.verifyingLeaseUntil = l.lease.env.now + time.Second
	msg := &protocol.WorkerHeartbeat{Machine: m.ID, Type: m.Type, Zone: m.Zone, Epoch: m.Epoch, Sequence: m.Sequence, Token: workerToken}
	l.heartbeats.answerForwardedHeartbeat(requester{id: 79}, msg, protocol.Encode(msg))
	var answer protocol.WorkerHeartbeatReply
	reply, ok := l.controller.outbox.effects[0].(Reply)
	if !ok || protocol.Decode(reply.Body, &answer) != nil || answer.Token != workerToken || len(answer.Commands) > 0 {
		t.Errorf("answered %+v, %+v, want the worker's token %d and no commands", reply, answer, workerToken)
	}
}
