package transport

import (
	"time"
)

// AdmissionInvariant names a condition that the admission of events must never violate.
type AdmissionInvariant string

// The invariants.
const (
	// DeadlineIsKept: no request is handed to the core after its deadline.
	DeadlineIsKept AdmissionInvariant = "request served after its deadline"
	// NoClassStarves: no class waits while the other classes use more than the starvation bound.
	NoClassStarves AdmissionInvariant = "class of events starved"
)

// AdmissionViolation is a violated invariant of the admission.
type AdmissionViolation struct {
	Invariant AdmissionInvariant
	Class     string        // the class that was served late or not at all
	Waited    time.Duration // of the event, or the time that other classes used meanwhile
	Bound     time.Duration
}

// checkServed checks the invariants for an event that is about to be handed to the core.
func (q *admissionQueue) checkServed(event *queuedEvent, now time.Duration) {
	if event.deadline > 0 && now > event.deadline {
		q.onViolation(AdmissionViolation{DeadlineIsKept, event.class.String(), now - event.arrivedAt, event.deadline - event.arrivedAt})
	}
	for class := classTick; class <= classRelay; class++ {
		queue := &q.classes[class]
		if class == event.class || queue.events.Len() == 0 || queue.usedByOthers <= q.starvationBound {
			continue
		}
		q.onViolation(AdmissionViolation{NoClassStarves, class.String(), queue.usedByOthers, q.starvationBound})
		queue.usedByOthers = 0 // one report for each time that the bound is exceeded
	}
}
