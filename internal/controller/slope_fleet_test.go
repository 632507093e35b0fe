package controller

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// slopeSizes are the fleet sizes of the scaling benchmarks, in workers.
var slopeSizes = []int{800, 1_600, 3_200, 5_500, 11_000, 22_000}

// Ratios of the planned fleet: 230,000 tasks, 8,250 waiting jobs and 1,000 teams for 22,000 workers.
const (
	slopeTasksPerWorker   = 230_000.0 / 22_000
	slopeWaitingPerWorker = 8_250.0 / 22_000
	slopeTeamsPerWorker   = 1_000.0 / 22_000
	slopeTasksPerJob      = 12
)

// slopeFleet is a leader with a fleet whose state is created directly, without any messages.
type slopeFleet struct {
	controller *Controller
	leadership *leadership
	tasks      []*clusterstate.Attempt
	waiting    []*clusterstate.Job
	random     *rand.Rand
	// revision is the state service's revision after the last applied transaction.
	revision uint64
}

// slopeConfig returns the configuration of a controller for a fleet of this many workers.
func slopeConfig(b *testing.B, workers int) *config.Config {
	b.Helper()
	var teams []string
	for i := range max(6, int(float64(workers)*slopeTeamsPerWorker)) {
		teams = append(teams, fmt.Sprintf(`{"name":"team-%d","cpus":%d,"cpus_max":1e6,"gpus":16,"gpus_max":1e6}`, i, 64))
	}
	cfg, err := config.Parse([]byte(fmt.Sprintf(`{"label":"n0","zone":"a","client_listen":"10.0.0.1:2","peer_listen":"10.0.0.1:1",
	"siblings":[{"label":"n1","zone":"b","peer_addr":"10.0.0.2:1"},{"label":"n2","zone":"c","peer_addr":"10.0.0.3:1"}],
	"services":{"cloud":"10.9.0.1:1","state":"10.9.0.2:1"},
	"cluster":{"teams":[%s],"objectives":[{"kind":"wait","class":"web","within_s":5,"share":0.9}],
	"workers":{"report_s":6,"lease_s":31,"cancel_s":61,"gang_wait_s":30,"gang_peer_s":5},
	"state":{"rps":3500,"write_rps":1200,"value_kb":8,"txn_ops":24},
	"cloud":{"rps":12,"list_lag_s":5},"resources":{"cores":1,"mem_mb":2200,"fd_limit":65536}}}`, strings.Join(teams, ","))), nil)
	if err != nil {
		b.Fatal(err)
	}
	return cfg
}

// newSlopeLeader creates a leader with machine types and no machines.
func newSlopeLeader(b *testing.B, workers int) *slopeFleet {
	b.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError}))
	c := New(slopeConfig(b, workers), rand.New(rand.NewPCG(1, 1)), log)
	c.env.now, c.env.wall = time.Hour, 1_700_000_000_000
	for _, t := range []protocol.MachineType{
		{Name: "m16", Cores: 16, MemoryGB: 64, CacheGB: 400, FetchGBPerS: 2, Price: 1, SpotPrice: 0.4, BootS: 35, Zones: []string{"a", "b", "c"}},
		{Name: "g64", Cores: 64, Accelerators: 8, MemoryGB: 384, CacheGB: 400, FetchGBPerS: 2, Price: 20, SpotPrice: 8, BootS: 45, Zones: []string{"a", "b", "c"}},
	} {
		c.catalog.typeInfo[t.Name] = t
		c.catalog.types = append(c.catalog.types, &scheduler.MachineType{Name: t.Name, Size: scheduler.Resources{Cores: t.Cores, Accelerators: t.Accelerators, MemoryGB: t.MemoryGB},
			Price: t.Price, SpotPrice: t.SpotPrice, Zones: t.Zones, BootS: t.BootS, FetchGBPerS: t.FetchGBPerS})
	}
	l := newLeadership(c, &leaderRecord{Token: 1, LeaseID: 1}, 1, c.env.now)
	l.loader.ready = true
	c.leadership = l
	f := &slopeFleet{controller: c, leadership: l, random: rand.New(rand.NewPCG(2, 2))}
	f.resetPool()
	return f
}

