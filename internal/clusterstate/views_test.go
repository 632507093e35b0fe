package clusterstate

import (
	"fmt"
	"slices"
	"testing"

	"claybarrow/internal/protocol"
)

// Each change of a machine or a job changes its revision, which invalidates data derived from it. A job that may
// have new waiting tasks is listed by TakeJobsToSchedule.
func TestRevisionsFollowChanges(t *testing.T) {
	state := New(16<<10, 16<<10)
	m := state.AddMachine("i-1")
	j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 3, Image: "x"}, 0)
	if !slices.Equal(state.TakeJobsToSchedule(), []*Job{j}) || len(state.TakeJobsToSchedule()) != 0 {
		t.Error("a new job is not listed exactly once")
	}
	changes := func(description string, wantMachine, wantJob bool, change func()) {
		t.Helper()
		machine, job := m.Revision(), j.Revision()
		change()
		if (m.Revision() != machine) != wantMachine || (j.Revision() != job) != wantJob {
			t.Errorf("%s: machine's revision changed %v, job's revision changed %v", description, m.Revision() != machine, j.Revision() != job)
		}
	}
	var a *Attempt
	changes("a start", true, true, func() { a = state.AddAttempt(m, j, 1, 7, 0) })
	if j.OpenTasks() != 2 || len(state.TakeJobsToSchedule()) != 0 {
		t.Errorf("after a start %d tasks are open, want 2, or the job is listed again", j.OpenTasks())
	}
	changes("a state", true, false, func() { a.SetState(protocol.TaskRunning) })
	changes("an image", true, false, func() { m.UseImage("x", 1, 10) })
	changes("the same image", false, false, func() { m.UseImage("x", 1, 10) })
	changes("a completion", false, true, func() { j.MarkDone(1) })
	changes("the same completion", false, false, func() { j.MarkDone(1) })
	changes("an end", true, true, func() { state.RemoveAttempt(a) })
	if !slices.Equal(state.TakeJobsToSchedule(), []*Job{j}) {
		t.Error("a job of which an attempt was removed is not listed")
	}
	changes("an interruption", false, true, func() { j.MarkInterrupted(2) })
	if waiting, interrupted := j.AppendWaitingTasks(nil, 10); !slices.Equal(waiting, []int{2, 0}) || interrupted != 1 {
		t.Errorf("waiting tasks %v, the first %d interrupted", waiting, interrupted)
	}
}

// The sorted list is cached until an attempt is added or removed, and is never changed in place.
func TestSortedAttemptsAreCached(t *testing.T) {
	state := New(16<<10, 16<<10)
	m := state.AddMachine("i-1")
	gang := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 3, Gang: true}, 0)
	for _, i := range []int{2, 0, 1} {
		state.AddAttempt(m, gang, i, 5, 0)
	}
	list := m.SortedAttempts()
	if list[0].Index != 0 || list[1].Index != 1 || list[2].Index != 2 {
		t.Error("the tasks of a gang are not sorted by index")
	}
	if &list[0] != &m.SortedAttempts()[0] {
		t.Error("the list is sorted again although no attempt has changed")
	}
	for _, a := range list {
		state.RemoveAttempt(a)
	}
	if len(m.SortedAttempts()) != 0 || list[2].Index != 2 {
		t.Error("the list was changed in place, or attempts remain after their removal")
	}
}

// Machines with the same images share a number, whatever the order in which the images were added.
func TestImageSets(t *testing.T) {
	state := New(16<<10, 16<<10)
	one, two := state.AddMachine("i-1"), state.AddMachine("i-2")
	empty := state.ImageSet(one)
	one.UseImage("x", 1, 0)
	one.UseImage("y", 1, 0)
	two.UseImage("y", 1, 0)
	if state.ImageSet(one) == state.ImageSet(two) || state.ImageSet(one) == empty {
		t.Error("machines with different images share a number")
	}
	two.UseImage("x", 1, 0)
	if state.ImageSet(one) != state.ImageSet(two) {
		t.Error("machines with the same images have different numbers")
	}
	before := state.ImageSet(one)
	for i := range maxImageSets + 1 {
		two.UseImage(fmt.Sprint("z-", i), 1, 1)
		state.ImageSet(two)
	}
	if after := state.ImageSet(one); after == before {
		t.Error("a number was reused after the numbers of the sets were removed")
	}
}

// HasStartingAttempts returns true until no attempt on the machine may need its image any more.
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
		{"both attempts placed", func() {}, true},
		{"the first attempt running", func() { first.SetState(protocol.TaskRunning) }, true},
		{"the second attempt fetching its image", func() { second.SetState(protocol.TaskFetchingImage) }, true},
		{"the second attempt removed", func() { state.RemoveAttempt(second) }, false},
		{"the first attempt removed", func() { state.RemoveAttempt(first) }, false},
		{"the first attempt removed again", func() { state.RemoveAttempt(first) }, false},
	} {
		step.do()
		if m.HasStartingAttempts() != step.want {
			t.Errorf("%s: HasStartingAttempts returns %v, want %v", step.name, m.HasStartingAttempts(), step.want)
		}
	}
	if j.RunningTasks != 0 || j.ActiveAttempts != 0 {
		t.Errorf("%d attempts and %d running tasks after all attempts were removed", j.ActiveAttempts, j.RunningTasks)
	}
}
