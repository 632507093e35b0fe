package membership

import (
	"fmt"
	"testing"
	"time"
)

const second = time.Second

// observedChange is a state change of one member (subject) in the view of another (observer).
type observedChange struct {
	at                time.Duration
	observer, subject string
	to                State
	reason            Reason
}

// recordChanges collects all state changes from now on.
func (s *simulation) recordChanges() *[]observedChange {
	changes := &[]observedChange{}
	s.onChange = func(at time.Duration, observer string, change StateChange) {
		*changes = append(*changes, observedChange{at, observer, change.Label, change.To, change.Reason})
	}
	return changes
}

// allObserve reports whether a controller has the wanted state in the views of all its peers.
func (s *simulation) allObserve(subject string, want State) bool {
	for _, observer := range s.others(subject) {
		if s.state(observer, subject) != want {
			return false
		}
	}
	return true
}

func TestHealthyGroupSuspectsNobody(t *testing.T) {
	for _, n := range []int{2, 3, 5, 24} {
		t.Run(fmt.Sprintf("%d controllers", n), func(t *testing.T) {
			sim := newSimulation(uint64(n), n)
			changes := sim.recordChanges()
			sim.run(2 * time.Minute)
			if len(*changes) > 0 {
				t.Errorf("unexpected state change in a healthy group: %+v", (*changes)[0])
			}
		})
	}
}

// A crashed controller is suspect first, and dead only after the suspicion timeout.
func TestSuspectThenDead(t *testing.T) {
	for _, n := range []int{2, 3, 5, 24} {
		t.Run(fmt.Sprintf("%d controllers", n), func(t *testing.T) {
			sim := newSimulation(10+uint64(n), n)
			sim.run(10 * second)
			changes := sim.recordChanges()
			crashedAt := sim.now
			sim.nodes["n01"].crash()
			sim.run(30 * second)
			if !sim.allObserve("n01", Dead) {
				t.Error("not all controllers have declared the crashed controller dead")
			}
			var suspectedAfter, deadAfter time.Duration
			for _, change := range *changes {
				if change.subject != "n01" {
					t.Errorf("state change of a controller that did not crash: %+v", change)
				}
				if change.observer == "n00" && change.to == Suspect {
					suspectedAfter = change.at - crashedAt
				}
				if change.observer == "n00" && change.to == Dead {
					deadAfter = change.at - crashedAt
				}
			}
			rounds := testLease / 5 * time.Duration((n+maxProbesPerRound-2)/maxProbesPerRound)
			if suspectedAfter <= 0 || suspectedAfter > rounds+testLease*3/10+4*testTick {
				t.Errorf("the crashed controller became suspect after %v", suspectedAfter)
			}
			if least := suspectedAfter + 2*testLease; deadAfter < least || deadAfter > suspectedAfter+6*testLease+2*testTick {
				t.Errorf("the crashed controller became suspect after %v and dead after %v", suspectedAfter, deadAfter)
			}
		})
	}
}

// A restarted controller is alive at once, but serves machines only after Settings.RejoinDelay.
func TestRejoinedMemberServesAfterDelay(t *testing.T) {
	sim := newSimulation(3, 3)
	sim.run(5 * second)
	sim.nodes["n01"].crash()
	sim.run(20 * second)
	d := sim.nodes["n00"].detector
	if d.MayServeMachines("n01", sim.now) {
		t.Error("a dead controller may serve machines")
	}
	sim.start("n01")
	sim.run(2 * second)
	if !sim.allObserve("n01", Alive) || !sim.nodes["n01"].detector.MayServeMachines("n00", sim.now) {
		t.Errorf("the restarted controller is %v, want alive in all views and serving peers", sim.state("n00", "n01"))
	}
	if d.MayServeMachines("n01", sim.now) {
		t.Error("the restarted controller may serve machines before Settings.RejoinDelay")
	}
	sim.run(20 * second)
	if !d.MayServeMachines("n01", sim.now) {
		t.Error("the restarted controller may not serve machines after Settings.RejoinDelay")
	}
	if c := d.Counters(); c.FalseDeaths+c.FalseSuspicions > 0 {
		t.Errorf("a restart was counted as a false suspicion or death: %+v", c)
	}
}

// A single bad link causes no suspicion: another controller reaches the peer and becomes the relay to it.
func TestSingleLinkFailureCausesNoSuspicion(t *testing.T) {
	for _, tc := range []struct {
		name   string
		oneWay bool
	}{{"both directions", false}, {"one direction", true}} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(4, 3)
			sim.run(5 * second)
			changes := sim.recordChanges()
			sim.dropMessage = func(from, to string) bool {
				return from == "n00" && to == "n01" || !tc.oneWay && from == "n01" && to == "n00"
			}
			sim.run(time.Minute)
			for _, change := range *changes {
				t.Errorf("state change caused by a single bad link: %+v", change)
			}
			via, reached := sim.nodes["n00"].detector.RelayRoute("n01")
			if via != "n02" || !reached {
				t.Errorf("route via %q, reached %v, want via n02", via, reached)
			}
			sim.dropMessage = func(string, string) bool { return false }
			sim.run(5 * second)
			if via, reached := sim.nodes["n00"].detector.RelayRoute("n01"); via != "" || !reached {
				t.Errorf("after the link recovered: route via %q, reached %v, want the direct route", via, reached)
			}
		})
	}
}

