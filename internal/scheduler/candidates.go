package scheduler

import "container/heap"

// candidates are the machines that may take a task of one job, the best first. Tasks of a
// job are alike, so taking one changes the score of its machine alone: for an array of
// thousands in a fleet of hundreds, looking at all machines for each task took a quarter
// of a second of a controller's share of a core.
type candidates struct {
	snapshot *Snapshot
	job      *Job
	list     []candidate
}

type candidate struct {
	machine *Machine
	score   float64
	place   int // in the snapshot's list: equal scores go to the first
}

// severalAlike says whether enough tasks wait for the order of all machines to be worth
// making. Where the places of other tasks count, each task has a choice of its own.
func (j *Job) severalAlike() bool { return len(j.Waiting) > 2 && !j.OneZone && !j.Spread }

// choice picks the machines for one task of a job after the other.
type choice interface {
	// best is the best machine for the next task, nil if none has room.
	best() *Machine
	// taken has to follow when a machine was given the task.
	taken(m *Machine)
	// add brings in a machine that was not there before.
	add(m *Machine, place int)
}

// eachTime looks at all machines anew for each task.
type eachTime struct {
	snapshot *Snapshot
	job      *Job
}

func (e eachTime) best() *Machine { return e.snapshot.bestOfAll(e.job) }

func (e eachTime) taken(*Machine) {}

func (e eachTime) add(*Machine, int) {}

// choices picks machines for the job's waiting tasks.
func (s *Snapshot) choices(j *Job) choice {
	if c := s.choiceByIndex(j); c != nil {
		return c
	}
	if j.severalAlike() {
		return s.candidatesFor(j)
	}
	return eachTime{s, j}
}

// candidatesFor puts the machines that have room for a task of the job in order.
func (s *Snapshot) candidatesFor(j *Job) *candidates {
	c := &candidates{snapshot: s, job: j}
	list := s.roomy(j.Need.Accel > 0, j.Need.Cores > 0)
	s.Looked += len(list)
	for place, m := range list {
		if s.takes(j, m) {
			c.list = append(c.list, candidate{machine: m, score: s.score(j, m), place: place})
		}
	}
	heap.Init(c)
	return c
}

// best is the best machine, nil if none has room.
func (c *candidates) best() *Machine {
	if len(c.list) == 0 {
		return nil
	}
	return c.list[0].machine
}

// taken puts the machine in its new place after it was given a task: it was the best, or
// one that was added just now and is.
func (c *candidates) taken(m *Machine) {
	if len(c.list) == 0 || c.list[0].machine != m {
		return
	}
	first := &c.list[0]
	c.snapshot.Looked++
	if !c.snapshot.takes(c.job, first.machine) {
		heap.Pop(c)
		return
	}
	first.score = c.snapshot.score(c.job, first.machine)
	heap.Fix(c, 0)
}

// add puts a new machine among the candidates.
func (c *candidates) add(m *Machine, place int) {
	if c.snapshot.takes(c.job, m) {
		heap.Push(c, candidate{machine: m, score: c.snapshot.score(c.job, m), place: place})
	}
}

// Len, Less, Swap, Push and Pop make a heap of it.
func (c *candidates) Len() int { return len(c.list) }

// Less is part of heap.Interface.
func (c *candidates) Less(a, b int) bool {
	x, y := &c.list[a], &c.list[b]
	if x.score != y.score {
		return x.score < y.score
	}
	return x.place < y.place
}

// Swap is part of heap.Interface.
func (c *candidates) Swap(a, b int) { c.list[a], c.list[b] = c.list[b], c.list[a] }

// Push is part of heap.Interface.
func (c *candidates) Push(x any) { c.list = append(c.list, x.(candidate)) }

// Pop is part of heap.Interface.
func (c *candidates) Pop() any {
	last := len(c.list) - 1
	x := c.list[last]
	c.list = c.list[:last]
	return x
}
