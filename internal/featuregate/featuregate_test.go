package featuregate

import (
	"testing"
	"time"
)

const (
	settleTime          = time.Second
	olderProgramTimeout = 10 * time.Second
	backOffTime         = 60 * time.Second
)

var ready = Statement{ReadsUpTo: 1, WritesUpTo: 1}

func newGate(stored State, own Statement) *Gate {
	return New(Settings{Version: 1, Self: "n0", Peers: []string{"n1", "n2"}, OwnStatement: own, TransactionsFit: true,
		SettleTime: settleTime, OlderProgramTimeout: olderProgramTimeout, BackOff: backOffTime}, stored)
}

// sendHeartbeats records each peer's statement three times per settle time, for the duration lasts. It returns the end
// of that period.
func sendHeartbeats(g *Gate, from, lasts time.Duration, statements map[string]*Statement) time.Duration {
	for at := from; at < from+lasts; at += settleTime / 3 {
		for label, s := range statements {
			g.RecordStatement(at, label, "first", s)
		}
	}
	return from + lasts
}

func both(s *Statement) map[string]*Statement { return map[string]*Statement{"n1": s, "n2": s} }

// Each cause keeps a closed gate closed, and is reported with the label of the controller to which it applies.
func TestObstaclesOfAClosedGate(t *testing.T) {
	readsNothing := &Statement{}
	for _, tc := range []struct {
		name       string
		own        Statement
		statements map[string]*Statement
		want       Obstacle
	}{
		{"all state the version", ready, both(&ready), Obstacle{}},
		{"all state later versions too", ready, both(&Statement{ReadsUpTo: 9, WritesUpTo: 9}), Obstacle{}},
		{"one sends no messages", ready, map[string]*Statement{"n1": &ready}, Obstacle{"n2", NoMessage}},
		{"one has no statement", ready, map[string]*Statement{"n1": nil, "n2": &ready}, Obstacle{"n1", NoStatement}},
		{"one does not read the version", ready, map[string]*Statement{"n1": readsNothing, "n2": &ready}, Obstacle{"n1", CannotRead}},
		{"one has the feature off", ready, map[string]*Statement{"n1": {ReadsUpTo: 1}, "n2": &ready}, Obstacle{"n1", FeatureOff}},
		{"one holds the gate closed", ready, map[string]*Statement{"n1": &ready, "n2": {ReadsUpTo: 1, WritesUpTo: 1, HoldClosed: true}}, Obstacle{"n2", HeldClosed}},
		{"the leader holds the gate closed", Statement{ReadsUpTo: 1, WritesUpTo: 1, HoldClosed: true}, both(&ready), Obstacle{"n0", HeldClosed}},
		{"a label that is not in the settings does not count", ready, map[string]*Statement{"n1": &ready, "n9": &ready}, Obstacle{"n2", NoMessage}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGate(Closed, tc.own)
			now := sendHeartbeats(g, 0, settleTime+settleTime/3, tc.statements)
			action := g.NextAction(now-settleTime/3, true)
			if g.Obstacle() != tc.want || (action == StoreOpen) != (tc.want == Obstacle{}) {
				t.Errorf("obstacle %q, want %q; action %d", g.Obstacle(), tc.want, action)
			}
		})
	}
}

// The gate opens only after each controller has stated the version for the settle time, without a gap and by the same
// process.
func TestGateOpensAfterSettleTime(t *testing.T) {
	for name, disturb := range map[string]func(g *Gate, at time.Duration){
		"a new process": func(g *Gate, at time.Duration) { g.RecordStatement(at, "n1", "second", &ready) },
		"one statement with hold": func(g *Gate, at time.Duration) {
			g.RecordStatement(at, "n1", "first", &Statement{ReadsUpTo: 1, WritesUpTo: 1, HoldClosed: true})
		},
		"one message without a statement": func(g *Gate, at time.Duration) { g.RecordStatement(at, "n1", "first", nil) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate(Closed, ready)
			at := sendHeartbeats(g, 0, settleTime-settleTime/3, both(&ready))
			disturb(g, at)
			at = sendHeartbeats(g, at+settleTime/3, settleTime/3, both(&ready))
			if g.NextAction(at, true) != NoAction {
				t.Error("the gate opens before the statements have settled")
			}
			if at = sendHeartbeats(g, at, 2*settleTime, both(&ready)); g.NextAction(at, true) != StoreOpen {
				t.Errorf("the gate does not open after the settle time: %s", g.Obstacle())
			}
		})
	}
	t.Run("a gap", func(t *testing.T) {
		g := newGate(Closed, ready)
		sendHeartbeats(g, 0, settleTime, both(&ready))
		at := sendHeartbeats(g, 3*settleTime, settleTime/3, both(&ready))
		if g.NextAction(at, true) != NoAction {
			t.Error("the gate opens directly after a gap")
		}
	})
}