// A controller that pauses for less than the suspicion timeout becomes suspect, refutes the suspicion with a
// later incarnation, and never becomes dead.
func TestPausedMemberRefutesSuspicion(t *testing.T) {
	sim := newSimulation(5, 3)
	sim.run(5 * second)
	before := sim.nodes["n01"].detector.Incarnation()
	changes := sim.recordChanges()
	sim.pause("n01", 1300*time.Millisecond)
	sim.run(20 * second)
	suspected := false
	for _, change := range *changes {
		suspected = suspected || change.subject == "n01" && change.to == Suspect
		if change.to == Dead {
			t.Errorf("declared dead after a short pause: %+v", change)
		}
		if change.observer == "n01" {
			t.Errorf("state change in the view of the paused controller: %+v", change)
		}
	}
	if !suspected || !sim.allObserve("n01", Alive) {
		t.Errorf("the paused controller was suspect: %v, is alive in all views: %v; want both", suspected, sim.allObserve("n01", Alive))
	}
	if after := sim.nodes["n01"].detector.Incarnation(); after <= before {
		t.Errorf("the incarnation did not increase: %d before the pause, %d after", before, after)
	}
	if c := sim.nodes["n00"].detector.Counters(); c.FalseSuspicions == 0 {
		t.Errorf("no false suspicion was counted: %+v", c)
	}
}

// A controller that pauses for longer than the suspicion timeout becomes dead, and alive again when it resumes.
// Its death is counted as false.
func TestFalseDeathIsCounted(t *testing.T) {
	sim := newSimulation(6, 3)
	sim.run(5 * second)
	sim.pause("n01", 15*second)
	sim.run(14 * second)
	if !sim.allObserve("n01", Dead) {
		t.Error("not all controllers have declared the paused controller dead")
	}
	sim.run(5 * second)
	if !sim.allObserve("n01", Alive) {
		t.Error("the paused controller is not alive in all views after it resumed")
	}
	if c := sim.nodes["n00"].detector.Counters(); c.FalseDeaths != 1 {
		t.Errorf("want one false death: %+v", c)
	}
	if sim.nodes["n00"].detector.MayServeMachines("n01", sim.now) {
		t.Error("the resumed controller may serve machines before Settings.RejoinDelay")
	}
}

// A paused observer suspects no peer, although all answers to its probes are late.
func TestPausedObserverSuspectsNobody(t *testing.T) {
	for _, pause := range []time.Duration{testLease / 2, testLease, 7 * testLease, time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			sim := newSimulation(7, 5)
			sim.run(5 * second)
			for len(sim.nodes["n00"].detector.pending.probes) == 0 {
				sim.run(time.Millisecond) // the pause begins while probes are in flight
			}
			changes := sim.recordChanges()
			sim.pause("n00", pause)
			sim.run(pause + 20*second)
			for _, change := range *changes {
				if change.observer == "n00" {
					t.Errorf("state change in the view of the paused observer: %+v", change)
				}
			}
			if h := sim.nodes["n00"].detector.LocalHealth(); h != 0 {
				t.Errorf("the health score is %d 20 s after the pause, want 0", h)
			}
		})
	}
}

// The local health of an observer that is cut off from all others degrades. After the partition all controllers
// are alive in all views.
func TestIsolatedObserverDegradesItsHealth(t *testing.T) {
	sim := newSimulation(8, 5)
	sim.run(5 * second)
	sim.dropMessage = func(from, to string) bool { return from == "n00" || to == "n00" }
	sim.run(3 * second)
	if !sim.allObserve("n00", Suspect) && !sim.allObserve("n00", Dead) {
		t.Error("the others neither suspect the isolated controller nor declared it dead")
	}
	if sim.nodes["n00"].detector.LocalHealth() == 0 {
		t.Error("the local health of the isolated controller did not degrade")
	}
	sim.run(10 * second)
	sim.dropMessage = func(string, string) bool { return false }
	sim.run(15 * second)
	for _, observer := range sim.labels {
		for _, subject := range sim.others(observer) {
			if s := sim.state(observer, subject); s != Alive {
				t.Errorf("after the partition, in the view of %s, %s is %v", observer, subject, s)
			}
		}
	}
}

// Message loss causes no member to be declared dead.
func TestMessageLossCausesNoDeath(t *testing.T) {
	for seed := range uint64(4) {
		for _, loss := range []float64{0.05, 0.10, 0.20} {
			t.Run(fmt.Sprintf("seed %d loss %v", seed, loss), func(t *testing.T) {
				sim := newSimulation(100+seed, 5)
				sim.run(2 * second)
				changes := sim.recordChanges()
				sim.dropMessage = func(string, string) bool { return sim.random.Float64() < loss }
				sim.run(3 * time.Minute)
				checkNoDeath(t, *changes)
			})
		}
	}
}

