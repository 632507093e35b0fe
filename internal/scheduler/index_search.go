package scheduler

import "math"

// scoredMachine is a machine for a task, with its score: the lowest is the best, and of equal ones
// the first in the snapshot.
type scoredMachine struct {
	machine *Machine
	score   float64
}

func noMachine() scoredMachine { return scoredMachine{score: math.Inf(1)} }

// betterThan says whether it is to be taken before another one.
func (s scoredMachine) betterThan(other scoredMachine) bool {
	switch {
	case s.machine == nil:
		return false
	case other.machine == nil || s.score != other.score:
		return other.machine == nil || s.score < other.score
	}
	return s.machine.position < other.machine.position
}

// indexSearch picks machines for one task of a job after the other by the index. What it found in
// a pool stays true until a machine of the pool is assigned something.
type indexSearch struct {
	snapshot *Snapshot
	job      *Job
	rule     coreRule
	pools    []poolBest
}

// poolBest is the best machine of a pool. It is searched for when it is first asked for, and again
// once stale.
type poolBest struct {
	pool  *poolIndex
	best  scoredMachine
	stale bool
}

// searchIndex is nil if the index does not tell which machine is best for the job: for headroom
// that is reserved where several images are, and for tasks that need memory alone.
func (s *Snapshot) searchIndex(j *Job) *indexSearch {
	if s.index == nil || j.IsHeadroom && len(j.Images) > 0 || j.Request.Cores <= 0 && j.Request.Accel <= 0 {
		return nil
	}
	// Searches don't overlap, so each takes over the memory of the one before.
	search := &s.search
	*search = indexSearch{snapshot: s, job: j, rule: s.coreRuleFor(j), pools: search.pools[:0]}
	for _, pool := range s.index.poolList {
		if j.AllowedOn(pool.typ.Name, pool.zone, pool.spot) && j.Request.Fits(pool.typ.Size) && !pool.isInfeasible(j.Request, search.rule) {
			search.pools = append(search.pools, poolBest{pool: pool, stale: true})
		}
	}
	return search
}

// coreRuleFor says which cores a task of the job may take now.
func (s *Snapshot) coreRuleFor(j *Job) coreRule {
	if s.reserveAcceleratorCores && j.AvoidsAccelerators && j.Request.Accel <= 0 {
		return leaveAcceleratorCores
	}
	return anyCores
}

// best is part of machineSelector.
func (is *indexSearch) best() *Machine {
	best := is.bestReserved()
	for i := range is.pools {
		p := &is.pools[i]
		if !is.job.ZoneOpen(p.pool.zone) {
			continue
		}
		if p.stale {
			p.best, p.stale = is.bestInPool(p.pool), false
		}
		if p.best.betterThan(best) {
			best = p.best
		}
	}
	return best.machine
}

// bestReserved is the best of the machines that are reserved for the job.
func (is *indexSearch) bestReserved() scoredMachine {
	best := noMachine()
	for _, m := range is.snapshot.index.reserved[is.job.ID] {
		if is.snapshot.accepts(is.job, m) {
			if candidate := (scoredMachine{m, is.snapshot.score(is.job, m)}); candidate.betterThan(best) {
				best = candidate
			}
		}
	}
	return best
}

// assigned is part of machineSelector.
func (is *indexSearch) assigned(m *Machine) { is.invalidate(m) }

// added is part of machineSelector.
func (is *indexSearch) added(m *Machine, _ int) {
	if !is.invalidate(m) {
		is.pools = append(is.pools, poolBest{pool: is.snapshot.index.poolFor(m), stale: true})
	}
}

// invalidate has a machine's pool searched again; false: it is not among those that the job may
// use.
func (is *indexSearch) invalidate(m *Machine) bool {
	key := m.poolKey()
	for i := range is.pools {
		if is.pools[i].pool.poolKey == key {
			is.pools[i].stale = true
			return true
		}
	}
	return false
}

// scoreSlack is by how much rounding may put a score below its lower bound.
const scoreSlack = 1e-3

