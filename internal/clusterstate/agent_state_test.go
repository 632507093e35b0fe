package clusterstate

import (
	"testing"
	"time"
)

// Late copies, reordered answers and messages of sessions that are over are no evidence.
func TestNewestMessages(t *testing.T) {
	s := &AgentState{}
	s.Apply(HeartbeatHeader{Epoch: 2, Sequence: 10, Token: 4, Heartbeat: true}, 5, time.Second, 10*time.Second)
	s.ExpiredEpoch = 2
	for _, tc := range []struct {
		session, seq uint64
		newest       bool
	}{{2, 11, false}, {3, 1, true}, {1, 99, false}, {2, 10, false}} {
		if got := s.IsNewest(HeartbeatHeader{Epoch: tc.session, Sequence: tc.seq}); got != tc.newest {
			t.Errorf("session %d, message %d: newest %v", tc.session, tc.seq, got)
		}
	}
	s.ExpiredEpoch = 0
	for _, tc := range []struct {
		session, seq uint64
		newest       bool
	}{{2, 11, true}, {2, 10, false}, {2, 9, false}, {1, 99, false}, {3, 1, true}} {
		if got := s.IsNewest(HeartbeatHeader{Epoch: tc.session, Sequence: tc.seq}); got != tc.newest {
			t.Errorf("session %d, message %d: newest %v", tc.session, tc.seq, got)
		}
	}
}

// A worker that shows an old token again and again, or whose lease lapses though it was answered, does not
// hear us; one that shows ours does.
func TestAnswersThatDoNotReachTheAgent(t *testing.T) {
	const lease, token = 10 * time.Second, 5
	s := &AgentState{}
	first := s.Apply(HeartbeatHeader{Epoch: 1, Sequence: 1, Token: 4, Heartbeat: true}, token, time.Second, lease)
	if first.FirstToken || first.ShowsToken || s.UnseenAnswers != 0 {
		t.Errorf("the first report: %+v, %d unseen", first, s.UnseenAnswers)
	}
	s.LastAnswered = time.Second
	s.Apply(HeartbeatHeader{Epoch: 1, Sequence: 2, Token: 4, Heartbeat: true}, token, 2*time.Second, lease)
	s.Apply(HeartbeatHeader{Epoch: 1, Sequence: 3, Token: 4}, token, 2*time.Second, lease) // an answer, no report
	if s.UnseenAnswers != 1 || s.HeartbeatSequence != 2 {
		t.Errorf("%d unseen, last report %d", s.UnseenAnswers, s.HeartbeatSequence)
	}
	if sign := s.Apply(HeartbeatHeader{Epoch: 1, Sequence: 4, Token: token, Heartbeat: true}, token, 3*time.Second, lease); !sign.FirstToken || s.UnseenAnswers != 0 || s.TokenAcknowledgedAt != 3*time.Second {
		t.Errorf("it hears: %+v, %d unseen", sign, s.UnseenAnswers)
	}
	s.LastAnswered = 3 * time.Second
	if sign := s.Apply(HeartbeatHeader{Epoch: 2, Sequence: 5, Token: token, Heartbeat: true}, token, 7*time.Second, lease); !sign.LeaseExpired || !sign.AnswersLost || s.UnseenAnswers != unseenAnswersPerExpiry || s.QuarantinedUntil != 27*time.Second {
		t.Errorf("lapsed though it was answered: %+v, %+v", sign, s)
	}
	if sign := s.Apply(HeartbeatHeader{Epoch: 3, Sequence: 6, Token: token, Heartbeat: true}, token, 40*time.Second, lease); !sign.LeaseExpired || sign.AnswersLost {
		t.Errorf("lapsed as nobody answered: %+v", sign)
	}
}
