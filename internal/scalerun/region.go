package scalerun

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/shirou/gopsutil/v4/mem"

	"claybarrow/internal/emulator"
)

// region is one region of a run: its real controller processes and its emulated state service, cloud, workers and
// clients.
type region struct {
	plan   *Plan
	number int

	loop             *eventLoop
	state            *emulator.StateService
	cloud            *emulator.Cloud
	fleet            *emulator.Fleet
	workersByAddress map[string]*emulator.Worker
	heartbeatSender  *heartbeatSender
	clients          *clients
	controlPlane     *controlPlane
	links            *links         // nil unless run.links
	soak             *soakInjector  // nil unless this is a soak run
	soakUsers        *soakUsers     // nil unless this is a soak run
	listeners        sync.WaitGroup // of the emulated servers and the links
	random           *rand.Rand     // used by the event loop only
	closing          bool           // the run is ending; clients start no new requests

	invariants        *invariants
	metrics           *metrics
	ownership         *ownership
	jobsOwnedTwice    int
	leader            *leaderMonitor
	detection         *detection
	upgrade           *upgradeMonitor
	faults            *faultInjector
	stateStatsAtBegin emulator.StateStats // at the start of the measured phase
	failures          chan error
}

// processLabel is the key of the region's own process in RegionResult.Processes. The text is a key of result files, so
// it must not change.
const processLabel = "hollow workers, stand-ins and users"

// RunRegion runs a region for the plan's duration and returns the measurements. The result is not nil if the run
// failed in the measured phase, for example with a RuleViolation.
func RunRegion(ctx context.Context, plan *Plan, number int) (*RegionResult, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("scalerun-%d-", number))
	if err != nil {
		return nil, err
	}
	defer func() {
		if !plan.Run.KeepLogs {
			_ = os.RemoveAll(dir) // temporary files; a failed removal does not affect the result
		}
	}()
	return newRegion(plan, number, dir).run(ctx)
}

// run starts the region, runs it for the plan's duration and stops it.
func (r *region) run(ctx context.Context) (*RegionResult, error) {
	ctx, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		r.listeners.Wait() // their ports are free only then
	}()
	go r.loop.run(ctx)
	if err := r.startServers(ctx); err != nil {
		return nil, err
	}
	if r.plan.Run.Links {
		var err error
		if r.links, err = startLinks(ctx, r.plan, r.number, &r.listeners); err != nil {
			return nil, err
		}
	}
	if err := r.controlPlane.prepare(); err != nil {
		return nil, err
	}
	defer r.controlPlane.stopAll()
	if r.plan.Control.LoadBalancer {
		r.controlPlane.balancer = newLoadBalancer(r.loop.queue.Now, r.controlPlane.controllers)
	}
	if err := r.warmUp(ctx); err != nil {
		return nil, err
	}
	return r.measure(ctx)
}

// warmUp starts the controllers, the fleet and the load, and waits for run.warmup_s.
func (r *region) warmUp(ctx context.Context) error {
	r.metrics.watchProcess(processLabel, os.Getpid())
	for _, c := range r.controlPlane.controllers {
		if err := r.controlPlane.start(c); err != nil {
			return err
		}
		if r.plan.Control.HoldCores {
			go (&processorShare{controller: c, share: r.plan.Control.Cores}).hold(ctx)
		}
		if r.controlPlane.balancer != nil {
			go r.checkHealth(ctx, c)
		} else {
			go r.controlPlane.probe(ctx, c)
		}
	}
	r.loop.call(r.startLoad)
	return r.wait(ctx, seconds(r.plan.Run.WarmupS))
}