// Each state takes effect only once it is stored. The gate does not close before all records are compacted, and does
// not open again before the back-off has passed.
func TestStatesAreStoredInOrder(t *testing.T) {
	g := newGate(Closed, ready)
	now := sendHeartbeats(g, 0, 2*settleTime, both(&ready))
	if g.NextAction(now, true) != StoreOpen || g.State() != Opening || g.MayWrite() || g.NextAction(now, true) != NoAction {
		t.Fatal(g.State())
	}
	g.ActionStored(now)
	if !g.MayWrite() || g.NextAction(now, false) != NoAction {
		t.Fatal(g.State())
	}
	now = sendHeartbeats(g, now, 2*settleTime, map[string]*Statement{"n1": &ready, "n2": {ReadsUpTo: 1, WritesUpTo: 1, HoldClosed: true}})
	if g.NextAction(now, false) != StoreClosing || g.MayWrite() || g.Obstacle() != (Obstacle{"n2", HeldClosed}) {
		t.Fatal(g.State(), g.Obstacle())
	}
	if g.NextAction(now, true) != NoAction {
		t.Fatal("the gate closes before Closing is stored")
	}
	g.ActionStored(now)
	if g.NextAction(now, false) != NoAction {
		t.Fatal("the gate closes before all records are compacted")
	}
	if g.NextAction(now, true) != StoreClosed || g.State() != Closing {
		t.Fatal(g.State())
	}
	g.ActionStored(now)
	closed := now
	now = sendHeartbeats(g, now, backOffTime-settleTime, both(&ready))
	if g.State() != Closed || g.NextAction(now, true) != NoAction || g.Obstacle().Cause != RecentlyClosed {
		t.Fatal(g.State(), g.Obstacle())
	}
	now = sendHeartbeats(g, now, 2*settleTime, both(&ready))
	if now < closed+backOffTime || g.NextAction(now, true) != StoreOpen {
		t.Fatal("the gate does not open again, or opens before the back-off has passed")
	}
	g.ActionRefused(now)
	if g.State() != Closed || g.NextAction(now, true) != NoAction {
		t.Fatal("a refused action is returned again without a back-off")
	}
}

// A new leader begins with the stored state: an open gate stays open, and a closing is continued.
func TestFailover(t *testing.T) {
	t.Run("open", func(t *testing.T) {
		if !newGate(Open, ready).MayWrite() {
			t.Error("the gate is not open after a failover")
		}
	})
	t.Run("closing", func(t *testing.T) {
		g := newGate(Closing, ready)
		if g.MayWrite() || g.NextAction(0, false) != NoAction || g.NextAction(0, true) != StoreClosed {
			t.Error("the new leader does not continue the closing")
		}
	})
	t.Run("open, to a leader with the feature off", func(t *testing.T) {
		if g := newGate(Open, Statement{ReadsUpTo: 1}); g.NextAction(0, true) != StoreClosing {
			t.Error("the gate stays open")
		}
	})
}

// The gate closes when messages of a program without the gate have been received for longer than OlderProgramTimeout.
// A controller that sends no messages does not close it. The time of an older program that stops and starts again is
// counted from its last start.
func TestOlderProgramTimeout(t *testing.T) {
	older := map[string]*Statement{"n1": nil, "n2": &ready}
	t.Run("messages for longer than the timeout", func(t *testing.T) {
		g := newGate(Open, ready)
		now := sendHeartbeats(g, 0, olderProgramTimeout, older)
		if g.NextAction(now, true) != NoAction {
			t.Error("the gate closes before the timeout")
		}
		if now = sendHeartbeats(g, now, 2*settleTime, older); g.NextAction(now, true) != StoreClosing {
			t.Error("the gate stays open after the timeout")
		}
	})
	t.Run("repeated restarts, then no messages", func(t *testing.T) {
		g := newGate(Open, ready)
		now := time.Duration(0)
		for range 20 {
			now = sendHeartbeats(g, now, olderProgramTimeout/3, older)
			if g.NextAction(now, true) != NoAction {
				t.Fatal("the gate closes although a newer program ran in between")
			}
			now = sendHeartbeats(g, now, settleTime, both(&ready))
		}
		now = sendHeartbeats(g, now, olderProgramTimeout/2, older) + 2*olderProgramTimeout
		if g.NextAction(now, true) != NoAction {
			t.Error("the gate closes although no message was received")
		}
		sendHeartbeats(g, now, settleTime, older)
		if g.NextAction(now+settleTime, true) != NoAction {
			t.Error("the time before a gap counts towards the timeout")
		}
	})
}

// The name of an undefined state contains its number.
func TestUnknownState(t *testing.T) {
	if got := State(9).String(); got != "State(9)" {
		t.Error(got)
	}
}

// A closing that the state service refuses is returned again, but not before the back-off has passed.
func TestRefusedClosing(t *testing.T) {
	g := newGate(Open, Statement{ReadsUpTo: 1})
	if g.NextAction(0, true) != StoreClosing {
		t.Fatal("the gate stays open")
	}
	g.ActionRefused(0)
	if g.NextAction(backOffTime-1, true) != NoAction || g.State() != Closing || g.MayWrite() {
		t.Errorf("the gate is %s before the back-off has passed, or returns an action", g.State())
	}
	if g.NextAction(backOffTime, true) != StoreClosing {
		t.Error("the closing is not returned again after the back-off")
	}
}
