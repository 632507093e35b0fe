package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A rolling upgrade: controllers are upgraded one at a time, the leader as the first, in the middle
// and as the last. The new storage format is written only after the last controller has announced
// it, and the gate opens then.
func TestRollingUpgrade(t *testing.T) {
	for _, shape := range []topology{defaultTopology, wideShape} {
		last := len(shape.controllers) - 1
		for _, place := range []int{0, last / 2, last} {
			t.Run(fmt.Sprintf("%d controllers, the leader as number %d", last+1, place), func(t *testing.T) {
				ro := newRollout(t, uint64(300+10*last+place), shape)
				order := ro.leaderAt(place)
				ro.restartAll(order[:last], newerOperator(""))
				ro.run(40 * second)
				if ro.steps[opens]+ro.steps[journals] > 0 || !ro.gateIs("closed") {
					t.Fatalf("with an older controller: %v", ro.steps)
				}
				ro.restartAll(order[last:], newerOperator(""))
				ro.until(10*second, "the gate is open", func() bool { return ro.gateIs("open") })
				ro.run(60 * second)
				if ro.steps[journals] == 0 {
					t.Error("the journal is not written")
				}
				ro.settleAndCheck()
			})
		}
	}
}

// A rollback: half way, and after the gate has opened, by operators who hold it closed first. Older
// versions then lead and find all that they need.
func TestRollback(t *testing.T) {
	for _, opened := range []bool{false, true} {
		t.Run(fmt.Sprintf("gate opened %v", opened), func(t *testing.T) {
			ro := newRollout(t, 330, defaultTopology)
			order := ro.leaderAt(1)
			if opened {
				ro.openGate()
				ro.run(20 * second)
				follower := ro.leaderAt(0)[1]
				ro.restart(follower, newerOperator(holdOn))
				ro.until(20*second, "the gate is closed", func() bool { return ro.gateIs("closed") })
				if keys := ro.journalKeys(); len(keys) > 0 {
					t.Errorf("left of the journal: %v", keys)
				}
				order = append([]int{follower}, slices.DeleteFunc(order, func(i int) bool { return i == follower })...)
			} else {
				ro.restartAll(order[:2], newerOperator(""))
			}
			ro.restartAll(order, nil)
			ro.run(20 * second)
			if lead := ro.awaitLeader(); !ro.nodes[lead].withoutGate {
				t.Error("no older version leads")
			}
			ro.settleAndCheck()
		})
	}
}

// All controllers are rolled back at once while the gate is open, against the advice of the
// documentation. No older version leads, workers keep their leases, users are told to come back;
// one controller of the newer version ends this state and has the gate closed.
func TestAllRolledBackWithTheGateOpen(t *testing.T) {
	ro := newRollout(t, 340, defaultTopology)
	ro.openGate()
	ro.run(20 * second)
	for i := range ro.nodes {
		ro.restart(i, nil)
	}
	replicas := ro.running("j-1")
	ro.run(25 * second)
	for i, n := range ro.nodes {
		if n.controller.leadership != nil {
			t.Errorf("n%d of the older version leads", i)
		}
	}
	if now := ro.running("j-1"); now != replicas {
		t.Errorf("%d replicas run, %d did", now, replicas)
	}
	ro.restart(1, newerOperator(""))
	ro.until(10*second, "the newer version leads", func() bool { return ro.leader() == 1 })
	ro.until(40*second, "the gate is closed", func() bool { return ro.gateIs("closed") })
	ro.restartAll([]int{1}, nil)
	ro.interrupts = true // some workers search for a leader for longer than their lease
	ro.settleAndCheck()
}

// A process of the older version comes back after the gate has opened. One that stays has the gate
// closed after a workers' lease; one that comes and goes, and two that do, close it at most once.
func TestOlderProcessAfterTheOpening(t *testing.T) {
	for _, back := range [][]int{{1}, {1, 2}} {
		t.Run(fmt.Sprintf("stays, %d", len(back)), func(t *testing.T) {
			ro := newRollout(t, 350, defaultTopology)
			ro.openGate()
			back := ro.leaderAt(0)[1 : 1+len(back)]
			for _, i := range back {
				ro.restart(i, nil)
			}
			ro.run(ro.cfgs[0].Lease() - 2*second)
			if !ro.gateIs("open") {
				t.Error("the gate closes before a workers' lease is over")
			}
			ro.until(20*second, "the gate is closed", func() bool { return ro.gateIs("closed") })
			ro.restartAll(back, newerOperator(""))
			ro.run(20 * second)
			if !ro.gateIs("closed") {
				t.Error("the gate opens again at once")
			}
			ro.until(60*second, "the gate is open", func() bool { return ro.gateIs("open") })
			ro.settleAndCheck()
		})
		t.Run(fmt.Sprintf("comes and goes, %d", len(back)), func(t *testing.T) {
			ro := newRollout(t, 360, defaultTopology)
			ro.openGate()
			back := ro.leaderAt(0)[1 : 1+len(back)]
			for turn := range 20 {
				for _, i := range back {
					if turn%2 == 0 {
						ro.restart(i, nil)
					} else {
						ro.restart(i, newerOperator(""))
					}
				}
				ro.run(3 * second)
			}
			if n := len(ro.states); n > 4 { // closed, open, closing, closed
				t.Errorf("the gate flaps: %v", ro.states)
			}
			ro.interrupts = len(back) == 2
			ro.settleAndCheck()
		})
	}
}

