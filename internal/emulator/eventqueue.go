package emulator

import (
	"container/heap"
	"time"
)

// EventQueue is a queue of functions that are due at given times, with the clock that they are due by.
// The zero value is an empty queue at time 0.
type EventQueue struct {
	now    time.Duration
	seq    int
	events eventHeap
}

// event is a function that is due at a time; seq orders those of the same time.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// Now returns the time that the queue has reached.
func (q *EventQueue) Now() time.Duration { return q.now }

// After schedules a function for a time from now; a negative time counts as 0. Functions that are due
// at the same time run in the order in which they were scheduled.
func (q *EventQueue) After(d time.Duration, do func()) {
	q.seq++
	heap.Push(&q.events, event{q.now + max(d, 0), q.seq, do})
}

// RunUntil runs all that is due up to a time, which becomes now.
func (q *EventQueue) RunUntil(end time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= end {
		next := heap.Pop(&q.events).(event)
		q.now = max(q.now, next.at)
		next.action()
	}
	q.now = max(q.now, end)
}

// Next returns when the next function is due; false: there is none.
func (q *EventQueue) Next() (time.Duration, bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Empty says whether nothing is scheduled.
func (q *EventQueue) Empty() bool { return len(q.events) == 0 }

// eventHeap is a heap by time, for container/heap.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return x
}
