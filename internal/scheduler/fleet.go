package scheduler

import "slices"

// Fleet keeps machines in order from one snapshot to the next, so that a snapshot that is given
// one need not index its machines anew.
type Fleet struct{ index *machineIndex }

// NewFleet makes a fleet without machines.
func NewFleet() *Fleet { return &Fleet{newMachineIndex(nil)} }

// Update adds a machine, or follows its changes. Of machines with equal scores the one with the
// lowest position is chosen; the position must not change while the machine is in the fleet.
func (f *Fleet) Update(m *Machine, position int) {
	m.position, m.Dirty = position, false
	f.index.update(m)
}

// Remove takes a machine out.
func (f *Fleet) Remove(m *Machine) { f.index.remove(m) }

// IsCurrent says whether the fleet has the machine as it is now.
func (f *Fleet) IsCurrent(m *Machine) bool {
	indexed := f.index.machines[m]
	if indexed == nil || indexed.free != m.Free || indexed.room != m.TaskCapacity || indexed.reservedFor != m.ReservedFor ||
		indexed.pool != f.index.pools[m.poolKey()] {
		return false
	}
	if indexed.class == nil {
		return m.ReservedFor != "" || m.isFull()
	}
	return indexed.class.classKey == m.classKey() && indexed.entry.cores == m.Free.Cores && indexed.entry.position == m.position &&
		indexed.imagesMatch(m)
}

// imagesMatch says whether the machine has the images that it was indexed with.
func (i *indexedMachine) imagesMatch(m *Machine) bool {
	var present, fetching []string
	for image, has := range m.Images {
		if has {
			present = append(present, image)
		}
	}
	for image := range m.Fetching {
		if !m.Images[image] {
			fetching = append(fetching, image)
		}
	}
	return sameElements(present, i.withImages) && sameElements(fetching, i.fetchingImages)
}

// sameElements compares two lists in any order.
func sameElements(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
