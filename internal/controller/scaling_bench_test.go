package controller

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// The benchmarks of this file measure what the leader's work costs as its fleet grows. They
// are the source of the slopes in docs/CAPACITY.md:
//
//	go test -run '^$' -bench 'Slope' -benchtime 20x -cpu 1 ./internal/controller

// slopeSizes are numbers of workers, over more than a decade.
var slopeSizes = []int{800, 1_600, 3_200, 5_500, 11_000, 22_000}

// Ratios of the planned size: 230,000 tasks on 22,000 workers, 8,250 waiting jobs, and 1,000 teams.
const (
	slopeTasksPerWorker   = 230_000.0 / 22_000
	slopeWaitingPerWorker = 8_250.0 / 22_000
	slopeTeamsPerWorker   = 1_000.0 / 22_000
	slopeTasksPerJob      = 12
)

// slopeFleet is a leader with a busy fleet, created without any messages.
type slopeFleet struct {
	controller *Controller
	leadership *leadership
	tasks      []*clusterstate.Attempt
	waiting    []*clusterstate.Job
	random     *rand.Rand
	// revision is the store's revision after the last transaction that applied.
	revision uint64
}

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
		c.catalog.types = append(c.catalog.types, &scheduler.Type{Name: t.Name, Size: scheduler.Need{Cores: t.Cores, Accel: t.Accelerators, Mem: t.MemoryGB},
			Price: t.Price, SpotPrice: t.SpotPrice, Zones: t.Zones, BootS: t.BootS, FetchGBPerS: t.FetchGBPerS})
	}
	l := newLeadership(c, &leaderRecord{Token: 1, LeaseID: 1}, 1, c.env.now)
	l.loader.ready = true
	c.leadership = l
	f := &slopeFleet{controller: c, leadership: l, random: rand.New(rand.NewPCG(2, 2))}
	f.freshPool()
	return f
}

// freshPool replaces the machine pool by one that has rented nothing and has read a list of the
// fleet.
func (f *slopeFleet) freshPool() {
	var list protocol.MachineList
	for _, m := range f.leadership.machines.sortedMachines() {
		list.Machines = append(list.Machines, protocol.ListedMachine{ID: m.ID, Addr: m.Addr, Type: m.Type, Zone: m.Zone, State: "running"})
	}
	f.leadership.pool = f.leadership.newPool()
	f.controller.outbox.cloudRequests.Refill()
	f.leadership.pool.Tick()
	for _, e := range f.controller.outbox.effects {
		if call, isCall := e.(Call); isCall && strings.HasPrefix(call.Path, "/machines?") {
			then := f.controller.outbox.calls[call.ID]
			delete(f.controller.outbox.calls, call.ID)
			then(Result{ID: call.ID, Status: 200, Body: protocol.Encode(list)})
		}
	}
	f.controller.outbox.effects = f.controller.outbox.effects[:0]
}

