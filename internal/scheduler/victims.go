package scheduler

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
	"strings"
)

// preemptibleTasks are the running tasks that a round may stop, in the orders in which they are
// looked for: by machine with what costs least to stop first, and by team and priority with
// the youngest first. They are drawn up once in a round and follow its stops.
type preemptibleTasks struct {
	snapshot *Snapshot
	// byMachine has a machine's tasks as sortPreemptible puts them, once they were asked for.
	byMachine map[*Machine][]RunningTask
	// byTeam is made when a team's own tasks are first asked for.
	byTeam  map[teamPriority][]teamTask
	stopped map[taskOnMachine]bool
	// lowestPriority is the least priority of any running task, lent whether any team uses more
	// than its guarantee.
	lowestPriority int
	borrowingTeams map[string]bool
	gangs          map[*Job][]Stop
	// infeasible are shapes of jobs for which no machine has enough to stop.
	infeasible map[preemptionKey][]Need
	// sharedCosts are the candidates of replicas that are alike.
	sharedCosts map[sharedCostsKey]*preemptionCosts
	// version changes when costs that were worked out before may have become wrong.
	version int
}

type teamPriority struct {
	team     string
	priority int
}

// taskRef is a task on its machine.
type taskOnMachine struct {
	machine *Machine
	job     *Job
	index   int
}

func (s *Stop) key() taskOnMachine { return taskOnMachine{s.Machine, s.Victim.Job, s.Victim.Index} }

// preemptionKey is what decides which tasks may be stopped for a job, and where, but for its
// need and rank.
type preemptionKey struct {
	team, zone, types                          string
	priority                                   int
	spot, oneZone, spread, guaranteed, service bool
	patient                                    bool
}

func newPreemptibleTasks(s *Snapshot) *preemptibleTasks {
	v := &preemptibleTasks{snapshot: s, byMachine: map[*Machine][]RunningTask{}, stopped: map[taskOnMachine]bool{}, lowestPriority: math.MaxInt,
		borrowingTeams: map[string]bool{}, infeasible: map[preemptionKey][]Need{}, sharedCosts: map[sharedCostsKey]*preemptionCosts{}}
	for _, m := range s.Machines {
		for _, h := range m.Running {
			v.lowestPriority = min(v.lowestPriority, h.Job.Priority)
		}
	}
	for name, team := range s.Quotas {
		if team.ExceedsGuarantee() {
			v.borrowingTeams[name] = true
		}
	}
	return v
}

// taskStopped follows a stop. Costs have to be worked out anew if other tasks may be stopped or
// what they cost has changed; room elsewhere than where the job goes may help others.
func (v *preemptibleTasks) taskStopped(m *Machine, h RunningTask, j *Job, costsChanged bool) {
	delete(v.byMachine, m)
	v.stopped[taskOnMachine{m, h.Job, h.Index}] = true
	v.gangs = nil
	if team := v.snapshot.Quotas[h.Job.Team]; team != nil && !team.ExceedsGuarantee() {
		delete(v.borrowingTeams, h.Job.Team)
	}
	if costsChanged {
		v.version++
	}
	if h.Job.Team == j.Team || h.Job.Gang || j.Gang {
		// It may leave room that the job does not take: stopped for its team's limit, or
		// with all of its gang.
		v.version++
		clear(v.infeasible)
	}
}

// taskAssigned follows a task that was given its place: its team may use more than its guarantee now,
// or the job have more than its slots, so that its other tasks may be stopped for others.
func (v *preemptibleTasks) taskAssigned(j *Job) {
	team := v.snapshot.Quotas[j.Team]
	lent := team != nil && !v.borrowingTeams[j.Team] && team.ExceedsGuarantee()
	if lent {
		v.borrowingTeams[j.Team] = true
	}
	if lent || !j.Service && j.Held == j.Slots+1 {
		v.version++
		clear(v.infeasible)
	}
}

// on lists a machine's tasks, what costs least to stop first.
func (v *preemptibleTasks) on(m *Machine) []RunningTask {
	list, known := v.byMachine[m]
	if !known {
		list = slices.Clone(m.Running)
		sortPreemptible(list)
		v.byMachine[m] = list
	}
	return list
}

// anyFor says whether there may be any task to stop for a job.
func (v *preemptibleTasks) anyFor(j *Job, guaranteed bool) bool {
	if v.lowestPriority < j.Priority {
		return true
	}
	return guaranteed && (len(v.borrowingTeams) > 1 || len(v.borrowingTeams) == 1 && !v.borrowingTeams[j.Team])
}

// typeNames names the types that the job may use; empty: any.
func (j *Job) typeNames() string {
	if j.Types == nil {
		return ""
	}
	return strings.Join(slices.Sorted(maps.Keys(j.Types)), ",") + ";"
}

func (j *Job) preemptionKey(guaranteed bool) preemptionKey {
	return preemptionKey{team: j.Team, zone: j.Zone, types: j.typeNames(), priority: j.Priority, spot: j.Spot, oneZone: j.OneZone, spread: j.Spread,
		guaranteed: guaranteed, service: j.Service, patient: j.Patient}
}

