package scheduler

import "math"

// scoredMachine is a machine for a task, with its score: the least is the best, and of equal ones the
// first in the snapshot.
type scoredMachine struct {
	machine *Machine
	score   float64
}

func noMachine() scoredMachine { return scoredMachine{score: math.Inf(1)} }

// betterThan says whether it is to be taken before another one.
func (s scoredMachine) betterThan(b scoredMachine) bool {
	switch {
	case s.machine == nil:
		return false
	case b.machine == nil || s.score != b.score:
		return b.machine == nil || s.score < b.score
	}
	return s.machine.position < b.machine.position
}

// indexSearch picks machines for one task of a job after the other by the index. What it
// found in a family stays true until a machine there is given something.
type indexSearch struct {
	snapshot *Snapshot
	job      *Job
	pools    []poolBest
}

// poolBest is the best machine of a family.
type poolBest struct {
	pool  *poolIndex
	best  scoredMachine
	stale bool
}

// searchIndex is nil if the index does not tell which machine is best for the job: for
// room that is kept where several images are, and for tasks that need memory alone.
func (s *Snapshot) searchIndex(j *Job) *indexSearch {
	if s.index == nil || j.Headroom && len(j.Images) > 0 || j.Need.Cores <= 0 && j.Need.Accel <= 0 {
		return nil
	}
	// One choice is made after the other, so that they can share their memory.
	c := &s.search
	*c = indexSearch{snapshot: s, job: j, pools: c.pools[:0]}
	sparing := s.sparingFor(j)
	for _, f := range s.index.poolList {
		if j.AllowedOn(f.typ.Name, f.zone, f.spot) && j.Need.Fits(f.typ.Size) && !f.isInfeasible(j.Need, sparing) {
			c.pools = append(c.pools, poolBest{pool: f, stale: true})
		}
	}
	return c
}

// sparingFor tells which list of hopeless needs is the job's.
func (s *Snapshot) sparingFor(j *Job) int {
	if s.reserveAcceleratorCores && j.Plain && j.Need.Accel <= 0 {
		return 1
	}
	return 0
}

// best is part of choice.
func (c *indexSearch) best() *Machine {
	best := c.bestReserved()
	for i := range c.pools {
		f := &c.pools[i]
		if !c.job.ZoneOpen(f.pool.zone) {
			continue
		}
		if f.stale {
			f.best, f.stale = c.snapshot.bestInFamily(c.job, f.pool), false
		}
		if f.best.betterThan(best) {
			best = f.best
		}
	}
	return best.machine
}

// bestReserved is the best of the machines that are kept for the job.
func (c *indexSearch) bestReserved() scoredMachine {
	best := noMachine()
	for _, m := range c.snapshot.index.reserved[c.job.ID] {
		if c.snapshot.accepts(c.job, m) {
			if candidate := (scoredMachine{m, c.snapshot.score(c.job, m)}); candidate.betterThan(best) {
				best = candidate
			}
		}
	}
	return best
}

// assigned is part of choice.
func (c *indexSearch) assigned(m *Machine) { c.invalidate(m) }

// added is part of choice.
func (c *indexSearch) added(m *Machine, _ int) {
	if !c.invalidate(m) {
		c.pools = append(c.pools, poolBest{pool: c.snapshot.index.poolFor(m), stale: true})
	}
}

// invalidate has a machine's family looked at again; false: it is not among those that the job
// may use.
func (c *indexSearch) invalidate(m *Machine) bool {
	for i := range c.pools {
		if f := c.pools[i].pool; f.typ == m.Type && f.zone == m.Zone && f.spot == m.Spot {
			c.pools[i].stale = true
			return true
		}
	}
	return false
}

// Bounds of a score: the part that the free room adds, and what rounding may take away.
const (
	looseFitScore = 25
	scoreSlack    = 1e-3
)

// bestInFamily is the best machine of a family for a task of the job.
func (s *Snapshot) bestInFamily(j *Job, f *poolIndex) scoredMachine {
	sparing := s.sparingFor(j)
	best := noMachine()
	if f.isInfeasible(j.Need, sparing) {
		return best
	}
	missing := 60 * j.fetchWeight(f.typ)
	for _, g := range f.classList {
		if g.machines.byFreeCores.Len() == 0 || g.accel+eps < j.Need.Accel {
			continue
		}
		base := s.leastScore(j, f, g)
		if j.Image == "" {
			s.lookOn(&g.machines, j, f, g, base, &best)
			continue
		}
		s.lookOn(g.withImage[j.Image], j, f, g, base, &best)
		s.lookOn(g.fetchingImage[j.Image], j, f, g, base+20, &best)
		// Those that have the image are on this shelf too, and score better than it says.
		s.lookOn(&g.machines, j, f, g, base+missing+40*float64(g.fetching), &best)
	}
	if best.machine == nil && len(j.Avoid) == 0 {
		f.recordInfeasible(j.Need, sparing)
	}
	return best
}

// leastScore is the least that a machine of the group may score, the image apart.
func (s *Snapshot) leastScore(j *Job, f *poolIndex, g *equivalenceClass) float64 {
	least := 0.0
	if g.booting {
		least += 1000
	}
	if j.Spot && !f.spot {
		least += 50
	}
	if j.Need.Accel == 0 && f.typ.Size.Accel > 0 {
		least += 30
	}
	if !g.used {
		least += 15
	}
	return least
}

// lookOn looks for a better machine on a shelf, unless none there can be better.
func (s *Snapshot) lookOn(shelf *machineBucket, j *Job, f *poolIndex, g *equivalenceClass, least float64, best *scoredMachine) {
	if shelf == nil || shelf.byFreeCores.Len() == 0 || least-scoreSlack > best.score {
		return
	}
	if j.Need.Accel > 0 && g.accel-j.Need.Accel > 0 {
		// What is left of the accelerators decides, and is the same all along the shelf.
		shelf.byPosition.Scan(func(e bucketEntry) bool { return !s.consider(j, e.machine, best) })
		return
	}
	from := j.Need.Cores - eps
	if j.Need.Accel <= 0 && f.typ.Size.Accel > 0 {
		// From about here on a task without accelerators takes no cores that free ones need.
		unblocked := j.Need.Cores + acceleratorCoreReserve*f.typ.Size.Cores*max(0, g.accel)/f.typ.Size.Accel
		if s.scanCores(shelf, j, unblocked*(1-1e-9), true, best) || s.sparingFor(j) == 1 {
			return
		}
	}
	s.scanCores(shelf, j, from, false, best)
}

// scanCores takes the first machine on the shelf from so many free cores on that may be given
// the task, without taking cores that free accelerators need if so asked; false: there is none.
func (s *Snapshot) scanCores(shelf *machineBucket, j *Job, from float64, unblocked bool, best *scoredMachine) bool {
	some := false
	shelf.byFreeCores.Ascend(bucketEntry{cores: from, position: math.MinInt}, func(e bucketEntry) bool {
		some = !(unblocked && j.blocksAccelerators(e.machine)) && s.consider(j, e.machine, best)
		return !some
	})
	return some
}

// consider takes a machine for the best if it is, and says whether it may be given the task.
func (s *Snapshot) consider(j *Job, m *Machine, best *scoredMachine) bool {
	s.Looked++
	if !s.accepts(j, m) {
		return false
	}
	if candidate := (scoredMachine{m, s.score(j, m)}); candidate.betterThan(*best) {
		*best = candidate
	}
	return true
}
