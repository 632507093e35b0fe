package scheduler

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
	"strings"
)

// victims are the running tasks that a round may stop, in the orders in which they are
// looked for: by machine with what costs least to stop first, and by team and priority with
// the youngest first. They are drawn up once in a round and follow its stops.
type victims struct {
	snapshot *Snapshot
	// byMachine has a machine's tasks as sortVictims puts them, once they were asked for.
	byMachine map[*Machine][]RunningTask
	// byTeam is made when a team's own tasks are first asked for.
	byTeam map[teamPriority][]teamTask
	gone   map[heldTask]bool
	// lowest is the least priority of any running task, lent whether any team uses more
	// than its guarantee.
	lowest int
	lent   map[string]bool
	gangs  map[*Job][]Stop
	// hopeless are shapes of jobs for which no machine has enough to stop.
	hopeless map[stopShape][]Need
	// shared are the candidates of replicas that are alike.
	shared map[sharedKey]*stopCandidates
	// version changes when costs that were worked out before may have become wrong.
	version int
}

type teamPriority struct {
	team     string
	priority int
}

// taskRef is a task on its machine.
type heldTask struct {
	machine *Machine
	job     *Job
	index   int
}

func (s *Stop) key() heldTask { return heldTask{s.Machine, s.Victim.Job, s.Victim.Index} }

// stopShape is what decides which tasks may be stopped for a job, and where, but for its
// need and rank.
type stopShape struct {
	team, zone, types                          string
	priority                                   int
	spot, oneZone, spread, guaranteed, service bool
	patient                                    bool
}

func newVictims(s *Snapshot) *victims {
	v := &victims{snapshot: s, byMachine: map[*Machine][]RunningTask{}, gone: map[heldTask]bool{}, lowest: math.MaxInt,
		lent: map[string]bool{}, hopeless: map[stopShape][]Need{}, shared: map[sharedKey]*stopCandidates{}}
	for _, m := range s.Machines {
		for _, h := range m.Running {
			v.lowest = min(v.lowest, h.Job.Priority)
		}
	}
	for name, team := range s.Quotas {
		if team.ExceedsGuarantee() {
			v.lent[name] = true
		}
	}
	return v
}

// stopped follows a stop. Costs have to be worked out anew if other tasks may be stopped or
// what they cost has changed; room elsewhere than where the job goes may help others.
func (v *victims) stopped(m *Machine, h RunningTask, j *Job, costsChanged bool) {
	delete(v.byMachine, m)
	v.gone[heldTask{m, h.Job, h.Index}] = true
	v.gangs = nil
	if team := v.snapshot.Quotas[h.Job.Team]; team != nil && !team.ExceedsGuarantee() {
		delete(v.lent, h.Job.Team)
	}
	if costsChanged {
		v.version++
	}
	if h.Job.Team == j.Team || h.Job.Gang || j.Gang {
		// It may leave room that the job does not take: stopped for its team's limit, or
		// with all of its gang.
		v.version++
		clear(v.hopeless)
	}
}

// took follows a task that was given its place: its team may use more than its guarantee now,
// or the job have more than its slots, so that its other tasks may be stopped for others.
func (v *victims) took(j *Job) {
	team := v.snapshot.Quotas[j.Team]
	lent := team != nil && !v.lent[j.Team] && team.ExceedsGuarantee()
	if lent {
		v.lent[j.Team] = true
	}
	if lent || !j.Service && j.Held == j.Slots+1 {
		v.version++
		clear(v.hopeless)
	}
}

// on lists a machine's tasks, what costs least to stop first.
func (v *victims) on(m *Machine) []RunningTask {
	list, known := v.byMachine[m]
	if !known {
		list = slices.Clone(m.Running)
		sortVictims(list)
		v.byMachine[m] = list
	}
	return list
}

