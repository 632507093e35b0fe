package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// schedulerCache caches the scheduler's views of the machines and the waiting jobs between fills. A fill follows each
// transaction, many times a second. Rebuilding the views of all machines and jobs for each fill took longer than the
// leader's lease in a fleet of thousands.
//
// The views of a machine's tasks and of a job's waiting tasks are refreshed when their revision in the cluster state
// changes. Whether a machine is schedulable also depends on the time, so each snapshot checks that for all machines,
// with a few comparisons each. Each snapshot reads all other state from the cluster state, so a cancellation, the loss
// of a machine or a lower quota needs no explicit invalidation.
//
// The cache is empty after an election, and the first snapshot fills it from the cluster state. The code for machines
// is in scheduler_cache_machines.go, for waiting jobs in scheduler_cache_jobs.go, and for the comparison with the
// cluster state in scheduler_cache_verify.go.
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
	// machineList is the cluster state's list of machines at the last synchronization. cachedMachines holds the cached
	// machines in the same order; cachedByMachine holds them by machine.
	machineList     []*clusterstate.Machine
	cachedMachines  []*cachedMachine
	cachedByMachine map[*clusterstate.Machine]*cachedMachine

	// cachedJobs holds the jobs that may have waiting tasks; cachedJobOrder lists the same jobs in the order in which
	// they were added.
	cachedJobs     map[*clusterstate.Job]*cachedJob
	cachedJobOrder []*clusterstate.Job

	// quotas are copies of the cluster state's quotas with the part that is reserved for services, by team.
	quotas map[string]*scheduler.Quota

	// machineBuffer and jobBuffer are the lists of the last snapshot, whose memory the next snapshot reuses.
	machineBuffer []*scheduler.Machine
	jobBuffer     []*scheduler.Job
	// schedulableCount is the number of schedulable machines in a plan's snapshot; the booting machines follow them in
	// the list.
	schedulableCount int

	// nextVerified is the index of the first machine that the next verification compares.
	nextVerified int
	// driftLogged is set once a difference from the cluster state has been logged.
	driftLogged bool
}

// newSchedulerCache returns an empty cache. The caller must set its dependencies and then call rebuild.
func newSchedulerCache() *schedulerCache {
	return &schedulerCache{quotas: map[string]*scheduler.Quota{}, cachedJobs: map[*clusterstate.Job]*cachedJob{}}
}

// rebuild drops all cached machines; the next snapshot reads them again from the cluster state.
func (c *schedulerCache) rebuild() {
	c.fleet, c.cachedByMachine = scheduler.NewFleet(), map[*clusterstate.Machine]*cachedMachine{}
	c.machineList, c.cachedMachines = nil, nil
	c.typesGeneration = c.catalog.typesGeneration
}

// snapshotForFill returns the snapshot for a fill, or nil if no job is waiting or no machine is schedulable.
func (c *schedulerCache) snapshotForFill() *scheduler.Snapshot {
	snapshot := c.emptySnapshot()
	if snapshot.Jobs = c.waitingJobs(c.placement.activeReservations()); len(snapshot.Jobs) == 0 {
		return nil
	}
	c.syncFleet(snapshot)
	if len(snapshot.Machines) == 0 && len(snapshot.Probation) == 0 {
		return nil
	}
	return snapshot
}

// fullSnapshot is like snapshotForFill but never returns nil.
func (c *schedulerCache) fullSnapshot() *scheduler.Snapshot {
	snapshot := c.emptySnapshot()
	snapshot.Jobs = c.waitingJobs(c.placement.activeReservations())
	c.syncFleet(snapshot)
	return snapshot
}

// snapshotForPlan returns the snapshot for a scaling plan: a full snapshot with the booting machines after the
// schedulable machines. The caller must call endPlan afterwards.
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

// endPlan removes from the fleet the machines that snapshotForPlan and the plan have added.
func (c *schedulerCache) endPlan(plan *scheduler.Snapshot) {
	for _, m := range plan.Machines[c.schedulableCount:] {
		c.fleet.Remove(m)
	}
	c.machineBuffer = plan.Machines[:c.schedulableCount]
}

// snapshotForRound returns the snapshot for a round: all stored jobs, and the running tasks that may be preempted.
// The caller must call endRound afterwards.
func (c *schedulerCache) snapshotForRound() *scheduler.Snapshot {
	snapshot := c.emptySnapshot()
	reservedTasks := c.placement.activeReservations()
	c.syncFleet(snapshot)
	viewByJob := make(map[*clusterstate.Job]*scheduler.Job, len(c.state.Jobs))
	views := make([]scheduler.Job, len(c.state.Jobs)) // one allocation for the views of all jobs
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
		viewByJob[j] = view
		snapshot.Jobs = append(snapshot.Jobs, view)
	}
	c.addRunningTasks(viewByJob)
	return snapshot
}

// addRunningTasks lists the running tasks in the views of the schedulable machines. All lists share one array.
func (c *schedulerCache) addRunningTasks(viewByJob map[*clusterstate.Job]*scheduler.Job) {
	attempts := 0
	for _, cached := range c.cachedMachines {
		attempts += len(cached.machine.Attempts)
	}
	running := make([]scheduler.RunningTask, 0, attempts)
	for _, cached := range c.cachedMachines {
		if cached.inFleet {
			first := len(running)
			running = c.views.appendRunningTasks(running, cached.machine, viewByJob)
			cached.view.Running = running[first:len(running):len(running)]
		}
	}
}

// endRound clears the lists of running tasks, which only a round needs.
func (c *schedulerCache) endRound() {
	for _, cached := range c.cachedMachines {
		cached.view.Running = nil
	}
}

// emptySnapshot returns a snapshot without jobs and machines. It rebuilds the cache if the machine types have changed,
// as the views of machines point to them.
func (c *schedulerCache) emptySnapshot() *scheduler.Snapshot {
	if c.typesGeneration != c.catalog.typesGeneration {
		c.rebuild()
	}
	return &scheduler.Snapshot{Quotas: c.quotas, UpperQueueCap: c.env.cfg.Operator.Green.UpperCap, Fleet: c.fleet}
}

// syncFleet updates the cached machines and quotas from the cluster state, and adds the machines and the capacity to
// the snapshot.
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
