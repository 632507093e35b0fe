package scheduler

import "container/heap"

// preemptionCosts are the machines on which tasks could stop for one task of a job, by zone and by
// what that costs. Within one version of the preemptible tasks room only shrinks and costs only
// rise, so that the cheapest machine is found by working out the first ones anew.
type preemptionCosts struct {
	zones      map[string]*costHeap
	version    int
	guaranteed bool // the task was within its team's guarantee
	// roomForLess: somewhere nothing has to stop, and the machine takes no more tasks all the
	// same. For a larger task something would have to stop, and leave.
	roomForLess bool
}

// costHeap has the cheapest machine first, and of equal ones the first in the snapshot.
type costHeap []machineCost

type machineCost struct {
	machine *Machine
	cost    float64
	free    Resources // for which the cost was worked out
}

func (c *machineCost) before(other *machineCost) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	return c.machine.position < other.machine.position
}

// Len is part of heap.Interface.
func (h costHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h costHeap) Less(a, b int) bool { return h[a].before(&h[b]) }

// Swap is part of heap.Interface.
func (h costHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push is part of heap.Interface.
func (h *costHeap) Push(x any) { *h = append(*h, x.(machineCost)) }

// Pop is part of heap.Interface.
func (h *costHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// sharedCostsKey is what decides which tasks may be stopped for a replica, and where. All that
// gives way to a replica for its priority ranks after it, and so do the batches with which other
// teams exceed their guarantees. So its own rank does not matter, and jobs that are alike share
// their costs.
type sharedCostsKey struct {
	need                      Resources
	types, zone, reclaimingBy string // reclaimingBy: the team, if within its guarantee
	spot, guaranteed          bool
	priority                  int
}

// sharedCostsKey returns false if the job has costs of its own.
func (j *Job) sharedCostsKey(guaranteed bool) (sharedCostsKey, bool) {
	if !j.Service || len(j.AvoidMachines) > 0 || guaranteed && j.WaitedTwoBoots {
		return sharedCostsKey{}, false
	}
	key := sharedCostsKey{need: j.Request, types: j.typeNames(), zone: j.Zone, spot: j.Spot, guaranteed: guaranteed, priority: j.Priority}
	if guaranteed {
		key.reclaimingBy = j.Team
	}
	return key, true
}

// cheapestPreemption finds the machine on which room for one task costs least, and what has to
// stop there. The costs are those of the job's earlier tasks, and are replaced if out of date.
func (r *preemptionRound) cheapestPreemption(j *Job, guaranteed bool, costs **preemptionCosts) (*Machine, []RunningTask) {
	if !r.tasks.anyFor(j, guaranteed) {
		return nil, nil
	}
	current := *costs
	if current == nil || current.version != r.tasks.version || current.guaranteed != guaranteed {
		key := j.preemptionKey(guaranteed)
		if r.tasks.isInfeasible(key, j.Request) {
			return nil, nil
		}
		current = r.costsFor(j, guaranteed)
		if *costs = current; len(current.zones) == 0 && !current.roomForLess {
			r.tasks.recordInfeasible(j, key)
		}
	}
	var cheapest *machineCost
	for zone, h := range current.zones {
		if !j.ZoneOpen(zone) {
			continue
		}
		if first := r.cheapestOf(j, guaranteed, h); first != nil && (cheapest == nil || first.before(cheapest)) {
			cheapest = first
		}
	}
	if cheapest == nil {
		return nil, nil
	}
	victims, _, _ := r.preemptionOn(j, cheapest.machine, guaranteed, true)
	return cheapest.machine, victims
}

// cheapestOf is the cheapest machine of a zone, nil if there is none. The cost of a machine that
// has less room than before is worked out anew.
func (r *preemptionRound) cheapestOf(j *Job, guaranteed bool, h *costHeap) *machineCost {
	for len(*h) > 0 {
		first := &(*h)[0]
		switch m := first.machine; {
		case m.ReservedFor != "":
			heap.Pop(h)
		case first.free == m.Free:
			return first
		default:
			_, cost, possible := r.preemptionOn(j, m, guaranteed, false)
			if !possible {
				heap.Pop(h)
				continue
			}
			first.cost, first.free = cost, m.Free
			heap.Fix(h, 0)
		}
	}
	return nil
}

// costsFor works out what a preemption costs on each machine, or takes what was worked out for
// another job like this one.
func (r *preemptionRound) costsFor(j *Job, guaranteed bool) *preemptionCosts {
	key, shared := j.sharedCostsKey(guaranteed)
	if shared {
		if costs := r.tasks.sharedCosts[key]; costs != nil && costs.version == r.tasks.version {
			return costs
		}
	}
	costs := &preemptionCosts{zones: map[string]*costHeap{}, version: r.tasks.version, guaranteed: guaranteed}
	r.snapshot.taskMachinesExamined += len(r.snapshot.Machines)
	for _, m := range r.snapshot.Machines {
		if !j.mayPreemptOn(m) {
			continue
		}
		if _, cost, possible := r.preemptionOn(j, m, guaranteed, false); possible {
			costs.add(machineCost{m, cost, m.Free})
		} else if j.Request.Fits(m.Free) {
			costs.roomForLess = true
		}
	}
	for _, h := range costs.zones {
		heap.Init(h)
	}
	if shared {
		r.tasks.sharedCosts[key] = costs
	}
	return costs
}

// add appends a machine to its zone's heap, which has to be put in order afterwards.
func (p *preemptionCosts) add(c machineCost) {
	zone := c.machine.Zone
	if p.zones[zone] == nil {
		p.zones[zone] = &costHeap{}
	}
	*p.zones[zone] = append(*p.zones[zone], c)
}

// mayPreemptOn says whether stops on a machine could make room for a task of the job, as far as
// its zone's other tasks and the machine's running ones don't matter.
func (j *Job) mayPreemptOn(m *Machine) bool {
	return !m.Booting && m.ReservedFor == "" && len(m.Running) > 0 && j.Request.Fits(m.Type.Size) &&
		j.AllowedOn(m.Type.Name, m.Zone, m.Spot) && !j.AvoidMachines[m.ID]
}

// preemptionOn works out what has to stop on a machine for one task of the job: the victims, if
// they are wanted, and their cost.
func (r *preemptionRound) preemptionOn(j *Job, m *Machine, guaranteed, wantVictims bool) (victims []RunningTask, cost float64, possible bool) {
	free, stops := m.Free, 0
	for _, task := range r.tasks.on(m) {
		if j.Request.Fits(free) {
			break
		}
		if !r.isPreemptible(task.Job, j, guaranteed) {
			continue
		}
		stops++
		free = free.Plus(task.Job.Request)
		cost += stopCost(task, m)
		if wantVictims {
			victims = append(victims, task)
		}
	}
	return victims, cost, stops > 0 && j.Request.Fits(free)
}
