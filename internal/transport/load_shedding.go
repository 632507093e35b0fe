package transport

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// loadShedding counts the requests that were rejected because their queue to the event loop was full. It logs the start
// and the end of each period of load shedding.
type loadShedding struct {
	// rejected is the number of rejected requests. The HTTP handlers increment it.
	rejected atomic.Int64

	// The fields below are accessed only by the event loop's goroutine. Times are readings of the monotonic clock.
	active         bool
	rejectedBefore int64 // value of rejected before the period started
	lastRejected   int64 // value of rejected at the previous call of logChanges
	startedAt      time.Duration
	// lastIncreaseAt is the time of the last call of logChanges that found rejected increased.
	lastIncreaseAt time.Duration
}

// countRejection counts a rejected request.
func (s *loadShedding) countRejection() { s.rejected.Add(1) }

// logChanges logs the start of a period of load shedding, and its end after no request was rejected for longer than
// quietPeriod.
func (s *loadShedding) logChanges(now, quietPeriod time.Duration, log *slog.Logger) {
	rejected := s.rejected.Load()
	if rejected > s.lastRejected {
		s.lastIncreaseAt = now
		if !s.active {
			s.active = true
			s.startedAt = now
			s.rejectedBefore = s.lastRejected
			log.Info("load shedding started", "reason", "the request queue is full")
		}
	}
	s.lastRejected = rejected
	if s.active && now > s.lastIncreaseAt+quietPeriod {
		s.active = false
		log.Info("load shedding ended",
			"requests", rejected-s.rejectedBefore,
			"duration_s", int((s.lastIncreaseAt - s.startedAt).Seconds()))
	}
}
