package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"sort"
)

// oracle is the reference algorithm for tests: it scores all machines for each task, as the package did before it had
// an index. Both algorithms must make the same decisions. A change of the package's algorithm that keeps its decisions
// must not be repeated here.
type oracle struct {
	*Snapshot
	listsWithRoom [2][]*Machine
}

// Fill assigns waiting tasks to free resources, in rank order within each step: services, first those within their
// team's guarantee; one task of each starved batch; starved gangs; headroom for expected replicas; then batches in the
// order of fillPasses.
func (s *oracle) Fill() []Placement {
	SortByRank(s.Jobs)
	placements := s.placeServices(nil)
	placements = s.placeStarvedBatches(placements)
	placements = s.placeStarvedGangs(placements)
	for _, j := range s.Jobs {
		if j.IsHeadroom {
			s.reserve(j)
		}
		s.chargeReserved(j)
	}
	if s.Draining {
		return placements
	}
	for _, pass := range fillPasses {
		s.reserveAcceleratorCores = pass == spareResources
		if pass == interruptedTasks {
			orderBeyondSlots(s.Jobs)
		}
		placements = s.placeBatches(placements, pass)
	}
	s.reserveAcceleratorCores = false
	return placements
}

// placeServices starts replicas, first those within the guarantees of their teams.
func (s *oracle) placeServices(placements []Placement) []Placement {
	for _, guaranteed := range []bool{true, false} {
		for _, j := range s.Jobs {
			if j.Service && !j.IsHeadroom {
				placements = s.placeTasks(placements, j, func(t *Quota) bool { return !guaranteed || t.WithinGuarantee(j.Request) })
			}
		}
	}
	return placements
}

// placeStarvedBatches starts one task of each batch that has had no task for longer than a machine takes to boot.
func (s *oracle) placeStarvedBatches(placements []Placement) []Placement {
	for _, j := range s.Jobs {
		if j.Service || j.Gang || !j.Starved || j.Assigned > 0 || len(j.Waiting) == 0 {
			continue
		}
		if t := s.Quotas[j.Team]; t == nil || !t.WithinMaximum(j.Request) {
			continue
		}
		if m := s.bestMachine(j); m != nil {
			placements = append(placements, Placement{j, j.Waiting[0], m})
			s.assign(j, m)
		}
	}
	return placements
}

// placeBatches makes one pass over batches and gangs. All tasks of a gang are within its slots, so gangs take part only
// in the first two passes.
func (s *oracle) placeBatches(placements []Placement, pass fillPass) []Placement {
	upper := 0.0 // share of the fleet that the upper queue's slots cover so far in this pass
	for _, j := range s.Jobs {
		if j.Service || j.Gang && pass > withinSlots {
			continue
		}
		s.refundReserved(j)
		if j.Gang {
			placements = s.placeGang(placements, j, func(t *Quota, whole Resources) bool {
				return t.WithinMaximum(whole.Plus(t.ServiceReserve)) && (pass == withinSlots || t.WithinGuarantee(whole))
			})
		} else {
			if j.InUpperQueue && pass == withinSlots {
				upper += Share(j.Request, s.Capacity) * float64(min(j.Slots, j.Tasks))
			}
			placements = s.placeTasks(placements, j, func(t *Quota) bool { return s.mayPlaceBatch(j, t, pass, upper) })
		}
		s.chargeReserved(j)
	}
	return placements
}

// placeTasks starts waiting tasks of a job until its team's quota, the given condition or the lack of a suitable
// machine prevents it.
func (s *oracle) placeTasks(placements []Placement, j *Job, allowed func(*Quota) bool) []Placement {
	quota := s.Quotas[j.Team]
	if len(j.Waiting) == 0 || !quota.Admits(j) || !allowed(quota) {
		return placements
	}
	selector := s.selectorFor(j)
	for len(j.Waiting) > 0 && quota.Admits(j) && allowed(quota) {
		m := selector.best()
		if m == nil {
			break
		}
		placements = append(placements, Placement{j, j.Waiting[0], m})
		s.assign(j, m)
		selector.assigned(m)
	}
	return placements
}

