package clusterstate

import (
	"testing"

	"claybarrow/internal/protocol"
)

// Each state and event lead to the next state that the table in docs/design.md gives.
func TestGangTransitions(t *testing.T) {
	const same = GangState(-1)
	events := []GangEvent{TaskPlaced, TaskRunning, TaskReplaceable, TaskLost, StopRequested, PlacementsIncomplete, TaskDone, LastTaskRemoved}
	for state, want := range map[GangState][]GangState{
		GangWaiting:   {GangGathering, same, same, same, same, same, GangDone, same},
		GangGathering: {same, GangRunning, same, GangBroken, GangStopping, GangBroken, GangDone, GangWaiting},
		GangRunning:   {same, same, GangBroken, GangBroken, GangStopping, GangBroken, GangDone, GangWaiting},
		GangStopping:  {same, same, GangBroken, GangBroken, same, GangBroken, GangDone, GangWaiting},
		GangBroken:    {same, same, same, same, same, same, GangDone, GangWaiting},
		GangDone:      {same, same, same, same, same, same, same, same},
	} {
		t.Run(state.String(), func(t *testing.T) {
			for i, event := range events {
				next := want[i]
				if next == same {
					next = state
				}
				g := &Gang{State: state}
				if changed := g.Apply(event); g.State != next || changed != (next != state) {
					t.Errorf("event %d leads to state %v, Apply returns %v, want state %v", event, g.State, changed, next)
				}
			}
		})
	}
}

// The name of an undefined state contains its number. Logging such a state must not panic.
func TestUnknownGangState(t *testing.T) {
	if got := GangState(9).String(); got != "GangState(9)" {
		t.Error(got)
	}
}

// placedGang returns a gang of three tasks, each on a machine of its own.
func placedGang(t *testing.T) (*State, *Job, []*Attempt) {
	t.Helper()
	state := New(16<<10, 16<<10)
	j := state.AddJob(&protocol.JobSpec{UID: "j-1", Tasks: 3, Gang: true}, 1)
	var attempts []*Attempt
	for i, id := range []string{"i-1", "i-2", "i-3"} {
		a := state.AddAttempt(state.AddMachine(id), j, i, 7, 0)
		a.Durable = true
		attempts = append(attempts, a)
	}
	return state, j, attempts
}

// A lost task is replaced under the same number while the others gather. No task of a broken attempt is replaced
// until all its tasks have left their machines, as the others may still run.
func TestReplacementOfLostGangTasks(t *testing.T) {
	for _, tc := range []struct {
		name        string
		broken      bool
		replaceable int
	}{
		{"gathering", false, 1},
		{"broken", true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			state, j, attempts := placedGang(t)
			if !j.Gang.Complete() || j.Gang.State != GangGathering {
				t.Fatalf("with all tasks placed the gang is %v, complete %v", j.Gang.State, j.Gang.Complete())
			}
			state.RemoveAttempt(attempts[1])
			if tc.broken {
				j.Gang.Apply(TaskLost)
			}
			if waiting, _ := j.WaitingTasks(10); len(waiting) != tc.replaceable {
				t.Errorf("tasks %v may start, want %d", waiting, tc.replaceable)
			}
			state.RemoveAttempt(attempts[0])
			state.RemoveAttempt(attempts[2])
			if waiting, _ := j.WaitingTasks(10); len(waiting) != 3 || j.Gang.State != GangWaiting {
				t.Errorf("after all attempts were removed: tasks %v may start, the gang is %v", waiting, j.Gang.State)
			}
		})
	}
}

// A gang is complete, and may be started, only if each task has exactly one attempt, all attempts have the same
// number, and each attempt is durable and not to be stopped.
func TestGangIsCompleteOnlyWithAllTasks(t *testing.T) {
	for name, change := range map[string]func(*State, *Job, []*Attempt){
		"one attempt is not durable":   func(_ *State, _ *Job, attempts []*Attempt) { attempts[1].Durable = false },
		"one attempt is to be stopped": func(_ *State, _ *Job, attempts []*Attempt) { attempts[1].StopRequested = true },
		"one task has no attempt":      func(state *State, _ *Job, attempts []*Attempt) { state.RemoveAttempt(attempts[1]) },
		"one attempt has another number": func(state *State, j *Job, attempts []*Attempt) {
			state.RemoveAttempt(attempts[1])
			state.AddAttempt(state.AddMachine("i-2"), j, 1, 8, 0).Durable = true
		},
		"one task has two attempts": func(state *State, j *Job, attempts []*Attempt) {
			state.RemoveAttempt(attempts[1])
			state.AddAttempt(state.AddMachine("i-2"), j, 0, 7, 0).Durable = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			state, j, attempts := placedGang(t)
			change(state, j, attempts)
			if j.Gang.Complete() {
				t.Error("the gang counts as complete")
			}
		})
	}
}

// A gang is running once one of its tasks is reported running. Tasks under another attempt number change nothing.
func TestGangRunsOnceATaskRuns(t *testing.T) {
	state, j, attempts := placedGang(t)
	otherNumber := state.AddAttempt(state.AddMachine("i-4"), j, 0, 6, 0)
	otherNumber.SetState(protocol.TaskRunning)
	attempts[0].SetState(protocol.TaskWaitingForGang)
	if j.Gang.State != GangGathering {
		t.Errorf("the gang is %v, want gathering", j.Gang.State)
	}
	attempts[0].SetState(protocol.TaskRunning)
	if j.Gang.State != GangRunning {
		t.Errorf("the gang is %v, want running", j.Gang.State)
	}
}
