package coordination

import (
	"testing"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
)

// notedOutcomes notes what a comparison finds.
type notedOutcomes struct {
	gones, exits, runs, unknown []string
}

func (n *notedOutcomes) onExit(_ *ledger.Machine, key ledger.Key, _ protocol.TaskReport) {
	n.exits = append(n.exits, key.Task)
}

func (n *notedOutcomes) onRunning(_ *ledger.Machine, a *ledger.Attempt) {
	n.runs = append(n.runs, a.Key().Task)
}

func (n *notedOutcomes) adoptUnknown(_ *ledger.Machine, key ledger.Key) *ledger.Attempt {
	n.unknown = append(n.unknown, key.Task)
	return nil
}

func (n *notedOutcomes) gone(a *ledger.Attempt, _ goneReason) {
	n.gones = append(n.gones, a.Key().Task)
}

// Each proof of absence alone, and what is none.
func TestWhatProvesAbsence(t *testing.T) {
	for name, tc := range map[string]struct {
		attempt ledger.Attempt
		ours    bool
		proved  bool
	}{
		"our token, its run was answered":             {ledger.Attempt{Sent: true, Acked: true, Session: 2}, true, true},
		"an older token":                              {ledger.Attempt{Sent: true, Acked: true, Session: 2}, false, false},
		"our token, its run was not answered":         {ledger.Attempt{Sent: true, Session: 2}, true, false},
		"our token, a direct run is under way":        {ledger.Attempt{Sent: true, Acked: true, Session: 2, Flying: 1}, true, false},
		"a later session":                             {ledger.Attempt{Sent: true, Session: 1}, false, true},
		"a later session, of an earlier leader":       {ledger.Attempt{Sent: true, Loaded: true, Session: 1}, false, false},
		"our token, of an earlier leader":             {ledger.Attempt{Sent: true, Loaded: true, Session: 1}, true, true},
		"its run was not sent":                        {ledger.Attempt{Acked: true, Session: 1}, true, false},
		"to be stopped, a report after the answer":    {ledger.Attempt{Sent: true, Halt: true, RunSeq: 6, Session: 2}, true, true},
		"to be stopped, the report before the answer": {ledger.Attempt{Sent: true, Halt: true, RunSeq: 7, Session: 2}, true, false},
		"to be stopped, a direct run had no answer":   {ledger.Attempt{Sent: true, Halt: true, Lost: true, RunSeq: 6, Session: 2}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			book := ledger.New(16<<10, 16<<10)
			j := book.AddJob(&protocol.Spec{UID: "j-1", Tasks: 1, Cores: 1}, 0)
			m := book.AddMachine("i-1")
			m.Session, m.ReportSeq = 2, 7
			a := book.Put(m, j, 0, 1, 0)
			a.Sent, a.Acked, a.Loaded, a.Halt, a.Lost = tc.attempt.Sent, tc.attempt.Acked, tc.attempt.Loaded, tc.attempt.Halt, tc.attempt.Lost
			a.Session, a.RunSeq, a.Flying = tc.attempt.Session, tc.attempt.RunSeq, tc.attempt.Flying
			var noted notedOutcomes
			compareWithLedger(m, &protocol.Report{Machine: "i-1", Session: 2}, tc.ours, &noted)
			if got := len(noted.gones) > 0; got != tc.proved {
				t.Errorf("proved gone %v", got)
			}
		})
	}
}

// What a message names is told as what it is, and none of it is taken for gone.
func TestWhatAMessageNames(t *testing.T) {
	book := ledger.New(16<<10, 16<<10)
	j := book.AddJob(&protocol.Spec{UID: "j-1", Tasks: 2, Cores: 1}, 0)
	m := book.AddMachine("i-1")
	m.Session = 1
	for i := range 2 {
		a := book.Put(m, j, i, 1, 0)
		a.Sent, a.Acked, a.Session = true, true, 1
	}
	var noted notedOutcomes
	compareWithLedger(m, &protocol.Report{Machine: "i-1", Session: 1, Tasks: []protocol.TaskReport{
		{Task: "j-1/0", Attempt: 1, State: protocol.Running},
		{Task: "j-1/1", Attempt: 1, State: protocol.Exited, Cause: protocol.CauseDone},
		{Task: "j-9/0", Attempt: 1, State: protocol.Running},
	}}, true, &noted)
	if len(noted.gones) > 0 || len(noted.exits) != 1 || len(noted.runs) != 1 || len(noted.unknown) != 1 {
		t.Errorf("%+v", noted)
	}
}
