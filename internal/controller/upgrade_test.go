package controller

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// ganglessLeader simulates a leader of version 4297efa, which does not support gangs. It stores the leader key as that
// version does, replies to workers with its fencing token, and changes records and tasks as that version would, which
// treats a gang as an array. The tests script its actions.
type ganglessLeader struct {
	w            *world
	node         int
	token        uint64
	attemptCount uint64
}

// startOlderLeader crashes all controllers and makes one of them a leader of the older version. The other controllers
// restart with the current version.
func (w *world) startOlderLeader() *ganglessLeader {
	w.t.Helper()
	for i := range w.nodes {
		w.crash(i)
	}
	w.until(10*second, "the leader key has expired", func() bool { return w.state.Item(keyLeader) == nil })
	var counter counterRecord
	if err := protocol.Decode(w.state.Item(keyCounter).Value, &counter); err != nil {
		w.t.Fatal(err)
	}
	older := &ganglessLeader{w: w, node: 2, token: counter.Token + 1}
	w.state.ForceChange(keyCounter, &emulator.Item{Value: protocol.Encode(counterRecord{Token: older.token})})
	w.state.ForceChange(keyLeader, &emulator.Item{Value: protocol.Encode(leaderRecord{Label: "n2", Incarnation: "older", Token: older.token, LeaseID: 1 << 30})})
	w.nodes[older.node].scriptedReply = func(req Request) Reply {
		if req.Op == OpWorkerHeartbeat {
			return Reply{Status: 200, Body: protocol.Encode(protocol.WorkerHeartbeatReply{Token: older.token})}
		}
		return Reply{Status: 503, RetryAfter: 1}
	}
	w.boot(0)
	w.boot(1)
	w.run(2 * second)
	return older
}

// resign deletes the leader key and restarts the controller with the newer version.
func (l *ganglessLeader) resign() {
	l.w.t.Helper()
	l.w.state.ForceChange(keyLeader, nil)
	l.w.boot(l.node)
	l.w.awaitLeader()
}

// command sends commands to a machine and reports whether the machine accepted them.
func (l *ganglessLeader) command(worker *emulator.Worker, commands ...protocol.Command) bool {
	body := protocol.CommandRequest{Token: l.token, Epoch: worker.Epoch, Commands: commands}
	accepted := false
	worker.Serve("/commands", protocol.Encode(body), func(status int, _ []byte) { accepted = status == http.StatusOK })
	return accepted
}

// startTask starts a single task with a new attempt number, which it first stores in the machine's record.
func (l *ganglessLeader) startTask(worker *emulator.Worker, uid string, index int) {
	l.w.t.Helper()
	l.attemptCount++
	try := l.token<<24 | l.attemptCount
	l.updateMachineRecord(worker, func(rec *clusterstate.MachineRecord) {
		rec.Attempts = append(rec.Attempts, clusterstate.AttemptEntry{Job: uid, Index: index, Try: try})
	})
	if !l.command(worker, protocol.Command{Verb: protocol.VerbRun, Task: clusterstate.TaskName(uid, index), Attempt: try}) {
		l.w.t.Fatal("the machine rejected a run command")
	}
}

// removeAttempts removes all attempts of a job from a machine's record.
func (l *ganglessLeader) removeAttempts(worker *emulator.Worker, uid string) {
	l.updateMachineRecord(worker, func(rec *clusterstate.MachineRecord) {
		rec.Attempts = slices.DeleteFunc(rec.Attempts, func(e clusterstate.AttemptEntry) bool { return e.Job == uid })
	})
}

func (l *ganglessLeader) updateMachineRecord(worker *emulator.Worker, change func(*clusterstate.MachineRecord)) {
	l.w.t.Helper()
	key := clusterstate.MachinePrefix + worker.ID
	var rec clusterstate.MachineRecord
	if item := l.w.state.Item(key); item == nil || protocol.Decode(item.Value, &rec) != nil {
		l.w.t.Fatalf("no readable record of machine %s", worker.ID)
	}
	change(&rec)
	l.w.state.ForceChange(key, &emulator.Item{Value: protocol.Encode(rec)})
}

// tasksOf returns the names and attempt numbers of a job's tasks on a machine, sorted.
func tasksOf(worker *emulator.Worker, uid string) (attempts []clusterstate.AttemptKey) {
	for name, t := range worker.Tasks {
		if task, _, _ := strings.Cut(name, "@"); t.UID == uid {
			attempts = append(attempts, clusterstate.AttemptKey{Task: task, Attempt: t.Attempt})
		}
	}
	slices.SortFunc(attempts, compareAttemptKeys)
	return attempts
}

// startGangOnTwoMachines submits a gang of four tasks that is spread over two machines, after replicas run.
func (w *world) startGangOnTwoMachines() {
	w.t.Helper()
	w.submit("j-9", map[string]any{"shape": "service", "shards": 3, "cores": 5.0, "apart": true})
	w.until(90*second, "the replicas run", func() bool { return w.running("j-9") == 3 })
	w.submit("j-1", gangChanges(4, 1, map[string]any{"owner": "blue", "apart": true}))
}

