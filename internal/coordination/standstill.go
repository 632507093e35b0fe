package coordination

import "time"

// A process may stand still for seconds while its clocks run on: the machine pauses, or
// another takes its core. What it believes then is old, and what piled up meanwhile is
// read at once. So a leader that wakes first asks the state service whether its lease
// still runs. Until it knows, it gives no commands and takes nobody's silence for a sign:
// one that had been replaced for half a minute once took 60 machines for lost, as it had
// not listened.

// wake looks at how long nothing was handled, and returns true after a standstill.
func (c *Core) wake(gap time.Duration) bool {
	if c.now == 0 || gap <= c.cfg.LeaderTTL() {
		return false
	}
	c.log.Info("stood still", "seconds", gap.Seconds(), "leads", c.term != nil)
	return true
}

// afterStandstill has the leadership looked at anew.
func (c *Core) afterStandstill() {
	if r := c.term; r != nil {
		r.suspendedUntil = c.now + c.successionTime()
		r.renewing, r.renewAt = false, c.now
		r.keepLease()
		return
	}
	c.view.refresh(c.now)
}

// suspended says whether this leader does not know yet, after a standstill, whether it
// still is one. Where the state service does not answer at all it goes on as a coasting
// leader does.
func (r *term) suspended() bool { return r.c.now < r.suspendedUntil }
