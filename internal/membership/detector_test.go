package membership

import (
	"fmt"
	"testing"
	"time"
)

const second = time.Second

// observedChange is a change of state that one member (by) saw of another (of).
type observedChange struct {
	at     time.Duration
	by, of string
	to     State
	reason Reason
}

// recordChanges collects the changes of state from now on.
func (s *simulation) recordChanges() *[]observedChange {
	list := &[]observedChange{}
	s.onChange = func(at time.Duration, by string, c StateChange) {
		*list = append(*list, observedChange{at, by, c.Label, c.To, c.Reason})
	}
	return list
}

// allObserve reports whether a controller has the wanted state for all its peers.
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
		t.Run(fmt.Sprintf("%d controllers", n), func(t *testing.T) {
			sim := newSimulation(uint64(n), n)
			list := sim.recordChanges()
			sim.run(2 * time.Minute)
			if len(*list) > 0 {
				t.Errorf("%+v", (*list)[0])
			}
		})
	}
}

// A controller that crashed is suspected first, and dead only after the suspicion timeout.
func TestSuspectThenDead(t *testing.T) {
	for _, n := range []int{2, 3, 5, 24} {
		t.Run(fmt.Sprintf("%d controllers", n), func(t *testing.T) {
			sim := newSimulation(10+uint64(n), n)
			sim.run(10 * second)
			list := sim.recordChanges()
			killed := sim.now
			sim.nodes["n01"].crash()
			sim.run(30 * second)
			if !sim.allObserve("n01", Dead) {
				t.Error("the crashed controller is not dead to all")
			}
			var suspected, dead time.Duration
			for _, s := range *list {
				if s.of != "n01" {
					t.Errorf("change of another controller: %+v", s)
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
				t.Errorf("suspected after %v", suspected)
			}
			if least := suspected + 2*testLease; dead < least || dead > suspected+6*testLease+2*testTick {
				t.Errorf("suspected after %v, dead after %v", suspected, dead)
			}
		})
	}
}

// A process that comes back is alive at once, and serves machines only after Settings.Steady.
func TestRejoinedMemberServesAfterDelay(t *testing.T) {
	sim := newSimulation(3, 3)
	sim.run(5 * second)
	sim.nodes["n01"].crash()
	sim.run(20 * second)
	d := sim.nodes["n00"].detector
	if d.MayServeMachines("n01", sim.now) {
		t.Error("a dead controller serves machines")
	}
	sim.start("n01")
	sim.run(2 * second)
	if !sim.allObserve("n01", Alive) || !sim.nodes["n01"].detector.MayServeMachines("n00", sim.now) {
		t.Errorf("it is %v", sim.state("n00", "n01"))
	}
	if d.MayServeMachines("n01", sim.now) {
		t.Error("it serves machines at once")
	}
	sim.run(20 * second)
	if !d.MayServeMachines("n01", sim.now) {
		t.Error("it does not serve machines after Settings.Steady")
	}
	if c := d.Counters(); c.FalseDeaths+c.FalseSuspicions > 0 {
		t.Errorf("a restart is counted as a false suspicion or death: %+v", c)
	}
}

// A single bad link makes nobody suspect, as another controller reaches the peer and becomes its relay.
func TestSingleLinkFailureCausesNoSuspicion(t *testing.T) {
	for _, tc := range []struct {
		name   string
		oneWay bool
	}{{"both directions", false}, {"one direction", true}} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(4, 3)
			sim.run(5 * second)
			list := sim.recordChanges()
			sim.dropMessage = func(from, to string) bool {
				return from == "n00" && to == "n01" || !tc.oneWay && from == "n01" && to == "n00"
			}
			sim.run(time.Minute)
			for _, s := range *list {
				t.Errorf("%+v", s)
			}
			via, reached := sim.nodes["n00"].detector.RelayRoute("n01")
			if via != "n02" || !reached {
				t.Errorf("route via %q, reached %v", via, reached)
			}
			sim.dropMessage = func(string, string) bool { return false }
			sim.run(5 * second)
			if via, reached := sim.nodes["n00"].detector.RelayRoute("n01"); via != "" || !reached {
				t.Errorf("after the link is back: route via %q, reached %v", via, reached)
			}
		})
	}
}

// A controller that pauses for less than the suspicion timeout is suspected, refutes that by a later
// incarnation, and is never dead.
func TestPausedMemberRefutesSuspicion(t *testing.T) {
	sim := newSimulation(5, 3)
	sim.run(5 * second)
	before := sim.nodes["n01"].detector.Incarnation()
	list := sim.recordChanges()
	sim.pause("n01", 1300*time.Millisecond)
	sim.run(20 * second)
	suspected := false
	for _, s := range *list {
		suspected = suspected || s.of == "n01" && s.to == Suspect
		if s.to == Dead {
			t.Errorf("%+v", s)
		}
		if s.by == "n01" {
			t.Errorf("the paused observer: %+v", s)
		}
	}
	if !suspected || !sim.allObserve("n01", Alive) {
		t.Errorf("suspected %v, alive to all %v", suspected, sim.allObserve("n01", Alive))
	}
	if after := sim.nodes["n01"].detector.Incarnation(); after <= before {
		t.Errorf("incarnation %d before, %d after", before, after)
	}
	if c := sim.nodes["n00"].detector.Counters(); c.FalseSuspicions == 0 {
		t.Errorf("no false suspicion is counted: %+v", c)
	}
}