// possible says whether there may be any task to stop for a job.
func (v *victims) possible(j *Job, guaranteed bool) bool {
	if v.lowest < j.Priority {
		return true
	}
	return guaranteed && (len(v.lent) > 1 || len(v.lent) == 1 && !v.lent[j.Team])
}

// typeNames names the types that the job may use; empty: any.
func (j *Job) typeNames() string {
	if j.Types == nil {
		return ""
	}
	return strings.Join(slices.Sorted(maps.Keys(j.Types)), ",") + ";"
}

func (j *Job) stopShape(guaranteed bool) stopShape {
	return stopShape{team: j.Team, zone: j.Zone, types: j.typeNames(), priority: j.Priority, spot: j.Spot, oneZone: j.OneZone, spread: j.Spread,
		guaranteed: guaranteed, service: j.Service, patient: j.Patient}
}

// isHopeless says whether a job that ranks before this one and differs in nothing else that
// matters found no machine with enough to stop for as little.
func (v *victims) isHopeless(shape stopShape, n Need) bool {
	for _, h := range v.hopeless[shape] {
		if h.Cores <= n.Cores && h.Accel <= n.Accel && h.Mem <= n.Mem {
			return true
		}
	}
	return false
}

// noteHopeless keeps what was looked for in vain, unless the job's own places or failures
// may be the reason.
func (v *victims) noteHopeless(j *Job, shape stopShape) {
	if len(j.Avoid) > 0 || j.OneZone || j.Spread || len(v.hopeless[shape]) >= mostHopeless {
		return
	}
	v.hopeless[shape] = append(v.hopeless[shape], j.Need)
}

