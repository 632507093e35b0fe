package controller

import "time"

// A process may stand still for seconds while its clocks run on: the machine pauses, or
// another takes its core. What it believes then is old, and what piled up meanwhile is
// read at once. So a leader that wakes first asks the state service whether its lease
// still runs. Until it knows, it gives no commands and takes nobody's silence for a sign:
// one that had been replaced for half a minute once took 60 machines for lost, as it had
// not listened.

// detectPause looks at how long nothing was handled, and returns true after a standstill.
func (c *Controller) detectPause(gap time.Duration) bool {
	if c.now == 0 || gap <= c.cfg.LeaderTTL() {
		return false
	}
	c.log.Info("stood still", "seconds", gap.Seconds(), "leads", c.leadership != nil)
	c.observer.Resumed(gap, c.leadership != nil)
	return true
}

// recoverFromPause has the leadership looked at anew.
func (c *Controller) recoverFromPause() {
	if c.detection.enabled() {
		c.discardStaleDecisions()
	}
	if l := c.leadership; l != nil {
		l.verifyingLeaseUntil = c.now + c.maxFailoverTime()
		l.renewalInFlight, l.renewLeaseAt = false, c.now
		l.renewLeaderLease()
		return
	}
	c.leaderKeys.refresh(c.now)
}

// discardStaleDecisions forgets what a controller had decided before it stood still: to campaign, to
// answer workers for a leader that was lost then, to pass on what users still wait for. It
// takes part in nothing before it has heard of somebody, or for as long as a succession takes.
func (c *Controller) discardStaleDecisions() {
	c.recoveringUntil, c.resumedAt = c.now+c.maxFailoverTime(), c.now
	c.candidate = nil
	c.preparation = failoverPreparation{}
	f := &c.follower
	c.follower = follower{highestToken: f.highestToken, lastServed: f.lastServed, inFlight: f.inFlight, nextAt: c.now}
	for _, id := range sortedRequests(c.pendingRequests) {
		waiting := c.pendingRequests[id]
		delete(c.pendingRequests, id)
		c.replyUnavailable(waiting.from)
	}
	for _, r := range c.retries {
		if r.request.path == "/forward" {
			c.replyUnavailable(r.request.from)
		}
	}
	c.retries = nil
}

// noteAnswer notes the outcome of a request that was sent at a time.
func (c *Controller) noteAnswer(sent time.Duration, answered bool) {
	if answered && sent >= c.resumedAt {
		c.recoveringUntil = 0
	}
}

// isRecovering says whether the process stood still and has heard of nobody since.
func (c *Controller) isRecovering() bool { return c.now < c.recoveringUntil }

// verifiesLease says whether this leader does not know yet, after a standstill, whether it
// still is one. Where the state service does not answer at all it goes on as a coasting
// leader does.
func (l *leadership) verifiesLease() bool { return l.controller.now < l.verifyingLeaseUntil }
