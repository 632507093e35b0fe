package scheduler

import (
	"iter"
	"math"
	"slices"
)

// Pool is a type, zone and kind of machine that can be rented.
type Pool struct {
	Type string
	Zone string
	Spot bool
}

// Launch is a number of machines wanted from a pool.
type Launch struct {
	Pool
	Count int
}

// scaleOutPlanner is a plan at work.
type scaleOutPlanner struct {
	snapshot       *Snapshot
	types          []*Type
	blocked        func(Pool) bool
	maxLaunches    int
	machinesByZone map[string]int
	launched       int // machines, of all pools
	countByPool    map[Pool]int
	pools          []Pool // in the order in which they were chosen
}

// Plan places what still waits on free, booting and, where these don't do, new machines. It
// returns what to rent, maxNew machines at most, and marks (Used) the machines that the waiting
// and expected work needs. Nothing is rented from blocked pools.
func (s *Snapshot) Plan(types []*Type, blocked func(Pool) bool, maxNew int) []Launch {
	s.useIndex()
	Order(s.Jobs)
	s.reserveAcceleratorCores = true
	p := &scaleOutPlanner{snapshot: s, types: types, blocked: blocked, maxLaunches: maxNew,
		machinesByZone: map[string]int{}, countByPool: map[Pool]int{}}
	for _, m := range s.Machines {
		p.machinesByZone[m.Zone]++
	}
	for i, j := range s.Jobs {
		p.plan(j, s.Jobs[i:])
	}
	var out []Launch
	for _, pool := range p.pools {
		out = append(out, Launch{pool, p.countByPool[pool]})
	}
	return out
}

// plan places the job's waiting tasks; later are the job and those that rank after it.
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

// placeGang places a gang whole. It returns false if machines have to be rented for it. A gang
// beyond its team's quota waits for the team's own work to end.
func (p *scaleOutPlanner) placeGang(j *Job, later []*Job) bool {
	quota := p.snapshot.Quotas[j.Team]
	if quota == nil || !quota.WithinMaximum(j.wholeNeed()) {
		return true
	}
	if p.snapshot.placeGang(j, func(*Quota, Resources) bool { return true }) != nil {
		return true
	}
	if j.OneZone && j.Zone == "" {
		// What is missing has to be rented in a zone where that can be done.
		if pool, typ := p.cheapestPool(j, later); typ != nil {
			j.Zone = pool.Zone
		}
	}
	return false
}

// recordRoom is how many tasks a machine to be rented may hold: its record is empty, so resources
// decide.
const recordRoom = 1 << 20

// launch adds a machine to be rented for the job, nil if there is none or no more may be rented.
func (p *scaleOutPlanner) launch(j *Job, later []*Job) *Machine {
	if p.launched >= p.maxLaunches {
		return nil
	}
	pool, typ := p.cheapestPool(j, later)
	if typ == nil {
		return nil
	}
	m := &Machine{Type: typ, Zone: pool.Zone, Spot: pool.Spot, Free: typ.Size, TaskCapacity: recordRoom, Booting: true}
	p.snapshot.AddMachine(m)
	p.machinesByZone[m.Zone]++
	if p.countByPool[pool] == 0 {
		p.pools = append(p.pools, pool)
	}
	p.countByPool[pool]++
	p.launched++
	return m
}

// zoneBalanceWeight raises the cost of a pool for each machine in its zone, so that equal prices go
// to the zone with fewer machines.
const zoneBalanceWeight = 0.001

// cheapestPool is where a machine for a task of the job costs least per task. Jobs that rank later
// count, as they may use the rest of the machine. The type is nil if no pool is open.
func (p *scaleOutPlanner) cheapestPool(j *Job, later []*Job) (Pool, *Type) {
	var cheapest Pool
	var cheapestType *Type
	lowest := math.Inf(1)
	for _, t := range p.types {
		if !j.mayUse(t) || j.AvoidsAccelerators && t.Size.Accel > 0 {
			continue
		}
		fit := perMachine(j.Request, t.Size)
		alike := -1 // to be counted if any pool of the type is open
		for pool := range p.openPools(j, t) {
			if alike < 0 {
				alike = tasksAlike(j, later, t)
			}
			price := t.Price
			if pool.Spot {
				price = t.SpotPrice
			}
			cost := price / math.Min(fit, math.Max(1, float64(alike)))
			cost *= 1 + zoneBalanceWeight*float64(p.machinesByZone[pool.Zone])
			if cost < lowest {
				cheapest, cheapestType, lowest = pool, t, cost
			}
		}
	}
	return cheapest, cheapestType
}

// openPools are the pools of a type that the job may use and that machines can be rented from.
func (p *scaleOutPlanner) openPools(j *Job, t *Type) iter.Seq[Pool] {
	return func(yield func(Pool) bool) {
		for _, zone := range t.Zones {
			if !j.ZoneOpen(zone) {
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

// mayUse says whether a task of the job fits the type and is allowed on it.
func (j *Job) mayUse(t *Type) bool {
	return j.Request.Fits(t.Size) && (j.Types == nil || j.Types[t.Name])
}

// CanAvoidAccelerators says whether the job is a batch without accelerators that may use a type without them.
// Then no machine with accelerators is rented for it, and it leaves the cores that free
// accelerators need.
func (j *Job) CanAvoidAccelerators(types []*Type) bool {
	return !j.Service && j.Request.Accel == 0 &&
		slices.ContainsFunc(types, func(t *Type) bool { return t.Size.Accel == 0 && j.mayUse(t) })
}

// tasksAlike counts the waiting tasks that could share a machine of the type with the job's.
func tasksAlike(j *Job, later []*Job, t *Type) int {
	alike := 0
	for _, other := range later {
		if (other.Request.Accel > 0) == (j.Request.Accel > 0) && other.mayUse(t) {
			alike += len(other.Waiting)
		}
	}
	return alike
}
