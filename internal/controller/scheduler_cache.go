package controller

import (
	"slices"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/scheduler"
)

// schedulerCache is what the scheduler sees of the fleet and of the jobs that wait, kept from one
// fill to the next. A fill follows a transaction, many times a second: drawing all machines and
// jobs anew for each took longer than the leader's lease in a fleet of thousands.
//
// What is on a machine and which tasks of a job wait are followed by the ledger's revisions.
// Whether a machine may be used hangs on the time too, so each fill asks that of all machines:
// that is a few comparisons for each. Nothing in here decides anything that the ledger does not
// say when a fill begins, so a cancellation, a machine that is lost or a lower limit need no
// care of their own.
type schedulerCache struct {
	catalog   *machineCatalog
	env       *environment
	health    *machineHealth
	placement *taskScheduler
	state     *clusterstate.State
	views     *schedulerViews

	fleet           *scheduler.Fleet
	typesGeneration int // the generation of the machine types
	machineList     []*clusterstate.Machine
	machines        *machineRegistry
	cachedMachines  []*cachedMachine // in the order of listed
	machineOf       map[*clusterstate.Machine]*cachedMachine
	cachedJobs      map[*clusterstate.Job]*cachedJob
	// waitingOrder are the same jobs, in the order in which they came to wait.
	waitingOrder []*clusterstate.Job
	teams        map[string]*scheduler.Quota
	// Memory of the last snapshot, for the next.
	machineBuffer    []*scheduler.Machine
	jobBuffer        []*scheduler.Job
	schedulableCount int // machines of a plan that are up
	// nextVerified is the machine that the next check begins with.
	nextVerified int
	// driftLogged: a difference has been logged.
	driftLogged bool
}

// cachedMachine is a machine as the scheduler saw it last.
type cachedMachine struct {
	view        scheduler.Machine
	machine     *clusterstate.Machine
	revision    uint64
	size        scheduler.Need
	position    int
	hasPosition bool // it has a place
	inFleet     bool // it was usable
	stillListed bool // while the list is gone through: it is still there
}

// cachedJob is a job with tasks that wait.
type cachedJob struct {
	view     scheduler.Job
	revision uint64
	waiting  []int
	resume   int
	filled   bool
	// inZoneRevision is the job's when its places by zone were last counted.
	inZoneRevision uint64
}

// newSchedulerCache makes a cache that knows nothing yet: rebuild follows once it has what it works with.
func newSchedulerCache() *schedulerCache {
	return &schedulerCache{teams: map[string]*scheduler.Quota{}, cachedJobs: map[*clusterstate.Job]*cachedJob{}}
}

// rebuild forgets what it knows of the machines.
func (c *schedulerCache) rebuild() {
	c.fleet, c.machineOf = scheduler.NewFleet(), map[*clusterstate.Machine]*cachedMachine{}
	c.machineList, c.cachedMachines = nil, nil
	c.typesGeneration = c.catalog.typesGeneration
}

// snapshotForFill is what a fill decides from; nil if no job waits or no machine may be used.
func (c *schedulerCache) snapshotForFill() *scheduler.Snapshot {
	out := c.emptySnapshot()
	if out.Jobs = c.waitingJobs(c.placement.activeReservations()); len(out.Jobs) == 0 {
		return nil
	}
	c.syncFleet(out)
	if len(out.Machines) == 0 {
		return nil
	}
	return out
}

// fullSnapshot is what a fill decides from, also with nothing that waits.
func (c *schedulerCache) fullSnapshot() *scheduler.Snapshot {
	out := c.emptySnapshot()
	out.Jobs = c.waitingJobs(c.placement.activeReservations())
	c.syncFleet(out)
	return out
}

// snapshotForPlan is what a plan decides from: also with nothing that waits, and with the machines that
// boot. The plan must be ended with endPlan.
func (c *schedulerCache) snapshotForPlan() *scheduler.Snapshot {
	out := c.fullSnapshot()
	c.schedulableCount = len(out.Machines)
	place := len(c.cachedMachines) * positionGap * 2
	for _, m := range c.machineList {
		if t := c.views.bootingType(m); t != nil {
			view := c.views.machineView(m, t)
			view.Booting = true
			place++
			out.Machines = append(out.Machines, &view)
			c.fleet.Update(&view, place)
		}
	}
	return out
}

// endPlan takes out again what the plan has brought in.
func (c *schedulerCache) endPlan(plan *scheduler.Snapshot) {
	for _, m := range plan.Machines[c.schedulableCount:] {
		c.fleet.Remove(m)
	}
	c.machineBuffer = plan.Machines[:c.schedulableCount]
}

