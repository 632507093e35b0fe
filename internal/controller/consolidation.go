package controller

import (
	"cmp"
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// consolidator drains expensive machines with few tasks, whose tasks can go on elsewhere at once. It owns only the
// time of its next attempt, which a new leader does not need.
type consolidator struct {
	attempts   *attemptTracker
	cache      *schedulerCache
	catalog    *machineCatalog
	env        *environment
	forecast   *demandForecast
	lease      *leaderLease
	partitions *partitionDetector
	pool       *machinepool.Pool
	state      *clusterstate.State

	drainAt time.Duration // no machine is drained before
}

// maxConsolidationWork bounds what one consolidation looks at, in machines: it copies the fleet for each candidate,
// and the leader of thousands of machines must renew its lease meanwhile.
const maxConsolidationWork = 100_000

// Limits of a consolidation.
const (
	// A consolidation drains one machine, and one more for each ten of the fleet.
	drainFleetDivisor = 10
	// candidatesPerDrain is how many candidates are tried for each machine that may be drained.
	candidatesPerDrain = 2
	// minFreeShare is the free share of a machine from which on it is worth draining.
	minFreeShare = 0.25
	// minFreeShareToMoveBatches is the free share from which on tasks of batch jobs are moved too.
	minFreeShareToMoveBatches = 0.5
	// batchSettledBoots is how long a batch task must have run before it is moved, in boot times; replicas one.
	batchSettledBoots = 0.7
	// drainPauseLeases is how many leases pass between two consolidations that drain machines.
	drainPauseLeases = 3
	// A kind of machine is in demand if more than one in twenty is still to come.
	demandedKindDivisor = 20
	// unresponsiveDivisor: more than one busy machine in fifty not answering is many.
	unresponsiveDivisor = 50
)

// consolidate drains expensive machines whose tasks can go on at once elsewhere, on machines with their images.
// Otherwise long-lived replicas, and the last tasks of batch jobs when the load falls, would keep expensive machines up
// for a few tasks each. The larger the fleet, the more machines are drained at a time.
func (c *consolidator) consolidate() {
	if c.env.now < c.drainAt || !c.lease.holdsLease() || c.manyUnresponsive() {
		return
	}
	snapshot := c.cache.fullSnapshot()
	snapshot.Fill()
	if replicaIsWaiting(snapshot) {
		return
	}
	left := 1 + len(snapshot.Machines)/drainFleetDivisor
	candidates := c.drainCandidates(snapshot)
	snapshot.MachinesExamined = 0
	for _, candidate := range candidates[:min(len(candidates), candidatesPerDrain*left)] {
		if snapshot.MachinesExamined > maxConsolidationWork {
			break // the next consolidation looks at the rest
		}
		rest := snapshot.WithoutMachine(candidate.machineID, candidate.tasks, c.forecast.forecastDemand)
		if rest == nil {
			continue
		}
		snapshot = rest
		c.drainMachine(c.state.Machines[candidate.machineID], len(candidate.tasks))
		if left--; left == 0 {
			break
		}
	}
}

// replicaIsWaiting says whether a replica waits for room that its team's quota allows.
func replicaIsWaiting(s *scheduler.Snapshot) bool {
	return slices.ContainsFunc(s.Jobs, func(j *scheduler.Job) bool {
		return len(j.Waiting) > 0 && j.Service && s.Quotas[j.Team].WithinMaximum(j.Request)
	})
}

// drainCandidate is a machine that may be drained.
type drainCandidate struct {
	machineID string
	freeCost  float64 // what its free room costs, in the unit of prices
	tasks     []*scheduler.Job
}

// drainCandidates lists the expensive machines with much free room, those with the most costly free room first.
func (c *consolidator) drainCandidates(s *scheduler.Snapshot) []drainCandidate {
	demanded := c.kindsInDemand()
	var candidates []drainCandidate
	for _, view := range s.Machines {
		m := c.state.Machines[view.ID]
		free := scheduler.Share(m.Size.Minus(m.Used), m.Size)
		if len(m.Attempts) == 0 || free < minFreeShare || !s.IsExpensive(view) || demanded[machineKind{m.Type, m.Spot}] ||
			view.ReservedFor != "" || view.Free != m.Size.Minus(m.Used) {
			continue
		}
		price := view.Type.Price
		if view.Spot {
			price = view.Type.SpotPrice
		}
		if tasks := c.movableTasks(m, free); tasks != nil {
			candidates = append(candidates, drainCandidate{m.ID, price * free, tasks})
		}
	}
	slices.SortStableFunc(candidates, func(a, b drainCandidate) int { return cmp.Compare(b.freeCost, a.freeCost) })
	return candidates
}

// machineKind is a machine type, on demand or spot.
type machineKind struct {
	typ  string
	spot bool
}

// kindsInDemand are the kinds of machines of which many are booting or being launched, compared with those that are up.
func (c *consolidator) kindsInDemand() map[machineKind]bool {
	coming, up := map[machineKind]int{}, map[machineKind]int{}
	for _, request := range c.pool.LaunchesInFlight() {
		coming[machineKind{request.Type, request.Spot}] += request.Count
	}
	for _, m := range c.state.Machines {
		switch {
		case m.Releasing || c.partitions.isPartitioned(m.Zone):
		case m.EverReported:
			up[machineKind{m.Type, m.Spot}]++
		default:
			coming[machineKind{m.Type, m.Spot}]++
		}
	}
	demanded := map[machineKind]bool{}
	for kind, n := range coming {
		demanded[kind] = n*demandedKindDivisor > up[kind]
	}
	return demanded
}

// drainMachine requests all tasks of a machine to stop, and keeps new ones away from it until they have moved.
func (c *consolidator) drainMachine(m *clusterstate.Machine, tasks int) {
	c.env.log.Info("draining machine", "machine", m.ID, "type", m.Type, "tasks", tasks)
	c.drainAt = c.env.now + drainPauseLeases*c.env.cfg.WorkerLease()
	m.DrainUntil = c.env.now + c.env.cfg.WorkerLease()
	for _, a := range m.SortedAttempts() {
		c.attempts.requestStop(a, a.Job.Spec.SaveS, stopConsolidation)
	}
}

// manyUnresponsive says whether more than one machine with tasks in fifty does not answer. The room that other machines
// have to spare is about to be needed then: thirty machines were once drained while 54 hung, ten seconds before the
// leases of these expired.
func (c *consolidator) manyUnresponsive() bool {
	unresponsive, busy := 0, 0
	for _, m := range c.state.Machines {
		if len(m.Attempts) == 0 || m.Releasing || c.partitions.isPartitioned(m.Zone) {
			continue
		}
		busy++
		if m.FailedCalls > 0 {
			unresponsive++
		}
	}
	return unresponsive*unresponsiveDivisor > busy
}

// movableTasks lists a machine's tasks as jobs of one task each, or nil if any of them can't be moved.
func (c *consolidator) movableTasks(m *clusterstate.Machine, free float64) []*scheduler.Job {
	var tasks []*scheduler.Job
	for _, a := range m.SortedAttempts() {
		if !c.isMovable(a, free) {
			return nil
		}
		tasks = append(tasks, singleTaskView(a))
	}
	return tasks
}

// isMovable says whether the task of an attempt can be moved: a replica that has run for a while or, on a machine that
// is half free, a task of a batch job that saves checkpoints. free is the free share of its machine.
func (c *consolidator) isMovable(a *clusterstate.Attempt, free float64) bool {
	if a.Job.Gang != nil || a.Job.Cancelling || a.StopRequested || a.State != protocol.TaskRunning {
		return false
	}
	settledS := c.catalog.longestBootS()
	if !a.Job.Spec.Service {
		settledS *= batchSettledBoots
	}
	if c.env.now < a.AddedAt+seconds(settledS) {
		return false
	}
	return a.Job.Spec.Service || a.Job.Spec.CheckpointS > 0 && free >= minFreeShareToMoveBatches
}

// singleTaskView is a view of an attempt's task as a job of one task that is to start on another machine.
func singleTaskView(a *clusterstate.Attempt) *scheduler.Job {
	view := newJobView(a.Job)
	view.InZone, view.Waiting = a.Job.AttemptsByZone(), []int{a.Index}
	view.InZone[a.Machine.Zone]--
	return view
}
