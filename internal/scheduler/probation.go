package scheduler

import "slices"

// placeProbes assigns tasks that found no room to machines on probation: in rank order, one task to each machine.
func (f *filler) placeProbes() {
	s := f.snapshot
	if len(s.Probation) == 0 {
		return
	}
	SortByRank(s.Jobs)
	for _, j := range s.Jobs {
		if j.IsHeadroom || j.Gang || s.Draining && !j.Service && !j.Starved {
			continue
		}
		f.placeProbesOf(j)
	}
}

// placeProbesOf assigns waiting tasks of one job to machines on probation that have not been assigned any.
func (f *filler) placeProbesOf(j *Job) {
	s := f.snapshot
	quota := s.Quotas[j.Team]
	for _, m := range s.Probation {
		if len(j.Waiting) == 0 || quota == nil || !quota.Admits(j) {
			return
		}
		if s.accepts(j, m) {
			f.placements = append(f.placements, Placement{j, j.Waiting[0], m})
			s.assign(j, m)
			m.TaskCapacity = 0
		}
	}
}

// placeGangWithProbation starts all tasks of a gang, or none, with the machines on probation among the others. It is
// for gangs that find no room without these: a probe by a single task can't show more than that the machine works.
func (s *Snapshot) placeGangWithProbation(j *Job, allowed func(quota *Quota, whole Resources) bool) []Placement {
	if len(s.Probation) == 0 || !s.hasRoomWithProbation(j) {
		return nil
	}
	machines, index := s.Machines, s.index
	s.Machines, s.index, s.withRoom = slices.Concat(machines, s.Probation), nil, [2][]*Machine{}
	placed := s.placeGang(j, allowed)
	s.Machines, s.index, s.withRoom = machines, index, [2][]*Machine{}
	for _, p := range placed {
		if p.Machine.OnProbation {
			p.Machine.TaskCapacity = 0
			continue
		}
		s.machineChanged(p.Machine)
	}
	return placed
}

// hasRoomWithProbation reports whether the free resources of all machines may hold the whole gang. It bounds the work
// for gangs that can't be placed.
func (s *Snapshot) hasRoomWithProbation(j *Job) bool {
	room := 0.0
	for _, machines := range [][]*Machine{s.Probation, s.Machines} {
		s.MachinesExamined += len(machines)
		for _, m := range machines {
			if j.MayRunOn(m) {
				room += min(tasksPerMachine(j.Request, m.Free), float64(m.TaskCapacity))
			}
			if room >= float64(len(j.Waiting)) {
				return true
			}
		}
	}
	return false
}
