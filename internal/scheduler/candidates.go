package scheduler

import "container/heap"

// candidateHeap are the machines that may take a task of one job, the best first. Tasks of a
// job are alike, so taking one changes the score of its machine alone: for an array of
// thousands in a fleet of hundreds, looking at all machines for each task took a quarter
// of a second of a controller's share of a core.
type candidateHeap struct {
	snapshot *Snapshot
	job      *Job
	list     []candidate
}

type candidate struct {
	machine  *Machine
	score    float64
	position int // in the snapshot's list: equal scores go to the first
}

// worthRanking says whether enough tasks wait for the order of all machines to be worth
// making. Where the places of other tasks count, each task has a choice of its own.
func (j *Job) worthRanking() bool { return len(j.Waiting) > 2 && !j.OneZone && !j.Spread }

// machineSelector picks the machines for one task of a job after the other.
type machineSelector interface {
	// best is the best machine for the next task, nil if none has room.
	best() *Machine
	// assigned has to follow when a machine was given the task.
	assigned(m *Machine)
	// added brings in a machine that was not there before.
	added(m *Machine, place int)
}

// fullScan looks at all machines anew for each task.
type fullScan struct {
	snapshot *Snapshot
	job      *Job
}

func (e fullScan) best() *Machine { return e.snapshot.scanForBest(e.job) }

func (e fullScan) assigned(*Machine) {}

func (e fullScan) added(*Machine, int) {}

// selectorFor picks machines for the job's waiting tasks.
func (s *Snapshot) selectorFor(j *Job) machineSelector {
	if c := s.searchIndex(j); c != nil {
		return c
	}
	if j.worthRanking() {
		return s.candidateHeapFor(j)
	}
	return fullScan{s, j}
}

// candidateHeapFor puts the machines that have room for a task of the job in order.
func (s *Snapshot) candidateHeapFor(j *Job) *candidateHeap {
	c := &candidateHeap{snapshot: s, job: j}
	list := s.machinesWithRoom(j.Need.Accel > 0, j.Need.Cores > 0)
	s.Looked += len(list)
	for place, m := range list {
		if s.accepts(j, m) {
			c.list = append(c.list, candidate{machine: m, score: s.score(j, m), position: place})
		}
	}
	heap.Init(c)
	return c
}

// best is the best machine, nil if none has room.
func (c *candidateHeap) best() *Machine {
	if len(c.list) == 0 {
		return nil
	}
	return c.list[0].machine
}

// assigned puts the machine in its new place after it was given a task: it was the best, or
// one that was added just now and is.
func (c *candidateHeap) assigned(m *Machine) {
	if len(c.list) == 0 || c.list[0].machine != m {
		return
	}
	first := &c.list[0]
	c.snapshot.Looked++
	if !c.snapshot.accepts(c.job, first.machine) {
		heap.Pop(c)
		return
	}
	first.score = c.snapshot.score(c.job, first.machine)
	heap.Fix(c, 0)
}

// added puts a new machine among the candidates.
func (c *candidateHeap) added(m *Machine, place int) {
	if c.snapshot.accepts(c.job, m) {
		heap.Push(c, candidate{machine: m, score: c.snapshot.score(c.job, m), position: place})
	}
}

// Len, Less, Swap, Push and Pop make a heap of it.
func (c *candidateHeap) Len() int { return len(c.list) }

// Less is part of heap.Interface.
func (c *candidateHeap) Less(a, b int) bool {
	x, y := &c.list[a], &c.list[b]
	if x.score != y.score {
		return x.score < y.score
	}
	return x.position < y.position
}

// Swap is part of heap.Interface.
func (c *candidateHeap) Swap(a, b int) { c.list[a], c.list[b] = c.list[b], c.list[a] }

// Push is part of heap.Interface.
func (c *candidateHeap) Push(x any) { c.list = append(c.list, x.(candidate)) }

// Pop is part of heap.Interface.
func (c *candidateHeap) Pop() any {
	last := len(c.list) - 1
	x := c.list[last]
	c.list = c.list[:last]
	return x
}