// snapshotForRound is what a round decides from: all jobs, and what runs. The round must be ended with
// endRound.
func (c *schedulerCache) snapshotForRound() *scheduler.Snapshot {
	out := c.emptySnapshot()
	claims := c.placement.activeReservations()
	c.syncFleet(out)
	jobs := make(map[*clusterstate.Job]*scheduler.Job, len(c.state.Jobs))
	views := make([]scheduler.Job, len(c.state.Jobs)) // one allocation for all
	for i, j := range c.state.SortedJobs() {
		if !j.Stored {
			continue
		}
		waiting, resume := c.views.waitingTasks(j)
		c.views.updateJobView(&views[i], j, waiting, resume, claims[j.Spec.UID])
		if len(waiting) > 0 {
			views[i].InZone = j.InZone()
		}
		jobs[j] = &views[i]
		out.Jobs = append(out.Jobs, &views[i])
	}
	tasks := 0
	for _, e := range c.cachedMachines {
		tasks += len(e.machine.Attempts)
	}
	running := make([]scheduler.RunningTask, 0, tasks)
	for _, e := range c.cachedMachines {
		if e.inFleet {
			first := len(running)
			running = c.views.appendRunningTasks(running, e.machine, jobs)
			e.view.Running = running[first:len(running):len(running)]
		}
	}
	return out
}

// endRound drops what only a round needs.
func (c *schedulerCache) endRound() {
	for _, e := range c.cachedMachines {
		e.view.Running = nil
	}
}

// emptySnapshot is an empty snapshot of the fleet.
func (c *schedulerCache) emptySnapshot() *scheduler.Snapshot {
	if c.typesGeneration != c.catalog.typesGeneration {
		c.rebuild()
	}
	return &scheduler.Snapshot{Quotas: c.teams, UpperCap: c.env.cfg.Operator.Green.UpperCap, Fleet: c.fleet}
}

// syncFleet has a snapshot know machines and teams as they are now.
func (c *schedulerCache) syncFleet(out *scheduler.Snapshot) {
	c.syncMachineList()
	c.syncMachines(out)
	if out.Capacity.Cores == 0 {
		out.Capacity = c.views.readyCapacity()
	}
	for name, t := range c.state.Quotas {
		if c.teams[name] == nil {
			c.teams[name] = &scheduler.Quota{}
		}
		*c.teams[name] = *t
	}
	c.views.reserveServiceQuota(c.teams)
}

// waitingJobs lists those that wait.
func (c *schedulerCache) waitingJobs(claims map[string]int) []*scheduler.Job {
	for _, j := range c.state.TakeOpenedJobs() {
		c.addWaiting(j)
	}
	list, ordered := c.jobBuffer[:0], c.waitingOrder[:0]
	for _, j := range c.waitingOrder {
		kept := c.cachedJobs[j]
		if c.state.Jobs[j.Spec.UID] != j {
			delete(c.cachedJobs, j)
			continue
		}
		waiting, resume := []int(nil), 0
		if j.Stored {
			waiting, resume = c.waitingTasks(j, kept)
		}
		if j.Stored && len(waiting) == 0 && j.ActiveAttempts > 0 && j.OpenTasks() == 0 {
			delete(c.cachedJobs, j) // until it loses a task
			continue
		}
		ordered = append(ordered, j)
		if len(waiting) > 0 {
			list = append(list, c.refreshJob(j, kept, waiting, resume, claims[j.Spec.UID]))
		}
	}
	c.jobBuffer, c.waitingOrder = list, ordered
	return list
}

// addWaiting has a job be looked at by each fill.
func (c *schedulerCache) addWaiting(j *clusterstate.Job) {
	if c.cachedJobs[j] == nil {
		c.cachedJobs[j] = &cachedJob{}
		c.waitingOrder = append(c.waitingOrder, j)
	}
}

// waitingTasks is the term's, from memory if nothing has changed.
func (c *schedulerCache) waitingTasks(j *clusterstate.Job, kept *cachedJob) ([]int, int) {
	if j.Gang != nil || !kept.filled || kept.revision != j.Revision() {
		kept.filled, kept.revision = true, j.Revision()
		kept.waiting, kept.resume = j.AppendWaitingTasks(kept.waiting[:0], maxWaitingTasks)
	}
	return c.views.limitStartable(j, kept.waiting, kept.resume)
}

