package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/scheduler"
)

// autoscaler scales the fleet out and in: it launches machines for waiting and predicted tasks, and releases machines
// that are not needed or probably lost. It owns only the conditions that it logs, which a new leader begins to watch
// anew; what it decides is in the cluster state and the machine pool.
type autoscaler struct {
	cache      *schedulerCache
	catalog    *machineCatalog
	env        *environment
	forecast   *demandForecast
	health     *machineHealth
	lease      *leaderLease
	machines   *machineRegistry
	outbox     *outbox
	partitions *partitionDetector
	pool       *machinepool.Pool
	reach      *reachability
	state      *clusterstate.State

	shortPools map[scheduler.Pool]*loggedCondition
	lateBoots  loggedCondition
}

// Messages of the conditions that the autoscaler logs.
var (
	lateBootMessages     = conditionMessages{begin: "machine boots are late", end: "machine boots are on time again"}
	poolShortageMessages = conditionMessages{begin: "machine pool short of capacity", end: "machine pool has capacity again"}
)

// Boots are late once a quarter of the booting machines, and two at least, have taken longer than usual. They are on
// time again once none or less than an eighth has: the gap keeps the condition from flapping.
const (
	minLateBoots          = 2
	lateBootsBeginDivisor = 4
	lateBootsEndDivisor   = 8
)

// Boot times, as multiples of the boot time that the cloud names for the type.
const (
	usualBootFactor   = 1.6 // the longest usual boot
	bootTimeoutFactor = 2.5 // the longest boot that is waited for
)

// watchBootTimes logs when machines begin to boot late, and when that is over.
func (a *autoscaler) watchBootTimes() {
	booting, late := 0, 0
	for _, m := range a.state.Machines {
		t := a.catalog.machineType(m.Type)
		if m.EverReported || m.Releasing || t == nil {
			continue
		}
		booting++
		if a.env.now > m.LaunchedAt+seconds(t.BootS*usualBootFactor) {
			late++
		}
	}
	active := late >= minLateBoots && late*lateBootsBeginDivisor >= booting
	if a.lateBoots.active {
		active = late > 0 && late*lateBootsEndDivisor >= booting
	}
	a.lateBoots.update(active, a.env.now, a.env.log, lateBootMessages, "late", late, "booting", booting)
}

// onPoolShortage logs when a pool begins to have too few machines for what was launched, and when that is over.
func (a *autoscaler) onPoolShortage(p scheduler.Pool, short bool) {
	condition := a.shortPools[p]
	if condition == nil {
		condition = &loggedCondition{}
		a.shortPools[p] = condition
	}
	condition.update(short, a.env.now, a.env.log, poolShortageMessages, "type", p.Type, "zone", p.Zone, "spot", p.Spot)
}

// A plan launches a limited number of machines, so that those that come up meanwhile are used first: 64, or a
// thirty-second of the fleet. A fleet of any size is launched within 32 plans.
const (
	minLaunches        = 64
	launchFleetDivisor = 32
)

func (a *autoscaler) maxLaunches() int {
	return max(minLaunches, a.env.cfg.FleetSize()/launchFleetDivisor)
}

// planScaling launches machines for waiting and expected tasks, and releases those that neither needs.
func (a *autoscaler) planScaling() {
	if len(a.catalog.types) == 0 || !a.pool.HasList() || !a.lease.holdsLease() {
		return
	}
	plan := a.cache.snapshotForPlan()
	plan.Jobs = a.forecast.appendHeadroom(plan.Jobs)
	inFlight := a.addLaunching(plan)
	blocked := func(p scheduler.Pool) bool {
		// A machine that boots in a partitioned zone can't reach us, and costs all the same.
		return a.partitions.isPartitioned(p.Zone) || a.pool.IsBackingOff(p) || inFlight[p] > 0
	}
	a.launch(plan.Plan(a.catalog.types, blocked, a.maxLaunches()))
	needed := map[string]bool{}
	for _, m := range plan.Machines {
		needed[m.ID] = m.Used
	}
	a.cache.endPlan(plan)
	a.scaleIn(needed)
}

// launchingMachineRoom is how many tasks the record of a machine that is still being launched is taken to hold: more
// than fit into any machine.
const launchingMachineRoom = 1 << 20

// addLaunching adds the machines of launch requests under way to a plan, and counts them by pool.
func (a *autoscaler) addLaunching(plan *scheduler.Snapshot) map[scheduler.Pool]int {
	inFlight := map[scheduler.Pool]int{}
	for _, request := range a.pool.LaunchesInFlight() {
		inFlight[request.Pool] += request.Count
		t := a.catalog.machineType(request.Type)
		if t == nil {
			continue
		}
		for range request.Count {
			plan.AddMachine(&scheduler.Machine{Type: t, Zone: request.Zone, Spot: request.Spot,
				Free: t.Size, TaskCapacity: launchingMachineRoom, Booting: true})
		}
	}
	return inFlight
}

// launch asks the cloud for machines, as far as its rate limit allows now. The next plan asks for the rest.
func (a *autoscaler) launch(launches []scheduler.Launch) {
	for _, l := range launches {
		if !a.outbox.cloudRequests.Allows(a.env.now, 1) {
			return
		}
		a.pool.Launch(l.Pool, l.Count)
	}
}
