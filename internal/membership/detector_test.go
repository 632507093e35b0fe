package membership

import (
	"testing"
	"time"
)

const second = time.Second

// seen collects changes of state, by who saw them and of whom.
type seen struct {
	at     time.Duration
	by, of string
	to     State
	reason Reason
}

func (g *group) watch() *[]seen {
	list := &[]seen{}
	g.changed = func(at time.Duration, by string, c Change) {
		*list = append(*list, seen{at, by, c.Label, c.To, c.Reason})
	}
	return list
}

func (g *group) allHold(of string, want State) bool {
	for _, by := range g.others(of) {
		if g.state(by, of) != want {
			return false
		}
	}
	return true
}

func TestNobodyIsSuspectedInPeace(t *testing.T) {
	for _, n := range []int{2, 3, 5, 24} {
		g := newGroup(t, uint64(n), n)
		list := g.watch()
		g.run(2 * time.Minute)
		if len(*list) > 0 {
			t.Errorf("%d controllers: %+v", n, (*list)[0])
		}
	}
}

// A controller that ended is suspected first and dead only later, and never the other way round.
func TestSuspectThenDead(t *testing.T) {
	for _, n := range []int{2, 3, 5, 24} {
		g := newGroup(t, 10+uint64(n), n)
		g.run(10 * second)
		list := g.watch()
		killed := g.now
		g.crash("n01")
		g.run(30 * second)
		if !g.allHold("n01", Dead) {
			t.Errorf("%d controllers: it is not dead for all", n)
		}
		var suspected, dead time.Duration
		for _, s := range *list {
			if s.of != "n01" {
				t.Errorf("%d controllers: %+v", n, s)
			}
			if s.by == "n00" && s.to == Suspect {
				suspected = s.at - killed
			}
			if s.by == "n00" && s.to == Dead {
				dead = s.at - killed
			}
		}
		rounds := testLease / 5 * time.Duration((n+mostProbesAtOnce-2)/mostProbesAtOnce)
		if suspected <= 0 || suspected > rounds+testLease*3/10+4*testTick {
			t.Errorf("%d controllers: suspected after %v", n, suspected)
		}
		if least := suspected + 2*testLease; dead < least || dead > suspected+6*testLease+2*testTick {
			t.Errorf("%d controllers: suspected after %v, dead after %v", n, suspected, dead)
		}
	}
}

// A process that comes back is alive at once, and serves machines only once it was so for long.
func TestReturnIsSteadyFirst(t *testing.T) {
	g := newGroup(t, 3, 3)
	g.run(5 * second)
	g.crash("n01")
	g.run(20 * second)
	d := g.nodes["n00"].detector
	if d.Serves("n01", g.now) {
		t.Error("a dead controller serves machines")
	}
	g.boot("n01")
	g.run(2 * second)
	if !g.allHold("n01", Alive) || !g.nodes["n01"].detector.Serves("n00", g.now) {
		t.Errorf("it is %v", g.state("n00", "n01"))
	}
	if d.Serves("n01", g.now) {
		t.Error("it serves machines at once")
	}
	g.run(20 * second)
	if !d.Serves("n01", g.now) {
		t.Error("it does not serve machines though it is steady")
	}
	if c := d.Counters(); c.FalseDeaths+c.FalseSuspicions > 0 {
		t.Errorf("a restart is counted as wrongly declared: %+v", c)
	}
}

// One bad link convicts nobody: another controller reaches it.
func TestOneBadLink(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		g := newGroup(t, 4, 3)
		g.run(5 * second)
		list := g.watch()
		g.cut = func(from, to string) bool {
			return from == "n00" && to == "n01" || !oneWay && from == "n01" && to == "n00"
		}
		g.run(time.Minute)
		for _, s := range *list {
			t.Errorf("one way %v: %+v", oneWay, s)
		}
		via, reached := g.nodes["n00"].detector.Way("n01")
		if via != "n02" || !reached {
			t.Errorf("one way %v: it is reached by %q, %v", oneWay, via, reached)
		}
		g.cut = func(string, string) bool { return false }
		g.run(5 * second)
		if via, reached := g.nodes["n00"].detector.Way("n01"); via != "" || !reached {
			t.Errorf("healed: it is reached by %q, %v", via, reached)
		}
	}
}

