package scheduler

import (
	"cmp"
	"slices"
)

// Stop is a task to stop, to make room for another job.
type Stop struct {
	Victim  RunningTask
	Machine *Machine // of the victim
	For     *Job
}

// Reservation is room on a machine that is kept for tasks of a job until they start there.
type Reservation struct {
	Job     *Job
	Machine *Machine
	Tasks   int
}

// Preemption is what a round stops, and the room it keeps for those it does so for.
type Preemption struct {
	Stops        []Stop
	Reservations []Reservation
}

// Stops are a round's: for tasks that wait within their slots and found no
// room, lower-ranked tasks give way, as far as "Preemption" lets them.
// Jobs that searched names are not looked at: those were, in vain, by rounds whose work was
// bounded. What this one looks at in vain is added; once all have been, the map is emptied.
func (s *Snapshot) Stops(most int, searched map[string]bool) Preemption {
	s.useIndex()
	Order(s.Jobs)
	for i, j := range s.Jobs {
		j.rankPosition = i
	}
	var out Preemption
	if !slices.ContainsFunc(s.Jobs, (*Job).wantsPreemption) {
		return out
	}
	s.preemptible = newPreemptibleTasks(s)
	none := infeasibleGangs{}
	s.gangMachinesExamined, s.taskMachinesExamined = 0, 0
	for _, j := range s.Jobs {
		switch {
		case len(out.Stops) >= most:
			clear(searched)
			return out // nothing more can come of it
		case j.Headroom, searched[j.ID]:
		case j.Reserved > 0:
			// What was stopped for this job before is still on its way out.
		case j.Gang:
			s.preemptForGang(j, &out, most, none)
		case s.taskMachinesExamined > maxTaskMachinesExamined:
			return out
		default:
			if s.preemptForTasks(j, &out, most); len(j.Waiting) > 0 {
				searched[j.ID] = true
			}
		}
	}
	clear(searched)
	return out
}

// maxTaskMachinesExamined bounds what one round looks at for single tasks, in machines: a leader of thousands
// must renew its lease meanwhile. What is left comes with the next round.
const maxTaskMachinesExamined = 200_000

// wantsPreemption says whether any of its waiting tasks is worth a stop.
func (j *Job) wantsPreemption() bool {
	return len(j.Waiting) > 0 && !j.Headroom && j.Reserved == 0 && (j.Service || j.Gang || j.Held < j.Slots)
}

// preemptForTasks makes room for the waiting tasks of a job that it has slots for, one
// after the other.
func (s *Snapshot) preemptForTasks(j *Job, out *Preemption, most int) {
	held := j.Held
	var candidates *preemptionCosts
	for len(j.Waiting) > 0 && (j.Service || held < j.Slots) {
		m, set := s.preemptionForTask(j, &candidates)
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
			s.machineChanged(m)
			out.Reservations = append(out.Reservations, Reservation{Job: j, Machine: m, Tasks: 1})
		}
	}
}

// preemptionForTask finds a machine for one task of the job and all that must stop for
// it, for room and for the team's limit alike: all of it or nothing, as stops
// that don't lead to a start only cost work.
func (s *Snapshot) preemptionForTask(j *Job, candidates **preemptionCosts) (*Machine, []Stop) {
	team := s.Quotas[j.Team]
	var set []Stop
	m := s.bestMachine(j)
	if m == nil {
		var victims []RunningTask
		if m, victims = s.cheapestPreemption(j, team.WithinGuarantee(j.Need), candidates); m == nil {
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
	for !after.WithinMaximum(j.Need) {
		on, v := s.preemptible.youngestOfTeam(j, set)
		if on == nil {
			return nil, nil
		}
		set = append(set, Stop{Victim: v, Machine: on})
		after.Used = after.Used.Minus(v.Job.Need)
	}
	return m, set
}

// stop takes a task off a machine.
func (s *Snapshot) stop(m *Machine, v RunningTask, j *Job) Stop {
	m.Free = m.Free.Plus(v.Job.Need)
	s.withRoom = [2][]*Machine{}
	s.machineChanged(m)
	team := s.Quotas[v.Job.Team]
	beyond, extra := team != nil && team.ExceedsGuarantee(), v.Job.Held > v.Job.Slots
	if team != nil {
		team.Used = team.Used.Minus(v.Job.Need)
	}
	if v.Job.InZone != nil { // left out of jobs that nothing waits of
		v.Job.InZone[m.Zone]--
	}
	v.Job.Held--
	m.Running = remove(m.Running, v)
	if s.preemptible != nil {
		s.preemptible.taskStopped(m, v, j, beyond != (team != nil && team.ExceedsGuarantee()) || extra != (v.Job.Held > v.Job.Slots) || v.Job.Gang)
	}
	return Stop{Victim: v, Machine: m, For: j}
}

func remove(list []RunningTask, v RunningTask) []RunningTask {
	var out []RunningTask
	for _, h := range list {
		if h.Job != v.Job || h.Index != v.Index {
			out = append(out, h)
		}
	}
	return out
}

// isPreemptible says whether a victim's tasks may be stopped for a job: by "Preemption", and
// as it ranks after the job or has more than its slots.
func (s *Snapshot) isPreemptible(victim, j *Job, guaranteed bool) bool {
	if victim.Priority >= j.Priority {
		// One replica for another is no gain, and the stopped one fetches its image
		// anew; a machine may be on its way.
		if !guaranteed || victim.Team == j.Team || victim.Service && !j.Patient {
			return false
		}
		if team := s.Quotas[victim.Team]; team == nil || !team.ExceedsGuarantee() {
			return false
		}
	}
	return victim.rankPosition > j.rankPosition || !victim.Service && victim.Held > victim.Slots
}

// sortPreemptible puts first what costs least to stop: replicas last, gangs before them as
// they stop whole, and the youngest of each.
func sortPreemptible(list []RunningTask) {
	if len(list) < 2 {
		return
	}
	slices.SortStableFunc(list, func(x, y RunningTask) int {
		return cmp.Or(compareBool(x.Job.Service, y.Job.Service), compareBool(x.Job.Gang, y.Job.Gang), cmp.Compare(x.SinceS, y.SinceS))
	})
}

// compareBool puts false first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
