package ledger

import (
	"testing"
	"time"
)

// Late copies, reordered answers and messages of sessions that are over are no evidence.
func TestNewestMessages(t *testing.T) {
	s := &WorkerSession{}
	s.Take(SessionMessage{Session: 2, Seq: 10, Token: 4, Report: true}, 5, time.Second, 10*time.Second)
	s.DeadSession = 2
	for _, tc := range []struct {
		session, seq uint64
		newest       bool
	}{{2, 11, false}, {3, 1, true}, {1, 99, false}, {2, 10, false}} {
		if got := s.IsNewest(SessionMessage{Session: tc.session, Seq: tc.seq}); got != tc.newest {
			t.Errorf("session %d, message %d: newest %v", tc.session, tc.seq, got)
		}
	}
	s.DeadSession = 0
	for _, tc := range []struct {
		session, seq uint64
		newest       bool
	}{{2, 11, true}, {2, 10, false}, {2, 9, false}, {1, 99, false}, {3, 1, true}} {
		if got := s.IsNewest(SessionMessage{Session: tc.session, Seq: tc.seq}); got != tc.newest {
			t.Errorf("session %d, message %d: newest %v", tc.session, tc.seq, got)
		}
	}
}

// A worker that shows an old token again and again, or whose lease lapses though it was answered, does not
// hear us; one that shows ours does.
func TestWorkerThatDoesNotHear(t *testing.T) {
	const lease, token = 10 * time.Second, 5
	s := &WorkerSession{}
	first := s.Take(SessionMessage{Session: 1, Seq: 1, Token: 4, Report: true}, token, time.Second, lease)
	if first.First || first.Ours || s.UnseenAnswers != 0 {
		t.Errorf("the first report: %+v, %d unseen", first, s.UnseenAnswers)
	}
	s.Answered = time.Second
	s.Take(SessionMessage{Session: 1, Seq: 2, Token: 4, Report: true}, token, 2*time.Second, lease)
	s.Take(SessionMessage{Session: 1, Seq: 3, Token: 4}, token, 2*time.Second, lease) // an answer, no report
	if s.UnseenAnswers != 1 || s.ReportSeq != 2 {
		t.Errorf("%d unseen, last report %d", s.UnseenAnswers, s.ReportSeq)
	}
	if sign := s.Take(SessionMessage{Session: 1, Seq: 4, Token: token, Report: true}, token, 3*time.Second, lease); !sign.First || s.UnseenAnswers != 0 || s.FreshAt != 3*time.Second {
		t.Errorf("it hears: %+v, %d unseen", sign, s.UnseenAnswers)
	}
	s.Answered = 3 * time.Second
	if sign := s.Take(SessionMessage{Session: 2, Seq: 5, Token: token, Report: true}, token, 7*time.Second, lease); !sign.Lapsed || !sign.Unheard || s.UnseenAnswers != unseenByLapse || s.AsideUntil != 27*time.Second {
		t.Errorf("lapsed though it was answered: %+v, %+v", sign, s)
	}
	if sign := s.Take(SessionMessage{Session: 3, Seq: 6, Token: token, Report: true}, token, 40*time.Second, lease); !sign.Lapsed || sign.Unheard {
		t.Errorf("lapsed as nobody answered: %+v", sign)
	}
}