// reserve assigns as many of the job's waiting tasks as find room, but does not mark the machines as used.
func (s *oracle) reserve(j *Job) {
	if len(j.Waiting) == 0 {
		return
	}
	selector := s.selectorFor(j)
	for len(j.Waiting) > 0 {
		m := selector.best()
		if m == nil {
			return
		}
		used := m.InUse
		s.assign(j, m)
		m.InUse = used
		selector.assigned(m)
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
	m.InUse = true
	if !m.Images[j.Image] && j.Image != "" {
		if m.Fetching == nil {
			m.Fetching = map[string]bool{}
		}
		m.Fetching[j.Image] = true
	}
}

// machinesWithRoom lists the machines that may have room. Machines that have become full since the list was collected
// stay in it. The list is dropped when resources are freed or a machine is added.
func (s *oracle) machinesWithRoom(accelerators, cores bool) []*Machine {
	kind := 0
	if !accelerators && !cores {
		return s.Machines // the task requests only memory
	}
	if accelerators {
		kind = 1
	}
	if s.listsWithRoom[kind] == nil {
		s.listsWithRoom[kind] = make([]*Machine, 0, len(s.Machines))
		for _, m := range s.Machines {
			if m.TaskCapacity > 0 && (accelerators && m.Free.Accelerators > roundingTolerance || !accelerators && m.Free.Cores > roundingTolerance) {
				s.listsWithRoom[kind] = append(s.listsWithRoom[kind], m)
			}
		}
	}
	return s.listsWithRoom[kind]
}

func (s *oracle) bestMachine(j *Job) *Machine {
	var best *Machine
	bestScore := math.Inf(1)
	list := s.machinesWithRoom(j.Request.Accelerators > 0, j.Request.Cores > 0)
	s.MachinesExamined += len(list)
	for _, m := range list {
		if !s.accepts(j, m) {
			continue
		}
		if score := s.score(j, m); score < bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// placeStarvedGangs places gangs that have waited for longer than a machine takes to boot, the oldest first. If a gang
// does not fit now but would fit if the fleet were empty, the free room for part of its tasks is reserved, because
// small jobs would take that room again in each fill. The reservation ends with the snapshot, so gangs can't block one
// another.
func (s *oracle) placeStarvedGangs(placements []Placement) []Placement {
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
			continue // the gang waits until other tasks of its team end
		}
		before := len(placements)
		if placements = s.placeGang(placements, j, inLimit); len(placements) == before && s.fleetCanHold(j) {
			s.reserve(j)
			j.Waiting = nil
		}
	}
	return placements
}

// placeGang starts all tasks of a gang, or none. For a gang that must be in one zone it tries the zones one by one,
// because the best machine for the first task may be in a zone without room for the whole gang.
func (s *oracle) placeGang(placements []Placement, j *Job, allowed func(*Quota, Resources) bool) []Placement {
	quota := s.Quotas[j.Team]
	if len(j.Waiting) == 0 || quota == nil || !allowed(quota, j.Request.Times(float64(len(j.Waiting)))) {
		return placements
	}
	if !j.OneZone || j.Zone != "" {
		got, _ := s.tryPlaceGang(j)
		return append(placements, got...)
	}
	defer func() { j.Zone = "" }()
	for _, j.Zone = range s.gangZones(j) {
		if got, ok := s.tryPlaceGang(j); ok {
			return append(placements, got...)
		}
	}
	return placements
}

// tryPlaceGang places all waiting tasks of a gang. If one finds no room, it reverts all assignments and returns false.
func (s *oracle) tryPlaceGang(j *Job) ([]Placement, bool) {
	var placements []Placement
	waitingBefore, assignedBefore := j.Waiting, j.Assigned
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
				b.m.Free, b.m.InUse = b.m.Free.Plus(j.Request), b.used
				b.m.TaskCapacity++
				if !b.fetching {
					delete(b.m.Fetching, j.Image)
				}
				j.InZone[b.m.Zone]--
				if t := s.Quotas[j.Team]; t != nil {
					t.Used = t.Used.Minus(j.Request)
				}
			}
			j.Waiting, j.Assigned = waitingBefore, assignedBefore
			return nil, false
		}
		undo = append(undo, before{m, m.InUse, m.Fetching[j.Image]})
		placements = append(placements, Placement{j, j.Waiting[0], m})
		s.assign(j, m)
	}
	return placements, true
}

