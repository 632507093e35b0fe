package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// schedulerCache keeps the scheduler's view of the machines and the waiting jobs from one fill to the next. A fill
// follows each transaction, many times a second: building the view of all machines and jobs anew for each took
// longer than the leader's lease in a fleet of thousands.
//
// The tasks on a machine and the waiting tasks of a job are followed by the revisions that the cluster state
// counts for them. Whether a machine may be given tasks depends on the time too, so each snapshot checks that for
// all machines, at a few comparisons each. The cache decides nothing that the cluster state does not say when a
// fill begins: a cancellation, the loss of a machine or a lower quota need no invalidation of their own.
//
// It is empty after an election, and filled from the cluster state by the first snapshot. Its parts: machines in
// scheduler_cache_machines.go, waiting jobs in scheduler_cache_jobs.go, the comparison with the cluster state
// in scheduler_cache_verify.go.
type schedulerCache struct {
	catalog   *machineCatalog
	env       *environment
	health    *machineHealth
	machines  *machineRegistry
	placement *taskScheduler
	state     *clusterstate.State
	views     *schedulerViews

	// fleet is the scheduler's index of the schedulable machines.
	fleet *scheduler.Fleet
	// typesGeneration is the generation of the machine types that the machines' views refer to.
	typesGeneration int
	// machineList is the list of machines that the cache was last brought up to date with, cachedMachines the
	// cached ones in the same order, machineOf the same by machine.
	machineList    []*clusterstate.Machine
	cachedMachines []*cachedMachine
	machineOf      map[*clusterstate.Machine]*cachedMachine

	// cachedJobs are the jobs that may have waiting tasks, waitingOrder the same in the order in which they
	// came to wait.
	cachedJobs   map[*clusterstate.Job]*cachedJob
	waitingOrder []*clusterstate.Job

	// quotas are those of the cluster state with the part that is reserved for services, by team.
	quotas map[string]*scheduler.Quota

	// machineBuffer and jobBuffer are the lists of the last snapshot, whose memory the next one uses.
	machineBuffer []*scheduler.Machine
	jobBuffer     []*scheduler.Job
	// schedulableCount is how many machines of a plan's snapshot are schedulable; booting ones follow them.
	schedulableCount int

	// nextVerified is the index of the machine that the next verification begins with.
	nextVerified int
	// driftLogged: a difference from the cluster state has been logged.
	driftLogged bool
}

// newSchedulerCache makes an empty cache. It must be rebuilt once its dependencies are set.
func newSchedulerCache() *schedulerCache {
	return &schedulerCache{quotas: map[string]*scheduler.Quota{}, cachedJobs: map[*clusterstate.Job]*cachedJob{}}
}

// rebuild drops all cached machines: the next snapshot takes them from the cluster state.
func (c *schedulerCache) rebuild() {
	c.fleet, c.machineOf = scheduler.NewFleet(), map[*clusterstate.Machine]*cachedMachine{}
	c.machineList, c.cachedMachines = nil, nil
	c.typesGeneration = c.catalog.typesGeneration
}

// snapshotForFill is what a fill decides from; nil if no job waits or no machine is schedulable.
func (c *schedulerCache) snapshotForFill() *scheduler.Snapshot {
	snapshot := c.emptySnapshot()
	if snapshot.Jobs = c.waitingJobs(c.placement.activeReservations()); len(snapshot.Jobs) == 0 {
		return nil
	}
	c.syncFleet(snapshot)
	if len(snapshot.Machines) == 0 {
		return nil
	}
	return snapshot
}

// fullSnapshot is like snapshotForFill, and never nil.
func (c *schedulerCache) fullSnapshot() *scheduler.Snapshot {
	snapshot := c.emptySnapshot()
	snapshot.Jobs = c.waitingJobs(c.placement.activeReservations())
	c.syncFleet(snapshot)
	return snapshot
}

