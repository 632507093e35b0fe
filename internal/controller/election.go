package controller

import (
	"errors"
	"time"

	"claybarrow/internal/apicall"
	"claybarrow/internal/membership"
	"claybarrow/internal/protocol"
	"claybarrow/internal/stateclient"
)

// election watches the leader keys in the state service and campaigns when there is no leader.
//
// It owns what this controller knows of the leader keys, its candidacy and its backoff. It belongs to the
// process, not to a leadership, and so survives each failover; a process pause drops the candidacy.
type election struct {
	controller *Controller
	detection  *failureDetection
	env        *environment
	outbox     *outbox
	preparer   *failoverPreparer

	leaderKeys leaderKeys
	candidate  *candidate
	// electionBackoffUntil is the time until which the other controllers get the chance to lead. It is set
	// when this controller shuts down, or gives up its leadership as it can't reach the workers.
	electionBackoffUntil time.Duration
}

// candidate is one attempt to become leader.
type candidate struct {
	leaseID      uint64        // 0: there is no lease
	leaseAskedAt time.Duration // when the request that acquired or last renewed the lease was sent
	retryAt      time.Duration // no request before this time, after one that failed
	inFlight     bool          // a request is under way
}

// Fractions and multiples of the leader's lease (config.LeaderLease) in an election.
const (
	// stateCallTimeoutDivisor bounds the wait for one answer of the state service to half of the lease, so
	// that a request whose answer is lost can be repeated within it.
	stateCallTimeoutDivisor = 2
	// watchBlockLeases is how long the state service may keep a watch open without an event. One more
	// lease is allowed for the answer.
	watchBlockLeases = 4
	// campaignLeaseDivisor: a candidate campaigns only with a lease that was asked for in the last half of
	// a lease, as the new leadership counts its lease from then.
	campaignLeaseDivisor = 2
	// candidateRenewalDivisor: a candidate renews its lease after a third of it.
	candidateRenewalDivisor = 3
	// backoffLeaseDivisor: a backoff ends early when nobody has led for a fifth of a worker's lease
	// (config.Lease), long before the workers would lose theirs.
	backoffLeaseDivisor = 5
)

// leaderKeysLimit bounds the list of the leader keys, of which there are three at the most.
const leaderKeysLimit = 10

// candidateLeaseMaxAge is the age at which a candidate's lease is not renewed any more but replaced: by the
// time the renewal arrived it might have expired.
func candidateLeaseMaxAge(ttl time.Duration) time.Duration { return ttl * 2 / 3 }

// stateCallTimeout is how long an election waits for an answer of the state service.
func (e *election) stateCallTimeout() time.Duration {
	return e.env.cfg.LeaderLease() / stateCallTimeoutDivisor
}

// watchLeaderKeys campaigns when there is no leader, and keeps what is known of the leader keys current: it
// lists them once and then watches them from the revision of the list.
func (e *election) watchLeaderKeys() {
	if e.shouldCampaign() {
		e.campaign()
	}
	if !e.mayReadLeaderKeys() {
		return
	}
	e.leaderKeys.inFlight = true
	if e.leaderKeys.known {
		e.followLeaderKeys()
	} else {
		e.listLeaderKeys()
	}
}

// shouldCampaign reports whether there is no leader and it is this controller's turn to become one.
func (e *election) shouldCampaign() bool {
	return e.controller.leadership == nil && e.leaderKeys.known && e.leaderKeys.leader == nil &&
		!e.backsOffElection() && e.mayCampaign() && e.supportsStoredVersion()
}

// mayReadLeaderKeys reports whether the keys can be listed or watched now. A leader does not watch them:
// each of its writes has the leader key's version as a condition.
func (e *election) mayReadLeaderKeys() bool {
	keys := &e.leaderKeys
	return !keys.inFlight && e.env.now >= keys.retryAt && e.controller.leadership == nil &&
		e.outbox.stateRequests.Allows(e.env.now, 1)
}

// listLeaderKeys requests all leader keys.
func (e *election) listLeaderKeys() {
	current := e.leaderKeysRequest()
	e.outbox.state.List(keyPrefix, "", leaderKeysLimit, e.stateCallTimeout(), func(page stateclient.Page, err error) {
		if current() {
			e.onLeaderKeysListed(page, err)
		}
	})
}

// followLeaderKeys requests the changes of the leader keys after the revision that is known. The state
// service answers at the first change, or without any after watchBlockLeases.
func (e *election) followLeaderKeys() {
	ttl := e.env.cfg.LeaderLease()
	block := watchBlockLeases * ttl
	current := e.leaderKeysRequest()
	e.outbox.state.Watch(keyPrefix, e.leaderKeys.revision, block, block+ttl, func(events protocol.WatchReply, err error) {
		if current() {
			e.onLeaderKeysChanged(events, err)
		}
	})
}

// leaderKeysRequest begins a request for the leader keys. The function that it returns ends the request when
// its answer is there, and reports whether the answer counts: if the keys were refreshed meanwhile, a newer
// request has replaced this one.
func (e *election) leaderKeysRequest() (current func() bool) {
	generation := e.leaderKeys.generation
	return func() bool {
		if e.leaderKeys.generation != generation {
			return false
		}
		e.leaderKeys.inFlight = false
		return true
	}
}

