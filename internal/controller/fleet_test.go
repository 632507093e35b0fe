package controller

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// The leader resigns before any worker's lease expires when it alone loses contact with the workers.
// It does not resign when only the direct calls to minMissedMachines machines are lost, all at the
// same time, while heartbeats and the other machines' answers still arrive.
func TestLeaderWithoutWorkersResigns(t *testing.T) {
	for _, onlyFewMachines := range []bool{false, true} {
		t.Run(fmt.Sprintf("calls to a few machines lost %v", onlyFewMachines), func(t *testing.T) {
			w := newWorld(t, 51)
			w.awaitLeader()
			w.submit("j-1", map[string]any{"shape": "service", "shards": 6, "apart": true})
			w.submit("j-2", map[string]any{"shape": "service", "shards": 4, "apart": true, "owner": "blue"})
			allRunning := func() bool { return w.running("j-1") == 6 && w.running("j-2") == 4 }
			w.until(90*second, "replicas run", allRunning)
			w.run(15 * second)
			lead := w.leader()
			callsLostTo := map[string]bool{}
			for _, worker := range w.workers() {
				if len(callsLostTo) < minMissedMachines && len(worker.Tasks) > 0 {
					callsLostTo[worker.Addr] = true
				}
			}
			w.callFault = func(node int, c Call) deliveryFault {
				return deliveryFault{lost: node == lead && c.Target == ToWorker && (!onlyFewMachines || callsLostTo[c.Addr])}
			}
			if !onlyFewMachines {
				w.heartbeatFault = func(_ *emulator.Worker, node int) deliveryFault { return deliveryFault{lost: node == lead} }
			}
			// The leader notices the loss of contact only when it sends commands.
			w.submit("j-3", map[string]any{"shards": 4})
			for range 30 {
				w.run(second)
				if !onlyFewMachines && !allRunning() {
					t.Fatal("a worker's lease expired before the leader resigned")
				}
			}
			if (w.leader() == lead) != onlyFewMachines {
				t.Errorf("calls to a few machines lost %v: the leader is %d, was %d", onlyFewMachines, w.leader(), lead)
			}
			w.callFault, w.heartbeatFault = nil, nil
			w.awaitStatus(200*second, "j-3", "done")
			w.requireNoViolations()
		})
	}
}

// Several machines become overdue at the same time while the leader had no reason to call any other
// machine. The leader does not conclude that it can't reach the workers before the probes of other
// machines have had time to succeed.
func TestSuspicionWaitsForProbes(t *testing.T) {
	w := newWorld(t, 57)
	c := w.nodes[w.awaitLeader()].controller
	l := c.leadership
	lease := c.env.cfg.WorkerLease()
	missThreeMachines := func() {
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			l.reachability.recordMissed(id, c.env.now)
		}
	}
	l.reachability.lastReachedAt, c.env.now = c.env.now, c.env.now+lease
	missThreeMachines()
	if l.reachability.cannotReachWorkers() {
		t.Error("workers considered unreachable before the other machines could be probed")
	}
	c.env.now += lease / 20
	l.reachability.recordReached(c.env.now)
	if l.reachability.cannotReachWorkers() {
		t.Error("workers considered unreachable although a machine answered")
	}
	c.env.now += lease
	missThreeMachines()
	c.env.now += lease/20 + second
	if !l.reachability.cannotReachWorkers() {
		t.Error("workers considered reachable although no machine answered")
	}
}

