// Package sched decides what runs where: GREEN's order (see docs/design.md),
// filling, the stops of a round, and which machines to rent. All of it is pure:
// a snapshot goes in, decisions come out, and the same snapshot always gives
// the same decisions.
package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
)

// Need is an amount of a machine's resources.
type Need struct{ Cores, Accel, Mem float64 }

const eps = 1e-6

// Fits says whether n is covered by free.
func (n Need) Fits(free Need) bool {
	return n.Cores <= free.Cores+eps && n.Accel <= free.Accel+eps && n.Mem <= free.Mem+eps
}

// Plus and Minus add and subtract.
func (n Need) Plus(o Need) Need { return Need{n.Cores + o.Cores, n.Accel + o.Accel, n.Mem + o.Mem} }

// Minus subtracts.
func (n Need) Minus(o Need) Need { return Need{n.Cores - o.Cores, n.Accel - o.Accel, n.Mem - o.Mem} }

// Times multiplies.
func (n Need) Times(k float64) Need { return Need{n.Cores * k, n.Accel * k, n.Mem * k} }

// Type is a machine type as the planner needs it.
type Type struct {
	Name             string
	Size             Need
	Price, SpotPrice float64
	Zones            []string
	BootS            float64
	FetchGBPerS      float64
}

// Machine is a machine with its free room. Booting ones are whole.
type Machine struct {
	ID   string
	Type *Type
	Zone string
	Spot bool
	Free Need
	Room int // further tasks that its record can hold
	// For names the job that tasks were stopped for here: nobody else may take
	// the room meanwhile, or the stops would be made again at each round.
	For      string
	Images   map[string]bool
	Fetching map[string]bool
	Booting  bool
	Used     bool // holds or was given something
	Running  []Held
}

// Held is a task on a machine, as a candidate for being stopped.
type Held struct {
	Job    *Job
	Index  int
	SinceS float64 // for how long
}

// Job is a job with the tasks that wait.
type Job struct {
	ID, Class, Team, Image string
	ImageGB, AimS          float64 // AimS: the users' shortest aim for a start, 0: none
	Service                bool
	Gang                   bool // all its tasks are placed, or none
	Priority               int
	Submitted              int64
	Need                   Need
	Spot                   bool
	SaveS                  float64         // time to save when stopped
	Types                  map[string]bool // nil: any
	Zone                   string
	OneZone, Spread        bool
	Tasks                  int
	Waiting                []int
	InZone                 map[string]int
	Held                   int
	Upper                  bool
	Slots                  int
	Attained, Degradation  float64
	Phantom                bool
	// LeftS is the time left until its deadline, infinite if it has none; Late:
	// it can't be met any more.
	LeftS float64
	Late  bool
	// Resume is how many of the waiting tasks, listed first, ran before and were
	// interrupted by their machine's end rather than by rank.
	Resume int
	// Claims is for how many of its tasks others were stopped and have not all
	// gone yet.
	Claims int
	// Patient: it has waited so long that no rented machine will come.
	Patient bool
	// Starved: it has had no task anywhere for longer than a boot.
	Starved bool
}

// Rank is attained service over degradation: the least goes first.
func (j *Job) Rank() float64 { return j.Attained / j.Degradation }

// Team is a team's guarantee, limit and use. Zero in Guarantee or Limit: none.
// Kept is what its batches leave of the limit for services that arrive before a
// round could stop one of them.
type Team struct{ Guarantee, Limit, Used, Kept Need }

func within(used, bound Need, unbounded bool) bool {
	ok := func(u, b float64) bool { return (unbounded && b == 0) || u <= b+eps }
	return ok(used.Cores, bound.Cores) && ok(used.Accel, bound.Accel)
}

// InLimit says whether the team may use n more.
func (t *Team) InLimit(n Need) bool { return within(t.Used.Plus(n), t.Limit, true) }

// Takes says whether the team may use what a task of the job needs.
func (t *Team) Takes(j *Job) bool {
	if j.Service {
		return t.InLimit(j.Need)
	}
	return t.InLimit(j.Need.Plus(t.Kept))
}

// HasGuarantee says whether anything is guaranteed to the team.
func (t *Team) HasGuarantee() bool { return t.Guarantee.Cores > 0 || t.Guarantee.Accel > 0 }

