package emulator

import (
	"container/heap"
	"time"
)

// EventQueue is a queue of functions that are scheduled on its own clock. The zero value is an empty queue at time 0.
type EventQueue struct {
	now    time.Duration
	seq    int
	events eventHeap
}

// event is a function that is due at a time; seq orders the events of the same time.
type event struct {
	dueAt  time.Duration
	seq    int
	action func()
}

// Now returns the current time of the queue's clock.
func (q *EventQueue) Now() time.Duration { return q.now }

// After schedules a function to run after a delay; a negative delay counts as 0. Functions that are due at the same
// time run in the order in which they were scheduled.
func (q *EventQueue) After(delay time.Duration, action func()) {
	q.seq++
	heap.Push(&q.events, event{q.now + max(delay, 0), q.seq, action})
}

// RunUntil runs all functions that are due up to end and advances the clock to end.
func (q *EventQueue) RunUntil(end time.Duration) {
	for len(q.events) > 0 && q.events[0].dueAt <= end {
		next := heap.Pop(&q.events).(event)
		q.now = max(q.now, next.dueAt)
		next.action()
	}
	q.now = max(q.now, end)
}

// NextDueAt returns the time at which the next function is due; false: the queue is empty.
func (q *EventQueue) NextDueAt() (time.Duration, bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].dueAt, true
}

// Empty reports whether no function is scheduled.
func (q *EventQueue) Empty() bool { return len(q.events) == 0 }

// eventHeap implements heap.Interface, ordered by time and then by seq.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].seq < h[j].seq
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
