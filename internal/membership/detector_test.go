package membership

import (
	"testing"
	"time"
)

const second = time.Second

// observedChange collects changes of state, by who saw them and of whom.
type observedChange struct {
	at     time.Duration
	by, of string
	to     State
	reason Reason
}

func (s *simulation) recordChanges() *[]observedChange {
	list := &[]observedChange{}
	s.onChange = func(at time.Duration, by string, c Change) {
		*list = append(*list, observedChange{at, by, c.Label, c.To, c.Reason})
	}
	return list
}

func (s *simulation) allObserve(of string, want State) bool {
	for _, by := range s.others(of) {
		if s.state(by, of) != want {
			return false
		}
	}
	return true
}

func TestHealthyGroupSuspectsNobody(t *testing.T) {
	for _, n := range []int{2, 3, 5, 24} {
		sim := newSimulation(t, uint64(n), n)
		list := sim.recordChanges()
		sim.run(2 * time.Minute)
		if len(*list) > 0 {
			t.Errorf("%d controllers: %+v", n, (*list)[0])
		}
	}
}

// A controller that ended is suspected first and dead only later, and never the other way round.
func TestSuspectThenDead(t *testing.T) {
	for _, n := range []int{2, 3, 5, 24} {
		sim := newSimulation(t, 10+uint64(n), n)
		sim.run(10 * second)
		list := sim.recordChanges()
		killed := sim.now
		sim.nodes["n01"].crash()
		sim.run(30 * second)
		if !sim.allObserve("n01", Dead) {
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
		rounds := testLease / 5 * time.Duration((n+maxProbesPerRound-2)/maxProbesPerRound)
		if suspected <= 0 || suspected > rounds+testLease*3/10+4*testTick {
			t.Errorf("%d controllers: suspected after %v", n, suspected)
		}
		if least := suspected + 2*testLease; dead < least || dead > suspected+6*testLease+2*testTick {
			t.Errorf("%d controllers: suspected after %v, dead after %v", n, suspected, dead)
		}
	}
}

// A process that comes back is alive at once, and serves machines only once it was so for long.
func TestRejoinedMemberServesAfterDelay(t *testing.T) {
	sim := newSimulation(t, 3, 3)
	sim.run(5 * second)
	sim.nodes["n01"].crash()
	sim.run(20 * second)
	d := sim.nodes["n00"].detector
	if d.Serves("n01", sim.now) {
		t.Error("a dead controller serves machines")
	}
	sim.start("n01")
	sim.run(2 * second)
	if !sim.allObserve("n01", Alive) || !sim.nodes["n01"].detector.Serves("n00", sim.now) {
		t.Errorf("it is %v", sim.state("n00", "n01"))
	}
	if d.Serves("n01", sim.now) {
		t.Error("it serves machines at once")
	}
	sim.run(20 * second)
	if !d.Serves("n01", sim.now) {
		t.Error("it does not serve machines though it is steady")
	}
	if c := d.Counters(); c.FalseDeaths+c.FalseSuspicions > 0 {
		t.Errorf("a restart is counted as wrongly declared: %+v", c)
	}
}

// One bad link convicts nobody: another controller reaches it.
func TestSingleLinkFailureCausesNoSuspicion(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		sim := newSimulation(t, 4, 3)
		sim.run(5 * second)
		list := sim.recordChanges()
		sim.dropMessage = func(from, to string) bool {
			return from == "n00" && to == "n01" || !oneWay && from == "n01" && to == "n00"
		}
		sim.run(time.Minute)
		for _, s := range *list {
			t.Errorf("one way %v: %+v", oneWay, s)
		}
		via, reached := sim.nodes["n00"].detector.Way("n01")
		if via != "n02" || !reached {
			t.Errorf("one way %v: it is reached by %q, %v", oneWay, via, reached)
		}
		sim.dropMessage = func(string, string) bool { return false }
		sim.run(5 * second)
		if via, reached := sim.nodes["n00"].detector.Way("n01"); via != "" || !reached {
			t.Errorf("healed: it is reached by %q, %v", via, reached)
		}
	}
}

