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

// consolidator drains expensive machines whose tasks can go on elsewhere at once.
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

	drainAt time.Duration
}

// maxConsolidationWork bounds what one go at emptying looks at, in machines: it copies
// the fleet for each machine that might be emptied, and a leader of thousands must
// renew its lease meanwhile.
const maxConsolidationWork = 100_000

// consolidate empties dear machines whose tasks can go on elsewhere at once,
// where their images are: long-lived replicas, and the last tasks of batches when
// the load falls, would keep them for their few. The larger the fleet, the more
// machines it empties at a time.
func (c *consolidator) consolidate() {
	if c.env.now < c.drainAt || !c.lease.holdsLease() || c.manyUnresponsive() {
		return
	}
	s := c.cache.fullSnapshot()
	s.Fill()
	if replicaIsWaiting(s) {
		return
	}
	most := 1 + len(s.Machines)/10
	candidates := c.drainCandidates(s)
	s.Looked = 0
	for _, candidate := range candidates[:min(len(candidates), 2*most)] {
		if s.Looked > maxConsolidationWork {
			break // what is left comes with the next time
		}
		rest := s.WithoutMachine(candidate.id, candidate.tasks, c.forecast.forecastDemand)
		if rest == nil {
			continue
		}
		s = rest
		c.drainMachine(c.state.Machines[candidate.id], len(candidate.tasks))
		if most--; most == 0 {
			break
		}
	}
}

// replicaIsWaiting says whether a replica waits for room that its team may use.
func replicaIsWaiting(s *scheduler.Snapshot) bool {
	return slices.ContainsFunc(s.Jobs, func(j *scheduler.Job) bool {
		return len(j.Waiting) > 0 && j.Service && s.Quotas[j.Team].WithinMaximum(j.Need)
	})
}

// drainCandidate is a machine that might be emptied, with its tasks.
type drainCandidate struct {
	id    string
	gain  float64
	tasks []*scheduler.Job
}

// drainCandidates lists the dear machines with much free room, those where that costs most
// first.
func (c *consolidator) drainCandidates(s *scheduler.Snapshot) []drainCandidate {
	wanted := c.kindsInDemand()
	var list []drainCandidate
	for _, sm := range s.Machines {
		m := c.state.Machines[sm.ID]
		free := scheduler.Share(m.Size.Minus(m.Used), m.Size)
		if len(m.Attempts) == 0 || free < 0.25 || !s.IsExpensive(sm) || wanted[machineKind{m.Type, m.Spot}] || sm.ReservedFor != "" || sm.Free != m.Size.Minus(m.Used) {
			continue
		}
		price := sm.Type.Price
		if sm.Spot {
			price = sm.Type.SpotPrice
		}
		if jobs := c.movableTasks(m, free); jobs != nil {
			list = append(list, drainCandidate{m.ID, price * free, jobs})
		}
	}
	slices.SortStableFunc(list, func(a, b drainCandidate) int { return cmp.Compare(b.gain, a.gain) })
	return list
}

// machineKind is a type, ordinary or spot.
type machineKind struct {
	typ  string
	spot bool
}

// kindsInDemand are those that more than a few are coming of.
func (c *consolidator) kindsInDemand() map[machineKind]bool {
	coming, up := map[machineKind]int{}, map[machineKind]int{}
	for _, q := range c.pool.Launching() {
		coming[machineKind{q.Type, q.Spot}] += q.Count
	}
	for _, m := range c.state.Machines {
		switch {
		case m.Releasing || c.partitions.isPartitioned(m.Zone):
		case m.Up:
			up[machineKind{m.Type, m.Spot}]++
		default:
			coming[machineKind{m.Type, m.Spot}]++
		}
	}
	wanted := map[machineKind]bool{}
	for kind, n := range coming {
		wanted[kind] = n*20 > up[kind]
	}
	return wanted
}

// drainMachine has all tasks of a machine move.
func (c *consolidator) drainMachine(m *clusterstate.Machine, tasks int) {
	c.env.log.Info("draining machine", "machine", m.ID, "type", m.Type, "tasks", tasks)
	c.drainAt = c.env.now + 3*c.env.cfg.Lease()
	m.DrainUntil = c.env.now + c.env.cfg.Lease()
	for _, a := range m.Sorted() {
		c.attempts.requestStop(a, a.Job.Spec.SaveS, stopConsolidation)
	}
}

// manyUnresponsive says whether more than one machine in fifty with tasks does not answer:
// the room that others have to spare is about to be needed. Thirty machines were
// once emptied while 54 hung, ten seconds before their leases were over.
func (c *consolidator) manyUnresponsive() bool {
	late, busy := 0, 0
	for _, m := range c.state.Machines {
		if len(m.Attempts) == 0 || m.Releasing || c.partitions.isPartitioned(m.Zone) {
			continue
		}
		busy++
		if m.FailedCalls > 0 {
			late++
		}
	}
	return late*50 > busy
}

// movableTasks lists a machine's tasks as jobs of one task each, if all of them are
// replicas that have run for a while or, on a machine that is half empty, tasks
// that can save.
func (c *consolidator) movableTasks(m *clusterstate.Machine, free float64) []*scheduler.Job {
	var out []*scheduler.Job
	for _, a := range m.Sorted() {
		service := a.Job.Spec.Service
		settled := c.catalog.longestBootS()
		if !service {
			settled *= 0.7
		}
		if a.Job.Gang != nil || a.Job.Cancelling || a.StopRequested || a.State != protocol.Running || c.env.now < a.Since+seconds(settled) ||
			(!service && (a.Job.Spec.CheckpointS <= 0 || free < 0.5)) {
			return nil
		}
		out = append(out, singleTaskView(a))
	}
	return out
}

// singleTaskView is an attempt as a job of one task that is to start elsewhere.
func singleTaskView(a *clusterstate.Attempt) *scheduler.Job {
	j := newJobView(a.Job)
	j.InZone, j.Waiting = a.Job.InZone(), []int{a.Index}
	j.InZone[a.Machine.Zone]--
	return j
}
