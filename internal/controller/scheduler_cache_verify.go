package controller

// machinesPerVerification is the number of machines that a verification compares. A fixed number keeps its cost
// independent of the fleet's size.
const machinesPerVerification = 32

// verify compares the cached views of the next few machines with the cluster state. A difference is a bug in this
// program: verify logs the first difference and rebuilds the cache.
func (c *schedulerCache) verify() {
	if len(c.cachedMachines) == 0 {
		return
	}
	for i := range min(machinesPerVerification, len(c.cachedMachines)) {
		cached := c.cachedMachines[(c.nextVerified+i)%len(c.cachedMachines)]
		if c.matchesState(cached) {
			continue
		}
		if !c.driftLogged {
			c.driftLogged = true
			c.env.log.Error("scheduler cache differs from the cluster state", "machine", cached.machine.ID)
		}
		c.rebuild()
		return
	}
	c.nextVerified = (c.nextVerified + machinesPerVerification) % len(c.cachedMachines)
}

// matchesState reports whether a machine's view agrees with the cluster state. A stale view, which the next snapshot
// refreshes, counts as a match.
func (c *schedulerCache) matchesState(cached *cachedMachine) bool {
	if c.typesGeneration != c.catalog.typesGeneration || c.isStale(cached) {
		return true
	}
	m, view := cached.machine, &cached.view
	fresh := c.views.machineView(m, view.Type)
	setImages(&fresh, m)
	return fresh.Free == view.Free && fresh.TaskCapacity == view.TaskCapacity && fresh.InUse == view.InUse && fresh.Zone == view.Zone &&
		fresh.Spot == view.Spot && fresh.Type.Name == m.Type && fresh.ImageSet == view.ImageSet &&
		len(fresh.Fetching) == len(view.Fetching) && c.fleet.IsCurrent(view)
}
