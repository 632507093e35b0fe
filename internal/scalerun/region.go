package scalerun

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/shirou/gopsutil/v4/mem"

	"claybarrow/internal/emulator"
)

// region runs one region: an emulated state service, cloud, workers and clients, against real
// controllers of its own.
type region struct {
	plan   *Plan
	number int

	loop         *eventLoop
	state        *emulator.StateService
	cloud        *emulator.Cloud
	fleet        *emulator.Fleet
	byAddress    map[string]*emulator.Worker
	carrier      *heartbeatCarrier
	clients      *clients
	controlPlane *controlPlane
	random       *rand.Rand // used by the event loop alone
	closing      bool       // the run is over, and clients send nothing new

	invariants     *invariants
	metrics        *metrics
	ownership      *ownership
	jobsOwnedTwice int
	leader         *leaderMonitor
	detection      *detection
	upgrade        *upgradeMonitor
	faults         *faultInjector
	stateBase      emulator.StateStats // when measuring began
	failures       chan error
}

// processLabel is the key of the region's own process among RegionResult.Processes.
const processLabel = "hollow workers, stand-ins and users"

// RunRegion runs a region until the plan's time is over, and returns what it measured. The result is
// there also when an invariant was violated (RuleViolation).
func RunRegion(ctx context.Context, plan *Plan, number int) (*RegionResult, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("scalerun-%d-", number))
	if err != nil {
		return nil, err
	}
	defer func() {
		if !plan.Run.KeepLogs {
			_ = os.RemoveAll(dir) // temporary files; the result stands without their removal
		}
	}()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := newRegion(plan, number, dir)
	go r.loop.run(ctx)
	if err := r.serveAll(ctx); err != nil {
		return nil, err
	}
	if err := r.controlPlane.prepare(); err != nil {
		return nil, err
	}
	defer r.controlPlane.stopAll()
	if err := r.warmUp(ctx); err != nil {
		return nil, err
	}
	return r.measure(ctx)
}

// warmUp starts the controllers, the fleet and the load, and lets the time before measuring pass.
func (r *region) warmUp(ctx context.Context) error {
	r.metrics.watchProcess(processLabel, os.Getpid())
	for _, c := range r.controlPlane.controllers {
		if err := r.controlPlane.start(c); err != nil {
			return err
		}
		go r.controlPlane.probe(ctx, c)
	}
	r.loop.call(r.startLoad)
	return r.wait(ctx, seconds(r.plan.Run.WarmupS))
}

// measure runs the measured part of the run.
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

// pendingViolation returns an invariant that was found violated at the very end of the run.
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
	r := &region{plan: plan, number: number, loop: loop, byAddress: map[string]*emulator.Worker{}, metrics: metrics,
		invariants: newInvariants(queue, number, plan), random: rand.New(rand.NewPCG(plan.Run.Seed, uint64(number))),
		ownership: newOwnership(), detection: newDetection(), upgrade: newUpgradeMonitor(), failures: make(chan error, 1)}
	r.controlPlane = &controlPlane{plan: plan, region: number, dir: dir, metrics: metrics, fail: r.fail}
	r.state = emulator.NewStateService(queue, emulator.StateLimits{ValueBytes: int(plan.State.ValueKB * 1024), Changes: plan.State.TxnOps,
		RequestRate: plan.State.RPS, ChangeRate: plan.State.WriteRPS})
	r.state.MaxChanges = plan.State.TxnOps
	r.state.Violation = r.failOnProtocolError
	r.clients = newClients(r)
	r.newCloud()
	r.newFleet()
	r.leader = &leaderMonitor{state: r.state, queue: queue, metrics: metrics}
	r.faults = &faultInjector{queue: queue, controlPlane: r.controlPlane, leader: r.leader, detection: r.detection, fleet: r.fleet, state: r.state, random: r.random}
	return r
}

// startLoad boots the workers, spread over the time of one report, and starts the clients' arrivals
// and the periodic checks.
func (r *region) startLoad() {
	const (
		stepInterval  = 100 * time.Millisecond
		checkInterval = time.Second
	)
	r.bootFleet()
	r.clients.startArrivals()
	r.loop.every(stepInterval, func() {
		r.fleet.StepGangs()
		r.upgrade.gateState(r.leader.poll(), r.controlPlane.controllers, r.loop.queue.Now())
	})
	r.loop.every(checkInterval, func() {
		r.metrics.endSecond()
		r.invariants.checkForgottenJobs()
	})
}

// beginMeasuring starts the measured part and schedules the plan's faults.
func (r *region) beginMeasuring(ctx context.Context) {
	r.metrics.begin(r.loop.queue.Now())
	r.ownership.reset()
	r.stateBase = r.state.Stats
	r.metrics.peakRunning = r.metrics.running
	for _, fault := range r.plan.Faults {
		r.loop.queue.After(seconds(fault.AtS), func() { r.faults.inject(ctx, fault) })
	}
}

// fail ends the run. Only the first error counts.
func (r *region) fail(err error) {
	select {
	case r.failures <- err:
	default:
	}
}

// errProtocol ends a run whose controllers sent something that the protocol does not allow.
var errProtocol = errors.New("a controller's message is wrong")

// failOnProtocolError ends the run because of a message that no controller may send.
func (r *region) failOnProtocolError(problem string) {
	r.fail(fmt.Errorf("%w: %s", errProtocol, problem))
}

// errMemoryPassed ends a run whose processes take more memory than limits.memory_share.
var errMemoryPassed = errors.New("the run takes more memory than it may")

// wait lets time pass. It ends early with the first failure or violation, when the context ends, or
// when the region's processes take more than their share of the machine's memory.
func (r *region) wait(ctx context.Context, d time.Duration) error {
	over := time.NewTimer(d)
	defer over.Stop()
	second := time.NewTicker(time.Second)
	defer second.Stop()
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
		case <-second.C:
			if total := r.metrics.sample(); total > maxBytes {
				return fmt.Errorf("%w: %d MB of %d in region %d", errMemoryPassed, total>>20, maxBytes>>20, r.number)
			}
		case <-over.C:
			return nil
		}
	}
}
