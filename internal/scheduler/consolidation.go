package scheduler

import (
	"maps"
)

// IsExpensive says whether a machine costs at least what the fleet's machines do on
// average. Where all types cost the same all are dear: sums of like prices round
// up or down, which once kept a fleet of one type from being emptied at all.
func (s *Snapshot) IsExpensive(m *Machine) bool {
	if s.pricedMachines != len(s.Machines) {
		s.price, s.pricedMachines = 0, len(s.Machines)
		for _, o := range s.Machines {
			s.price += o.Type.Price
		}
	}
	return m.Type.Price*float64(len(s.Machines)) >= 0.999*s.price
}

// WithoutMachine is the snapshot after a machine's tasks have been moved at next to no
// cost: to machines in use that have the replicas' images, leaving as much of the room
// for expected tasks as there was. Nil: that can't be done.
func (s *Snapshot) WithoutMachine(id string, moved []*Job, expected func() []*Job) *Snapshot {
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
			if m.Used && m.ReservedFor == "" && m.Room > 0 && (!j.Service || j.Image == "" || m.Images[j.Image]) && j.Need.Fits(m.Free) &&
				j.MayRunOn(m) &&
				(pick == nil || rest.score(j, m) < rest.score(j, pick)) {
				pick = m
			}
		}
		if pick == nil {
			return nil
		}
		rest.assign(j, pick)
	}
	if !s.headroomKnown {
		s.headroom, s.headroomKnown = kept(s.clone("")), true
	}
	if rest.headroom = kept(rest.clone("")); rest.headroom < s.headroom {
		return nil
	}
	rest.headroomKnown, rest.Looked = true, s.Looked
	return rest
}

// clone copies what placing changes, without the named machine.
func (s *Snapshot) clone(without string) *Snapshot {
	out := &Snapshot{UpperCap: s.UpperCap, Capacity: s.Capacity, Quotas: map[string]*Quota{}}
	for _, m := range s.Machines {
		if m.ID != without {
			c := *m
			c.Fetching = maps.Clone(m.Fetching)
			out.Machines = append(out.Machines, &c)
		}
	}
	return out
}
