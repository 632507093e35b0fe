package scalerun

import (
	"context"
	"math/rand/v2"
	"time"

	"claybarrow/internal/emulator"
)

// faultInjector injects the plan's faults. It must be used on the event loop only.
type faultInjector struct {
	queue        *emulator.EventQueue
	controlPlane *controlPlane
	leader       *leaderMonitor
	detection    *detection
	fleet        *emulator.Fleet
	state        *emulator.StateService
	random       *rand.Rand
}

// inject starts one fault. A fault that extends over time schedules its later steps on the event queue.
func (i *faultInjector) inject(ctx context.Context, fault FaultPlan) {
	switch fault.Kind {
	case FaultKillLeader:
		i.killLeader(ctx, fault)
	case FaultKillOther:
		i.killFollower(ctx, fault)
	case FaultFreezeLeader:
		i.freezeLeader(fault)
	case FaultFreezeOther:
		if c := i.follower(); c != nil {
			i.freeze(c, c.label, fault)
		}
	case FaultRack:
		for _, worker := range i.randomWorkers(fault.Share) {
			worker.Terminate()
		}
	case FaultMachineChurn:
		i.churnMachines(fault)
	case FaultRollRestart:
		i.forEachController(fault, func(c *controller) { i.controlPlane.kill(ctx, c) })
	case FaultUpgrade, FaultRollback:
		i.forEachController(fault, func(c *controller) { i.controlPlane.changeProgram(ctx, c, fault.Kind == FaultUpgrade) })
	case FaultHold:
		if c := i.follower(); c != nil {
			i.controlPlane.holdGate(ctx, c)
		}
	case FaultStateOutage:
		i.state.InjectOutage(seconds(fault.ForS))
	}
}

func (i *faultInjector) killLeader(ctx context.Context, fault FaultPlan) {
	leader, hasLeader := i.leader.current()
	if !hasLeader {
		return
	}
	i.leader.markLost()
	i.detection.faultInjected(leader.Label, fault.Kind, 0, i.leader.token)
	if c := i.controlPlane.find(leader.Label); c != nil {
		i.controlPlane.kill(ctx, c)
	}
}

func (i *faultInjector) killFollower(ctx context.Context, fault FaultPlan) {
	if c := i.follower(); c != nil {
		i.detection.faultInjected(c.label, fault.Kind, 0, i.leader.token)
		i.controlPlane.kill(ctx, c)
	}
}

func (i *faultInjector) freezeLeader(fault FaultPlan) {
	if leader, hasLeader := i.leader.current(); hasLeader {
		i.freeze(i.controlPlane.find(leader.Label), leader.Label, fault)
	}
}

// freeze suspends a controller for fault.ForS. The fault is recorded under the label even if c is nil because no
// controller of the region has that label.
func (i *faultInjector) freeze(c *controller, label string, fault FaultPlan) {
	i.detection.faultInjected(label, fault.Kind, seconds(fault.ForS), i.leader.token)
	if c != nil {
		c.freeze(seconds(fault.ForS))
	}
}

// follower returns a running controller that is not the leader, or nil.
func (i *faultInjector) follower() *controller {
	leader, _ := i.leader.current()
	return i.controlPlane.runningExcept(leader.Label)
}

// forEachController applies act to the controllers one after another, fault.ForS seconds apart.
func (i *faultInjector) forEachController(fault FaultPlan, act func(c *controller)) {
	for n, c := range i.controlPlane.controllers {
		i.queue.After(seconds(fault.ForS)*time.Duration(n), func() { act(c) })
	}
}

// churnMachines ends a share of the workers, evenly spread over fault.ForS seconds.
func (i *faultInjector) churnMachines(fault FaultPlan) {
	victims := i.randomWorkers(fault.Share)
	for n, worker := range victims {
		i.queue.After(seconds(fault.ForS*float64(n)/float64(len(victims))), worker.Terminate)
	}
}

// randomWorkers returns a random selection of the given share of the running workers.
func (i *faultInjector) randomWorkers(share float64) []*emulator.Worker {
	var running []*emulator.Worker
	for _, worker := range i.fleet.SortedWorkers() {
		if worker.Up && !worker.Deleted {
			running = append(running, worker)
		}
	}
	i.random.Shuffle(len(running), func(a, b int) { running[a], running[b] = running[b], running[a] })
	return running[:int(share*float64(len(running)))]
}
