package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// In a rolling upgrade, controllers are upgraded one at a time: the leader first, in the middle or
// last. The gate opens, and the new storage format is written, only after all controllers have
// announced support for it.
func TestRollingUpgrade(t *testing.T) {
	for _, shape := range []topology{defaultTopology, fiveControllerTopology} {
		last := len(shape.controllers) - 1
		for _, position := range []int{0, last / 2, last} {
			t.Run(fmt.Sprintf("%d controllers, leader at position %d", last+1, position), func(t *testing.T) {
				u := newUpgradeWorld(t, uint64(300+10*last+position), shape)
				order := u.orderWithLeaderAt(position)
				u.restartAll(order[:last], newerOperator(""))
				u.run(40 * second)
				if u.steps[stepOpenGate]+u.steps[stepWriteJournal] > 0 || !u.gateIs("closed") {
					t.Fatalf("the gate opened or the journal was written with an older controller running: %v", u.steps)
				}
				u.restartAll(order[last:], newerOperator(""))
				u.until(10*second, "the gate is open", func() bool { return u.gateIs("open") })
				u.run(60 * second)
				if u.steps[stepWriteJournal] == 0 {
					t.Error("the journal is not written although the gate is open")
				}
				u.settleAndCheck()
			})
		}
	}
}

// A rollback halfway through the upgrade, or after the gate has opened, in which case the operators
// close it first. The older version then leads and finds all records that it needs.
func TestRollback(t *testing.T) {
	for _, opened := range []bool{false, true} {
		t.Run(fmt.Sprintf("gate opened %v", opened), func(t *testing.T) {
			u := newUpgradeWorld(t, 330, defaultTopology)
			order := u.orderWithLeaderAt(1)
			if opened {
				u.openGate()
				u.run(20 * second)
				follower := u.orderWithLeaderAt(0)[1]
				u.restart(follower, newerOperator(holdGateSettings))
				u.until(20*second, "the gate is closed", func() bool { return u.gateIs("closed") })
				if keys := u.journalKeys(); len(keys) > 0 {
					t.Errorf("journal keys left after the gate has closed: %v", keys)
				}
				order = append([]int{follower}, slices.DeleteFunc(order, func(i int) bool { return i == follower })...)
			} else {
				u.restartAll(order[:2], newerOperator(""))
			}
			u.restartAll(order, nil)
			u.run(20 * second)
			if lead := u.awaitLeader(); !u.nodes[lead].withoutGate {
				t.Error("the leader does not run the older version")
			}
			u.settleAndCheck()
		})
	}
}

// All controllers are rolled back at once while the gate is open, contrary to the documentation. No
// controller of the older version becomes leader and the replicas keep running. A single controller of
// the newer version then takes the leadership and closes the gate.
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
			t.Errorf("n%d leads with the older version while the gate is open", i)
		}
	}
	if running := u.running("j-1"); running != replicas {
		t.Errorf("%d replicas run, %d before the rollback", running, replicas)
	}
	u.restart(1, newerOperator(""))
	u.until(10*second, "the newer version leads", func() bool { return u.leader() == 1 })
	u.until(40*second, "the gate is closed", func() bool { return u.gateIs("closed") })
	u.restartAll([]int{1}, nil)
	u.allowRestarts = true // the leases of workers that find no leader in time expire
	u.settleAndCheck()
}

// One or two controllers run the older version again after the gate has opened. If they keep it, the
// gate closes after a worker's lease. If they alternate between the versions, the gate closes at most
// once.
func TestOlderProcessAfterTheOpening(t *testing.T) {
	for _, count := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d keep the older version", count), func(t *testing.T) { checkOlderProcessesStay(t, count) })
		t.Run(fmt.Sprintf("%d alternate between versions", count), func(t *testing.T) { checkAlternatingVersions(t, count) })
	}
}

