package sched

import (
	"math"
	"slices"
	"sort"
)

// Stop is a task to stop, to make room for another job.
type Stop struct {
	Victim  Held
	Machine *Machine // of the victim
	For     *Job
}

// Kept is room on a machine that is kept for tasks of a job until they start there.
type Kept struct {
	Job     *Job
	Machine *Machine
	Tasks   int
}

// Preemption is what a round stops, and the room it keeps for those it does so for.
type Preemption struct {
	Stops []Stop
	Kept  []Kept
}

// Stops are a round's: for tasks that wait within their slots and found no
// room, lower-ranked tasks give way, as far as "Preemption" lets them.
func (s *Snapshot) Stops(most int) Preemption {
	Order(s.Jobs)
	rank := map[*Job]int{}
	for i, j := range s.Jobs {
		rank[j] = i
	}
	var out Preemption
	none := hopeless{}
	s.gangLooked = 0
	for _, j := range s.Jobs {
		switch {
		case j.Phantom:
		case j.Claims > 0:
			// What was stopped for this job before is still on its way out.
		case j.Gang:
			s.stopsForGang(j, rank, &out, most, none)
		default:
			s.stopsForTasks(j, rank, &out, most)
		}
	}
	return out
}

// stopsForTasks makes room for the waiting tasks of a job that it has slots for, one
// after the other.
func (s *Snapshot) stopsForTasks(j *Job, rank map[*Job]int, out *Preemption, most int) {
	held := j.Held
	for len(j.Waiting) > 0 && (j.Service || held < j.Slots) {
		m, set := s.stopsFor(j, rank)
		if m == nil || len(out.Stops)+len(set) > most {
			return
		}
		for _, v := range set {
			out.Stops = append(out.Stops, s.stop(v.Machine, v.Victim, j))
		}
		s.take(j, m)
		held++
		if len(set) > 0 {
			m.For = j.ID // nobody else's stops may count on it
			s.changed(m)
			out.Kept = append(out.Kept, Kept{Job: j, Machine: m, Tasks: 1})
		}
	}
}

// stopsFor finds a machine for one task of the job and all that must stop for
// it, for room and for the team's limit alike: all of it or nothing, as stops
// that don't lead to a start only cost work.
func (s *Snapshot) stopsFor(j *Job, rank map[*Job]int) (*Machine, []Stop) {
	team := s.Teams[j.Team]
	var set []Stop
	m := s.best(j)
	if m == nil {
		var victims []Held
		if m, victims = s.cheapestStops(j, team.InGuarantee(j.Need), rank); m == nil {
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
	s.changed(m)
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

// givesWay says whether a victim's tasks may be stopped for a job: by "Preemption", and
// as it ranks after the job or has more than its slots.
func (s *Snapshot) givesWay(victim, j *Job, guaranteed bool, rank map[*Job]int) bool {
	lower := victim.Priority < j.Priority
	team := s.Teams[victim.Team]
	lent := guaranteed && victim.Team != j.Team && team != nil && team.Beyond()
	if victim.Service && !lower && !j.Patient {
		// One replica for another is no gain, and the stopped one fetches its image
		// anew; a machine may be on its way.
		lent = false
	}
	ranked := rank[victim] > rank[j] || (!victim.Service && victim.Held > victim.Slots)
	return (lower || lent) && ranked
}

// sortVictims puts first what costs least to stop: replicas last, gangs before them as
// they stop whole, and the youngest of each.
func sortVictims(list []Held) {
	sort.SliceStable(list, func(a, b int) bool {
		x, y := list[a], list[b]
		switch {
		case x.Job.Service != y.Job.Service:
			return !x.Job.Service
		case x.Job.Gang != y.Job.Gang:
			return !x.Job.Gang
		}
		return x.SinceS < y.SinceS
	})
}

// cheapestStops finds the machine on which room for one task costs least.
func (s *Snapshot) cheapestStops(j *Job, guaranteed bool, rank map[*Job]int) (*Machine, []Held) {
	var pick *Machine
	var chosen []Held
	cheapest := math.Inf(1)
	for _, m := range s.Machines {
		if m.Booting || m.For != "" || !j.Need.Fits(m.Type.Size) || !j.MayRunOn(m) {
			continue
		}
		var may []Held
		for _, h := range m.Running {
			if s.givesWay(h.Job, j, guaranteed, rank) {
				may = append(may, h)
			}
		}
		sortVictims(may)
		free, cost := m.Free, 0.0
		var set []Held
		for _, h := range may {
			if j.Need.Fits(free) {
				break
			}
			set = append(set, h)
			free = free.Plus(h.Job.Need)
			cost += stopCost(h, m)
		}
		if j.Need.Fits(free) && len(set) > 0 && cost < cheapest {
			pick, chosen, cheapest = m, set, cost
		}
	}
	return pick, chosen
}
