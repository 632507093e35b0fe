package clusterstate

import "time"

// AgentState is what the leader knows of the agent process on a machine from the agent's messages:
// heartbeats and answers to direct calls. Messages may arrive late, more than once and in any order.
//
// All times are on the leader's own clock (Controller.now), not on the agent's.
type AgentState struct {
	// Epoch, Sequence and Token are those of the newest message. An agent whose lease has expired goes on
	// under a higher epoch. The token is the leader's fencing token that the agent knew when it sent the
	// message.
	Epoch, Sequence, Token uint64
	// HeartbeatSequence is the sequence number of the newest heartbeat.
	HeartbeatSequence uint64
	// LastSeen is when the newest message arrived, LastAnswered when the leader last answered a
	// heartbeat.
	LastSeen, LastAnswered time.Duration
	// TokenAcknowledgedAt is when the agent first showed this leader's token.
	TokenAcknowledgedAt time.Duration
	TokenAcknowledged   bool
	// Seen is set once a message has arrived in this leader's term.
	Seen bool
	// ExpiredEpoch is the newest epoch that is proved over; all older ones are over too.
	ExpiredEpoch uint64
	// UnseenAnswers counts the evidence that the leader's answers do not reach the agent: one for each
	// answered heartbeat with an older token, unseenAnswersPerExpiry for an expired lease.
	UnseenAnswers int
	// QuarantinedUntil is until when the machine gets no new work.
	QuarantinedUntil time.Duration
}

// HeartbeatHeader is the part of an agent's message that identifies the sender and the message.
type HeartbeatHeader struct {
	Epoch, Sequence, Token uint64
	// Heartbeat is set for a heartbeat, and not for an answer to a direct call.
	Heartbeat bool
}

// IsNewest reports whether a message is newer than all before it and of an epoch that may still be
// current. Any other message proves nothing, not even that the agent is alive.
func (a *AgentState) IsNewest(msg HeartbeatHeader) bool {
	older := msg.Epoch < a.Epoch || msg.Epoch == a.Epoch && msg.Sequence <= a.Sequence
	return !older && msg.Epoch > a.ExpiredEpoch
}

const (
	// unseenAnswersPerExpiry is how many unseen answers a lease that expired in spite of the leader's
	// answers counts for.
	unseenAnswersPerExpiry = 3
	// quarantineLeases is for how many agent leases a machine with such an agent is quarantined.
	quarantineLeases = 2
)

// Observation is what a newest message shows.
type Observation struct {
	// LeaseExpired: the agent's lease expired since the message before.
	LeaseExpired bool
	// RepliesLost: it expired although the leader had answered less than half a lease ago.
	AnswersLost bool
	// HasLeaderToken: the agent has this leader's token. FirstLeaderToken: for the first time in this term.
	HasLeaderToken, FirstLeaderToken bool
}

// RecordMessage records a message for which IsNewest holds. token is the leader's own, lease the length of an
// agent's lease.
func (a *AgentState) RecordMessage(msg HeartbeatHeader, token uint64, now, lease time.Duration) Observation {
	observation := Observation{LeaseExpired: a.Seen && msg.Epoch > a.Epoch, HasLeaderToken: msg.Token == token}
	// The answers are lost if the lease expired although the leader answered all the while, or if
	// several answered heartbeats in a row still show an older token.
	switch {
	case observation.LeaseExpired && a.LastAnswered > 0 && now-a.LastAnswered < lease/2:
		observation.AnswersLost = true
		a.UnseenAnswers += unseenAnswersPerExpiry
		a.QuarantinedUntil = now + quarantineLeases*lease
	case msg.Heartbeat && a.LastAnswered > 0 && msg.Token < token:
		a.UnseenAnswers++
	case observation.HasLeaderToken && !observation.LeaseExpired && now > a.QuarantinedUntil:
		a.UnseenAnswers = 0
	}
	a.Epoch, a.Sequence, a.Token = msg.Epoch, msg.Sequence, msg.Token
	if msg.Heartbeat {
		a.HeartbeatSequence = msg.Sequence
	}
	a.LastSeen, a.Seen = now, true
	if observation.HasLeaderToken && !a.TokenAcknowledged {
		a.TokenAcknowledged, a.TokenAcknowledgedAt, observation.FirstLeaderToken = true, now, true
	}
	return observation
}
