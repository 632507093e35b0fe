package controller

import (
	"log/slog"
	"time"
)

// condition is a state of the service that operators tell their users of: it is logged when
// it begins and when it is over, not in between.
type condition struct {
	holds bool
	since time.Duration
}

// update notes whether the condition holds now.
func (c *condition) update(holds bool, now time.Duration, log *slog.Logger, begins, over string, args ...any) {
	if holds == c.holds {
		return
	}
	if c.holds = holds; holds {
		c.since = now
		log.Info(begins, args...)
		return
	}
	log.Info(over, append(args, "duration_s", int((now-c.since).Seconds()))...)
}