// gateFault is a fault injected when a transaction of the gate or the journal is sent.
type gateFault struct {
	name   string
	inject func(ro *rollout, node int) deliveryFault
}

const lateBy = 4 * second

var gateFaults = []gateFault{
	{"its sender ends before it leaves", func(ro *rollout, node int) deliveryFault {
		ro.endSoon(node)
		return deliveryFault{lost: true}
	}},
	{"its sender ends when it is carried out", func(ro *rollout, node int) deliveryFault {
		ro.endSoon(node)
		return deliveryFault{}
	}},
	{"its sender ends, and it is carried out late", func(ro *rollout, node int) deliveryFault {
		ro.endSoon(node)
		return deliveryFault{hold: lateBy}
	}},
	{"it is carried out late and not answered", func(*rollout, int) deliveryFault { return deliveryFault{hold: lateBy, answerLost: true} }},
	{"its answer is lost", func(*rollout, int) deliveryFault { return deliveryFault{answerLost: true} }},
	{"it is lost", func(*rollout, int) deliveryFault { return deliveryFault{lost: true} }},
	{"its sender's process pauses", func(ro *rollout, node int) deliveryFault {
		ro.at(0, func() { ro.pauseProcess(node, 6*second) })
		return deliveryFault{hold: second}
	}},
	{"the state service refuses its sender alone", func(ro *rollout, node int) deliveryFault {
		ro.state.Refuse[node] = true
		ro.at(15*second, func() { ro.state.Refuse[node] = false })
		return deliveryFault{}
	}},
	{"the state service is out for longer than a lease", func(ro *rollout, _ int) deliveryFault {
		ro.state.Outage(14 * second)
		return deliveryFault{}
	}},
	{"another controller ends", func(ro *rollout, node int) deliveryFault {
		ro.endSoon((node + 1) % len(ro.nodes))
		return deliveryFault{}
	}},
	{"two controllers end, its sender among them", func(ro *rollout, node int) deliveryFault {
		ro.endSoon(node)
		ro.endSoon((node + 1) % len(ro.nodes))
		return deliveryFault{hold: second}
	}},
	{"an older process comes back in the place of another controller", func(ro *rollout, node int) deliveryFault {
		other := (node + 1) % len(ro.nodes)
		ro.olderFor(other, 5*second)
		return deliveryFault{}
	}},
	{"two older processes come back, its sender's place among them", func(ro *rollout, node int) deliveryFault {
		for _, i := range []int{node, (node + 1) % len(ro.nodes)} {
			ro.olderFor(i, 5*second)
		}
		return deliveryFault{hold: second}
	}},
}

// olderFor runs the older version in place of a controller for a while, and then the newer one with
// the settings that it had.
func (ro *rollout) olderFor(i int, lasts time.Duration) {
	operator := ro.operators[i]
	ro.at(0, func() { ro.restart(i, nil) })
	ro.at(lasts, func() { ro.restart(i, operator) })
}

// endSoon ends a process at the next event, and starts it again after a while.
func (ro *rollout) endSoon(node int) {
	ro.at(0, func() { ro.crash(node) })
	ro.at(3*second, func() {
		if !ro.nodes[node].alive {
			ro.boot(node)
			if ro.newerSince[node] > 0 {
				ro.newerSince[node] = ro.Now()
			}
		}
	})
}

// One controller, two controllers or the state service fail at each single step of the opening and
// of the closing: the transaction that opens the gate, the first that writes the journal, the one
// that begins to close the gate, the first that deletes from the journal, and the one that closes
// the gate.
func TestFailureAtEachStepOfTheGate(t *testing.T) {
	for _, step := range []gateStep{opens, journals, closes, deletes, closed} {
		for number, fault := range gateFaults {
			t.Run(fmt.Sprintf("%s/%s", step, fault.name), func(t *testing.T) {
				ro := newRollout(t, uint64(400+number), defaultTopology)
				struck := false
				ro.onStep = func(now gateStep, node int) deliveryFault {
					if now != step || struck {
						return deliveryFault{}
					}
					struck = true
					return fault.inject(ro, node)
				}
				ro.restartAll(ro.leaderAt(0), newerOperator(""))
				ro.until(120*second, "the gate is open", func() bool { return ro.gateIs("open") })
				ro.run(20 * second)
				if step == closes || step == deletes || step == closed {
					ro.until(120*second, "the gate is open", func() bool { return ro.gateIs("open") })
					holding := ro.leaderAt(0)[2]
					ro.restart(holding, newerOperator(holdOn))
					ro.until(120*second, "the gate is closed", func() bool { return ro.gateIs("closed") })
					if keys := ro.journalKeys(); len(keys) > 0 {
						t.Errorf("left of the journal: %v", keys)
					}
				}
				if !struck {
					t.Fatal("the step did not come")
				}
				ro.settleAndCheck()
			})
		}
	}
}

