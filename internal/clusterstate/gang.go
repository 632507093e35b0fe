package clusterstate

import (
	"fmt"
	"slices"

	"claybarrow/internal/protocol"
)

// GangState is the state of the current attempt of a gang.
type GangState int

// The states. The transitions are in gangTransitions, and as a table in docs/design.md.
const (
	// GangWaiting means that no task of the gang can be on any machine.
	GangWaiting GangState = iota
	// GangGathering means that tasks are placed and wait on their machines for the other tasks.
	GangGathering
	// GangRunning means that all tasks run. A single task that is reported running proves it.
	GangRunning
	// GangStopping means that all tasks are being stopped and may save a checkpoint before.
	GangStopping
	// GangBroken means that the attempt can't continue. Its remaining tasks are being stopped and cleared.
	GangBroken
	// GangDone means that a task has completed. The tasks of a gang complete together, so all have.
	GangDone
)

// String returns the state's name in logs.
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
	// TaskPlaced means that a task was placed under the attempt's number.
	TaskPlaced GangEvent = iota
	// TaskRunning means that a task was reported running, or saving a checkpoint before it stops.
	TaskRunning
	// TaskReplaceable means that a task was lost while all tasks wait, and is known to have left its machine,
	// so that it may be started again under the same number.
	TaskReplaceable
	// TaskLost means that a task was lost and can't be replaced.
	TaskLost
	// StopRequested means that the stop of the gang's tasks was requested.
	StopRequested
	// PlacementsIncomplete means that the records that a new leader has read do not contain all tasks.
	PlacementsIncomplete
	// TaskDone means that a task has completed.
	TaskDone
	// LastTaskRemoved means that none of the gang's tasks can be on any machine any more.
	LastTaskRemoved
)

// gangTransitions lists the events that change the state. Any other event leaves the state unchanged.
var gangTransitions = map[GangState]map[GangEvent]GangState{
	GangWaiting: {TaskPlaced: GangGathering, TaskDone: GangDone},
	GangGathering: {TaskRunning: GangRunning, TaskLost: GangBroken, StopRequested: GangStopping, PlacementsIncomplete: GangBroken,
		TaskDone: GangDone, LastTaskRemoved: GangWaiting},
	GangRunning: {TaskReplaceable: GangBroken, TaskLost: GangBroken, StopRequested: GangStopping, PlacementsIncomplete: GangBroken,
		TaskDone: GangDone, LastTaskRemoved: GangWaiting},
	GangStopping: {TaskReplaceable: GangBroken, TaskLost: GangBroken, PlacementsIncomplete: GangBroken,
		TaskDone: GangDone, LastTaskRemoved: GangWaiting},
	GangBroken: {TaskDone: GangDone, LastTaskRemoved: GangWaiting},
	GangDone:   {},
}

// Gang is the current attempt of a gang. Its tasks start under one attempt number, run together and end
// together. At a failover the new leader rebuilds it from the machines' records.
type Gang struct {
	State GangState
	// Number is the attempt number that all tasks share.
	Number   uint64
	tasks    int
	attempts []*Attempt
}

// Apply applies an event and reports whether the state changed.
func (g *Gang) Apply(event GangEvent) bool {
	next, listed := gangTransitions[g.State][event]
	changed := listed && next != g.State
	if changed {
		g.State = next
	}
	return changed
}

// Attempts returns a copy of the list of attempts of the gang's tasks that may be on machines. It includes
// attempts under other numbers.
func (g *Gang) Attempts() []*Attempt { return slices.Clone(g.attempts) }

// Complete reports whether each task has exactly one attempt, and each attempt has the gang's number, is durable
// and is not to be stopped. Only then may any of the tasks be started.
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

// MayReplaceTasks reports whether lost tasks may start again under the attempt's number. This requires that no
// task has begun to run, and that all remaining attempts are durable, were started by this leader and are not
// to be stopped.
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
		g.Apply(LastTaskRemoved)
	}
}

// applyTaskState applies TaskRunning if the agent reports that the task has begun to run. Tasks under another
// number belong to an earlier attempt of the gang and change nothing.
func (g *Gang) applyTaskState(a *Attempt) {
	begun := a.State == protocol.TaskRunning || a.State == protocol.TaskSavingCheckpoint
	if begun && a.Number == g.Number {
		g.Apply(TaskRunning)
	}
}