// InGuarantee says whether n more stays within the guarantee.
func (t *Team) InGuarantee(n Need) bool {
	return t.HasGuarantee() && within(t.Used.Plus(n), t.Guarantee, true)
}

// Beyond says whether the team now uses more than its guarantee.
func (t *Team) Beyond() bool { return !t.HasGuarantee() || !within(t.Used, t.Guarantee, true) }

// Snapshot is what the decisions are made from. Decisions update it.
type Snapshot struct {
	Machines []*Machine
	Jobs     []*Job
	Teams    map[string]*Team
	UpperCap float64 // share of the fleet
	// Moving: replicas are on their way from one machine to others, whose room
	// batches must not take meanwhile.
	Moving bool
	// Open says whether a pool can be rented from, as far as known; nil: no.
	Open     func(Pool) bool
	Capacity Need // of ready machines
	Looked   int  // machines looked at so far: the work done, in place of a time
	// spare are the machines with any room: with cores, and with accelerators.
	// Most of a busy fleet is full. Nil: to be found anew.
	spare [2][]*Machine
	// kept is how much room for expected tasks there is, once Emptied asked.
	kept      int
	keptKnown bool
}

// Placement is a task to start.
type Placement struct {
	Job     *Job
	Index   int
	Machine *Machine
}

// Order sorts by rank: services first (by priority, then age), then the room
// kept for expected ones, then the upper queue first come first served, then
// the lower queue by Rank.
func Order(jobs []*Job) {
	class := func(j *Job) int {
		switch {
		case j.Service && !j.Phantom:
			return 0
		case j.Phantom:
			return 1
		case j.Upper:
			return 2
		}
		return 3
	}
	sort.SliceStable(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		if cx, cy := class(x), class(y); cx != cy {
			return cx < cy
		}
		if x.Service && x.Priority != y.Priority {
			return x.Priority > y.Priority
		}
		if !x.Service && !x.Upper && x.Rank() != y.Rank() {
			return x.Rank() < y.Rank()
		}
		if x.Submitted != y.Submitted {
			return x.Submitted < y.Submitted
		}
		return x.ID < y.ID
	})
}

// Share is the part of a whole that n takes: accelerators where there are any.
func Share(n, whole Need) float64 {
	if n.Accel > 0 {
		return n.Accel / math.Max(whole.Accel, n.Accel)
	}
	return n.Cores / math.Max(whole.Cores, math.Max(n.Cores, eps))
}

// Fill starts waiting tasks in rank order: services, those within their team's
// guarantee first; then the room kept for expected ones; then batches, first
// within guarantees, then within slots (the upper queue under its cap), then
// what was interrupted, then whatever room is spare.
func (s *Snapshot) Fill() []Placement {
	Order(s.Jobs)
	var out []Placement
	for _, guaranteed := range []bool{true, false} {
		for _, j := range s.Jobs {
			if j.Service && !j.Phantom {
				out = s.place(out, j, func(t *Team) bool { return !guaranteed || t.InGuarantee(j.Need) })
			}
		}
	}
	// Room kept for what may come, or left of a limit, is no reason for a batch to
	// go without a single task for as long as there is no other.
	for _, j := range s.Jobs {
		if t := s.Teams[j.Team]; j.Starved && !j.Service && !j.Gang && j.Held == 0 && len(j.Waiting) > 0 && t != nil && t.InLimit(j.Need) {
			if m := s.best(j); m != nil {
				out = append(out, Placement{j, j.Waiting[0], m})
				s.take(j, m)
			}
		}
	}
	out = s.feedGangs(out)
	for _, j := range s.Jobs {
		if j.Phantom {
			s.reserve(j)
		}
		if t := s.Teams[j.Team]; t != nil {
			// Freed for it, not for the team's batches.
			t.Used = t.Used.Plus(j.Need.Times(float64(min(j.Claims, len(j.Waiting)))))
		}
	}
	if s.Moving {
		return out
	}
	for pass := range 4 {
		upper := 0.0
		if pass == 2 {
			// Beyond slots the upper queue has no precedence: its cap has been
			// used up in the pass before.
			// Jobs with a deadline go by the time they have left, and those that
			// can't meet theirs go last: least attained service spreads a full
			// team's limit over all its jobs, and then all of them are late.
			sort.SliceStable(s.Jobs, func(a, b int) bool {
				x, y := s.Jobs[a], s.Jobs[b]
				if x.Late != y.Late {
					return y.Late
				}
				if x.LeftS != y.LeftS {
					return x.LeftS < y.LeftS
				}
				return x.Rank() < y.Rank()
			})
		}
		for _, j := range s.Jobs {
			if j.Service {
				continue
			}
			if j.Gang {
				if pass < 2 {
					out = s.placeGang(out, j, func(t *Team, whole Need) bool {
						return t.InLimit(whole.Plus(t.Kept)) && (pass == 1 || t.InGuarantee(whole))
					})
				}
				continue
			}
			if j.Upper && pass == 1 {
				upper += Share(j.Need, s.Capacity) * float64(min(j.Slots, j.Tasks))
			}
			out = s.place(out, j, func(t *Team) bool {
				switch pass {
				case 0:
					return t.InGuarantee(j.Need)
				case 2:
					// What a machine's end took had been decided by rank, and goes
					// on before new tasks take the room: large jobs have attained
					// most, and each of their interrupted tasks waited for a boot.
					return j.Resume > 0
				case 1:
					return j.Held < j.Slots && (!j.Upper || upper <= s.UpperCap || j.Held == 0)
				}
				return true
			})
		}
	}
	return out
}

