package featuregate

import (
	"testing"
	"time"
)

const (
	settled  = time.Second
	patience = 10 * time.Second
	pause    = 60 * time.Second
)

var ready = Statement{ReadsUpTo: 1, WritesUpTo: 1}

func newGate(stored State, own Statement) *Gate {
	return New(Settings{Version: 1, Self: "n0", Peers: []string{"n1", "n2"}, Own: own, TransactionsFit: true,
		SettleTime: settled, OlderProgramTimeout: patience, BackOff: pause}, stored)
}

// sendHeartbeats has the gate hear each peer's statement three times a second. It returns the end of that
// time.
func sendHeartbeats(g *Gate, from, lasts time.Duration, statements map[string]*Statement) time.Duration {
	for at := from; at < from+lasts; at += settled / 3 {
		for label, s := range statements {
			g.RecordStatement(at, label, "first", s)
		}
	}
	return from + lasts
}

func both(s *Statement) map[string]*Statement { return map[string]*Statement{"n1": s, "n2": s} }

// Each cause keeps a closed gate closed, and is reported with the controller that it comes from.
func TestObstaclesOfAClosedGate(t *testing.T) {
	readsNothing := &Statement{}
	for _, tc := range []struct {
		name  string
		own   Statement
		heard map[string]*Statement
		want  Obstacle
	}{
		{"all state it", ready, both(&ready), Obstacle{}},
		{"all state later versions too", ready, both(&Statement{ReadsUpTo: 9, WritesUpTo: 9}), Obstacle{}},
		{"one is silent", ready, map[string]*Statement{"n1": &ready}, Obstacle{"n2", NotHeard}},
		{"one has no statement", ready, map[string]*Statement{"n1": nil, "n2": &ready}, Obstacle{"n1", NoStatement}},
		{"one does not read the version", ready, map[string]*Statement{"n1": readsNothing, "n2": &ready}, Obstacle{"n1", CannotRead}},
		{"one has the feature off", ready, map[string]*Statement{"n1": {ReadsUpTo: 1}, "n2": &ready}, Obstacle{"n1", FeatureOff}},
		{"one holds the gate closed", ready, map[string]*Statement{"n1": &ready, "n2": {ReadsUpTo: 1, WritesUpTo: 1, HoldClosed: true}}, Obstacle{"n2", HeldClosed}},
		{"the leader holds the gate closed", Statement{ReadsUpTo: 1, WritesUpTo: 1, HoldClosed: true}, both(&ready), Obstacle{"n0", HeldClosed}},
		{"a label that is not in the settings does not count", ready, map[string]*Statement{"n1": &ready, "n9": &ready}, Obstacle{"n2", NotHeard}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGate(Closed, tc.own)
			now := sendHeartbeats(g, 0, settled+settled/3, tc.heard)
			action := g.NextAction(now-settled/3, true)
			if g.Obstacle() != tc.want || (action == StoreOpen) != (tc.want == Obstacle{}) {
				t.Errorf("obstacle %q, want %q; action %d", g.Obstacle(), tc.want, action)
			}
		})
	}
}

// Each controller has to state the version for a whole leader's lease, by the process that runs now and
// without a gap.
func TestStatementsHaveToSettle(t *testing.T) {
	for name, disturb := range map[string]func(g *Gate, at time.Duration){
		"a new process": func(g *Gate, at time.Duration) { g.RecordStatement(at, "n1", "second", &ready) },
		"one statement with hold": func(g *Gate, at time.Duration) {
			g.RecordStatement(at, "n1", "first", &Statement{ReadsUpTo: 1, WritesUpTo: 1, HoldClosed: true})
		},
		"one message without a statement": func(g *Gate, at time.Duration) { g.RecordStatement(at, "n1", "first", nil) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate(Closed, ready)
			at := sendHeartbeats(g, 0, settled-settled/3, both(&ready))
			disturb(g, at)
			at = sendHeartbeats(g, at+settled/3, settled/3, both(&ready))
			if g.NextAction(at, true) != NoAction {
				t.Error("it opens before the statement is settled")
			}
			if at = sendHeartbeats(g, at, 2*settled, both(&ready)); g.NextAction(at, true) != StoreOpen {
				t.Errorf("it never opens: %s", g.Obstacle())
			}
		})
	}
	t.Run("a gap", func(t *testing.T) {
		g := newGate(Closed, ready)
		sendHeartbeats(g, 0, settled, both(&ready))
		at := sendHeartbeats(g, 3*settled, settled/3, both(&ready))
		if g.NextAction(at, true) != NoAction {
			t.Error("it opens after a gap")
		}
	})
}

