package clusterstate

import "time"

// AgentState is the leader's view of the agent process on a machine. It is derived from the agent's messages:
// heartbeats and answers to direct calls. Messages may arrive late, more than once and in any order.
//
// All times are on the leader's monotonic clock, not on the agent's clock.
type AgentState struct {
	// Epoch, Sequence and Token are the epoch, sequence number and fencing token of the newest message. An
	// agent whose lease has expired continues under a higher epoch. Token is the leader fencing token that the
	// agent held when it sent the message.
	Epoch, Sequence, Token uint64
	// HeartbeatSequence is the sequence number of the newest heartbeat.
	HeartbeatSequence uint64
	// LastSeen is the time at which the newest message arrived. LastAnswered is the time at which the leader
	// last answered a heartbeat.
	LastSeen, LastAnswered time.Duration
	// TokenAcknowledged is set when a message of the agent carries this leader's token, and cleared when the
	// leader establishes that the agent's lease has expired. TokenAcknowledgedAt is the arrival time of the
	// message that last set it; 0 if there was none.
	TokenAcknowledgedAt time.Duration
	TokenAcknowledged   bool
	// Seen is set once a message has arrived in this leader's term.
	Seen bool
	// ExpiredEpoch is the newest epoch that is known to have ended. All older epochs have ended too.
	ExpiredEpoch uint64
	// UndeliveredAnswers scores the evidence that the leader's answers do not reach the agent: one for each
	// heartbeat that still carries an older token after the leader has answered one, and
	// undeliveredAnswersPerExpiry for a lease that expired although the leader had answered.
	UndeliveredAnswers int
	// QuarantinedUntil is the end of the quarantine. Until then no new work is placed on the machine.
	// QuarantineReason is the reason for it.
	QuarantinedUntil time.Duration
	QuarantineReason QuarantineReason
}

// QuarantineReason is the logged reason for the quarantine of a machine.
type QuarantineReason string

// Reasons for a quarantine.
const (
	// QuarantineAnswersLost: the agent's lease expired although the leader had answered its heartbeats.
	QuarantineAnswersLost QuarantineReason = "answers_lost"
	// QuarantineStartRefused: the agent refused to start a task for lack of resources.
	QuarantineStartRefused QuarantineReason = "start_refused"
	// QuarantineRecordRejected: the state service rejected the machine's record.
	QuarantineRecordRejected QuarantineReason = "record_rejected"
	// QuarantineFailureConfirmed: a task that failed on the machine has completed on another machine.
	QuarantineFailureConfirmed QuarantineReason = "failure_confirmed"
)

// QuarantineReasons lists all reasons for a quarantine.
var QuarantineReasons = []QuarantineReason{QuarantineAnswersLost, QuarantineStartRefused, QuarantineRecordRejected, QuarantineFailureConfirmed}

// Quarantine excludes the machine from new work until the given time, unless it is quarantined for longer already.
func (a *AgentState) Quarantine(reason QuarantineReason, until time.Duration) {
	if until > a.QuarantinedUntil {
		a.QuarantinedUntil, a.QuarantineReason = until, reason
	}
}

// HeartbeatHeader is the part of an agent's message that identifies the sender and the message.
type HeartbeatHeader struct {
	Epoch, Sequence, Token uint64
	// Heartbeat is true for a heartbeat and false for an answer to a direct call.
	Heartbeat bool
}

// IsNewest reports whether a message is newer than all messages before it and belongs to an epoch that may
// still be current. Any other message may be a late copy and is no evidence of anything, not even that the
// agent is alive.
func (a *AgentState) IsNewest(msg HeartbeatHeader) bool {
	older := msg.Epoch < a.Epoch || msg.Epoch == a.Epoch && msg.Sequence <= a.Sequence
	return !older && msg.Epoch > a.ExpiredEpoch
}

const (
	// undeliveredAnswersPerExpiry is the number of undelivered answers that a lease counts for when it expires
	// although the leader has answered.
	undeliveredAnswersPerExpiry = 3
	// quarantineLeases is the duration of a quarantine after such an expiry, in agent leases.
	quarantineLeases = 2
)

// Observation is the evidence that the newest message of an agent gives.
type Observation struct {
	// LeaseExpired is set if the agent's lease expired since the previous message.
	LeaseExpired bool
	// AnswersUndelivered is set if the lease expired although the leader had answered less than half a lease ago.
	AnswersUndelivered bool
	// HasLeaderToken is set if the message carries a token of this leader. FirstLeaderToken is set if the message
	// sets TokenAcknowledged: it is the first with the token in this term, or since a lease expiry.
	HasLeaderToken, FirstLeaderToken bool
}

// RecordMessage records a message for which IsNewest returns true and whose token is not a later leader's. token is the
// lowest fencing token of this leader, lease the duration of an agent's lease.
func (a *AgentState) RecordMessage(msg HeartbeatHeader, token uint64, now, lease time.Duration) Observation {
	observation := Observation{LeaseExpired: a.Seen && msg.Epoch > a.Epoch, HasLeaderToken: msg.Token >= token}
	// The leader's answers do not reach the agent if its lease expired although the leader answered
	// recently, or if several heartbeats in a row still carry an older token after an answer.
	switch {
	case observation.LeaseExpired && a.LastAnswered > 0 && now-a.LastAnswered < lease/2:
		observation.AnswersUndelivered = true
		a.UndeliveredAnswers += undeliveredAnswersPerExpiry
		a.Quarantine(QuarantineAnswersLost, now+quarantineLeases*lease)
	case msg.Heartbeat && a.LastAnswered > 0 && msg.Token < token:
		a.UndeliveredAnswers++
	case observation.HasLeaderToken && !observation.LeaseExpired && now > a.QuarantinedUntil:
		a.UndeliveredAnswers = 0
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
