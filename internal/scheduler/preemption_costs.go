package scheduler

import "container/heap"

// preemptionCosts holds the machines on which preemption could make room for one task of a job, by zone and sorted by
// cost. While the version of the preemptible tasks stays the same, free resources only shrink and costs only rise, so
// the cheapest machine is found by updating only the entries at the top of the heap.
type preemptionCosts struct {
	zones      map[string]*costHeap
	version    int
	guaranteed bool // the task was within its team's guarantee
	// fitsWithoutStop is set if some machine has free resources for the task without a stop but does not accept it. A
	// larger task would need stops there and could then be placed, so the request must not be recorded as
	// infeasible.
	fitsWithoutStop bool
}

// costHeap is a heap of machines, the cheapest first. Among equal costs, the first machine in the snapshot comes first.
type costHeap []machineCost

type machineCost struct {
	machine *Machine
	cost    float64
	free    Resources // free resources of the machine when the cost was computed
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

// sharedCostsKey holds the properties that determine which tasks may be stopped for a replica, and on which machines.
// The rank of the replica is not among them: every task that it may preempt ranks after it, both the tasks of lower
// priority and the batch tasks of teams that exceed their guarantees. So replicas with equal keys share their costs.
type sharedCostsKey struct {
	request                     Resources
	types, zone, reclaimingTeam string // reclaimingTeam: the job's team if within its guarantee, else empty
	spot, guaranteed            bool
	priority                    int
}

// sharedCostsKey returns the key of the job's preemption costs. It returns false if the job can't share its costs.
func (j *Job) sharedCostsKey(guaranteed bool) (sharedCostsKey, bool) {
	if !j.Service || len(j.AvoidMachines) > 0 || guaranteed && j.WaitedTwoBoots {
		return sharedCostsKey{}, false
	}
	key := sharedCostsKey{request: j.Request, types: j.typeNames(), zone: j.Zone, spot: j.Spot, guaranteed: guaranteed, priority: j.Priority}
	if guaranteed {
		key.reclaimingTeam = j.Team
	}
	return key, true
}

// cheapestPreemption returns the machine on which making room for one task costs least, and the tasks to stop there.
// costs holds the costs computed for earlier tasks of the job and is replaced if out of date.
func (r *preemptionRound) cheapestPreemption(j *Job, guaranteed bool, costs **preemptionCosts) (*Machine, []RunningTask) {
	if !r.tasks.anyPreemptibleFor(j, guaranteed) {
		return nil, nil
	}
	current := *costs
	if current == nil || current.version != r.tasks.version || current.guaranteed != guaranteed {
		key := j.preemptionKey(guaranteed)
		if r.tasks.isInfeasible(key, j.Request) {
			return nil, nil
		}
		current = r.costsFor(j, guaranteed)
		if *costs = current; len(current.zones) == 0 && !current.fitsWithoutStop {
			r.tasks.recordInfeasible(j, key)
		}
	}
	var cheapest *machineCost
	for zone, h := range current.zones {
		if !j.AllowsZone(zone) {
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

// cheapestOf returns the cheapest machine of a zone, or nil if there is none. If the free resources of a machine have
// changed, it computes the cost again.
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

// costsFor computes the cost of a preemption on each machine, or returns the costs shared by jobs with the same key.
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
			costs.fitsWithoutStop = true
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

// add appends a machine to the list of its zone. The caller must call heap.Init afterwards.
func (p *preemptionCosts) add(c machineCost) {
	zone := c.machine.Zone
	if p.zones[zone] == nil {
		p.zones[zone] = &costHeap{}
	}
	*p.zones[zone] = append(*p.zones[zone], c)
}

// mayPreemptOn reports whether preemption on a machine could make room for a task of the job. It checks neither which
// of the running tasks are preemptible nor the zones of the job's other tasks.
func (j *Job) mayPreemptOn(m *Machine) bool {
	return !m.Booting && m.ReservedFor == "" && len(m.Running) > 0 && j.Request.Fits(m.Type.Size) &&
		j.AllowedOn(m.Type.Name, m.Zone, m.Spot) && !j.AvoidMachines[m.ID]
}

// preemptionOn computes which tasks must be stopped on a machine for one task of the job, and the cost of the stops. It
// lists the victims only if wantVictims is set.
func (r *preemptionRound) preemptionOn(j *Job, m *Machine, guaranteed, wantVictims bool) (victims []RunningTask, cost float64, possible bool) {
	free, stops := m.Free, 0
	for _, task := range r.tasks.tasksOn(m) {
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