// All controllers restart while a zone is partitioned. The workers' lease is longer than a worker
// needs to try all controllers, so the workers of the zone find the controller of their zone again,
// and the leader must not declare their machines lost. In a large deployment with message loss, 158
// machines were.
func TestLongLeaseZoneIsNotDeclaredLost(t *testing.T) {
	w := newWorld(t, 37)
	for _, cfg := range w.cfgs {
		cfg.Cluster.Workers.LeaseS = 31
		cfg.Cluster.Workers.HeartbeatS = 6
	}
	lead := w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	w.run(30 * second)
	if lead == 2 {
		t.Fatal("the leader is in zone b, which the test partitions")
	}
	w.partitionZoneB()
	w.run(8 * second)
	for i := range 3 {
		w.crash(i)
	}
	w.run(3 * second)
	for i := range 3 {
		w.boot(i)
	}
	w.run(55 * second)
	lead = w.leader()
	if l := w.nodes[lead].controller.leadership; !l.partitions.isPartitioned("b") {
		t.Fatal("zone b is not considered partitioned: the test checks nothing")
	}
	for _, id := range w.cloud.DeletionRequests {
		if worker := w.machines.Workers[id]; worker.Zone == "b" && worker.Sequence > 0 {
			t.Errorf("machine %s of the partitioned zone was deleted", id)
		}
	}
	w.callFault, w.heartbeatFault = nil, nil
	w.run(30 * second)
	w.requireNoViolations()
}

// When many direct calls hang at the same time, as in a zone partition, their number is bounded, and
// calls to responsive machines are still sent.
func TestHangingCallsAreBounded(t *testing.T) {
	w := newWorld(t, 52)
	lead := w.awaitLeader()
	c := w.nodes[lead].controller
	fds := c.env.cfg.Cluster.Resources.FDs
	l := c.leadership
	c.outbox.effects = nil
	for i := range 2 * fds {
		m := l.state.AddMachine(fmt.Sprintf("i-9%05d", i))
		m.Type, m.Zone, m.Addr, m.ListedRunning = "m8", "b", fmt.Sprintf("10.2.0.%d:1", i), true
		m.KnownToExistAt, m.LaunchedAt = c.env.now, c.env.now
		l.dispatcher.dispatchCommands(m)
	}
	if l.dispatcher.callLimiter.inFlight != l.dispatcher.callLimiter.likelyTimeoutsInFlight || l.dispatcher.callLimiter.likelyTimeoutsInFlight != fds/12 {
		t.Errorf("%d calls in flight, %d of them likely to time out, with %d sockets", l.dispatcher.callLimiter.inFlight, l.dispatcher.callLimiter.likelyTimeoutsInFlight, fds)
	}
	m := l.state.AddMachine("i-000001")
	m.Type, m.Zone, m.Addr, m.Seen, m.TokenAcknowledged, m.EverReported = "m8", "a", "10.2.1.1:1", true, true, true
	m.LastSeen, m.Epoch = c.env.now, 1
	m.UnknownTasks = map[clusterstate.AttemptKey]time.Duration{{Task: "j-9/0", Attempt: 1}: -time.Hour}
	l.dispatcher.dispatchCommands(m)
	if l.dispatcher.callLimiter.inFlight != fds/12+1 {
		t.Error("the call to a responsive machine waits for calls that hang")
	}
}