// newSlopeFleet creates a leader whose fleet is busy: each machine has about ten tasks, every third
// has room for a few more, and jobs of twelve tasks wait.
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
			job = f.addJob(fmt.Sprintf("j-%08d", i/slopeTasksPerJob), i/slopeTasksPerJob%teams, i%36 == 0, scheduler.Need{Cores: 1, Mem: 2})
		}
		f.run(job, i%slopeTasksPerJob, f.leadership.machines.sortedMachines()[i%workers])
	}
	f.fillMachines()
	for i := range int(float64(workers) * slopeWaitingPerWorker) {
		need := scheduler.Need{Cores: 2, Mem: 2.8}
		if i%2 == 0 {
			need = scheduler.Need{Cores: 11, Accel: 2, Mem: 50}
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
	m.Seen, m.TokenAcknowledged, m.Up, m.Listed, m.Recorded, m.Epoch, m.Token = true, true, true, true, true, 1, 1
	m.LastSeen, m.LastAnswered, m.TokenAcknowledgedAt, m.Probed = f.controller.env.now, f.controller.env.now, f.controller.env.now, true
	m.UseImage(fmt.Sprintf("img-%02d", i%12), 5, 400)
}

func (f *slopeFleet) addJob(uid string, team int, service bool, need scheduler.Need) *clusterstate.Job {
	i := len(f.leadership.state.Jobs)
	spec := &protocol.Spec{UID: uid, Class: []string{"web", "scoring"}[i%2], Team: fmt.Sprintf("team-%d", team), Service: service, Priority: protocol.Normal,
		Tasks: slopeTasksPerJob, Cores: need.Cores, Accelerators: need.Accel, MemoryGB: need.Mem, Image: fmt.Sprintf("img-%02d", i%12), ImageGB: 5,
		Spread: service && need.Accel == 0, CheckpointS: 15, SaveS: 3, EstimateS: 90}
	job := f.leadership.state.AddJob(spec, f.controller.env.wall-int64(i%3600)*1000)
	job.Stored = true
	return job
}

// run places a task on a machine, as one that has run for a while.
func (f *slopeFleet) run(job *clusterstate.Job, index int, m *clusterstate.Machine) {
	a := f.leadership.state.AddAttempt(m, job, index, f.leadership.attemptNumbers.take(), f.controller.env.now-time.Minute)
	a.Durable, a.Sent, a.Acknowledged, a.Epoch = true, true, true, 1
	a.SetState(protocol.Running)
	f.tasks = append(f.tasks, a)
}

// fillMachines leaves room only on every third machine: one task's worth of cores, and two accelerators.
func (f *slopeFleet) fillMachines() {
	big := f.addJob("j-big", 0, false, scheduler.Need{})
	for i, m := range f.leadership.machines.sortedMachines() {
		left := scheduler.Need{}
		if i%3 == 0 {
			left = scheduler.Need{Cores: 14, Accel: 2, Mem: 60}
		}
		free := m.Size.Minus(m.Used)
		m.Used = m.Used.Plus(scheduler.Need{Cores: max(0, free.Cores-left.Cores), Accel: max(0, free.Accel-left.Accel)})
	}
	f.leadership.state.RemoveJob(big.Spec.UID)
}

// endOneTask removes one running task from the cluster state and makes another task of its job wait.
func (f *slopeFleet) endOneTask() {
	i := f.random.IntN(len(f.tasks))
	f.leadership.state.RemoveAttempt(f.tasks[i])
	f.tasks[i] = f.tasks[len(f.tasks)-1]
	f.tasks = f.tasks[:len(f.tasks)-1]
}

// settleStarts marks what the last fill started as running, so that the next one finds the fleet as
// it would be.
func (f *slopeFleet) settleStarts() {
	for {
		f.controller.outbox.effects = f.controller.outbox.effects[:0]
		f.controller.outbox.stateChanges.Refill()
		f.controller.outbox.stateRequests.Refill()
		f.leadership.flush()
		if !f.answerTransaction() {
			break
		}
	}
	f.controller.outbox.effects = f.controller.outbox.effects[:0]
	clear(f.controller.outbox.calls)
}

// answerTransaction makes the transaction that was just sent apply; it returns false if there is
// none.
func (f *slopeFleet) answerTransaction() bool {
	for _, e := range f.controller.outbox.effects {
		if call, isCall := e.(Call); isCall && call.Path == "/multi" {
			f.revision++
			f.controller.outbox.calls[call.ID](Result{ID: call.ID, Status: 200, Body: protocol.Encode(protocol.TxnReply{Revision: f.revision})})
			return true
		}
	}
	return false
}

// keepBusy keeps a transaction in flight that is never answered, so that no fill begins.
func (f *slopeFleet) keepBusy() {
	f.leadership.store.Mark("x/busy", statestore.User, func() any { return 1 }, nil)
	f.leadership.flush()
}

func eachSlopeSize(b *testing.B, run func(b *testing.B, workers int)) {
	b.Helper()
	for _, workers := range slopeSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			run(b, workers)
		})
	}
}

// BenchmarkSlopeFill measures a fill after a dozen tasks have ended, with all jobs waiting.
func BenchmarkSlopeFill(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.leadership.placement.runFill()
		f.settleStarts()
		var worst time.Duration
		b.ResetTimer()
		for b.Loop() {
			b.StopTimer()
			for range 12 {
				f.endOneTask()
			}
			f.settleStarts()
			b.StartTimer()
			started := time.Now()
			f.leadership.placement.runFill()
			worst = max(worst, time.Since(started))
		}
		b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
	})
}

// BenchmarkSlopeFillBurst measures a fill that finds all free room at once.
func BenchmarkSlopeFillBurst(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		placed := 0
		for b.Loop() {
			b.StopTimer()
			f := newSlopeFleet(b, workers)
			runtime.GC()
			before := f.leadership.attemptNumbers.used
			b.StartTimer()
			f.leadership.placement.runFill()
			placed = int(f.leadership.attemptNumbers.used - before)
		}
		b.ReportMetric(float64(placed), "placed")
	})
}

func BenchmarkSlopeSnapshot(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		b.ResetTimer()
		for b.Loop() {
			f.leadership.cache.fullSnapshot()
		}
	})
}

