package controller

import "time"

// A process may be paused for seconds while its clocks advance, because its machine was suspended or another process
// occupied its core. After the pause its state is out of date, and all messages that arrived in the meantime are
// read at once. A resumed leader therefore first confirms its lease with the state service. Until then it sends no
// commands and does not treat missing heartbeats as worker failures: a leader that had been replaced half a minute
// earlier declared 60 machines lost, because it had not read their heartbeats during the pause.

// pauseRecovery detects pauses of the process, and tracks whether another process has answered since the last pause.
// Its lifetime is that of the process.
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

	// recoveringUntil is the time until which this controller refuses users' requests and workers' heartbeats, unless
	// an answer from another process arrives first; 0: the process was not paused, or an answer has arrived since.
	recoveringUntil time.Duration
	resumedAt       time.Duration // when the process last resumed; 0: it was never paused
}

// detectPause reports whether the process was paused, and logs the pause. gap is the time since the last event; a gap
// longer than the leader's lease counts as a pause, because many ticks are due in that time.
func (p *pauseRecovery) detectPause(gap time.Duration) bool {
	if p.env.now == 0 || gap <= p.env.cfg.LeaderLease() {
		return false
	}
	leads := p.controller.leadership != nil
	p.env.log.Info("process pause detected", "duration_s", gap.Seconds(), "leader", leads)
	p.env.observer.ProcessResumed(gap, leads)
	return true
}

// recoverFromPause makes a leader confirm its lease before it acts, and a follower list the leader keys again.
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

// discardStaleDecisions discards state from before the pause: the candidacy, the failover preparation, the contact with
// the leader and the pending requests and retries. The controller then refuses users' requests and workers' heartbeats
// until an answer arrives, at most for the maximum duration of a failover.
func (p *pauseRecovery) discardStaleDecisions() {
	p.recoveringUntil, p.resumedAt = p.env.now+p.env.maxFailoverTime(), p.env.now
	p.election.candidate = nil
	p.preparer.preparation = failoverPreparation{}
	p.follower.discardContact()
	p.pending.refuseAll(refusedAfterPause)
	p.relay.discardRetries()
}

// recordAnswer records whether a request was answered; sent is the monotonic time when it was sent. An answer to a
// request that was sent after the process resumed ends the recovery.
func (p *pauseRecovery) recordAnswer(sent time.Duration, answered bool) {
	if answered && sent >= p.resumedAt {
		p.recoveringUntil = 0
	}
}

// isRecovering reports whether the process was paused and no answer has arrived since.
func (p *pauseRecovery) isRecovering() bool { return p.env.now < p.recoveringUntil }
