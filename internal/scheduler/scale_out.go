package scheduler

import (
	"iter"
	"math"
	"slices"
)

// Pool identifies a set of rentable machines: their type, their zone, and whether they are spot machines.
type Pool struct {
	Type string
	Zone string
	Spot bool
}

// Launch is a number of machines to rent from a pool.
type Launch struct {
	Pool
	Count int
}

// scaleOutPlanner holds the state of a running plan.
type scaleOutPlanner struct {
	snapshot       *Snapshot
	types          []*MachineType
	blocked        func(Pool) bool
	maxLaunches    int
	machinesByZone map[string]int
	launched       int // machines of all pools
	countByPool    map[Pool]int
	pools          []Pool // in the order in which their first machines were planned
}

// Plan places the waiting tasks on free and booting machines, and on new machines where those lack room. It returns the
// machines to rent, at most maxLaunches and none from blocked pools. It sets InUse on all machines that waiting or
// expected tasks need.
func (s *Snapshot) Plan(types []*MachineType, blocked func(Pool) bool, maxLaunches int) []Launch {
	s.useIndex()
	SortByRank(s.Jobs)
	s.reserveAcceleratorCores = true
	p := &scaleOutPlanner{snapshot: s, types: types, blocked: blocked, maxLaunches: maxLaunches,
		machinesByZone: map[string]int{}, countByPool: map[Pool]int{}}
	for _, m := range s.Machines {
		p.machinesByZone[m.Zone]++
	}
	for i, j := range s.Jobs {
		p.plan(j, s.Jobs[i:])
	}
	var launches []Launch
	for _, pool := range p.pools {
		launches = append(launches, Launch{pool, p.countByPool[pool]})
	}
	return launches
}

// plan places the job's waiting tasks. later holds the job and all jobs that rank after it.
func (p *scaleOutPlanner) plan(j *Job, later []*Job) {
	if len(j.Waiting) == 0 || j.Gang && p.placeGang(j, later) {
		return
	}
	s := p.snapshot
	selector := s.selectorFor(j)
	for len(j.Waiting) > 0 {
		if quota := s.Quotas[j.Team]; quota != nil && !quota.Admits(j) && !j.IsHeadroom {
			return
		}
		m := selector.best()
		if m == nil {
			if m = p.launch(j, later); m == nil {
				return
			}
			selector.added(m, len(s.Machines))
		}
		s.assign(j, m)
		selector.assigned(m)
	}
}

// placeGang places all tasks of a gang on the machines of the snapshot, which include those that this plan already
// rents. It returns false if more machines must be rented for the gang. It returns true without placing a gang that
// exceeds its team's quota: the gang waits until other tasks of the team end.
func (p *scaleOutPlanner) placeGang(j *Job, later []*Job) bool {
	quota := p.snapshot.Quotas[j.Team]
	if quota == nil || !quota.WithinMaximum(j.totalRequest()) {
		return true
	}
	if p.snapshot.placeGang(j, func(*Quota, Resources) bool { return true }) != nil {
		return true
	}
	if j.OneZone && j.Zone == "" {
		// All machines must be in one zone, so choose a zone where machines can be rented.
		if pool, typ := p.cheapestPool(j, later); typ != nil {
			j.Zone = pool.Zone
		}
	}
	return false
}

// emptyRecordCapacity is the task capacity assumed for a machine to be rented. Its stored record is still empty, so
// only its resources limit the number of tasks.
const emptyRecordCapacity = 1 << 20

// launch adds a machine to be rented for the job and returns it. It returns nil if no pool is open to the job or
// maxLaunches is reached.
func (p *scaleOutPlanner) launch(j *Job, later []*Job) *Machine {
	if p.launched >= p.maxLaunches {
		return nil
	}
	pool, typ := p.cheapestPool(j, later)
	if typ == nil {
		return nil
	}
	m := &Machine{Type: typ, Zone: pool.Zone, Spot: pool.Spot, Free: typ.Size, TaskCapacity: emptyRecordCapacity, Booting: true}
	p.snapshot.AddMachine(m)
	p.machinesByZone[m.Zone]++
	if p.countByPool[pool] == 0 {
		p.pools = append(p.pools, pool)
	}
	p.countByPool[pool]++
	p.launched++
	return m
}

// zoneBalanceWeight raises the cost of a pool for each machine in its zone, so that among equal prices the zone with
// fewer machines is chosen.
const zoneBalanceWeight = 0.001

// cheapestPool returns the pool with the lowest price per task for the job. The price of a machine is divided among all
// waiting tasks that could share it, including those of jobs that rank later. The type is nil if no pool is open.
func (p *scaleOutPlanner) cheapestPool(j *Job, later []*Job) (Pool, *MachineType) {
	var cheapest Pool
	var cheapestType *MachineType
	lowest := math.Inf(1)
	for _, t := range p.types {
		if !j.mayUse(t) || j.AvoidsAccelerators && t.Size.Accelerators > 0 {
			continue
		}
		capacity := tasksPerMachine(j.Request, t.Size)
		compatible := -1 // not counted yet; it is counted only if a pool of the type is open
		for pool := range p.openPools(j, t) {
			if compatible < 0 {
				compatible = countCompatibleTasks(j, later, t)
			}
			price := t.Price
			if pool.Spot {
				price = t.SpotPrice
			}
			cost := price / math.Min(capacity, math.Max(1, float64(compatible)))
			cost *= 1 + zoneBalanceWeight*float64(p.machinesByZone[pool.Zone])
			if cost < lowest {
				cheapest, cheapestType, lowest = pool, t, cost
			}
		}
	}
	return cheapest, cheapestType
}

// openPools yields the pools of a type that the job may use and that are not blocked.
func (p *scaleOutPlanner) openPools(j *Job, t *MachineType) iter.Seq[Pool] {
	return func(yield func(Pool) bool) {
		for _, zone := range t.Zones {
			if !j.AllowsZone(zone) {
				continue
			}
			for _, spot := range []bool{false, true} {
				pool := Pool{t.Name, zone, spot}
				if j.AllowedOn(t.Name, zone, spot) && !p.blocked(pool) && !yield(pool) {
					return
				}
			}
		}
	}
}

// mayUse reports whether a task of the job fits a machine of the type and is allowed on the type.
func (j *Job) mayUse(t *MachineType) bool {
	return j.Request.Fits(t.Size) && (j.Types == nil || j.Types[t.Name])
}

// CanAvoidAccelerators reports whether the job is a batch that requests no accelerators and may use a type without
// accelerators. No machine with accelerators is rented for such a job, and it leaves free the cores that free
// accelerators need.
func (j *Job) CanAvoidAccelerators(types []*MachineType) bool {
	return !j.Service && j.Request.Accelerators == 0 &&
		slices.ContainsFunc(types, func(t *MachineType) bool { return t.Size.Accelerators == 0 && j.mayUse(t) })
}

// countCompatibleTasks counts the waiting tasks that could share a machine of the type with tasks of the job.
func countCompatibleTasks(j *Job, later []*Job, t *MachineType) int {
	compatible := 0
	for _, other := range later {
		if (other.Request.Accelerators > 0) == (j.Request.Accelerators > 0) && other.mayUse(t) {
			compatible += len(other.Waiting)
		}
	}
	return compatible
}
