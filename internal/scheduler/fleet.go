package scheduler

import (
	"maps"
	"slices"
)

// Fleet keeps machines in the order in which tasks are placed, from one pass to the next. A
// snapshot that is given one does not put its machines in order anew.
type Fleet struct{ index *machineIndex }

// NewFleet makes a fleet without machines.
func NewFleet() *Fleet { return &Fleet{newMachineIndex(nil)} }

// Update puts a machine where it belongs now. Of machines that are alike the one with the
// lowest place goes first; a place must not change while the machine is in the fleet.
func (f *Fleet) Update(m *Machine, place int) {
	m.place, m.Changed = place, false
	f.index.update(m)
}

// Remove takes a machine out.
func (f *Fleet) Remove(m *Machine) { f.index.remove(m) }

// Follows says whether the fleet has the machine as it is now.
func (f *Fleet) Follows(m *Machine) bool {
	s := f.index.slots[m]
	if s == nil || s.free != m.Free || s.room != m.Room || s.claim != m.ReservedFor || s.family != f.index.families[familyKey{m.Type, m.Zone, m.Spot}] {
		return false
	}
	if s.group == nil {
		return m.ReservedFor != "" || m.Room <= 0 || m.Free.Cores <= eps && m.Free.Accel <= eps
	}
	key := groupKey{booting: m.Booting, used: m.Used, fetching: len(m.Fetching), accel: m.Free.Accel}
	return s.group.groupKey == key && s.entry.cores == m.Free.Cores && s.entry.place == m.place && s.knowsImages(m)
}

// knowsImages says whether the machine has the images that it is found by.
func (s *slot) knowsImages(m *Machine) bool {
	var having, fetching []string
	for image, has := range m.Images {
		if has {
			having = append(having, image)
		}
	}
	for _, image := range slices.Collect(maps.Keys(m.Fetching)) {
		if !m.Images[image] {
			fetching = append(fetching, image)
		}
	}
	return sameNames(having, s.having) && sameNames(fetching, s.fetching)
}

// sameNames compares two lists in any order.
func sameNames(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
