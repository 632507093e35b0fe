package transport

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// loadShedding counts the requests that were refused because the queue before the event loop was
// full, and logs when a period of refusals starts and when it has ended.
type loadShedding struct {
	// rejected is added to by the HTTP handlers.
	rejected atomic.Int64

	// What follows belongs to the event loop alone. Times are readings of the steady clock.
	active         bool
	rejectedBefore int64 // the count when the period started
	lastSeen       int64 // the count at the last call of logChanges
	startedAt      time.Duration
	// lastRejectionAt is when the count was last seen to have grown.
	lastRejectionAt time.Duration
}

// countRejection counts a request that was refused.
func (s *loadShedding) countRejection() { s.rejected.Add(1) }

// logChanges logs the start of a period of refusals, and its end once there was no refusal for
// longer than quiet.
func (s *loadShedding) logChanges(now, quiet time.Duration, log *slog.Logger) {
	rejected := s.rejected.Load()
	if rejected > s.lastSeen {
		s.lastRejectionAt = now
		if !s.active {
			s.active = true
			s.startedAt = now
			s.rejectedBefore = s.lastSeen
			log.Info("load shedding started", "reason", "the request queue is full")
		}
	}
	s.lastSeen = rejected
	if s.active && now > s.lastRejectionAt+quiet {
		s.active = false
		log.Info("load shedding ended",
			"requests", rejected-s.rejectedBefore,
			"duration_s", int((s.lastRejectionAt - s.startedAt).Seconds()))
	}
}
