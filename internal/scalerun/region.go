package scalerun

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shirou/gopsutil/v4/mem"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// region plays one region: its state service, its cloud, its workers and its users, against
// controllers of its own.
type region struct {
	plan   *Plan
	number int
	dir    string // for settings and logs

	loop           *eventLoop
	state          *emulator.StateService
	cloud          *emulator.Cloud
	fleet          *emulator.Fleet
	byAddress      map[string]*emulator.Worker
	carrier        *heartbeatCarrier
	invariants     *invariants
	users          *users
	metrics        *metrics
	controllers    []*controller
	nextController int
	random         *rand.Rand
	// closing: the run is over, and nobody asks for anything new.
	closing        bool
	jobsOwnedTwice int

	ownership   *ownership
	detection   *detection
	upgrade     upgradeWatch
	leaderToken uint64
	leaderLost  time.Duration // since when there is no leader; 0: there is one
	stateBase   emulator.StateStats
	failures    chan error
}

// RunRegion plays a region until its time is over, and says what it measured. The result is
// there also if a rule was broken.
func RunRegion(ctx context.Context, plan *Plan, number int) (*RegionResult, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("scalerun-%d-", number))
	if err != nil {
		return nil, err
	}
	defer func() {
		if !plan.Run.KeepLogs {
			os.RemoveAll(dir)
		}
	}()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := newRegion(plan, number, dir)
	go r.loop.run(ctx)
	if err := r.serveAll(ctx); err != nil {
		return nil, err
	}
	if err := r.prepareControllers(); err != nil {
		return nil, err
	}
	defer r.stopControllers()
	r.metrics.watchProcess("hollow workers, stand-ins and users", os.Getpid())
	for _, c := range r.controllers {
		if err := r.startController(c); err != nil {
			return nil, err
		}
		go r.probe(ctx, c)
	}
	r.loop.call(func() { r.startLoad() })
	if err := r.wait(ctx, seconds(plan.Run.WarmupS), nil); err != nil {
		return nil, err
	}
	r.metrics.sample()
	r.loop.call(func() { r.beginMeasuring(ctx) })
	started := time.Now()
	err = r.wait(ctx, seconds(plan.Run.DurationS), r.invariants.violations)
	var result *RegionResult
	r.metrics.sample()
	r.loop.call(func() {
		r.closing = true
		orphans := 0
		if err == nil {
			orphans = r.checkOrphanedJobs()
		}
		result = r.result(time.Since(started))
		result.Ownership.JobsOrphaned = orphans
	})
	if err == nil {
		err = r.pendingViolation()
	}
	if err == nil && result.Upgrade != nil {
		err = result.Upgrade.check(number)
	}
	return result, err
}

// pendingViolation is a rule that was found broken at the very end.
func (r *region) pendingViolation() error {
	select {
	case b := <-r.invariants.violations:
		return b
	default:
		return nil
	}
}

func newRegion(plan *Plan, number int, dir string) *region {
	l := newLoop()
	agenda := l.queue
	r := &region{plan: plan, number: number, dir: dir, loop: l, byAddress: map[string]*emulator.Worker{}, metrics: newMetrics(),
		invariants: newInvariants(agenda, number, plan), random: rand.New(rand.NewPCG(plan.Run.Seed, uint64(number))), failures: make(chan error, 1)}
	r.state = emulator.NewStateService(agenda, emulator.StateLimits{ValueBytes: int(plan.State.ValueKB * 1024), Changes: plan.State.TxnOps,
		RequestRate: plan.State.RPS, ChangeRate: plan.State.WriteRPS})
	r.state.MostChanges = plan.State.TxnOps
	wrong := func(what string) { r.fail(fmt.Errorf("a controller's message is wrong: %s", what)) }
	r.state.Wrong = wrong
	r.users = newUsers(r)
	r.ownership, r.detection = newOwnership(), newDetection()
	r.newCloud(wrong)
	r.newFleet(wrong)
	return r
}

