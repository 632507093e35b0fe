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
	m.position, m.Changed = place, false
	f.index.update(m)
}

// Remove takes a machine out.
func (f *Fleet) Remove(m *Machine) { f.index.remove(m) }

// Follows says whether the fleet has the machine as it is now.
func (f *Fleet) Follows(m *Machine) bool {
	s := f.index.machines[m]
	if s == nil || s.free != m.Free || s.room != m.Room || s.reservedFor != m.ReservedFor || s.pool != f.index.pools[poolKey{m.Type, m.Zone, m.Spot}] {
		return false
	}
	if s.class == nil {
		return m.ReservedFor != "" || m.Room <= 0 || m.Free.Cores <= eps && m.Free.Accel <= eps
	}
	key := classKey{booting: m.Booting, used: m.Used, fetching: len(m.Fetching), accel: m.Free.Accel}
	return s.class.classKey == key && s.entry.cores == m.Free.Cores && s.entry.position == m.position && s.imagesMatch(m)
}

// imagesMatch says whether the machine has the images that it is found by.
func (s *indexedMachine) imagesMatch(m *Machine) bool {
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
	return sameElements(having, s.withImages) && sameElements(fetching, s.fetchingImages)
}

// sameElements compares two lists in any order.
func sameElements(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
