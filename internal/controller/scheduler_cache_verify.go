package controller

// machinesPerVerification is how many machines a verification compares, so that its cost does not grow with the
// fleet.
const machinesPerVerification = 32

// verify compares the next few machines with the cluster state. A difference is a fault of this program: the first
// one is logged, and the cache is rebuilt.
func (c *schedulerCache) verify() {
	if len(c.cachedMachines) == 0 {
		return
	}
	for i := range min(machinesPerVerification, len(c.cachedMachines)) {
		e := c.cachedMachines[(c.nextVerified+i)%len(c.cachedMachines)]
		if c.matchesState(e) {
			continue
		}
		if !c.driftLogged {
			c.driftLogged = true
			c.env.log.Error("scheduler cache differs from the cluster state", "machine", e.machine.ID)
		}
		c.rebuild()
		return
	}
	c.nextVerified = (c.nextVerified + machinesPerVerification) % len(c.cachedMachines)
}

// matchesState says whether a machine's view is as the cluster state has it. A view that the next snapshot refreshes
// anyway counts as matching.
func (c *schedulerCache) matchesState(e *cachedMachine) bool {
	if c.typesGeneration != c.catalog.typesGeneration || c.isStale(e) {
		return true
	}
	m, view := e.machine, &e.view
	fresh := c.views.machineView(m, view.Type)
	setImages(&fresh, m)
	return fresh.Free == view.Free && fresh.TaskCapacity == view.TaskCapacity && fresh.Used == view.Used && fresh.Zone == view.Zone &&
		fresh.Spot == view.Spot && fresh.Type.Name == m.Type && fresh.ImageSet == view.ImageSet &&
		len(fresh.Fetching) == len(view.Fetching) && c.fleet.IsCurrent(view)
}