// bestInPool is the best machine of a pool for a task of the job.
func (is *indexSearch) bestInPool(pool *poolIndex) scoredMachine {
	j := is.job
	best := noMachine()
	if pool.isInfeasible(j.Request, is.rule) {
		return best
	}
	missingImage := missingImageScore * j.fetchWeight(pool.typ)
	for _, class := range pool.classList {
		if class.machines.len() == 0 || class.accel+eps < j.Request.Accel {
			continue
		}
		bound := leastScore(j, pool, class)
		if j.Image == "" {
			is.searchBucket(&class.machines, pool, class, bound, &best)
			continue
		}
		is.searchBucket(class.withImage[j.Image], pool, class, bound, &best)
		is.searchBucket(class.fetchingImage[j.Image], pool, class, bound+fetchingImageScore, &best)
		// Machines that have the image are in this bucket too, and score better than the bound;
		// they have been searched already.
		is.searchBucket(&class.machines, pool, class, bound+missingImage+fetchInProgressScore*float64(class.fetching), &best)
	}
	if best.machine == nil && len(j.AvoidMachines) == 0 {
		pool.recordInfeasible(j.Request, is.rule)
	}
	return best
}

// leastScore is the lower bound of the scores of a class's machines, the image apart.
func leastScore(j *Job, pool *poolIndex, class *equivalenceClass) float64 {
	least := 0.0
	if class.booting {
		least += bootingScore
	}
	if j.Spot && !pool.spot {
		least += notSpotScore
	}
	if j.Request.Accel == 0 && pool.typ.Size.Accel > 0 {
		least += unneededAcceleratorScore
	}
	if !class.used {
		least += unusedScore
	}
	return least
}

// searchBucket looks for a better machine in a bucket, unless the lower bound of its scores shows
// that there is none.
func (is *indexSearch) searchBucket(bucket *machineBucket, pool *poolIndex, class *equivalenceClass, bound float64, best *scoredMachine) {
	if bucket == nil || bucket.len() == 0 || bound-scoreSlack > best.score {
		return
	}
	j := is.job
	if j.Request.Accel > 0 && class.accel-j.Request.Accel > 0 {
		// What is left of the accelerators decides, and is the same all along the bucket.
		bucket.byPosition.Scan(func(entry bucketEntry) bool { return !is.consider(entry.machine, best) })
		return
	}
	if j.Request.Accel <= 0 && pool.typ.Size.Accel > 0 {
		// From about here on a task without accelerators takes no cores that free ones need.
		enough := j.Request.Cores + acceleratorCoreReserve*pool.typ.Size.Cores*max(0, class.accel)/pool.typ.Size.Accel
		if is.scanFrom(bucket, enough*(1-1e-9), leaveAcceleratorCores, best) || is.rule == leaveAcceleratorCores {
			return
		}
	}
	is.scanFrom(bucket, j.Request.Cores-eps, anyCores, best)
}

// scanFrom considers the first machine of the bucket, from a number of free cores on, that accepts
// the task under the rule. It returns false if there is none.
func (is *indexSearch) scanFrom(bucket *machineBucket, cores float64, rule coreRule, best *scoredMachine) bool {
	found := false
	bucket.byFreeCores.Ascend(bucketEntry{cores: cores, position: math.MinInt}, func(entry bucketEntry) bool {
		if rule == leaveAcceleratorCores && is.job.blocksAccelerators(entry.machine) {
			return true
		}
		found = is.consider(entry.machine, best)
		return !found
	})
	return found
}

// consider takes a machine for the best if it is, and says whether it accepts the task.
func (is *indexSearch) consider(m *Machine, best *scoredMachine) bool {
	is.snapshot.MachinesExamined++
	if !is.snapshot.accepts(is.job, m) {
		return false
	}
	if candidate := (scoredMachine{m, is.snapshot.score(is.job, m)}); candidate.betterThan(*best) {
		*best = candidate
	}
	return true
}