func (r *region) newCloud(wrong func(string)) {
	p := r.plan
	cloud := emulator.NewCloud(r.loop.queue)
	cloud.Wrong, cloud.Rate, cloud.Lag = wrong, p.Cloud.RPS, seconds(p.Cloud.ListLagS)
	cloud.Left = map[emulator.Pool]int{} // what the fleet has lost can be rented again, no more
	cloud.Name = func(n int) string { return fmt.Sprintf("i-%d%06d", r.number, n) }
	cloud.Addr = func(id string) string {
		n, _ := strconv.Atoi(id[3:]) // of our own making
		return p.workerAddress(r.number, n)
	}
	for _, t := range p.Fleet.Types {
		cloud.Types = append(cloud.Types, protocol.MachineType{Name: t.Name, Cores: t.Cores, Accelerators: t.Accelerators, MemoryGB: t.MemoryGB,
			CacheGB: t.CacheGB, FetchGBPerS: t.FetchGBPerS, Price: t.Price, SpotPrice: t.Price / 2, BootS: t.BootS, Zones: p.Fleet.Zones})
	}
	cloud.BootTime = func(typ string) time.Duration { return seconds(r.typeOf(typ).BootS) }
	cloud.Launch = func(m *emulator.Machine) {
		worker := r.addWorker(m)
		r.loop.queue.After(cloud.BootTime(m.Type), worker.Boot)
	}
	cloud.Remove = func(m *emulator.Machine) {
		if worker := r.fleet.Workers[m.ID]; worker != nil {
			worker.Die()
		}
	}
	r.cloud = cloud
}

func (r *region) typeOf(name string) protocol.MachineType {
	i := slices.IndexFunc(r.cloud.Types, func(t protocol.MachineType) bool { return t.Name == name })
	return r.cloud.Types[i]
}

func (r *region) newFleet(wrong func(string)) {
	w := r.plan.Workers
	f := emulator.NewFleet(r.loop.queue, emulator.Timing{Report: seconds(w.ReportS), Jitter: 0.25, LeastPause: 500 * time.Millisecond,
		NextController: time.Second, SentAway: 250 * time.Millisecond, Lease: seconds(w.LeaseS),
		GangWait: seconds(w.GangWaitS), GangPeer: seconds(w.GangPeerS), Look: 100 * time.Millisecond})
	f.Random, f.RefuseUnfit, f.FetchTime = r.random.Float64, true, emulator.FetchImage
	var addresses []string
	for i := range r.plan.Control.Controllers {
		addresses = append(addresses, r.clientAddress(i))
	}
	r.carrier = newHeartbeatCarrier(r.loop, addresses, r.metrics)
	r.carrier.onAnswer = func(machine string, controller int) {
		r.ownership.workerAnswered(machine, controller, r.loop.queue.Now())
	}
	f.Carrier, f.Controllers = r.carrier.send, len(addresses)
	f.Label = func(name string) int {
		for i := range addresses {
			if controllerLabel(i) == name {
				return i
			}
		}
		return -1
	}
	f.Jobs = func(uid string) *emulator.Job {
		if j := r.invariants.jobs[uid]; j != nil {
			return &j.Job
		}
		return nil
	}
	f.RunTime = func(task string) time.Duration {
		uid, _, _ := strings.Cut(task, "/")
		if j := r.invariants.jobs[uid]; j != nil {
			return time.Duration(j.load.RunS * (0.8 + 0.4*r.random.Float64()) * float64(time.Second))
		}
		return 0
	}
	f.Begins, f.Leaves = r.onTaskStarted, r.onTaskStopped
	f.Done = func(task string, t *emulator.Task) {
		if j := r.invariants.jobs[t.UID]; j != nil {
			j.completed[task] = true
			r.metrics.exits++
		}
	}
	f.Died = func(worker *emulator.Worker) {
		r.cloud.Fail(worker.ID)
		r.carrier.closeConnection(worker.ID)
		delete(r.byAddress, worker.Addr)
		delete(r.fleet.Workers, worker.ID)
	}
	f.Wrong = wrong
	r.fleet = f
}

func (r *region) addWorker(m *emulator.Machine) *emulator.Worker {
	worker := r.fleet.Add(m.ID, m.Addr, m.Type, m.Zone, m.Spot)
	worker.Size = r.typeOf(m.Type)
	worker.Controller = r.random.IntN(r.plan.Control.Controllers)
	r.byAddress[m.Addr] = worker
	return worker
}

func (r *region) onTaskStarted(worker *emulator.Worker, task string, t *emulator.Task) {
	r.invariants.taskStarted(worker, task, t)
	r.noteBegin(task, t)
	r.metrics.running++
	r.detection.taskStarted(t.Try >> attemptBlockBits)
	if r.ownership.taskStarted(t.UID, t.Try, r.loop.queue.Now()) {
		r.jobsOwnedTwice++
		r.invariants.violate(r.invariants.jobs[t.UID], "owned_twice", "%s is started by attempt %d though a later leader had started some", task, t.Try)
	}
	j := r.invariants.jobs[t.UID]
	if j != nil && !j.started[task] {
		j.started[task] = true
		r.metrics.started(j.class, r.loop.queue.Now()-j.submittedAt)
	}
}

func (r *region) onTaskStopped(worker *emulator.Worker, task string, t *emulator.Task) {
	r.invariants.taskStopped(worker, task, t)
	r.noteLeave(task, t)
	r.metrics.running--
}

