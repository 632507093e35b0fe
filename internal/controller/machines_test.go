package controller

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// newCloud creates a cloud with one machine type.
func (w *world) newCloud() {
	w.cloud = emulator.NewCloud(w.queue)
	w.cloud.Types = []protocol.MachineType{{Name: "m8", Cores: 8, MemoryGB: 32, CacheGB: 50,
		FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: w.topology.zones}}
	w.cloud.MachineName = func(n int) string { return fmt.Sprintf("i-%06d", n) }
	w.cloud.MachineAddr = func(id string) string { return "10.1." + strings.TrimLeft(id[2:], "0") + ":9000" }
	w.cloud.ListLag = 5 * time.Second
	w.cloud.BootTime = func(string) time.Duration { return 10 * time.Second }
	w.cloud.OnViolation = func(description string) { w.recordViolation("%s", description) }
	w.cloud.OnLaunch = func(m *emulator.Machine) {
		worker := w.machines.Add(m.ID, m.Addr, m.Type, m.Zone, m.Spot)
		worker.OnHeartbeat = func(body []byte) { w.recordHeartbeat(worker, body) }
		w.after(10*time.Second, worker.Boot)
	}
	w.cloud.OnDelete = func(m *emulator.Machine) { w.machines.Workers[m.ID].Terminate() }
}

// newMachines creates a fleet whose workers send their heartbeats to the world's controllers.
func (w *world) newMachines() {
	f := emulator.NewFleet(w.queue, emulator.Timing{HeartbeatInterval: time.Second, LeaseTTL: 10 * time.Second, FailoverDelay: time.Second,
		RedirectDelay: 100 * time.Millisecond, GangStartTimeout: 30 * time.Second, GangPeerTimeout: gangPeerTimeout, CheckInterval: tick})
	f.Controllers = len(w.topology.controllers)
	f.ControllerByName = func(name string) int {
		n, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
		if err != nil {
			return -1
		}
		return n
	}
	f.SendHeartbeat, f.Random = w.deliverHeartbeat, w.rng.Float64
	f.Jobs = w.jobOf
	f.RunTime = func(task string) time.Duration { return w.runTime(task) }
	f.FetchTime = func(_ *emulator.Worker, task string, _ *emulator.Job) time.Duration {
		if w.fetchTime != nil {
			return w.fetchTime(task)
		}
		return testSite.fetchTime
	}
	f.FailsAtStart = func(worker *emulator.Worker, t *emulator.Task) bool {
		if w.failsAtStart == nil || !w.failsAtStart(worker, t.UID) {
			return false
		}
		w.failures++
		return true
	}
	f.TaskStarted = w.checkStart
	f.TaskCompleted = func(task string, t *emulator.Task) {
		w.completedTasks[task] = true
		if w.onTaskCompleted != nil {
			w.onTaskCompleted(t.UID)
		}
	}
	f.WorkerTerminated = func(worker *emulator.Worker) { w.cloud.Machine(worker.ID).Deleted = true }
	f.GangStopRequested = func(t *emulator.Task, graceS float64) {
		w.stopCommands[t.UID] = append(w.stopCommands[t.UID], stopCommand{w.Now(), graceS})
	}
	f.OnViolation = func(description string) { w.recordViolation("%s", description) }
	w.machines = f
}

// jobOf returns the description of a job that its workers have; nil if the job is unknown.
func (w *world) jobOf(uid string) *emulator.Job {
	spec := w.specs[uid]
	if spec == nil {
		return nil
	}
	return &emulator.Job{Tasks: spec["shards"].(int), Gang: spec["shape"] == "group", Service: spec["shape"] == "service",
		CheckpointS: spec["saveTakesS"].(float64), Cores: spec["cores"].(float64)}
}

// workers returns the workers in a fixed order, so that runs are reproducible.
func (w *world) workers() []*emulator.Worker { return w.machines.SortedWorkers() }

func (w *world) workerByAddr(addr string) *emulator.Worker {
	for _, worker := range w.machines.Workers {
		if worker.Addr == addr {
			return worker
		}
	}
	return nil
}

