package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/scheduler"
)

// autoscaler scales the fleet out and in: it launches machines for waiting and predicted work, and releases
// those that are no longer needed.
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

// Boots are called late when a quarter of the machines that boot, two at least, have taken
// longer than usual, and late no more when none or less than an eighth has.
const (
	minLateBoots          = 2
	lateBootsBeginDivisor = 4
	lateBootsEndDivisor   = 8
	usualBootFactor       = 1.6 // the longest usual boot, by the type's own time
	bootTimeoutFactor     = 2.5 // of one that is still waited for
)

// watchBootTimes says when machines come up late, and when that is over.
func (a *autoscaler) watchBootTimes() {
	booting, late := 0, 0
	for _, m := range a.state.Machines {
		t := a.catalog.machineType(m.Type)
		if m.Up || m.Releasing || t == nil {
			continue
		}
		booting++
		if a.env.now > m.LaunchedAt+seconds(t.BootS*usualBootFactor) {
			late++
		}
	}
	holds := late >= minLateBoots && late*lateBootsBeginDivisor >= booting
	if a.lateBoots.active {
		holds = late > 0 && late*lateBootsEndDivisor >= booting
	}
	a.lateBoots.update(holds, a.env.now, a.env.log, "machine boots are late", "machine boots are on time again", "late", late, "booting", booting)
}

// onPoolShortage says that a pool has too few machines for what was asked, once until it is over.
func (a *autoscaler) onPoolShortage(p scheduler.Pool, short bool) {
	k := a.shortPools[p]
	if k == nil {
		k = &loggedCondition{}
		a.shortPools[p] = k
	}
	k.update(short, a.env.now, a.env.log, "machine pool short of capacity", "machine pool has capacity again", "type", p.Type, "zone", p.Zone, "spot", p.Spot)
}

// One plan rents a few machines at a time, so that what comes up meanwhile is used first: 64, or
// a thirty-second of the fleet. A fleet of any size is rented within 32 plans.
const (
	minLaunches        = 64
	launchFleetDivisor = 32
)

func (a *autoscaler) maxLaunches() int {
	return max(minLaunches, a.env.cfg.FleetSize()/launchFleetDivisor)
}

// planScaling rents what waiting and expected work needs, and returns what it doesn't.
func (a *autoscaler) planScaling() {
	if len(a.catalog.types) == 0 || !a.pool.HasList() || !a.lease.holdsLease() {
		return
	}
	s := a.cache.snapshotForPlan()
	s.Jobs = append(s.Jobs, a.forecast.forecastDemand()...)
	s.Jobs = append(s.Jobs, a.forecast.forecastReplacements()...)
	inFlight := map[scheduler.Pool]int{}
	for _, q := range a.pool.Launching() {
		inFlight[q.Pool] += q.Count
		if t := a.catalog.machineType(q.Type); t != nil {
			for range q.Count {
				s.AddMachine(&scheduler.Machine{Type: t, Zone: q.Zone, Spot: q.Spot, Free: t.Size, Room: 1 << 20, Booting: true})
			}
		}
	}
	// What boots in a zone that is cut off can't be heard, and costs all the same.
	blocked := func(p scheduler.Pool) bool {
		return a.partitions.isPartitioned(p.Zone) || a.pool.IsShort(p) || inFlight[p] > 0
	}
	for _, want := range s.Plan(a.catalog.types, blocked, a.maxLaunches()) {
		if !a.outbox.cloudRequests.Has(a.env.now, 1) {
			break
		}
		a.pool.Launch(want.Pool, want.Count)
	}
	needed := map[string]bool{}
	for _, m := range s.Machines {
		needed[m.ID] = m.Used
	}
	a.cache.endPlan(s)
	a.scaleIn(needed)
}