// checkOlderProcessesStay has count controllers run the older version until the gate has closed.
func checkOlderProcessesStay(t *testing.T, count int) {
	u := newUpgradeWorld(t, 350, defaultTopology)
	u.openGate()
	olderNodes := u.orderWithLeaderAt(0)[1 : 1+count]
	for _, i := range olderNodes {
		u.restart(i, nil)
	}
	u.run(u.cfgs[0].WorkerLease() - 2*second)
	if !u.gateIs("open") {
		t.Error("the gate closed before a worker's lease has passed")
	}
	u.until(20*second, "the gate is closed", func() bool { return u.gateIs("closed") })
	u.restartAll(olderNodes, newerOperator(""))
	u.run(20 * second)
	if !u.gateIs("closed") {
		t.Error("the gate opened again within 20 s")
	}
	u.until(60*second, "the gate is open", func() bool { return u.gateIs("open") })
	u.settleAndCheck()
}

// checkAlternatingVersions has count controllers alternate between the versions.
func checkAlternatingVersions(t *testing.T, count int) {
	u := newUpgradeWorld(t, 360, defaultTopology)
	u.openGate()
	olderNodes := u.orderWithLeaderAt(0)[1 : 1+count]
	for turn := range 20 {
		for _, i := range olderNodes {
			if turn%2 == 0 {
				u.restart(i, nil)
			} else {
				u.restart(i, newerOperator(""))
			}
		}
		u.run(3 * second)
	}
	if n := len(u.states); n > 4 { // closed, open, closing, closed
		t.Errorf("the gate changed its state too often: %v", u.states)
	}
	u.allowRestarts = count == 2
	u.settleAndCheck()
}

// gateFault is a fault that is injected when a transaction on the gate or the journal is sent.
type gateFault struct {
	name   string
	inject func(u *upgradeWorld, node int) deliveryFault
}

// lateDelay is the delay of transactions that are applied late.
const lateDelay = 4 * second

var gateFaults = []gateFault{
	{"the sender crashes and the transaction is lost", func(u *upgradeWorld, node int) deliveryFault {
		u.crashAndRestart(node)
		return deliveryFault{lost: true}
	}},
	{"the sender crashes and the transaction is applied", func(u *upgradeWorld, node int) deliveryFault {
		u.crashAndRestart(node)
		return deliveryFault{}
	}},
	{"the sender crashes and the transaction is applied late", func(u *upgradeWorld, node int) deliveryFault {
		u.crashAndRestart(node)
		return deliveryFault{delay: lateDelay}
	}},
	{"the transaction is applied late and its answer is lost", func(*upgradeWorld, int) deliveryFault { return deliveryFault{delay: lateDelay, replyLost: true} }},
	{"the answer is lost", func(*upgradeWorld, int) deliveryFault { return deliveryFault{replyLost: true} }},
	{"the transaction is lost", func(*upgradeWorld, int) deliveryFault { return deliveryFault{lost: true} }},
	{"the sender's process pauses", func(u *upgradeWorld, node int) deliveryFault {
		u.after(0, func() { u.pauseProcess(node, 6*second) })
		return deliveryFault{delay: second}
	}},
	{"the state service refuses only the sender", func(u *upgradeWorld, node int) deliveryFault {
		u.state.RefusedClients[node] = true
		u.after(15*second, func() { u.state.RefusedClients[node] = false })
		return deliveryFault{}
	}},
	{"the state service is down for longer than a worker's lease", func(u *upgradeWorld, _ int) deliveryFault {
		u.state.InjectOutage(14 * second)
		return deliveryFault{}
	}},
	{"another controller crashes", func(u *upgradeWorld, node int) deliveryFault {
		u.crashAndRestart((node + 1) % len(u.nodes))
		return deliveryFault{}
	}},
	{"the sender and another controller crash", func(u *upgradeWorld, node int) deliveryFault {
		u.crashAndRestart(node)
		u.crashAndRestart((node + 1) % len(u.nodes))
		return deliveryFault{delay: second}
	}},
	{"another controller runs the older version for a while", func(u *upgradeWorld, node int) deliveryFault {
		other := (node + 1) % len(u.nodes)
		u.runOlderVersion(other, 5*second)
		return deliveryFault{}
	}},
	{"the sender and another controller run the older version for a while", func(u *upgradeWorld, node int) deliveryFault {
		for _, i := range []int{node, (node + 1) % len(u.nodes)} {
			u.runOlderVersion(i, 5*second)
		}
		return deliveryFault{delay: second}
	}},
}

