package controller

import (
	"slices"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// cachedMachine is a machine of the cluster state with its view for the scheduler.
type cachedMachine struct {
	machine *clusterstate.Machine
	// view is the machine as the scheduler saw it last, of this revision and size.
	view     scheduler.Machine
	revision uint64
	size     scheduler.Resources
	// position orders the machine in the fleet, once hasPosition is set.
	position    int
	hasPosition bool
	// inFleet: the machine was schedulable at the last snapshot, and its view is in the fleet.
	inFleet bool
	// stillListed is used by syncMachineList alone: the machine is in the new list.
	stillListed bool
}

// positionGap is left between the positions of neighbours, for machines that come between them.
const positionGap = 1 << 20

// syncMachineList adds new machines to the cache and drops those that were removed from the cluster state, which
// makes a new list whenever its machines change.
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

// assignPositions gives new machines positions between their neighbours, or renumbers all if there is no gap left.
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

// renumberPositions takes all machines out of the fleet, as it is ordered by position, and numbers them anew.
func (c *schedulerCache) renumberPositions() {
	for _, e := range c.cachedMachines {
		c.removeFromFleet(e)
	}
	for i, e := range c.cachedMachines {
		e.position, e.hasPosition = (i+1)*positionGap, true
	}
}

// removeFromFleet takes a machine out of the scheduler's fleet, if it is in it.
func (c *schedulerCache) removeFromFleet(e *cachedMachine) {
	if e.inFleet {
		c.fleet.Remove(&e.view)
		e.inFleet = false
	}
}

// syncMachines refreshes the views of changed machines, and lists the schedulable machines in the snapshot with
// the capacity of all that are up.
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

// isStale says whether a machine has changed since its view was made, or a decision has changed the view.
func (c *schedulerCache) isStale(e *cachedMachine) bool {
	m := e.machine
	return !e.inFleet || e.view.Dirty || e.revision != m.Revision() || e.size != m.Size ||
		e.view.ReservedFor != c.placement.reservations[m.ID].job
}

// refreshMachine makes the view of a machine anew from the cluster state.
func (c *schedulerCache) refreshMachine(e *cachedMachine, t *scheduler.Type) {
	m := e.machine
	e.view = c.views.machineView(m, t)
	setImages(&e.view, m)
	e.revision, e.size, e.inFleet = m.Revision(), m.Size, true
	c.fleet.Update(&e.view, e.position)
}

// movesReplicas says whether a draining machine still has replicas, which need room on others.
func movesReplicas(m *clusterstate.Machine) bool {
	for _, a := range m.Attempts {
		if a.Job.Spec.Service {
			return true
		}
	}
	return false
}
