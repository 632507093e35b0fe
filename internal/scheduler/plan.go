package scheduler

import (
	"math"
	"slices"
)

// Pool is a type, zone and kind that can be rented.
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

// Plan places what still waits on free, booting and, where these don't do, new
// machines. It returns what to rent and marks (Used) the machines that the
// waiting and expected work needs. blocked pools are short.
func (s *Snapshot) Plan(types []*Type, blocked func(Pool) bool, maxNew int) []Launch {
	s.useIndex()
	Order(s.Jobs)
	s.reserveAcceleratorCores = true
	s.countZones()
	want := map[Pool]int{}
	var order []Pool
	created := 0
	for ji, j := range s.Jobs {
		if j.Gang && len(j.Waiting) > 0 {
			if t := s.Quotas[j.Team]; t == nil || !t.WithinMaximum(j.Need.Times(float64(len(j.Waiting)))) {
				continue
			}
			if s.placeGang(nil, j, func(*Quota, Need) bool { return true }) != nil {
				continue
			}
			if j.OneZone && j.Zone == "" {
				// What is missing has to be rented in a zone where that can be done.
				if p, typ := s.cheapestPool(j, s.Jobs[ji:], types, blocked); typ != nil {
					j.Zone = p.Zone
				}
			}
		}
		if len(j.Waiting) == 0 {
			continue
		}
		choice := s.selectorFor(j)
		for len(j.Waiting) > 0 {
			if t := s.Quotas[j.Team]; t != nil && !t.Admits(j) && !j.Headroom {
				break
			}
			m := choice.best()
			if m == nil {
				if created >= maxNew {
					break
				}
				p, typ := s.cheapestPool(j, s.Jobs[ji:], types, blocked)
				if typ == nil {
					break
				}
				m = &Machine{Type: typ, Zone: p.Zone, Spot: p.Spot, Free: typ.Size, Room: 1 << 20, Booting: true}
				s.AddMachine(m)
				choice.added(m, len(s.Machines))
				if want[p] == 0 {
					order = append(order, p)
				}
				want[p]++
				created++
			}
			s.assign(j, m)
			choice.assigned(m)
		}
	}
	var out []Launch
	for _, p := range order {
		out = append(out, Launch{p, want[p]})
	}
	return out
}

// AddMachine adds a machine that was not there before.
func (s *Snapshot) AddMachine(m *Machine) {
	s.useIndex()
	m.position = math.MaxInt/2 + len(s.Machines) // after all that were there
	s.Machines = append(s.Machines, m)
	if s.machinesByZone != nil {
		s.machinesByZone[m.Zone]++
	}
	s.withRoom = [2][]*Machine{}
	s.machineChanged(m)
}

// countZones counts the machines by zone.
func (s *Snapshot) countZones() {
	s.machinesByZone = map[string]int{}
	for _, m := range s.Machines {
		s.machinesByZone[m.Zone]++
	}
}

// mayUse says whether a task of the job fits the type and is allowed on it.
func (j *Job) mayUse(t *Type) bool {
	return j.Need.Fits(t.Size) && (j.Types == nil || j.Types[t.Name])
}

// IsPlain says whether the job is a batch without accelerators that may use a type without
// them. Then none with accelerators is rented for it, and it spares what these need.
func (j *Job) IsPlain(types []*Type) bool {
	return !j.Service && j.Need.Accel == 0 &&
		slices.ContainsFunc(types, func(t *Type) bool { return t.Size.Accel == 0 && j.mayUse(t) })
}

// cheapestPool is where a machine for a task of the job costs least; later are the job and
// those that rank after it, which may use the rest of the machine.
func (s *Snapshot) cheapestPool(j *Job, later []*Job, types []*Type, blocked func(Pool) bool) (Pool, *Type) {
	var pick Pool
	var typ *Type
	best := math.Inf(1)
	for _, t := range types {
		if !j.mayUse(t) || j.Plain && t.Size.Accel > 0 {
			continue
		}
		fit := perMachine(j.Need, t.Size)
		alike := -1 // to be counted if any pool of the type is open
		for _, zone := range t.Zones {
			if !j.ZoneOpen(zone) {
				continue
			}
			for _, spot := range []bool{false, true} {
				p := Pool{t.Name, zone, spot}
				if !j.AllowedOn(t.Name, zone, spot) || blocked(p) {
					continue
				}
				if alike < 0 {
					alike = tasksAlike(j, later, t)
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				cost := price / math.Min(fit, math.Max(1, float64(alike)))
				// Equal prices go to the zone with fewer machines.
				cost *= 1 + 0.001*float64(s.machinesByZone[zone])
				if cost < best {
					pick, typ, best = p, t, cost
				}
			}
		}
	}
	return pick, typ
}

// tasksAlike counts the waiting tasks that could share a machine of the type with the job's.
func tasksAlike(j *Job, later []*Job, t *Type) int {
	alike := 0
	for _, o := range later {
		if (o.Need.Accel > 0) == (j.Need.Accel > 0) && (o.Types == nil || o.Types[t.Name]) && o.Need.Fits(t.Size) {
			alike += len(o.Waiting)
		}
	}
	return alike
}