// The cost of a tick, and of a heartbeat of a machine without pending commands, must not grow with
// the fleet: neither may build or sort lists. The test counts allocations.
func TestIdleTickCostIsIndependentOfFleetSize(t *testing.T) {
	measureAllocations := func(machines int) (tick, heartbeat float64) {
		w := newWorld(t, 53)
		c := w.nodes[w.awaitLeader()].controller
		l := c.leadership
		j := l.state.AddJob(&protocol.JobSpec{UID: "j-1", Class: "web", Team: "red", Service: true, Tasks: 2 * machines, Cores: 1, MemoryGB: 1}, c.env.wall)
		j.Stored = true
		for i := range machines {
			m := l.state.AddMachine(fmt.Sprintf("i-9%05d", i))
			m.Type, m.Zone, m.Addr, m.Size = "m8", "a", fmt.Sprintf("10.2.%d.%d:1", i/256, i%256), l.machines.machineSize("m8")
			m.Seen, m.TokenAcknowledged, m.EverReported, m.Epoch, m.LastSeen, m.LastAnswered, m.Token = true, true, true, 1, c.env.now, c.env.now, l.lease.token
			for k := range 2 {
				a := l.state.AddAttempt(m, j, 2*i+k, l.attemptNumbers.allocate(), c.env.now)
				a.Durable, a.Sent, a.Acknowledged, a.State, a.Epoch = true, true, true, protocol.TaskRunning, 1
			}
		}
		m := l.state.Machines["i-900000"]
		body := protocol.WorkerHeartbeat{Machine: m.ID, Type: "m8", Zone: "a", Epoch: 1, Token: l.lease.token}
		for _, a := range m.SortedAttempts() {
			body.Tasks = append(body.Tasks, protocol.TaskStatus{Task: a.Key().Task, Attempt: a.Number, State: protocol.TaskRunning})
		}
		l.machines.sortedMachines()
		tick = testing.AllocsPerRun(20, func() { l.health.watchMachines() })
		heartbeat = testing.AllocsPerRun(20, func() {
			body.Sequence++
			l.heartbeats.applyHeartbeat(&body, true)
			l.dispatcher.pendingCommands(m, true)
		})
		return tick, heartbeat
	}
	smallTick, smallHeartbeat := measureAllocations(1000)
	largeTick, largeHeartbeat := measureAllocations(2000)
	if smallTick != 0 || largeTick != 0 {
		t.Errorf("a tick made %v allocations for 1000 machines, %v for 2000, want 0", smallTick, largeTick)
	}
	if largeHeartbeat > smallHeartbeat {
		t.Errorf("a heartbeat made %v allocations with 1000 machines, %v with 2000", smallHeartbeat, largeHeartbeat)
	}
}

// A machine that refuses connections while other machines of its zone send heartbeats is deleted
// long before its lease expires, and its tasks are restarted elsewhere. A machine is not deleted if
//   - it accepts connections and does not answer: it may only hang;
//   - its zone has just been partitioned, so no machine of the zone sends heartbeats;
//   - its replicas would fetch their images for longer than a lease, or there is no capacity for
//     them elsewhere: the machine may recover sooner.
func TestUnreachableMachineIsDeleted(t *testing.T) {
	for _, scenario := range []string{"dead", "hanging", "partitioned zone", "long fetch", "no capacity"} {
		t.Run(scenario, func(t *testing.T) {
			w := newWorld(t, 54)
			for _, cfg := range w.cfgs {
				cfg.Cluster.Workers.LeaseS, cfg.Cluster.Workers.HeartbeatS = 31, 2
			}
			w.awaitLeader()
			size := 1.0
			if scenario == "long fetch" {
				size = 40
			}
			w.submit("j-1", map[string]any{"shape": "service", "shards": 8, "sizeGb": size})
			w.submit("j-2", map[string]any{"shape": "service", "shards": 4, "owner": "blue", "sizeGb": size})
			w.until(120*second, "replicas run", func() bool { return w.running("j-1") == 8 && w.running("j-2") == 4 })
			w.run(15 * second)
			if w.leader() == 2 {
				t.Fatal("the leader is in zone b, which the test partitions")
			}
			w.cloud.OutOfCapacity = scenario == "no capacity"
			w.unreachable = map[string]bool{}
			var victim *emulator.Worker
			for _, worker := range w.workers() {
				if scenario == "partitioned zone" && worker.Zone == "b" {
					w.unreachable[worker.Addr] = true
				} else if scenario != "partitioned zone" && worker.Zone == "a" && len(worker.Tasks) > 0 && victim == nil {
					victim = worker
					worker.Partitioned = true
					w.unreachable[worker.Addr] = scenario != "hanging"
				}
			}
			if scenario == "partitioned zone" {
				w.partitionZoneB()
			}
			w.cloud.DeletionRequests = nil
			w.run(28 * second)
			if want := scenario == "dead"; (len(w.cloud.DeletionRequests) > 0) != want {
				t.Errorf("scenario %s: deleted machines %v", scenario, w.cloud.DeletionRequests)
			}
			if scenario == "dead" && (w.cloud.DeletionRequests[0] != victim.ID || w.running("j-1")+w.running("j-2") != 12) {
				t.Errorf("%d of 12 replicas run after 28 s, deleted %v", w.running("j-1")+w.running("j-2"), w.cloud.DeletionRequests)
			}
			w.requireNoViolations()
		})
	}
}

