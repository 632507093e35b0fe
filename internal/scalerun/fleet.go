package scalerun

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// Parameters of the emulated workers and the emulated cloud that a plan can't change.
const (
	heartbeatJitter    = 0.25 // fraction of workers.report_s, in both directions
	minHeartbeatPause  = 500 * time.Millisecond
	failoverDelay      = time.Second
	redirectDelay      = 250 * time.Millisecond
	leaseCheckInterval = 100 * time.Millisecond
	spotDiscount       = 2 // ratio of the regular price to the spot price
	minRunTimeShare    = 0.8
	runTimeSpread      = 0.4 // tasks run for 0.8 to 1.2 times run_s
)

// newCloud creates the region's emulated cloud.
func (r *region) newCloud() {
	p := r.plan
	cloud := emulator.NewCloud(r.loop.queue)
	cloud.OnViolation, cloud.RequestRate, cloud.ListLag = r.failOnProtocolError, p.Cloud.RPS, seconds(p.Cloud.ListLagS)
	cloud.Capacity = map[emulator.Pool]int{} // no spare capacity: only lost machines can be replaced
	cloud.MachineName = func(n int) string { return fmt.Sprintf("i-%d%06d", r.number, n) }
	cloud.MachineAddr = func(id string) string {
		n, _ := strconv.Atoi(id[3:]) // can't fail: cloud.MachineName formatted the id
		return p.workerAddress(r.number, n)
	}
	for _, t := range p.Fleet.Types {
		cloud.Types = append(cloud.Types, protocol.MachineType{Name: t.Name, Cores: t.Cores, Accelerators: t.Accelerators, MemoryGB: t.MemoryGB,
			CacheGB: t.CacheGB, FetchGBPerS: t.FetchGBPerS, Price: t.Price, SpotPrice: t.Price / spotDiscount, BootS: t.BootS, Zones: p.Fleet.Zones})
	}
	cloud.BootTime = func(typ string) time.Duration { return seconds(r.typeOf(typ).BootS) }
	cloud.OnLaunch = func(m *emulator.Machine) {
		worker := r.addWorker(m)
		r.loop.queue.After(cloud.BootTime(m.Type), worker.Boot)
	}
	cloud.OnDelete = func(m *emulator.Machine) {
		if worker := r.fleet.Workers[m.ID]; worker != nil {
			worker.Terminate()
		}
	}
	r.cloud = cloud
}

// typeOf returns the plan's machine type with the given name, which must exist.
func (r *region) typeOf(name string) protocol.MachineType {
	i := slices.IndexFunc(r.cloud.Types, func(t protocol.MachineType) bool { return t.Name == name })
	return r.cloud.Types[i]
}

// newFleet creates the region's fleet of emulated workers, which send heartbeats to the real controllers.
func (r *region) newFleet() {
	timing := r.plan.Workers
	fleet := emulator.NewFleet(r.loop.queue, emulator.Timing{HeartbeatInterval: seconds(timing.ReportS), Jitter: heartbeatJitter, MinHeartbeatPause: minHeartbeatPause,
		FailoverDelay: failoverDelay, RedirectDelay: redirectDelay, LeaseTTL: seconds(timing.LeaseS),
		GangStartTimeout: seconds(timing.GangWaitS), GangPeerTimeout: seconds(timing.GangPeerS), CheckInterval: leaseCheckInterval})
	fleet.Random, fleet.RefuseUnfit, fleet.FetchTime = r.random.Float64, true, emulator.FetchImage
	fleet.Copies = r.plan.Copies.settings()
	var addresses, labels []string
	for i := range r.plan.Control.Controllers {
		addresses = append(addresses, r.plan.workerLinkAddress(r.number, i))
		labels = append(labels, controllerLabel(i))
	}
	r.heartbeatSender = newHeartbeatSender(r.loop, addresses, r.metrics)
	r.heartbeatSender.onResponse = func(machine string, controller int) {
		r.ownership.workerAnswered(machine, controller, r.loop.queue.Now())
	}
	fleet.Controllers = len(addresses)
	fleet.SendHeartbeat = func(worker *emulator.Worker, controller int, body []byte, answer emulator.Reply) {
		if r.soak != nil {
			r.soak.copyHeartbeat(worker, body)
		}
		if r.metrics.measuring {
			r.metrics.heldExits.add(worker)
		}
		r.heartbeatSender.send(worker, controller, body, answer)
	}
	fleet.ControllerByName = func(name string) int { return slices.Index(labels, name) }
	fleet.Jobs = func(uid string) *emulator.Job {
		if j := r.invariants.jobs[uid]; j != nil {
			return &j.Job
		}
		return nil
	}
	fleet.RunTime = r.runTime
	fleet.Observer = emulator.Observer{TaskStarted: r.onTaskStarted, TaskStopped: r.onTaskStopped, TaskCompleted: r.onTaskCompleted, WorkerTerminated: r.onWorkerTerminated, OnViolation: r.failOnProtocolError}
	r.fleet = fleet
}

