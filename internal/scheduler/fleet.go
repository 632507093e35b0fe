package scheduler

import "slices"

// Fleet keeps the machine index from one snapshot to the next. A snapshot with a Fleet does not index its machines
// again.
type Fleet struct{ index *machineIndex }

// NewFleet returns a fleet without machines.
func NewFleet() *Fleet { return &Fleet{newMachineIndex(nil)} }

// Update adds a machine to the index, or indexes its current state. Among machines with equal scores, the one with the
// lowest position is chosen. The position must not change while the machine is in the fleet.
func (f *Fleet) Update(m *Machine, position int) {
	m.position, m.Dirty = position, false
	f.index.update(m)
}

// Remove deletes a machine from the index.
func (f *Fleet) Remove(m *Machine) { f.index.remove(m) }

// IsCurrent reports whether the index holds the current state of the machine.
func (f *Fleet) IsCurrent(m *Machine) bool {
	indexed := f.index.machines[m]
	if indexed == nil || indexed.free != m.Free || indexed.taskCapacity != m.TaskCapacity || indexed.reservedFor != m.ReservedFor ||
		indexed.pool != f.index.pools[m.poolKey()] {
		return false
	}
	if indexed.class == nil {
		return m.ReservedFor != "" || m.isFull()
	}
	return indexed.class.classKey == m.classKey() && indexed.entry.cores == m.Free.Cores && indexed.entry.position == m.position &&
		indexed.imagesMatch(m)
}

// imagesMatch reports whether the machine has and fetches the same images as when it was indexed.
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

// sameElements reports whether two lists are equal apart from their order.
func sameElements(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
