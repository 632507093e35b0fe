package controller

import "time"

// A process may be paused for seconds while its clocks run on: its machine is suspended, or another process
// takes its core. What it believes afterwards is old, and what has arrived in the meantime is read all at once.
// So a leader that resumes first asks the state service whether its lease still runs. Until it knows, it sends
// no commands and does not take a worker's silence for a failure: a leader that had been replaced for half a
// minute once took 60 machines for lost, as it was the one that had not listened.

// pauseRecovery detects that the process was paused, and tracks whether any other process has answered it
// since. It belongs to the process, whether it leads or not.
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

	// recoveringUntil is until when this controller takes part in nothing, as no answer has come since it resumed;
	// 0: it was not paused, or one has come.
	recoveringUntil time.Duration
	resumedAt       time.Duration // when the process last resumed; 0: it was never paused
}

// detectPause reports whether the process was paused, and logs it: gap is the time since the last event was
// handled, and ticks come many times in a leader's lease.
func (p *pauseRecovery) detectPause(gap time.Duration) bool {
	if p.env.now == 0 || gap <= p.env.cfg.LeaderLease() {
		return false
	}
	leads := p.controller.leadership != nil
	p.env.log.Info("process pause detected", "duration_s", gap.Seconds(), "leader", leads)
	p.env.observer.ProcessResumed(gap, leads)
	return true
}

// recoverFromPause has a leader confirm its lease before it acts, and a follower read anew who leads.
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

// discardStaleDecisions drops what the controller had decided before it was paused: to campaign, to renew
// workers' leases for a leader that was lost then, to relay what users still wait for. It takes part in
// nothing before an answer has come, or for as long as a failover takes.
func (p *pauseRecovery) discardStaleDecisions() {
	p.recoveringUntil, p.resumedAt = p.env.now+p.env.maxFailoverTime(), p.env.now
	p.election.candidate = nil
	p.preparer.preparation = failoverPreparation{}
	p.follower.discardContact()
	p.pending.refuseAll()
	p.relay.discardRetries()
}

// noteAnswer notes the outcome of a request that was sent at a steady time. Any answer to a request since the
// process resumed ends the recovery.
func (p *pauseRecovery) noteAnswer(sent time.Duration, answered bool) {
	if answered && sent >= p.resumedAt {
		p.recoveringUntil = 0
	}
}

// isRecovering reports whether the process was paused and no answer has come since.
func (p *pauseRecovery) isRecovering() bool { return p.env.now < p.recoveringUntil }
