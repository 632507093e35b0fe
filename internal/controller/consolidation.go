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

// consolidator drains expensive machines with few tasks if these tasks can resume on other machines at once. It owns
// only the time of its next run, which a new leader does not need.
type consolidator struct {
	attempts   *attemptTracker
	cache      *schedulerCache
	catalog    *machineCatalog
	env        *environment
	forecast   *demandForecast
	authority  *authority
	partitions *partitionDetector
	pool       *machinepool.Pool
	state      *clusterstate.State

	drainAt time.Duration // no machine is drained before this time
}

// maxConsolidationWork limits the machines that one consolidation examines. A consolidation copies the fleet for each
// candidate, and the leader must renew its lease in time even with thousands of machines.
const maxConsolidationWork = 100_000

// Limits of a consolidation.
const (
	// A consolidation drains at most one machine, and one more per ten machines of the fleet.
	drainFleetDivisor = 10
	// candidatesPerDrain is the number of candidates that are examined per machine that may be drained.
	candidatesPerDrain = 2
	// minFreeShare is the smallest free share of a machine that is drained.
	minFreeShare = 0.25
	// minFreeShareToMoveBatches is the smallest free share of a machine whose batch tasks are moved too.
	minFreeShareToMoveBatches = 0.5
	// batchSettledBoots is how long a batch task must have run before it is moved, in boot times. A replica must have
	// run for one boot time.
	batchSettledBoots = 0.7
	// drainPauseLeases is the number of worker leases between two consolidations that drain machines.
	drainPauseLeases = 3
	// A kind of machine is in demand if more than one machine is booting or being launched per twenty that are up.
	demandedKindDivisor = 20
	// No machine is drained while more than one in fifty busy machines is unresponsive.
	unresponsiveDivisor = 50
)

// consolidate drains expensive machines whose tasks can resume at once on other machines that have their images cached.
// Otherwise long-lived replicas, and the last tasks of batch jobs when the load falls, would keep expensive machines up
// for a few tasks each. The number of machines that are drained at a time grows with the fleet.
func (c *consolidator) consolidate() {
	if c.env.now < c.drainAt || !c.authority.mayDecide() || c.manyUnresponsive() {
		return
	}
	snapshot := c.cache.fullSnapshot()
	snapshot.Fill()
	if replicaIsWaiting(snapshot) {
		return
	}
	drainsLeft := 1 + len(snapshot.Machines)/drainFleetDivisor
	candidates := c.drainCandidates(snapshot)
	snapshot.MachinesExamined = 0
	for _, candidate := range candidates[:min(len(candidates), candidatesPerDrain*drainsLeft)] {
		if snapshot.MachinesExamined > maxConsolidationWork {
			break // a later consolidation examines the remaining candidates
		}
		drainedSnapshot := snapshot.WithoutMachine(candidate.machineID, candidate.tasks, c.forecast.forecastDemand)
		if drainedSnapshot == nil {
			continue
		}
		snapshot = drainedSnapshot
		c.drainMachine(c.state.Machines[candidate.machineID], len(candidate.tasks))
		if drainsLeft--; drainsLeft == 0 {
			break
		}
	}
}

// replicaIsWaiting reports whether a replica that fits into its team's quota is waiting for free capacity.
func replicaIsWaiting(s *scheduler.Snapshot) bool {
	return slices.ContainsFunc(s.Jobs, func(j *scheduler.Job) bool {
		return len(j.Waiting) > 0 && j.Service && s.Quotas[j.Team].WithinMaximum(j.Request)
	})
}

// drainCandidate is a machine that may be drained.
type drainCandidate struct {
	machineID string
	freeCost  float64          // the price of its free capacity
	tasks     []*scheduler.Job // its tasks, as jobs of one task each
}

// drainCandidates lists the expensive machines with enough free capacity, in descending order of the price of that
// capacity.
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

// machineKind is a machine type together with whether its machines are spot or on-demand.
type machineKind struct {
	typ  string
	spot bool
}

// kindsInDemand returns the kinds of machines of which many are booting or being launched, relative to the number that
// are up.
func (c *consolidator) kindsInDemand() map[machineKind]bool {
	starting, up := map[machineKind]int{}, map[machineKind]int{}
	for _, request := range c.pool.LaunchesInFlight() {
		starting[machineKind{request.Type, request.Spot}] += request.Count
	}
	for _, m := range c.state.Machines {
		switch {
		case m.Releasing || c.partitions.isPartitioned(m.Zone):
		case m.EverReported:
			up[machineKind{m.Type, m.Spot}]++
		default:
			starting[machineKind{m.Type, m.Spot}]++
		}
	}
	demanded := map[machineKind]bool{}
	for kind, n := range starting {
		demanded[kind] = n*demandedKindDivisor > up[kind]
	}
	return demanded
}

// drainMachine requests the stop of all tasks of a machine, and excludes the machine from scheduling for one worker
// lease, in which its tasks move to other machines.
func (c *consolidator) drainMachine(m *clusterstate.Machine, tasks int) {
	c.env.log.Info("draining machine", "machine", m.ID, "type", m.Type, "tasks", tasks)
	c.drainAt = c.env.now + drainPauseLeases*c.env.cfg.WorkerLease()
	m.DrainUntil = c.env.now + c.env.cfg.WorkerLease()
	for _, a := range m.SortedAttempts() {
		c.attempts.requestStop(a, a.Job.Spec.SaveS, stopConsolidation)
	}
}

// manyUnresponsive reports whether more than one in fifty of the machines with tasks do not answer calls. Their tasks
// will soon need the free capacity of the other machines: in one run thirty machines were drained while 54 hung, ten
// seconds before the leases of the hanging machines expired.
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

// movableTasks lists a machine's tasks as jobs of one task each. It returns nil if any of them can't be moved.
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

// isMovable reports whether the task of an attempt can be moved. Movable tasks are replicas and, on a machine that is
// at least half free, tasks of batch jobs that save checkpoints; both must have run for a minimum time. free is the
// free share of the machine.
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

// singleTaskView returns a view of an attempt's task as a job with one waiting task, to be placed on another machine.
func singleTaskView(a *clusterstate.Attempt) *scheduler.Job {
	view := newJobView(a.Job)
	view.InZone, view.Waiting = a.Job.AttemptsByZone(), []int{a.Index}
	view.InZone[a.Machine.Zone]--
	return view
}
