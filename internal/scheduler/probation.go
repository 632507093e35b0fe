package scheduler

import (
	"math"
	"slices"
)

// placeProbes assigns tasks that found no room to machines on probation: in rank order, one task of a job to each
// machine.
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

// acceptsProbe reports whether a task of the job may probe the machine.
func (m *Machine) acceptsProbe(j *Job) bool {
	if m.SingleProbe {
		return len(m.ProbingJobs) == 0
	}
	return !m.ProbingJobs[j.ID]
}

// recordProbe records that tasks of the job have been assigned to the machine.
func (m *Machine) recordProbe(j *Job) {
	if m.ProbingJobs == nil {
		m.ProbingJobs = map[string]bool{}
	}
	m.ProbingJobs[j.ID] = true
	if m.SingleProbe {
		m.TaskCapacity = 0
	}
}

// placeProbesOf assigns waiting tasks of one job to machines on probation, one task to each.
func (f *filler) placeProbesOf(j *Job) {
	s := f.snapshot
	quota := s.Quotas[j.Team]
	for _, m := range s.Probation {
		if len(j.Waiting) == 0 || quota == nil || !quota.Admits(j) {
			return
		}
		if m.acceptsProbe(j) && s.accepts(j, m) {
			f.placements = append(f.placements, Placement{j, j.Waiting[0], m})
			s.assign(j, m)
			m.recordProbe(j)
		}
	}
}

// placeGangWithProbation starts all tasks of a gang, or none, with the machines on probation among the others. It is
// for gangs that find no room without these: a probe by a single task can't show more than that the machine works.
func (s *Snapshot) placeGangWithProbation(j *Job, allowed func(quota *Quota, whole Resources) bool) []Placement {
	if len(s.Probation) == 0 || !s.hasRoomWithProbation(j) {
		return nil
	}
	machines := s.Machines
	s.admitProbation()
	placed := s.placeGang(j, allowed)
	for _, m := range s.Probation {
		s.index.remove(m)
	}
	s.Machines, s.withRoom, s.probationAdmitted = machines, [2][]*Machine{}, false
	for _, p := range placed {
		if p.Machine.OnProbation {
			p.Machine.recordProbe(j)
		}
	}
	return placed
}

// admitProbation adds the machines on probation to the list of machines and to the index, after all others.
func (s *Snapshot) admitProbation() {
	s.probationAdmitted = true
	for i, m := range s.Probation {
		m.position = math.MaxInt - len(s.Probation) + i
		s.index.update(m)
	}
	s.Machines, s.withRoom = slices.Concat(s.Machines, s.Probation), [2][]*Machine{}
}

// hasRoomWithProbation reports whether the free resources of all machines may hold the whole gang. It saves the work for
// most gangs that can't be placed.
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
