package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// The combinations of faults that the operators have named, one test for each, and random
// combinations of two or three. All are judged by the checker alone.

// startCompoundFailure runs a compound failure with several seeds.
func startCompoundFailure(t *testing.T, seeds int, play func(w *world, faults *networkFaults)) {
	t.Helper()
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, uint64(1000+seed))
			faults := w.injectNetworkFaults()
			w.initialJobs()
			play(w, faults)
			w.settle()
		})
	}
}

// The state service refuses the leader alone and another controller confirms cancellations; then
// the service is down for all for longer than cancel_s, while the workers go on sending heartbeats
// to the old leader.
func TestCompoundRefusalThenOutage(t *testing.T) {
	startCompoundFailure(t, 12, func(w *world, faults *networkFaults) {
		old := w.awaitLeader()
		if w.rng.IntN(2) == 0 {
			// The other controllers can't reach the workers with commands either.
			for i := range 3 {
				faults.commandsLost[i] = i != old
			}
		}
		for _, worker := range w.randomMachines(0.3) {
			switch w.rng.IntN(3) {
			case 0:
				worker.Hang(w.randomMilliseconds(2000, 30_000))
			case 1:
				worker.RepliesLost = true
			}
		}
		w.state.RefusedClients[old] = true
		w.at(w.randomMilliseconds(0, 2500), func() { w.cancelSome("j-s1", "j-b1", "j-s2") })
		w.run(w.randomMilliseconds(1500, 12_000))
		w.state.Outage(time.Duration(40+w.rng.IntN(40)) * second)
		w.run(w.randomMilliseconds(0, 12_000))
		w.state.RefusedClients[old] = false
		w.run(90 * second)
	})
}

// Jobs are cancelled at the very moment at which the state service refuses the
// leader alone, and a second later it is out for longer than cancel_s.
func TestCompoundCancelAtRefusal(t *testing.T) {
	startCompoundFailure(t, 8, func(w *world, _ *networkFaults) {
		old := w.awaitLeader()
		w.cancelSome("j-s1", "j-s3")
		w.state.RefusedClients[old] = true
		w.cancelSome("j-b1", "j-s2")
		w.run(w.randomMilliseconds(500, 1500))
		w.state.Outage(45 * second)
		w.run(60 * second)
	})
}

// Several failovers in a row, then all controllers end, and one is started again, also within a
// second.
func TestCompoundFailoverAndBack(t *testing.T) {
	startCompoundFailure(t, 6, func(w *world, _ *networkFaults) {
		for range 8 {
			w.restart(w.leaderOrFirst(), w.randomMilliseconds(50, 900))
			w.run(w.randomMilliseconds(300, 4000))
		}
		w.cancelSome("j-s1")
		for i := range 3 {
			w.crash(i)
		}
		w.run(w.randomMilliseconds(50, 900))
		w.boot(w.rng.IntN(3))
		w.run(w.randomMilliseconds(200, 5000))
		w.cancelSome("j-b1")
		for i := range 3 {
			w.restart(i, w.randomMilliseconds(50, 6000))
		}
		w.run(30 * second)
	})
}

// A leader ends while machines with long tasks can't be reached, or don't get the new leader's
// answers.
func TestCompoundLeaderEndsMachinesUnreachable(t *testing.T) {
	startCompoundFailure(t, 8, func(w *world, _ *networkFaults) {
		for n, worker := range w.randomMachines(0.6) {
			if n%2 == 0 {
				worker.Partitioned = true
				w.at(w.randomMilliseconds(3000, 40_000), func() { worker.Partitioned = false })
			} else {
				worker.RepliesLost = true
				w.at(w.randomMilliseconds(3000, 60_000), func() { worker.RepliesLost = false })
			}
		}
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(500, 8000))
		w.run(w.randomMilliseconds(0, 6000))
		w.cancelSome("j-s1", "j-b1")
		w.run(70 * second)
	})
}

// A machine gets no answer from the failover on: no heartbeat of it can prove the absence of a
// task, and a job that waits for this proof must not wait for ever.
func TestCompoundAnswersLostSinceFailover(t *testing.T) {
	startCompoundFailure(t, 4, func(w *world, _ *networkFaults) {
		for _, worker := range w.workers() {
			if worker.Up && len(worker.Tasks) > 0 {
				worker.RepliesLost = true
			}
		}
		w.restart(w.leaderOrFirst(), 2*second)
		w.run(second)
		w.cancelSome("j-s2")
		w.until(60*second, "j-s2 is called off", func() bool { return w.lastReplies["j-s2"] == protocol.JobCancelled })
		w.until(60*second, "j-s3 runs elsewhere", func() bool {
			for _, worker := range w.workers() {
				for _, task := range worker.Tasks {
					if task.UID == "j-s3" && task.State == protocol.TaskRunning && !worker.RepliesLost && !worker.Deleted {
						return true
					}
				}
			}
			return false
		})
	})
}