// startLoad brings the fleet up, over the time of a report, and has users arrive.
func (r *region) startLoad() {
	agenda := r.loop.queue
	n := r.plan.regionWorkers(r.number)
	for i, typ := range r.plan.typesOf(n) {
		m := r.cloud.Create(emulator.Pool{Type: typ, Zone: r.plan.Fleet.Zones[i%len(r.plan.Fleet.Zones)]})
		m.Up = true
		r.cloud.Left[m.Pool]++ // it was there before
		worker := r.addWorker(m)
		agenda.After(seconds(r.plan.Workers.ReportS*r.random.Float64()), worker.Boot)
	}
	r.users.startArrivals()
	r.every(100*time.Millisecond, func() {
		r.fleet.StepGangs()
		r.watchLeader()
	})
	r.every(time.Second, func() {
		r.metrics.second()
		r.invariants.checkForgottenJobs()
	})
}

// typesOf lists the types of n machines, by their shares and mixed.
func (p *Plan) typesOf(n int) []string {
	var out []string
	given := make([]float64, len(p.Fleet.Types))
	for range n {
		next := 0
		for i, t := range p.Fleet.Types {
			if given[i]/t.Share < given[next]/p.Fleet.Types[next].Share {
				next = i
			}
		}
		given[next]++
		out = append(out, p.Fleet.Types[next].Name)
	}
	return out
}

func (r *region) every(d time.Duration, do func()) {
	r.loop.queue.After(d, func() {
		do()
		r.every(d, do)
	})
}

// leaderKey and leaderValue are what the program keeps of its leader.
const leaderKey = "c/leader"

type leaderValue struct {
	Label string `msgpack:"l"`
	Token uint64 `msgpack:"n"`
	// Form is not 0 while the feature gate is not closed: then the key is permanent, and the key of
	// the lease tells whether its holder leads.
	Form uint64 `msgpack:"f"`
}

// leaseKey hangs on the leader's lease while the feature gate is not closed.
const leaseKey = "c/lease"

// leader is who holds the leader key, or nobody.
func (r *region) leader() (leaderValue, bool) {
	var v leaderValue
	it := r.state.Item(leaderKey)
	if it == nil || protocol.Decode(it.Value, &v) != nil {
		return v, false
	}
	return v, v.Form == 0 || r.state.Item(leaseKey) != nil
}

// watchLeader counts changes of the leader and how long there was none.
func (r *region) watchLeader() {
	now := r.loop.queue.Now()
	v, some := r.leader()
	r.watchGate(v)
	if !some {
		r.loseLeader()
		return
	}
	if v.Token == r.leaderToken {
		return // also one that has been killed, until its lease is over
	}
	if r.leaderToken > 0 && r.metrics.measuring {
		r.metrics.leaderChanges++
		if r.leaderLost > 0 {
			r.metrics.leaderGaps.add(now - r.leaderLost)
		}
	}
	r.leaderLost, r.leaderToken = 0, v.Token
}

// loseLeader notes since when there is no leader.
func (r *region) loseLeader() {
	if r.leaderLost == 0 && r.leaderToken > 0 {
		r.leaderLost = r.loop.queue.Now()
	}
}

func (r *region) beginMeasuring(ctx context.Context) {
	r.metrics.begin(r.loop.queue.Now())
	r.ownership.reset()
	r.stateBase = r.state.Stats
	r.metrics.peakRunning = r.metrics.running
	for _, f := range r.plan.Faults {
		r.loop.queue.After(seconds(f.AtS), func() { r.inject(ctx, f) })
	}
}

// fail ends the run.
func (r *region) fail(err error) {
	select {
	case r.failures <- err:
	default:
	}
}

// errMemoryPassed ends a run that takes more than its plan may.
var errMemoryPassed = errors.New("the run takes more memory than it may")

// wait lets time pass, and ends early if something is wrong.
func (r *region) wait(ctx context.Context, d time.Duration, broken <-chan *RuleViolation) error {
	if broken == nil {
		broken = r.invariants.violations
	}
	over := time.NewTimer(d)
	defer over.Stop()
	second := time.NewTicker(time.Second)
	defer second.Stop()
	memory, err := mem.VirtualMemory()
	if err != nil {
		return err
	}
	most := uint64(float64(memory.Total) * r.plan.Limits.MemoryShare / float64(r.plan.Fleet.Regions))
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case err := <-r.failures:
			return err
		case b := <-broken:
			return b
		case <-second.C:
			if total := r.metrics.sample(); total > most {
				return fmt.Errorf("%w: %d MB of %d in region %d", errMemoryPassed, total>>20, most>>20, r.number)
			}
		case <-over.C:
			return nil
		}
	}
}
