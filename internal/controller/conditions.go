package controller

import (
	"log/slog"
	"time"
)

// loggedCondition is a state of the service that operators tell their users of: it is logged when
// it begins and when it is over, not in between.
type loggedCondition struct {
	active bool
	since  time.Duration
}

// update notes whether the condition holds now.
func (c *loggedCondition) update(holds bool, now time.Duration, log *slog.Logger, begins, over string, args ...any) {
	if holds == c.active {
		return
	}
	if c.active = holds; holds {
		c.since = now
		log.Info(begins, args...)
		return
	}
	log.Info(over, append(args, "duration_s", int((now-c.since).Seconds()))...)
}
