package scheduler

// expensivePriceShare is the share of the average price from which a machine counts as expensive. It is slightly below
// one so that every machine of a fleet with a single price is expensive: sums of equal prices round up or down, and
// with a share of one, consolidation never emptied a machine of a fleet with one machine type.
const expensivePriceShare = 0.999

// IsExpensive reports whether a machine costs at least as much as the average machine of the snapshot.
func (s *Snapshot) IsExpensive(m *Machine) bool {
	if s.pricedMachines != len(s.Machines) {
		s.totalPrice, s.pricedMachines = 0, len(s.Machines)
		for _, other := range s.Machines {
			s.totalPrice += other.Type.Price
		}
	}
	return m.Type.Price*float64(len(s.Machines)) >= expensivePriceShare*s.totalPrice
}

// WithoutMachine returns a copy of the snapshot without the machine id, after its tasks have moved to machines in use
// that already have the replicas' images. It returns nil if a task has no such target, or if the copy has headroom for
// fewer expected tasks than the snapshot. Each job in moved has one task to move. expected must return new jobs at each
// call, because counting the headroom consumes their waiting tasks.
func (s *Snapshot) WithoutMachine(id string, moved []*Job, expected func() []*Job) *Snapshot {
	remaining := s.clone(id)
	s.MachinesExamined += len(remaining.Machines) * (len(moved) + 1)
	for _, j := range moved {
		m := remaining.bestTargetFor(j)
		if m == nil {
			return nil
		}
		remaining.assign(j, m)
	}
	if !s.headroomKnown {
		s.headroom, s.headroomKnown = s.clone("").countHeadroom(expected()), true
	}
	if remaining.headroom = remaining.clone("").countHeadroom(expected()); remaining.headroom < s.headroom {
		return nil
	}
	remaining.headroomKnown, remaining.MachinesExamined = true, s.MachinesExamined
	return remaining
}

// bestTargetFor returns the machine in use with the lowest score for a task to move, or nil if no machine accepts it.
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

// mayMoveTo reports whether a task may be moved to a machine. A replica moves only to a machine that has its image:
// elsewhere the replica would be unavailable while the image is fetched.
func (j *Job) mayMoveTo(m *Machine) bool {
	return m.InUse && m.ReservedFor == "" && m.TaskCapacity > 0 && (!j.Service || j.Image == "" || m.Images[j.Image]) &&
		j.Request.Fits(m.Free) && j.MayRunOn(m)
}

// countHeadroom reserves room for the expected tasks and returns how many of them found room.
func (s *Snapshot) countHeadroom(expected []*Job) int {
	placed := 0
	for _, j := range expected {
		waitingBefore := len(j.Waiting)
		s.reserve(j)
		placed += waitingBefore - len(j.Waiting)
	}
	return placed
}
