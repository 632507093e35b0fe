package clusterstate

import "slices"

// GangState is where a gang's current attempt stands.
type GangState int

// States of an attempt. The transitions are in gangTransitions, and as a table in
// docs/design.md.
const (
	// GangWaiting: no task of the gang may be on any machine.
	GangWaiting GangState = iota
	// GangGathering: its tasks have places and wait for one another there.
	GangGathering
	// GangRunning: all its tasks run, as at least one of them has said.
	GangRunning
	// GangStopping: all its tasks were told to stop, with the time to save.
	GangStopping
	// GangBroken: the attempt can't go on; what is left of it is being cleared.
	GangBroken
	// GangDone: a task has completed, and so have all.
	GangDone
)

// String names the state in the log.
func (s GangState) String() string {
	return [...]string{"waiting", "gathering", "running", "stopping", "broken", "done"}[s]
}

// GangEvent is what happens to an attempt.
type GangEvent int

// Events of an attempt.
const (
	// TaskPlaced: a task got a place under the attempt's number.
	TaskPlaced GangEvent = iota
	// TaskRunning: a task was seen running, or on its way out.
	TaskRunning
	// TaskReplaceable: a task was lost while all wait, its place is proved empty, and
	// another may start under the same number.
	TaskReplaceable
	// TaskLost: a task is gone and can't be replaced.
	TaskLost
	// StopRequested: its tasks are told to stop.
	StopRequested
	// PlacesIncomplete: a new leader's records do not have all its tasks.
	PlacesIncomplete
	// TaskDone: a task has completed.
	TaskDone
	// LastTaskGone: none of its tasks may be on any machine any more.
	LastTaskGone
)

// gangTransitions lists what changes the state; whatever is not listed does not.
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

// Gang is a gang's current attempt: its tasks start under one number, run and end
// together.
type Gang struct {
	State GangState
	// Number is the number of all its tasks.
	Number   uint64
	tasks    int
	attempts []*Attempt
}

// Apply takes an event, and says whether the state changed.
func (g *Gang) Apply(event GangEvent) bool {
	next, listed := gangTransitions[g.State][event]
	changed := listed && next != g.State
	if changed {
		g.State = next
	}
	return changed
}

// Attempts lists all that may be on machines, also under other numbers. The list is
// the caller's.
func (g *Gang) Attempts() []*Attempt { return slices.Clone(g.attempts) }

// Complete says whether there is one task each, all under the attempt's number,
// durable and none of them to be stopped: only then may any of them be started.
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

// Replaces says whether lost tasks start anew under the attempt's number: none of its
// tasks has begun to run, all there are were started by this leader and are to be kept.
func (g *Gang) Replaces() bool {
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
	g.attempts = slices.DeleteFunc(g.attempts, func(o *Attempt) bool { return o == a })
	if len(g.attempts) == 0 {
		g.Apply(LastTaskGone)
	}
}

// applyTaskState notes the worker's word for the state of one of the tasks.
func (g *Gang) applyTaskState(a *Attempt, begun bool) {
	if begun && a.Number == g.Number {
		g.Apply(TaskRunning)
	}
}