// Plan places the waiting tasks on free and booting machines, and on new machines where those lack room. It returns the
// machines to rent, at most maxLaunches and none from blocked pools, and sets InUse on all machines that waiting or
// expected tasks need.
func (s *oracle) Plan(types []*MachineType, blocked func(Pool) bool, maxLaunches int) []Launch {
	SortByRank(s.Jobs)
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
		selector := s.selectorFor(j)
		for len(j.Waiting) > 0 {
			if t := s.Quotas[j.Team]; t != nil && !t.Admits(j) && !j.IsHeadroom {
				break
			}
			m := selector.best()
			if m == nil {
				if created >= maxLaunches {
					break
				}
				p, typ := s.cheapestPool(j, s.Jobs[ji:], types, blocked)
				if typ == nil {
					break
				}
				m = &Machine{Type: typ, Zone: p.Zone, Spot: p.Spot, Free: typ.Size, TaskCapacity: 1 << 20, Booting: true}
				s.Machines = append(s.Machines, m)
				s.listsWithRoom = [2][]*Machine{}
				selector.added(m, len(s.Machines))
				if want[p] == 0 {
					order = append(order, p)
				}
				want[p]++
				created++
			}
			s.assign(j, m)
			selector.assigned(m)
		}
	}
	var launches []Launch
	for _, p := range order {
		launches = append(launches, Launch{p, want[p]})
	}
	return launches
}

// planGang places all tasks of a gang on the machines of the snapshot, which include those that the plan already rents.
// It returns false if more machines must be rented for the gang.
func (s *oracle) planGang(j *Job, later []*Job, types []*MachineType, blocked func(Pool) bool) bool {
	if t := s.Quotas[j.Team]; t == nil || !t.WithinMaximum(j.Request.Times(float64(len(j.Waiting)))) {
		return true
	}
	if s.placeGang(nil, j, func(*Quota, Resources) bool { return true }) != nil {
		return true
	}
	if j.OneZone && j.Zone == "" {
		// All machines must be in one zone, so choose a zone where machines can be rented.
		if p, typ := s.cheapestPool(j, later, types, blocked); typ != nil {
			j.Zone = p.Zone
		}
	}
	return false
}

// Stops computes the preemption of one round. For waiting tasks within the slots of their jobs that found no room, it
// selects lower-ranked tasks to stop, according to the rules in the protocol's section "Preemption".
func (s *oracle) Stops(maxStops int) Preemption {
	SortByRank(s.Jobs)
	rank := map[*Job]int{}
	for i, j := range s.Jobs {
		rank[j] = i
	}
	var plan Preemption
	infeasible := map[gangRequirements]int{}
	s.gangMachinesExamined = 0
	for _, j := range s.Jobs {
		switch {
		case j.IsHeadroom:
		case j.Reserved > 0:
			// Tasks stopped for this job in an earlier round have not ended yet.
		case j.Gang:
			s.preemptForGang(j, rank, &plan, maxStops, infeasible)
		default:
			s.preemptForTasks(j, rank, &plan, maxStops)
		}
	}
	return plan
}

// preemptForTasks makes room for the waiting tasks of a job, one by one: for all replicas of a service, and for the
// tasks of a batch within its slots.
func (s *oracle) preemptForTasks(j *Job, rank map[*Job]int, plan *Preemption, maxStops int) {
	assigned := j.Assigned
	for len(j.Waiting) > 0 && (j.Service || assigned < j.Slots) {
		m, stops := s.preemptionForTask(j, rank)
		if m == nil || len(plan.Stops)+len(stops) > maxStops {
			return
		}
		for _, stop := range stops {
			plan.Stops = append(plan.Stops, s.stop(stop.Machine, stop.Victim, j))
		}
		s.assign(j, m)
		assigned++
		if len(stops) > 0 {
			m.ReservedFor = j.ID // stops for other jobs must not count on its resources
			plan.Reservations = append(plan.Reservations, Reservation{Job: j, Machine: m, Tasks: 1})
		}
	}
}

