package clusterstate

import (
	"testing"
	"time"
)

// Late copies, reordered answers and messages of ended epochs are not taken for the newest message.
func TestIsNewest(t *testing.T) {
	newest := HeartbeatHeader{Epoch: 2, Sequence: 10, Token: 4, Heartbeat: true}
	for _, tc := range []struct {
		name            string
		expiredEpoch    uint64
		epoch, sequence uint64
		want            bool
	}{
		{"next message of the epoch", 0, 2, 11, true},
		{"the same message again", 0, 2, 10, false},
		{"an older message of the epoch", 0, 2, 9, false},
		{"an older epoch", 0, 1, 99, false},
		{"the next epoch", 0, 3, 1, true},
		{"next message of an expired epoch", 2, 2, 11, false},
		{"the same message of an expired epoch", 2, 2, 10, false},
		{"an epoch before the expired one", 2, 1, 99, false},
		{"the epoch after the expired one", 2, 3, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			agent := &AgentState{}
			agent.RecordMessage(newest, 5, time.Second, 10*time.Second)
			agent.ExpiredEpoch = tc.expiredEpoch
			if got := agent.IsNewest(HeartbeatHeader{Epoch: tc.epoch, Sequence: tc.sequence}); got != tc.want {
				t.Errorf("IsNewest returns %v", got)
			}
		})
	}
}

// Undelivered answers are counted for an agent that keeps sending an older token, and for an agent whose lease expires
// although the leader has answered. The count is reset once the agent sends the leader's token.
func TestUndeliveredAnswers(t *testing.T) {
	const lease, token, olderToken = 10 * time.Second, 5, 4
	agent := &AgentState{}
	heartbeat := func(epoch, sequence, shown uint64, now time.Duration) Observation {
		return agent.RecordMessage(HeartbeatHeader{Epoch: epoch, Sequence: sequence, Token: shown, Heartbeat: true}, token, now, lease)
	}
	first := heartbeat(1, 1, olderToken, time.Second)
	if first.FirstLeaderToken || first.HasLeaderToken || agent.UndeliveredAnswers != 0 {
		t.Errorf("first heartbeat: %+v, %d undelivered answers", first, agent.UndeliveredAnswers)
	}
	agent.LastAnswered = time.Second
	heartbeat(1, 2, olderToken, 2*time.Second)
	answer := HeartbeatHeader{Epoch: 1, Sequence: 3, Token: olderToken} // to a direct call
	agent.RecordMessage(answer, token, 2*time.Second, lease)
	if agent.UndeliveredAnswers != 1 || agent.HeartbeatSequence != 2 {
		t.Errorf("%d undelivered answers, last heartbeat has sequence number %d", agent.UndeliveredAnswers, agent.HeartbeatSequence)
	}
	if got := heartbeat(1, 4, token, 3*time.Second); !got.FirstLeaderToken || agent.UndeliveredAnswers != 0 || agent.TokenAcknowledgedAt != 3*time.Second {
		t.Errorf("heartbeat with the leader's token: %+v, %d undelivered answers", got, agent.UndeliveredAnswers)
	}
	agent.LastAnswered = 3 * time.Second
	if got := heartbeat(2, 5, token, 7*time.Second); !got.LeaseExpired || !got.AnswersUndelivered || agent.UndeliveredAnswers != undeliveredAnswersPerExpiry || agent.QuarantinedUntil != 27*time.Second {
		t.Errorf("lease expired although the leader answered: %+v, %+v", got, agent)
	}
	if got := heartbeat(3, 6, token, 40*time.Second); !got.LeaseExpired || got.AnswersUndelivered {
		t.Errorf("lease expired without a recent answer: %+v", got)
	}
}
