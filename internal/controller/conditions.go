package controller

import (
	"log/slog"
	"time"
)

// loggedCondition is a lasting condition of the service, such as late machine boots, that operators report to their
// users. It is logged when it begins and when it ends.
type loggedCondition struct {
	active bool
	since  time.Duration
}

// conditionMessages are the log messages of a condition.
type conditionMessages struct {
	begin, end string
}

// update sets whether the condition is active, and logs a change with the given attributes. The message at its end also
// contains its duration.
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
