package scheduler

import (
	"maps"
	"slices"
)

// totalRequest returns the total request of all waiting tasks of the job.
func (j *Job) totalRequest() Resources { return j.Request.Times(float64(len(j.Waiting))) }

// fleetCanHold reports whether the existing machines could hold the whole gang if they were empty. If not, the gang
// waits for machines to be rented and must not reserve room meanwhile.
func (s *Snapshot) fleetCanHold(j *Job) bool {
	tasksByZone, totalTasks := map[string]float64{}, 0.0
	for _, m := range s.Machines {
		if j.AllowedOn(m.Type.Name, m.Zone, m.Spot) && j.Request.Fits(m.Type.Size) {
			n := tasksPerMachine(j.Request, m.Type.Size)
			tasksByZone[m.Zone] += n
			totalTasks += n
		}
	}
	maxTasksInZone := 0.0
	for _, n := range tasksByZone {
		maxTasksInZone = max(maxTasksInZone, n)
	}
	switch tasks := float64(len(j.Waiting)); {
	case j.Spread:
		return len(tasksByZone) > 1 && totalTasks >= 2*tasks
	case j.OneZone:
		return maxTasksInZone >= tasks
	default:
		return totalTasks >= tasks
	}
}

// placeGang starts all tasks of a gang, or none. For a gang that must be in one zone it tries the zones one by one,
// because the best machine for the first task may be in a zone without room for the whole gang.
func (s *Snapshot) placeGang(j *Job, allowed func(quota *Quota, whole Resources) bool) []Placement {
	quota := s.Quotas[j.Team]
	if len(j.Waiting) == 0 || quota == nil || !allowed(quota, j.totalRequest()) {
		return nil
	}
	if !j.OneZone || j.Zone != "" {
		placed, _ := s.tryPlaceGang(j)
		return placed
	}
	defer func() { j.Zone = "" }()
	for _, j.Zone = range s.gangZones(j) {
		if placed, ok := s.tryPlaceGang(j); ok {
			return placed
		}
	}
	return nil
}

// gangAssignment records the state of a machine before a task of a gang was assigned to it, for unassign to restore.
type gangAssignment struct {
	machine     *Machine
	wasUsed     bool
	wasFetching bool
}

// tryPlaceGang places all waiting tasks of a gang. If one finds no room, it reverts all assignments and returns false.
func (s *Snapshot) tryPlaceGang(j *Job) ([]Placement, bool) {
	var placements []Placement
	var assigned []gangAssignment
	waitingBefore, assignedBefore := j.Waiting, j.Assigned
	for len(j.Waiting) > 0 {
		m := s.bestMachine(j)
		if m == nil {
			for _, a := range slices.Backward(assigned) {
				s.unassign(j, a)
			}
			j.Waiting, j.Assigned = waitingBefore, assignedBefore
			return nil, false
		}
		assigned = append(assigned, gangAssignment{m, m.InUse, m.Fetching[j.Image]})
		placements = append(placements, Placement{j, j.Waiting[0], m})
		s.assign(j, m)
	}
	return placements, true
}

// unassign reverts the assignment of one task of the job, except for the job's Waiting and Assigned, which the caller
// restores. Assignments must be reverted in reverse order.
func (s *Snapshot) unassign(j *Job, a gangAssignment) {
	m := a.machine
	m.Free, m.InUse = m.Free.Plus(j.Request), a.wasUsed
	m.TaskCapacity++
	if !a.wasFetching {
		delete(m.Fetching, j.Image)
	}
	s.machineChanged(m)
	j.InZone[m.Zone]--
	if quota := s.Quotas[j.Team]; quota != nil {
		quota.Used = quota.Used.Minus(j.Request)
	}
}

// maxTasksPerMachine bounds the number of tasks counted per machine, which is infinite for tasks with an empty request.
const maxTasksPerMachine = 1e6

// gangZones lists the zones whose free resources may hold the whole gang, sorted by the number of tasks that they can
// hold, the largest first.
func (s *Snapshot) gangZones(j *Job) []string {
	room := map[string]int{}
	for _, m := range s.Machines {
		if (m.ReservedFor == "" || m.ReservedFor == j.ID) && j.AllowedOn(m.Type.Name, m.Zone, m.Spot) && !j.AvoidMachines[m.ID] {
			if n := min(tasksPerMachine(j.Request, m.Free), float64(m.TaskCapacity)); n >= 1 {
				room[m.Zone] += int(min(n, maxTasksPerMachine))
			}
		}
	}
	zones := slices.Sorted(maps.Keys(room))
	zones = slices.DeleteFunc(zones, func(zone string) bool { return room[zone] < len(j.Waiting) })
	slices.SortStableFunc(zones, func(a, b string) int { return room[b] - room[a] })
	return zones
}