// A link that is down for two of every six seconds causes no member to be declared dead.
func TestFlappingLinkCausesNoDeath(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			sim := newSimulation(200+seed, 3)
			changes := sim.recordChanges()
			sim.dropMessage = func(from, to string) bool {
				return (from == "n00" || to == "n00") && int(sim.now/second)%6 < 2
			}
			sim.run(3 * time.Minute)
			checkNoDeath(t, *changes)
		})
	}
}

func checkNoDeath(t *testing.T, changes []observedChange) {
	t.Helper()
	for _, change := range changes {
		if change.to == Dead {
			t.Errorf("a running controller was declared dead: %+v", change)
		}
	}
}

// A controller that leaves gracefully becomes neither suspect nor dead.
func TestGracefulLeave(t *testing.T) {
	sim := newSimulation(9, 3)
	sim.run(5 * second)
	n := sim.nodes["n01"]
	sim.apply(n, n.detector.Leave(sim.clock(n)))
	sim.run(50 * time.Millisecond)
	sim.nodes["n01"].crash()
	if !sim.allObserve("n01", Left) {
		t.Errorf("the leaving controller is %v, want left in all views", sim.state("n00", "n01"))
	}
	changes := sim.recordChanges()
	sim.run(20 * second)
	if len(*changes) > 0 {
		t.Errorf("state change after a graceful leave: %+v", (*changes)[0])
	}
	sim.start("n01")
	sim.run(3 * second)
	if !sim.allObserve("n01", Alive) {
		t.Errorf("the controller is %v after its restart, want alive in all views", sim.state("n00", "n01"))
	}
}

// A peer whose version answers probes with 404 is monitored by heartbeats until it is upgraded, and again after a
// rollback.
func TestPeerWithoutProbeSupport(t *testing.T) {
	sim := newSimulation(11, 3)
	sim.nodes["n01"].withoutProbes = true
	changes := sim.recordChanges()
	sim.run(30 * second)
	for _, change := range *changes {
		if change.observer != "n01" {
			t.Errorf("state change in the view of a controller with probe support: %+v", change)
		}
	}
	sim.nodes["n01"].crash()
	sim.run(20 * second)
	if sim.state("n00", "n01") != Dead {
		t.Errorf("the crashed peer is %v, want dead", sim.state("n00", "n01"))
	}
	sim.nodes["n01"].withoutProbes = false
	sim.start("n01")
	sim.run(3 * second)
	if sim.state("n00", "n01") != Alive || sim.nodes["n00"].detector.Members()[0].UsesHeartbeats {
		t.Errorf("want the upgraded peer alive and probed: %+v", sim.nodes["n00"].detector.Members()[0])
	}
	sim.nodes["n01"].crash()
	sim.nodes["n01"].withoutProbes = true
	sim.start("n01")
	sim.run(10 * second)
	if sim.state("n00", "n01") != Alive || !sim.nodes["n00"].detector.Members()[0].UsesHeartbeats {
		t.Errorf("want the rolled back peer alive and monitored by heartbeats: %+v", sim.nodes["n00"].detector.Members()[0])
	}
}

// Clock drift and clock errors within their bounds cause no state change. A controller whose clock was set back
// before its restart still gets a later incarnation.
func TestClockDriftAndOffset(t *testing.T) {
	sim := newSimulation(12, 3)
	sim.nodes["n00"].drift, sim.nodes["n01"].drift = 0.0005, -0.0005
	sim.nodes["n02"].clockOffset = 25 * time.Millisecond
	changes := sim.recordChanges()
	sim.run(5 * time.Minute)
	if len(*changes) > 0 {
		t.Errorf("state change caused by clock drift or clock error: %+v", (*changes)[0])
	}
	sim.nodes["n01"].crash()
	sim.run(20 * second)
	sim.nodes["n01"].clockOffset = -30 * second // set back by less than the future tolerance
	sim.start("n01")
	sim.run(10 * second)
	if !sim.allObserve("n01", Alive) {
		t.Errorf("the controller whose clock was set back is %v, want alive in all views", sim.state("n00", "n01"))
	}
}

// Bounds the requests and bytes per second that each of 24 controllers sends; docs/failure-detection.md states the
// rates.
func TestTrafficOfTwentyFourControllers(t *testing.T) {
	sim := newSimulation(13, 24)
	sim.run(10 * second)
	clear(sim.bytesSent)
	clear(sim.requestsSent)
	const measured = 60
	sim.run(measured * second)
	for _, label := range sim.labels {
		if perSecond := float64(sim.requestsSent[label]) / measured; perSecond > maxProbesPerRound*float64(second)/float64(testLease/5)*1.05 {
			t.Errorf("%s sends %.1f probes per second, more than the schedule allows", label, perSecond)
		}
		if perSecond := sim.bytesSent[label] / measured; perSecond > 3000 {
			t.Errorf("%s sends %d bytes per second, more than 3000", label, perSecond)
		}
	}
	t.Logf("n00 sends %.1f probes and %d bytes per second", float64(sim.requestsSent["n00"])/measured, sim.bytesSent["n00"]/measured)
}
