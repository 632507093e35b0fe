package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// Placement is a task to start.
type Placement struct {
	Job     *Job
	Index   int
	Machine *Machine
}

// Passes of a fill over batches and gangs.
const (
	withinGuarantees = iota // within their teams' guarantees
	withinSlots             // within slots, the upper queue under its cap
	interrupted             // what a machine's end interrupted
	spareRoom               // whatever room is left
	fillPasses
)

// Fill starts waiting tasks in rank order: services, those within their team's
// guarantee first; then the room kept for expected ones; then batches, first
// within guarantees, then within slots (the upper queue under its cap), then
// what was interrupted, then whatever room is spare.
func (s *Snapshot) Fill() []Placement {
	s.useIndex()
	Order(s.Jobs)
	out := s.placeServices(nil)
	out = s.placeStarved(out)
	out = s.placeStarvedGangs(out)
	for _, j := range s.Jobs {
		if j.Headroom {
			s.reserve(j)
		}
		s.chargeReserved(j)
	}
	if s.Moving {
		return out
	}
	for pass := range fillPasses {
		s.reserveAcceleratorCores = pass == spareRoom
		if pass == interrupted {
			orderBeyondSlots(s.Jobs)
		}
		out = s.placeBatches(out, pass)
	}
	s.reserveAcceleratorCores = false
	return out
}

// placeServices starts replicas, those within their teams' guarantees first.
func (s *Snapshot) placeServices(out []Placement) []Placement {
	for _, guaranteed := range []bool{true, false} {
		for _, j := range s.Jobs {
			if j.Service && !j.Headroom {
				out = s.place(out, j, func(t *Quota) bool { return !guaranteed || t.WithinGuarantee(j.Need) })
			}
		}
	}
	return out
}

// placeStarved gives each batch that has waited for longer than a boot one task. Room
// kept for what may come, or left of a limit, is no reason for a batch to go without
// a single task for as long as there is no other.
func (s *Snapshot) placeStarved(out []Placement) []Placement {
	for _, j := range s.Jobs {
		if j.Service || j.Gang || !j.Starved || j.Held > 0 || len(j.Waiting) == 0 {
			continue
		}
		if t := s.Quotas[j.Team]; t == nil || !t.WithinMaximum(j.Need) {
			continue
		}
		if m := s.bestMachine(j); m != nil {
			out = append(out, Placement{j, j.Waiting[0], m})
			s.assign(j, m)
		}
	}
	return out
}

