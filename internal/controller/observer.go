package controller

import (
	"time"

	"claybarrow/internal/membership"
)

// Observer takes what operators count and trace. It answers nothing, so that it can't change
// what the core decides.
type Observer interface {
	// Detector takes the state of the detector of failed controllers, now and then.
	Detector(health int, counters membership.Counters)
	MemberChanged(membership.Change)
	Dropped(membership.Drop)
	FailedOver(Failover)
	// GateChanged takes a change of the feature gate's state; Journal what the journal of ends holds.
	GateChanged(GateChange)
	JournalSized(JournalSize)
	// MachineRedirected counts a machine that was sent to another controller.
	MachineRedirected(machine, to string)
	// Rerouted and Retried count requests that went to the leader by another controller, and
	// once more.
	Rerouted()
	Retried()
	// Resumed takes how long the process stood still.
	Resumed(stoodStill time.Duration, led bool)
}

// Failover is a change of leader as its successor saw it. Times are of the steady clock; 0: it did
// not happen.
type Failover struct {
	Token          uint64
	Former         string
	Suspected      time.Duration // when the former leader was suspected
	LeaderKeyGone  time.Duration // when its key was gone
	Elected        time.Duration
	Loaded         time.Duration // when the records were read
	FirstPlacement time.Duration // when the first task was started
	Jobs           int
	Machines       int
	// Preloaded counts the records that had been read before the election.
	Preloaded int
}

// FailoverStep is a part of a handover.
type FailoverStep struct {
	Name     string
	From, To time.Duration
}

// Steps are the parts that happened, in order; there is at least the election.
func (f *Failover) Steps() []FailoverStep {
	var out []FailoverStep
	if f.Suspected > 0 && f.LeaderKeyGone >= f.Suspected {
		out = append(out, FailoverStep{"suspicion", f.Suspected, f.LeaderKeyGone})
	}
	gone := f.LeaderKeyGone
	if gone == 0 || gone > f.Elected {
		gone = f.Elected
	}
	out = append(out, FailoverStep{"election", gone, f.Elected})
	if f.Loaded > 0 {
		out = append(out, FailoverStep{"load", f.Elected, f.Loaded})
	}
	if f.FirstPlacement > 0 {
		out = append(out, FailoverStep{"placement", f.Loaded, f.FirstPlacement})
	}
	return out
}

// noObserver observes nothing.
type noObserver struct{}

func (noObserver) Detector(int, membership.Counters) {}
func (noObserver) MemberChanged(membership.Change)   {}
func (noObserver) Dropped(membership.Drop)           {}
func (noObserver) FailedOver(Failover)               {}
func (noObserver) GateChanged(GateChange)            {}
func (noObserver) JournalSized(JournalSize)          {}
func (noObserver) MachineRedirected(string, string)  {}
func (noObserver) Rerouted()                         {}
func (noObserver) Retried()                          {}
func (noObserver) Resumed(time.Duration, bool)       {}
