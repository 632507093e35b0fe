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
				u := newUpgradeWorld(t, uint64(300+10*last+place), shape)
				order := u.leaderAt(place)
				u.restartAll(order[:last], newerOperator(""))
				u.run(40 * second)
				if u.steps[opens]+u.steps[journals] > 0 || !u.gateIs("closed") {
					t.Fatalf("with an older controller: %v", u.steps)
				}
				u.restartAll(order[last:], newerOperator(""))
				u.until(10*second, "the gate is open", func() bool { return u.gateIs("open") })
				u.run(60 * second)
				if u.steps[journals] == 0 {
					t.Error("the journal is not written")
				}
				u.settleAndCheck()
			})
		}
	}
}

// A rollback: half way, and after the gate has opened, by operators who hold it closed first. Older
// versions then lead and find all that they need.
func TestRollback(t *testing.T) {
	for _, opened := range []bool{false, true} {
		t.Run(fmt.Sprintf("gate opened %v", opened), func(t *testing.T) {
			u := newUpgradeWorld(t, 330, defaultTopology)
			order := u.leaderAt(1)
			if opened {
				u.openGate()
				u.run(20 * second)
				follower := u.leaderAt(0)[1]
				u.restart(follower, newerOperator(holdOn))
				u.until(20*second, "the gate is closed", func() bool { return u.gateIs("closed") })
				if keys := u.journalKeys(); len(keys) > 0 {
					t.Errorf("left of the journal: %v", keys)
				}
				order = append([]int{follower}, slices.DeleteFunc(order, func(i int) bool { return i == follower })...)
			} else {
				u.restartAll(order[:2], newerOperator(""))
			}
			u.restartAll(order, nil)
			u.run(20 * second)
			if lead := u.awaitLeader(); !u.nodes[lead].withoutGate {
				t.Error("no older version leads")
			}
			u.settleAndCheck()
		})
	}
}

// All controllers are rolled back at once while the gate is open, against the advice of the
// documentation. No older version leads, workers keep their leases, users are told to come back;
// one controller of the newer version ends this state and has the gate closed.
func TestAllRolledBackWithTheGateOpen(t *testing.T) {
	u := newUpgradeWorld(t, 340, defaultTopology)
	u.openGate()
	u.run(20 * second)
	for i := range u.nodes {
		u.restart(i, nil)
	}
	replicas := u.running("j-1")
	u.run(25 * second)
	for i, n := range u.nodes {
		if n.controller.leadership != nil {
			t.Errorf("n%d of the older version leads", i)
		}
	}
	if now := u.running("j-1"); now != replicas {
		t.Errorf("%d replicas run, %d did", now, replicas)
	}
	u.restart(1, newerOperator(""))
	u.until(10*second, "the newer version leads", func() bool { return u.leader() == 1 })
	u.until(40*second, "the gate is closed", func() bool { return u.gateIs("closed") })
	u.restartAll([]int{1}, nil)
	u.interrupts = true // some workers search for a leader for longer than their lease
	u.settleAndCheck()
}

// A process of the older version comes back after the gate has opened. One that stays has the gate
// closed after a workers' lease; one that comes and goes, and two that do, close it at most once.
func TestOlderProcessAfterTheOpening(t *testing.T) {
	for _, count := range []int{1, 2} {
		t.Run(fmt.Sprintf("stays, %d", count), func(t *testing.T) { checkOlderProcessesStay(t, count) })
		t.Run(fmt.Sprintf("comes and goes, %d", count), func(t *testing.T) { checkOlderProcessesComeAndGo(t, count) })
	}
}

// checkOlderProcessesStay has so many controllers run the older version until the gate has closed.
func checkOlderProcessesStay(t *testing.T, count int) {
	u := newUpgradeWorld(t, 350, defaultTopology)
	u.openGate()
	back := u.leaderAt(0)[1 : 1+count]
	for _, i := range back {
		u.restart(i, nil)
	}
	u.run(u.cfgs[0].WorkerLease() - 2*second)
	if !u.gateIs("open") {
		t.Error("the gate closes before a workers' lease is over")
	}
	u.until(20*second, "the gate is closed", func() bool { return u.gateIs("closed") })
	u.restartAll(back, newerOperator(""))
	u.run(20 * second)
	if !u.gateIs("closed") {
		t.Error("the gate opens again at once")
	}
	u.until(60*second, "the gate is open", func() bool { return u.gateIs("open") })
	u.settleAndCheck()
}

// checkOlderProcessesComeAndGo has so many controllers alternate between the versions.
func checkOlderProcessesComeAndGo(t *testing.T, count int) {
	u := newUpgradeWorld(t, 360, defaultTopology)
	u.openGate()
	back := u.leaderAt(0)[1 : 1+count]
	for turn := range 20 {
		for _, i := range back {
			if turn%2 == 0 {
				u.restart(i, nil)
			} else {
				u.restart(i, newerOperator(""))
			}
		}
		u.run(3 * second)
	}
	if n := len(u.states); n > 4 { // closed, open, closing, closed
		t.Errorf("the gate flaps: %v", u.states)
	}
	u.interrupts = count == 2
	u.settleAndCheck()
}