// resetPool replaces the machine pool with a new one that has rented no machines and has read the
// list of the fleet's machines.
func (f *slopeFleet) resetPool() {
	var list protocol.MachineList
	for _, m := range f.leadership.machines.sortedMachines() {
		list.Machines = append(list.Machines, protocol.ListedMachine{ID: m.ID, Addr: m.Addr, Type: m.Type, Zone: m.Zone, State: "running"})
	}
	f.leadership.pool = f.leadership.newPool()
	f.leadership.wire() // passes the new pool to the components
	f.controller.outbox.cloudRequests.Refill()
	f.leadership.pool.Tick()
	for _, e := range f.controller.outbox.effects {
		if call, isCall := e.(Call); isCall && strings.HasPrefix(call.Path, "/machines?") {
			callback := f.controller.outbox.callbacks[call.ID]
			delete(f.controller.outbox.callbacks, call.ID)
			callback(Result{ID: call.ID, Status: 200, Body: protocol.Encode(list)})
		}
	}
	f.controller.outbox.effects = f.controller.outbox.effects[:0]
}

// newSlopeFleet creates a leader with a busy fleet: each machine has about ten tasks, every third
// machine has free capacity for a few more, and jobs of twelve tasks wait.
func newSlopeFleet(b *testing.B, workers int) *slopeFleet {
	b.Helper()
	f := newSlopeLeader(b, workers)
	teams := len(f.controller.env.cfg.Cluster.Teams)
	for i := range workers {
		f.addMachine(i)
	}
	tasks := int(float64(workers) * slopeTasksPerWorker)
	var job *clusterstate.Job
	for i := range tasks {
		if i%slopeTasksPerJob == 0 {
			job = f.addJob(fmt.Sprintf("j-%08d", i/slopeTasksPerJob), i/slopeTasksPerJob%teams, i%36 == 0, scheduler.Resources{Cores: 1, MemoryGB: 2})
		}
		f.addRunningTask(job, i%slopeTasksPerJob, f.leadership.machines.sortedMachines()[i%workers])
	}
	f.fillMachines()
	for i := range int(float64(workers) * slopeWaitingPerWorker) {
		need := scheduler.Resources{Cores: 2, MemoryGB: 2.8}
		if i%2 == 0 {
			need = scheduler.Resources{Cores: 11, Accelerators: 2, MemoryGB: 50}
		}
		f.waiting = append(f.waiting, f.addJob(fmt.Sprintf("j-w%07d", i), i%teams, i%3 == 0, need))
	}
	return f
}

func (f *slopeFleet) addMachine(i int) {
	m := f.leadership.state.AddMachine(fmt.Sprintf("i-%06d", i))
	m.Type = []string{"m16", "g64"}[i%2]
	m.Zone, m.Addr = string(rune('a'+i%3)), "10.1.0.1:1"
	m.Size = f.leadership.machines.machineSize(m.Type)
	m.Seen, m.TokenAcknowledged, m.EverReported, m.ListedRunning, m.HasRecord, m.Epoch, m.Token = true, true, true, true, true, 1, 1
	m.LastSeen, m.LastAnswered, m.TokenAcknowledgedAt, m.Probed = f.controller.env.now, f.controller.env.now, f.controller.env.now, true
	m.UseImage(fmt.Sprintf("img-%02d", i%12), 5, 400)
}