// A slow moment is refuted: suspected, never dead, and by a later incarnation.
func TestStallIsRefuted(t *testing.T) {
	g := newGroup(t, 5, 3)
	g.run(5 * second)
	before := g.nodes["n01"].detector.Incarnation()
	list := g.watch()
	g.freeze("n01", 1300*time.Millisecond)
	g.run(20 * second)
	suspected := false
	for _, s := range *list {
		suspected = suspected || s.of == "n01" && s.to == Suspect
		if s.to == Dead {
			t.Errorf("%+v", s)
		}
		if s.by == "n01" {
			t.Errorf("the one that stood still: %+v", s)
		}
	}
	if !suspected || !g.allHold("n01", Alive) {
		t.Errorf("suspected %v, alive to all %v", suspected, g.allHold("n01", Alive))
	}
	if after := g.nodes["n01"].detector.Incarnation(); after <= before {
		t.Errorf("incarnation %d before, %d after", before, after)
	}
	if c := g.nodes["n00"].detector.Counters(); c.FalseSuspicions == 0 {
		t.Errorf("no wrong suspicion is counted: %+v", c)
	}
}

// Longer than the timeout: dead, and alive again once it goes on; its claims that it was
// wrongly declared dead are counted.
func TestWronglyDeclaredDead(t *testing.T) {
	g := newGroup(t, 6, 3)
	g.run(5 * second)
	g.freeze("n01", 15*second)
	g.run(14 * second)
	if !g.allHold("n01", Dead) {
		t.Error("it is not dead to all")
	}
	g.run(5 * second)
	if !g.allHold("n01", Alive) {
		t.Error("it is not alive again")
	}
	if c := g.nodes["n00"].detector.Counters(); c.FalseDeaths != 1 {
		t.Errorf("%+v", c)
	}
	if g.nodes["n00"].detector.Serves("n01", g.now) {
		t.Error("it serves machines at once")
	}
}

// An observer that stood still suspects nobody, though the answers of all were late for it.
func TestObserverThatStoodStill(t *testing.T) {
	for _, d := range []time.Duration{testLease / 2, testLease, 7 * testLease, time.Minute} {
		g := newGroup(t, 7, 5)
		g.run(5 * second)
		for len(g.nodes["n00"].detector.probes) == 0 {
			g.run(time.Millisecond) // in the midst of probes
		}
		list := g.watch()
		g.freeze("n00", d)
		g.run(d + 20*second)
		for _, s := range *list {
			if s.by == "n00" {
				t.Errorf("after %v: %+v", d, s)
			}
		}
		if h := g.nodes["n00"].detector.Health(); h != 0 {
			t.Errorf("after %v and 20 s its health is %d", d, h)
		}
	}
}

// An observer that is cut off from all doubts itself first, and all are well after the cut.
func TestIsolatedObserver(t *testing.T) {
	g := newGroup(t, 8, 5)
	g.run(5 * second)
	g.cut = func(from, to string) bool { return from == "n00" || to == "n00" }
	g.run(3 * second)
	if !g.allHold("n00", Suspect) && !g.allHold("n00", Dead) {
		t.Error("the others do not notice")
	}
	if g.nodes["n00"].detector.Health() == 0 {
		t.Error("it trusts its own silence")
	}
	g.run(10 * second)
	g.cut = func(string, string) bool { return false }
	g.run(15 * second)
	for _, by := range g.labels {
		for _, of := range g.others(by) {
			if s := g.state(by, of); s != Alive {
				t.Errorf("%s holds %s for %v", by, of, s)
			}
		}
	}
}

// Lost messages and a link that flaps declare nobody dead.
func TestLossAndFlaps(t *testing.T) {
	for seed := range uint64(4) {
		for _, loss := range []float64{0.05, 0.10, 0.20} {
			g := newGroup(t, 100+seed, 5)
			g.run(2 * second)
			list := g.watch()
			g.cut = func(string, string) bool { return g.random.Float64() < loss }
			g.run(3 * time.Minute)
			for _, s := range *list {
				if s.to == Dead {
					t.Errorf("seed %d, %v lost: %+v", seed, loss, s)
				}
			}
		}
		g := newGroup(t, 200+seed, 3)
		list := g.watch()
		g.cut = func(from, to string) bool {
			return (from == "n00" || to == "n00") && int(g.now/second)%6 < 2
		}
		g.run(3 * time.Minute)
		for _, s := range *list {
			if s.to == Dead {
				t.Errorf("seed %d, flapping: %+v", seed, s)
			}
		}
	}
}