// isInfeasible says whether a job that ranks before this one and differs in nothing else that
// matters found no machine with enough to stop for as little.
func (v *preemptibleTasks) isInfeasible(shape preemptionKey, n Need) bool {
	for _, h := range v.infeasible[shape] {
		if h.Cores <= n.Cores && h.Accel <= n.Accel && h.Mem <= n.Mem {
			return true
		}
	}
	return false
}

// recordInfeasible keeps what was looked for in vain, unless the job's own places or failures
// may be the reason.
func (v *preemptibleTasks) recordInfeasible(j *Job, shape preemptionKey) {
	if len(j.Avoid) > 0 || j.OneZone || j.Spread || len(v.infeasible[shape]) >= maxInfeasible {
		return
	}
	v.infeasible[shape] = append(v.infeasible[shape], j.Need)
}

// youngestOfTeam is the task of the job's team and of lower priority that has held its place for
// the least time, and is not among those to stop already.
func (v *preemptibleTasks) youngestOfTeam(j *Job, but []Stop) (*Machine, RunningTask) {
	v.buildTeamLists()
	var pick *teamTask
	for priority := Lowest; priority < j.Priority; priority++ {
		key := teamPriority{j.Team, priority}
		list := v.byTeam[key]
		for len(list) > 0 && v.stopped[list[0].key()] {
			list = list[1:]
		}
		v.byTeam[key] = list
		for i := range list {
			one := &list[i]
			if pick != nil && !youngerFirst(one, pick) {
				break
			}
			if !v.stopped[one.key()] && !isAmong(but, one.Victim) {
				pick = one
				break
			}
		}
	}
	if pick == nil {
		return nil, RunningTask{}
	}
	return pick.Machine, pick.Victim
}

// Lowest is the lowest priority that a job may have.
const Lowest = 0

func isAmong(list []Stop, h RunningTask) bool {
	return slices.ContainsFunc(list, func(b Stop) bool { return b.Victim.Job == h.Job && b.Victim.Index == h.Index })
}

// teamTask is a running task of a team, numbered in the order of the machines.
type teamTask struct {
	Stop
	number int
}

// youngerFirst says whether one is to be stopped before the other.
func youngerFirst(a, b *teamTask) bool {
	if a.Victim.SinceS != b.Victim.SinceS {
		return a.Victim.SinceS < b.Victim.SinceS
	}
	return a.number < b.number
}

// buildTeamLists draws up the teams' tasks.
func (v *preemptibleTasks) buildTeamLists() {
	if v.byTeam != nil {
		return
	}
	v.byTeam = map[teamPriority][]teamTask{}
	number := 0
	for _, m := range v.snapshot.Machines {
		for _, h := range m.Running {
			number++
			key := teamPriority{h.Job.Team, h.Job.Priority}
			v.byTeam[key] = append(v.byTeam[key], teamTask{Stop{Victim: h, Machine: m}, number})
		}
	}
	for _, list := range v.byTeam {
		slices.SortFunc(list, func(a, b teamTask) int {
			return cmp.Or(cmp.Compare(a.Victim.SinceS, b.Victim.SinceS), cmp.Compare(a.number, b.number))
		})
	}
}

// runningGangs lists the tasks of each gang that runs.
func (v *preemptibleTasks) runningGangs() map[*Job][]Stop {
	if v.gangs != nil {
		return v.gangs
	}
	v.gangs = map[*Job][]Stop{}
	for _, m := range v.snapshot.Machines {
		for _, h := range m.Running {
			if h.Job.Gang {
				v.gangs[h.Job] = append(v.gangs[h.Job], Stop{Victim: h, Machine: m})
			}
		}
	}
	return v.gangs
}

// preemptionCosts are the machines on which tasks could stop for one task of a job, by zone and
// by what that costs. Between two versions of the victims room only becomes less and costs only
// rise, so that the cheapest is found by a new look at the first ones.
type preemptionCosts struct {
	zones      map[string]*costHeap
	version    int
	guaranteed bool // the task was within its team's guarantee
	// roomForLess: somewhere nothing has to stop, and the machine takes no more tasks all the
	// same. For a larger task something would have to, and leave.
	roomForLess bool
}

// costHeap has the cheapest machine first, and of equal ones the first in the snapshot.
type costHeap []machineCost

type machineCost struct {
	machine *Machine
	cost    float64
	free    Need // for which the cost was worked out
}

// Len is part of heap.Interface.
func (h costHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h costHeap) Less(a, b int) bool { return h[a].before(&h[b]) }

func (c *machineCost) before(o *machineCost) bool {
	if c.cost != o.cost {
		return c.cost < o.cost
	}
	return c.machine.position < o.machine.position
}