// orderBeyondSlots sorts jobs for the room beyond slots: there the upper queue has no
// precedence, as its cap has been used up. Jobs with a deadline go by the time they
// have left, and those that can't meet theirs go last: least attained service spreads a
// full team's limit over all its jobs, and then all of them are late.
func orderBeyondSlots(jobs []*Job) {
	slices.SortStableFunc(jobs, func(x, y *Job) int {
		if x.Late != y.Late {
			if x.Late {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(x.LeftS, y.LeftS), cmp.Compare(x.Rank(), y.Rank()))
	})
}

// placeBatches is one pass over batches and gangs. Gangs have no slots to go beyond, so
// the first two passes are all of theirs.
func (s *Snapshot) placeBatches(out []Placement, pass int) []Placement {
	upper := 0.0 // of the fleet, that the upper queue has in this pass
	for _, j := range s.Jobs {
		if j.Service || j.Gang && pass > withinSlots {
			continue
		}
		s.refundReserved(j)
		if j.Gang {
			out = s.placeGang(out, j, func(t *Quota, whole Need) bool {
				return t.WithinMaximum(whole.Plus(t.ServiceReserve)) && (pass == withinSlots || t.WithinGuarantee(whole))
			})
		} else {
			if j.Upper && pass == withinSlots {
				upper += Share(j.Need, s.Capacity) * float64(min(j.Slots, j.Tasks))
			}
			out = s.place(out, j, func(t *Quota) bool { return s.mayPlaceBatch(j, t, pass, upper) })
		}
		s.chargeReserved(j)
	}
	return out
}

// mayPlaceBatch says whether a batch may start one more task in a pass.
func (s *Snapshot) mayPlaceBatch(j *Job, t *Quota, pass int, upper float64) bool {
	switch pass {
	case withinGuarantees:
		return t.WithinGuarantee(j.Need)
	case withinSlots:
		return j.Held < j.Slots && (!j.Upper || upper <= s.UpperCap || j.Held == 0)
	case interrupted:
		// What a machine's end took had been decided by rank, and goes on before new
		// tasks take the room: large jobs have attained most, and each of their
		// interrupted tasks waited for a boot.
		return j.Resume > 0
	}
	return true
}

// reservedNeed is what was freed for a job and it has not taken yet.
func (j *Job) reservedNeed() Need { return j.Need.Times(float64(min(j.Reserved, len(j.Waiting)))) }

// chargeReserved keeps that of the team's limit for it, from the team's other batches.
func (s *Snapshot) chargeReserved(j *Job) {
	if t := s.Quotas[j.Team]; t != nil {
		t.Used = t.Used.Plus(j.reservedNeed())
	}
}

// refundReserved lets the job itself have it.
func (s *Snapshot) refundReserved(j *Job) {
	if t := s.Quotas[j.Team]; t != nil {
		t.Used = t.Used.Minus(j.reservedNeed())
	}
}

// place starts a job's tasks while its team's limit, the given condition and
// the room allow.
func (s *Snapshot) place(out []Placement, j *Job, may func(*Quota) bool) []Placement {
	team := s.Quotas[j.Team]
	if len(j.Waiting) == 0 || !team.Admits(j) || !may(team) {
		return out
	}
	choice := s.selectorFor(j)
	for len(j.Waiting) > 0 && team.Admits(j) && may(team) {
		m := choice.best()
		if m == nil {
			break
		}
		out = append(out, Placement{j, j.Waiting[0], m})
		s.assign(j, m)
		choice.assigned(m)
	}
	return out
}

// Absorbs says whether there is room for a task of each of the jobs, and takes it if there
// is for all. Their teams' limits are not looked at: they hold that much now.
func (s *Snapshot) Absorbs(jobs []*Job) bool {
	rest := s.clone("")
	for _, j := range jobs {
		m := rest.bestMachine(j)
		if m == nil {
			return false
		}
		rest.assign(j, m)
	}
	s.Machines, s.withRoom, s.index, s.Fleet = rest.Machines, [2][]*Machine{}, nil, nil
	return true
}

// reserve takes room for expected tasks on machines that are up, as far as
// there is any.
func (s *Snapshot) reserve(j *Job) {
	if len(j.Waiting) == 0 {
		return
	}
	choice := s.selectorFor(j)
	for len(j.Waiting) > 0 {
		m := choice.best()
		if m == nil {
			return
		}
		used := m.Used
		s.assign(j, m)
		if m.Used = used; !used {
			s.machineChanged(m)
		}
		choice.assigned(m)
	}
}

func (s *Snapshot) assign(j *Job, m *Machine) {
	j.Waiting = j.Waiting[1:]
	j.Resume = max(0, j.Resume-1)
	j.Held++
	if j.InZone == nil {
		j.InZone = map[string]int{}
	}
	j.InZone[m.Zone]++
	if t := s.Quotas[j.Team]; t != nil {
		t.Used = t.Used.Plus(j.Need)
	}
	m.Free = m.Free.Minus(j.Need)
	m.Room--
	m.Used = true
	if !m.Images[j.Image] && j.Image != "" {
		if m.Fetching == nil {
			m.Fetching = map[string]bool{}
		}
		m.Fetching[j.Image] = true
	}
	s.machineChanged(m)
	if s.preemptible != nil {
		s.preemptible.taskAssigned(j)
	}
}

// machineChanged has to follow each change of a machine.
func (s *Snapshot) machineChanged(m *Machine) {
	m.Changed = true
	if s.index != nil {
		s.index.update(m)
	}
}

// useIndex has machines be found by an index, which is made unless there is one.
func (s *Snapshot) useIndex() {
	switch {
	case s.index != nil:
	case s.Fleet != nil:
		s.index = s.Fleet.index
	default:
		s.index = newMachineIndex(s.Machines)
	}
}

// machinesWithRoom lists the machines that may have room. What has filled up since the list
// was made stays in it; whatever frees room or adds a machine drops the list.
func (s *Snapshot) machinesWithRoom(accel, cores bool) []*Machine {
	k := 0
	if !accel && !cores {
		return s.Machines // memory alone
	}
	if accel {
		k = 1
	}
	if s.withRoom[k] == nil {
		s.withRoom[k] = make([]*Machine, 0, len(s.Machines))
		for _, m := range s.Machines {
			if m.Room > 0 && (accel && m.Free.Accel > eps || !accel && m.Free.Cores > eps) {
				s.withRoom[k] = append(s.withRoom[k], m)
			}
		}
	}
	return s.withRoom[k]
}

// accepts says whether the machine may be given a task of the job now.
func (s *Snapshot) accepts(j *Job, m *Machine) bool {
	return (m.ReservedFor == "" || m.ReservedFor == j.ID) && m.Room > 0 && j.Need.Fits(m.Free) && j.MayRunOn(m) &&
		!(s.reserveAcceleratorCores && j.Plain && j.blocksAccelerators(m))
}

// bestMachine is the best machine for one task of the job, nil if none has room.
func (s *Snapshot) bestMachine(j *Job) *Machine {
	if c := s.searchIndex(j); c != nil {
		return c.best()
	}
	return s.scanForBest(j)
}

// scanForBest looks at all machines.
func (s *Snapshot) scanForBest(j *Job) *Machine {
	var pick *Machine
	bestScore := math.Inf(1)
	list := s.machinesWithRoom(j.Need.Accel > 0, j.Need.Cores > 0)
	s.Looked += len(list)
	for _, m := range list {
		if !s.accepts(j, m) {
			continue
		}
		if sc := s.score(j, m); sc < bestScore {
			pick, bestScore = m, sc
		}
	}
	return pick
}

// acceleratorCoreReserve is the part of their cores that free accelerators keep.
const acceleratorCoreReserve = 0.75

// blocksAccelerators says whether a task without accelerators would take cores that free
// accelerators need: each keeps three quarters of its part of them.
func (j *Job) blocksAccelerators(m *Machine) bool {
	if j.Need.Accel > 0 || m.Type.Size.Accel <= 0 {
		return false
	}
	left := m.Free.Minus(j.Need)
	return left.Cores < acceleratorCoreReserve*m.Type.Size.Cores*m.Free.Accel/m.Type.Size.Accel
}

// score is lower for a better machine. The weights only order the wishes:
// ready before booting, image there, cheap kind, no accelerators blocked by
// work that has no use for them, and a tight fit.
func (s *Snapshot) score(j *Job, m *Machine) float64 {
	sc := 0.0
	if m.Booting {
		sc += 1000
	}
	switch {
	case j.Headroom && len(j.Images) > 0:
		// Room is kept where the images are: kept elsewhere, each replica began with a fetch.
		sc += 60 * j.fetchWeight(m.Type) * j.missingShare(m)
	case j.Image == "" || m.Images[j.Image]:
	case m.Fetching[j.Image]:
		sc += 20
	default:
		sc += 60*j.fetchWeight(m.Type) + 40*float64(len(m.Fetching))
	}
	if j.Spot && !m.Spot {
		sc += 50
	}
	if j.Need.Accel == 0 && m.Type.Size.Accel > 0 {
		if j.blocksAccelerators(m) {
			sc += 400
		}
		sc += 30
	}
	left := Share(m.Free.Minus(j.Need), m.Type.Size)
	if j.Need.Accel == 0 {
		left = (m.Free.Cores - j.Need.Cores) / math.Max(m.Type.Size.Cores, eps)
	}
	sc += looseFitScore * left
	if !m.Used {
		sc += 15
	}
	return sc
}