// An orderly end is told, and is no death.
func TestLeave(t *testing.T) {
	g := newGroup(t, 9, 3)
	g.run(5 * second)
	n := g.nodes["n01"]
	g.carry(n, n.detector.Leave(g.clock(n)))
	g.run(50 * time.Millisecond)
	g.crash("n01")
	if !g.allHold("n01", Left) {
		t.Errorf("it is %v", g.state("n00", "n01"))
	}
	list := g.watch()
	g.run(20 * second)
	if len(*list) > 0 {
		t.Errorf("%+v", (*list)[0])
	}
	g.boot("n01")
	g.run(3 * second)
	if !g.allHold("n01", Alive) {
		t.Errorf("back, it is %v", g.state("n00", "n01"))
	}
}

// A version that knows no probes answers 404: it is judged by heartbeats.
func TestOlderVersion(t *testing.T) {
	g := newGroup(t, 11, 3)
	g.nodes["n01"].older = true
	list := g.watch()
	g.run(30 * second)
	for _, s := range *list {
		if s.by != "n01" {
			t.Errorf("%+v", s)
		}
	}
	g.crash("n01")
	g.run(20 * second)
	if g.state("n00", "n01") != Dead {
		t.Errorf("it ended, and is %v", g.state("n00", "n01"))
	}
	g.nodes["n01"].older = false
	g.boot("n01")
	g.run(3 * second)
	if g.state("n00", "n01") != Alive || g.nodes["n00"].detector.Members()[0].Heartbeats {
		t.Errorf("upgraded, it is %+v", g.nodes["n00"].detector.Members()[0])
	}
	// And back again.
	g.crash("n01")
	g.nodes["n01"].older = true
	g.boot("n01")
	g.run(10 * second)
	if g.state("n00", "n01") != Alive || !g.nodes["n00"].detector.Members()[0].Heartbeats {
		t.Errorf("rolled back, it is %+v", g.nodes["n00"].detector.Members()[0])
	}
}

// Clocks that drift and are off by the bound are nothing to the detectors; one whose clock was
// set back at its restart gets a later incarnation all the same.
func TestClocks(t *testing.T) {
	g := newGroup(t, 12, 3)
	g.nodes["n00"].drift, g.nodes["n01"].drift = 0.0005, -0.0005
	g.nodes["n02"].clockOff = 25 * time.Millisecond
	list := g.watch()
	g.run(5 * time.Minute)
	if len(*list) > 0 {
		t.Errorf("%+v", (*list)[0])
	}
	g.crash("n01")
	g.run(20 * second)
	g.nodes["n01"].clockOff = -30 * second // before its last start's refutations, within the bound on futures
	g.boot("n01")
	g.run(10 * second)
	if !g.allHold("n01", Alive) {
		t.Errorf("set back, it is %v", g.state("n00", "n01"))
	}
}

// What a controller of 24 costs: messages and bytes a second, stated in docs/failure-detection.md.
func TestCostOfTwoDozen(t *testing.T) {
	g := newGroup(t, 13, 24)
	g.run(10 * second)
	clear(g.bytes)
	clear(g.sent)
	const measured = 60
	g.run(measured * second)
	for _, l := range g.labels {
		if perSecond := float64(g.sent[l]) / measured; perSecond > mostProbesAtOnce*float64(second)/float64(testLease/5)*1.05 {
			t.Errorf("%s sends %.1f probes a second", l, perSecond)
		}
		if perSecond := g.bytes[l] / measured; perSecond > 3000 {
			t.Errorf("%s sends %d bytes a second", l, perSecond)
		}
	}
	t.Logf("%.1f probes and %d bytes a second", float64(g.sent["n00"])/measured, g.bytes["n00"]/measured)
}
