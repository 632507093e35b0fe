package transport

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// loadShedding counts requests that were refused as the queue before the core was full, and
// says when that begins and when it is over.
type loadShedding struct {
	rejected atomic.Int64
	// Of the one goroutine that looks: whether it goes on, the count when it began and when
	// last looked at, and when it last grew.
	active                     bool
	rejectedBefore, lastSeen   int64
	startedAt, lastRejectionAt time.Duration
}

// countRejection notes a request that was refused.
func (t *loadShedding) countRejection() { t.rejected.Add(1) }

// logChanges logs a beginning, or an end after a spell without refusals.
func (t *loadShedding) logChanges(now, spell time.Duration, log *slog.Logger) {
	count := t.rejected.Load()
	if count > t.lastSeen {
		t.lastRejectionAt = now
		if !t.active {
			t.active, t.startedAt, t.rejectedBefore = true, now, t.lastSeen
			log.Info("requests are turned away", "why", "more come than can be answered")
		}
	}
	t.lastSeen = count
	if t.active && now > t.lastRejectionAt+spell {
		t.active = false
		log.Info("requests are no longer turned away", "requests", count-t.rejectedBefore, "seconds", int((t.lastRejectionAt - t.startedAt).Seconds()))
	}
}