// Each state takes effect only once it is stored. The gate does not close before all records are compacted,
// and the next opening waits for the pause.
func TestStatesAreStoredInOrder(t *testing.T) {
	g := newGate(Closed, ready)
	now := sendHeartbeats(g, 0, 2*settled, both(&ready))
	if g.NextAction(now, true) != StoreOpen || g.State() != Opening || g.MayWrite() || g.NextAction(now, true) != NoAction {
		t.Fatal(g.State())
	}
	g.ActionStored(now)
	if !g.MayWrite() || g.NextAction(now, false) != NoAction {
		t.Fatal(g.State())
	}
	now = sendHeartbeats(g, now, 2*settled, map[string]*Statement{"n1": &ready, "n2": {ReadsUpTo: 1, WritesUpTo: 1, HoldClosed: true}})
	if g.NextAction(now, false) != StoreClosing || g.MayWrite() || g.Obstacle() != (Obstacle{"n2", HeldClosed}) {
		t.Fatal(g.State(), g.Obstacle())
	}
	if g.NextAction(now, true) != NoAction {
		t.Fatal("it closes before its closing is stored")
	}
	g.ActionStored(now)
	if g.NextAction(now, false) != NoAction {
		t.Fatal("it closes before all is compacted")
	}
	if g.NextAction(now, true) != StoreClosed || g.State() != Closing {
		t.Fatal(g.State())
	}
	g.ActionStored(now)
	closed := now
	now = sendHeartbeats(g, now, pause-settled, both(&ready))
	if g.State() != Closed || g.NextAction(now, true) != NoAction || g.Obstacle().Cause != RecentlyClosed {
		t.Fatal(g.State(), g.Obstacle())
	}
	now = sendHeartbeats(g, now, 2*settled, both(&ready))
	if now < closed+pause || g.NextAction(now, true) != StoreOpen {
		t.Fatal("it does not open again")
	}
	g.ActionRefused(now)
	if g.State() != Closed || g.NextAction(now, true) != NoAction {
		t.Fatal("a refused action is tried again at once")
	}
}

// A new leader begins with the stored state: an open gate is open, one that was closing goes on closing.
func TestFailover(t *testing.T) {
	t.Run("open", func(t *testing.T) {
		if !newGate(Open, ready).MayWrite() {
			t.Error("an open gate is closed")
		}
	})
	t.Run("closing", func(t *testing.T) {
		g := newGate(Closing, ready)
		if g.MayWrite() || g.NextAction(0, false) != NoAction || g.NextAction(0, true) != StoreClosed {
			t.Error("it does not go on closing")
		}
	})
	t.Run("open, to a leader with the feature off", func(t *testing.T) {
		if g := newGate(Open, Statement{ReadsUpTo: 1}); g.NextAction(0, true) != StoreClosing {
			t.Error("it stays open")
		}
	})
}

// A program without the gate closes it when it has been heard for longer than the patience. Silence does not
// close it, and a process that comes and goes is counted from when it came last.
func TestPatienceWithOlderPrograms(t *testing.T) {
	older := map[string]*Statement{"n1": nil, "n2": &ready}
	t.Run("heard for longer than the patience", func(t *testing.T) {
		g := newGate(Open, ready)
		now := sendHeartbeats(g, 0, patience, older)
		if g.NextAction(now, true) != NoAction {
			t.Error("it closes early")
		}
		if now = sendHeartbeats(g, now, 2*settled, older); g.NextAction(now, true) != StoreClosing {
			t.Error("it stays open")
		}
	})
	t.Run("comes and goes, then is silent", func(t *testing.T) {
		g := newGate(Open, ready)
		now := time.Duration(0)
		for range 20 {
			now = sendHeartbeats(g, now, patience/3, older)
			if g.NextAction(now, true) != NoAction {
				t.Fatal("it closes although a newer program was heard in between")
			}
			now = sendHeartbeats(g, now, settled, both(&ready))
		}
		now = sendHeartbeats(g, now, patience/2, older) + 2*patience
		if g.NextAction(now, true) != NoAction {
			t.Error("silence closes it")
		}
		sendHeartbeats(g, now, settled, older)
		if g.NextAction(now+settled, true) != NoAction {
			t.Error("the time before its silence counts")
		}
	})
}

// A state that is not known is named by its number.
func TestUnknownState(t *testing.T) {
	if got := State(9).String(); got != "State(9)" {
		t.Error(got)
	}
}

// A closing that the state service refuses is tried again, but not before the pause is over.
func TestRefusedClosing(t *testing.T) {
	g := newGate(Open, Statement{ReadsUpTo: 1})
	if g.NextAction(0, true) != StoreClosing {
		t.Fatal("it stays open")
	}
	g.ActionRefused(0)
	if g.NextAction(pause-1, true) != NoAction || g.State() != Closing || g.MayWrite() {
		t.Errorf("before the pause is over: %s", g.State())
	}
	if g.NextAction(pause, true) != StoreClosing {
		t.Error("it is never tried again")
	}
}