// youngest is the task of the job's team and of lower priority that has held its place for
// the least time, and is not among those to stop already.
func (v *victims) youngest(j *Job, but []Stop) (*Machine, RunningTask) {
	v.listTeams()
	var pick *teamTask
	for priority := Lowest; priority < j.Priority; priority++ {
		key := teamPriority{j.Team, priority}
		list := v.byTeam[key]
		for len(list) > 0 && v.gone[list[0].key()] {
			list = list[1:]
		}
		v.byTeam[key] = list
		for i := range list {
			one := &list[i]
			if pick != nil && !youngerFirst(one, pick) {
				break
			}
			if !v.gone[one.key()] && !isAmong(but, one.Victim) {
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

// listTeams draws up the teams' tasks.
func (v *victims) listTeams() {
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
func (v *victims) runningGangs() map[*Job][]Stop {
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

// stopCandidates are the machines on which tasks could stop for one task of a job, by zone and
// by what that costs. Between two versions of the victims room only becomes less and costs only
// rise, so that the cheapest is found by a new look at the first ones.
type stopCandidates struct {
	zones      map[string]*stopHeap
	version    int
	guaranteed bool // the task was within its team's guarantee
	// roomForLess: somewhere nothing has to stop, and the machine takes no more tasks all the
	// same. For a larger task something would have to, and leave.
	roomForLess bool
}

// stopHeap has the cheapest machine first, and of equal ones the first in the snapshot.
type stopHeap []stopCandidate

type stopCandidate struct {
	machine *Machine
	cost    float64
	free    Need // for which the cost was worked out
}

// Len is part of heap.Interface.
func (h stopHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h stopHeap) Less(a, b int) bool { return h[a].before(&h[b]) }

func (c *stopCandidate) before(o *stopCandidate) bool {
	if c.cost != o.cost {
		return c.cost < o.cost
	}
	return c.machine.place < o.machine.place
}

// Swap is part of heap.Interface.
func (h stopHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push is part of heap.Interface.
func (h *stopHeap) Push(x any) { *h = append(*h, x.(stopCandidate)) }

// Pop is part of heap.Interface.
func (h *stopHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// sharedKey is what decides which tasks may be stopped for a replica, and where. All that gives
// way to a replica for its priority ranks after it, and so does what batches of other teams
// have been lent; so its own rank does not matter, and jobs that are alike share their candidates.
type sharedKey struct {
	need                Need
	types, zone, lentTo string
	spot, guaranteed    bool
	priority            int
}

// sharedKeyFor is false if the job has to look for itself.
func (j *Job) sharedKeyFor(guaranteed bool) (sharedKey, bool) {
	if !j.Service || len(j.Avoid) > 0 || guaranteed && j.Patient {
		return sharedKey{}, false
	}
	key := sharedKey{need: j.Need, types: j.typeNames(), zone: j.Zone, spot: j.Spot, guaranteed: guaranteed, priority: j.Priority}
	if guaranteed {
		key.lentTo = j.Team
	}
	return key, true
}

// cheapestStops finds the machine on which room for one task costs least.
func (s *Snapshot) cheapestStops(j *Job, guaranteed bool, kept **stopCandidates) (*Machine, []RunningTask) {
	if !s.victims.possible(j, guaranteed) {
		return nil, nil
	}
	c := *kept
	if c == nil || c.version != s.victims.version || c.guaranteed != guaranteed {
		shape := j.stopShape(guaranteed)
		if s.victims.isHopeless(shape, j.Need) {
			return nil, nil
		}
		c = s.stopCandidatesFor(j, guaranteed)
		if *kept = c; len(c.zones) == 0 && !c.roomForLess {
			s.victims.noteHopeless(j, shape)
		}
	}
	var cheapest *stopCandidate
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
	set, _, _ := s.stopsOn(j, cheapest.machine, guaranteed, true)
	return cheapest.machine, set
}

// cheapestOf is the cheapest machine of a zone, worked out anew if it has less room than
// before; nil: there is none.
func (s *Snapshot) cheapestOf(j *Job, guaranteed bool, h *stopHeap) *stopCandidate {
	for len(*h) > 0 {
		first := &(*h)[0]
		switch m := first.machine; {
		case m.ReservedFor != "":
			heap.Pop(h)
		case first.free == m.Free:
			return first
		default:
			_, cost, possible := s.stopsOn(j, m, guaranteed, false)
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

// stopCandidatesFor works out what each machine costs, or takes what was worked out for
// another job like this one.
func (s *Snapshot) stopCandidatesFor(j *Job, guaranteed bool) *stopCandidates {
	key, shared := j.sharedKeyFor(guaranteed)
	if shared {
		if c := s.victims.shared[key]; c != nil && c.version == s.victims.version {
			return c
		}
	}
	c := &stopCandidates{zones: map[string]*stopHeap{}, version: s.victims.version, guaranteed: guaranteed}
	s.stopsLooked += len(s.Machines)
	for _, m := range s.Machines {
		if m.Booting || m.ReservedFor != "" || len(m.Running) == 0 || !j.Need.Fits(m.Type.Size) ||
			!j.AllowedOn(m.Type.Name, m.Zone, m.Spot) || j.Avoid[m.ID] {
			continue
		}
		if _, cost, possible := s.stopsOn(j, m, guaranteed, false); possible {
			if c.zones[m.Zone] == nil {
				c.zones[m.Zone] = &stopHeap{}
			}
			*c.zones[m.Zone] = append(*c.zones[m.Zone], stopCandidate{m, cost, m.Free})
		} else if j.Need.Fits(m.Free) {
			c.roomForLess = true
		}
	}
	for _, h := range c.zones {
		heap.Init(h)
	}
	if shared {
		s.victims.shared[key] = c
	}
	return c
}

// stopsOn works out what has to stop on a machine for one task of the job: the set, if that
// is wanted, and its cost.
func (s *Snapshot) stopsOn(j *Job, m *Machine, guaranteed, wantSet bool) (set []RunningTask, cost float64, possible bool) {
	free, stops := m.Free, 0
	for _, h := range s.victims.on(m) {
		if j.Need.Fits(free) {
			break
		}
		if !s.givesWay(h.Job, j, guaranteed) {
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