// recordHeartbeat stores a heartbeat's body, and schedules a late duplicate of the heartbeat if the test injects this
// fault.
func (w *world) recordHeartbeat(worker *emulator.Worker, body []byte) {
	w.sentHeartbeats[worker.ID] = append(w.sentHeartbeats[worker.ID], body)
	if w.duplicateDelay == nil {
		return
	}
	if delay := w.duplicateDelay(); delay > 0 {
		// The duplicate goes to a random controller; its reply is dropped.
		to := w.rng.IntN(3)
		w.after(delay, func() { w.sendRequest(to, Request{Op: OpWorkerHeartbeat, Body: body}, func(Reply) {}) })
	}
}

// deliverHeartbeat sends a worker's heartbeat to a controller, subject to the test's faults.
func (w *world) deliverHeartbeat(worker *emulator.Worker, node int, body []byte, answer emulator.Reply) {
	var f deliveryFault
	if w.heartbeatFault != nil {
		f = w.heartbeatFault(worker, node)
	}
	timeOut := func() { w.after(w.heartbeatTimeout, func() { answer(0, nil) }) }
	if f.refused {
		w.after(latency, func() { answer(0, nil) })
		return
	}
	if f.lost || worker.HeartbeatsLost {
		timeOut()
		return
	}
	w.after(latency, func() {
		w.sendRequest(node, Request{Op: OpWorkerHeartbeat, Body: body}, func(r Reply) {
			if f.replyLost || worker.Hung || worker.RepliesLost {
				timeOut()
				return
			}
			answer(r.Status, r.Body)
		})
	})
}

// checkStart checks the invariants that must hold when a task starts to occupy its machine.
func (w *world) checkStart(worker *emulator.Worker, task string, t *emulator.Task) {
	spec := w.specs[t.UID]
	w.startCounts[task]++
	start := attemptStart{machine: worker.ID, epoch: worker.Epoch, task: task, attempt: t.Attempt}
	if w.attemptStarts[start]++; w.attemptStarts[start] > 1 {
		w.recordViolation("restarted: attempt %d of %s starts again on %s after its end", t.Attempt, task, worker.ID)
	}
	// This is stricter than the protocol, which allows cancel_s: "from then on no task of the job may be started".
	if _, confirmed := w.cancelledAt[t.UID]; confirmed {
		w.recordViolation("ran_cancelled: %s starts after its cancellation was confirmed", task)
	}
	zones, total, used := map[string]int{}, 0, map[string]float64{}
	for _, holder := range w.machines.Workers {
		for name, otherTask := range holder.Tasks {
			if !otherTask.OccupiesMachine() || holder.Deleted {
				continue
			}
			other, _, _ := strings.Cut(name, "@")
			if other == task && (holder != worker || otherTask != t) {
				w.recordViolation("ran_twice: %s occupies %s and %s", task, holder.ID, worker.ID)
			}
			if otherTask.UID == t.UID {
				zones[holder.Zone]++
				total++
			}
			used[w.specs[otherTask.UID]["owner"].(string)] += w.specs[otherTask.UID]["cores"].(float64)
		}
	}
	if n := spec["shards"].(int); spec["apart"].(bool) && zones[worker.Zone] > (n+1)/2 {
		w.recordViolation("wrong_place: %d of %d tasks of %s in one zone", zones[worker.Zone], n, t.UID)
	}
	if spec["together"].(bool) && total != zones[worker.Zone] {
		w.recordViolation("wrong_place: tasks of %s in two zones", t.UID)
	}
	for team, quota := range map[string]float64{"red": 32, "blue": 16} {
		if used[team] > quota {
			w.recordViolation("quota: team %s uses %v cores", team, used[team])
		}
	}
}

// running returns the number of a job's tasks that occupy machines.
func (w *world) running(uid string) int {
	n := 0
	for _, worker := range w.workers() {
		for _, t := range worker.Tasks {
			if t.UID == uid && t.OccupiesMachine() && !worker.Deleted {
				n++
			}
		}
	}
	return n
}

// checkCancelledTasksEnded checks the invariant ran_cancelled for tasks that keep running after their cancellation was
// confirmed.
func (w *world) checkCancelledTasksEnded() {
	for uid, confirmedAt := range w.cancelledAt {
		if w.Now() > confirmedAt+35*time.Second && w.running(uid) > 0 {
			w.recordViolation("ran_cancelled: tasks of %s still occupy machines", uid)
		}
	}
}

// gangPeerTimeout equals gang_peer_s in testConfig.
const gangPeerTimeout = 5 * time.Second