// runOlderVersion restarts a controller with the older version and, after the given time, with the newer
// version and its previous settings.
func (u *upgradeWorld) runOlderVersion(i int, duration time.Duration) {
	operator := u.operators[i]
	u.after(0, func() { u.restart(i, nil) })
	u.after(duration, func() { u.restart(i, operator) })
}

// crashAndRestart crashes a controller once the current event has been handled, and boots it three seconds
// later.
func (u *upgradeWorld) crashAndRestart(node int) {
	u.after(0, func() { u.crash(node) })
	u.after(3*second, func() {
		if !u.nodes[node].alive {
			u.boot(node)
			if u.newerSince[node] > 0 {
				u.newerSince[node] = u.Now()
			}
		}
	})
}

// One controller, two controllers or the state service fail at each step of the gate's opening and
// closing: the transaction that opens the gate, the first write to the journal, the transaction that
// starts the closing, the first deletion from the journal, and the transaction that closes the gate.
func TestFailureAtEachStepOfTheGate(t *testing.T) {
	for _, step := range []gateStep{stepOpenGate, stepWriteJournal, stepBeginClosing, stepDeleteJournal, stepCloseGate} {
		for number, fault := range gateFaults {
			t.Run(fmt.Sprintf("%s/%s", step, fault.name), func(t *testing.T) {
				u := newUpgradeWorld(t, uint64(400+number), defaultTopology)
				injected := false
				u.faultForStep = func(now gateStep, node int) deliveryFault {
					if now != step || injected {
						return deliveryFault{}
					}
					injected = true
					return fault.inject(u, node)
				}
				u.restartAll(u.orderWithLeaderAt(0), newerOperator(""))
				u.until(120*second, "the gate is open", func() bool { return u.gateIs("open") })
				u.run(20 * second)
				if step == stepBeginClosing || step == stepDeleteJournal || step == stepCloseGate {
					u.until(120*second, "the gate is open", func() bool { return u.gateIs("open") })
					holding := u.orderWithLeaderAt(0)[2]
					u.restart(holding, newerOperator(holdGateSettings))
					u.until(120*second, "the gate is closed", func() bool { return u.gateIs("closed") })
					if keys := u.journalKeys(); len(keys) > 0 {
						t.Errorf("journal keys left after the gate has closed: %v", keys)
					}
				}
				if !injected {
					t.Fatalf("no transaction of step %q was sent", step)
				}
				u.settleAndCheck()
			})
		}
	}
}

// The zones are partitioned from each other during an upgrade, and both still reach the state service:
// before the last controller is upgraded, when the gate opens, or while it closes.
func TestUpgradeDuringZonePartition(t *testing.T) {
	for _, when := range []gateStep{stepNone, stepOpenGate, stepBeginClosing} {
		t.Run(string(when), func(t *testing.T) {
			u := newUpgradeWorld(t, 370, fiveControllerTopology)
			partition := func() {
				u.partitionZones(when != stepOpenGate, 25*second)
				partitionFault := u.callFault
				u.callFault = func(node int, c Call) deliveryFault {
					if f := partitionFault(node, c); f != (deliveryFault{}) {
						return f
					}
					return u.fault(node, c)
				}
				u.after(25*second, func() { u.callFault, u.heartbeatFault, u.unreachable = u.fault, nil, nil })
			}
			injected := false
			u.faultForStep = func(step gateStep, _ int) deliveryFault {
				if step == when && !injected {
					injected = true
					u.after(0, partition)
				}
				return deliveryFault{}
			}
			order := u.orderWithLeaderAt(2)
			u.restartAll(order[:4], newerOperator(""))
			if when == stepNone {
				partition()
			}
			u.restartAll(order[4:], newerOperator(""))
			u.until(90*second, "the gate is open", func() bool { return u.gateIs("open") })
			u.run(30 * second)
			u.restart(u.orderWithLeaderAt(0)[3], newerOperator(holdGateSettings))
			u.until(90*second, "the gate is closed", func() bool { return u.gateIs("closed") && len(u.journalKeys()) == 0 })
			u.allowRestarts = true // the only controller of a zone may restart while the zone is partitioned
			u.settleAndCheck()
		})
	}
}