// The state service answers slowly, or refuses the leader alone and then
// everybody for longer than cancel_s, while users cancel and ask.
func TestCompoundSlowThenRefused(t *testing.T) {
	startCompoundFailure(t, 8, func(w *world, faults *networkFaults) {
		faults.slowState = w.randomMilliseconds(300, 900)
		w.cancelSome("j-s1")
		w.run(10 * second)
		old := w.leaderOrFirst()
		w.state.RefusedClients[old] = true
		w.cancelSome("j-b1")
		w.run(w.randomMilliseconds(1000, 6000))
		w.state.Outage(40 * second)
		w.cancelSome("j-s2")
		w.submit("j-n1", map[string]any{"shards": 2, "cores": 1.0})
		w.run(50 * second)
		faults.slowState = 0
	})
}

// More work is submitted than there is room for, urgent and not, over slow links.
func TestCompoundOverload(t *testing.T) {
	startCompoundFailure(t, 4, func(w *world, faults *networkFaults) {
		faults.slowLinks = 400 * time.Millisecond
		for i := range 12 {
			rank := []string{"idle", "normal", "high", "production"}[i%4]
			shape, shards := "batch", 1+w.rng.IntN(5)
			if i%5 == 0 {
				shape, shards = "service", 1
			}
			w.submit(fmt.Sprintf("j-o%d", i), map[string]any{"shape": shape, "shards": shards, "cores": float64(1 + w.rng.IntN(4)),
				"owner": []string{"red", "blue"}[i%2], "rank": rank, "saveEveryS": 5.0, "saveTakesS": 2.0})
			w.run(w.randomMilliseconds(100, 3000))
		}
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(200, 3000))
		w.cancelSome("j-o3", "j-o5", "j-s1")
		w.run(60 * second)
	})
}

// All controllers are down for longer than lease_s.
func TestCompoundAllControllersDown(t *testing.T) {
	startCompoundFailure(t, 6, func(w *world, _ *networkFaults) {
		w.cancelSome("j-s1", "j-b1")
		w.run(w.randomMilliseconds(0, 400))
		for i := range 3 {
			w.crash(i)
		}
		w.run(w.randomMilliseconds(11_000, 40_000))
		for i := range 3 {
			w.at(w.randomMilliseconds(0, 4000), func() {
				if !w.nodes[i].alive {
					w.boot(i)
				}
			})
		}
		w.run(60 * second)
	})
}

// A leader is cut off from the state service and from the other controllers while workers and users
// still reach it, and jobs are cancelled through the new leader.
func TestCompoundLeaderPartitioned(t *testing.T) {
	startCompoundFailure(t, 8, func(w *world, faults *networkFaults) {
		old := w.awaitLeader()
		faults.isolated[old] = true
		if w.rng.IntN(2) == 0 {
			for i := range 3 {
				faults.commandsLost[i] = i != old
			}
		}
		w.run(w.randomMilliseconds(1500, 8000))
		w.cancelSome("j-s1", "j-b1", "j-s2")
		w.submit("j-n1", map[string]any{"shards": 2, "cores": 2.0})
		w.run(w.randomMilliseconds(20_000, 80_000))
		faults.isolated[old] = false
		w.run(20 * second)
	})
}

// A heartbeat is delayed until a new leader has acted, and then arrives there.
func TestCompoundDelayedHeartbeat(t *testing.T) {
	startCompoundFailure(t, 6, func(w *world, _ *networkFaults) {
		type copied struct {
			k    *emulator.Worker
			body []byte
		}
		var held []copied
		for _, worker := range w.workers() {
			if worker.Up && !worker.Deleted {
				held = append(held, copied{worker, protocol.Encode(worker.Heartbeat())})
				if w.rng.IntN(2) == 0 {
					worker.Partitioned = true
					w.at(w.randomMilliseconds(2000, 25_000), func() { worker.Partitioned = false })
				}
			}
		}
		w.cancelSome("j-s1")
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(500, 4000))
		w.run(w.randomMilliseconds(2500, 15_000))
		w.cancelSome("j-b1")
		for range 3 {
			for _, h := range held {
				for i := range 3 {
					w.ask(i, Request{Op: OpWorkerHeartbeat, Body: h.body}, func(Reply) {})
				}
			}
			w.run(w.randomMilliseconds(1000, 20_000))
		}
		w.run(20 * second)
	})
}