// A controller that pauses for longer than the suspicion timeout is dead, and alive again once it goes
// on; its death is counted as false.
func TestFalseDeathIsCounted(t *testing.T) {
	sim := newSimulation(6, 3)
	sim.run(5 * second)
	sim.pause("n01", 15*second)
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
	if sim.nodes["n00"].detector.MayServeMachines("n01", sim.now) {
		t.Error("it serves machines at once")
	}
}

// An observer that was paused suspects nobody, though all answers were late for it.
func TestPausedObserverSuspectsNobody(t *testing.T) {
	for _, pause := range []time.Duration{testLease / 2, testLease, 7 * testLease, time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			sim := newSimulation(7, 5)
			sim.run(5 * second)
			for len(sim.nodes["n00"].detector.pending.probes) == 0 {
				sim.run(time.Millisecond) // the pause begins while probes are in flight
			}
			list := sim.recordChanges()
			sim.pause("n00", pause)
			sim.run(pause + 20*second)
			for _, s := range *list {
				if s.by == "n00" {
					t.Errorf("%+v", s)
				}
			}
			if h := sim.nodes["n00"].detector.LocalHealth(); h != 0 {
				t.Errorf("20 s after the pause its health score is %d", h)
			}
		})
	}
}

// An observer that is cut off from all others trusts its own silence less, and all are alive to all after
// the partition.
func TestIsolatedObserverDegradesItsHealth(t *testing.T) {
	sim := newSimulation(8, 5)
	sim.run(5 * second)
	sim.dropMessage = func(from, to string) bool { return from == "n00" || to == "n00" }
	sim.run(3 * second)
	if !sim.allObserve("n00", Suspect) && !sim.allObserve("n00", Dead) {
		t.Error("the others do not notice")
	}
	if sim.nodes["n00"].detector.LocalHealth() == 0 {
		t.Error("its local health did not degrade")
	}
	sim.run(10 * second)
	sim.dropMessage = func(string, string) bool { return false }
	sim.run(15 * second)
	for _, by := range sim.labels {
		for _, of := range sim.others(by) {
			if s := sim.state(by, of); s != Alive {
				t.Errorf("to %s, %s is %v", by, of, s)
			}
		}
	}
}

// Lost messages declare nobody dead.
func TestMessageLossCausesNoDeath(t *testing.T) {
	for seed := range uint64(4) {
		for _, loss := range []float64{0.05, 0.10, 0.20} {
			t.Run(fmt.Sprintf("seed %d loss %v", seed, loss), func(t *testing.T) {
				sim := newSimulation(100+seed, 5)
				sim.run(2 * second)
				list := sim.recordChanges()
				sim.dropMessage = func(string, string) bool { return sim.random.Float64() < loss }
				sim.run(3 * time.Minute)
				checkNoDeath(t, *list)
			})
		}
	}
}

// A link that is down for two of each six seconds declares nobody dead.
func TestFlappingLinkCausesNoDeath(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(200+seed, 3)
			list := sim.recordChanges()
			sim.dropMessage = func(from, to string) bool {
				return (from == "n00" || to == "n00") && int(sim.now/second)%6 < 2
			}
			sim.run(3 * time.Minute)
			checkNoDeath(t, *list)
		})
	}
}

func checkNoDeath(t *testing.T, list []observedChange) {
	t.Helper()
	for _, s := range list {
		if s.to == Dead {
			t.Errorf("%+v", s)
		}
	}
}

// A controller that leaves gracefully is neither suspected nor dead.
func TestGracefulLeave(t *testing.T) {
	sim := newSimulation(9, 3)
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

// A peer whose version answers probes with 404 is judged by heartbeats, until it is upgraded and again
// after a rollback.
func TestPeerWithoutProbeSupport(t *testing.T) {
	sim := newSimulation(11, 3)
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
	if sim.state("n00", "n01") != Alive || sim.nodes["n00"].detector.Members()[0].UsesHeartbeats {
		t.Errorf("upgraded, it is %+v", sim.nodes["n00"].detector.Members()[0])
	}
	sim.nodes["n01"].crash()
	sim.nodes["n01"].withoutProbes = true
	sim.start("n01")
	sim.run(10 * second)
	if sim.state("n00", "n01") != Alive || !sim.nodes["n00"].detector.Members()[0].UsesHeartbeats {
		t.Errorf("rolled back, it is %+v", sim.nodes["n00"].detector.Members()[0])
	}
}

// Clocks that drift, or are off by no more than their bound, cause no change of state. A controller whose
// clock was set back before its restart still gets a later incarnation.
func TestClockDriftAndOffset(t *testing.T) {
	sim := newSimulation(12, 3)
	sim.nodes["n00"].drift, sim.nodes["n01"].drift = 0.0005, -0.0005
	sim.nodes["n02"].clockOffset = 25 * time.Millisecond
	list := sim.recordChanges()
	sim.run(5 * time.Minute)
	if len(*list) > 0 {
		t.Errorf("%+v", (*list)[0])
	}
	sim.nodes["n01"].crash()
	sim.run(20 * second)
	sim.nodes["n01"].clockOffset = -30 * second // set back, within the bound on the future
	sim.start("n01")
	sim.run(10 * second)
	if !sim.allObserve("n01", Alive) {
		t.Errorf("set back, it is %v", sim.state("n00", "n01"))
	}
}

// The messages and bytes a second that a controller of 24 sends; docs/failure-detection.md states them.
func TestTrafficOfTwentyFourControllers(t *testing.T) {
	sim := newSimulation(13, 24)
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