// gateFault is a fault injected when a transaction of the gate or the journal is sent.
type gateFault struct {
	name   string
	inject func(u *upgradeWorld, node int) deliveryFault
}

const lateBy = 4 * second

var gateFaults = []gateFault{
	{"its sender ends before it leaves", func(u *upgradeWorld, node int) deliveryFault {
		u.endSoon(node)
		return deliveryFault{lost: true}
	}},
	{"its sender ends when it is carried out", func(u *upgradeWorld, node int) deliveryFault {
		u.endSoon(node)
		return deliveryFault{}
	}},
	{"its sender ends, and it is carried out late", func(u *upgradeWorld, node int) deliveryFault {
		u.endSoon(node)
		return deliveryFault{hold: lateBy}
	}},
	{"it is carried out late and not answered", func(*upgradeWorld, int) deliveryFault { return deliveryFault{hold: lateBy, answerLost: true} }},
	{"its answer is lost", func(*upgradeWorld, int) deliveryFault { return deliveryFault{answerLost: true} }},
	{"it is lost", func(*upgradeWorld, int) deliveryFault { return deliveryFault{lost: true} }},
	{"its sender's process pauses", func(u *upgradeWorld, node int) deliveryFault {
		u.at(0, func() { u.pauseProcess(node, 6*second) })
		return deliveryFault{hold: second}
	}},
	{"the state service refuses its sender alone", func(u *upgradeWorld, node int) deliveryFault {
		u.state.RefusedClients[node] = true
		u.at(15*second, func() { u.state.RefusedClients[node] = false })
		return deliveryFault{}
	}},
	{"the state service is out for longer than a lease", func(u *upgradeWorld, _ int) deliveryFault {
		u.state.Outage(14 * second)
		return deliveryFault{}
	}},
	{"another controller ends", func(u *upgradeWorld, node int) deliveryFault {
		u.endSoon((node + 1) % len(u.nodes))
		return deliveryFault{}
	}},
	{"two controllers end, its sender among them", func(u *upgradeWorld, node int) deliveryFault {
		u.endSoon(node)
		u.endSoon((node + 1) % len(u.nodes))
		return deliveryFault{hold: second}
	}},
	{"an older process comes back in the place of another controller", func(u *upgradeWorld, node int) deliveryFault {
		other := (node + 1) % len(u.nodes)
		u.olderFor(other, 5*second)
		return deliveryFault{}
	}},
	{"two older processes come back, its sender's place among them", func(u *upgradeWorld, node int) deliveryFault {
		for _, i := range []int{node, (node + 1) % len(u.nodes)} {
			u.olderFor(i, 5*second)
		}
		return deliveryFault{hold: second}
	}},
}

// olderFor runs the older version in place of a controller for a while, and then the newer one with
// the settings that it had.
func (u *upgradeWorld) olderFor(i int, lasts time.Duration) {
	operator := u.operators[i]
	u.at(0, func() { u.restart(i, nil) })
	u.at(lasts, func() { u.restart(i, operator) })
}

// endSoon ends a process at the next event, and starts it again after a while.
func (u *upgradeWorld) endSoon(node int) {
	u.at(0, func() { u.crash(node) })
	u.at(3*second, func() {
		if !u.nodes[node].alive {
			u.boot(node)
			if u.newerSince[node] > 0 {
				u.newerSince[node] = u.Now()
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
				u := newUpgradeWorld(t, uint64(400+number), defaultTopology)
				struck := false
				u.onStep = func(now gateStep, node int) deliveryFault {
					if now != step || struck {
						return deliveryFault{}
					}
					struck = true
					return fault.inject(u, node)
				}
				u.restartAll(u.leaderAt(0), newerOperator(""))
				u.until(120*second, "the gate is open", func() bool { return u.gateIs("open") })
				u.run(20 * second)
				if step == closes || step == deletes || step == closed {
					u.until(120*second, "the gate is open", func() bool { return u.gateIs("open") })
					holding := u.leaderAt(0)[2]
					u.restart(holding, newerOperator(holdOn))
					u.until(120*second, "the gate is closed", func() bool { return u.gateIs("closed") })
					if keys := u.journalKeys(); len(keys) > 0 {
						t.Errorf("left of the journal: %v", keys)
					}
				}
				if !struck {
					t.Fatal("the step did not come")
				}
				u.settleAndCheck()
			})
		}
	}
}

