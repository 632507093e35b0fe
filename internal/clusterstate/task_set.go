package clusterstate

import "math/bits"

// bitsPerWord is the number of tasks in one word of a taskSet.
const bitsPerWord = 64

// taskSet is a set of a job's tasks, one bit per index. Job arrays have up to 100,000 tasks, so the sets are
// processed 64 tasks at a time.
type taskSet []uint64

func newTaskSet(tasks int) taskSet { return make(taskSet, (tasks+bitsPerWord-1)/bitsPerWord) }

func (t taskSet) contains(index int) bool {
	return t[index/bitsPerWord]&(1<<(index%bitsPerWord)) != 0
}

func (t taskSet) add(index int) { t[index/bitsPerWord] |= 1 << (index % bitsPerWord) }

func (t taskSet) remove(index int) { t[index/bitsPerWord] &^= 1 << (index % bitsPerWord) }

// unionSize returns the number of tasks that are in either set. Both sets must be of the same job.
func (t taskSet) unionSize(other taskSet) int {
	size := 0
	for word := range t {
		size += bits.OnesCount64(t[word] | other[word])
	}
	return size
}