func BenchmarkSlopeRound(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.leadership.placement.runFill()
		f.settleStarts()
		b.ResetTimer()
		for b.Loop() {
			f.leadership.placement.runRound()
		}
	})
}

// BenchmarkSlopeRoundStops measures a round in which all waiting jobs have a higher priority than
// what runs, so that it preempts as much as a round may.
func BenchmarkSlopeRoundStops(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		stops := 0
		for b.Loop() {
			b.StopTimer()
			f := newSlopeFleet(b, workers)
			for _, j := range f.waiting {
				j.Spec.Priority, j.Spec.Service = protocol.Production, true
			}
			f.leadership.placement.runFill()
			f.settleStarts()
			runtime.GC()
			b.StartTimer()
			f.leadership.placement.runRound()
			b.StopTimer()
			stops = 0
			for _, a := range f.tasks {
				if a.StopRequested {
					stops++
				}
			}
			b.StartTimer()
		}
		b.ReportMetric(float64(stops), "stops")
	})
}

// BenchmarkSlopeConsolidation measures the search for machines to drain, where replicas run and a
// third of the machines has room.
func BenchmarkSlopeConsolidation(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		for _, j := range f.waiting {
			f.leadership.state.RemoveJob(j.Spec.UID)
		}
		for _, j := range f.leadership.state.Jobs {
			j.Spec.Service = true
		}
		b.ResetTimer()
		for b.Loop() {
			f.leadership.consolidator.drainAt = 0
			f.leadership.consolidator.consolidate()
			b.StopTimer()
			for _, a := range f.tasks {
				a.StopRequested, a.Machine.DrainUntil = false, 0
			}
			f.controller.outbox.effects = f.controller.outbox.effects[:0]
			b.StartTimer()
		}
	})
}

// BenchmarkSlopeSweep measures what a fill does for machines that have not changed.
func BenchmarkSlopeSweep(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.leadership.cache.fullSnapshot()
		b.ResetTimer()
		for b.Loop() {
			f.leadership.cache.syncFleet(f.leadership.cache.emptySnapshot())
		}
	})
}

func BenchmarkSlopePlan(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.leadership.placement.runFill()
		f.settleStarts()
		b.ResetTimer()
		for b.Loop() {
			f.leadership.scaler.planScaling()
			b.StopTimer()
			f.controller.outbox.effects = f.controller.outbox.effects[:0]
			f.freshPool()
			b.StartTimer()
		}
	})
}

func BenchmarkSlopeTick(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		l := f.leadership
		l.placement.fillAt, l.placement.roundAt, l.placement.planAt, l.placement.countersAt, l.placement.summaryAt, l.lease.renewLeaseAt = 1<<60, 1<<60, 1<<60, 1<<60, 1<<60, 1<<60
		b.ResetTimer()
		for b.Loop() {
			l.tick()
		}
	})
}

// heartbeat returns the heartbeat of a machine of the fleet that agrees with the cluster state.
func (f *slopeFleet) heartbeat(m *clusterstate.Machine) *protocol.WorkerHeartbeat {
	msg := &protocol.WorkerHeartbeat{Machine: m.ID, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Epoch: 1, Sequence: m.Sequence + 1, Token: 1}
	for _, a := range m.Sorted() {
		msg.Tasks = append(msg.Tasks, protocol.TaskStatus{Task: a.Key().Task, Attempt: a.Number, State: protocol.Running})
	}
	return msg
}

// benchmarkHeartbeats measures heartbeats of the fleet's machines in turn, modified by change.
func benchmarkHeartbeats(b *testing.B, change func(f *slopeFleet, m *clusterstate.Machine, msg *protocol.WorkerHeartbeat), forwarded bool) {
	b.Helper()
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		l := f.leadership
		l.placement.fillAt, l.placement.roundAt, l.placement.planAt = 1<<60, 1<<60, 1<<60
		f.keepBusy() // no fill: that is measured by itself
		list := l.machines.sortedMachines()
		at := Clock{Steady: f.controller.env.now, Wall: f.controller.env.wall}
		n, bytes := 0, 0
		b.ResetTimer()
		for b.Loop() {
			b.StopTimer()
			m := list[n%len(list)]
			n++
			msg := f.heartbeat(m)
			if change != nil {
				change(f, m, msg)
			}
			body := protocol.Encode(msg)
			bytes += len(body)
			request := Request{ID: uint64(n), Op: OpWorkerHeartbeat, Body: body}
			if forwarded {
				request = Request{ID: uint64(n), Op: OpForwardedHeartbeat, Body: protocol.EncodePeer(protocol.Relay{Op: string(OpWorkerHeartbeat), Body: body, From: "n1"})}
			}
			b.StartTimer()
			f.controller.Handle(at, request)
		}
		b.ReportMetric(float64(bytes)/float64(n), "body-bytes")
	})
}

