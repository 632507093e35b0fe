package clusterstate

import (
	"fmt"
	"slices"
	"testing"

	"claybarrow/internal/protocol"
)

// A cache of machines and jobs learns of each change by a revision, and of jobs that get waiting tasks by the
// list of opened jobs.
func TestRevisionsFollowChanges(t *testing.T) {
	state := New(16<<10, 16<<10)
	m := state.AddMachine("i-1")
	j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 3, Image: "x"}, 0)
	if !slices.Equal(state.TakeJobsToSchedule(), []*Job{j}) || len(state.TakeJobsToSchedule()) != 0 {
		t.Error("a new job is opened once")
	}
	changes := func(what string, wantMachine, wantJob bool, do func()) {
		t.Helper()
		machine, job := m.Revision(), j.Revision()
		do()
		if (m.Revision() != machine) != wantMachine || (j.Revision() != job) != wantJob {
			t.Errorf("%s: machine %v, job %v", what, m.Revision() != machine, j.Revision() != job)
		}
	}
	var a *Attempt
	changes("a start", true, true, func() { a = state.AddAttempt(m, j, 1, 7, 0) })
	if j.OpenTasks() != 2 || len(state.TakeJobsToSchedule()) != 0 {
		t.Errorf("%d tasks are open", j.OpenTasks())
	}
	changes("a state", true, false, func() { a.SetState(protocol.TaskRunning) })
	changes("an image", true, false, func() { m.UseImage("x", 1, 10) })
	changes("the same image", false, false, func() { m.UseImage("x", 1, 10) })
	changes("a completion", false, true, func() { j.MarkDone(1) })
	changes("the same completion", false, false, func() { j.MarkDone(1) })
	changes("an end", true, true, func() { state.RemoveAttempt(a) })
	if !slices.Equal(state.TakeJobsToSchedule(), []*Job{j}) {
		t.Error("a job that has lost a task is not opened")
	}
	changes("an interruption", false, true, func() { j.MarkInterrupted(2) })
	if waiting, resume := j.AppendWaitingTasks(nil, 10); !slices.Equal(waiting, []int{2, 0}) || resume != 1 {
		t.Errorf("waiting %v, %d of them interrupted", waiting, resume)
	}
}

// The sorted list is kept until an attempt is added or removed, and is never changed in place.
func TestSortedAttemptsAreKept(t *testing.T) {
	state := New(16<<10, 16<<10)
	m := state.AddMachine("i-1")
	gang := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 3, Gang: true}, 0)
	for _, i := range []int{2, 0, 1} {
		state.AddAttempt(m, gang, i, 5, 0)
	}
	list := m.SortedAttempts()
	if list[0].Index != 0 || list[1].Index != 1 || list[2].Index != 2 {
		t.Error("tasks of a gang are not in order")
	}
	if &list[0] != &m.SortedAttempts()[0] {
		t.Error("the list is made again although nothing has changed")
	}
	for _, a := range list {
		state.RemoveAttempt(a)
	}
	if len(m.SortedAttempts()) != 0 || list[2].Index != 2 {
		t.Error("a list was changed in place, or attempts are left")
	}
}

// Machines with the same images share a number, in whatever order the images came.
func TestImageSets(t *testing.T) {
	state := New(16<<10, 16<<10)
	one, two := state.AddMachine("i-1"), state.AddMachine("i-2")
	empty := state.ImageSet(one)
	one.UseImage("x", 1, 0)
	one.UseImage("y", 1, 0)
	two.UseImage("y", 1, 0)
	if state.ImageSet(one) == state.ImageSet(two) || state.ImageSet(one) == empty {
		t.Error("different images, the same number")
	}
	two.UseImage("x", 1, 0)
	if state.ImageSet(one) != state.ImageSet(two) {
		t.Error("the same images, different numbers")
	}
	before := state.ImageSet(one)
	for i := range maxImageSets + 1 {
		two.UseImage(fmt.Sprint("z-", i), 1, 1)
		state.ImageSet(two)
	}
	if after := state.ImageSet(one); after == before {
		t.Error("a number from before the sets were forgotten")
	}
}

// A machine counts as starting until none of its attempts may need its image any more.
func TestStartingAttempts(t *testing.T) {
	state := New(16<<10, 16<<10)
	m := state.AddMachine("i-1")
	j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 2}, 0)
	first, second := state.AddAttempt(m, j, 0, 1, 0), state.AddAttempt(m, j, 1, 2, 0)
	for _, step := range []struct {
		name string
		do   func()
		want bool
	}{
		{"both placed", func() {}, true},
		{"one running", func() { first.SetState(protocol.TaskRunning) }, true},
		{"the other fetching its image", func() { second.SetState(protocol.TaskFetchingImage) }, true},
		{"the other gone", func() { state.RemoveAttempt(second) }, false},
		{"the first one gone", func() { state.RemoveAttempt(first) }, false},
		{"the first one removed again", func() { state.RemoveAttempt(first) }, false},
	} {
		step.do()
		if m.HasStartingAttempts() != step.want {
			t.Errorf("%s: starting %v, want %v", step.name, m.HasStartingAttempts(), step.want)
		}
	}
	if j.RunningTasks != 0 || j.ActiveAttempts != 0 {
		t.Errorf("%d attempts, %d running, when all are gone", j.ActiveAttempts, j.RunningTasks)
	}
}
