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
	current := c.machines.sortedMachines()
	if len(current) == len(c.machineList) && (len(current) == 0 || &current[0] == &c.machineList[0]) {
		return
	}
	c.machineList = current
	for _, cached := range c.cachedMachines {
		cached.stillListed = false
	}
	machines := make([]*cachedMachine, 0, len(current))
	for _, m := range current {
		cached := c.cachedByMachine[m]
		if cached == nil {
			cached = &cachedMachine{machine: m}
			c.cachedByMachine[m] = cached
		}
		cached.stillListed = true
		machines = append(machines, cached)
	}
	for _, cached := range c.cachedMachines {
		if !cached.stillListed {
			c.removeFromFleet(cached)
			delete(c.cachedByMachine, cached.machine)
		}
	}
	c.cachedMachines = machines
	c.assignPositions()
}

// assignPositions assigns new machines positions between their neighbours. If a gap is used up it renumbers all
// machines.
func (c *schedulerCache) assignPositions() {
	last := 0
	for i, cached := range c.cachedMachines {
		if cached.hasPosition {
			last = cached.position
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
		cached.position, cached.hasPosition = last+min(positionGap, (next-last)/2), true
		last = cached.position
	}
}

// renumberPositions assigns new positions to all machines. It first removes them from the fleet, which is ordered by
// position.
func (c *schedulerCache) renumberPositions() {
	for _, cached := range c.cachedMachines {
		c.removeFromFleet(cached)
	}
	for i, cached := range c.cachedMachines {
		cached.position, cached.hasPosition = (i+1)*positionGap, true
	}
}

// removeFromFleet removes a machine from the fleet if the fleet contains it.
func (c *schedulerCache) removeFromFleet(cached *cachedMachine) {
	if cached.inFleet {
		c.fleet.Remove(&cached.view)
		cached.inFleet = false
	}
}

// syncMachines refreshes the views of changed machines. It sets the snapshot's list of schedulable machines, adds up
// the capacity of the machines that are up, and sets Draining if a draining machine still has replicas.
func (c *schedulerCache) syncMachines(snapshot *scheduler.Snapshot) {
	now := c.env.now
	schedulable := c.machineBuffer[:0]
	for _, cached := range c.cachedMachines {
		m := cached.machine
		if m.EverReported && !m.Releasing {
			snapshot.Capacity = snapshot.Capacity.Plus(m.Size)
		}
		if now < m.DrainUntil {
			snapshot.Draining = snapshot.Draining || movesReplicas(m)
		}
		if !c.health.isSchedulable(m) {
			c.removeFromFleet(cached)
			c.addProbation(snapshot, m)
			continue
		}
		if c.isStale(cached) {
			t := c.catalog.machineType(m.Type)
			if t == nil {
				c.removeFromFleet(cached)
				continue
			}
			c.refreshMachine(cached, t)
		}
		schedulable = append(schedulable, &cached.view)
	}
	c.machineBuffer, snapshot.Machines = schedulable, schedulable
}

// addProbation adds the machine to those that a snapshot may use for probes, if a probe may be started there.
func (c *schedulerCache) addProbation(snapshot *scheduler.Snapshot, m *clusterstate.Machine) {
	t := c.catalog.machineType(m.Type)
	if t == nil || !c.health.mayProbe(m) {
		return
	}
	view := c.views.machineView(m, t)
	c.health.quarantine.describeProbation(&view, m)
	setImages(&view, m)
	snapshot.Probation = append(snapshot.Probation, &view)
}

// isStale reports whether the machine has changed since its view was made, or the scheduler has changed the view.
func (c *schedulerCache) isStale(cached *cachedMachine) bool {
	m := cached.machine
	return !cached.inFleet || cached.view.Dirty || cached.revision != m.Revision() || cached.size != m.Size ||
		cached.view.ReservedFor != c.placement.reservations[m.ID].jobID
}

// refreshMachine recreates the view of a machine from the cluster state.
func (c *schedulerCache) refreshMachine(cached *cachedMachine, t *scheduler.MachineType) {
	m := cached.machine
	cached.view = c.views.machineView(m, t)
	setImages(&cached.view, m)
	cached.revision, cached.size, cached.inFleet = m.Revision(), m.Size, true
	c.fleet.Update(&cached.view, cached.position)
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