// onLeaderKeysListed replaces what is known of the leader keys by a list of them.
func (e *election) onLeaderKeysListed(page stateclient.Page, err error) {
	keys := &e.leaderKeys
	if err != nil {
		keys.retryAt = e.env.now + e.env.retryPause()
		e.logListFailure(apicall.StatusOf(err))
		return
	}
	keys.known, keys.revision, keys.listFailureLogged = true, page.Revision, false
	keys.clearKeys()
	for _, item := range page.Items {
		keys.applyKey(item.Key, item.Value, item.Version)
	}
	e.observeLeader()
	e.watchLeaderKeys()
}

// logListFailure logs the first failure in a row: an outage of the state service would fill the log.
func (e *election) logListFailure(status int) {
	if e.leaderKeys.listFailureLogged {
		return
	}
	e.leaderKeys.listFailureLogged = true
	e.env.log.Info("listing the leader keys failed", "addr", e.env.cfg.Services.State, "status", status)
}

// onLeaderKeysChanged applies the changes that a watch returned. A watch that failed may have missed some, so
// that the keys are listed again.
func (e *election) onLeaderKeysChanged(events protocol.WatchReply, err error) {
	keys := &e.leaderKeys
	if err != nil {
		keys.known, keys.retryAt = false, e.env.now+e.env.retryPause()
		return
	}
	keys.revision = events.Revision
	for _, event := range events.Events {
		if event.Delete != "" {
			keys.applyKey(event.Delete, nil, 0)
		} else {
			keys.applyKey(event.Put, event.Value, event.Version)
		}
	}
	e.observeLeader()
	e.watchLeaderKeys()
}

// campaign attempts to become leader: it acquires a lease, then sends one transaction that raises the
// counter and puts the leader key on condition that no other controller did so meanwhile.
func (e *election) campaign() {
	candidate := e.currentCandidate()
	if !e.mayCall(candidate) {
		return
	}
	maxAge := e.env.cfg.LeaderLease() / campaignLeaseDivisor
	if candidate.leaseID == 0 || e.env.now > candidate.leaseAskedAt+maxAge {
		e.acquireLease(candidate, func() {
			if e.leaderKeys.known && e.leaderKeys.leader == nil && e.controller.leadership == nil {
				e.campaign()
			}
		})
		return
	}
	e.sendElection(candidate)
}

// currentCandidate is this controller's candidacy, begun if there is none.
func (e *election) currentCandidate() *candidate {
	if e.candidate == nil {
		e.candidate = &candidate{}
	}
	return e.candidate
}

// mayCall reports whether the candidate may send its next request now.
func (e *election) mayCall(candidate *candidate) bool {
	return !candidate.inFlight && e.env.now >= candidate.retryAt && e.outbox.stateRequests.Allows(e.env.now, 1)
}

// sendElection sends the transaction that makes the candidate the leader.
func (e *election) sendElection(candidate *candidate) {
	candidate.inFlight = true
	record := &leaderRecord{
		Label:       e.env.cfg.Label,
		Incarnation: e.env.incarnation,
		Token:       e.leaderKeys.counter + 1,
		LeaseID:     candidate.leaseID,
	}
	txn := e.leaderKeys.electionTxn(record)
	e.outbox.state.Commit(txn, e.stateCallTimeout(), func(revision uint64, err error) {
		e.onElectionResult(candidate, record, revision, err)
	})
}

// onElectionResult begins the leadership if the transaction applied. A lost race and a lost answer are handled
// alike: the watch would go on, but a fresh list is needed before the next attempt.
func (e *election) onElectionResult(candidate *candidate, record *leaderRecord, revision uint64, err error) {
	candidate.inFlight = false
	if e.candidate != candidate || e.controller.leadership != nil {
		// The watch showed this transaction's key before its answer came. Without this check a process once
		// became leader twice and crashed.
		return
	}
	if err == nil {
		e.leaderKeys.noteElectionWon(record, revision)
		e.controller.becomeLeader(record, revision)
		return
	}
	candidate.retryAt = e.env.now + e.env.retryPause()
	if errors.Is(err, apicall.ErrInvalidRequest) {
		candidate.leaseID = 0 // it expired before the transaction arrived
	}
	e.leaderKeys.refresh(e.env.now)
}

// successorRank is this controller's rank among those that may succeed a leader, 0 being the first.
func (e *election) successorRank(former string) int {
	return membership.Rank(e.env.cfg.Label, e.leaderKeys.counter, e.detection.detector.LeaderCandidates(former))
}

// mayCampaign reports whether it is this candidate's turn: the first by rank campaigns at once, the others one
// after the other, as all of them at once would cost requests to the state service and gain nothing.
func (e *election) mayCampaign() bool {
	if !e.detection.enabled() {
		return true
	}
	spacing := e.env.cfg.LeaderLease() / candidateSpacingDivisor
	rank := e.successorRank(e.preparer.preparation.formerLeader)
	return e.env.now >= e.leaderKeys.leaderlessSince+time.Duration(rank)*spacing
}

