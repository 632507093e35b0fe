package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// The tests of this file inject the combinations of faults that the operators have named, one test
// for each combination. The checker alone decides whether a test passes.

// runCompoundFailure runs a combination of faults with several seeds.
func runCompoundFailure(t *testing.T, seeds int, inject func(w *world, faults *networkFaults)) {
	t.Helper()
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, uint64(1000+seed))
			faults := w.injectNetworkFaults()
			w.initialJobs()
			inject(w, faults)
			w.settle()
		})
	}
}

// The state service refuses only the leader's requests, and cancellations are requested; then the
// service is down for all controllers for longer than cancel_s, while the workers continue to send
// heartbeats to the old leader.
func TestCompoundRefusalThenOutage(t *testing.T) {
	runCompoundFailure(t, 12, func(w *world, faults *networkFaults) {
		oldLeader := w.awaitLeader()
		if w.rng.IntN(2) == 0 {
			// Direct commands of the other controllers are lost.
			for i := range 3 {
				faults.commandsLost[i] = i != oldLeader
			}
		}
		for _, worker := range w.randomMachines(0.3) {
			switch w.rng.IntN(3) {
			case 0:
				worker.InjectHang(w.randomMilliseconds(2000, 30_000))
			case 1:
				worker.RepliesLost = true
			}
		}
		w.state.RefusedClients[oldLeader] = true
		w.after(w.randomMilliseconds(0, 2500), func() { w.cancelJobs("j-s1", "j-b1", "j-s2") })
		w.run(w.randomMilliseconds(1500, 12_000))
		w.state.InjectOutage(time.Duration(40+w.rng.IntN(40)) * second)
		w.run(w.randomMilliseconds(0, 12_000))
		w.state.RefusedClients[oldLeader] = false
		w.run(90 * second)
	})
}

// Jobs are cancelled just before and just after the state service begins to refuse only the leader's
// requests; about a second later the service is down for longer than cancel_s.
func TestCompoundCancelAtRefusal(t *testing.T) {
	runCompoundFailure(t, 8, func(w *world, _ *networkFaults) {
		oldLeader := w.awaitLeader()
		w.cancelJobs("j-s1", "j-s3")
		w.state.RefusedClients[oldLeader] = true
		w.cancelJobs("j-b1", "j-s2")
		w.run(w.randomMilliseconds(500, 1500))
		w.state.InjectOutage(45 * second)
		w.run(60 * second)
	})
}

// After several failovers in a row all controllers crash, and one of them restarts within a second.
func TestCompoundFailoverAndBack(t *testing.T) {
	runCompoundFailure(t, 6, func(w *world, _ *networkFaults) {
		for range 8 {
			w.restart(w.leaderOrFirst(), w.randomMilliseconds(50, 900))
			w.run(w.randomMilliseconds(300, 4000))
		}
		w.cancelJobs("j-s1")
		for i := range 3 {
			w.crash(i)
		}
		w.run(w.randomMilliseconds(50, 900))
		w.boot(w.rng.IntN(3))
		w.run(w.randomMilliseconds(200, 5000))
		w.cancelJobs("j-b1")
		for i := range 3 {
			w.restart(i, w.randomMilliseconds(50, 6000))
		}
		w.run(30 * second)
	})
}

// The leader crashes while some machines are partitioned and others don't receive the answers to
// their heartbeats.
func TestCompoundLeaderEndsMachinesUnreachable(t *testing.T) {
	runCompoundFailure(t, 8, func(w *world, _ *networkFaults) {
		for n, worker := range w.randomMachines(0.6) {
			if n%2 == 0 {
				worker.Partitioned = true
				w.after(w.randomMilliseconds(3000, 40_000), func() { worker.Partitioned = false })
			} else {
				worker.RepliesLost = true
				w.after(w.randomMilliseconds(3000, 60_000), func() { worker.RepliesLost = false })
			}
		}
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(500, 8000))
		w.run(w.randomMilliseconds(0, 6000))
		w.cancelJobs("j-s1", "j-b1")
		w.run(70 * second)
	})
}