// Jobs of two or three tasks end far apart across a change of leader.
func TestCompoundTasksEndFarApart(t *testing.T) {
	startCompoundFailure(t, 6, func(w *world, faults *networkFaults) {
		w.runs = func(task string) time.Duration {
			return time.Duration(5+35*int(task[len(task)-1]-'0')) * second
		}
		for i := range 3 {
			w.submit(fmt.Sprintf("j-f%d", i), map[string]any{"shards": 2 + i%2, "cores": 1.0})
		}
		w.run(w.randomMilliseconds(8000, 14_000))
		faults.lateTransactions = 0.2
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(200, 5000))
		w.run(w.randomMilliseconds(10_000, 25_000))
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(200, 5000))
		w.run(30 * second)
	})
}

// A cancellation, a poll or a repeated submission coincides with the end of a job's last task,
// without any other fault.
func TestCompoundCancelAtJobCompletion(t *testing.T) {
	startCompoundFailure(t, 8, func(w *world, _ *networkFaults) {
		w.ended = func(uid string) {
			switch w.rng.IntN(3) {
			case 0:
				w.at(w.randomMilliseconds(0, 1200), func() { w.cancel(uid) })
			case 1:
				w.at(w.randomMilliseconds(0, 1200), func() { w.user(w.rng.IntN(3), OpPoll, uid, nil) })
			case 2:
				w.at(w.randomMilliseconds(0, 1200), func() { w.user(w.rng.IntN(3), OpSubmit, uid, nil) })
			}
		}
		for i := range 6 {
			w.submit(fmt.Sprintf("j-e%d", i), map[string]any{"shards": 1 + i%3, "cores": 1.0})
			w.run(w.randomMilliseconds(0, 3000))
		}
		w.run(90 * second)
	})
}

// A zone with workers and a controller is cut off for longer than lease_s.
func TestCompoundZonePartitioned(t *testing.T) {
	startCompoundFailure(t, 8, func(w *world, faults *networkFaults) {
		inB := func(addr string) bool {
			if strings.HasPrefix(addr, "10.0.0.") {
				return strings.HasPrefix(addr, "10.0.0.2:")
			}
			worker := w.byAddr(addr)
			return worker != nil && worker.Zone == "b"
		}
		w.script = func(node int, c Call) deliveryFault {
			there := c.Target == ToPeer || c.Target == ToWorker
			return deliveryFault{lost: node == 2 && !there || there && inB(c.Addr) != (node == 2)}
		}
		w.heartbeatFault = func(worker *emulator.Worker, node int) deliveryFault {
			return deliveryFault{lost: (worker.Zone == "b") != (node == 2)}
		}
		w.cancelSome("j-s1", "j-s3")
		if w.rng.IntN(2) == 0 {
			w.restart(w.rng.IntN(3), w.randomMilliseconds(200, 4000))
		}
		w.run(w.randomMilliseconds(12_000, 60_000))
		w.script, w.heartbeatFault = faults.fault, nil
		w.run(20 * second)
	})
}

// Workers can't open connections to any controller, while direct commands still reach them: the
// leader must not start tasks there again and again.
func TestCompoundHeartbeatsLost(t *testing.T) {
	startCompoundFailure(t, 6, func(w *world, _ *networkFaults) {
		var heartbeatsLost []*emulator.Worker
		for _, worker := range w.randomMachines(0.6) {
			worker.HeartbeatsLost = true
			heartbeatsLost = append(heartbeatsLost, worker)
		}
		w.cancelSome("j-b1")
		w.run(w.randomMilliseconds(3000, 12_000))
		if w.rng.IntN(2) == 0 {
			w.restart(w.leaderOrFirst(), w.randomMilliseconds(200, 4000))
		}
		w.run(25 * second)
		began := map[*emulator.Worker]int{}
		for _, worker := range heartbeatsLost {
			began[worker] = worker.TasksStarted
		}
		w.run(60 * second)
		for _, worker := range heartbeatsLost {
			if worker.TasksStarted > began[worker]+2 {
				w.violated("a machine whose heartbeats are lost was given %d tasks, all of which die with its lease", worker.TasksStarted-began[worker])
			}
		}
		// Their tasks run elsewhere.
		for _, uid := range []string{"j-s1", "j-s2", "j-s3"} {
			n := 0
			for _, worker := range w.workers() {
				for _, task := range worker.Tasks {
					if task.UID == uid && task.State == protocol.TaskRunning && !worker.HeartbeatsLost && !worker.Deleted {
						n++
					}
				}
			}
			if n == 0 {
				w.violated("%s runs only on machines whose heartbeats are lost", uid)
			}
		}
	})
}

// An old heartbeat arrives after newer ones, also one of an earlier epoch or attempt.
func TestCompoundOldHeartbeats(t *testing.T) {
	startCompoundFailure(t, 8, func(w *world, _ *networkFaults) {
		w.lateCopy = func() time.Duration {
			if w.rng.IntN(3) == 0 {
				return w.randomMilliseconds(2000, 45_000)
			}
			return 0
		}
		for _, worker := range w.randomMachines(0.4) {
			worker.Partitioned = true // a new epoch, while copies of heartbeats of the earlier one are in flight
			w.at(w.randomMilliseconds(9000, 16_000), func() { worker.Partitioned = false })
		}
		w.run(w.randomMilliseconds(4000, 14_000))
		w.cancelSome("j-s1")
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(200, 4000))
		w.run(25 * second)
		w.cancelSome("j-b1", "j-s2")
		w.run(40 * second)
	})
}

