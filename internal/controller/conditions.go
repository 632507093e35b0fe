package controller

import (
	"log/slog"
	"time"
)

// loggedCondition is a lasting state of the service that operators tell their users of. It is logged when it begins
// and when it ends, not in between.
type loggedCondition struct {
	active bool
	since  time.Duration
}

// conditionMessages are the log messages of a condition.
type conditionMessages struct {
	begin, end string
}

// update notes whether the condition is active now, and logs a change with the given attributes; its end with its
// duration too.
func (c *loggedCondition) update(active bool, now time.Duration, log *slog.Logger, messages conditionMessages, attributes ...any) {
	if active == c.active {
		return
	}
	c.active = active
	if active {
		c.since = now
		log.Info(messages.begin, attributes...)
		return
	}
	log.Info(messages.end, append(attributes, "duration_s", int((now-c.since).Seconds()))...)
}