// The limits of the state service are lowered during an upgrade: journal values that were written
// under the higher limits are compacted, and no transaction exceeds the new limits.
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
	u.crashAndRestart(u.awaitLeader())
	u.run(20 * second)
	if u.state.TooLargeTransactions > 0 {
		t.Errorf("%d transactions exceeded the limits", u.state.TooLargeTransactions)
	}
	u.restart(u.orderWithLeaderAt(0)[1], newerOperator(holdGateSettings))
	u.until(60*second, "the gate is closed", func() bool { return u.gateIs("closed") && len(u.journalKeys()) == 0 })
	u.settleAndCheck()
}

// Transactions that arrive at the state service after the gate has changed its state: transactions of a
// leader or a candidate of the older version after the opening, writes to the journal and the opening
// itself after the closing. All fail because of their conditions.
func TestTransactionsThatCrossTheGate(t *testing.T) {
	const late = 70 * second
	for _, c := range []struct {
		name    string
		holds   func(u *upgradeWorld, step gateStep, node int) bool
		closing bool // the transactions arrive after the gate has closed
	}{
		{"writes of an older leader", func(u *upgradeWorld, step gateStep, node int) bool {
			return u.nodes[node].withoutGate && step == stepNone
		}, false},
		{"election of an older candidate", func(u *upgradeWorld, step gateStep, node int) bool {
			return u.nodes[node].withoutGate && step == stepElect
		}, false},
		{"writes to the journal", func(_ *upgradeWorld, step gateStep, _ int) bool { return step == stepWriteJournal }, true},
		{"opening of the gate", func(_ *upgradeWorld, step gateStep, _ int) bool { return step == stepOpenGate }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newUpgradeWorld(t, 390, defaultTopology)
			delayed, arrival := 0, u.Now()+late
			u.callFault = func(node int, call Call) deliveryFault {
				f := u.fault(node, call)
				if call.Path == "/multi" && delayed < 3 && c.holds(u, u.stepOf(call.Body), node) {
					delayed++
					f.delay = arrival - u.Now()
					u.crashAndRestart(node)
				}
				return f
			}
			if !c.closing {
				u.run(3 * second)
				u.crashAndRestart(u.awaitLeader())
				u.run(5 * second)
			}
			u.restartAll(u.orderWithLeaderAt(0), newerOperator(""))
			u.until(30*second, "the gate is open", func() bool { return u.gateIs("open") })
			if c.closing {
				u.run(8 * second)
				u.restart(u.orderWithLeaderAt(0)[1], newerOperator(holdGateSettings))
				u.until(30*second, "the gate is closed", func() bool { return u.gateIs("closed") })
			}
			if delayed == 0 || u.Now() >= arrival {
				t.Fatalf("%d transactions are delayed until %v, and the time is %v", delayed, arrival, u.Now())
			}
			gate := u.gateIs("open")
			conflicts := u.state.Stats.Conflicts
			u.queue.RunUntil(arrival + second)
			if u.state.Stats.Conflicts == conflicts {
				t.Error("no conflict: the conditions of the late transactions were met")
			}
			if u.gateIs("open") != gate {
				t.Error("a late transaction has changed the gate")
			}
			u.settleAndCheck()
		})
	}
}