// A team is at its quota when the leader changes, some of its machines can't be reached, and a
// cancellation is requested in that interval.
func TestCompoundTeamAtItsQuota(t *testing.T) {
	startCompoundFailure(t, 8, func(w *world, _ *networkFaults) {
		for i := range 6 {
			w.submit(fmt.Sprintf("j-l%d", i), map[string]any{"shape": "service", "shards": 2, "cores": 2.0, "owner": "blue"})
		}
		w.run(40 * second)
		for _, worker := range w.randomMachines(0.5) {
			worker.Partitioned = true
			w.at(w.randomMilliseconds(5000, 30_000), func() { worker.Partitioned = false })
		}
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(500, 5000))
		w.run(w.randomMilliseconds(500, 5000))
		w.cancelSome("j-l0", "j-l1", "j-s2")
		w.submit("j-n1", map[string]any{"shape": "service", "shards": 2, "cores": 2.0, "owner": "blue", "rank": "high"})
		w.run(60 * second)
	})
}

// A command or its answer is delayed for seconds, and the machine then goes on.
func TestCompoundDelayedCommands(t *testing.T) {
	startCompoundFailure(t, 10, func(w *world, faults *networkFaults) {
		faults.delayedCommands, faults.lostAnswers = 0.4, 0.2
		for i := range 4 {
			w.submit(fmt.Sprintf("j-h%d", i), map[string]any{"shards": 2, "cores": 1.0})
			w.run(w.randomMilliseconds(500, 3000))
			for _, worker := range w.randomMachines(0.3) {
				worker.Hang(w.randomMilliseconds(1000, 14_000))
			}
			if i == 1 {
				w.cancelSome("j-s1", "j-h0")
			}
			if i == 2 {
				w.restart(w.leaderOrFirst(), w.randomMilliseconds(200, 4000))
				w.cancelSome("j-b1", "j-h1")
			}
		}
		w.run(40 * second)
	})
}

// The leader changes ten times in two minutes, also during an outage of the state service.
func TestCompoundTenLeaders(t *testing.T) {
	startCompoundFailure(t, 6, func(w *world, _ *networkFaults) {
		for i := range 10 {
			if i == 4 {
				w.state.Outage(w.randomMilliseconds(5000, 30_000))
			}
			w.restart(w.leaderOrFirst(), w.randomMilliseconds(100, 9000))
			if i%3 == 0 {
				w.cancelSome([]string{"j-s1", "j-b1", "j-s2", "j-b22"}[i/3])
			}
			w.run(w.randomMilliseconds(9000, 13_000))
		}
	})
}

// Jobs that are bound to one zone, arrays among them, lose machines.
func TestCompoundBoundToAZone(t *testing.T) {
	startCompoundFailure(t, 6, func(w *world, _ *networkFaults) {
		w.submit("j-z1", map[string]any{"shards": 4, "cores": 2.0, "yard": "b"})
		w.submit("j-z2", map[string]any{"shards": 3, "cores": 2.0, "together": true})
		w.run(w.randomMilliseconds(5000, 20_000))
		for _, worker := range w.workers() {
			if !worker.Deleted && worker.Up && (worker.Zone == "b" || w.rng.IntN(3) == 0) {
				switch w.rng.IntN(3) {
				case 0:
					worker.Die()
				case 1:
					worker.Partitioned = true
					w.at(w.randomMilliseconds(5000, 30_000), func() { worker.Partitioned = false })
				case 2:
					worker.Hang(w.randomMilliseconds(3000, 20_000))
				}
			}
		}
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(300, 6000))
		w.run(50 * second)
	})
}

// Transactions that got no answer are applied late, after newer ones of the same controller.
func TestCompoundLateTransactions(t *testing.T) {
	startCompoundFailure(t, 10, func(w *world, faults *networkFaults) {
		faults.lateTransactions = 0.35
		for i := range 5 {
			w.submit(fmt.Sprintf("j-t%d", i), map[string]any{"shards": 1 + w.rng.IntN(3), "cores": 1.0, "shape": []string{"batch", "service"}[i%2]})
			w.run(w.randomMilliseconds(500, 6000))
			if i == 1 {
				w.cancelSome("j-t0", "j-s1")
			}
			if i == 3 {
				w.restart(w.leaderOrFirst(), w.randomMilliseconds(300, 4000))
				w.cancelSome("j-t1", "j-b1")
			}
		}
		w.run(60 * second)
	})
}