// runTime draws a random run time for a task. It returns 0 if the task's job has no record any more.
func (r *region) runTime(task string) time.Duration {
	uid, _, _ := strings.Cut(task, "/")
	if j := r.invariants.jobs[uid]; j != nil {
		return time.Duration(j.load.RunS * (minRunTimeShare + runTimeSpread*r.random.Float64()) * float64(time.Second))
	}
	return 0
}

func (r *region) addWorker(m *emulator.Machine) *emulator.Worker {
	worker := r.fleet.Add(m.ID, m.Addr, m.Type, m.Zone, m.Spot)
	worker.MachineType = r.typeOf(m.Type)
	worker.Controller = r.random.IntN(r.plan.Control.Controllers)
	r.workersByAddress[m.Addr] = worker
	return worker
}

// bootFleet creates the plan's workers and boots each at a random time within the first workers.report_s.
func (r *region) bootFleet() {
	n := r.plan.regionWorkers(r.number)
	for i, typ := range r.plan.machineTypes(n) {
		m := r.cloud.Create(emulator.Pool{Type: typ, Zone: r.plan.Fleet.Zones[i%len(r.plan.Fleet.Zones)]})
		m.Up = true
		r.cloud.Capacity[m.Pool]++ // undoes the decrement by Create, which is meant for launches
		worker := r.addWorker(m)
		r.loop.queue.After(seconds(r.plan.Workers.ReportS*r.random.Float64()), worker.Boot)
	}
}

// machineTypes returns the types of n machines, interleaved in proportion to their shares of the fleet.
func (p *Plan) machineTypes(n int) []string {
	var types []string
	assigned := make([]float64, len(p.Fleet.Types))
	for range n {
		nextType := 0
		for i, t := range p.Fleet.Types {
			if assigned[i]/t.Share < assigned[nextType]/p.Fleet.Types[nextType].Share {
				nextType = i
			}
		}
		assigned[nextType]++
		types = append(types, p.Fleet.Types[nextType].Name)
	}
	return types
}

// onTaskStarted is called by the fleet for each task that starts on a machine.
func (r *region) onTaskStarted(worker *emulator.Worker, task string, t *emulator.Task) {
	now := r.loop.queue.Now()
	r.invariants.taskStarted(worker, task, t)
	j := r.invariants.jobs[t.UID]
	r.upgrade.taskStarted(task, j, now)
	r.metrics.running++
	r.detection.taskStarted(t.Attempt >> attemptBlockBits)
	if r.ownership.taskStarted(t.UID, t.Attempt, now) {
		r.jobsOwnedTwice++
		r.invariants.reportViolation(j, "owned_twice", "%s was started by attempt %d after a leader with a later fencing token had started tasks of the job", task, t.Attempt)
	}
	if j != nil && !j.started[task] {
		j.started[task] = true
		r.metrics.taskStarted(j.class, now-j.submittedAt)
	}
}

// onTaskStopped is called by the fleet for each task that is no longer on its machine.
func (r *region) onTaskStopped(worker *emulator.Worker, task string, t *emulator.Task) {
	r.invariants.taskStopped(worker, task, t)
	r.upgrade.taskStopped(task, t)
	r.metrics.running--
}

// onTaskCompleted is called by the fleet for each task that has completed.
func (r *region) onTaskCompleted(task string, t *emulator.Task) {
	if j := r.invariants.jobs[t.UID]; j != nil {
		j.completed[task] = true
		r.metrics.tasksCompleted++
		if r.soak != nil && len(j.completed) == j.Tasks && r.soak.happens(r.soak.cancelsAtEnd) {
			r.clients.cancel(j)
		}
	}
}

// onWorkerTerminated is called by the fleet for each machine that has failed or was deleted.
func (r *region) onWorkerTerminated(worker *emulator.Worker) {
	r.cloud.MarkFailed(worker.ID)
	r.heartbeatSender.closeConnection(worker.ID)
	delete(r.workersByAddress, worker.Addr)
	delete(r.fleet.Workers, worker.ID)
}
