package clusterstate

import (
	"fmt"
	"slices"
	"testing"

	"claybarrow/internal/protocol"
)

// Whoever keeps a view of machines and jobs learns of each change by a revision, and of jobs
// that come to wait by the list of opened ones.
func TestRevisionsFollowChanges(t *testing.T) {
	b := New(16<<10, 16<<10)
	m := b.AddMachine("i-1")
	j := b.AddJob(&protocol.Spec{UID: "j-1", Tasks: 3, Image: "x"}, 0)
	if !slices.Equal(b.TakeOpenedJobs(), []*Job{j}) || len(b.TakeOpenedJobs()) != 0 {
		t.Error("a new job is opened once")
	}
	changed := func(what string, wantMachine, wantJob bool, do func()) {
		t.Helper()
		machine, job := m.Revision(), j.Revision()
		do()
		if (m.Revision() != machine) != wantMachine || (j.Revision() != job) != wantJob {
			t.Errorf("%s: machine %v, job %v", what, m.Revision() != machine, j.Revision() != job)
		}
	}
	var a *Attempt
	changed("a start", true, true, func() { a = b.AddAttempt(m, j, 1, 7, 0) })
	if j.OpenTasks() != 2 || len(b.TakeOpenedJobs()) != 0 {
		t.Errorf("%d tasks are open", j.OpenTasks())
	}
	changed("a state", true, false, func() { a.SetState(protocol.Running) })
	changed("an image", true, false, func() { m.UseImage("x", 1, 10) })
	changed("the same image", false, false, func() { m.UseImage("x", 1, 10) })
	changed("a completion", false, true, func() { j.MarkDone(1) })
	changed("the same completion", false, false, func() { j.MarkDone(1) })
	changed("an end", true, true, func() { b.RemoveAttempt(a) })
	if !slices.Equal(b.TakeOpenedJobs(), []*Job{j}) {
		t.Error("a job that has lost a task is not opened")
	}
	changed("an interruption", false, true, func() { j.MarkInterrupted(2) })
	if waiting, resume := j.AppendWaitingTasks(nil, 10); !slices.Equal(waiting, []int{2, 0}) || resume != 1 {
		t.Errorf("waiting %v, %d of them interrupted", waiting, resume)
	}
}

// Sorted is kept until an attempt comes or goes, and a list that somebody goes through stays.
func TestSortedAttemptsAreKept(t *testing.T) {
	b := New(16<<10, 16<<10)
	m := b.AddMachine("i-1")
	gang := b.AddJob(&protocol.Spec{UID: "j-1", Tasks: 3, Gang: true}, 0)
	for _, i := range []int{2, 0, 1} {
		b.AddAttempt(m, gang, i, 5, 0)
	}
	list := m.Sorted()
	if list[0].Index != 0 || list[1].Index != 1 || list[2].Index != 2 {
		t.Error("tasks of a gang are not in order")
	}
	if &list[0] != &m.Sorted()[0] {
		t.Error("the list is made anew though nothing has changed")
	}
	for _, a := range list {
		b.RemoveAttempt(a)
	}
	if len(m.Sorted()) != 0 || list[2].Index != 2 {
		t.Error("after all are gone")
	}
}

// Machines share a number if they have the same images, in whatever order they came.
func TestImageSets(t *testing.T) {
	b := New(16<<10, 16<<10)
	one, two := b.AddMachine("i-1"), b.AddMachine("i-2")
	empty := b.ImageSet(one)
	one.UseImage("x", 1, 0)
	one.UseImage("y", 1, 0)
	two.UseImage("y", 1, 0)
	if b.ImageSet(one) == b.ImageSet(two) || b.ImageSet(one) == empty {
		t.Error("different images, the same number")
	}
	two.UseImage("x", 1, 0)
	if b.ImageSet(one) != b.ImageSet(two) {
		t.Error("the same images, different numbers")
	}
	before := b.ImageSet(one)
	for i := range maxImageSets + 1 {
		two.UseImage(fmt.Sprint("z-", i), 1, 1)
		b.ImageSet(two)
	}
	if after := b.ImageSet(one); after == before {
		t.Error("a number from before the sets were forgotten")
	}
}