// TestRunningGangUnderAnOlderLeader checks that a gang which the newer version started keeps running under an older
// leader and under the next newer leader, and completes without a restart.
func TestRunningGangUnderAnOlderLeader(t *testing.T) {
	w := newGateClosedWorld(t, 121)
	w.startGangOnTwoMachines()
	w.until(30*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	olderLeader := w.startOlderLeader()
	w.run(8 * second)
	olderLeader.resign()
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	if w.machines.GangStarts["j-1"] != 1 {
		t.Errorf("the gang started %d times", w.machines.GangStarts["j-1"])
	}
	w.settle()
}

// TestHalfGatheredGangUnderAnOlderLeader covers a gathering gang that loses the tasks of one machine. An older leader
// replaces only these tasks, with other attempt numbers, so the gang must not start. The next newer leader must clear
// the whole gang and start it again with one attempt number.
func TestHalfGatheredGangUnderAnOlderLeader(t *testing.T) {
	w := newGateClosedWorld(t, 122)
	w.fetchTime = func(string) time.Duration { return 15 * second }
	w.submit("j-9", map[string]any{"shape": "service", "shards": 3, "cores": 5.0, "apart": true})
	w.until(120*second, "the replicas run", func() bool { return w.running("j-9") == 3 })
	w.submit("j-1", gangChanges(4, 1, map[string]any{"owner": "blue", "apart": true}))
	w.until(10*second, "tasks of the gang are on two machines", func() bool { return len(w.machinesWithTasksOf("j-1")) > 1 })
	lostMachine := w.machinesWithTasksOf("j-1")[0]
	tasks := tasksOf(lostMachine, "j-1")
	lostMachine.Terminate()
	olderLeader := w.startOlderLeader()
	w.fetchTime = nil
	remaining := w.machinesWithTasksOf("j-1")[0]
	for _, key := range tasks {
		_, index, _ := clusterstate.ParseTaskName(key.Task)
		olderLeader.startTask(remaining, "j-1", index)
	}
	w.run(5 * second)
	if w.machines.GangStarts["j-1"] != 0 {
		t.Fatal("the gang started with two attempt numbers")
	}
	olderLeader.resign()
	w.until(40*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	w.awaitStatus(60*second, "j-1", protocol.JobDone)
	w.settle()
}

// TestHalfStoppedGangUnderAnOlderLeader covers an older leader that stops some tasks of a running gang, as it would
// stop an array's tasks. After the next failover to a newer leader the whole gang must start again.
func TestHalfStoppedGangUnderAnOlderLeader(t *testing.T) {
	w := newGateClosedWorld(t, 123)
	w.runTime = func(string) time.Duration { return 40 * second }
	w.startGangOnTwoMachines()
	w.until(30*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	olderLeader := w.startOlderLeader()
	worker := w.machinesWithTasksOf("j-1")[0]
	for _, key := range tasksOf(worker, "j-1") {
		olderLeader.command(worker, protocol.Command{Verb: protocol.VerbStop, Task: key.Task, Attempt: key.Attempt, GraceS: 2})
	}
	w.run(time.Second)
	olderLeader.resign()
	w.until(40*second, "the gang has started again", func() bool { return w.machines.GangStarts["j-1"] == 2 })
	w.awaitStatus(90*second, "j-1", protocol.JobDone)
	w.settle()
}

// TestHalfDoneGangUnderAnOlderLeader covers a gang whose tasks are all done when an older leader ends after it has
// stored and cleared only some of the completions, and the machine with the other tasks dies. Because a gang's tasks
// complete together, one stored completion marks the gang as done, and no task may be started again.
func TestHalfDoneGangUnderAnOlderLeader(t *testing.T) {
	w := newGateClosedWorld(t, 124)
	w.runTime = func(string) time.Duration { return 12 * second }
	w.startGangOnTwoMachines()
	w.until(30*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
	w.run(8 * second)
	olderLeader := w.startOlderLeader()
	w.until(10*second, "the gang is done", func() bool { return w.completedTasks["j-1/0"] })
	state := clusterstate.New(16<<10, 16<<10)
	j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 4}, 1)
	stored := 0
	for _, worker := range w.workers() {
		keys := tasksOf(worker, "j-1")
		if len(keys) == 0 || worker.Deleted {
			continue
		}
		if stored > 0 {
			worker.Terminate()
			continue
		}
		for _, key := range keys {
			_, index, _ := clusterstate.ParseTaskName(key.Task)
			j.MarkDone(index)
			stored++
			olderLeader.command(worker, protocol.Command{Verb: protocol.VerbClear, Task: key.Task, Attempt: key.Attempt})
		}
		w.state.ForceChange(state.CompletionKey(j, 0), &emulator.Item{Value: protocol.Encode(state.CompletionRecord(j, 0))})
		olderLeader.removeAttempts(worker, "j-1")
	}
	if stored == 0 || stored == 4 {
		t.Fatalf("%d of 4 completions are stored", stored)
	}
	olderLeader.resign()
	w.awaitStatus(5*second, "j-1", protocol.JobDone)
	w.run(40 * second)
	if w.machines.GangStarts["j-1"] != 1 {
		t.Errorf("the gang started %d times", w.machines.GangStarts["j-1"])
	}
	w.settle()
}

// TestCancelledGangUnderAnOlderLeader covers an older leader that stores the cancellation of a gang in a job record
// without the gang flag, and then ends. The next leader must stop all tasks of the gang and confirm the cancellation to
// the user.
func TestCancelledGangUnderAnOlderLeader(t *testing.T) {
	for _, state := range []string{"gathering", "running"} {
		t.Run(state, func(t *testing.T) {
			w := newGateClosedWorld(t, 125)
			if state == "gathering" {
				w.fetchTime = func(task string) time.Duration {
					if strings.HasPrefix(task, "j-1/") {
						return 20 * second
					}
					return second
				}
			}
			w.startGangOnTwoMachines()
			w.until(30*second, "tasks of the gang are on two machines", func() bool { return len(w.machinesWithTasksOf("j-1")) > 1 })
			w.run(3 * second)
			olderLeader := w.startOlderLeader()
			key := clusterstate.JobPrefix + "j-1"
			var rec clusterstate.JobRecord
			if err := protocol.Decode(w.state.Item(key).Value, &rec); err != nil {
				t.Fatal(err)
			}
			rec.State, rec.Spec.Gang = clusterstate.Cancelling, false
			w.state.ForceChange(key, &emulator.Item{Value: protocol.Encode(rec)})
			w.cancelRequested["j-1"] = true
			olderLeader.resign()
			w.cancel("j-1")
			w.awaitStatus(20*second, "j-1", protocol.JobCancelled)
			w.settle()
		})
	}
}

// TestOlderLeaderAfterTheUpgrade covers a process of the older version that is elected after all controllers were
// upgraded, and starts tasks of a waiting gang one at a time. It leads for less or for more time than a gang's tasks
// wait for each other. Machines must reject its commands after it has resigned, and the gang must start as a whole.
func TestOlderLeaderAfterTheUpgrade(t *testing.T) {
	for _, leads := range []time.Duration{2 * second, 33 * second} {
		t.Run(fmt.Sprintf("leads for %v", leads), func(t *testing.T) {
			w := newGateClosedWorld(t, 126)
			w.submit("j-9", map[string]any{"shape": "service", "shards": 3, "cores": 5.0, "apart": true})
			w.until(90*second, "the replicas run", func() bool { return w.running("j-9") == 3 })
			w.cloud.Down = true
			w.submit("j-1", gangChanges(4, 3, map[string]any{"owner": "blue"})) // there is room for three of the four tasks
			w.run(3 * second)
			olderLeader := w.startOlderLeader()
			for i, worker := range w.machinesWithTasksOf("j-9") {
				olderLeader.startTask(worker, "j-1", i)
			}
			w.run(leads)
			olderLeader.resign()
			w.run(5 * second)
			worker := w.machinesWithTasksOf("j-9")[0]
			if olderLeader.command(worker, protocol.Command{Verb: protocol.VerbRun, Task: "j-1/3", Attempt: olderLeader.token<<24 | 99}) {
				t.Error("a machine accepted a command of the older leader after it had resigned")
			}
			w.cloud.Down = false
			w.until(60*second, "the gang runs", func() bool { return w.machines.GangStarts["j-1"] == 1 })
			w.awaitStatus(60*second, "j-1", protocol.JobDone)
			w.settle()
		})
	}
}

// TestLeadersOfBothVersionsAlternate alternates older and newer leaders while gangs and arrays are submitted and
// machines die. All jobs must complete without a violated invariant.
func TestLeadersOfBothVersionsAlternate(t *testing.T) {
	w := newGateClosedWorld(t, 127)
	w.submit("j-9", map[string]any{"shape": "service", "shards": 3, "cores": 4.0, "apart": true})
	w.until(90*second, "the replicas run", func() bool { return w.running("j-9") == 3 })
	for turn := range 5 {
		w.submit(fmt.Sprintf("j-%d0", turn), gangChanges(3, 1, map[string]any{"owner": "blue"}))
		w.submit(fmt.Sprintf("j-%d1", turn), map[string]any{"shards": 3, "cores": 1.0})
		w.run(time.Duration(turn) * 1300 * time.Millisecond)
		olderLeader := w.startOlderLeader()
		if machines := w.machinesWithTasksOf(fmt.Sprintf("j-%d0", turn)); len(machines) > 0 && turn%2 == 1 {
			machines[0].Terminate()
		}
		w.run(time.Duration(turn*2) * second)
		olderLeader.resign()
		w.run(3 * second)
	}
	for turn := range 5 {
		w.awaitStatus(120*second, fmt.Sprintf("j-%d0", turn), protocol.JobDone)
		w.awaitStatus(120*second, fmt.Sprintf("j-%d1", turn), protocol.JobDone)
	}
	w.settle()
}

// newGateClosedWorld creates a world whose operators' settings hold the feature gate closed, so that older versions can
// be elected.
func newGateClosedWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	return newWorldWith(t, seed, slices.Concat(testOperator, []byte(holdGateSettings)))
}