// Swap is part of heap.Interface.
func (h costHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push is part of heap.Interface.
func (h *costHeap) Push(x any) { *h = append(*h, x.(machineCost)) }

// Pop is part of heap.Interface.
func (h *costHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// sharedCostsKey is what decides which tasks may be stopped for a replica, and where. All that gives
// way to a replica for its priority ranks after it, and so does what batches of other teams
// have been lent; so its own rank does not matter, and jobs that are alike share their candidates.
type sharedCostsKey struct {
	need                Need
	types, zone, lentTo string
	spot, guaranteed    bool
	priority            int
}

// sharedCostsKey is false if the job has to look for itself.
func (j *Job) sharedCostsKey(guaranteed bool) (sharedCostsKey, bool) {
	if !j.Service || len(j.Avoid) > 0 || guaranteed && j.Patient {
		return sharedCostsKey{}, false
	}
	key := sharedCostsKey{need: j.Need, types: j.typeNames(), zone: j.Zone, spot: j.Spot, guaranteed: guaranteed, priority: j.Priority}
	if guaranteed {
		key.lentTo = j.Team
	}
	return key, true
}

// cheapestPreemption finds the machine on which room for one task costs least.
func (s *Snapshot) cheapestPreemption(j *Job, guaranteed bool, kept **preemptionCosts) (*Machine, []RunningTask) {
	if !s.preemptible.anyFor(j, guaranteed) {
		return nil, nil
	}
	c := *kept
	if c == nil || c.version != s.preemptible.version || c.guaranteed != guaranteed {
		shape := j.preemptionKey(guaranteed)
		if s.preemptible.isInfeasible(shape, j.Need) {
			return nil, nil
		}
		c = s.costsFor(j, guaranteed)
		if *kept = c; len(c.zones) == 0 && !c.roomForLess {
			s.preemptible.recordInfeasible(j, shape)
		}
	}
	var cheapest *machineCost
	for zone, h := range c.zones {
		if !j.ZoneOpen(zone) {
			continue
		}
		if first := s.cheapestOf(j, guaranteed, h); first != nil && (cheapest == nil || first.before(cheapest)) {
			cheapest = first
		}
	}
	if cheapest == nil {
		return nil, nil
	}
	set, _, _ := s.preemptionOn(j, cheapest.machine, guaranteed, true)
	return cheapest.machine, set
}

// cheapestOf is the cheapest machine of a zone, worked out anew if it has less room than
// before; nil: there is none.
func (s *Snapshot) cheapestOf(j *Job, guaranteed bool, h *costHeap) *machineCost {
	for len(*h) > 0 {
		first := &(*h)[0]
		switch m := first.machine; {
		case m.ReservedFor != "":
			heap.Pop(h)
		case first.free == m.Free:
			return first
		default:
			_, cost, possible := s.preemptionOn(j, m, guaranteed, false)
			if !possible {
				heap.Pop(h)
				continue
			}
			first.cost, first.free = cost, m.Free
			heap.Fix(h, 0)
		}
	}
	return nil
}

// costsFor works out what each machine costs, or takes what was worked out for
// another job like this one.
func (s *Snapshot) costsFor(j *Job, guaranteed bool) *preemptionCosts {
	key, shared := j.sharedCostsKey(guaranteed)
	if shared {
		if c := s.preemptible.sharedCosts[key]; c != nil && c.version == s.preemptible.version {
			return c
		}
	}
	c := &preemptionCosts{zones: map[string]*costHeap{}, version: s.preemptible.version, guaranteed: guaranteed}
	s.taskMachinesExamined += len(s.Machines)
	for _, m := range s.Machines {
		if m.Booting || m.ReservedFor != "" || len(m.Running) == 0 || !j.Need.Fits(m.Type.Size) ||
			!j.AllowedOn(m.Type.Name, m.Zone, m.Spot) || j.Avoid[m.ID] {
			continue
		}
		if _, cost, possible := s.preemptionOn(j, m, guaranteed, false); possible {
			if c.zones[m.Zone] == nil {
				c.zones[m.Zone] = &costHeap{}
			}
			*c.zones[m.Zone] = append(*c.zones[m.Zone], machineCost{m, cost, m.Free})
		} else if j.Need.Fits(m.Free) {
			c.roomForLess = true
		}
	}
	for _, h := range c.zones {
		heap.Init(h)
	}
	if shared {
		s.preemptible.sharedCosts[key] = c
	}
	return c
}

// preemptionOn works out what has to stop on a machine for one task of the job: the set, if that
// is wanted, and its cost.
func (s *Snapshot) preemptionOn(j *Job, m *Machine, guaranteed, wantSet bool) (set []RunningTask, cost float64, possible bool) {
	free, stops := m.Free, 0
	for _, h := range s.preemptible.on(m) {
		if j.Need.Fits(free) {
			break
		}
		if !s.isPreemptible(h.Job, j, guaranteed) {
			continue
		}
		stops++
		free = free.Plus(h.Job.Need)
		cost += stopCost(h, m)
		if wantSet {
			set = append(set, h)
		}
	}
	return set, cost, stops > 0 && j.Need.Fits(free)
}