func (f *slopeFleet) addJob(uid string, team int, service bool, need scheduler.Resources) *clusterstate.Job {
	i := len(f.leadership.state.Jobs)
	spec := &protocol.JobSpec{UID: uid, Class: []string{"web", "scoring"}[i%2], Team: fmt.Sprintf("team-%d", team), Service: service, Priority: protocol.PriorityNormal,
		Tasks: slopeTasksPerJob, Cores: need.Cores, Accelerators: need.Accelerators, MemoryGB: need.MemoryGB, Image: fmt.Sprintf("img-%02d", i%12), ImageGB: 5,
		Spread: service && need.Accelerators == 0, CheckpointS: 15, SaveS: 3, EstimateS: 90}
	job := f.leadership.state.AddJob(spec, f.controller.env.wall-int64(i%3600)*1000)
	job.Stored = true
	return job
}

// addRunningTask places a task on a machine; the task has been running there for a minute.
func (f *slopeFleet) addRunningTask(job *clusterstate.Job, index int, m *clusterstate.Machine) {
	a := f.leadership.state.AddAttempt(m, job, index, f.leadership.attemptNumbers.allocate(), f.controller.env.now-time.Minute)
	a.Durable, a.Sent, a.Acknowledged, a.Epoch = true, true, true, 1
	a.SetState(protocol.TaskRunning)
	f.tasks = append(f.tasks, a)
}

// fillMachines leaves free capacity only on every third machine: 14 cores and two accelerators.
func (f *slopeFleet) fillMachines() {
	big := f.addJob("j-big", 0, false, scheduler.Resources{})
	for i, m := range f.leadership.machines.sortedMachines() {
		remaining := scheduler.Resources{}
		if i%3 == 0 {
			remaining = scheduler.Resources{Cores: 14, Accelerators: 2, MemoryGB: 60}
		}
		free := m.Size.Minus(m.Used)
		m.Used = m.Used.Plus(scheduler.Resources{Cores: max(0, free.Cores-remaining.Cores), Accelerators: max(0, free.Accelerators-remaining.Accelerators)})
	}
	f.leadership.state.RemoveJob(big.Spec.UID)
}

// removeRandomAttempt removes a random running attempt from the cluster state, so that its task waits again.
func (f *slopeFleet) removeRandomAttempt() {
	i := f.random.IntN(len(f.tasks))
	f.leadership.state.RemoveAttempt(f.tasks[i])
	f.tasks[i] = f.tasks[len(f.tasks)-1]
	f.tasks = f.tasks[:len(f.tasks)-1]
}

// applyQueuedTransactions applies the transactions that the last fill queued until none is left, so that the
// next fill finds its starts stored.
func (f *slopeFleet) applyQueuedTransactions() {
	for {
		f.controller.outbox.effects = f.controller.outbox.effects[:0]
		f.controller.outbox.stateChanges.Refill()
		f.controller.outbox.stateRequests.Refill()
		f.leadership.flush()
		if !f.applySentTransaction() {
			break
		}
	}
	f.controller.outbox.effects = f.controller.outbox.effects[:0]
	clear(f.controller.outbox.callbacks)
}

// applySentTransaction answers the transaction among the outbox's effects as applied. It returns false
// if there is none.
func (f *slopeFleet) applySentTransaction() bool {
	for _, e := range f.controller.outbox.effects {
		if call, isCall := e.(Call); isCall && call.Path == "/multi" {
			f.revision++
			f.controller.outbox.callbacks[call.ID](Result{ID: call.ID, Status: 200, Body: protocol.Encode(protocol.TransactionReply{Revision: f.revision})})
			return true
		}
	}
	return false
}

// blockFills sends a transaction that is never answered: while it is in flight, no fill begins.
func (f *slopeFleet) blockFills() {
	f.leadership.store.QueueWrite("x/busy", statestore.PriorityUser, func() any { return 1 }, nil)
	f.leadership.flush()
}

// eachSlopeSize runs a benchmark with each fleet size.
func eachSlopeSize(b *testing.B, run func(b *testing.B, workers int)) {
	b.Helper()
	for _, workers := range slopeSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			run(b, workers)
		})
	}
}