// maintainCandidateLease keeps a lease ready, so that an election takes one transaction only.
func (e *election) maintainCandidateLease() {
	candidate := e.currentCandidate()
	if !e.mayCall(candidate) {
		return
	}
	ttl := e.env.cfg.LeaderLease()
	switch {
	case candidate.leaseID == 0 || e.env.now > candidate.leaseAskedAt+candidateLeaseMaxAge(ttl):
		e.acquireLease(candidate, func() {})
	case e.env.now > candidate.leaseAskedAt+ttl/candidateRenewalDivisor:
		e.renewCandidateLease(candidate)
	}
}

// acquireLease requests a lease for the candidate; then is called once it is there.
func (e *election) acquireLease(candidate *candidate, then func()) {
	candidate.inFlight = true
	sent := e.env.now
	e.outbox.state.GrantLease(e.env.cfg.LeaderLease(), e.stateCallTimeout(), func(lease uint64, err error) {
		candidate.inFlight = false
		if err != nil {
			candidate.retryAt = e.env.now + e.env.retryPause()
			return
		}
		candidate.leaseID, candidate.leaseAskedAt = lease, sent
		then()
	})
}

// renewCandidateLease renews the candidate's lease ahead of an election.
func (e *election) renewCandidateLease(candidate *candidate) {
	candidate.inFlight = true
	sent := e.env.now
	e.outbox.state.RenewLease(candidate.leaseID, e.stateCallTimeout(), func(err error) {
		candidate.inFlight = false
		switch {
		case err == nil:
			candidate.leaseAskedAt = sent
		case errors.Is(err, stateclient.ErrLeaseExpired):
			candidate.leaseID = 0
		default:
			candidate.retryAt = e.env.now + e.env.retryPause()
		}
	})
}

// supportsStoredVersion reports whether this version of the program can read the stored records. One that
// can't leaves the leadership to the controllers that can.
func (e *election) supportsStoredVersion() bool {
	keys := &e.leaderKeys
	if keys.record == nil || keys.record.storageVersion() <= newestStorageVersion {
		return true
	}
	if !keys.unsupportedLogged {
		keys.unsupportedLogged = true
		e.env.log.Error("stored records need a newer version, not campaigning",
			"stored", keys.record.StorageVersion, "reads", uint64(newestStorageVersion))
	}
	return false
}

// observeLeader evaluates the leader keys after a change: who leads, and whether that concerns this controller.
func (e *election) observeLeader() {
	keys := &e.leaderKeys
	record := keys.currentLeader()
	if record == nil {
		if keys.leader != nil || keys.leaderlessSince == 0 {
			keys.leaderlessSince = e.env.now
		}
		keys.leader = nil
		return
	}
	if keys.loggedToken != record.Token {
		// Logged once per token: a partitioned follower lists the keys again every few seconds.
		keys.loggedToken = record.Token
		e.env.log.Info("leader observed", "leader", record.Label, "token", record.Token)
	}
	keys.leader = record
	switch {
	case e.controller.leadership != nil:
		e.checkOwnLeadership(record)
	case record.Label == e.env.cfg.Label:
		e.onOwnLeaderRecord(record)
	}
}

// checkOwnLeadership ends this controller's leadership if the leader key is of a later one. A watch that was
// open at the election shows this leadership's own key, or that of a successor.
func (e *election) checkOwnLeadership(record *leaderRecord) {
	if record.Token > e.controller.leadership.lease.token {
		e.controller.endLeadership(endLaterLeaderKey)
	}
}

// onOwnLeaderRecord handles a leader key that names this controller although it does not lead: either the
// election's transaction applied and its answer was lost, or the key is of an earlier process.
func (e *election) onOwnLeaderRecord(record *leaderRecord) {
	if record.Incarnation == e.env.incarnation && e.candidate != nil && record.LeaseID == e.candidate.leaseID {
		e.controller.becomeLeader(record, e.leaderKeys.recordVersion)
		return
	}
	e.revokeFormerLease(record.LeaseID)
}

// revokeFormerLease revokes the lease of an earlier process of this controller, or of an election that was
// abandoned, so that nobody has to wait for its expiry. That is safe, as the writes under it are fenced.
func (e *election) revokeFormerLease(lease uint64) {
	keys := &e.leaderKeys
	if keys.revokedLease == lease {
		return
	}
	keys.revokedLease = lease
	e.env.log.Info("revoking the lease of an earlier incarnation", "lease", lease)
	e.outbox.state.RevokeLease(lease, e.stateCallTimeout(), func(err error) {
		if apicall.IsRetryable(err) { // the lease may still be there
			keys.revokedLease = 0
			keys.refresh(e.env.now + e.env.retryPause())
		}
	})
}

// backsOffElection reports whether this controller leaves the leadership to others.
func (e *election) backsOffElection() bool {
	return e.env.now < e.electionBackoffUntil &&
		e.env.now < e.leaderKeys.leaderlessSince+e.env.cfg.WorkerLease()/backoffLeaseDivisor
}
