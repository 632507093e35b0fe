package clusterstate

import "time"

// AgentState is what is known of a worker's session by its messages: reports and answers to direct
// requests, which may come late, twice and in any order.
type AgentState struct {
	// The newest message: its session and sequence number, the token it had.
	Epoch, Sequence, Token uint64
	HeartbeatSequence      uint64 // of the newest report
	LastSeen, LastAnswered time.Duration
	TokenAcknowledgedAt    time.Duration // when it first showed our token
	TokenAcknowledged      bool
	Seen                   bool // heard of in this term
	// ExpiredEpoch and older ones are proved over.
	ExpiredEpoch     uint64
	UnseenAnswers    int // answered reports that show an old token, or lapses
	QuarantinedUntil time.Duration
}

// HeartbeatHeader is what a message says of its sender's session.
type HeartbeatHeader struct {
	Epoch, Sequence, Token uint64
	// Heartbeat: it is one, not an answer to a direct request.
	Heartbeat bool
}

// IsNewest says whether a message is newer than all before: others are no evidence and no sign of life.
func (a *AgentState) IsNewest(msg HeartbeatHeader) bool {
	older := msg.Epoch < a.Epoch || msg.Epoch == a.Epoch && msg.Sequence <= a.Sequence
	return !older && msg.Epoch > a.ExpiredEpoch
}

// Ratios of a worker that does not hear us.
const (
	// unseenAnswersPerExpiry is how many unseen answers a lapsed session counts for.
	unseenAnswersPerExpiry = 3
	// quarantineLeases is how long such a machine is set aside.
	quarantineLeases = 2
)

// Observation is what a newest message shows.
type Observation struct {
	// LeaseExpired: the worker's lease ran out since the last one.
	LeaseExpired bool
	// AnswersLost: it did though we answered all the while.
	AnswersLost bool
	// ShowsToken: it shows our token; First: for the first time in this term.
	ShowsToken, FirstToken bool
}

// Apply takes a newest message, under a leader's token and the workers' lease.
func (a *AgentState) Apply(msg HeartbeatHeader, token uint64, now, lease time.Duration) Observation {
	sign := Observation{LeaseExpired: a.Seen && msg.Epoch > a.Epoch, ShowsToken: msg.Token == token}
	// Answers are lost: its session lapsed although we answered all the while, or
	// several answered reports in a row still show an old token.
	switch {
	case sign.LeaseExpired && a.LastAnswered > 0 && now-a.LastAnswered < lease/2:
		sign.AnswersLost = true
		a.UnseenAnswers += unseenAnswersPerExpiry
		a.QuarantinedUntil = now + quarantineLeases*lease
	case msg.Heartbeat && a.LastAnswered > 0 && msg.Token < token:
		a.UnseenAnswers++
	case sign.ShowsToken && !sign.LeaseExpired && now > a.QuarantinedUntil:
		a.UnseenAnswers = 0
	}
	a.Epoch, a.Sequence, a.Token = msg.Epoch, msg.Sequence, msg.Token
	if msg.Heartbeat {
		a.HeartbeatSequence = msg.Sequence
	}
	a.LastSeen, a.Seen = now, true
	if sign.ShowsToken && !a.TokenAcknowledged {
		a.TokenAcknowledged, a.TokenAcknowledgedAt, sign.FirstToken = true, now, true
	}
	return sign
}