func BenchmarkSlopeHeartbeatUnchanged(b *testing.B) { benchmarkHeartbeats(b, nil, false) }

func BenchmarkSlopeHeartbeatForwarded(b *testing.B) { benchmarkHeartbeats(b, nil, true) }

func BenchmarkSlopeHeartbeatExit(b *testing.B) {
	benchmarkHeartbeats(b, func(_ *slopeFleet, _ *clusterstate.Machine, msg *protocol.WorkerHeartbeat) {
		if len(msg.Tasks) > 0 {
			msg.Tasks[0].State, msg.Tasks[0].Cause = protocol.Exited, protocol.CauseDone
		}
	}, false)
}

func BenchmarkSlopeHeartbeatStart(b *testing.B) {
	benchmarkHeartbeats(b, func(_ *slopeFleet, m *clusterstate.Machine, msg *protocol.WorkerHeartbeat) {
		if len(msg.Tasks) > 0 {
			first := msg.Tasks[0]
			m.Attempts[clusterstate.AttemptKey{Task: first.Task, Attempt: first.Attempt}].SetState(protocol.FetchingImage)
		}
	}, false)
}

func slopeSubmission(i int) []byte {
	return protocol.Encode(map[string]any{"uid": fmt.Sprintf("j-s%07d", i), "tier": "web", "owner": "team-0", "shape": "batch", "rank": "normal", "shards": 1,
		"cores": 4.0, "accelerators": 0.0, "ramGb": 4.0, "bundle": "img", "sizeGb": 1.0, "flavours": nil, "yard": nil,
		"together": false, "apart": false, "borrowed": false, "expectS": 30.0, "saveEveryS": 0.0, "saveTakesS": 0.0, "dueS": nil})
}

func BenchmarkSlopeSubmit(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.keepBusy()
		at := Clock{Steady: f.controller.env.now, Wall: f.controller.env.wall}
		n := 0
		b.ResetTimer()
		for b.Loop() {
			n++
			clear(f.controller.pending.pendingRequests)
			f.controller.Handle(at, Request{ID: uint64(n), Op: OpSubmit, Body: slopeSubmission(n)})
		}
	})
}

func BenchmarkSlopePoll(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.keepBusy()
		at := Clock{Steady: f.controller.env.now, Wall: f.controller.env.wall}
		b.ResetTimer()
		for b.Loop() {
			f.controller.Handle(at, Request{ID: 1, Op: OpPoll, UID: "j-00000001"})
		}
	})
}

// BenchmarkSlopeCancel measures a user's cancellation of a running job.
func BenchmarkSlopeCancel(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.keepBusy()
		at := Clock{Steady: f.controller.env.now, Wall: f.controller.env.wall}
		n := 0
		b.ResetTimer()
		for b.Loop() {
			f.controller.Handle(at, Request{ID: uint64(n + 1), Op: OpCancel, UID: fmt.Sprintf("j-%08d", n)})
			n++
			clear(f.controller.pending.pendingRequests)
		}
	})
}

// BenchmarkSlopeTransaction measures composing and encoding one transaction of starts, as many as
// the state service accepts in one.
func BenchmarkSlopeTransaction(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		l := f.leadership
		list := l.machines.sortedMachines()
		n, changes, bytes := 0, 0, 0
		b.ResetTimer()
		for b.Loop() {
			b.StopTimer()
			f.settleStarts()
			f.controller.outbox.stateChanges.Refill()
			for range f.controller.env.cfg.Cluster.State.TxnOps {
				l.machines.storeMachine(list[n%len(list)], statestore.Start, nil)
				n++
			}
			b.StartTimer()
			t := l.store.Compose()
			body := protocol.Encode(t.Body)
			changes += t.Writes()
			bytes += len(body)
		}
		b.ReportMetric(float64(changes)/float64(b.N), "changes")
		b.ReportMetric(float64(bytes)/float64(b.N), "body-bytes")
	})
}

