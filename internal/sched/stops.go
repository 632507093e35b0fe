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