// From the failover on, the answers to the heartbeats of all machines with tasks are lost: their
// heartbeats can't prove the absence of a task, and a job that waits for this proof must not wait
// without bound.
func TestCompoundAnswersLostSinceFailover(t *testing.T) {
	runCompoundFailure(t, 4, func(w *world, _ *networkFaults) {
		for _, worker := range w.workers() {
			if worker.Up && len(worker.Tasks) > 0 {
				worker.RepliesLost = true
			}
		}
		w.restart(w.leaderOrFirst(), 2*second)
		w.run(second)
		w.cancelJobs("j-s2")
		w.until(60*second, "j-s2 is reported as cancelled", func() bool { return w.lastReplies["j-s2"] == protocol.JobCancelled })
		w.until(60*second, "j-s3 runs on another machine", func() bool {
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

// The state service answers slowly, then refuses only the leader's requests, and then is down for
// longer than cancel_s, while users cancel and submit jobs.
func TestCompoundSlowThenRefused(t *testing.T) {
	runCompoundFailure(t, 8, func(w *world, faults *networkFaults) {
		faults.slowState = w.randomMilliseconds(300, 900)
		w.cancelJobs("j-s1")
		w.run(10 * second)
		oldLeader := w.leaderOrFirst()
		w.state.RefusedClients[oldLeader] = true
		w.cancelJobs("j-b1")
		w.run(w.randomMilliseconds(1000, 6000))
		w.state.InjectOutage(40 * second)
		w.cancelJobs("j-s2")
		w.submit("j-n1", map[string]any{"shards": 2, "cores": 1.0})
		w.run(50 * second)
		faults.slowState = 0
	})
}

// More work of all priorities is submitted than there is capacity for, over slow links, and the
// leader restarts.
func TestCompoundOverload(t *testing.T) {
	runCompoundFailure(t, 4, func(w *world, faults *networkFaults) {
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
		w.cancelJobs("j-o3", "j-o5", "j-s1")
		w.run(60 * second)
	})
}

// All controllers are down for longer than lease_s, right after jobs have been cancelled.
func TestCompoundAllControllersDown(t *testing.T) {
	runCompoundFailure(t, 6, func(w *world, _ *networkFaults) {
		w.cancelJobs("j-s1", "j-b1")
		w.run(w.randomMilliseconds(0, 400))
		for i := range 3 {
			w.crash(i)
		}
		w.run(w.randomMilliseconds(11_000, 40_000))
		for i := range 3 {
			w.after(w.randomMilliseconds(0, 4000), func() {
				if !w.nodes[i].alive {
					w.boot(i)
				}
			})
		}
		w.run(60 * second)
	})
}

// The leader is partitioned from the state service and from the other controllers while workers and
// users still reach it, and jobs are cancelled through the new leader.
func TestCompoundLeaderPartitioned(t *testing.T) {
	runCompoundFailure(t, 8, func(w *world, faults *networkFaults) {
		oldLeader := w.awaitLeader()
		faults.isolated[oldLeader] = true
		if w.rng.IntN(2) == 0 {
			for i := range 3 {
				faults.commandsLost[i] = i != oldLeader
			}
		}
		w.run(w.randomMilliseconds(1500, 8000))
		w.cancelJobs("j-s1", "j-b1", "j-s2")
		w.submit("j-n1", map[string]any{"shards": 2, "cores": 2.0})
		w.run(w.randomMilliseconds(20_000, 80_000))
		faults.isolated[oldLeader] = false
		w.run(20 * second)
	})
}

// Heartbeats that were sent before a failover arrive after the new leader has taken decisions.
func TestCompoundDelayedHeartbeat(t *testing.T) {
	runCompoundFailure(t, 6, func(w *world, _ *networkFaults) {
		type heartbeatCopy struct {
			worker *emulator.Worker
			body   []byte
		}
		var copies []heartbeatCopy
		for _, worker := range w.workers() {
			if worker.Up && !worker.Deleted {
				copies = append(copies, heartbeatCopy{worker, protocol.Encode(worker.Heartbeat())})
				if w.rng.IntN(2) == 0 {
					worker.Partitioned = true
					w.after(w.randomMilliseconds(2000, 25_000), func() { worker.Partitioned = false })
				}
			}
		}
		w.cancelJobs("j-s1")
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(500, 4000))
		w.run(w.randomMilliseconds(2500, 15_000))
		w.cancelJobs("j-b1")
		for range 3 {
			for _, h := range copies {
				for i := range 3 {
					w.sendRequest(i, Request{Op: OpWorkerHeartbeat, Body: h.body}, func(Reply) {})
				}
			}
			w.run(w.randomMilliseconds(1000, 20_000))
		}
		w.run(20 * second)
	})
}

// The tasks of a job complete far apart, with failovers in between.
func TestCompoundTasksEndFarApart(t *testing.T) {
	runCompoundFailure(t, 6, func(w *world, faults *networkFaults) {
		w.runTime = func(task string) time.Duration {
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

// A cancellation, a poll or a repeated submission coincides with the completion of a job's task,
// without any injected fault.
func TestCompoundCancelAtJobCompletion(t *testing.T) {
	runCompoundFailure(t, 8, func(w *world, _ *networkFaults) {
		w.onTaskCompleted = func(uid string) {
			switch w.rng.IntN(3) {
			case 0:
				w.after(w.randomMilliseconds(0, 1200), func() { w.cancel(uid) })
			case 1:
				w.after(w.randomMilliseconds(0, 1200), func() { w.user(w.rng.IntN(3), OpPoll, uid, nil) })
			case 2:
				w.after(w.randomMilliseconds(0, 1200), func() { w.user(w.rng.IntN(3), OpSubmit, uid, nil) })
			}
		}
		for i := range 6 {
			w.submit(fmt.Sprintf("j-e%d", i), map[string]any{"shards": 1 + i%3, "cores": 1.0})
			w.run(w.randomMilliseconds(0, 3000))
		}
		w.run(90 * second)
	})
}

// A zone with workers and a controller is partitioned for longer than lease_s.
func TestCompoundZonePartitioned(t *testing.T) {
	runCompoundFailure(t, 8, func(w *world, faults *networkFaults) {
		inB := func(addr string) bool {
			if strings.HasPrefix(addr, "10.0.0.") {
				return strings.HasPrefix(addr, "10.0.0.2:")
			}
			worker := w.workerByAddr(addr)
			return worker != nil && worker.Zone == "b"
		}
		w.callFault = func(node int, c Call) deliveryFault {
			isZonal := c.Target == ToPeer || c.Target == ToWorker
			return deliveryFault{lost: node == 2 && !isZonal || isZonal && inB(c.Addr) != (node == 2)}
		}
		w.heartbeatFault = func(worker *emulator.Worker, node int) deliveryFault {
			return deliveryFault{lost: (worker.Zone == "b") != (node == 2)}
		}
		w.cancelJobs("j-s1", "j-s3")
		if w.rng.IntN(2) == 0 {
			w.restart(w.rng.IntN(3), w.randomMilliseconds(200, 4000))
		}
		w.run(w.randomMilliseconds(12_000, 60_000))
		w.callFault, w.heartbeatFault = faults.faultFor, nil
		w.run(20 * second)
	})
}

// Some workers' heartbeats are lost while direct commands still reach the workers: the leader must
// not start tasks there repeatedly.
func TestCompoundHeartbeatsLost(t *testing.T) {
	runCompoundFailure(t, 6, func(w *world, _ *networkFaults) {
		var heartbeatsLost []*emulator.Worker
		for _, worker := range w.randomMachines(0.6) {
			worker.HeartbeatsLost = true
			heartbeatsLost = append(heartbeatsLost, worker)
		}
		w.cancelJobs("j-b1")
		w.run(w.randomMilliseconds(3000, 12_000))
		if w.rng.IntN(2) == 0 {
			w.restart(w.leaderOrFirst(), w.randomMilliseconds(200, 4000))
		}
		w.run(25 * second)
		startsBefore := map[*emulator.Worker]int{}
		for _, worker := range heartbeatsLost {
			startsBefore[worker] = worker.TasksStarted
		}
		w.run(60 * second)
		for _, worker := range heartbeatsLost {
			if worker.TasksStarted > startsBefore[worker]+2 {
				w.recordViolation("%d tasks were started on a machine whose heartbeats are lost; they end when its lease expires", worker.TasksStarted-startsBefore[worker])
			}
		}
		// Each service must also run on machines whose heartbeats arrive.
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
				w.recordViolation("%s runs only on machines whose heartbeats are lost", uid)
			}
		}
	})
}

// Old heartbeats, also of earlier epochs and attempts, arrive after newer ones.
func TestCompoundOldHeartbeats(t *testing.T) {
	runCompoundFailure(t, 8, func(w *world, _ *networkFaults) {
		w.duplicateDelay = func() time.Duration {
			if w.rng.IntN(3) == 0 {
				return w.randomMilliseconds(2000, 45_000)
			}
			return 0
		}
		for _, worker := range w.randomMachines(0.4) {
			worker.Partitioned = true // the worker starts a new epoch while duplicates of earlier heartbeats are in flight
			w.after(w.randomMilliseconds(9000, 16_000), func() { worker.Partitioned = false })
		}
		w.run(w.randomMilliseconds(4000, 14_000))
		w.cancelJobs("j-s1")
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(200, 4000))
		w.run(25 * second)
		w.cancelJobs("j-b1", "j-s2")
		w.run(40 * second)
	})
}

// A team is at its quota when the leader changes and some of its machines are unreachable, and jobs
// are cancelled in the meantime.
func TestCompoundTeamAtItsQuota(t *testing.T) {
	runCompoundFailure(t, 8, func(w *world, _ *networkFaults) {
		for i := range 6 {
			w.submit(fmt.Sprintf("j-l%d", i), map[string]any{"shape": "service", "shards": 2, "cores": 2.0, "owner": "blue"})
		}
		w.run(40 * second)
		for _, worker := range w.randomMachines(0.5) {
			worker.Partitioned = true
			w.after(w.randomMilliseconds(5000, 30_000), func() { worker.Partitioned = false })
		}
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(500, 5000))
		w.run(w.randomMilliseconds(500, 5000))
		w.cancelJobs("j-l0", "j-l1", "j-s2")
		w.submit("j-n1", map[string]any{"shape": "service", "shards": 2, "cores": 2.0, "owner": "blue", "rank": "high"})
		w.run(60 * second)
	})
}

// Commands are delayed for seconds, or their answers are lost, while machines hang and then resume.
func TestCompoundDelayedCommands(t *testing.T) {
	runCompoundFailure(t, 10, func(w *world, faults *networkFaults) {
		faults.delayedCommands, faults.lostReplies = 0.4, 0.2
		for i := range 4 {
			w.submit(fmt.Sprintf("j-h%d", i), map[string]any{"shards": 2, "cores": 1.0})
			w.run(w.randomMilliseconds(500, 3000))
			for _, worker := range w.randomMachines(0.3) {
				worker.InjectHang(w.randomMilliseconds(1000, 14_000))
			}
			if i == 1 {
				w.cancelJobs("j-s1", "j-h0")
			}
			if i == 2 {
				w.restart(w.leaderOrFirst(), w.randomMilliseconds(200, 4000))
				w.cancelJobs("j-b1", "j-h1")
			}
		}
		w.run(40 * second)
	})
}

// The leader restarts ten times in two minutes, with an outage of the state service in between.
func TestCompoundTenLeaders(t *testing.T) {
	runCompoundFailure(t, 6, func(w *world, _ *networkFaults) {
		for i := range 10 {
			if i == 4 {
				w.state.InjectOutage(w.randomMilliseconds(5000, 30_000))
			}
			w.restart(w.leaderOrFirst(), w.randomMilliseconds(100, 9000))
			if i%3 == 0 {
				w.cancelJobs([]string{"j-s1", "j-b1", "j-s2", "j-b22"}[i/3])
			}
			w.run(w.randomMilliseconds(9000, 13_000))
		}
	})
}

// Jobs that are restricted to one zone, arrays among them, lose machines.
func TestCompoundBoundToAZone(t *testing.T) {
	runCompoundFailure(t, 6, func(w *world, _ *networkFaults) {
		w.submit("j-z1", map[string]any{"shards": 4, "cores": 2.0, "yard": "b"})
		w.submit("j-z2", map[string]any{"shards": 3, "cores": 2.0, "together": true})
		w.run(w.randomMilliseconds(5000, 20_000))
		for _, worker := range w.workers() {
			if !worker.Deleted && worker.Up && (worker.Zone == "b" || w.rng.IntN(3) == 0) {
				switch w.rng.IntN(3) {
				case 0:
					worker.Terminate()
				case 1:
					worker.Partitioned = true
					w.after(w.randomMilliseconds(5000, 30_000), func() { worker.Partitioned = false })
				case 2:
					worker.InjectHang(w.randomMilliseconds(3000, 20_000))
				}
			}
		}
		w.restart(w.leaderOrFirst(), w.randomMilliseconds(300, 6000))
		w.run(50 * second)
	})
}

// Transactions without an answer are applied late, after newer transactions of the same controller.
func TestCompoundLateTransactions(t *testing.T) {
	runCompoundFailure(t, 10, func(w *world, faults *networkFaults) {
		faults.lateTransactions = 0.35
		for i := range 5 {
			w.submit(fmt.Sprintf("j-t%d", i), map[string]any{"shards": 1 + w.rng.IntN(3), "cores": 1.0, "shape": []string{"batch", "service"}[i%2]})
			w.run(w.randomMilliseconds(500, 6000))
			if i == 1 {
				w.cancelJobs("j-t0", "j-s1")
			}
			if i == 3 {
				w.restart(w.leaderOrFirst(), w.randomMilliseconds(300, 4000))
				w.cancelJobs("j-t1", "j-b1")
			}
		}
		w.run(60 * second)
	})
}
