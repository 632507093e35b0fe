package scheduler

import (
	"cmp"
	"slices"
)

// Placement is a task to start.
type Placement struct {
	Job     *Job
	Index   int
	Machine *Machine
}

// fillPass identifies one of the passes that a fill makes over batches and gangs.
type fillPass int

const (
	withinGuarantees fillPass = iota // tasks within the guarantees of their teams
	withinSlots                      // tasks within the slots of their jobs, the upper queue up to its cap
	interruptedTasks                 // tasks that were interrupted, see Job.Interrupted
	spareResources                   // any tasks that the remaining resources can hold
)

// fillPasses lists all passes in their order.
var fillPasses = [...]fillPass{withinGuarantees, withinSlots, interruptedTasks, spareResources}

// filler holds the state of a running fill.
type filler struct {
	snapshot   *Snapshot
	placements []Placement
}

// Fill assigns waiting tasks to free resources, in rank order within each step. Services come first, those within
// their team's guarantee before the others. Next come one task of each starved batch and whole starved gangs. Then
// Fill reserves headroom for expected replicas. Batches come last, in the order of fillPasses; gangs take part in the
// first two passes. Finally single tasks that found no room probe the machines on probation.
func (s *Snapshot) Fill() []Placement {
	s.useIndex()
	SortByRank(s.Jobs)
	f := filler{snapshot: s}
	f.fillMachines()
	f.placeProbes()
	return f.placements
}

// fillMachines assigns waiting tasks to the machines that are not on probation.
func (f *filler) fillMachines() {
	s := f.snapshot
	f.placeServices()
	f.placeStarvedBatches()
	f.placeStarvedGangs()
	for _, j := range s.Jobs {
		if j.IsHeadroom {
			s.reserve(j)
		}
		s.chargeReserved(j)
	}
	if s.Draining {
		return
	}
	for _, pass := range fillPasses {
		s.reserveAcceleratorCores = pass == spareResources
		if pass == interruptedTasks {
			orderBeyondSlots(s.Jobs)
		}
		f.placeBatches(pass)
	}
	s.reserveAcceleratorCores = false
}

// placeServices starts replicas, first those within the guarantees of their teams.
func (f *filler) placeServices() {
	for _, guaranteed := range []bool{true, false} {
		for _, j := range f.snapshot.Jobs {
			if j.Service && !j.IsHeadroom {
				f.placeTasks(j, func(quota *Quota) bool { return !guaranteed || quota.WithinGuarantee(j.Request) })
			}
		}
	}
}

// placeStarvedBatches starts one task of each batch that has had no task for longer than a machine takes to boot.
// Otherwise headroom for expected replicas and the quota's ServiceReserve could keep the batch from starting its
// first task.
func (f *filler) placeStarvedBatches() {
	s := f.snapshot
	for _, j := range s.Jobs {
		if j.Service || j.Gang || !j.Starved || j.Assigned > 0 || len(j.Waiting) == 0 {
			continue
		}
		if quota := s.Quotas[j.Team]; quota == nil || !quota.WithinMaximum(j.Request) {
			continue
		}
		if m := s.bestMachine(j); m != nil {
			f.placements = append(f.placements, Placement{j, j.Waiting[0], m})
			s.assign(j, m)
		}
	}
}