// place starts a job's tasks while its team's limit, the given condition and
// the room allow.
func (s *Snapshot) place(out []Placement, j *Job, may func(*Team) bool) []Placement {
	team := s.Teams[j.Team]
	for len(j.Waiting) > 0 && team.Takes(j) && may(team) {
		m := s.best(j)
		if m == nil {
			break
		}
		out = append(out, Placement{j, j.Waiting[0], m})
		s.take(j, m)
	}
	return out
}

// feedGangs places gangs that have waited for longer than a boot, the oldest first.
// What there is of the room for one that does not fit is held back from all others:
// small jobs would take it again and again. Nothing of that outlives the snapshot,
// so gangs can't block one another.
func (s *Snapshot) feedGangs(out []Placement) []Placement {
	var starved []*Job
	for _, j := range s.Jobs {
		if j.Gang && j.Starved && len(j.Waiting) > 0 {
			starved = append(starved, j)
		}
	}
	slices.SortStableFunc(starved, func(a, b *Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	inLimit := func(t *Team, whole Need) bool { return t.InLimit(whole) }
	for _, j := range starved {
		if t := s.Teams[j.Team]; t == nil || !t.InLimit(j.Need.Times(float64(len(j.Waiting)))) {
			continue // its team's own work has to end first
		}
		before := len(out)
		if out = s.placeGang(out, j, inLimit); len(out) == before && s.holds(j) {
			s.reserve(j)
			j.Waiting = nil
		}
	}
	return out
}

// holds says whether the machines there are could hold the whole gang if they were
// empty. What they can't hold waits for rentals, and must not keep room from others.
func (s *Snapshot) holds(j *Job) bool {
	room, all := map[string]float64{}, 0.0
	for _, m := range s.Machines {
		if j.AllowedOn(m.Type.Name, m.Zone, m.Spot) && j.Need.Fits(m.Type.Size) {
			n := perMachine(j.Need, m.Type.Size)
			room[m.Zone] += n
			all += n
		}
	}
	most := 0.0
	for _, n := range room {
		most = max(most, n)
	}
	switch tasks := float64(len(j.Waiting)); {
	case j.Spread:
		return len(room) > 1 && all >= 2*tasks
	case j.OneZone:
		return most >= tasks
	default:
		return all >= tasks
	}
}

// placeGang starts all tasks of a gang, or none: in one zone after the other if
// they must be together, as the best place for the first may have no room for all.
func (s *Snapshot) placeGang(out []Placement, j *Job, may func(*Team, Need) bool) []Placement {
	team := s.Teams[j.Team]
	if len(j.Waiting) == 0 || team == nil || !may(team, j.Need.Times(float64(len(j.Waiting)))) {
		return out
	}
	if !j.OneZone || j.Zone != "" {
		got, _ := s.tryGang(j)
		return append(out, got...)
	}
	defer func() { j.Zone = "" }()
	for _, j.Zone = range s.zonesFor(j) {
		if got, ok := s.tryGang(j); ok {
			return append(out, got...)
		}
	}
	return out
}

// tryGang places all waiting tasks of a gang, or takes everything back.
func (s *Snapshot) tryGang(j *Job) ([]Placement, bool) {
	var out []Placement
	waiting, held := j.Waiting, j.Held
	type before struct {
		m        *Machine
		used     bool
		fetching bool
	}
	var undo []before
	for len(j.Waiting) > 0 {
		m := s.best(j)
		if m == nil {
			for _, b := range slices.Backward(undo) {
				b.m.Free, b.m.Used = b.m.Free.Plus(j.Need), b.used
				b.m.Room++
				if !b.fetching {
					delete(b.m.Fetching, j.Image)
				}
				j.InZone[b.m.Zone]--
				if t := s.Teams[j.Team]; t != nil {
					t.Used = t.Used.Minus(j.Need)
				}
			}
			j.Waiting, j.Held = waiting, held
			return nil, false
		}
		undo = append(undo, before{m, m.Used, m.Fetching[j.Image]})
		out = append(out, Placement{j, j.Waiting[0], m})
		s.take(j, m)
	}
	return out, true
}

// zonesFor lists the zones that may hold the whole gang, those with the most room
// for it first.
func (s *Snapshot) zonesFor(j *Job) []string {
	room := map[string]int{}
	for _, m := range s.Machines {
		if (m.For == "" || m.For == j.ID) && j.AllowedOn(m.Type.Name, m.Zone, m.Spot) {
			if n := min(perMachine(j.Need, m.Free), float64(m.Room)); n >= 1 {
				room[m.Zone] += int(min(n, 1e6))
			}
		}
	}
	zones := slices.Sorted(maps.Keys(room))
	zones = slices.DeleteFunc(zones, func(z string) bool { return room[z] < len(j.Waiting) })
	slices.SortStableFunc(zones, func(a, b string) int { return room[b] - room[a] })
	return zones
}

// Dear says whether a machine costs at least what the fleet's machines do on
// average. Where all types cost the same all are dear: sums of like prices round
// up or down, which once kept a fleet of one type from being emptied at all.
func (s *Snapshot) Dear(m *Machine) bool {
	total := 0.0
	for _, o := range s.Machines {
		total += o.Type.Price
	}
	return m.Type.Price*float64(len(s.Machines)) >= 0.999*total
}

// Emptied is the snapshot after a machine's tasks have been moved at next to no
// cost: to machines in use that have the replicas' images, leaving as much of the room
// for expected tasks as there was. Nil: that can't be done.
func (s *Snapshot) Emptied(id string, moved []*Job, expected func() []*Job) *Snapshot {
	kept := func(s *Snapshot) int {
		n := 0
		for _, j := range expected() {
			n += len(j.Waiting)
			s.reserve(j)
			n -= len(j.Waiting)
		}
		return n
	}
	rest := s.clone(id)
	s.Looked += len(rest.Machines) * (len(moved) + 1)
	for _, j := range moved {
		var pick *Machine
		for _, m := range rest.Machines {
			if m.Used && m.For == "" && m.Room > 0 && (!j.Service || j.Image == "" || m.Images[j.Image]) && j.Need.Fits(m.Free) &&
				j.AllowedOn(m.Type.Name, m.Zone, m.Spot) && j.ZoneOpen(m.Zone) &&
				(pick == nil || rest.score(j, m) < rest.score(j, pick)) {
				pick = m
			}
		}
		if pick == nil {
			return nil
		}
		rest.take(j, pick)
	}
	if !s.keptKnown {
		s.kept, s.keptKnown = kept(s.clone("")), true
	}
	if rest.kept = kept(rest.clone("")); rest.kept < s.kept {
		return nil
	}
	rest.keptKnown, rest.Looked = true, s.Looked
	return rest
}

// clone copies what placing changes, without the named machine.
func (s *Snapshot) clone(without string) *Snapshot {
	out := &Snapshot{UpperCap: s.UpperCap, Capacity: s.Capacity, Teams: map[string]*Team{}}
	for _, m := range s.Machines {
		if m.ID != without {
			c := *m
			c.Fetching = maps.Clone(m.Fetching)
			out.Machines = append(out.Machines, &c)
		}
	}
	return out
}

// reserve takes room for expected tasks on machines that are up, as far as
// there is any.
func (s *Snapshot) reserve(j *Job) {
	for len(j.Waiting) > 0 {
		m := s.best(j)
		if m == nil {
			return
		}
		used := m.Used
		s.take(j, m)
		m.Used = used
	}
}

func (s *Snapshot) take(j *Job, m *Machine) {
	j.Waiting = j.Waiting[1:]
	j.Resume = max(0, j.Resume-1)
	j.Held++
	if j.InZone == nil {
		j.InZone = map[string]int{}
	}
	j.InZone[m.Zone]++
	if t := s.Teams[j.Team]; t != nil {
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
}

// AllowedOn says whether the job's own words allow this type, zone and kind.
func (j *Job) AllowedOn(typ, zone string, spot bool) bool {
	return (!spot || j.Spot) && (j.Zone == "" || j.Zone == zone) && (j.Types == nil || j.Types[typ])
}

// ZoneOpen says whether one more task may go to the zone, given the others.
func (j *Job) ZoneOpen(zone string) bool {
	if j.OneZone {
		for z, n := range j.InZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Spread || j.InZone[zone] < (j.Tasks+1)/2
}

// roomy lists the machines that may have room. What has filled up since the list
// was made stays in it; whatever frees room or adds a machine drops the list.
func (s *Snapshot) roomy(accel, cores bool) []*Machine {
	k := 0
	if !accel && !cores {
		return s.Machines // memory alone
	}
	if accel {
		k = 1
	}
	if s.spare[k] == nil {
		s.spare[k] = make([]*Machine, 0, len(s.Machines))
		for _, m := range s.Machines {
			if m.Room > 0 && (accel && m.Free.Accel > eps || !accel && m.Free.Cores > eps) {
				s.spare[k] = append(s.spare[k], m)
			}
		}
	}
	return s.spare[k]
}

func (s *Snapshot) best(j *Job) *Machine {
	var pick *Machine
	bestScore := math.Inf(1)
	list := s.roomy(j.Need.Accel > 0, j.Need.Cores > 0)
	s.Looked += len(list)
	for _, m := range list {
		if (m.For != "" && m.For != j.ID) || m.Room <= 0 || !j.Need.Fits(m.Free) || !j.AllowedOn(m.Type.Name, m.Zone, m.Spot) || !j.ZoneOpen(m.Zone) {
			continue
		}
		if sc := s.score(j, m); sc < bestScore {
			pick, bestScore = m, sc
		}
	}
	return pick
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
		// Cores beside accelerators are lent only as far as each free
		// accelerator keeps three quarters of its part of them.
		left := m.Free.Minus(j.Need)
		if left.Cores < 0.75*m.Type.Size.Cores*m.Free.Accel/m.Type.Size.Accel {
			sc += 400
		}
		sc += 30
	}
	left := Share(m.Free.Minus(j.Need), m.Type.Size)
	if j.Need.Accel == 0 {
		left = (m.Free.Cores - j.Need.Cores) / math.Max(m.Type.Size.Cores, eps)
	}
	sc += 25 * left
	if !m.Used {
		sc += 15
	}
	return sc
}

// fetchWeight is how much a missing image matters on a type: its fetch by the
// time that the users give a start. Small images on slow machines miss an aim of
// a second, while a dearer machine has them at once.
func (j *Job) fetchWeight(t *Type) float64 {
	if j.AimS <= 0 || t.FetchGBPerS <= 0 {
		return 1
	}
	return min(4, max(0.25, j.ImageGB/t.FetchGBPerS/j.AimS))
}

// Stop is a task to stop, to make room for another job.
type Stop struct {
	Victim  Held
	Machine *Machine // of the victim
	For     *Job
	Target  *Machine // where the job is to start
	First   bool     // of those for one task
}

// Stops are a round's: for tasks that wait within their slots and found no
// room, lower-ranked tasks give way, as far as "Preemption" lets them.
func (s *Snapshot) Stops(maxStops int) []Stop {
	Order(s.Jobs)
	pos := map[*Job]int{}
	for i, j := range s.Jobs {
		pos[j] = i
	}
	var out []Stop
	for _, j := range s.Jobs {
		if j.Phantom || j.Gang {
			continue
		}
		// What was stopped for this job before is still on its way out.
		if j.Claims > 0 {
			continue
		}
		held := j.Held
		for len(j.Waiting) > 0 && (j.Service || held < j.Slots) {
			m, set := s.stopsFor(j, pos)
			if m == nil || len(out)+len(set) > maxStops {
				break
			}
			for i, v := range set {
				st := s.stop(v.Machine, v.Victim, j)
				st.Target, st.First = m, i == 0
				out = append(out, st)
			}
			s.take(j, m)
			held++
			if len(set) > 0 {
				m.For = j.ID // nobody else's stops may count on it
			}
		}
	}
	return out
}

// stopsFor finds a machine for one task of the job and all that must stop for
// it, for room and for the team's limit alike: all of it or nothing, as stops
// that don't lead to a start only cost work.
func (s *Snapshot) stopsFor(j *Job, pos map[*Job]int) (*Machine, []Stop) {
	team := s.Teams[j.Team]
	var set []Stop
	m := s.best(j)
	if m == nil {
		var victims []Held
		if m, victims = s.cheapestStops(j, team.InGuarantee(j.Need), pos); m == nil {
			return nil, nil
		}
		for _, v := range victims {
			set = append(set, Stop{Victim: v, Machine: m})
		}
	}
	after := *team
	for _, v := range set {
		if v.Victim.Job.Team == j.Team {
			after.Used = after.Used.Minus(v.Victim.Job.Need)
		}
	}
	for !after.InLimit(j.Need) {
		on, v := s.youngest(j, set)
		if on == nil {
			return nil, nil
		}
		set = append(set, Stop{Victim: v, Machine: on})
		after.Used = after.Used.Minus(v.Job.Need)
	}
	return m, set
}

func (s *Snapshot) stop(m *Machine, v Held, j *Job) Stop {
	m.Free = m.Free.Plus(v.Job.Need)
	s.spare = [2][]*Machine{}
	if t := s.Teams[v.Job.Team]; t != nil {
		t.Used = t.Used.Minus(v.Job.Need)
	}
	v.Job.InZone[m.Zone]--
	v.Job.Held--
	m.Running = remove(m.Running, v)
	return Stop{Victim: v, Machine: m, For: j}
}

// youngest is the task of the job's team and of lower priority that has held
// its place for the least time, and is not among those to stop already.
func (s *Snapshot) youngest(j *Job, but []Stop) (*Machine, Held) {
	var pick *Machine
	var held Held
	for _, m := range s.Machines {
		for _, h := range m.Running {
			if h.Job.Team != j.Team || h.Job.Priority >= j.Priority || (pick != nil && h.SinceS >= held.SinceS) ||
				slices.ContainsFunc(but, func(b Stop) bool { return b.Victim.Job == h.Job && b.Victim.Index == h.Index }) {
				continue
			}
			pick, held = m, h
		}
	}
	return pick, held
}

func remove(list []Held, v Held) []Held {
	var out []Held
	for _, h := range list {
		if h.Job != v.Job || h.Index != v.Index {
			out = append(out, h)
		}
	}
	return out
}

func (s *Snapshot) cheapestStops(j *Job, guaranteed bool, pos map[*Job]int) (*Machine, []Held) {
	var pick *Machine
	var chosen []Held
	cheapest := math.Inf(1)
	for _, m := range s.Machines {
		if m.Booting || m.For != "" || !j.Need.Fits(m.Type.Size) || !j.AllowedOn(m.Type.Name, m.Zone, m.Spot) || !j.ZoneOpen(m.Zone) {
			continue
		}
		var may []Held
		for _, h := range m.Running {
			v := h.Job
			lower := v.Priority < j.Priority
			lent := guaranteed && v.Team != j.Team && s.Teams[v.Team] != nil && s.Teams[v.Team].Beyond()
			if v.Service && v.Priority >= j.Priority && !j.Patient {
				// One replica for another is no gain, and the stopped one
				// fetches its image anew; a machine may be on its way.
				lent = false
			}
			ranked := pos[v] > pos[j] || (!v.Service && v.Held > v.Slots)
			if (lower || lent) && ranked {
				may = append(may, h)
			}
		}
		sort.SliceStable(may, func(a, b int) bool {
			if may[a].Job.Service != may[b].Job.Service {
				return !may[a].Job.Service
			}
			if may[a].Job.Gang != may[b].Job.Gang {
				return !may[a].Job.Gang // a gang stops whole
			}
			return may[a].SinceS < may[b].SinceS
		})
		free, cost := m.Free, 0.0
		var set []Held
		for _, h := range may {
			if j.Need.Fits(free) {
				break
			}
			set = append(set, h)
			free = free.Plus(h.Job.Need)
			lost := h.SinceS*Share(h.Job.Need, m.Type.Size) + 5
			if h.Job.Gang {
				lost *= float64(h.Job.Held)
			}
			cost += lost
			if h.Job.Service {
				cost += 1000 // a replica outweighs a machine full of batches
			}
		}
		if j.Need.Fits(free) && len(set) > 0 && cost < cheapest {
			pick, chosen, cheapest = m, set, cost
		}
	}
	return pick, chosen
}

// Pool is a type, zone and kind that can be rented.
type Pool struct {
	Type string
	Zone string
	Spot bool
}

// Rental is a number of machines wanted from a pool.
type Rental struct {
	Pool
	Count int
}

// Plan places what still waits on free, booting and, where these don't do, new
// machines. It returns what to rent and marks (Used) the machines that the
// waiting and expected work needs. blocked pools are short.
func (s *Snapshot) Plan(types []*Type, blocked func(Pool) bool, maxNew int) []Rental {
	Order(s.Jobs)
	want := map[Pool]int{}
	var order []Pool
	created := 0
	for ji, j := range s.Jobs {
		if j.Gang && len(j.Waiting) > 0 {
			if t := s.Teams[j.Team]; t == nil || !t.InLimit(j.Need.Times(float64(len(j.Waiting)))) {
				continue
			}
			if s.placeGang(nil, j, func(*Team, Need) bool { return true }) != nil {
				continue
			}
			if j.OneZone && j.Zone == "" {
				// What is missing has to be rented in a zone where that can be done.
				if p, typ := s.cheapestPool(j, s.Jobs[ji:], types, blocked); typ != nil {
					j.Zone = p.Zone
				}
			}
		}
		for len(j.Waiting) > 0 {
			if t := s.Teams[j.Team]; t != nil && !t.Takes(j) && !j.Phantom {
				break
			}
			m := s.best(j)
			if m == nil {
				if created >= maxNew {
					break
				}
				p, typ := s.cheapestPool(j, s.Jobs[ji:], types, blocked)
				if typ == nil {
					break
				}
				m = &Machine{Type: typ, Zone: p.Zone, Spot: p.Spot, Free: typ.Size, Room: 1 << 20, Booting: true}
				s.Machines = append(s.Machines, m)
				s.spare = [2][]*Machine{}
				if want[p] == 0 {
					order = append(order, p)
				}
				want[p]++
				created++
			}
			s.take(j, m)
		}
	}
	var out []Rental
	for _, p := range order {
		out = append(out, Rental{p, want[p]})
	}
	return out
}

func (s *Snapshot) cheapestPool(j *Job, later []*Job, types []*Type, blocked func(Pool) bool) (Pool, *Type) {
	var pick Pool
	var typ *Type
	best := math.Inf(1)
	for _, t := range types {
		if !j.Need.Fits(t.Size) || (j.Types != nil && !j.Types[t.Name]) {
			continue
		}
		fit := perMachine(j.Need, t.Size)
		alike := 0
		for _, o := range later {
			if (o.Need.Accel > 0) == (j.Need.Accel > 0) && (o.Types == nil || o.Types[t.Name]) && o.Need.Fits(t.Size) {
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

func perMachine(n, size Need) float64 {
	k := math.Inf(1)
	for _, p := range [][2]float64{{n.Cores, size.Cores}, {n.Accel, size.Accel}, {n.Mem, size.Mem}} {
		if p[0] > 0 {
			k = math.Min(k, math.Floor(p[1]/p[0]+eps))
		}
	}
	return math.Max(k, 1)
}
