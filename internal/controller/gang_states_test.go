package controller

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// replicasOnMachines submits a service of n replicas, each of which leaves the given number of cores
// free on its machine.
func (w *world) replicasOnMachines(n int, room float64) {
	w.t.Helper()
	w.submit("j-0", map[string]any{"shape": "service", "shards": n, "cores": machineCores - room})
	w.until(60*second, "machines are up", func() bool { return w.running("j-0") == n })
}

// machinesWithTasksOf returns the machines that run or prepare tasks of a job.
func (w *world) machinesWithTasksOf(uid string) (machines []*emulator.Worker) {
	for _, worker := range w.workers() {
		for _, t := range worker.Tasks {
			if t.UID == uid && t.State != protocol.TaskExited && !worker.Deleted {
				machines = append(machines, worker)
				break
			}
		}
	}
	return machines
}

// The image of one task of a gang is fetched too late, so the other tasks time out: the attempt is
// stopped, and the gang runs in the next attempt.
func TestGangIncomplete(t *testing.T) {
	w := newWorld(t, 101)
	w.replicasOnMachines(3, 3)
	w.fetchTime = func(task string) time.Duration {
		if task == "j-1/1" {
			return 45 * second
		}
		return second
	}
	w.submit("j-1", gangChanges(2, 2, map[string]any{"owner": "blue"}))
	w.until(40*second, "the task without its image receives a stop command", func() bool { return len(w.stopCommands["j-1"]) > 0 })
	if w.machines.GangStarts["j-1"] != 0 {
		t.Error("the incomplete gang started")
	}
	w.fetchTime = nil
	w.until(30*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.settle()
}

// A machine with a task of a running gang hangs: the other tasks end, and the gang does not restart
// before the absence of the hanging task is proved, as that task may resume at any time.
func TestGangWithAHangingMachine(t *testing.T) {
	for _, hang := range []time.Duration{7 * second, 60 * second} {
		t.Run(fmt.Sprintf("hangs for %v", hang), func(t *testing.T) {
			w := newWorld(t, 102)
			w.submit("j-1", gangChanges(4, 4, map[string]any{"apart": true}))
			w.until(60*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
			w.run(2 * second)
			w.machinesWithTasksOf("j-1")[0].InjectHang(hang)
			w.until(60*second, "the gang has restarted", func() bool { return w.machines.GangStarts["j-1"] == 2 })
			w.awaitStatus(60*second, "j-1", protocol.JobDone)
			w.settle()
		})
	}
}

// A scheduling round preempts a gang on four machines, and the leader crashes at different times after
// the first stop command. Whichever workers have received a stop command by then, the gang restarts as
// a whole, and none of its tasks starts while a task of the previous attempt is left. Without a crash
// the gang's progress is saved.
func TestGangPreemptionAcrossFailover(t *testing.T) {
	for _, after := range []time.Duration{-1, 0, 3 * time.Millisecond, second, 4 * second} {
		t.Run(fmt.Sprintf("leader crashes after %v", after), func(t *testing.T) {
			w := newWorld(t, 103)
			w.runTime = func(string) time.Duration { return 40 * second }
			w.replicasOnMachines(4, 3)
			w.cloud.Down = true
			w.submit("j-1", gangChanges(4, 3, map[string]any{"rank": "idle", "owner": "blue"}))
			w.until(60*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
			w.run(3 * second)
			w.submit("j-2", map[string]any{"shape": "service", "rank": "production", "cores": 3.0})
			w.until(20*second, "the gang receives a stop command", func() bool { return len(w.stopCommands["j-1"]) > 0 })
			if after >= 0 {
				w.run(after)
				w.restart(w.awaitLeader(), 2*second)
			}
			w.until(30*second, "the replica runs", func() bool { return w.running("j-2") == 1 })
			if after < 0 && w.machines.GangCheckpoints["j-1"] != 1 {
				t.Errorf("the gang's progress was saved %d times, want 1", w.machines.GangCheckpoints["j-1"])
			}
			w.cancel("j-2")
			w.until(60*second, "the gang has restarted", func() bool { return w.machines.GangStarts["j-1"] == 2 })
			w.awaitStatus(90*second, "j-1", protocol.JobDone)
			w.settle()
		})
	}
}

// A spot machine with one task of a gang of four is preempted by the cloud. With sufficient notice the
// gang's progress is saved before the machine ends; with too little notice the gang resumes from its
// last checkpoint. In both cases the gang restarts as a whole.
func TestGangLosesASpotMachine(t *testing.T) {
	for _, tc := range []struct {
		notice float64
		saves  int
	}{{30, 1}, {1, 0}} {
		t.Run(fmt.Sprintf("notice of %v s", tc.notice), func(t *testing.T) {
			w := newWorld(t, 104)
			w.runTime = func(string) time.Duration { return 40 * second }
			w.submit("j-1", gangChanges(4, 4, map[string]any{"borrowed": true, "apart": true}))
			w.until(60*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
			w.run(2 * second)
			worker := w.machinesWithTasksOf("j-1")[0]
			if !worker.Spot {
				t.Fatal("the gang's machine is not a spot machine")
			}
			end := w.Now() + time.Duration(tc.notice*float64(second))
			worker.PreemptedAt = end
			w.after(end-w.Now(), worker.Terminate)
			w.until(90*second, "the gang has restarted", func() bool { return w.machines.GangStarts["j-1"] == 2 })
			if w.machines.GangCheckpoints["j-1"] != tc.saves {
				t.Errorf("the gang's progress was saved %d times, want %d", w.machines.GangCheckpoints["j-1"], tc.saves)
			}
			w.awaitStatus(90*second, "j-1", protocol.JobDone)
			w.settle()
		})
	}
}

// All tasks of a gang complete at the same time, and the leader receives the completion of only one of
// them: this completes the job, and the gang is not restarted.
func TestOneCompletionCompletesItsGang(t *testing.T) {
	w := newWorld(t, 105)
	w.runTime = func(string) time.Duration { return 20 * second }
	w.submit("j-1", gangChanges(4, 4, nil))
	w.until(60*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	w.run(19 * second)
	for _, worker := range w.machinesWithTasksOf("j-1")[1:] {
		worker.Partitioned = true
		w.after(30*second, func() { worker.Partitioned = false })
	}
	w.awaitStatus(10*second, "j-1", protocol.JobDone)
	w.run(40 * second)
	if w.machines.GangStarts["j-1"] != 1 {
		t.Errorf("the gang started %d times, want 1", w.machines.GangStarts["j-1"])
	}
	w.settle()
}

// A gang is cancelled in each state of its attempt: the cancellation is confirmed within 25 s, and no
// task of the gang starts afterwards, which the checker verifies.
func TestGangIsCancelledInEachState(t *testing.T) {
	pulling := func(w *world) bool { return len(w.machinesWithTasksOf("j-1")) > 0 }
	running := func(w *world) bool { return w.machines.GangStarts["j-1"] == 1 }
	stopSent := func(w *world) bool { return len(w.stopCommands["j-1"]) > 0 }
	for name, prepare := range map[string]func(*world){
		"waiting": func(w *world) {
			w.cloud.Down = true
			w.submit("j-1", gangChanges(5, 3, map[string]any{"owner": "blue"}))
			w.run(3 * second)
		},
		"gathering": func(w *world) {
			w.fetchTime = func(string) time.Duration { return 20 * second }
			w.submit("j-1", gangChanges(4, 3, map[string]any{"owner": "blue"}))
			w.until(30*second, "the gang's tasks are on machines", func() bool { return pulling(w) })
			w.run(second)
		},
		"running": func(w *world) {
			w.submit("j-1", gangChanges(4, 3, map[string]any{"owner": "blue"}))
			w.until(30*second, "the gang runs", func() bool { return running(w) })
			w.run(second)
		},
		"stopping": func(w *world) {
			w.cloud.Down = true
			w.submit("j-1", gangChanges(4, 3, map[string]any{"rank": "idle", "owner": "blue"}))
			w.until(30*second, "the gang runs", func() bool { return running(w) })
			w.submit("j-2", map[string]any{"shape": "service", "rank": "production", "cores": 3.0})
			w.until(20*second, "the gang receives a stop command", func() bool { return stopSent(w) })
			w.run(500 * time.Millisecond)
		},
		"broken": func(w *world) {
			w.submit("j-1", gangChanges(4, 3, map[string]any{"owner": "blue"}))
			w.until(30*second, "the gang runs", func() bool { return running(w) })
			w.machinesWithTasksOf("j-1")[0].Terminate()
			w.run(5 * second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 106)
			w.replicasOnMachines(4, 3)
			prepare(w)
			w.cancel("j-1")
			w.awaitStatus(25*second, "j-1", protocol.JobCancelled)
			w.settle()
		})
	}
}