// placeStarvedGangs places gangs that have waited for longer than a machine takes to boot, the oldest first. If a gang
// does not fit now but would fit if the fleet were empty, the free room for part of its tasks is reserved, because
// small jobs would take that room again in each fill. The reservation ends with the snapshot, so gangs can't block one
// another.
func (f *filler) placeStarvedGangs() {
	s := f.snapshot
	var starved []*Job
	for _, j := range s.Jobs {
		if j.Gang && j.Starved && len(j.Waiting) > 0 {
			starved = append(starved, j)
		}
	}
	slices.SortStableFunc(starved, func(a, b *Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	withinMaximum := func(quota *Quota, whole Resources) bool { return quota.WithinMaximum(whole) }
	for _, j := range starved {
		if quota := s.Quotas[j.Team]; quota == nil || !quota.WithinMaximum(j.totalRequest()) {
			continue // the gang waits until other tasks of its team end
		}
		placed := s.placeGang(j, withinMaximum)
		if len(placed) == 0 {
			placed = s.placeGangWithProbation(j, withinMaximum)
		}
		f.placements = append(f.placements, placed...)
		if len(placed) == 0 && s.fleetCanHold(j) {
			s.reserve(j)
			j.Waiting = nil
		}
	}
}

// orderBeyondSlots sorts jobs for the passes beyond slots, where the upper queue has no precedence because it has used
// up its cap. Jobs are ordered by the time left until their deadlines, then by rank. Jobs that can't meet their
// deadlines come last. Ordering by attained service alone would spread an exhausted team quota over all jobs of the
// team, and then all of them would miss their deadlines.
func orderBeyondSlots(jobs []*Job) {
	slices.SortStableFunc(jobs, func(x, y *Job) int {
		return cmp.Or(compareBool(x.DeadlineMissed, y.DeadlineMissed), cmp.Compare(x.UntilDeadlineS, y.UntilDeadlineS), cmp.Compare(x.Rank(), y.Rank()))
	})
}

// placeBatches makes one pass over batches and gangs. All tasks of a gang are within its slots, so gangs take part only
// in the first two passes.
func (f *filler) placeBatches(pass fillPass) {
	s := f.snapshot
	upperShare := 0.0 // share of the fleet that the upper queue's slots cover so far in this pass
	for _, j := range s.Jobs {
		if j.Service || j.Gang && pass > withinSlots {
			continue
		}
		s.refundReserved(j)
		if j.Gang {
			f.placements = append(f.placements, s.placeGang(j, func(quota *Quota, whole Resources) bool {
				return quota.WithinMaximum(whole.Plus(quota.ServiceReserve)) && (pass == withinSlots || quota.WithinGuarantee(whole))
			})...)
		} else {
			if j.InUpperQueue && pass == withinSlots {
				upperShare += Share(j.Request, s.Capacity) * float64(min(j.Slots, j.Tasks))
			}
			f.placeTasks(j, func(quota *Quota) bool { return s.mayPlaceBatch(j, quota, pass, upperShare) })
		}
		s.chargeReserved(j)
	}
}

// mayPlaceBatch reports whether a batch may start one more task in a pass.
func (s *Snapshot) mayPlaceBatch(j *Job, quota *Quota, pass fillPass, upperShare float64) bool {
	switch pass {
	case withinGuarantees:
		return quota.WithinGuarantee(j.Request)
	case withinSlots:
		return j.Assigned < j.Slots && (!j.InUpperQueue || upperShare <= s.UpperQueueCap || j.Assigned == 0)
	case interruptedTasks:
		// Interrupted tasks were placed by rank before and resume ahead of new tasks. Large jobs have the most attained
		// service and rank last: placed by rank, each of their interrupted tasks waited until a new machine had booted.
		return j.Interrupted > 0
	case spareResources:
		return true
	}
	return true
}

// placeTasks starts waiting tasks of a job until its team's quota, the given condition or the lack of a suitable
// machine prevents it.
func (f *filler) placeTasks(j *Job, allowed func(*Quota) bool) {
	s := f.snapshot
	quota := s.Quotas[j.Team]
	if len(j.Waiting) == 0 || !quota.Admits(j) || !allowed(quota) {
		return
	}
	selector := s.selectorFor(j)
	for len(j.Waiting) > 0 && quota.Admits(j) && allowed(quota) {
		m := selector.best()
		if m == nil {
			return
		}
		f.placements = append(f.placements, Placement{j, j.Waiting[0], m})
		s.assign(j, m)
		selector.assigned(m)
	}
}

// reservedRequest returns the resources that preemption freed for the job and that its tasks do not use yet.
func (j *Job) reservedRequest() Resources {
	return j.Request.Times(float64(min(j.Reserved, len(j.Waiting))))
}

// chargeReserved adds the job's reserved request to the used quota, so that other batches of the team don't take the
// quota that was freed for the job.
func (s *Snapshot) chargeReserved(j *Job) {
	if quota := s.Quotas[j.Team]; quota != nil {
		quota.Used = quota.Used.Plus(j.reservedRequest())
	}
}

// refundReserved reverts chargeReserved while the job's own tasks are placed.
func (s *Snapshot) refundReserved(j *Job) {
	if quota := s.Quotas[j.Team]; quota != nil {
		quota.Used = quota.Used.Minus(j.reservedRequest())
	}
}

// reserve assigns as many of the job's waiting tasks as find room, but does not mark the machines as used.
func (s *Snapshot) reserve(j *Job) {
	if len(j.Waiting) == 0 {
		return
	}
	selector := s.selectorFor(j)
	for len(j.Waiting) > 0 {
		m := selector.best()
		if m == nil {
			return
		}
		used := m.InUse
		s.assign(j, m)
		if m.InUse = used; !used {
			s.machineChanged(m)
		}
		selector.assigned(m)
	}
}

// TryPlaceAll places one task of each of the jobs and reports whether all found room. If any did not, the machines of
// the snapshot stay unchanged. Quotas are not checked, because the tasks already count in the quotas of their teams.
func (s *Snapshot) TryPlaceAll(jobs []*Job) bool {
	trial := s.clone("")
	for _, j := range jobs {
		m := trial.bestMachine(j)
		if m == nil {
			return false
		}
		trial.assign(j, m)
	}
	s.Machines, s.withRoom, s.index, s.Fleet = trial.Machines, [2][]*Machine{}, nil, nil
	return true
}
