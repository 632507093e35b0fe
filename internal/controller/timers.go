package controller

import "time"

// timerQueue runs functions at a later tick.
type timerQueue struct {
	timers []timer
}

// runDue runs the functions that are due, in the order in which they were added. What they add
// themselves is looked at with the next tick.
func (q *timerQueue) runDue(now time.Duration) {
	due := q.timers
	q.timers = nil
	var left []timer
	for _, t := range due {
		if t.at <= now {
			t.do()
		} else {
			left = append(left, t)
		}
	}
	q.timers = append(left, q.timers...)
}

type timer struct {
	at time.Duration
	do func()
}

func (q *timerQueue) runAt(at time.Duration, do func()) { q.timers = append(q.timers, timer{at, do}) }
