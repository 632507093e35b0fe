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
	c.observer.Resumed(gap, c.term != nil)
	return true
}

// afterStandstill has the leadership looked at anew.
func (c *Core) afterStandstill() {
	if c.membership.enabled() {
		c.dropDecisions()
	}
	if r := c.term; r != nil {
		r.suspendedUntil = c.now + c.successionTime()
		r.renewing, r.renewAt = false, c.now
		r.keepLease()
		return
	}
	c.view.refresh(c.now)
}

// dropDecisions forgets what a controller had decided before it stood still: to campaign, to
// answer workers for a leader that was lost then, to pass on what users still wait for. It
// takes part in nothing before it has heard of somebody, or for as long as a succession takes.
func (c *Core) dropDecisions() {
	c.resuming, c.wokeAt = c.now+c.successionTime(), c.now
	c.candidacy = nil
	c.succession = succession{}
	d := &c.follower
	c.follower = follower{highest: d.highest, served: d.served, busy: d.busy, next: c.now}
	for _, id := range sortedRequests(c.pendingRequests) {
		waiting := c.pendingRequests[id]
		delete(c.pendingRequests, id)
		c.refuse(waiting.from)
	}
	for _, r := range c.retries {
		if r.request.path == "/forward" {
			c.refuse(r.request.from)
		}
	}
	c.retries = nil
}

// resumed notes the outcome of a request that was sent at a time.
func (c *Core) resumed(sent time.Duration, answered bool) {
	if answered && sent >= c.wokeAt {
		c.resuming = 0
	}
}

// isResuming says whether the process stood still and has heard of nobody since.
func (c *Core) isResuming() bool { return c.now < c.resuming }

// suspended says whether this leader does not know yet, after a standstill, whether it
// still is one. Where the state service does not answer at all it goes on as a coasting
// leader does.
func (r *term) suspended() bool { return r.c.now < r.suspendedUntil }