// refreshJob is a job as the scheduler sees it now. Amounts that change by themselves are always
// taken from the ledger; its places by zone change with its tasks. A plan, or a gang without room
// for all of it, has changed them without: then it holds more than the ledger says.
func (c *schedulerCache) refreshJob(j *clusterstate.Job, kept *cachedJob, waiting []int, resume, claims int) *scheduler.Job {
	inZone := kept.view.InZone
	if inZone == nil || j.Gang != nil || kept.inZoneRevision != j.Revision() || kept.view.Held != j.ActiveAttempts {
		inZone, kept.inZoneRevision = j.InZone(), j.Revision()
	}
	c.views.updateJobView(&kept.view, j, waiting, resume, claims)
	kept.view.InZone = inZone
	return &kept.view
}

// positionGap leaves room for machines that come between others.
const positionGap = 1 << 20

// syncMachineList takes in machines that have come and drops those that are gone.
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

// assignPositions numbers new machines between their neighbours, or all if there is no room.
func (c *schedulerCache) assignPositions() {
	last := 0
	for i, e := range c.cachedMachines {
		if e.hasPosition {
			last = e.position
			continue
		}
		next := last + 2*positionGap
		if k := slices.IndexFunc(c.cachedMachines[i:], func(o *cachedMachine) bool { return o.hasPosition }); k >= 0 {
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

func (c *schedulerCache) renumberPositions() {
	for _, e := range c.cachedMachines {
		c.removeFromFleet(e)
	}
	for i, e := range c.cachedMachines {
		e.position, e.hasPosition = (i+1)*positionGap, true
	}
}

func (c *schedulerCache) removeFromFleet(e *cachedMachine) {
	if e.inFleet {
		c.fleet.Remove(&e.view)
		e.inFleet = false
	}
}

// syncMachines draws those anew that have changed, and lists the usable ones.
func (c *schedulerCache) syncMachines(out *scheduler.Snapshot) {
	now := c.env.now
	list := c.machineBuffer[:0]
	for _, e := range c.cachedMachines {
		m := e.machine
		if m.Up && !m.Releasing {
			out.Capacity = out.Capacity.Plus(m.Size)
		}
		if now < m.DrainUntil {
			out.Moving = out.Moving || movesReplicas(m)
		}
		if !c.health.isSchedulable(m) {
			c.removeFromFleet(e)
			continue
		}
		if !e.inFleet || e.view.Changed || e.revision != m.Revision() || e.size != m.Size || e.view.ReservedFor != c.placement.reservations[m.ID].job {
			t := c.catalog.machineType(m.Type)
			if t == nil {
				c.removeFromFleet(e)
				continue
			}
			c.refreshMachine(e, t)
		}
		list = append(list, &e.view)
	}
	c.machineBuffer, out.Machines = list, list
}

// refreshMachine has a machine be as the ledger has it.
func (c *schedulerCache) refreshMachine(e *cachedMachine, t *scheduler.Type) {
	m := e.machine
	e.view = c.views.machineView(m, t)
	setImages(&e.view, m)
	e.revision, e.size, e.inFleet = m.Revision(), m.Size, true
	c.fleet.Update(&e.view, e.position)
}

// machinesPerVerification is how many machines a check looks at.
const machinesPerVerification = 32

// verify compares some machines with the ledger, those that it takes for unchanged. A difference
// is a fault of this program: it is logged once, and the view is built anew.
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

// matchesState says whether a machine that nothing seems to have changed is as the ledger has it.
func (c *schedulerCache) matchesState(e *cachedMachine) bool {
	m := e.machine
	if c.typesGeneration != c.catalog.typesGeneration || !e.inFleet || e.view.Changed || e.revision != m.Revision() || e.size != m.Size ||
		e.view.ReservedFor != c.placement.reservations[m.ID].job {
		return true // drawn anew at the next fill
	}
	fresh := c.views.machineView(m, e.view.Type)
	setImages(&fresh, m)
	return fresh.Free == e.view.Free && fresh.Room == e.view.Room && fresh.Used == e.view.Used && fresh.Zone == e.view.Zone &&
		fresh.Spot == e.view.Spot && fresh.Type.Name == m.Type && fresh.ImageSet == e.view.ImageSet &&
		len(fresh.Fetching) == len(e.view.Fetching) && c.fleet.Follows(&e.view)
}

// movesReplicas says whether replicas are on their way from the machine to others.
func movesReplicas(m *clusterstate.Machine) bool {
	for _, a := range m.Attempts {
		if a.Job.Spec.Service {
			return true
		}
	}
	return false
}
