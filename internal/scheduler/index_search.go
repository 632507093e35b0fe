package scheduler

import "math"

// scoredMachine is a candidate machine for a task and its score. The lowest score is the best; among equal scores, the
// first machine in the snapshot is.
type scoredMachine struct {
	machine *Machine
	score   float64
}

func noMachine() scoredMachine { return scoredMachine{score: math.Inf(1)} }

// betterThan reports whether the candidate is preferred to another one.
func (s scoredMachine) betterThan(other scoredMachine) bool {
	switch {
	case s.machine == nil:
		return false
	case other.machine == nil || s.score != other.score:
		return other.machine == nil || s.score < other.score
	}
	return s.machine.position < other.machine.position
}

// indexSearch selects machines for the tasks of a job, one after the other, with the index. The best machine of a pool
// stays valid until a task is assigned to a machine of that pool.
type indexSearch struct {
	snapshot *Snapshot
	job      *Job
	rule     coreRule
	pools    []poolBest
}

// poolBest caches the best machine of a pool. The pool is searched again when the cached result is stale.
type poolBest struct {
	pool  *poolIndex
	best  scoredMachine
	stale bool
}

// searchIndex returns a search for the job. It returns nil if the snapshot has no index, or if the index can't
// determine the best machine: for headroom whose expected tasks need images, and for tasks that request only memory.
func (s *Snapshot) searchIndex(j *Job) *indexSearch {
	if s.index == nil || j.IsHeadroom && len(j.Images) > 0 || j.Request.Cores <= 0 && j.Request.Accelerators <= 0 {
		return nil
	}
	// Searches don't overlap, so each one reuses the memory of the previous one.
	search := &s.search
	*search = indexSearch{snapshot: s, job: j, rule: s.coreRuleFor(j), pools: search.pools[:0]}
	for _, pool := range s.index.poolList {
		if j.AllowedOn(pool.typ.Name, pool.zone, pool.spot) && j.Request.Fits(pool.typ.Size) && !pool.isInfeasible(j.Request, search.rule) {
			search.pools = append(search.pools, poolBest{pool: pool, stale: true})
		}
	}
	return search
}

// coreRuleFor returns the rule for which cores a task of the job may take in the current pass.
func (s *Snapshot) coreRuleFor(j *Job) coreRule {
	if s.reserveAcceleratorCores && j.AvoidsAccelerators && j.Request.Accelerators <= 0 {
		return leaveAcceleratorCores
	}
	return anyCores
}

// best implements machineSelector.
func (is *indexSearch) best() *Machine {
	best := is.bestReserved()
	for i := range is.pools {
		p := &is.pools[i]
		if !is.job.AllowsZone(p.pool.zone) {
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

// bestReserved returns the best machine among those reserved for the job.
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

// assigned implements machineSelector.
func (is *indexSearch) assigned(m *Machine) { is.invalidate(m) }

// added implements machineSelector.
func (is *indexSearch) added(m *Machine, _ int) {
	if !is.invalidate(m) {
		is.pools = append(is.pools, poolBest{pool: is.snapshot.index.poolFor(m), stale: true})
	}
}

// invalidate marks the cached result of a machine's pool as stale. It returns false if the pool is not part of the
// search.
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

// scoreSlack is the largest amount by which rounding may put a score below its lower bound.
const scoreSlack = 1e-3

// bestInPool returns the best machine of a pool for a task of the job.
func (is *indexSearch) bestInPool(pool *poolIndex) scoredMachine {
	j := is.job
	best := noMachine()
	if pool.isInfeasible(j.Request, is.rule) {
		return best
	}
	missingImagePenalty := missingImageScore * j.fetchWeight(pool.typ)
	for _, class := range pool.classList {
		if class.machines.len() == 0 || class.accelerators+roundingTolerance < j.Request.Accelerators {
			continue
		}
		bound := scoreLowerBound(j, pool, class)
		if j.Image == "" {
			is.searchBucket(&class.machines, pool, class, bound, &best)
			continue
		}
		is.searchBucket(class.withImage[j.Image], pool, class, bound, &best)
		is.searchBucket(class.fetchingImage[j.Image], pool, class, bound+fetchingImageScore, &best)
		// This bucket also holds the machines that have the image or fetch it. Their scores may be below the bound,
		// but the two searches above have covered them.
		is.searchBucket(&class.machines, pool, class, bound+missingImagePenalty+fetchInProgressScore*float64(class.fetching), &best)
	}
	if best.machine == nil && len(j.AvoidMachines) == 0 {
		pool.recordInfeasible(j.Request, is.rule)
	}
	return best
}

// scoreLowerBound returns a lower bound of the scores of a class's machines, without the part for the image.
func scoreLowerBound(j *Job, pool *poolIndex, class *equivalenceClass) float64 {
	least := 0.0
	if class.booting {
		least += bootingScore
	}
	if j.Spot && !pool.spot {
		least += notSpotScore
	}
	if j.Request.Accelerators == 0 && pool.typ.Size.Accelerators > 0 {
		least += unneededAcceleratorScore
	}
	if !class.inUse {
		least += unusedScore
	}
	return least
}

// searchBucket searches a bucket for a better machine, unless the lower bound of the bucket's scores shows that it
// holds none.
func (is *indexSearch) searchBucket(bucket *machineBucket, pool *poolIndex, class *equivalenceClass, bound float64, best *scoredMachine) {
	if bucket == nil || bucket.len() == 0 || bound-scoreSlack > best.score {
		return
	}
	j := is.job
	if j.Request.Accelerators > 0 && class.accelerators-j.Request.Accelerators > 0 {
		// The score depends on the accelerators that stay free, which are the same for all machines of the bucket.
		bucket.byPosition.Scan(func(entry bucketEntry) bool { return !is.consider(entry.machine, best) })
		return
	}
	if j.Request.Accelerators <= 0 && pool.typ.Size.Accelerators > 0 {
		// On machines with at least about this many free cores, a task without accelerators takes no cores that free
		// accelerators need.
		minCores := j.Request.Cores + acceleratorCoreReserve*pool.typ.Size.Cores*max(0, class.accelerators)/pool.typ.Size.Accelerators
		if is.scanFrom(bucket, minCores*(1-1e-9), leaveAcceleratorCores, best) || is.rule == leaveAcceleratorCores {
			return
		}
	}
	is.scanFrom(bucket, j.Request.Cores-roundingTolerance, anyCores, best)
}

// scanFrom considers the first machine of the bucket that has at least the given number of free cores and accepts the
// task under the rule. It returns false if there is none.
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

// consider replaces best by the machine if that is better, and reports whether the machine accepts the task.
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
