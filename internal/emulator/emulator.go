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
	now  time.Duration
	seq  int
	list happenings
}

type happening struct {
	at  time.Duration
	seq int
	do  func()
}

// Now is the time that the agenda has reached.
func (a *EventQueue) Now() time.Duration { return a.now }

// After has something done a while from now; things due at the same time are done in the
// order in which they were asked for.
func (a *EventQueue) After(d time.Duration, do func()) {
	a.seq++
	heap.Push(&a.list, happening{a.now + max(d, 0), a.seq, do})
}

// RunUntil does all that is due up to a time, which becomes now.
func (a *EventQueue) RunUntil(end time.Duration) {
	for len(a.list) > 0 && a.list[0].at <= end {
		next := heap.Pop(&a.list).(happening)
		a.now = max(a.now, next.at)
		next.do()
	}
	a.now = max(a.now, end)
}

// Next is when the next thing is due; false: there is none.
func (a *EventQueue) Next() (time.Duration, bool) {
	if len(a.list) == 0 {
		return 0, false
	}
	return a.list[0].at, true
}

// Empty says whether there is nothing to do.
func (a *EventQueue) Empty() bool { return len(a.list) == 0 }

// happenings is a heap by time.
type happenings []happening

// Len is part of heap.Interface.
func (h happenings) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap is part of heap.Interface.
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *happenings) Push(x any) { *h = append(*h, x.(happening)) }

// Pop is part of heap.Interface.
func (h *happenings) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = happening{}
	*h = (*h)[:last]
	return x
}

// Reply takes the answer to a request.
type Reply func(status int, body []byte)
