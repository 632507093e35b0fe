package scheduler

import "math"

// found is a machine for a task, with its score: the least is the best, and of equal ones the
// first in the snapshot.
type found struct {
	machine *Machine
	score   float64
}

func noMachine() found { return found{score: math.Inf(1)} }

// betterThan says whether it is to be taken before another one.
func (a found) betterThan(b found) bool {
	switch {
	case a.machine == nil:
		return false
	case b.machine == nil || a.score != b.score:
		return b.machine == nil || a.score < b.score
	}
	return a.machine.place < b.machine.place
}

// indexChoice picks machines for one task of a job after the other by the index. What it
// found in a family stays true until a machine there is given something.
type indexChoice struct {
	snapshot *Snapshot
	job      *Job
	fronts   []front
}

// front is the best machine of a family.
type front struct {
	family *family
	best   found
	stale  bool
}

// choiceByIndex is nil if the index does not tell which machine is best for the job: for
// room that is kept where several images are, and for tasks that need memory alone.
func (s *Snapshot) choiceByIndex(j *Job) *indexChoice {
	if s.index == nil || j.Headroom && len(j.Images) > 0 || j.Need.Cores <= 0 && j.Need.Accel <= 0 {
		return nil
	}
	// One choice is made after the other, so that they can share their memory.
	c := &s.byIndex
	*c = indexChoice{snapshot: s, job: j, fronts: c.fronts[:0]}
	sparing := s.sparingFor(j)
	for _, f := range s.index.list {
		if j.AllowedOn(f.typ.Name, f.zone, f.spot) && j.Need.Fits(f.typ.Size) && !f.isHopeless(j.Need, sparing) {
			c.fronts = append(c.fronts, front{family: f, stale: true})
		}
	}
	return c
}

// sparingFor tells which list of hopeless needs is the job's.
func (s *Snapshot) sparingFor(j *Job) int {
	if s.sparingCores && j.Plain && j.Need.Accel <= 0 {
		return 1
	}
	return 0
}

// best is part of choice.
func (c *indexChoice) best() *Machine {
	best := c.bestClaimed()
	for i := range c.fronts {
		f := &c.fronts[i]
		if !c.job.ZoneOpen(f.family.zone) {
			continue
		}
		if f.stale {
			f.best, f.stale = c.snapshot.bestInFamily(c.job, f.family), false
		}
		if f.best.betterThan(best) {
			best = f.best
		}
	}
	return best.machine
}

// bestClaimed is the best of the machines that are kept for the job.
func (c *indexChoice) bestClaimed() found {
	best := noMachine()
	for _, m := range c.snapshot.index.claimed[c.job.ID] {
		if c.snapshot.takes(c.job, m) {
			if candidate := (found{m, c.snapshot.score(c.job, m)}); candidate.betterThan(best) {
				best = candidate
			}
		}
	}
	return best
}

// taken is part of choice.
func (c *indexChoice) taken(m *Machine) { c.look(m) }

// add is part of choice.
func (c *indexChoice) add(m *Machine, _ int) {
	if !c.look(m) {
		c.fronts = append(c.fronts, front{family: c.snapshot.index.familyOf(m), stale: true})
	}
}

// look has a machine's family looked at again; false: it is not among those that the job
// may use.
func (c *indexChoice) look(m *Machine) bool {
	for i := range c.fronts {
		if f := c.fronts[i].family; f.typ == m.Type && f.zone == m.Zone && f.spot == m.Spot {
			c.fronts[i].stale = true
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
func (s *Snapshot) bestInFamily(j *Job, f *family) found {
	sparing := s.sparingFor(j)
	best := noMachine()
	if f.isHopeless(j.Need, sparing) {
		return best
	}
	missing := 60 * j.fetchWeight(f.typ)
	for _, g := range f.list {
		if g.all.byCores.Len() == 0 || g.accel+eps < j.Need.Accel {
			continue
		}
		base := s.leastScore(j, f, g)
		if j.Image == "" {
			s.lookOn(&g.all, j, f, g, base, &best)
			continue
		}
		s.lookOn(g.having[j.Image], j, f, g, base, &best)
		s.lookOn(g.fetchingImage[j.Image], j, f, g, base+20, &best)
		// Those that have the image are on this shelf too, and score better than it says.
		s.lookOn(&g.all, j, f, g, base+missing+40*float64(g.fetching), &best)
	}
	if best.machine == nil && len(j.Avoid) == 0 {
		f.noteHopeless(j.Need, sparing)
	}
	return best
}

// leastScore is the least that a machine of the group may score, the image apart.
func (s *Snapshot) leastScore(j *Job, f *family, g *group) float64 {
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
func (s *Snapshot) lookOn(shelf *shelf, j *Job, f *family, g *group, least float64, best *found) {
	if shelf == nil || shelf.byCores.Len() == 0 || least-scoreSlack > best.score {
		return
	}
	if j.Need.Accel > 0 && g.accel-j.Need.Accel > 0 {
		// What is left of the accelerators decides, and is the same all along the shelf.
		shelf.byPlace.Scan(func(e entry) bool { return !s.consider(j, e.machine, best) })
		return
	}
	from := j.Need.Cores - eps
	if j.Need.Accel <= 0 && f.typ.Size.Accel > 0 {
		// From about here on a task without accelerators takes no cores that free ones need.
		unblocked := j.Need.Cores + sparedCores*f.typ.Size.Cores*max(0, g.accel)/f.typ.Size.Accel
		if s.scanCores(shelf, j, unblocked*(1-1e-9), true, best) || s.sparingFor(j) == 1 {
			return
		}
	}
	s.scanCores(shelf, j, from, false, best)
}

// scanCores takes the first machine on the shelf from so many free cores on that may be given
// the task, without taking cores that free accelerators need if so asked; false: there is none.
func (s *Snapshot) scanCores(shelf *shelf, j *Job, from float64, unblocked bool, best *found) bool {
	some := false
	shelf.byCores.Ascend(entry{cores: from, place: math.MinInt}, func(e entry) bool {
		some = !(unblocked && j.blocksAccelerators(e.machine)) && s.consider(j, e.machine, best)
		return !some
	})
	return some
}

// consider takes a machine for the best if it is, and says whether it may be given the task.
func (s *Snapshot) consider(j *Job, m *Machine, best *found) bool {
	s.Looked++
	if !s.takes(j, m) {
		return false
	}
	if candidate := (found{m, s.score(j, m)}); candidate.betterThan(*best) {
		*best = candidate
	}
	return true
}
