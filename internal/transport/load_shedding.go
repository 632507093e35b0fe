package transport

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// turnedAway counts requests that were refused as the queue before the core was full, and
// says when that begins and when it is over.
type turnedAway struct {
	count atomic.Int64
	// Of the one goroutine that looks: whether it goes on, the count when it began and when
	// last looked at, and when it last grew.
	holds         bool
	before, seen  int64
	began, latest time.Duration
}

// add notes a request that was refused.
func (t *turnedAway) add() { t.count.Add(1) }

// look logs a beginning, or an end after a spell without refusals.
func (t *turnedAway) look(now, spell time.Duration, log *slog.Logger) {
	count := t.count.Load()
	if count > t.seen {
		t.latest = now
		if !t.holds {
			t.holds, t.began, t.before = true, now, t.seen
			log.Info("requests are turned away", "why", "more come than can be answered")
		}
	}
	t.seen = count
	if t.holds && now > t.latest+spell {
		t.holds = false
		log.Info("requests are no longer turned away", "requests", count-t.before, "seconds", int((t.latest - t.began).Seconds()))
	}
}