// The zones are partitioned during an upgrade, while both reach the state service: before the last
// controller is upgraded, as the gate opens, and while it closes.
func TestUpgradeDuringZonePartition(t *testing.T) {
	for _, when := range []gateStep{noStep, opens, closes} {
		t.Run(string(when), func(t *testing.T) {
			ro := newRollout(t, 370, wideShape)
			part := func() {
				ro.partitionZones(when != opens, 25*second)
				parted := ro.script
				ro.script = func(node int, c Call) deliveryFault {
					if f := parted(node, c); f != (deliveryFault{}) {
						return f
					}
					return ro.fault(node, c)
				}
				ro.at(25*second, func() { ro.script, ro.heartbeatFault, ro.unreachable = ro.fault, nil, nil })
			}
			struck := false
			ro.onStep = func(step gateStep, _ int) deliveryFault {
				if step == when && !struck {
					struck = true
					ro.at(0, part)
				}
				return deliveryFault{}
			}
			order := ro.leaderAt(2)
			ro.restartAll(order[:4], newerOperator(""))
			if when == noStep {
				part()
			}
			ro.restartAll(order[4:], newerOperator(""))
			ro.until(90*second, "the gate is open", func() bool { return ro.gateIs("open") })
			ro.run(30 * second)
			ro.restart(ro.leaderAt(0)[3], newerOperator(holdOn))
			ro.until(90*second, "the gate is closed", func() bool { return ro.gateIs("closed") && len(ro.journalKeys()) == 0 })
			ro.interrupts = true // a zone's only controller may be restarted while the zone is partitioned
			ro.settleAndCheck()
		})
	}
}

// The state service's lower limits come into force during an upgrade: journal values that were
// written under the higher limits are compacted, and none is refused.
func TestUpgradeAcrossLowerLimits(t *testing.T) {
	ro := newRollout(t, 380, defaultTopology)
	for i := range ro.cfgs {
		ro.announced[i] = true
	}
	ro.openGate()
	for i := range 30 {
		ro.submit(fmt.Sprintf("j-%d", 5000+i), map[string]any{"shards": 4, "cores": 0.5, "owner": "blue"})
	}
	ro.run(4 * second)
	ro.state.Limits = lowerLimits
	ro.run(30 * second)
	ro.endSoon(ro.awaitLeader())
	ro.run(20 * second)
	if ro.state.Over > 0 {
		t.Errorf("%d transactions were over the limits", ro.state.Over)
	}
	ro.restart(ro.leaderAt(0)[1], newerOperator(holdOn))
	ro.until(60*second, "the gate is closed", func() bool { return ro.gateIs("closed") && len(ro.journalKeys()) == 0 })
	ro.settleAndCheck()
}

// Transactions that are applied when the gate is in another state than when they were sent: those
// of an older leader and an older candidate after the opening, those of the journal and the opening
// itself after the closing. All fail because of their conditions.
func TestTransactionsThatCrossTheGate(t *testing.T) {
	const late = 70 * second
	for _, c := range []struct {
		name    string
		holds   func(ro *rollout, step gateStep, node int) bool
		closing bool // they arrive after the closing
	}{
		{"an older leader's", func(ro *rollout, step gateStep, node int) bool { return ro.nodes[node].withoutGate && step == noStep }, false},
		{"an older candidate's", func(ro *rollout, step gateStep, node int) bool { return ro.nodes[node].withoutGate && step == elects }, false},
		{"the journal's", func(_ *rollout, step gateStep, _ int) bool { return step == journals }, true},
		{"the opening", func(_ *rollout, step gateStep, _ int) bool { return step == opens }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ro := newRollout(t, 390, defaultTopology)
			held, until := 0, ro.Now()+late
			ro.script = func(node int, call Call) deliveryFault {
				f := ro.fault(node, call)
				if call.Path == "/multi" && held < 3 && c.holds(ro, ro.stepOf(call.Body), node) {
					held++
					f.hold = until - ro.Now()
					ro.endSoon(node)
				}
				return f
			}
			if !c.closing {
				ro.run(3 * second)
				ro.endSoon(ro.awaitLeader())
				ro.run(5 * second)
			}
			ro.restartAll(ro.leaderAt(0), newerOperator(""))
			ro.until(30*second, "the gate is open", func() bool { return ro.gateIs("open") })
			if c.closing {
				ro.run(8 * second)
				ro.restart(ro.leaderAt(0)[1], newerOperator(holdOn))
				ro.until(30*second, "the gate is closed", func() bool { return ro.gateIs("closed") })
			}
			if held == 0 || ro.Now() >= until {
				t.Fatalf("%d were held until %v, it is %v", held, until, ro.Now())
			}
			gate := ro.gateIs("open")
			conflicts := ro.state.Stats.Conflicts
			ro.queue.RunUntil(until + second)
			if ro.state.Stats.Conflicts == conflicts {
				t.Error("what was late has met its conditions")
			}
			if ro.gateIs("open") != gate {
				t.Error("what was late has changed the gate")
			}
			ro.settleAndCheck()
		})
	}
}
