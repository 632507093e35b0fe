package scheduler

import (
	"container/heap"
	"math"
)

// machineSelector picks the machines for the tasks of a job, one after the other.
type machineSelector interface {
	// best is the best machine for the next task, nil if none has room.
	best() *Machine
	// assigned must be called when the machine that best returned was given a task.
	assigned(m *Machine)
	// added must be called when a machine was added to the snapshot, with its position there.
	added(m *Machine, position int)
}

// selectorFor picks machines for the job's waiting tasks.
func (s *Snapshot) selectorFor(j *Job) machineSelector {
	if search := s.searchIndex(j); search != nil {
		return search
	}
	if j.worthRanking() {
		return s.candidateHeapFor(j)
	}
	return fullScan{s, j}
}

// worthRanking says whether enough tasks wait for it to pay to put all machines in order. Where
// the zones of the job's other tasks count, each task needs an order of its own.
func (j *Job) worthRanking() bool { return len(j.Waiting) > 2 && !j.OneZone && !j.Spread }

// bestMachine is the best machine for one task of the job, nil if none has room.
func (s *Snapshot) bestMachine(j *Job) *Machine {
	if search := s.searchIndex(j); search != nil {
		return search.best()
	}
	return s.scanForBest(j)
}

// scanForBest scores all machines.
func (s *Snapshot) scanForBest(j *Job) *Machine {
	var best *Machine
	bestScore := math.Inf(1)
	list := s.machinesWithRoom(j.Request.Accel > 0, j.Request.Cores > 0)
	s.MachinesExamined += len(list)
	for _, m := range list {
		if !s.accepts(j, m) {
			continue
		}
		if score := s.score(j, m); score < bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// fullScan scores all machines anew for each task.
type fullScan struct {
	snapshot *Snapshot
	job      *Job
}

func (f fullScan) best() *Machine { return f.snapshot.scanForBest(f.job) }

func (f fullScan) assigned(*Machine) {}

func (f fullScan) added(*Machine, int) {}

// candidateHeap has the machines that may take a task of one job, the best first. Tasks of a job
// are alike, so an assignment changes the score of its machine alone. For an array of thousands in
// a fleet of hundreds, scoring all machines for each task took a quarter of a second of a
// controller's share of a core.
type candidateHeap struct {
	snapshot *Snapshot
	job      *Job
	list     []candidate
}

type candidate struct {
	machine  *Machine
	score    float64
	position int // in the snapshot's list: of equal scores the lowest wins
}

// candidateHeapFor scores the machines that have room for a task of the job.
func (s *Snapshot) candidateHeapFor(j *Job) *candidateHeap {
	c := &candidateHeap{snapshot: s, job: j}
	list := s.machinesWithRoom(j.Request.Accel > 0, j.Request.Cores > 0)
	s.MachinesExamined += len(list)
	for position, m := range list {
		if s.accepts(j, m) {
			c.list = append(c.list, candidate{machine: m, score: s.score(j, m), position: position})
		}
	}
	heap.Init(c)
	return c
}

func (c *candidateHeap) best() *Machine {
	if len(c.list) == 0 {
		return nil
	}
	return c.list[0].machine
}

// assigned scores the machine again. It is the first of the heap: it was the best, or was added
// just now and is.
func (c *candidateHeap) assigned(m *Machine) {
	if len(c.list) == 0 || c.list[0].machine != m {
		return
	}
	first := &c.list[0]
	c.snapshot.MachinesExamined++
	if !c.snapshot.accepts(c.job, first.machine) {
		heap.Pop(c)
		return
	}
	first.score = c.snapshot.score(c.job, first.machine)
	heap.Fix(c, 0)
}

func (c *candidateHeap) added(m *Machine, position int) {
	if c.snapshot.accepts(c.job, m) {
		heap.Push(c, candidate{machine: m, score: c.snapshot.score(c.job, m), position: position})
	}
}

// Len is part of heap.Interface.
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
