package transport

import (
	"log/slog"
	"time"

	"claybarrow/internal/controller"
)

// longestEvent tracks the event that took the core the longest time to handle. While the core handles an event, the
// leader's lease is not renewed and no request is answered. It is accessed only by the event loop's goroutine.
type longestEvent struct {
	kind     string
	duration time.Duration
	reportAt time.Duration // reading of the monotonic clock
}

// record records how long the core took to handle an event.
func (l *longestEvent) record(event controller.Event, duration time.Duration) {
	if duration > l.duration {
		l.kind, l.duration = eventKind(event), duration
	}
}

// logLongest logs the longest event of each interval if it took longer than the threshold.
func (l *longestEvent) logLongest(now, interval, threshold time.Duration, log *slog.Logger) {
	if now < l.reportAt {
		return
	}
	if l.duration > threshold {
		log.Info("longest event", "kind", l.kind, "duration_s", l.duration.Seconds())
	}
	l.kind, l.duration, l.reportAt = "", 0, now+interval
}

// eventKind returns the kind of an event for the log: the operation of a request, and otherwise tick or result.
func eventKind(event controller.Event) string {
	switch event := event.(type) {
	case controller.Request:
		return string(event.Op)
	case controller.Tick:
		return "tick"
	default:
		return "result"
	}
}
