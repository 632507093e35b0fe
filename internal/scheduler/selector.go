package scheduler

import (
	"container/heap"
	"math"
)

// machineSelector selects machines for the tasks of a job, one after the other.
type machineSelector interface {
	// best returns the best machine for the next task, or nil if none accepts it.
	best() *Machine
	// assigned must be called after a task was assigned to the machine that best returned.
	assigned(m *Machine)
	// added must be called after a machine was added to the snapshot, with its position in the snapshot's list.
	added(m *Machine, position int)
}

// selectorFor returns a selector for the job's waiting tasks.
func (s *Snapshot) selectorFor(j *Job) machineSelector {
	if search := s.searchIndex(j); search != nil {
		return search
	}
	if j.worthBuildingHeap() {
		return s.candidateHeapFor(j)
	}
	return fullScan{s, j}
}

// worthBuildingHeap reports whether enough tasks wait for building a heap of all machines to be cheaper than scoring
// them for each task. With OneZone or Spread each assignment may close a zone, so a heap would not stay valid.
func (j *Job) worthBuildingHeap() bool { return len(j.Waiting) > 2 && !j.OneZone && !j.Spread }

// bestMachine returns the best machine for one task of the job, or nil if none accepts it.
func (s *Snapshot) bestMachine(j *Job) *Machine {
	if search := s.searchIndex(j); search != nil {
		return search.best()
	}
	return s.scanForBest(j)
}

// scanForBest scores all machines that may have room and returns the best one, or nil if none accepts the task.
func (s *Snapshot) scanForBest(j *Job) *Machine {
	var best *Machine
	bestScore := math.Inf(1)
	list := s.machinesWithRoom(j.Request.Accelerators > 0, j.Request.Cores > 0)
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

// fullScan is a machineSelector that scores all machines again for each task.
type fullScan struct {
	snapshot *Snapshot
	job      *Job
}

func (f fullScan) best() *Machine { return f.snapshot.scanForBest(f.job) }

func (f fullScan) assigned(*Machine) {}

func (f fullScan) added(*Machine, int) {}

// candidateHeap is a machineSelector that holds the machines that accept a task of one job, the best first. All tasks
// of a job have the same request, so an assignment changes only the score of the assigned machine. For a job with
// thousands of tasks and a fleet of hundreds of machines, scoring all machines for each task took a quarter of a second
// of the CPU time that a controller gets.
type candidateHeap struct {
	snapshot *Snapshot
	job      *Job
	list     []candidate
}

type candidate struct {
	machine  *Machine
	score    float64
	position int // increases in the order of the snapshot's list; among equal scores the lowest wins
}

// candidateHeapFor returns a heap of the machines that accept a task of the job.
func (s *Snapshot) candidateHeapFor(j *Job) *candidateHeap {
	c := &candidateHeap{snapshot: s, job: j}
	list := s.machinesWithRoom(j.Request.Accelerators > 0, j.Request.Cores > 0)
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

// assigned updates the score of the machine, or removes the machine if it accepts no further task. The machine must be
// at the top of the heap: best returned it, or it was just added and became the best.
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
