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

var ready = Statement{Reads: 1, Writes: 1}

func newGate(stored State, own Statement) *Gate {
	return New(Settings{Version: 1, Self: "n0", Peers: []string{"n1", "n2"}, Own: own, Fits: true,
		Settled: settled, Patience: patience, Pause: pause}, stored)
}

// beats has peers heard three times a second for a while; each states what it is given.
func beats(g *Gate, from, lasts time.Duration, statements map[string]*Statement) time.Duration {
	for at := from; at < from+lasts; at += settled / 3 {
		for label, s := range statements {
			g.Heard(at, label, "first", s)
		}
	}
	return from + lasts
}

func both(s *Statement) map[string]*Statement { return map[string]*Statement{"n1": s, "n2": s} }

// What keeps a closed gate closed, with the controller that it is told of.
func TestObstacles(t *testing.T) {
	old := &Statement{}
	for _, c := range []struct {
		name  string
		own   Statement
		heard map[string]*Statement
		want  Obstacle
	}{
		{"all state it", ready, both(&ready), Obstacle{}},
		{"forms beyond the known", ready, both(&Statement{Reads: 9, Writes: 9}), Obstacle{}},
		{"one is silent", ready, map[string]*Statement{"n1": &ready}, Obstacle{"n2", NotHeard}},
		{"one is older", ready, map[string]*Statement{"n1": nil, "n2": &ready}, Obstacle{"n1", NoStatement}},
		{"one does not read it", ready, map[string]*Statement{"n1": old, "n2": &ready}, Obstacle{"n1", CannotRead}},
		{"one has it off", ready, map[string]*Statement{"n1": {Reads: 1}, "n2": &ready}, Obstacle{"n1", FeatureOff}},
		{"one holds", ready, map[string]*Statement{"n1": &ready, "n2": {Reads: 1, Writes: 1, Hold: true}}, Obstacle{"n2", HeldClosed}},
		{"we hold", Statement{Reads: 1, Writes: 1, Hold: true}, both(&ready), Obstacle{"n0", HeldClosed}},
		{"an unknown label is no controller", ready, map[string]*Statement{"n1": &ready, "n9": &ready}, Obstacle{"n2", NotHeard}},
	} {
		g := newGate(Closed, c.own)
		now := beats(g, 0, settled+settled/3, c.heard)
		action := g.Decide(now-settled/3, true)
		if g.Obstacle() != c.want || (action == StoreOpen) != (c.want == Obstacle{}) {
			t.Errorf("%s: %q, action %d", c.name, g.Obstacle(), action)
		}
	}
}

// A controller has to state the form for a whole leader's lease, by the process that runs now, and
// without a gap.
func TestStatementsHaveToSettle(t *testing.T) {
	for name, disturb := range map[string]func(g *Gate, at time.Duration){
		"a new process": func(g *Gate, at time.Duration) { g.Heard(at, "n1", "second", &ready) },
		"a word of hold": func(g *Gate, at time.Duration) {
			g.Heard(at, "n1", "first", &Statement{Reads: 1, Writes: 1, Hold: true})
		},
		"an older one": func(g *Gate, at time.Duration) { g.Heard(at, "n1", "first", nil) },
	} {
		g := newGate(Closed, ready)
		at := beats(g, 0, settled-settled/3, both(&ready))
		disturb(g, at)
		at = beats(g, at+settled/3, settled/3, both(&ready))
		if g.Decide(at, true) != NoAction {
			t.Errorf("%s: it opens", name)
		}
		if at = beats(g, at, 2*settled, both(&ready)); g.Decide(at, true) != StoreOpen {
			t.Errorf("%s: it never opens: %s", name, g.Obstacle())
		}
	}
	g := newGate(Closed, ready)
	beats(g, 0, settled, both(&ready))
	at := beats(g, 3*settled, settled/3, both(&ready))
	if g.Decide(at, true) != NoAction {
		t.Error("it opens after a gap")
	}
}

// One state after the other is stored, and none holds before that. Nothing closes before all is
// folded, and the next opening waits for the pause.
func TestStates(t *testing.T) {
	g := newGate(Closed, ready)
	now := beats(g, 0, 2*settled, both(&ready))
	if g.Decide(now, true) != StoreOpen || g.State() != Opening || g.MayWrite() || g.Decide(now, true) != NoAction {
		t.Fatal(g.State())
	}
	g.Stored(now)
	if !g.MayWrite() || g.Decide(now, false) != NoAction {
		t.Fatal(g.State())
	}
	now = beats(g, now, 2*settled, map[string]*Statement{"n1": &ready, "n2": {Reads: 1, Writes: 1, Hold: true}})
	if g.Decide(now, false) != StoreClosing || g.MayWrite() || g.Obstacle() != (Obstacle{"n2", HeldClosed}) {
		t.Fatal(g.State(), g.Obstacle())
	}
	if g.Decide(now, true) != NoAction {
		t.Fatal("it closes before its closing is stored")
	}
	g.Stored(now)
	if g.Decide(now, false) != NoAction {
		t.Fatal("it closes before all is folded")
	}
	if g.Decide(now, true) != StoreClosed || g.State() != Closing {
		t.Fatal(g.State())
	}
	g.Stored(now)
	closed := now
	now = beats(g, now, pause-settled, both(&ready))
	if g.State() != Closed || g.Decide(now, true) != NoAction || g.Obstacle().Cause != RecentlyClosed {
		t.Fatal(g.State(), g.Obstacle())
	}
	now = beats(g, now, 2*settled, both(&ready))
	if now < closed+pause || g.Decide(now, true) != StoreOpen {
		t.Fatal("it does not open again")
	}
	g.Failed(now)
	if g.State() != Closed || g.Decide(now, true) != NoAction {
		t.Fatal("what was refused is tried again at once")
	}
}

// A successor begins with what is stored: an open gate is open, one that closes goes on closing.
func TestSuccessor(t *testing.T) {
	if !newGate(Open, ready).MayWrite() {
		t.Error("an open gate is closed")
	}
	g := newGate(Closing, ready)
	if g.MayWrite() || g.Decide(0, false) != NoAction || g.Decide(0, true) != StoreClosed {
		t.Error("it does not go on closing")
	}
	if g := newGate(Open, Statement{Reads: 1}); g.Decide(0, true) != StoreClosing {
		t.Error("with the feature off it stays open")
	}
}

// An older process closes the gate when it has been heard for longer than the patience; silence
// does not, and one that comes and goes is counted from its last coming.
func TestPatienceWithOlderProcesses(t *testing.T) {
	older := map[string]*Statement{"n1": nil, "n2": &ready}
	g := newGate(Open, ready)
	now := beats(g, 0, patience, older)
	if g.Decide(now, true) != NoAction {
		t.Error("it closes early")
	}
	if now = beats(g, now, 2*settled, older); g.Decide(now, true) != StoreClosing {
		t.Error("it stays open")
	}
	g = newGate(Open, ready)
	now = 0
	for range 20 {
		now = beats(g, now, patience/3, older)
		if g.Decide(now, true) != NoAction {
			t.Fatal("it flaps")
		}
		now = beats(g, now, settled, both(&ready))
	}
	now = beats(g, now, patience/2, older) + 2*patience
	if g.Decide(now, true) != NoAction {
		t.Error("silence closes it")
	}
	beats(g, now, settled, older)
	if g.Decide(now+settled, true) != NoAction {
		t.Error("an older process is counted from before its silence")
	}
}
