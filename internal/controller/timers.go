package controller

import "time"

// timerQueue runs functions at a later tick. Each leadership has its own queue, so the functions that have not run are
// dropped when the leadership ends.
type timerQueue struct {
	timers []timer
}

// timer is a function that is due at a monotonic time.
type timer struct {
	at  time.Duration
	run func()
}

// runAt schedules a function for the first tick at or after a time.
func (q *timerQueue) runAt(at time.Duration, run func()) {
	q.timers = append(q.timers, timer{at: at, run: run})
}

// runDue runs the due functions in the order in which they were added. Functions that are added during the run wait for
// the next tick, even if they are due, so that a function that always schedules itself again can't starve the
// controller's other work.
func (q *timerQueue) runDue(now time.Duration) {
	due := q.timers
	q.timers = nil
	var remaining []timer
	for _, t := range due {
		if t.at <= now {
			t.run()
		} else {
			remaining = append(remaining, t)
		}
	}
	q.timers = append(remaining, q.timers...)
}