// checkHealth makes the load balancer's health checks of a controller.
func (r *region) checkHealth(ctx context.Context, c *controller) {
	client := newProbeClient()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		passed := isReady(client, c.clientAddress)
		r.loop.post(func() {
			healthy := r.controlPlane.balancer.checked(c, passed)
			c.mu.Lock()
			c.healthy = healthy
			c.mu.Unlock()
		})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// measure runs the measured phase and returns its result.
func (r *region) measure(ctx context.Context) (*RegionResult, error) {
	r.metrics.sample()
	r.loop.call(func() { r.beginMeasuring(ctx) })
	started := time.Now()
	err := r.wait(ctx, seconds(r.plan.Run.DurationS))
	var result *RegionResult
	r.metrics.sample()
	r.loop.call(func() {
		r.closing = true
		orphans := 0
		if err == nil {
			orphans = r.invariants.checkOrphanedJobs()
			if r.soak != nil {
				r.invariants.checkControllers(r.controlPlane.controllers, r.soakUsers.answeredAt)
			}
		}
		result = r.result(time.Since(started))
		result.Ownership.JobsOrphaned = orphans
	})
	if err == nil {
		err = r.pendingViolation()
	}
	if err == nil && result.Upgrade != nil {
		err = result.Upgrade.check(r.number)
	}
	return result, err
}

// pendingViolation returns a violation that was reported after wait had returned, or nil.
func (r *region) pendingViolation() error {
	select {
	case violation := <-r.invariants.violations:
		return violation
	default:
		return nil
	}
}

func newRegion(plan *Plan, number int, dir string) *region {
	loop, metrics := newEventLoop(), newMetrics()
	queue := loop.queue
	r := &region{plan: plan, number: number, loop: loop, workersByAddress: map[string]*emulator.Worker{}, metrics: metrics,
		invariants: newInvariants(queue, number, plan), random: rand.New(rand.NewPCG(plan.Run.Seed, uint64(number))),
		ownership: newOwnership(), detection: newDetection(), upgrade: newUpgradeMonitor(), failures: make(chan error, 1)}
	r.controlPlane = &controlPlane{plan: plan, region: number, dir: dir, metrics: metrics, fail: r.fail}
	r.state = emulator.NewStateService(queue, emulator.StateLimits{ValueBytes: int(plan.State.ValueKB * 1024), Changes: plan.State.TxnOps,
		RequestRate: plan.State.RPS, ChangeRate: plan.State.WriteRPS})
	r.state.MaxChanges = plan.State.TxnOps
	r.state.OnViolation = r.failOnProtocolError
	r.clients = newClients(r)
	r.newCloud()
	r.newFleet()
	r.leader = &leaderMonitor{state: r.state, queue: queue, metrics: metrics}
	r.faults = &faultInjector{queue: queue, controlPlane: r.controlPlane, leader: r.leader, detection: r.detection, fleet: r.fleet, state: r.state, random: r.random}
	return r
}

// startLoad boots the workers, spread over one heartbeat interval, and starts the clients' arrivals and the periodic
// checks.
func (r *region) startLoad() {
	const (
		stepInterval  = 100 * time.Millisecond
		checkInterval = time.Second
	)
	r.bootFleet()
	if r.soakUsers != nil {
		r.soakUsers.start()
	}
	r.clients.startArrivals()
	r.loop.every(stepInterval, func() {
		r.fleet.StepGangs()
		r.upgrade.recordGateState(r.leader.poll(), r.controlPlane.controllers, r.loop.queue.Now())
	})
	r.loop.every(checkInterval, func() {
		r.metrics.endSecond()
		r.invariants.checkForgottenJobs()
		r.invariants.checkAnswered()
		r.invariants.checkWaiting(r.fleet)
	})
}

// beginMeasuring starts the measured phase and schedules the plan's faults.
func (r *region) beginMeasuring(ctx context.Context) {
	r.metrics.begin(r.loop.queue.Now())
	r.ownership.reset()
	r.stateStatsAtBegin = r.state.Stats
	r.metrics.peakRunning = r.metrics.running
	for _, fault := range r.plan.Faults {
		r.loop.queue.After(seconds(fault.AtS), func() { r.faults.inject(ctx, fault) })
	}
	if r.soak != nil {
		r.soak.schedule(ctx)
		return
	}
	r.loop.queue.After(seconds(r.plan.faultsEndS()), func() { r.invariants.faultsEndedAt = r.loop.queue.Now() })
}

// fail ends the run with an error. Later errors are dropped.
func (r *region) fail(err error) {
	select {
	case r.failures <- err:
	default:
	}
}

// errProtocol ends a run in which a controller sent a message that the protocol does not allow.
var errProtocol = errors.New("controller violated the protocol")

// failOnProtocolError ends the run because a controller sent a message that the protocol does not allow.
func (r *region) failOnProtocolError(problem string) {
	r.fail(fmt.Errorf("%w: %s", errProtocol, problem))
}

// errMemoryExceeded ends a run whose processes use more memory than limits.memory_share allows.
var errMemoryExceeded = errors.New("the run uses more memory than limits.memory_share allows")

// wait waits for d. It returns early with an error on the first failure or violation, when the context ends, or when
// the region's processes use more than the region's share of limits.memory_share.
func (r *region) wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	memory, err := mem.VirtualMemory()
	if err != nil {
		return err
	}
	maxBytes := uint64(float64(memory.Total) * r.plan.Limits.MemoryShare / float64(r.plan.Fleet.Regions))
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case err := <-r.failures:
			return err
		case violation := <-r.invariants.violations:
			return violation
		case <-ticker.C:
			if total := r.metrics.sample(); total > maxBytes {
				return fmt.Errorf("%w: %d MB, allowed %d MB in region %d", errMemoryExceeded, total>>20, maxBytes>>20, r.number)
			}
		case <-timer.C:
			return nil
		}
	}
}
