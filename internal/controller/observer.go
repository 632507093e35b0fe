package controller

import (
	"time"

	"claybarrow/internal/membership"
)

// Observer takes what operators count and trace. Its methods are called on the controller's goroutine while an event
// is handled, so they must not block. They return nothing, so that an observer can't change what the controller
// decides.
type Observer interface {
	// DetectorSampled takes the state of the failure detector, once in a workers' lease: its health, from 0 (it trusts its own
	// observations) to 8 (it hardly does), and its counters since the process started.
	DetectorSampled(health int, counters membership.Counters)
	// MemberChanged takes a change of the state in which the failure detector holds another controller.
	MemberChanged(membership.StateChange)
	// PeerMessageDropped takes a message of another controller's failure detector that was not accepted.
	PeerMessageDropped(membership.DroppedMessage)
	// FailedOver takes a finished change of leader, at the new leader: at its first placement, or a workers' lease
	// after the records were loaded if there was none.
	FailedOver(Failover)
	// GateChanged takes a change of the feature gate's state, or of what keeps it closed, at the leader.
	GateChanged(GateChange)
	// JournalSized takes the size of the journal of completions, at the leader, once in a workers' lease.
	JournalSized(JournalSize)
	// MachineRedirected takes the redirection of a machine's worker to another controller, by that one's label.
	MachineRedirected(machine, to string)
	// RequestRerouted counts a request that went to the leader by another controller.
	RequestRerouted()
	// RequestRetried counts a request to the leader that will be sent once more.
	RequestRetried()
	// ProcessResumed takes the length of a process pause that has just ended, and whether this controller led before it.
	ProcessResumed(pause time.Duration, led bool)
}

// Failover is a change of leader as the new leader saw it. Times are steady times of the new leader's process; 0: that
// step did not happen, or was not seen.
type Failover struct {
	Token            uint64        // of the new leader
	FormerLeader     string        // label of the former leader; empty: unknown
	Suspected        time.Duration // when the former leader was suspected
	LeaderKeyRemoved time.Duration // when the state service no longer named it
	Elected          time.Duration // when the election was won
	Loaded           time.Duration // when all records were loaded
	FirstPlacement   time.Duration // when the first task was started
	// Jobs and Machines count what was loaded.
	Jobs     int
	Machines int
	// Preloaded counts the records that had been read before the election.
	Preloaded int
}

// FailoverStep is one step of a failover, in steady times.
type FailoverStep struct {
	Name     string
	From, To time.Duration
}

// Names of the steps. They are part of log attributes and names of trace spans.
const (
	stepSuspicion = "suspicion"
	stepElection  = "election"
	stepLoad      = "load"
	stepPlacement = "placement"
)

// Steps returns the steps that happened, in their order. There is always the election.
func (f *Failover) Steps() []FailoverStep {
	var steps []FailoverStep
	if f.Suspected > 0 && f.LeaderKeyRemoved >= f.Suspected {
		steps = append(steps, FailoverStep{stepSuspicion, f.Suspected, f.LeaderKeyRemoved})
	}
	electionFrom := f.LeaderKeyRemoved
	if electionFrom == 0 || electionFrom > f.Elected {
		electionFrom = f.Elected
	}
	steps = append(steps, FailoverStep{stepElection, electionFrom, f.Elected})
	if f.Loaded > 0 {
		steps = append(steps, FailoverStep{stepLoad, f.Elected, f.Loaded})
	}
	if f.FirstPlacement > 0 {
		steps = append(steps, FailoverStep{stepPlacement, f.Loaded, f.FirstPlacement})
	}
	return steps
}

// noObserver is the observer of a controller that nobody observes.
type noObserver struct{}

func (noObserver) DetectorSampled(int, membership.Counters)     {}
func (noObserver) MemberChanged(membership.StateChange)         {}
func (noObserver) PeerMessageDropped(membership.DroppedMessage) {}
func (noObserver) FailedOver(Failover)                          {}
func (noObserver) GateChanged(GateChange)                       {}
func (noObserver) JournalSized(JournalSize)                     {}
func (noObserver) MachineRedirected(string, string)             {}
func (noObserver) RequestRerouted()                             {}
func (noObserver) RequestRetried()                              {}
func (noObserver) ProcessResumed(time.Duration, bool)           {}