// A slow moment is refuted: suspected, never dead, and by a later incarnation.
func TestPausedMemberRefutesSuspicion(t *testing.T) {
	sim := newSimulation(t, 5, 3)
	sim.run(5 * second)
	before := sim.nodes["n01"].detector.Incarnation()
	list := sim.recordChanges()
	sim.freeze("n01", 1300*time.Millisecond)
	sim.run(20 * second)
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
	if !suspected || !sim.allObserve("n01", Alive) {
		t.Errorf("suspected %v, alive to all %v", suspected, sim.allObserve("n01", Alive))
	}
	if after := sim.nodes["n01"].detector.Incarnation(); after <= before {
		t.Errorf("incarnation %d before, %d after", before, after)
	}
	if c := sim.nodes["n00"].detector.Counters(); c.FalseSuspicions == 0 {
		t.Errorf("no wrong suspicion is counted: %+v", c)
	}
}

// Longer than the timeout: dead, and alive again once it goes on; its claims that it was
// wrongly declared dead are counted.
func TestFalseDeathIsCounted(t *testing.T) {
	sim := newSimulation(t, 6, 3)
	sim.run(5 * second)
	sim.freeze("n01", 15*second)
	sim.run(14 * second)
	if !sim.allObserve("n01", Dead) {
		t.Error("it is not dead to all")
	}
	sim.run(5 * second)
	if !sim.allObserve("n01", Alive) {
		t.Error("it is not alive again")
	}
	if c := sim.nodes["n00"].detector.Counters(); c.FalseDeaths != 1 {
		t.Errorf("%+v", c)
	}
	if sim.nodes["n00"].detector.Serves("n01", sim.now) {
		t.Error("it serves machines at once")
	}
}

// An observer that stood still suspects nobody, though the answers of all were late for it.
func TestPausedObserverSuspectsNobody(t *testing.T) {
	for _, d := range []time.Duration{testLease / 2, testLease, 7 * testLease, time.Minute} {
		sim := newSimulation(t, 7, 5)
		sim.run(5 * second)
		for len(sim.nodes["n00"].detector.pending.probes) == 0 {
			sim.run(time.Millisecond) // in the midst of probes
		}
		list := sim.recordChanges()
		sim.freeze("n00", d)
		sim.run(d + 20*second)
		for _, s := range *list {
			if s.by == "n00" {
				t.Errorf("after %v: %+v", d, s)
			}
		}
		if h := sim.nodes["n00"].detector.Health(); h != 0 {
			t.Errorf("after %v and 20 s its health is %d", d, h)
		}
	}
}

// An observer that is cut off from all doubts itself first, and all are well after the cut.
func TestIsolatedObserverDegradesItsHealth(t *testing.T) {
	sim := newSimulation(t, 8, 5)
	sim.run(5 * second)
	sim.dropMessage = func(from, to string) bool { return from == "n00" || to == "n00" }
	sim.run(3 * second)
	if !sim.allObserve("n00", Suspect) && !sim.allObserve("n00", Dead) {
		t.Error("the others do not notice")
	}
	if sim.nodes["n00"].detector.Health() == 0 {
		t.Error("it trusts its own silence")
	}
	sim.run(10 * second)
	sim.dropMessage = func(string, string) bool { return false }
	sim.run(15 * second)
	for _, by := range sim.labels {
		for _, of := range sim.others(by) {
			if s := sim.state(by, of); s != Alive {
				t.Errorf("%s holds %s for %v", by, of, s)
			}
		}
	}
}

// Lost messages and a link that flaps declare nobody dead.
func TestMessageLossAndFlappingLinks(t *testing.T) {
	for seed := range uint64(4) {
		for _, loss := range []float64{0.05, 0.10, 0.20} {
			sim := newSimulation(t, 100+seed, 5)
			sim.run(2 * second)
			list := sim.recordChanges()
			sim.dropMessage = func(string, string) bool { return sim.random.Float64() < loss }
			sim.run(3 * time.Minute)
			for _, s := range *list {
				if s.to == Dead {
					t.Errorf("seed %d, %v lost: %+v", seed, loss, s)
				}
			}
		}
		sim := newSimulation(t, 200+seed, 3)
		list := sim.recordChanges()
		sim.dropMessage = func(from, to string) bool {
			return (from == "n00" || to == "n00") && int(sim.now/second)%6 < 2
		}
		sim.run(3 * time.Minute)
		for _, s := range *list {
			if s.to == Dead {
				t.Errorf("seed %d, flapping: %+v", seed, s)
			}
		}
	}
}

