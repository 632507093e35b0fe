package coordination

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
	HandedOver(Handover)
	// GateChanged takes a change of the feature gate's state; Journal what the journal of ends holds.
	GateChanged(GateChange)
	Journal(JournalSize)
	// MachineSent counts a machine that was sent to another controller.
	MachineSent(machine, to string)
	// Detoured and Retried count requests that went to the leader by another controller, and
	// once more.
	Detoured()
	Retried()
	// Resumed takes how long the process stood still.
	Resumed(stoodStill time.Duration, led bool)
}

// Handover is a change of leader as its successor saw it. Times are of the steady clock; 0: it did
// not happen.
type Handover struct {
	Token     uint64
	Former    string
	Suspected time.Duration // when the former leader was suspected
	Gone      time.Duration // when its key was gone
	Elected   time.Duration
	Loaded    time.Duration // when the records were read
	Placed    time.Duration // when the first task was started
	Jobs      int
	Machines  int
	// ReadAhead counts the records that had been read before the election.
	ReadAhead int
}

// HandoverStep is a part of a handover.
type HandoverStep struct {
	Name     string
	From, To time.Duration
}

// Steps are the parts that happened, in order; there is at least the election.
func (h *Handover) Steps() []HandoverStep {
	var out []HandoverStep
	if h.Suspected > 0 && h.Gone >= h.Suspected {
		out = append(out, HandoverStep{"suspicion", h.Suspected, h.Gone})
	}
	gone := h.Gone
	if gone == 0 || gone > h.Elected {
		gone = h.Elected
	}
	out = append(out, HandoverStep{"election", gone, h.Elected})
	if h.Loaded > 0 {
		out = append(out, HandoverStep{"load", h.Elected, h.Loaded})
	}
	if h.Placed > 0 {
		out = append(out, HandoverStep{"placement", h.Loaded, h.Placed})
	}
	return out
}

// noObserver observes nothing.
type noObserver struct{}

func (noObserver) Detector(int, membership.Counters) {}
func (noObserver) MemberChanged(membership.Change)   {}
func (noObserver) Dropped(membership.Drop)           {}
func (noObserver) HandedOver(Handover)               {}
func (noObserver) GateChanged(GateChange)            {}
func (noObserver) Journal(JournalSize)               {}
func (noObserver) MachineSent(string, string)        {}
func (noObserver) Detoured()                         {}
func (noObserver) Retried()                          {}
func (noObserver) Resumed(time.Duration, bool)       {}