// snapshotForPlan is what a scaling plan decides from: a full snapshot with the booting machines after the
// schedulable ones. endPlan must follow.
func (c *schedulerCache) snapshotForPlan() *scheduler.Snapshot {
	snapshot := c.fullSnapshot()
	c.schedulableCount = len(snapshot.Machines)
	position := len(c.cachedMachines) * positionGap * 2 // after all cached machines
	for _, m := range c.machineList {
		if t := c.views.bootingType(m); t != nil {
			view := c.views.machineView(m, t)
			view.Booting = true
			position++
			snapshot.Machines = append(snapshot.Machines, &view)
			c.fleet.Update(&view, position)
		}
	}
	return snapshot
}

// endPlan removes the machines from the fleet that the plan has added.
func (c *schedulerCache) endPlan(plan *scheduler.Snapshot) {
	for _, m := range plan.Machines[c.schedulableCount:] {
		c.fleet.Remove(m)
	}
	c.machineBuffer = plan.Machines[:c.schedulableCount]
}

// snapshotForRound is what a round decides from: all stored jobs, and the running tasks that may be preempted.
// endRound must follow.
func (c *schedulerCache) snapshotForRound() *scheduler.Snapshot {
	snapshot := c.emptySnapshot()
	reservedTasks := c.placement.activeReservations()
	c.syncFleet(snapshot)
	viewOf := make(map[*clusterstate.Job]*scheduler.Job, len(c.state.Jobs))
	views := make([]scheduler.Job, len(c.state.Jobs)) // one allocation for all
	for i, j := range c.state.SortedJobs() {
		if !j.Stored {
			continue
		}
		view := &views[i]
		waiting, resume := c.views.waitingTasks(j)
		c.views.updateJobView(view, j, waiting, resume, reservedTasks[j.Spec.UID])
		if len(waiting) > 0 {
			view.InZone = j.AttemptsByZone()
		}
		viewOf[j] = view
		snapshot.Jobs = append(snapshot.Jobs, view)
	}
	c.addRunningTasks(viewOf)
	return snapshot
}

// addRunningTasks lists the running tasks in the views of the schedulable machines. All lists share one array.
func (c *schedulerCache) addRunningTasks(viewOf map[*clusterstate.Job]*scheduler.Job) {
	attempts := 0
	for _, e := range c.cachedMachines {
		attempts += len(e.machine.Attempts)
	}
	running := make([]scheduler.RunningTask, 0, attempts)
	for _, e := range c.cachedMachines {
		if e.inFleet {
			first := len(running)
			running = c.views.appendRunningTasks(running, e.machine, viewOf)
			e.view.Running = running[first:len(running):len(running)]
		}
	}
}

// endRound drops the lists of running tasks, which only a round needs.
func (c *schedulerCache) endRound() {
	for _, e := range c.cachedMachines {
		e.view.Running = nil
	}
}

// emptySnapshot is a snapshot without jobs and machines. It rebuilds the cache if there are new machine types,
// which the views of machines point to.
func (c *schedulerCache) emptySnapshot() *scheduler.Snapshot {
	if c.typesGeneration != c.catalog.typesGeneration {
		c.rebuild()
	}
	return &scheduler.Snapshot{Quotas: c.quotas, UpperQueueCap: c.env.cfg.Operator.Green.UpperCap, Fleet: c.fleet}
}

// syncFleet brings machines and quotas up to date with the cluster state, and has the snapshot refer to them.
func (c *schedulerCache) syncFleet(snapshot *scheduler.Snapshot) {
	c.syncMachineList()
	c.syncMachines(snapshot)
	if snapshot.Capacity.Cores == 0 {
		snapshot.Capacity = c.views.readyCapacity()
	}
	for name, quota := range c.state.Quotas {
		if c.quotas[name] == nil {
			c.quotas[name] = &scheduler.Quota{}
		}
		*c.quotas[name] = *quota
	}
	c.views.reserveServiceQuota(c.quotas)
}