// An orderly end is told, and is no death.
func TestGracefulLeave(t *testing.T) {
	sim := newSimulation(t, 9, 3)
	sim.run(5 * second)
	n := sim.nodes["n01"]
	sim.apply(n, n.detector.Leave(sim.clock(n)))
	sim.run(50 * time.Millisecond)
	sim.nodes["n01"].crash()
	if !sim.allObserve("n01", Left) {
		t.Errorf("it is %v", sim.state("n00", "n01"))
	}
	list := sim.recordChanges()
	sim.run(20 * second)
	if len(*list) > 0 {
		t.Errorf("%+v", (*list)[0])
	}
	sim.start("n01")
	sim.run(3 * second)
	if !sim.allObserve("n01", Alive) {
		t.Errorf("back, it is %v", sim.state("n00", "n01"))
	}
}

// A version that knows no probes answers 404: it is judged by heartbeats.
func TestPeerWithoutProbeSupport(t *testing.T) {
	sim := newSimulation(t, 11, 3)
	sim.nodes["n01"].withoutProbes = true
	list := sim.recordChanges()
	sim.run(30 * second)
	for _, s := range *list {
		if s.by != "n01" {
			t.Errorf("%+v", s)
		}
	}
	sim.nodes["n01"].crash()
	sim.run(20 * second)
	if sim.state("n00", "n01") != Dead {
		t.Errorf("it ended, and is %v", sim.state("n00", "n01"))
	}
	sim.nodes["n01"].withoutProbes = false
	sim.start("n01")
	sim.run(3 * second)
	if sim.state("n00", "n01") != Alive || sim.nodes["n00"].detector.Members()[0].Heartbeats {
		t.Errorf("upgraded, it is %+v", sim.nodes["n00"].detector.Members()[0])
	}
	// And back again.
	sim.nodes["n01"].crash()
	sim.nodes["n01"].withoutProbes = true
	sim.start("n01")
	sim.run(10 * second)
	if sim.state("n00", "n01") != Alive || !sim.nodes["n00"].detector.Members()[0].Heartbeats {
		t.Errorf("rolled back, it is %+v", sim.nodes["n00"].detector.Members()[0])
	}
}

// Clocks that drift and are off by the bound are nothing to the detectors; one whose clock was
// set back at its restart gets a later incarnation all the same.
func TestClockDriftAndOffset(t *testing.T) {
	sim := newSimulation(t, 12, 3)
	sim.nodes["n00"].drift, sim.nodes["n01"].drift = 0.0005, -0.0005
	sim.nodes["n02"].clockOffset = 25 * time.Millisecond
	list := sim.recordChanges()
	sim.run(5 * time.Minute)
	if len(*list) > 0 {
		t.Errorf("%+v", (*list)[0])
	}
	sim.nodes["n01"].crash()
	sim.run(20 * second)
	sim.nodes["n01"].clockOffset = -30 * second // before its last start's refutations, within the bound on futures
	sim.start("n01")
	sim.run(10 * second)
	if !sim.allObserve("n01", Alive) {
		t.Errorf("set back, it is %v", sim.state("n00", "n01"))
	}
}

// What a controller of 24 costs: messages and bytes a second, stated in docs/failure-detection.md.
func TestTrafficOfTwentyFourControllers(t *testing.T) {
	sim := newSimulation(t, 13, 24)
	sim.run(10 * second)
	clear(sim.bytes)
	clear(sim.sent)
	const measured = 60
	sim.run(measured * second)
	for _, l := range sim.labels {
		if perSecond := float64(sim.sent[l]) / measured; perSecond > maxProbesPerRound*float64(second)/float64(testLease/5)*1.05 {
			t.Errorf("%s sends %.1f probes a second", l, perSecond)
		}
		if perSecond := sim.bytes[l] / measured; perSecond > 3000 {
			t.Errorf("%s sends %d bytes a second", l, perSecond)
		}
	}
	t.Logf("%.1f probes and %d bytes a second", float64(sim.sent["n00"])/measured, sim.bytes["n00"]/measured)
}