// preemptionForTask finds a machine for one task of the job and the tasks that must be stopped for it, both to free
// resources and to free the team's quota. It returns nil if either can't be freed, because stopping only some of the
// tasks would lose their work without starting the new one.
func (s *oracle) preemptionForTask(j *Job, rank map[*Job]int) (*Machine, []Stop) {
	quota := s.Quotas[j.Team]
	var stops []Stop
	m := s.bestMachine(j)
	if m == nil {
		var victims []RunningTask
		if m, victims = s.cheapestPreemption(j, quota.WithinGuarantee(j.Request), rank); m == nil {
			return nil, nil
		}
		for _, victim := range victims {
			stops = append(stops, Stop{Victim: victim, Machine: m})
		}
	}
	quotaAfter := *quota
	for _, stop := range stops {
		if stop.Victim.Job.Team == j.Team {
			quotaAfter.Used = quotaAfter.Used.Minus(stop.Victim.Job.Request)
		}
	}
	for !quotaAfter.WithinMaximum(j.Request) {
		victimMachine, victim := s.youngest(j, stops)
		if victimMachine == nil {
			return nil, nil
		}
		stops = append(stops, Stop{Victim: victim, Machine: victimMachine})
		quotaAfter.Used = quotaAfter.Used.Minus(victim.Job.Request)
	}
	return m, stops
}

// oracleCandidateHeap holds the machines that accept a task of one job, the best first. All tasks of a job have the
// same request, so an assignment changes only the score of the assigned machine. For a job with thousands of tasks and
// a fleet of hundreds of machines, scoring all machines for each task took a quarter of a second of the CPU time that a
// controller gets.
type oracleCandidateHeap struct {
	oracle *oracle
	job    *Job
	list   []oracleCandidate
}

type oracleCandidate struct {
	machine  *Machine
	score    float64
	position int // increases in the order of the oracle's list; among equal scores the lowest wins
}

// oracleMachineSelector selects machines for the tasks of a job, one after the other.
type oracleMachineSelector interface {
	// best returns the best machine for the next task, or nil if none accepts it.
	best() *Machine
	// assigned must be called after a task was assigned to the machine that best returned.
	assigned(m *Machine)
	// added must be called after a machine was added to the snapshot, with its position in the snapshot's list.
	added(m *Machine, place int)
}

// oracleFullScan is an oracleMachineSelector that scores all machines again for each task.
type oracleFullScan struct {
	oracle *oracle
	job    *Job
}

func (e oracleFullScan) best() *Machine { return e.oracle.bestMachine(e.job) }

func (e oracleFullScan) assigned(*Machine) {}

func (e oracleFullScan) added(*Machine, int) {}

// selectorFor returns a selector for the job's waiting tasks.
func (s *oracle) selectorFor(j *Job) oracleMachineSelector {
	if j.worthBuildingHeap() {
		return s.candidateHeapFor(j)
	}
	return oracleFullScan{s, j}
}

// candidateHeapFor returns a heap of the machines that accept a task of the job.
func (s *oracle) candidateHeapFor(j *Job) *oracleCandidateHeap {
	c := &oracleCandidateHeap{oracle: s, job: j}
	list := s.machinesWithRoom(j.Request.Accelerators > 0, j.Request.Cores > 0)
	s.MachinesExamined += len(list)
	for place, m := range list {
		if s.accepts(j, m) {
			c.list = append(c.list, oracleCandidate{machine: m, score: s.score(j, m), position: place})
		}
	}
	heap.Init(c)
	return c
}

// best returns the best machine, or nil if none accepts a task of the job.
func (c *oracleCandidateHeap) best() *Machine {
	if len(c.list) == 0 {
		return nil
	}
	return c.list[0].machine
}

// assigned updates the score of the machine, or removes the machine if it accepts no further task. The machine must be
// at the top of the heap: best returned it, or it was just added and became the best.
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

// added adds a new machine to the heap if it accepts a task of the job.
func (c *oracleCandidateHeap) added(m *Machine, place int) {
	if c.oracle.accepts(c.job, m) {
		heap.Push(c, oracleCandidate{machine: m, score: c.oracle.score(c.job, m), position: place})
	}
}

// Len is part of heap.Interface.
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

// stop removes a task from its machine. It drops the lists of machines with room, because the stop frees resources.
func (s *oracle) stop(m *Machine, v RunningTask, j *Job) Stop {
	s.listsWithRoom = [2][]*Machine{}
	s.removeTask(m, v)
	return Stop{Victim: v, Machine: m, For: j}
}

// preemptForGang uses the algorithm of the package, because no earlier algorithm exists for comparison. It lists the
// running tasks again for each gang.
func (s *oracle) preemptForGang(j *Job, rank map[*Job]int, plan *Preemption, maxStops int, infeasible map[gangRequirements]int) {
	for job, i := range rank {
		job.rankPosition = i
	}
	round := newPreemptionRound(s.Snapshot, maxStops)
	round.plan, round.infeasibleGangs = *plan, infeasible
	round.preemptForGang(j)
	*plan = round.plan
	s.listsWithRoom = [2][]*Machine{}
}

