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

// fillPass is one of the passes of a fill over batches and gangs.
type fillPass int

const (
	withinGuarantees fillPass = iota // within their teams' guarantees
	withinSlots                      // within slots, the upper queue under its cap
	interrupted                      // what a machine's end interrupted
	spareRoom                        // whatever room is left
)

// fillPasses are all passes in their order.
var fillPasses = [...]fillPass{withinGuarantees, withinSlots, interrupted, spareRoom}

// filler is a fill at work.
type filler struct {
	snapshot   *Snapshot
	placements []Placement
}

// Fill starts waiting tasks in rank order: services, those within their team's guarantee first;
// then one task of each starved batch and whole starved gangs; then the room reserved for expected
// replicas; then batches, first within guarantees, then within slots (the upper queue under its
// cap), then what was interrupted, then whatever room is spare.
func (s *Snapshot) Fill() []Placement {
	s.useIndex()
	Order(s.Jobs)
	f := filler{snapshot: s}
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
		return f.placements
	}
	for _, pass := range fillPasses {
		s.reserveAcceleratorCores = pass == spareRoom
		if pass == interrupted {
			orderBeyondSlots(s.Jobs)
		}
		f.placeBatches(pass)
	}
	s.reserveAcceleratorCores = false
	return f.placements
}

// placeServices starts replicas, those within their teams' guarantees first.
func (f *filler) placeServices() {
	for _, guaranteed := range []bool{true, false} {
		for _, j := range f.snapshot.Jobs {
			if j.Service && !j.IsHeadroom {
				f.placeTasks(j, func(quota *Quota) bool { return !guaranteed || quota.WithinGuarantee(j.Request) })
			}
		}
	}
}

// placeStarvedBatches gives each batch that has waited for longer than a boot one task. Headroom
// and what batches leave of a quota are no reason for a batch to go without a single task for as
// long as there is no other.
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

// placeStarvedGangs places gangs that have waited for longer than a boot, the oldest first. If one
// does not fit, what there is of its room is held back from all others: small jobs would take it
// again and again. Nothing of that outlives the snapshot, so gangs can't block one another.
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
		if quota := s.Quotas[j.Team]; quota == nil || !quota.WithinMaximum(j.wholeNeed()) {
			continue // its team's own work has to end first
		}
		placed := s.placeGang(j, withinMaximum)
		f.placements = append(f.placements, placed...)
		if len(placed) == 0 && s.fleetCanHold(j) {
			s.reserve(j)
			j.Waiting = nil
		}
	}
}

// orderBeyondSlots sorts jobs for the room beyond slots. There the upper queue has no precedence,
// as its cap has been used up. Jobs with a deadline go by the time they have left, and those that
// can't meet theirs go last: least attained service spreads a full team's quota over all its
// jobs, and then all of them are late.
func orderBeyondSlots(jobs []*Job) {
	slices.SortStableFunc(jobs, func(x, y *Job) int {
		return cmp.Or(compareBool(x.DeadlineMissed, y.DeadlineMissed), cmp.Compare(x.UntilDeadlineS, y.UntilDeadlineS), cmp.Compare(x.Rank(), y.Rank()))
	})
}

// placeBatches is one pass over batches and gangs. Gangs have no slots to go beyond, so they take
// part in the first two passes only.
func (f *filler) placeBatches(pass fillPass) {
	s := f.snapshot
	upperShare := 0.0 // of the fleet, that slots of the upper queue have in this pass
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

// mayPlaceBatch says whether a batch may start one more task in a pass.
func (s *Snapshot) mayPlaceBatch(j *Job, quota *Quota, pass fillPass, upperShare float64) bool {
	switch pass {
	case withinGuarantees:
		return quota.WithinGuarantee(j.Request)
	case withinSlots:
		return j.Assigned < j.Slots && (!j.InUpperQueue || upperShare <= s.UpperQueueCap || j.Assigned == 0)
	case interrupted:
		// Interrupted tasks had been placed by rank, and go on before new tasks take the room:
		// large jobs have attained most, and each of their interrupted tasks waited for a boot.
		return j.Interrupted > 0
	case spareRoom:
		return true
	}
	return true
}

// placeTasks starts a job's tasks while its team's quota, the given condition and the room allow.
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

// reservedNeed is what was freed for the job by preemption and it has not taken yet.
func (j *Job) reservedNeed() Resources {
	return j.Request.Times(float64(min(j.Reserved, len(j.Waiting))))
}

// chargeReserved counts the job's reserved need as used, so that the team's other batches don't
// take the part of the quota that was freed for it.
func (s *Snapshot) chargeReserved(j *Job) {
	if quota := s.Quotas[j.Team]; quota != nil {
		quota.Used = quota.Used.Plus(j.reservedNeed())
	}
}

// refundReserved takes chargeReserved back for the job's own turn.
func (s *Snapshot) refundReserved(j *Job) {
	if quota := s.Quotas[j.Team]; quota != nil {
		quota.Used = quota.Used.Minus(j.reservedNeed())
	}
}

// reserve takes room for the job's waiting tasks on machines that are up, as far as there is any,
// without making the machines count as used.
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
		used := m.Used
		s.assign(j, m)
		if m.Used = used; !used {
			s.machineChanged(m)
		}
		selector.assigned(m)
	}
}

// TryPlaceAll says whether there is room for a task of each of the jobs, and takes it if there is for
// all. Quotas are not checked: the jobs' teams use that much already.
func (s *Snapshot) TryPlaceAll(jobs []*Job) bool {
	rest := s.clone("")
	for _, j := range jobs {
		m := rest.bestMachine(j)
		if m == nil {
			return false
		}
		rest.assign(j, m)
	}
	s.Machines, s.withRoom, s.index, s.Fleet = rest.Machines, [2][]*Machine{}, nil, nil
	return true
}
