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

	fleet    *scheduler.Fleet
	types    int // the generation of the machine types
	listed   []*clusterstate.Machine
	registry *machineRegistry
	machines []*cachedMachine // in the order of listed
	known    map[*clusterstate.Machine]*cachedMachine
	waiting  map[*clusterstate.Job]*cachedJob
	// ordered are the same jobs, in the order in which they came to wait.
	ordered []*clusterstate.Job
	teams   map[string]*scheduler.Quota
	// Memory of the last snapshot, for the next.
	machineViews []*scheduler.Machine
	jobViews     []*scheduler.Job
	ready        int // machines of a plan that are up
	// checkFrom is the machine that the next check begins with.
	checkFrom int
	// drifted: a difference has been logged.
	drifted bool
}

// cachedMachine is a machine as the scheduler saw it last.
type cachedMachine struct {
	view     scheduler.Machine
	machine  *clusterstate.Machine
	revision uint64
	size     scheduler.Need
	place    int
	placed   bool // it has a place
	inFleet  bool // it was usable
	listed   bool // while the list is gone through: it is still there
}

// cachedJob is a job with tasks that wait.
type cachedJob struct {
	view     scheduler.Job
	revision uint64
	waiting  []int
	resume   int
	drawn    bool
	// zonesRevision is the job's when its places by zone were last counted.
	zonesRevision uint64
}

// newSchedulerCache makes a cache that knows nothing yet: rebuild follows once it has what it works with.
func newSchedulerCache() *schedulerCache {
	return &schedulerCache{teams: map[string]*scheduler.Quota{}, waiting: map[*clusterstate.Job]*cachedJob{}}
}