// youngest returns the task that was assigned to its machine most recently among the running tasks of the job's team
// with lower priority, with its machine. It leaves out tasks in except.
func (s *oracle) youngest(j *Job, except []Stop) (*Machine, RunningTask) {
	var machine *Machine
	var youngest RunningTask
	for _, m := range s.Machines {
		for _, task := range m.Running {
			if task.Job.Team != j.Team || task.Job.Priority >= j.Priority || (machine != nil && task.RunningS >= youngest.RunningS) ||
				slices.ContainsFunc(except, func(b Stop) bool { return b.Victim.Job == task.Job && b.Victim.Index == task.Index }) {
				continue
			}
			machine, youngest = m, task
		}
	}
	return machine, youngest
}

// isPreemptible reports whether a victim's tasks may be stopped for a job. The rules follow the protocol's section
// "Preemption"; in addition, the victim must rank after the job, or be a batch or gang that exceeds its slots.
func (s *oracle) isPreemptible(victim, j *Job, guaranteed bool, rank map[*Job]int) bool {
	lower := victim.Priority < j.Priority
	quota := s.Quotas[victim.Team]
	borrowed := guaranteed && victim.Team != j.Team && quota != nil && quota.ExceedsGuarantee()
	if victim.Service && !lower && !j.WaitedTwoBoots {
		// Stopping one replica to start another gains nothing, and the stopped replica has to fetch its image again.
		// It is done only after a long wait, because a machine may already be booting.
		borrowed = false
	}
	ranked := rank[victim] > rank[j] || (!victim.Service && victim.Assigned > victim.Slots)
	return (lower || borrowed) && ranked
}

// cheapestPreemption returns the machine on which making room for one task costs least, and the tasks to stop there.
func (s *oracle) cheapestPreemption(j *Job, guaranteed bool, rank map[*Job]int) (*Machine, []RunningTask) {
	var best *Machine
	var cheapestVictims []RunningTask
	cheapest := math.Inf(1)
	for _, m := range s.Machines {
		if m.Booting || m.ReservedFor != "" || !j.Request.Fits(m.Type.Size) || !j.MayRunOn(m) {
			continue
		}
		var preemptible []RunningTask
		for _, task := range m.Running {
			if s.isPreemptible(task.Job, j, guaranteed, rank) {
				preemptible = append(preemptible, task)
			}
		}
		oracleSortPreemptible(preemptible)
		free, cost := m.Free, 0.0
		var victims []RunningTask
		for _, task := range preemptible {
			if j.Request.Fits(free) {
				break
			}
			victims = append(victims, task)
			free = free.Plus(task.Job.Request)
			cost += stopCost(task, m)
		}
		if j.Request.Fits(free) && len(victims) > 0 && cost < cheapest {
			best, cheapestVictims, cheapest = m, victims, cost
		}
	}
	return best, cheapestVictims
}

func (s *oracle) cheapestPool(j *Job, later []*Job, types []*MachineType, blocked func(Pool) bool) (Pool, *MachineType) {
	var cheapest Pool
	var typ *MachineType
	lowest := math.Inf(1)
	for _, t := range types {
		if !j.mayUse(t) || j.AvoidsAccelerators && t.Size.Accelerators > 0 {
			continue
		}
		capacity := tasksPerMachine(j.Request, t.Size)
		alike := 0
		for _, o := range later {
			if (o.Request.Accelerators > 0) == (j.Request.Accelerators > 0) && (o.Types == nil || o.Types[t.Name]) && o.Request.Fits(t.Size) {
				alike += len(o.Waiting)
			}
		}
		for _, zone := range t.Zones {
			if !j.AllowsZone(zone) {
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
				cost := price / math.Min(capacity, math.Max(1, float64(alike)))
				// Among equal prices, choose the zone with fewer machines.
				cost *= 1 + 0.001*float64(inZone)
				if cost < lowest {
					cheapest, typ, lowest = p, t, cost
				}
			}
		}
	}
	return cheapest, typ
}

// oracleSortPreemptible sorts tasks by the cost of stopping them, the cheapest first: batch tasks, then tasks of gangs,
// which are all stopped together, then replicas. Within each kind the youngest come first.
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
