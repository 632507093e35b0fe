package controller

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// copyPlan is a kind of late copies of direct calls, by its name in subtests.
type copyPlan struct {
	name     string
	settings emulator.CopySettings
}

var copyPlans = []copyPlan{
	{"one copy after 0.4 s", emulator.CopySettings{Share: 1, MinDelay: 400 * time.Millisecond, MaxDelay: 400 * time.Millisecond}},
	{"one copy after 6.4 s", emulator.CopySettings{Share: 1, MinDelay: 6400 * time.Millisecond, MaxDelay: 6400 * time.Millisecond}},
	{"one copy after 100 s", emulator.CopySettings{Share: 1, MinDelay: 100 * second, MaxDelay: 100 * second}},
	{"up to four copies within 150 s", emulator.CopySettings{Share: 1, MaxCopies: 4, MinDelay: 300 * time.Millisecond, MaxDelay: 150 * second}},
}

// copyDisturbance happens between the end of an attempt and the arrival of a copy of its start.
type copyDisturbance struct {
	name   string
	inject func(w *world, machine *emulator.Worker)
}

var copyDisturbances = []copyDisturbance{
	{"undisturbed", func(*world, *emulator.Worker) {}},
	{"controller back at once", func(w *world, _ *emulator.Worker) { w.restart(w.leaderOrFirst(), 200*time.Millisecond) }},
	{"machine away for 0.8 s", func(w *world, machine *emulator.Worker) {
		machine.Partitioned = true
		w.after(800*time.Millisecond, func() { machine.Partitioned = false })
	}},
	{"new leader", func(w *world, _ *emulator.Worker) { w.restart(w.leaderOrFirst(), 12*second) }},
}

// copyEnding is a way in which the first attempt of j-1/0 ends.
type copyEnding struct {
	name string
	// end prepares the world and submits j-1, and returns once its first attempt has ended on the returned machine.
	end func(w *world) *emulator.Worker
	// running is the number of tasks of j-1 that run in the end.
	running int
}

var copyEndings = []copyEnding{
	{"failed", endByFailure, 1},
	{"moved", endByMove, 1},
	{"cancelled", endByCancellation, 0},
	{"done", endByCompletion, 0},
	{"refused", endByRefusal, 1},
}

// awaitRunning waits until a task of j-1 runs, and returns its machine.
func (w *world) awaitRunning() *emulator.Worker {
	w.t.Helper()
	w.until(90*second, "a task of j-1 runs", func() bool { return w.running("j-1") > 0 })
	for _, worker := range w.workers() {
		for _, t := range worker.Tasks {
			if t.UID == "j-1" && t.State == protocol.TaskRunning {
				return worker
			}
		}
	}
	w.t.Fatal("the task occupies a machine and does not run")
	return nil
}

func endByFailure(w *world) (failedOn *emulator.Worker) {
	w.failsAtStart = func(worker *emulator.Worker, uid string) bool {
		if uid != "j-1" || failedOn != nil {
			return false
		}
		failedOn = worker
		return true
	}
	w.submit("j-1", map[string]any{"shape": "service"})
	w.until(90*second, "the task has failed", func() bool { return failedOn != nil })
	return failedOn
}

func endByMove(w *world) *emulator.Worker {
	w.submit("j-1", map[string]any{"shape": "service"})
	machine := w.awaitRunning()
	for _, a := range w.leadership().state.Machines[machine.ID].SortedAttempts() {
		a.StopRequested = a.Job.Spec.UID == "j-1" // the next tick sends the stop
	}
	w.until(10*second, "the task was stopped", func() bool { return w.running("j-1") == 0 })
	return machine
}

func endByCancellation(w *world) *emulator.Worker {
	w.submit("j-1", map[string]any{"shape": "service"})
	machine := w.awaitRunning()
	w.cancel("j-1")
	w.awaitStatus(20*second, "j-1", protocol.JobCancelled)
	return machine
}

func endByCompletion(w *world) *emulator.Worker {
	w.runTime = func(string) time.Duration { return 5 * second }
	w.submit("j-1", nil)
	machine := w.awaitRunning()
	w.awaitStatus(20*second, "j-1", protocol.JobDone)
	return machine
}

// endByRefusal has a machine refuse the task for lack of room, which it has from then on.
func endByRefusal(w *world) (refusedOn *emulator.Worker) {
	w.machines.RefuseUnfit = true
	room := 1.0
	var resize func()
	resize = func() {
		for _, worker := range w.workers() {
			worker.MachineType = protocol.MachineType{Cores: room, MemoryGB: 32}
		}
		w.after(tick/2, resize)
	}
	resize()
	starts := map[string]int{}
	for _, worker := range w.workers() {
		starts[worker.ID] = worker.TasksStarted
	}
	w.submit("j-1", map[string]any{"shape": "service"})
	w.until(90*second, "the task was refused", func() bool {
		for _, worker := range w.workers() {
			if worker.TasksStarted > starts[worker.ID] {
				refusedOn = worker
			}
		}
		return refusedOn != nil
	})
	room = machineCores
	return refusedOn
}

// TestLateCopyOfAStartStartsNothing guards against an attempt that starts again after its end, because a copy of its start
// command, carried out and answered long ago, reaches a worker that was told to forget the attempt.
func TestLateCopyOfAStartStartsNothing(t *testing.T) {
	for _, ending := range copyEndings {
		for _, disturbance := range copyDisturbances {
			for _, plan := range copyPlans {
				t.Run(fmt.Sprintf("%s, %s, %s", ending.name, disturbance.name, plan.name), func(t *testing.T) {
					w := newWorld(t, 63)
					w.awaitLeader()
					w.submit("j-0", map[string]any{"shape": "service", "cores": 1.0, "shards": 2, "apart": true})
					w.until(90*second, "other replicas run", func() bool { return w.running("j-0") == 2 })
					w.machines.Copies = plan.settings
					machine := ending.end(w)
					disturbance.inject(w, machine)
					w.run(170 * second)
					if n := w.running("j-1"); n != ending.running {
						t.Errorf("%d tasks of j-1 run, want %d", n, ending.running)
					}
					if w.machines.CopyOutcomes == (emulator.CopyOutcomes{}) {
						t.Error("no copy has arrived: the test checks nothing")
					}
					w.requireNoViolations()
				})
			}
		}
	}
}
