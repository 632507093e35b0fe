package clusterstate

import (
	"fmt"
	"slices"

	"claybarrow/internal/protocol"
)

// GangState is the state of a gang's current attempt.
type GangState int

// The states. The transitions are in gangTransitions, and as a table in docs/design.md.
const (
	// GangWaiting: no task of the gang can be on any machine.
	GangWaiting GangState = iota
	// GangGathering: its tasks are placed and wait for one another on their machines.
	GangGathering
	// GangRunning: all its tasks run, as at least one of them was reported running.
	GangRunning
	// GangStopping: all its tasks are being stopped, with time to save a checkpoint.
	GangStopping
	// GangBroken: the attempt can't go on; what is left of it is being stopped and cleared.
	GangBroken
	// GangDone: a task has completed, which means that all have.
	GangDone
)

// String is the state's name in logs.
func (s GangState) String() string {
	switch s {
	case GangWaiting:
		return "waiting"
	case GangGathering:
		return "gathering"
	case GangRunning:
		return "running"
	case GangStopping:
		return "stopping"
	case GangBroken:
		return "broken"
	case GangDone:
		return "done"
	}
	return fmt.Sprintf("GangState(%d)", int(s))
}

// GangEvent is an event that may change a gang's state.
type GangEvent int

// The events.
const (
	// TaskPlaced: a task was placed under the attempt's number.
	TaskPlaced GangEvent = iota
	// TaskRunning: a task was reported running, or saving before its end.
	TaskRunning
	// TaskReplaceable: a task was lost while all wait, it is proved gone from its machine, and
	// another may start under the same number.
	TaskReplaceable
	// TaskLost: a task is gone and can't be replaced.
	TaskLost
	// StopRequested: its tasks are to be stopped.
	StopRequested
	// PlacesIncomplete: the records that a new leader has read do not have all its tasks.
	PlacesIncomplete
	// TaskDone: a task has completed.
	TaskDone
	// LastTaskGone: none of its tasks can be on any machine any more.
	LastTaskGone
)

// gangTransitions lists the events that change the state; any other event leaves it as it is.
var gangTransitions = map[GangState]map[GangEvent]GangState{
	GangWaiting: {TaskPlaced: GangGathering, TaskDone: GangDone},
	GangGathering: {TaskRunning: GangRunning, TaskLost: GangBroken, StopRequested: GangStopping, PlacesIncomplete: GangBroken,
		TaskDone: GangDone, LastTaskGone: GangWaiting},
	GangRunning: {TaskReplaceable: GangBroken, TaskLost: GangBroken, StopRequested: GangStopping, PlacesIncomplete: GangBroken,
		TaskDone: GangDone, LastTaskGone: GangWaiting},
	GangStopping: {TaskReplaceable: GangBroken, TaskLost: GangBroken, PlacesIncomplete: GangBroken,
		TaskDone: GangDone, LastTaskGone: GangWaiting},
	GangBroken: {TaskDone: GangDone, LastTaskGone: GangWaiting},
	GangDone:   {},
}

// Gang is the current attempt of a gang: its tasks start under one number, run and end together. It is
// rebuilt from the machines' records at a failover.
type Gang struct {
	State GangState
	// Number is the attempt number of all its tasks.
	Number   uint64
	tasks    int
	attempts []*Attempt
}

// Apply takes an event, and reports whether the state changed.
func (g *Gang) Apply(event GangEvent) bool {
	next, listed := gangTransitions[g.State][event]
	changed := listed && next != g.State
	if changed {
		g.State = next
	}
	return changed
}

// Attempts lists all tasks' attempts that may be on machines, including those under other numbers. The
// list is a copy.
func (g *Gang) Attempts() []*Attempt { return slices.Clone(g.attempts) }

// Complete reports whether there is exactly one attempt of each task, all under the gang's number,
// durable and none of them to be stopped. Only then may any of them be started.
func (g *Gang) Complete() bool {
	placed := map[int]bool{}
	for _, a := range g.attempts {
		if a.Number != g.Number || !a.Durable || a.StopRequested {
			return false
		}
		placed[a.Index] = true
	}
	return len(placed) == g.tasks && len(g.attempts) == g.tasks
}

// MayReplaceTasks reports whether lost tasks may start again under the attempt's number: none of its tasks
// has begun to run, and all that are left were started by this leader and are not to be stopped.
func (g *Gang) MayReplaceTasks() bool {
	for _, a := range g.attempts {
		if a.Number != g.Number || !a.Durable || a.Loaded || a.StopRequested {
			return false
		}
	}
	return g.State == GangGathering && len(g.attempts) > 0
}

func (g *Gang) add(a *Attempt) {
	if len(g.attempts) == 0 {
		g.Number = a.Number
	}
	g.attempts = append(g.attempts, a)
	g.Apply(TaskPlaced)
}

func (g *Gang) remove(a *Attempt) {
	g.attempts = slices.DeleteFunc(g.attempts, func(other *Attempt) bool { return other == a })
	if len(g.attempts) == 0 {
		g.Apply(LastTaskGone)
	}
}

// applyTaskState applies the event that follows from a task's reported state. Tasks under another
// number belong to an earlier attempt and change nothing.
func (g *Gang) applyTaskState(a *Attempt) {
	begun := a.State == protocol.TaskRunning || a.State == protocol.TaskSavingCheckpoint
	if begun && a.Number == g.Number {
		g.Apply(TaskRunning)
	}
}
