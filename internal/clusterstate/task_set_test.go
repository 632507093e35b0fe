package clusterstate

import "testing"

// Tasks at the first and last bit of the 64-bit words are distinct members of the set.
func TestTaskSet(t *testing.T) {
	const tasks = 130
	set, other := newTaskSet(tasks), newTaskSet(tasks)
	for _, index := range []int{0, 63, 64, 129} {
		set.add(index)
	}
	set.remove(64)
	other.add(63)
	other.add(128)
	for index := range tasks {
		if want := index == 0 || index == 63 || index == 129; set.contains(index) != want {
			t.Errorf("task %d: contained %v, want %v", index, set.contains(index), want)
		}
	}
	if got := set.unionSize(other); got != 4 {
		t.Errorf("the union has %d tasks, want 4", got)
	}
}