// Just after a zone is partitioned, the leader has not yet detected the partition: the machines whose
// last heartbeat came well before it become overdue first. A failed call marks a machine unreachable
// only if heartbeats from its zone have arrived since the call failed.
func TestNoMachineIsUnreachableWithoutHeartbeatsFromItsZone(t *testing.T) {
	w := newWorld(t, 55)
	l := w.nodes[w.awaitLeader()].controller.leadership
	w.run(20 * second) // until the machine types have been read
	now := time.Minute
	for i := range 40 {
		m := l.state.AddMachine(fmt.Sprintf("i-9%05d", i))
		m.Type, m.Zone, m.EverReported, m.LastSeen = "m8", "b", true, now-time.Duration(i%6)*second
	}
	m := l.state.Machines["i-900005"]
	m.ConnectionFailed, m.FailedCalls = true, 2
	for _, tc := range []struct {
		failed time.Duration
		want   bool
	}{{now - 2*second, true}, {now + second, false}} {
		m.LastFailedCallAt = tc.failed
		if got := l.scaler.isUnreachable(m, l.scaler.zonesReportingSince()); got != tc.want {
			t.Errorf("call failed at %v, last heartbeat from the zone at %v: unreachable %v", tc.failed, now, got)
		}
	}
	m.LastFailedCallAt = now - 2*second
	l.reachability.recordMissed("i-900007", now)
	if l.scaler.isUnreachable(m, l.scaler.zonesReportingSince()) {
		t.Error("machine considered unreachable although other controllers receive heartbeats that the leader misses")
	}
}

// While machines are unresponsive, no other machine is drained, and the free capacity is kept for the
// replicas that may be lost instead of being given to arrays.
func TestCapacityIsReservedWhileMachinesAreUnresponsive(t *testing.T) {
	w := newWorld(t, 56)
	c := w.nodes[w.awaitLeader()].controller
	l := c.leadership
	w.run(20 * second) // until the machine types and the list of machines have been read
	addJob := func(uid string, service bool, tasks int) *clusterstate.Job {
		j := l.state.AddJob(&protocol.JobSpec{UID: uid, Class: uid, Team: "red", Service: service, Tasks: tasks, Cores: 8, MemoryGB: 1}, c.env.wall)
		j.Stored = true
		return j
	}
	web := addJob("j-1", true, 3)
	var machines []*clusterstate.Machine
	for i := range 4 {
		m := l.state.AddMachine(fmt.Sprintf("i-9%05d", i))
		m.Type, m.Zone, m.Addr, m.Size = "m8", "a", fmt.Sprintf("10.2.0.%d:1", i), l.machines.machineSize("m8")
		m.Seen, m.TokenAcknowledged, m.EverReported, m.Epoch, m.LastSeen, m.LastAnswered = true, true, true, 1, c.env.now, c.env.now
		if i < 3 {
			a := l.state.AddAttempt(m, web, i, l.attemptNumbers.allocate(), c.env.now)
			a.Durable, a.Sent, a.Acknowledged, a.State, a.Epoch = true, true, true, protocol.TaskRunning, 1
		}
		machines = append(machines, m)
	}
	if l.consolidator.manyUnresponsive() {
		t.Error("machines considered unresponsive although all answer")
	}
	machines[0].FailedCalls, machines[0].LastSeen, l.lease.electedAt = 2, c.env.now-c.env.cfg.WorkerLease()/2, c.env.now-c.env.cfg.WorkerLease()
	if !l.consolidator.manyUnresponsive() {
		t.Error("one machine of three is unresponsive, and consolidation may drain others")
	}
	batch := addJob("j-2", false, 1)
	l.placement.runFill()
	if batch.ActiveAttempts != 0 {
		t.Error("an array's task took the capacity that the replica of an unresponsive machine may need")
	}
	machines[0].FailedCalls, machines[0].LastSeen = 0, c.env.now
	l.placement.runFill()
	if batch.ActiveAttempts != 1 {
		t.Error("an array's task waits although no machine is unresponsive")
	}
}
