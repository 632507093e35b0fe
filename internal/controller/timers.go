package controller

import "time"

// timerQueue runs functions at a later tick. Each leadership has its own, so that what it still had to
// run is dropped when it ends.
type timerQueue struct {
	timers []timer
}

// timer is a function that is due at a steady time.
type timer struct {
	at  time.Duration
	run func()
}

// runAt has a function run by the first tick at or after a time.
func (q *timerQueue) runAt(at time.Duration, run func()) {
	q.timers = append(q.timers, timer{at: at, run: run})
}

// runDue runs the functions that are due, in the order in which they were added. Those that they add
// themselves wait for the next tick, even if they are due, so that a function which always adds itself
// again cannot keep the controller from its other work.
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
