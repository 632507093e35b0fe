// Package emulator plays what a controller talks to, after the protocol's page: the state
// service, the cloud and the workers. It is a deterministic state machine on an agenda: tests
// run it on a clock of their own, the scale run on the real one. Nothing in it is safe for
// use by several goroutines: whoever owns the agenda owns all of it.
package emulator

import (
	"container/heap"
	"time"
)

// EventQueue is a list of things to do at their times, and the clock that goes with it.
type EventQueue struct {
	now    time.Duration
	seq    int
	events eventHeap
}

type event struct {
	at     time.Duration
	seq    int
	action func()
}

// Now is the time that the agenda has reached.
func (q *EventQueue) Now() time.Duration { return q.now }

// After has something done a while from now; things due at the same time are done in the
// order in which they were asked for.
func (q *EventQueue) After(d time.Duration, do func()) {
	q.seq++
	heap.Push(&q.events, event{q.now + max(d, 0), q.seq, do})
}

// RunUntil does all that is due up to a time, which becomes now.
func (q *EventQueue) RunUntil(end time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= end {
		next := heap.Pop(&q.events).(event)
		q.now = max(q.now, next.at)
		next.action()
	}
	q.now = max(q.now, end)
}

// Next is when the next thing is due; false: there is none.
func (q *EventQueue) Next() (time.Duration, bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// Empty says whether there is nothing to do.
func (q *EventQueue) Empty() bool { return len(q.events) == 0 }

// eventHeap is a heap by time.
type eventHeap []event

// Len is part of heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap is part of heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is part of heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return x
}

// Reply takes the answer to a request.
type Reply func(status int, body []byte)
