package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/scheduler"
)

// autoscaler scales the fleet out and in: it launches machines for waiting and predicted tasks, and releases machines
// that are not needed or probably lost. It owns only the conditions that it logs, which a new leader evaluates from
// scratch. Its decisions are recorded in the cluster state and the machine pool.
type autoscaler struct {
	cache        *schedulerCache
	catalog      *machineCatalog
	env          *environment
	forecast     *demandForecast
	health       *machineHealth
	authority    *authority
	lease        *leaderLease
	machines     *machineRegistry
	outbox       *outbox
	partitions   *partitionDetector
	pool         *machinepool.Pool
	quarantine   *machineQuarantine
	reachability *reachability
	state        *clusterstate.State

	poolShortages map[scheduler.Pool]*loggedCondition
	lateBoots     loggedCondition
}

// Messages of the conditions that the autoscaler logs.
var (
	lateBootMessages     = conditionMessages{begin: "machine boots are late", end: "machine boots are on time again"}
	poolShortageMessages = conditionMessages{begin: "machine pool short of capacity", end: "machine pool has capacity again"}
)

// Boots are logged as late when at least two machines and at least a quarter of the booting machines have exceeded the
// usual boot time, and as on time again when no machine or less than an eighth of them has. The two thresholds keep the
// condition from flapping.
const (
	minLateBoots          = 2
	lateBootsBeginDivisor = 4
	lateBootsEndDivisor   = 8
)

// Limits on boot times, as multiples of the machine type's boot time as given by the cloud.
const (
	usualBootFactor   = 1.6 // the longest usual boot
	bootTimeoutFactor = 2.5 // the boot timeout
)

// watchBootTimes logs when machine boots become late and when they are on time again.
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

// onPoolShortage logs when a pool begins to lack capacity for the requested launches, and when the shortage ends.
func (a *autoscaler) onPoolShortage(pool scheduler.Pool, short bool) {
	condition := a.poolShortages[pool]
	if condition == nil {
		condition = &loggedCondition{}
		a.poolShortages[pool] = condition
	}
	condition.update(short, a.env.now, a.env.log, poolShortageMessages, "type", pool.Type, "zone", pool.Zone, "spot", pool.Spot)
}

// poolOf returns the pool that a machine was rented from.
func poolOf(m *clusterstate.Machine) scheduler.Pool {
	return scheduler.Pool{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}

// isShort reports whether the cloud did not fill the last launch request for a pool.
func (a *autoscaler) isShort(pool scheduler.Pool) bool {
	condition := a.poolShortages[pool]
	return condition != nil && condition.active
}

// A plan launches a limited number of machines, so that machines that finish booting before the next plan are used
// first. The limit is 64 or a thirty-second of the fleet, whichever is larger, so 32 plans can launch a fleet of any
// size.
const (
	minLaunches        = 64
	launchFleetDivisor = 32
)

func (a *autoscaler) maxLaunches() int {
	return max(minLaunches, a.env.cfg.FleetSize()/launchFleetDivisor)
}

// planScaling launches machines for waiting and expected tasks, and releases machines that none of these tasks need.
func (a *autoscaler) planScaling() {
	if len(a.catalog.types) == 0 || !a.pool.HasList() || !a.authority.mayDecide() {
		return
	}
	plan := a.cache.snapshotForPlan()
	plan.Jobs = a.forecast.appendHeadroom(plan.Jobs)
	inFlight := a.addLaunching(plan)
	blocked := func(pool scheduler.Pool) bool {
		// A machine that boots in a partitioned zone can't reach the leader but is charged for.
		return a.partitions.isPartitioned(pool.Zone) || a.pool.IsBackingOff(pool) || inFlight[pool] > 0
	}
	a.launch(plan.Plan(a.catalog.types, blocked, a.maxLaunches()))
	needed := map[string]bool{}
	for _, m := range plan.Machines {
		needed[m.ID] = m.InUse
	}
	for _, m := range plan.Probation {
		needed[m.ID] = m.InUse
	}
	a.cache.endPlan(plan)
	a.scaleIn(needed)
}

// launchingTaskCapacity is the task capacity that is assumed for a machine whose launch request is in flight: more
// tasks than fit into any machine.
const launchingTaskCapacity = 1 << 20

// addLaunching adds the machines of in-flight launch requests to a plan, and counts them by pool.
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
				Free: t.Size, TaskCapacity: launchingTaskCapacity, Booting: true})
		}
	}
	return inFlight
}

// launch requests machines from the cloud within the cloud's rate limit. The next plan requests the remaining machines.
func (a *autoscaler) launch(launches []scheduler.Launch) {
	for _, l := range launches {
		if !a.outbox.cloudRequests.Allows(a.env.now, 1) {
			return
		}
		a.pool.Launch(l.Pool, l.Count)
	}
}
