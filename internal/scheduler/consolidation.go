package scheduler

// expensiveShare is slightly below one: where all types cost the same every machine counts as
// expensive. Sums of like prices round up or down, which once kept a fleet of one type from being
// emptied at all.
const expensiveShare = 0.999

// IsExpensive says whether a machine costs at least what the fleet's machines do on average.
func (s *Snapshot) IsExpensive(m *Machine) bool {
	if s.pricedMachines != len(s.Machines) {
		s.totalPrice, s.pricedMachines = 0, len(s.Machines)
		for _, other := range s.Machines {
			s.totalPrice += other.Type.Price
		}
	}
	return m.Type.Price*float64(len(s.Machines)) >= expensiveShare*s.totalPrice
}

// WithoutMachine is the snapshot after a machine's tasks have been moved at next to no cost: to
// machines in use that have the replicas' images, leaving room for as many expected tasks as
// before. It returns nil if that can't be done. The jobs in moved have one task each to move;
// expected returns the expected tasks anew at each call, as counting them uses them up.
func (s *Snapshot) WithoutMachine(id string, moved []*Job, expected func() []*Job) *Snapshot {
	rest := s.clone(id)
	s.MachinesExamined += len(rest.Machines) * (len(moved) + 1)
	for _, j := range moved {
		m := rest.bestTargetFor(j)
		if m == nil {
			return nil
		}
		rest.assign(j, m)
	}
	if !s.headroomKnown {
		s.headroom, s.headroomKnown = s.clone("").countHeadroom(expected()), true
	}
	if rest.headroom = rest.clone("").countHeadroom(expected()); rest.headroom < s.headroom {
		return nil
	}
	rest.headroomKnown, rest.MachinesExamined = true, s.MachinesExamined
	return rest
}

// bestTargetFor is the best machine in use to move a task to, nil if there is none.
func (s *Snapshot) bestTargetFor(j *Job) *Machine {
	var best *Machine
	bestScore := 0.0
	for _, m := range s.Machines {
		if !j.mayMoveTo(m) {
			continue
		}
		if score := s.score(j, m); best == nil || score < bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// mayMoveTo says whether a task may be moved to a machine. A replica moves only to where its
// image is, as it would be away for the time of a fetch otherwise.
func (j *Job) mayMoveTo(m *Machine) bool {
	return m.Used && m.ReservedFor == "" && m.TaskCapacity > 0 && (!j.Service || j.Image == "" || m.Images[j.Image]) &&
		j.Request.Fits(m.Free) && j.MayRunOn(m)
}

// countHeadroom counts for how many of the expected tasks there is room, and takes it.
func (s *Snapshot) countHeadroom(expected []*Job) int {
	placed := 0
	for _, j := range expected {
		waiting := len(j.Waiting)
		s.reserve(j)
		placed += waiting - len(j.Waiting)
	}
	return placed
}
