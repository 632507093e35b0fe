package controller

import (
	"testing"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// recordedOutcomes records the outcomes of a reconciliation by task name.
type recordedOutcomes struct {
	absent, exits, runs, unknown []string
}

func (r *recordedOutcomes) onExit(_ *clusterstate.Machine, key clusterstate.AttemptKey, _ protocol.TaskStatus) {
	r.exits = append(r.exits, key.Task)
}

func (r *recordedOutcomes) onRunning(_ *clusterstate.Machine, a *clusterstate.Attempt) {
	r.runs = append(r.runs, a.Key().Task)
}

func (r *recordedOutcomes) adoptUnknownAttempt(_ *clusterstate.Machine, key clusterstate.AttemptKey) *clusterstate.Attempt {
	r.unknown = append(r.unknown, key.Task)
	return nil
}

func (r *recordedOutcomes) onAbsent(a *clusterstate.Attempt, _ absenceProof) {
	r.absent = append(r.absent, a.Key().Task)
}

// TestAbsenceProofs covers each proof that an attempt is absent from its machine, and the cases that are no proof.
func TestAbsenceProofs(t *testing.T) {
	for name, tc := range map[string]struct {
		attempt clusterstate.Attempt
		ours    bool
		proved  bool
	}{
		"our token, its run was acknowledged":            {clusterstate.Attempt{Sent: true, Acknowledged: true, Epoch: 2}, true, true},
		"an older token":                                 {clusterstate.Attempt{Sent: true, Acknowledged: true, Epoch: 2}, false, false},
		"our token, its run was not acknowledged":        {clusterstate.Attempt{Sent: true, Epoch: 2}, true, false},
		"our token, a direct run is in flight":           {clusterstate.Attempt{Sent: true, Acknowledged: true, Epoch: 2, RunsInFlight: 1}, true, false},
		"a later epoch":                                  {clusterstate.Attempt{Sent: true, Epoch: 1}, false, true},
		"a later epoch, run by an earlier leader":        {clusterstate.Attempt{Sent: true, Loaded: true, Epoch: 1}, false, false},
		"our token, run by an earlier leader":            {clusterstate.Attempt{Sent: true, Loaded: true, Epoch: 1}, true, true},
		"its run was not sent":                           {clusterstate.Attempt{Acknowledged: true, Epoch: 1}, true, false},
		"stop requested, a heartbeat after the reply":    {clusterstate.Attempt{Sent: true, StopRequested: true, RunSequence: 6, Epoch: 2}, true, true},
		"stop requested, the heartbeat before the reply": {clusterstate.Attempt{Sent: true, StopRequested: true, RunSequence: 7, Epoch: 2}, true, false},
		"stop requested, a direct run had no reply":      {clusterstate.Attempt{Sent: true, StopRequested: true, RunUnanswered: true, RunSequence: 6, Epoch: 2}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			state := clusterstate.New(16<<10, 16<<10)
			j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 1, Cores: 1}, 0)
			m := state.AddMachine("i-1")
			m.Epoch, m.HeartbeatSequence = 2, 7
			a := state.AddAttempt(m, j, 0, 1, 0)
			a.Sent, a.Acknowledged, a.Loaded, a.StopRequested, a.RunUnanswered = tc.attempt.Sent, tc.attempt.Acknowledged, tc.attempt.Loaded, tc.attempt.StopRequested, tc.attempt.RunUnanswered
			a.Epoch, a.RunSequence, a.RunsInFlight = tc.attempt.Epoch, tc.attempt.RunSequence, tc.attempt.RunsInFlight
			var outcomes recordedOutcomes
			reconcile(m, &protocol.WorkerHeartbeat{Machine: "i-1", Epoch: 2}, tc.ours, &outcomes)
			if got := len(outcomes.absent) > 0; got != tc.proved {
				t.Errorf("attempt proved absent: %v", got)
			}
		})
	}
}

// TestReconciliationOfReportedTasks checks that each task in a heartbeat has the outcome of its reported state, and
// that none of them counts as absent.
func TestReconciliationOfReportedTasks(t *testing.T) {
	state := clusterstate.New(16<<10, 16<<10)
	j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 2, Cores: 1}, 0)
	m := state.AddMachine("i-1")
	m.Epoch = 1
	for i := range 2 {
		a := state.AddAttempt(m, j, i, 1, 0)
		a.Sent, a.Acknowledged, a.Epoch = true, true, 1
	}
	var outcomes recordedOutcomes
	reconcile(m, &protocol.WorkerHeartbeat{Machine: "i-1", Epoch: 1, Tasks: []protocol.TaskStatus{
		{Task: "j-1/0", Attempt: 1, State: protocol.TaskRunning},
		{Task: "j-1/1", Attempt: 1, State: protocol.TaskExited, Cause: protocol.CauseDone},
		{Task: "j-9/0", Attempt: 1, State: protocol.TaskRunning},
	}}, true, &outcomes)
	if len(outcomes.absent) > 0 || len(outcomes.exits) != 1 || len(outcomes.runs) != 1 || len(outcomes.unknown) != 1 {
		t.Errorf("outcomes: %+v", outcomes)
	}
}
