package controller

import (
	"slices"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// cachedMachine is a machine of the cluster state with its view for the scheduler.
type cachedMachine struct {
	machine *clusterstate.Machine
	// view is the machine's view in the last snapshot that contained the machine, made at the given revision and size.
	view     scheduler.Machine
	revision uint64
	size     scheduler.Resources
	// position is the machine's position in the order of the fleet. It is valid if hasPosition is set.
	position    int
	hasPosition bool
	// inFleet is set while the view is in the fleet: the machine was schedulable at the last snapshot.
	inFleet bool
	// stillListed is set if the machine is in the new list of machines. Only syncMachineList uses it.
	stillListed bool
}

// positionGap is the gap between the positions of neighbours; machines that are added between them get positions in
// the gap.
const positionGap = 1 << 20

// syncMachineList adds new machines to the cache and drops machines that were removed from the cluster state. The
// cluster state returns the same list until its set of machines changes.
func (c *schedulerCache) syncMachineList() {
	list := c.machines.sortedMachines()
	if len(list) == len(c.machineList) && (len(list) == 0 || &list[0] == &c.machineList[0]) {
		return
	}
	c.machineList = list
	for _, e := range c.cachedMachines {
		e.stillListed = false
	}
	machines := make([]*cachedMachine, 0, len(list))
	for _, m := range list {
		e := c.machineOf[m]
		if e == nil {
			e = &cachedMachine{machine: m}
			c.machineOf[m] = e
		}
		e.stillListed = true
		machines = append(machines, e)
	}
	for _, e := range c.cachedMachines {
		if !e.stillListed {
			c.removeFromFleet(e)
			delete(c.machineOf, e.machine)
		}
	}
	c.cachedMachines = machines
	c.assignPositions()
}

// assignPositions assigns new machines positions between their neighbours. If a gap is used up it renumbers all
// machines.
func (c *schedulerCache) assignPositions() {
	last := 0
	for i, e := range c.cachedMachines {
		if e.hasPosition {
			last = e.position
			continue
		}
		next := last + 2*positionGap
		if k := slices.IndexFunc(c.cachedMachines[i:], func(other *cachedMachine) bool { return other.hasPosition }); k >= 0 {
			next = c.cachedMachines[i+k].position
		}
		if next-last < 2 {
			c.renumberPositions()
			return
		}
		e.position, e.hasPosition = last+min(positionGap, (next-last)/2), true
		last = e.position
	}
}

// renumberPositions assigns new positions to all machines. It first removes them from the fleet, which is ordered by
// position.
func (c *schedulerCache) renumberPositions() {
	for _, e := range c.cachedMachines {
		c.removeFromFleet(e)
	}
	for i, e := range c.cachedMachines {
		e.position, e.hasPosition = (i+1)*positionGap, true
	}
}

// removeFromFleet removes a machine from the fleet if the fleet contains it.
func (c *schedulerCache) removeFromFleet(e *cachedMachine) {
	if e.inFleet {
		c.fleet.Remove(&e.view)
		e.inFleet = false
	}
}

// syncMachines refreshes the views of changed machines. It sets the snapshot's list of schedulable machines, adds up
// the capacity of the machines that are up, and sets Draining if a draining machine still has replicas.
func (c *schedulerCache) syncMachines(snapshot *scheduler.Snapshot) {
	now := c.env.now
	list := c.machineBuffer[:0]
	for _, e := range c.cachedMachines {
		m := e.machine
		if m.EverReported && !m.Releasing {
			snapshot.Capacity = snapshot.Capacity.Plus(m.Size)
		}
		if now < m.DrainUntil {
			snapshot.Draining = snapshot.Draining || movesReplicas(m)
		}
		if !c.health.isSchedulable(m) {
			c.removeFromFleet(e)
			continue
		}
		if c.isStale(e) {
			t := c.catalog.machineType(m.Type)
			if t == nil {
				c.removeFromFleet(e)
				continue
			}
			c.refreshMachine(e, t)
		}
		list = append(list, &e.view)
	}
	c.machineBuffer, snapshot.Machines = list, list
}

// isStale reports whether the machine has changed since its view was made, or the scheduler has changed the view.
func (c *schedulerCache) isStale(e *cachedMachine) bool {
	m := e.machine
	return !e.inFleet || e.view.Dirty || e.revision != m.Revision() || e.size != m.Size ||
		e.view.ReservedFor != c.placement.reservations[m.ID].job
}

// refreshMachine recreates the view of a machine from the cluster state.
func (c *schedulerCache) refreshMachine(e *cachedMachine, t *scheduler.Type) {
	m := e.machine
	e.view = c.views.machineView(m, t)
	setImages(&e.view, m)
	e.revision, e.size, e.inFleet = m.Revision(), m.Size, true
	c.fleet.Update(&e.view, e.position)
}

// movesReplicas reports whether a draining machine still has replicas, which need capacity on other machines.
func movesReplicas(m *clusterstate.Machine) bool {
	for _, a := range m.Attempts {
		if a.Job.Spec.Service {
			return true
		}
	}
	return false
}
