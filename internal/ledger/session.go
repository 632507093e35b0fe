package ledger

import "time"

// WorkerSession is what is known of a worker's session by its messages: reports and answers to direct
// requests, which may come late, twice and in any order.
type WorkerSession struct {
	// The newest message: its session and sequence number, the token it had.
	Session, Seq, Token uint64
	ReportSeq           uint64 // of the newest report
	Heard, Answered     time.Duration
	FreshAt             time.Duration // when it first showed our token
	Fresh               bool
	Known               bool // heard of in this term
	// DeadSession and older ones are proved over.
	DeadSession   uint64
	UnseenAnswers int // answered reports that show an old token, or lapses
	AsideUntil    time.Duration
}

// SessionMessage is what a message says of its sender's session.
type SessionMessage struct {
	Session, Seq, Token uint64
	// Report: it is one, not an answer to a direct request.
	Report bool
}

// IsNewest says whether a message is newer than all before: others are no evidence and no sign of life.
func (s *WorkerSession) IsNewest(msg SessionMessage) bool {
	older := msg.Session < s.Session || msg.Session == s.Session && msg.Seq <= s.Seq
	return !older && msg.Session > s.DeadSession
}

// Ratios of a worker that does not hear us.
const (
	// unseenByLapse is how many unseen answers a lapsed session counts for.
	unseenByLapse = 3
	// asideLeases is how long such a machine is set aside.
	asideLeases = 2
)

// Sign is what a newest message shows.
type Sign struct {
	// Lapsed: the worker's lease ran out since the last one.
	Lapsed bool
	// Unheard: it did though we answered all the while.
	Unheard bool
	// Ours: it shows our token; First: for the first time in this term.
	Ours, First bool
}

// Take takes a newest message, under a leader's token and the workers' lease.
func (s *WorkerSession) Take(msg SessionMessage, token uint64, now, lease time.Duration) Sign {
	sign := Sign{Lapsed: s.Known && msg.Session > s.Session, Ours: msg.Token == token}
	// Answers are lost: its session lapsed although we answered all the while, or
	// several answered reports in a row still show an old token.
	switch {
	case sign.Lapsed && s.Answered > 0 && now-s.Answered < lease/2:
		sign.Unheard = true
		s.UnseenAnswers += unseenByLapse
		s.AsideUntil = now + asideLeases*lease
	case msg.Report && s.Answered > 0 && msg.Token < token:
		s.UnseenAnswers++
	case sign.Ours && !sign.Lapsed && now > s.AsideUntil:
		s.UnseenAnswers = 0
	}
	s.Session, s.Seq, s.Token = msg.Session, msg.Seq, msg.Token
	if msg.Report {
		s.ReportSeq = msg.Seq
	}
	s.Heard, s.Known = now, true
	if sign.Ours && !s.Fresh {
		s.Fresh, s.FreshAt, sign.First = true, now, true
	}
	return sign
}