// rebuild forgets what it knows of the machines.
func (c *schedulerCache) rebuild() {
	c.fleet, c.known = scheduler.NewFleet(), map[*clusterstate.Machine]*cachedMachine{}
	c.listed, c.machines = nil, nil
	c.types = c.catalog.typesGeneration
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
	c.ready = len(out.Machines)
	place := len(c.machines) * placeGap * 2
	for _, m := range c.listed {
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
	for _, m := range plan.Machines[c.ready:] {
		c.fleet.Remove(m)
	}
	c.machineViews = plan.Machines[:c.ready]
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
	for _, e := range c.machines {
		tasks += len(e.machine.Attempts)
	}
	running := make([]scheduler.RunningTask, 0, tasks)
	for _, e := range c.machines {
		if e.inFleet {
			first := len(running)
			running = c.views.appendPreemptible(running, e.machine, jobs)
			e.view.Running = running[first:len(running):len(running)]
		}
	}
	return out
}

// endRound drops what only a round needs.
func (c *schedulerCache) endRound() {
	for _, e := range c.machines {
		e.view.Running = nil
	}
}

// emptySnapshot is an empty snapshot of the fleet.
func (c *schedulerCache) emptySnapshot() *scheduler.Snapshot {
	if c.types != c.catalog.typesGeneration {
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
	list, ordered := c.jobViews[:0], c.ordered[:0]
	for _, j := range c.ordered {
		kept := c.waiting[j]
		if c.state.Jobs[j.Spec.UID] != j {
			delete(c.waiting, j)
			continue
		}
		waiting, resume := []int(nil), 0
		if j.Stored {
			waiting, resume = c.waitingTasks(j, kept)
		}
		if j.Stored && len(waiting) == 0 && j.ActiveAttempts > 0 && j.OpenTasks() == 0 {
			delete(c.waiting, j) // until it loses a task
			continue
		}
		ordered = append(ordered, j)
		if len(waiting) > 0 {
			list = append(list, c.jobView(j, kept, waiting, resume, claims[j.Spec.UID]))
		}
	}
	c.jobViews, c.ordered = list, ordered
	return list
}

// addWaiting has a job be looked at by each fill.
func (c *schedulerCache) addWaiting(j *clusterstate.Job) {
	if c.waiting[j] == nil {
		c.waiting[j] = &cachedJob{}
		c.ordered = append(c.ordered, j)
	}
}

// waitingTasks is the term's, from memory if nothing has changed.
func (c *schedulerCache) waitingTasks(j *clusterstate.Job, kept *cachedJob) ([]int, int) {
	if j.Gang != nil || !kept.drawn || kept.revision != j.Revision() {
		kept.drawn, kept.revision = true, j.Revision()
		kept.waiting, kept.resume = j.AppendWaitingTasks(kept.waiting[:0], maxWaitingTasks)
	}
	return c.views.startableTasks(j, kept.waiting, kept.resume)
}

// jobView is a job as the scheduler sees it now. Amounts that change by themselves are always
// taken from the ledger; its places by zone change with its tasks. A plan, or a gang without room
// for all of it, has changed them without: then it holds more than the ledger says.
func (c *schedulerCache) jobView(j *clusterstate.Job, kept *cachedJob, waiting []int, resume, claims int) *scheduler.Job {
	inZone := kept.view.InZone
	if inZone == nil || j.Gang != nil || kept.zonesRevision != j.Revision() || kept.view.Held != j.ActiveAttempts {
		inZone, kept.zonesRevision = j.InZone(), j.Revision()
	}
	c.views.updateJobView(&kept.view, j, waiting, resume, claims)
	kept.view.InZone = inZone
	return &kept.view
}

// placeGap leaves room for machines that come between others.
const placeGap = 1 << 20

// syncMachineList takes in machines that have come and drops those that are gone.
func (c *schedulerCache) syncMachineList() {
	list := c.registry.sortedMachines()
	if len(list) == len(c.listed) && (len(list) == 0 || &list[0] == &c.listed[0]) {
		return
	}
	c.listed = list
	for _, e := range c.machines {
		e.listed = false
	}
	machines := make([]*cachedMachine, 0, len(list))
	for _, m := range list {
		e := c.known[m]
		if e == nil {
			e = &cachedMachine{machine: m}
			c.known[m] = e
		}
		e.listed = true
		machines = append(machines, e)
	}
	for _, e := range c.machines {
		if !e.listed {
			c.dropMachine(e)
			delete(c.known, e.machine)
		}
	}
	c.machines = machines
	c.assignPlaces()
}

// assignPlaces numbers new machines between their neighbours, or all if there is no room.
func (c *schedulerCache) assignPlaces() {
	last := 0
	for i, e := range c.machines {
		if e.placed {
			last = e.place
			continue
		}
		next := last + 2*placeGap
		if k := slices.IndexFunc(c.machines[i:], func(o *cachedMachine) bool { return o.placed }); k >= 0 {
			next = c.machines[i+k].place
		}
		if next-last < 2 {
			c.renumber()
			return
		}
		e.place, e.placed = last+min(placeGap, (next-last)/2), true
		last = e.place
	}
}

func (c *schedulerCache) renumber() {
	for _, e := range c.machines {
		c.dropMachine(e)
	}
	for i, e := range c.machines {
		e.place, e.placed = (i+1)*placeGap, true
	}
}

func (c *schedulerCache) dropMachine(e *cachedMachine) {
	if e.inFleet {
		c.fleet.Remove(&e.view)
		e.inFleet = false
	}
}

// syncMachines draws those anew that have changed, and lists the usable ones.
func (c *schedulerCache) syncMachines(out *scheduler.Snapshot) {
	now := c.env.now
	list := c.machineViews[:0]
	for _, e := range c.machines {
		m := e.machine
		if m.Up && !m.Releasing {
			out.Capacity = out.Capacity.Plus(m.Size)
		}
		if now < m.DrainUntil {
			out.Moving = out.Moving || movesReplicas(m)
		}
		if !c.health.isSchedulable(m) {
			c.dropMachine(e)
			continue
		}
		if !e.inFleet || e.view.Changed || e.revision != m.Revision() || e.size != m.Size || e.view.ReservedFor != c.placement.reservations[m.ID].job {
			t := c.catalog.machineType(m.Type)
			if t == nil {
				c.dropMachine(e)
				continue
			}
			c.refreshMachine(e, t)
		}
		list = append(list, &e.view)
	}
	c.machineViews, out.Machines = list, list
}

// refreshMachine has a machine be as the ledger has it.
func (c *schedulerCache) refreshMachine(e *cachedMachine, t *scheduler.Type) {
	m := e.machine
	e.view = c.views.machineView(m, t)
	setImages(&e.view, m)
	e.revision, e.size, e.inFleet = m.Revision(), m.Size, true
	c.fleet.Update(&e.view, e.place)
}

// checkSlice is how many machines a check looks at.
const checkSlice = 32

// verify compares some machines with the ledger, those that it takes for unchanged. A difference
// is a fault of this program: it is logged once, and the view is built anew.
func (c *schedulerCache) verify() {
	if len(c.machines) == 0 {
		return
	}
	for i := range min(checkSlice, len(c.machines)) {
		e := c.machines[(c.checkFrom+i)%len(c.machines)]
		if c.matchesState(e) {
			continue
		}
		if !c.drifted {
			c.drifted = true
			c.env.log.Error("scheduler cache differs from the cluster state", "machine", e.machine.ID)
		}
		c.rebuild()
		return
	}
	c.checkFrom = (c.checkFrom + checkSlice) % len(c.machines)
}

// matchesState says whether a machine that nothing seems to have changed is as the ledger has it.
func (c *schedulerCache) matchesState(e *cachedMachine) bool {
	m := e.machine
	if c.types != c.catalog.typesGeneration || !e.inFleet || e.view.Changed || e.revision != m.Revision() || e.size != m.Size ||
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
