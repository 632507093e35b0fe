package clusterstate

import (
	"testing"

	"claybarrow/internal/protocol"
)

// Each state's answer to each event, as the table in docs/design.md has it.
func TestGangTransitions(t *testing.T) {
	const same = GangState(-1)
	events := []GangEvent{TaskPlaced, TaskRunning, TaskReplaceable, TaskLost, StopRequested, PlacesIncomplete, TaskDone, LastTaskGone}
	for state, want := range map[GangState][]GangState{
		GangWaiting:   {GangGathering, same, same, same, same, same, GangDone, same},
		GangGathering: {same, GangRunning, same, GangBroken, GangStopping, GangBroken, GangDone, GangWaiting},
		GangRunning:   {same, same, GangBroken, GangBroken, GangStopping, GangBroken, GangDone, GangWaiting},
		GangStopping:  {same, same, GangBroken, GangBroken, same, GangBroken, GangDone, GangWaiting},
		GangBroken:    {same, same, same, same, same, same, GangDone, GangWaiting},
		GangDone:      {same, same, same, same, same, same, same, same},
	} {
		for i, event := range events {
			next := want[i]
			if next == same {
				next = state
			}
			g := &Gang{State: state}
			if changed := g.Apply(event); g.State != next || changed != (next != state) {
				t.Errorf("%v after event %d: %v, changed %v, want %v", state, event, g.State, changed, next)
			}
		}
	}
}

// A gang of three tasks, each on a machine of its own.
func placedGang(t *testing.T) (*State, *Job, []*Attempt) {
	t.Helper()
	b := New(16<<10, 16<<10)
	j := b.AddJob(&protocol.Spec{UID: "j-1", Tasks: 3, Gang: true}, 1)
	var attempts []*Attempt
	for i, id := range []string{"i-1", "i-2", "i-3"} {
		a := b.AddAttempt(b.AddMachine(id), j, i, 7, 0)
		a.Durable = true
		attempts = append(attempts, a)
	}
	return b, j, attempts
}

// While the others gather a lost task is replaced, under the same number. Of a broken
// attempt nothing is replaced before the last of it is gone: its tasks may still run.
func TestLostTasksOfAGang(t *testing.T) {
	for _, broken := range []bool{false, true} {
		b, j, attempts := placedGang(t)
		if !j.Gang.Complete() || j.Gang.State != GangGathering {
			t.Fatalf("placed whole it is %v, complete %v", j.Gang.State, j.Gang.Complete())
		}
		b.RemoveAttempt(attempts[1])
		if broken {
			j.Gang.Apply(TaskLost)
		}
		waiting, _ := j.WaitingTasks(10)
		if want := map[bool]int{false: 1, true: 0}[broken]; len(waiting) != want {
			t.Errorf("broken %v: tasks %v may start, want %d", broken, waiting, want)
		}
		b.RemoveAttempt(attempts[0])
		b.RemoveAttempt(attempts[2])
		if waiting, _ := j.WaitingTasks(10); len(waiting) != 3 || j.Gang.State != GangWaiting {
			t.Errorf("broken %v: when all is gone tasks %v may start, and it is %v", broken, waiting, j.Gang.State)
		}
	}
}

// Only a complete attempt may be started: one task each, under one number, durable and
// none of them to be stopped.
func TestGangIsCompleteOnlyWithAllTasks(t *testing.T) {
	for name, change := range map[string]func(*State, *Job, []*Attempt){
		"one is not durable":   func(_ *State, _ *Job, all []*Attempt) { all[1].Durable = false },
		"one is to be stopped": func(_ *State, _ *Job, all []*Attempt) { all[1].StopRequested = true },
		"one is missing":       func(b *State, _ *Job, all []*Attempt) { b.RemoveAttempt(all[1]) },
		"another number": func(b *State, j *Job, all []*Attempt) {
			b.RemoveAttempt(all[1])
			b.AddAttempt(b.AddMachine("i-2"), j, 1, 8, 0).Durable = true
		},
		"one twice": func(b *State, j *Job, all []*Attempt) {
			b.RemoveAttempt(all[1])
			b.AddAttempt(b.AddMachine("i-2"), j, 0, 7, 0).Durable = true
		},
	} {
		b, j, all := placedGang(t)
		change(b, j, all)
		if j.Gang.Complete() {
			t.Errorf("%s: it counts as complete", name)
		}
	}
}

// What the workers say moves the attempt on, under its own number only.
func TestGangRunsWhenATaskDoes(t *testing.T) {
	b, j, all := placedGang(t)
	unanswered := b.AddAttempt(b.AddMachine("i-4"), j, 0, 6, 0)
	unanswered.SetState(protocol.Running)
	all[0].SetState(protocol.WaitingForGang)
	if j.Gang.State != GangGathering {
		t.Errorf("it is %v", j.Gang.State)
	}
	all[0].SetState(protocol.Running)
	if j.Gang.State != GangRunning {
		t.Errorf("it is %v", j.Gang.State)
	}
}