// BenchmarkSlopeFailover measures reading the records of the whole fleet, as a new leader does,
// with ten completed jobs for each worker.
func BenchmarkSlopeFailover(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		var items []protocol.Item
		add := func(key string, value any) {
			items = append(items, protocol.Item{Key: key, Value: protocol.Encode(value), Version: 1})
		}
		for _, j := range f.leadership.state.SortedJobs() {
			add(clusterstate.JobPrefix+j.Spec.UID, j.Record())
		}
		for i := range 10 * workers {
			add(fmt.Sprintf("%sj-o%07d", clusterstate.JobPrefix, i), clusterstate.JobRecord{State: protocol.Done, Tasks: 12})
		}
		for _, m := range f.leadership.machines.sortedMachines() {
			add(clusterstate.MachinePrefix+m.ID, m.Record())
		}
		for i, rows := range f.counters() {
			add(counterKey(i), clusterstate.Counters{At: f.controller.env.wall - 30_000, Jobs: rows})
		}
		bytes := 0
		for _, it := range items {
			bytes += len(it.Key) + len(it.Value) + 16
		}
		b.ResetTimer()
		for b.Loop() {
			l := newLeadership(f.controller, &leaderRecord{Token: 2, LeaseID: 1}, 1, f.controller.env.now)
			for _, it := range items {
				l.store.Loaded(it.Key, it.Version)
				if err := l.loader.loadRecord(it); err != nil {
					b.Fatal(err)
				}
			}
			f.controller.leadership = l
			l.loader.onStateLoaded()
			f.controller.outbox.effects = f.controller.outbox.effects[:0]
		}
		b.ReportMetric(float64(len(items)), "records")
		b.ReportMetric(float64(bytes), "record-bytes")
	})
}

// BenchmarkSlopeFailoverOldRecords measures the begin of a leadership whose records have an older
// attempt of every third task, as machines' records are written lazily when a task leaves.
func BenchmarkSlopeFailoverOldRecords(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		list := f.leadership.machines.sortedMachines()
		for i, a := range slices.Clone(f.tasks) {
			if i%3 == 0 {
				old := f.leadership.state.AddAttempt(list[(i+7)%len(list)], a.Job, a.Index, 1, f.controller.env.now)
				old.Durable, old.Loaded, old.Sent = true, true, true
			}
		}
		b.ResetTimer()
		for b.Loop() {
			f.leadership.loader.onStateLoaded()
			f.controller.outbox.effects = f.controller.outbox.effects[:0]
		}
	})
}

// counters returns the stored counters of the fleet's arrays.
func (f *slopeFleet) counters() []map[string]clusterstate.CounterRow {
	limit := f.controller.env.cfg.ValueBytes() / (2 * clusterstate.EntryBytes)
	batches := []map[string]clusterstate.CounterRow{{}}
	for _, j := range f.leadership.state.SortedJobs() {
		if j.Spec.Service {
			continue
		}
		last := batches[len(batches)-1]
		if len(last) >= limit {
			last = map[string]clusterstate.CounterRow{}
			batches = append(batches, last)
		}
		last[j.Spec.UID] = clusterstate.CounterRow{Attained: 1, Slots: 1, Degr: 1}
	}
	return batches
}

// heapOf measures the memory that stays allocated after build, which returns what holds it.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkSlopeMemory reports the bytes that one of each kind costs the leader for as long as it
// is kept.
func BenchmarkSlopeMemory(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		for b.Loop() {
		}
		var f *slopeFleet
		perWorker := heapOf(func() any {
			f = newSlopeLeader(b, workers)
			for i := range workers {
				f.addMachine(i)
			}
			return f
		}) / float64(workers)
		list := f.leadership.machines.sortedMachines()
		var jobs []*clusterstate.Job
		perWaiting := heapOf(func() any {
			for i := range workers {
				jobs = append(jobs, f.addJob(fmt.Sprintf("j-%08d", i), 0, i%3 == 0, scheduler.Need{Cores: 1, Mem: 1}))
			}
			return f
		}) / float64(workers)
		perTask := heapOf(func() any {
			for i, job := range jobs {
				for index := range slopeTasksPerJob {
					f.run(job, index, list[(i+index)%workers])
				}
			}
			return f
		}) / float64(workers*slopeTasksPerJob)
		perOver := heapOf(func() any {
			for i := range 10 * workers {
				uid := fmt.Sprintf("j-o%07d", i)
				f.leadership.state.Terminal[uid] = clusterstate.TerminalState{Tasks: 12}
				f.leadership.store.Loaded(clusterstate.JobPrefix+uid, 1)
			}
			return f
		}) / float64(10*workers)
		b.ReportMetric(perWorker, "B/worker")
		b.ReportMetric(perWaiting, "B/job-alive")
		b.ReportMetric(perTask, "B/running-task")
		b.ReportMetric(perOver, "B/job-over")
	})
}
