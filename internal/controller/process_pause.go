package controller

import "time"

// pauseRecovery detects that the process was paused, and tracks whether it has heard of anybody since.
type pauseRecovery struct {
	controller *Controller
	detection  *failureDetection
	election   *election
	env        *environment
	follower   *follower
	outbox     *outbox
	pending    *pendingTable
	preparer   *failoverPreparer
	relay      *leaderRelay

	// recoveringUntil: the process stood still and has heard of nobody since; until when at most.
	recoveringUntil time.Duration
	resumedAt       time.Duration // when it last went on after that
}

// A process may stand still for seconds while its clocks run on: the machine pauses, or
// another takes its core. What it believes then is old, and what piled up meanwhile is
// read at once. So a leader that wakes first asks the state service whether its lease
// still runs. Until it knows, it gives no commands and takes nobody's silence for a sign:
// one that had been replaced for half a minute once took 60 machines for lost, as it had
// not listened.

// detectPause looks at how long nothing was handled, and returns true after a standstill.
func (p *pauseRecovery) detectPause(gap time.Duration) bool {
	if p.env.now == 0 || gap <= p.env.cfg.LeaderTTL() {
		return false
	}
	p.env.log.Info("process pause detected", "duration_s", gap.Seconds(), "leader", p.controller.leadership != nil)
	p.env.observer.Resumed(gap, p.controller.leadership != nil)
	return true
}

// recoverFromPause has the leadership looked at anew.
func (p *pauseRecovery) recoverFromPause() {
	if p.detection.enabled() {
		p.discardStaleDecisions()
	}
	if l := p.controller.leadership; l != nil {
		l.lease.verifyingLeaseUntil = p.env.now + p.env.maxFailoverTime()
		l.lease.renewalInFlight, l.lease.renewLeaseAt = false, p.env.now
		l.lease.renewLeaderLease()
		return
	}
	p.election.leaderKeys.refresh(p.env.now)
}

// discardStaleDecisions forgets what a controller had decided before it stood still: to campaign, to
// answer workers for a leader that was lost then, to pass on what users still wait for. It
// takes part in nothing before it has heard of somebody, or for as long as a succession takes.
func (p *pauseRecovery) discardStaleDecisions() {
	p.recoveringUntil, p.resumedAt = p.env.now+p.env.maxFailoverTime(), p.env.now
	p.election.candidate = nil
	p.preparer.preparation = failoverPreparation{}
	contact := &p.follower.contact
	p.follower.contact = leaderContact{highestToken: contact.highestToken, lastServed: contact.lastServed, inFlight: contact.inFlight, nextAt: p.env.now}
	for _, id := range sortedRequests(p.pending.pendingRequests) {
		waiting := p.pending.pendingRequests[id]
		delete(p.pending.pendingRequests, id)
		p.outbox.replyUnavailable(waiting.from)
	}
	for _, r := range p.relay.retries {
		if r.request.path == "/forward" {
			p.outbox.replyUnavailable(r.request.from)
		}
	}
	p.relay.retries = nil
}

// noteAnswer notes the outcome of a request that was sent at a time.
func (p *pauseRecovery) noteAnswer(sent time.Duration, answered bool) {
	if answered && sent >= p.resumedAt {
		p.recoveringUntil = 0
	}
}

// isRecovering says whether the process stood still and has heard of nobody since.
func (p *pauseRecovery) isRecovering() bool { return p.env.now < p.recoveringUntil }