// The zones are partitioned during an upgrade, while both reach the state service: before the last
// controller is upgraded, as the gate opens, and while it closes.
func TestUpgradeDuringZonePartition(t *testing.T) {
	for _, when := range []gateStep{noStep, opens, closes} {
		t.Run(string(when), func(t *testing.T) {
			u := newUpgradeWorld(t, 370, wideShape)
			part := func() {
				u.partitionZones(when != opens, 25*second)
				parted := u.script
				u.script = func(node int, c Call) deliveryFault {
					if f := parted(node, c); f != (deliveryFault{}) {
						return f
					}
					return u.fault(node, c)
				}
				u.at(25*second, func() { u.script, u.heartbeatFault, u.unreachable = u.fault, nil, nil })
			}
			struck := false
			u.onStep = func(step gateStep, _ int) deliveryFault {
				if step == when && !struck {
					struck = true
					u.at(0, part)
				}
				return deliveryFault{}
			}
			order := u.leaderAt(2)
			u.restartAll(order[:4], newerOperator(""))
			if when == noStep {
				part()
			}
			u.restartAll(order[4:], newerOperator(""))
			u.until(90*second, "the gate is open", func() bool { return u.gateIs("open") })
			u.run(30 * second)
			u.restart(u.leaderAt(0)[3], newerOperator(holdOn))
			u.until(90*second, "the gate is closed", func() bool { return u.gateIs("closed") && len(u.journalKeys()) == 0 })
			u.interrupts = true // a zone's only controller may be restarted while the zone is partitioned
			u.settleAndCheck()
		})
	}
}

// The state service's lower limits come into force during an upgrade: journal values that were
// written under the higher limits are compacted, and none is refused.
func TestUpgradeAcrossLowerLimits(t *testing.T) {
	u := newUpgradeWorld(t, 380, defaultTopology)
	for i := range u.cfgs {
		u.announced[i] = true
	}
	u.openGate()
	for i := range 30 {
		u.submit(fmt.Sprintf("j-%d", 5000+i), map[string]any{"shards": 4, "cores": 0.5, "owner": "blue"})
	}
	u.run(4 * second)
	u.state.Limits = lowerLimits
	u.run(30 * second)
	u.endSoon(u.awaitLeader())
	u.run(20 * second)
	if u.state.TooLarge > 0 {
		t.Errorf("%d transactions were over the limits", u.state.TooLarge)
	}
	u.restart(u.leaderAt(0)[1], newerOperator(holdOn))
	u.until(60*second, "the gate is closed", func() bool { return u.gateIs("closed") && len(u.journalKeys()) == 0 })
	u.settleAndCheck()
}

// Transactions that are applied when the gate is in another state than when they were sent: those
// of an older leader and an older candidate after the opening, those of the journal and the opening
// itself after the closing. All fail because of their conditions.
func TestTransactionsThatCrossTheGate(t *testing.T) {
	const late = 70 * second
	for _, c := range []struct {
		name    string
		holds   func(u *upgradeWorld, step gateStep, node int) bool
		closing bool // they arrive after the closing
	}{
		{"an older leader's", func(u *upgradeWorld, step gateStep, node int) bool {
			return u.nodes[node].withoutGate && step == noStep
		}, false},
		{"an older candidate's", func(u *upgradeWorld, step gateStep, node int) bool {
			return u.nodes[node].withoutGate && step == elects
		}, false},
		{"the journal's", func(_ *upgradeWorld, step gateStep, _ int) bool { return step == journals }, true},
		{"the opening", func(_ *upgradeWorld, step gateStep, _ int) bool { return step == opens }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newUpgradeWorld(t, 390, defaultTopology)
			held, until := 0, u.Now()+late
			u.script = func(node int, call Call) deliveryFault {
				f := u.fault(node, call)
				if call.Path == "/multi" && held < 3 && c.holds(u, u.stepOf(call.Body), node) {
					held++
					f.hold = until - u.Now()
					u.endSoon(node)
				}
				return f
			}
			if !c.closing {
				u.run(3 * second)
				u.endSoon(u.awaitLeader())
				u.run(5 * second)
			}
			u.restartAll(u.leaderAt(0), newerOperator(""))
			u.until(30*second, "the gate is open", func() bool { return u.gateIs("open") })
			if c.closing {
				u.run(8 * second)
				u.restart(u.leaderAt(0)[1], newerOperator(holdOn))
				u.until(30*second, "the gate is closed", func() bool { return u.gateIs("closed") })
			}
			if held == 0 || u.Now() >= until {
				t.Fatalf("%d were held until %v, it is %v", held, until, u.Now())
			}
			gate := u.gateIs("open")
			conflicts := u.state.Stats.Conflicts
			u.queue.RunUntil(until + second)
			if u.state.Stats.Conflicts == conflicts {
				t.Error("what was late has met its conditions")
			}
			if u.gateIs("open") != gate {
				t.Error("what was late has changed the gate")
			}
			u.settleAndCheck()
		})
	}
}
