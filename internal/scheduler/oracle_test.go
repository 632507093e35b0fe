package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"sort"
)

// oracle is the algorithm that scored all machines for each task, as it stood before the index.
// Both must decide alike, so it is kept as it was: changes of the package's algorithm that keep its
// decisions don't belong here.
type oracle struct {
	*Snapshot
	listsWithRoom [2][]*Machine
}

// Fill starts waiting tasks in rank order: services, those within their team's
// guarantee first; then headroom for expected ones; then batches, first
// within guarantees, then within slots (the upper queue under its cap), then
// what was interrupted, then whatever room is spare.
func (s *oracle) Fill() []Placement {
	Order(s.Jobs)
	out := s.placeServices(nil)
	out = s.placeStarved(out)
	out = s.placeStarvedGangs(out)
	for _, j := range s.Jobs {
		if j.IsHeadroom {
			s.reserve(j)
		}
		s.chargeReserved(j)
	}
	if s.Draining {
		return out
	}
	for _, pass := range fillPasses {
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
func (s *oracle) placeServices(out []Placement) []Placement {
	for _, guaranteed := range []bool{true, false} {
		for _, j := range s.Jobs {
			if j.Service && !j.IsHeadroom {
				out = s.place(out, j, func(t *Quota) bool { return !guaranteed || t.WithinGuarantee(j.Request) })
			}
		}
	}
	return out
}

// placeStarved gives each batch that has waited for longer than a boot one task.
func (s *oracle) placeStarved(out []Placement) []Placement {
	for _, j := range s.Jobs {
		if j.Service || j.Gang || !j.Starved || j.Assigned > 0 || len(j.Waiting) == 0 {
			continue
		}
		if t := s.Quotas[j.Team]; t == nil || !t.WithinMaximum(j.Request) {
			continue
		}
		if m := s.bestMachine(j); m != nil {
			out = append(out, Placement{j, j.Waiting[0], m})
			s.assign(j, m)
		}
	}
	return out
}

// placeBatches is one pass over batches and gangs. Gangs have no slots to go beyond, so
// the first two passes are all of theirs.
func (s *oracle) placeBatches(out []Placement, pass fillPass) []Placement {
	upper := 0.0 // of the fleet, that the upper queue has in this pass
	for _, j := range s.Jobs {
		if j.Service || j.Gang && pass > withinSlots {
			continue
		}
		s.refundReserved(j)
		if j.Gang {
			out = s.placeGang(out, j, func(t *Quota, whole Resources) bool {
				return t.WithinMaximum(whole.Plus(t.ServiceReserve)) && (pass == withinSlots || t.WithinGuarantee(whole))
			})
		} else {
			if j.InUpperQueue && pass == withinSlots {
				upper += Share(j.Request, s.Capacity) * float64(min(j.Slots, j.Tasks))
			}
			out = s.place(out, j, func(t *Quota) bool { return s.mayPlaceBatch(j, t, pass, upper) })
		}
		s.chargeReserved(j)
	}
	return out
}

// place starts a job's tasks while its team's quota, the given condition and
// the room allow.
func (s *oracle) place(out []Placement, j *Job, may func(*Quota) bool) []Placement {
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

// reserve takes room for expected tasks on machines that are up, as far as
// there is any.
func (s *oracle) reserve(j *Job) {
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
		m.Used = used
		choice.assigned(m)
	}
}

func (s *oracle) assign(j *Job, m *Machine) {
	j.Waiting = j.Waiting[1:]
	j.Interrupted = max(0, j.Interrupted-1)
	j.Assigned++
	if j.InZone == nil {
		j.InZone = map[string]int{}
	}
	j.InZone[m.Zone]++
	if t := s.Quotas[j.Team]; t != nil {
		t.Used = t.Used.Plus(j.Request)
	}
	m.Free = m.Free.Minus(j.Request)
	m.TaskCapacity--
	m.Used = true
	if !m.Images[j.Image] && j.Image != "" {
		if m.Fetching == nil {
			m.Fetching = map[string]bool{}
		}
		m.Fetching[j.Image] = true
	}
}

// machinesWithRoom lists the machines that may have room. What has filled up since the list
// was made stays in it; whatever frees room or adds a machine drops the list.
func (s *oracle) machinesWithRoom(accel, cores bool) []*Machine {
	k := 0
	if !accel && !cores {
		return s.Machines // memory alone
	}
	if accel {
		k = 1
	}
	if s.listsWithRoom[k] == nil {
		s.listsWithRoom[k] = make([]*Machine, 0, len(s.Machines))
		for _, m := range s.Machines {
			if m.TaskCapacity > 0 && (accel && m.Free.Accel > eps || !accel && m.Free.Cores > eps) {
				s.listsWithRoom[k] = append(s.listsWithRoom[k], m)
			}
		}
	}
	return s.listsWithRoom[k]
}

func (s *oracle) bestMachine(j *Job) *Machine {
	var pick *Machine
	bestScore := math.Inf(1)
	list := s.machinesWithRoom(j.Request.Accel > 0, j.Request.Cores > 0)
	s.MachinesExamined += len(list)
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

// placeStarvedGangs places gangs that have waited for longer than a boot, the oldest first.
// What there is of the room for one that does not fit is held back from all others:
// small jobs would take it again and again. Nothing of that outlives the snapshot,
// so gangs can't block one another.
func (s *oracle) placeStarvedGangs(out []Placement) []Placement {
	var starved []*Job
	for _, j := range s.Jobs {
		if j.Gang && j.Starved && len(j.Waiting) > 0 {
			starved = append(starved, j)
		}
	}
	slices.SortStableFunc(starved, func(a, b *Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	inLimit := func(t *Quota, whole Resources) bool { return t.WithinMaximum(whole) }
	for _, j := range starved {
		if t := s.Quotas[j.Team]; t == nil || !t.WithinMaximum(j.Request.Times(float64(len(j.Waiting)))) {
			continue // its team's own work has to end first
		}
		before := len(out)
		if out = s.placeGang(out, j, inLimit); len(out) == before && s.fleetCanHold(j) {
			s.reserve(j)
			j.Waiting = nil
		}
	}
	return out
}

// placeGang starts all tasks of a gang, or none: in one zone after the other if
// they must be together, as the best place for the first may have no room for all.
func (s *oracle) placeGang(out []Placement, j *Job, may func(*Quota, Resources) bool) []Placement {
	team := s.Quotas[j.Team]
	if len(j.Waiting) == 0 || team == nil || !may(team, j.Request.Times(float64(len(j.Waiting)))) {
		return out
	}
	if !j.OneZone || j.Zone != "" {
		got, _ := s.tryPlaceGang(j)
		return append(out, got...)
	}
	defer func() { j.Zone = "" }()
	for _, j.Zone = range s.gangZones(j) {
		if got, ok := s.tryPlaceGang(j); ok {
			return append(out, got...)
		}
	}
	return out
}

// tryPlaceGang places all waiting tasks of a gang, or takes everything back.
func (s *oracle) tryPlaceGang(j *Job) ([]Placement, bool) {
	var out []Placement
	waiting, held := j.Waiting, j.Assigned
	type before struct {
		m        *Machine
		used     bool
		fetching bool
	}
	var undo []before
	for len(j.Waiting) > 0 {
		m := s.bestMachine(j)
		if m == nil {
			for _, b := range slices.Backward(undo) {
				b.m.Free, b.m.Used = b.m.Free.Plus(j.Request), b.used
				b.m.TaskCapacity++
				if !b.fetching {
					delete(b.m.Fetching, j.Image)
				}
				j.InZone[b.m.Zone]--
				if t := s.Quotas[j.Team]; t != nil {
					t.Used = t.Used.Minus(j.Request)
				}
			}
			j.Waiting, j.Assigned = waiting, held
			return nil, false
		}
		undo = append(undo, before{m, m.Used, m.Fetching[j.Image]})
		out = append(out, Placement{j, j.Waiting[0], m})
		s.assign(j, m)
	}
	return out, true
}

// Plan places what still waits on free, booting and, where these don't do, new
// machines. It returns what to rent and marks (Used) the machines that the
// waiting and expected work needs. blocked pools are short.
func (s *oracle) Plan(types []*Type, blocked func(Pool) bool, maxNew int) []Launch {
	Order(s.Jobs)
	s.reserveAcceleratorCores = true
	want := map[Pool]int{}
	var order []Pool
	created := 0
	for ji, j := range s.Jobs {
		if j.Gang && len(j.Waiting) > 0 && s.planGang(j, s.Jobs[ji:], types, blocked) {
			continue
		}
		if len(j.Waiting) == 0 {
			continue
		}
		choice := s.selectorFor(j)
		for len(j.Waiting) > 0 {
			if t := s.Quotas[j.Team]; t != nil && !t.Admits(j) && !j.IsHeadroom {
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
				m = &Machine{Type: typ, Zone: p.Zone, Spot: p.Spot, Free: typ.Size, TaskCapacity: 1 << 20, Booting: true}
				s.Machines = append(s.Machines, m)
				s.listsWithRoom = [2][]*Machine{}
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

// planGang places a gang whole. It returns false if machines have to be rented for it.
func (s *oracle) planGang(j *Job, later []*Job, types []*Type, blocked func(Pool) bool) bool {
	if t := s.Quotas[j.Team]; t == nil || !t.WithinMaximum(j.Request.Times(float64(len(j.Waiting)))) {
		return true
	}
	if s.placeGang(nil, j, func(*Quota, Resources) bool { return true }) != nil {
		return true
	}
	if j.OneZone && j.Zone == "" {
		// What is missing has to be rented in a zone where that can be done.
		if p, typ := s.cheapestPool(j, later, types, blocked); typ != nil {
			j.Zone = p.Zone
		}
	}
	return false
}

// Stops are a round's: for tasks that wait within their slots and found no
// room, lower-ranked tasks give way, as far as "Preemption" lets them.
func (s *oracle) Stops(most int) Preemption {
	Order(s.Jobs)
	rank := map[*Job]int{}
	for i, j := range s.Jobs {
		rank[j] = i
	}
	var out Preemption
	infeasible := map[gangRequirements]int{}
	s.gangMachinesExamined = 0
	for _, j := range s.Jobs {
		switch {
		case j.IsHeadroom:
		case j.Reserved > 0:
			// What was stopped for this job before is still on its way out.
		case j.Gang:
			s.preemptForGang(j, rank, &out, most, infeasible)
		default:
			s.preemptForTasks(j, rank, &out, most)
		}
	}
	return out
}

// preemptForTasks makes room for the waiting tasks of a job that it has slots for, one
// after the other.
func (s *oracle) preemptForTasks(j *Job, rank map[*Job]int, out *Preemption, most int) {
	held := j.Assigned
	for len(j.Waiting) > 0 && (j.Service || held < j.Slots) {
		m, set := s.preemptionForTask(j, rank)
		if m == nil || len(out.Stops)+len(set) > most {
			return
		}
		for _, v := range set {
			out.Stops = append(out.Stops, s.stop(v.Machine, v.Victim, j))
		}
		s.assign(j, m)
		held++
		if len(set) > 0 {
			m.ReservedFor = j.ID // nobody else's stops may count on it
			out.Reservations = append(out.Reservations, Reservation{Job: j, Machine: m, Tasks: 1})
		}
	}
}

// preemptionForTask finds a machine for one task of the job and all that must stop for
// it, for room and for the team's limit alike: all of it or nothing, as stops
// that don't lead to a start only cost work.
func (s *oracle) preemptionForTask(j *Job, rank map[*Job]int) (*Machine, []Stop) {
	team := s.Quotas[j.Team]
	var set []Stop
	m := s.bestMachine(j)
	if m == nil {
		var victims []RunningTask
		if m, victims = s.cheapestPreemption(j, team.WithinGuarantee(j.Request), rank); m == nil {
			return nil, nil
		}
		for _, v := range victims {
			set = append(set, Stop{Victim: v, Machine: m})
		}
	}
	after := *team
	for _, v := range set {
		if v.Victim.Job.Team == j.Team {
			after.Used = after.Used.Minus(v.Victim.Job.Request)
		}
	}
	for !after.WithinMaximum(j.Request) {
		on, v := s.youngest(j, set)
		if on == nil {
			return nil, nil
		}
		set = append(set, Stop{Victim: v, Machine: on})
		after.Used = after.Used.Minus(v.Job.Request)
	}
	return m, set
}

// oracleCandidateHeap has the machines that may take a task of one job, the best first. Tasks of a
// job are alike, so taking one changes the score of its machine alone: for an array of
// thousands in a fleet of hundreds, looking at all machines for each task took a quarter
// of a second of a controller's share of a core.
type oracleCandidateHeap struct {
	oracle *oracle
	job    *Job
	list   []oracleCandidate
}

type oracleCandidate struct {
	machine  *Machine
	score    float64
	position int // in the oracle's list: equal scores go to the first
}

// oracleMachineSelector picks the machines for one task of a job after the other.
type oracleMachineSelector interface {
	// best is the best machine for the next task, nil if none has room.
	best() *Machine
	// assigned has to follow when a machine was given the task.
	assigned(m *Machine)
	// added brings in a machine that was not there before.
	added(m *Machine, place int)
}

// oracleFullScan scores all machines anew for each task.
type oracleFullScan struct {
	oracle *oracle
	job    *Job
}

func (e oracleFullScan) best() *Machine { return e.oracle.bestMachine(e.job) }

func (e oracleFullScan) assigned(*Machine) {}

func (e oracleFullScan) added(*Machine, int) {}

// selectorFor picks machines for the job's waiting tasks.
func (s *oracle) selectorFor(j *Job) oracleMachineSelector {
	if j.worthRanking() {
		return s.candidateHeapFor(j)
	}
	return oracleFullScan{s, j}
}

// candidateHeapFor puts the machines that have room for a task of the job in order.
func (s *oracle) candidateHeapFor(j *Job) *oracleCandidateHeap {
	c := &oracleCandidateHeap{oracle: s, job: j}
	list := s.machinesWithRoom(j.Request.Accel > 0, j.Request.Cores > 0)
	s.MachinesExamined += len(list)
	for place, m := range list {
		if s.accepts(j, m) {
			c.list = append(c.list, oracleCandidate{machine: m, score: s.score(j, m), position: place})
		}
	}
	heap.Init(c)
	return c
}

// best is the best machine, nil if none has room.
func (c *oracleCandidateHeap) best() *Machine {
	if len(c.list) == 0 {
		return nil
	}
	return c.list[0].machine
}

// assigned puts the machine in its new place after it was given a task: it was the best, or
// one that was added just now and is.
func (c *oracleCandidateHeap) assigned(m *Machine) {
	if len(c.list) == 0 || c.list[0].machine != m {
		return
	}
	first := &c.list[0]
	c.oracle.MachinesExamined++
	if !c.oracle.accepts(c.job, first.machine) {
		heap.Pop(c)
		return
	}
	first.score = c.oracle.score(c.job, first.machine)
	heap.Fix(c, 0)
}

// added puts a new machine among the candidates.
func (c *oracleCandidateHeap) added(m *Machine, place int) {
	if c.oracle.accepts(c.job, m) {
		heap.Push(c, oracleCandidate{machine: m, score: c.oracle.score(c.job, m), position: place})
	}
}

// Len, Less, Swap, Push and Pop make a heap of it.
func (c *oracleCandidateHeap) Len() int { return len(c.list) }

// Less is part of heap.Interface.
func (c *oracleCandidateHeap) Less(a, b int) bool {
	x, y := &c.list[a], &c.list[b]
	if x.score != y.score {
		return x.score < y.score
	}
	return x.position < y.position
}

// Swap is part of heap.Interface.
func (c *oracleCandidateHeap) Swap(a, b int) { c.list[a], c.list[b] = c.list[b], c.list[a] }

// Push is part of heap.Interface.
func (c *oracleCandidateHeap) Push(x any) { c.list = append(c.list, x.(oracleCandidate)) }

// Pop is part of heap.Interface.
func (c *oracleCandidateHeap) Pop() any {
	last := len(c.list) - 1
	x := c.list[last]
	c.list = c.list[:last]
	return x
}

// stop frees room, so that the lists of machines with room are made anew.
func (s *oracle) stop(m *Machine, v RunningTask, j *Job) Stop {
	s.listsWithRoom = [2][]*Machine{}
	s.removeTask(m, v)
	return Stop{Victim: v, Machine: m, For: j}
}

// preemptForGang has no former algorithm to be compared with: it is the round's own, on tasks that
// are listed anew for each gang.
func (s *oracle) preemptForGang(j *Job, rank map[*Job]int, out *Preemption, most int, infeasible map[gangRequirements]int) {
	for job, i := range rank {
		job.rankPosition = i
	}
	round := newPreemptionRound(s.Snapshot, most)
	round.plan, round.infeasibleGangs = *out, infeasible
	round.preemptForGang(j)
	*out = round.plan
	s.listsWithRoom = [2][]*Machine{}
}

// youngest is the task of the job's team and of lower priority that has held
// its place for the least time, and is not among those to stop already.
func (s *oracle) youngest(j *Job, but []Stop) (*Machine, RunningTask) {
	var pick *Machine
	var held RunningTask
	for _, m := range s.Machines {
		for _, h := range m.Running {
			if h.Job.Team != j.Team || h.Job.Priority >= j.Priority || (pick != nil && h.RunningS >= held.RunningS) ||
				slices.ContainsFunc(but, func(b Stop) bool { return b.Victim.Job == h.Job && b.Victim.Index == h.Index }) {
				continue
			}
			pick, held = m, h
		}
	}
	return pick, held
}

// isPreemptible says whether a victim's tasks may be stopped for a job: by "Preemption", and
// as it ranks after the job or has more than its slots.
func (s *oracle) isPreemptible(victim, j *Job, guaranteed bool, rank map[*Job]int) bool {
	lower := victim.Priority < j.Priority
	team := s.Quotas[victim.Team]
	borrowed := guaranteed && victim.Team != j.Team && team != nil && team.ExceedsGuarantee()
	if victim.Service && !lower && !j.WaitedTwoBoots {
		// One replica for another is no gain, and the stopped one fetches its image
		// anew; a machine may be on its way.
		borrowed = false
	}
	ranked := rank[victim] > rank[j] || (!victim.Service && victim.Assigned > victim.Slots)
	return (lower || borrowed) && ranked
}

// cheapestPreemption finds the machine on which room for one task costs least.
func (s *oracle) cheapestPreemption(j *Job, guaranteed bool, rank map[*Job]int) (*Machine, []RunningTask) {
	var pick *Machine
	var chosen []RunningTask
	cheapest := math.Inf(1)
	for _, m := range s.Machines {
		if m.Booting || m.ReservedFor != "" || !j.Request.Fits(m.Type.Size) || !j.MayRunOn(m) {
			continue
		}
		var may []RunningTask
		for _, h := range m.Running {
			if s.isPreemptible(h.Job, j, guaranteed, rank) {
				may = append(may, h)
			}
		}
		oracleSortPreemptible(may)
		free, cost := m.Free, 0.0
		var set []RunningTask
		for _, h := range may {
			if j.Request.Fits(free) {
				break
			}
			set = append(set, h)
			free = free.Plus(h.Job.Request)
			cost += stopCost(h, m)
		}
		if j.Request.Fits(free) && len(set) > 0 && cost < cheapest {
			pick, chosen, cheapest = m, set, cost
		}
	}
	return pick, chosen
}

func (s *oracle) cheapestPool(j *Job, later []*Job, types []*Type, blocked func(Pool) bool) (Pool, *Type) {
	var pick Pool
	var typ *Type
	best := math.Inf(1)
	for _, t := range types {
		if !j.mayUse(t) || j.AvoidsAccelerators && t.Size.Accel > 0 {
			continue
		}
		fit := perMachine(j.Request, t.Size)
		alike := 0
		for _, o := range later {
			if (o.Request.Accel > 0) == (j.Request.Accel > 0) && (o.Types == nil || o.Types[t.Name]) && o.Request.Fits(t.Size) {
				alike += len(o.Waiting)
			}
		}
		for _, zone := range t.Zones {
			if !j.ZoneOpen(zone) {
				continue
			}
			inZone := 0
			for _, m := range s.Machines {
				if m.Zone == zone {
					inZone++
				}
			}
			for _, spot := range []bool{false, true} {
				p := Pool{t.Name, zone, spot}
				if !j.AllowedOn(t.Name, zone, spot) || blocked(p) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				cost := price / math.Min(fit, math.Max(1, float64(alike)))
				// Equal prices go to the zone with fewer machines.
				cost *= 1 + 0.001*float64(inZone)
				if cost < best {
					pick, typ, best = p, t, cost
				}
			}
		}
	}
	return pick, typ
}

// oracleSortPreemptible puts first what costs least to stop: replicas last, gangs before them as
// they stop whole, and the youngest of each.
func oracleSortPreemptible(list []RunningTask) {
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		switch {
		case x.Job.Service != y.Job.Service:
			return !x.Job.Service
		case x.Job.Gang != y.Job.Gang:
			return !x.Job.Gang
		}
		return x.RunningS < y.RunningS
	})
}
