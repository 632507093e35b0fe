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
// It owns this controller's copy of the leader keys, its candidacy and its election back-off. Its lifetime is that
// of the process, so it persists across failovers. A process pause discards the candidacy.
type election struct {
	controller *Controller
	detection  *failureDetection
	env        *environment
	outbox     *outbox
	preparer   *failoverPreparer

	leaderKeys leaderKeys
	candidate  *candidate
	// electionBackoffUntil is the end of the election back-off, in which this controller does not campaign so that
	// another one can be elected. The back-off ends early if no other one is elected (see isBackingOff). It is set when
	// this controller shuts down, and when it steps down because it can't reach the workers.
	electionBackoffUntil time.Duration
}

// candidate is the state of this controller's candidacy: its lease and the request in flight.
type candidate struct {
	leaseID          uint64        // 0: the candidate holds no lease
	leaseRequestedAt time.Duration // when the request that acquired or last renewed the lease was sent
	retryAt          time.Duration // earliest time of the next request after a failed one
	inFlight         bool          // a request is in flight
}

// Fractions and multiples of the leader's lease (config.Config.LeaderLease) in an election.
const (
	// stateCallTimeoutDivisor: a call to the state service times out after half of the lease, so that a request
	// whose response is lost can be retried within the same lease.
	stateCallTimeoutDivisor = 2
	// watchBlockLeases is the number of leases for which the state service may hold a watch open without an event.
	// The response may take one more lease.
	watchBlockLeases = 4
	// campaignLeaseDivisor: a candidate campaigns only if its lease was requested or renewed within the last half
	// of a lease, because the new leadership counts the lease from the time of that request.
	campaignLeaseDivisor = 2
	// candidateRenewalDivisor: a candidate renews its lease after a third of the lease.
	candidateRenewalDivisor = 3
	// backoffLeaseDivisor: the back-off ends early when there has been no leader for a fifth of the workers' lease
	// (config.Config.WorkerLease), long before the workers' leases expire.
	backoffLeaseDivisor = 5
)

// leaderKeysLimit is the limit of a list request for the leader keys, of which there are at most three.
const leaderKeysLimit = 10

// candidateLeaseMaxAge is the age beyond which a candidate replaces its lease instead of renewing it: the lease
// might expire before the renewal arrives.
func candidateLeaseMaxAge(ttl time.Duration) time.Duration { return ttl * 2 / 3 }

// stateCallTimeout is the timeout of the election's calls to the state service, except for a watch.
func (e *election) stateCallTimeout() time.Duration {
	return e.env.cfg.LeaderLease() / stateCallTimeoutDivisor
}

// tick campaigns if there is no leader, and keeps the copy of the leader keys up to date: it lists the keys once and
// then watches them from the revision of that list.
func (e *election) tick() {
	if e.shouldCampaign() {
		e.campaign()
	}
	if !e.mayReadLeaderKeys() {
		return
	}
	e.leaderKeys.inFlight = true
	if e.leaderKeys.listed {
		e.sendWatchRequest()
	} else {
		e.sendListRequest()
	}
}

// shouldCampaign reports whether there is no leader and this controller may campaign now.
func (e *election) shouldCampaign() bool {
	return e.controller.leadership == nil && e.leaderKeys.listed && e.leaderKeys.leader == nil &&
		!e.isBackingOff() && e.mayCampaign() && e.supportsStoredVersion()
}

// mayReadLeaderKeys reports whether the leader keys may be listed or watched now. A leader does not watch them,
// because each of its writes is conditional on the version of the leader key.
func (e *election) mayReadLeaderKeys() bool {
	keys := &e.leaderKeys
	return !keys.inFlight && e.env.now >= keys.retryAt && e.controller.leadership == nil &&
		e.outbox.stateRequests.Allows(e.env.now, 1)
}

// sendListRequest sends a list request for all leader keys.
func (e *election) sendListRequest() {
	isCurrent := e.newResponseCheck()
	e.outbox.state.List(keyPrefix, "", leaderKeysLimit, e.stateCallTimeout(), func(page stateclient.Page, err error) {
		if isCurrent() {
			e.onLeaderKeysListed(page, err)
		}
	})
}

// sendWatchRequest sends a watch request for changes of the leader keys after the known revision. The state service
// responds at the first change, or with no events after watchBlockLeases.
func (e *election) sendWatchRequest() {
	ttl := e.env.cfg.LeaderLease()
	block := watchBlockLeases * ttl
	isCurrent := e.newResponseCheck()
	e.outbox.state.Watch(keyPrefix, e.leaderKeys.revision, block, block+ttl, func(events protocol.WatchReply, err error) {
		if isCurrent() {
			e.onLeaderKeysChanged(events, err)
		}
	})
}

// newResponseCheck returns a function that the response handler of a new list or watch request for the leader keys must
// call. The function reports whether the response is current, and if so marks the request as completed. A response is
// stale if refresh was called after the request was sent.
func (e *election) newResponseCheck() (isCurrent func() bool) {
	generation := e.leaderKeys.generation
	return func() bool {
		if e.leaderKeys.generation != generation {
			return false
		}
		e.leaderKeys.inFlight = false
		return true
	}
}

// onLeaderKeysListed replaces the copy of the leader keys with the result of a list request.
func (e *election) onLeaderKeysListed(page stateclient.Page, err error) {
	keys := &e.leaderKeys
	if err != nil {
		keys.retryAt = e.env.now + e.env.retryPause()
		e.logListFailure(apicall.StatusOf(err))
		return
	}
	keys.listed, keys.revision, keys.listFailureLogged = true, page.Revision, false
	keys.clearKeys()
	for _, item := range page.Items {
		keys.applyKey(item.Key, item.Value, item.Version)
	}
	e.updateLeader()
	e.tick()
}

// logListFailure logs only the first of consecutive list failures, so that an outage of the state service does not
// flood the log.
func (e *election) logListFailure(status int) {
	if e.leaderKeys.listFailureLogged {
		return
	}
	e.leaderKeys.listFailureLogged = true
	e.env.log.Info("listing the leader keys failed", "addr", e.env.cfg.Services.State, "status", status)
}

// onLeaderKeysChanged applies the events of a watch response. After a failed watch the keys are listed again,
// because the watch may have missed changes.
func (e *election) onLeaderKeysChanged(events protocol.WatchReply, err error) {
	keys := &e.leaderKeys
	if err != nil {
		keys.listed, keys.retryAt = false, e.env.now+e.env.retryPause()
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
	e.updateLeader()
	e.tick()
}

// campaign tries to become the leader: it acquires a lease if the candidate's lease is missing or too old, and then
// sends one transaction that increments the counter and puts the leader key. The transaction is conditional on the
// leader keys being unchanged, so it fails if another controller was elected in the meantime.
func (e *election) campaign() {
	candidate := e.ensureCandidate()
	if !e.maySendRequest(candidate) {
		return
	}
	maxAge := e.env.cfg.LeaderLease() / campaignLeaseDivisor
	if candidate.leaseID == 0 || e.env.now > candidate.leaseRequestedAt+maxAge {
		e.acquireLease(candidate, func() {
			if e.leaderKeys.listed && e.leaderKeys.leader == nil && e.controller.leadership == nil {
				e.campaign()
			}
		})
		return
	}
	e.sendElectionTxn(candidate)
}

// ensureCandidate returns this controller's candidacy, and creates it if there is none.
func (e *election) ensureCandidate() *candidate {
	if e.candidate == nil {
		e.candidate = &candidate{}
	}
	return e.candidate
}

// maySendRequest reports whether the candidate may send a request to the state service now.
func (e *election) maySendRequest(candidate *candidate) bool {
	return !candidate.inFlight && e.env.now >= candidate.retryAt && e.outbox.stateRequests.Allows(e.env.now, 1)
}

// sendElectionTxn sends the candidate's election transaction to the state service.
func (e *election) sendElectionTxn(candidate *candidate) {
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

// onElectionResult starts the leadership if the transaction was applied. A failed condition and a missing response
// are handled alike: the open watch is abandoned and the keys are listed again before the next attempt.
func (e *election) onElectionResult(candidate *candidate, record *leaderRecord, revision uint64, err error) {
	candidate.inFlight = false
	if e.candidate != candidate || e.controller.leadership != nil {
		// The candidacy is over: the watch may have delivered the leader key before the response to this
		// transaction arrived. Without this check a process became leader twice and crashed.
		return
	}
	if err == nil {
		e.leaderKeys.applyElection(record, revision)
		e.controller.becomeLeader(record, revision)
		return
	}
	candidate.retryAt = e.env.now + e.env.retryPause()
	if errors.Is(err, apicall.ErrInvalidRequest) {
		candidate.leaseID = 0 // the lease expired before the transaction arrived
	}
	e.leaderKeys.refresh(e.env.now)
}

// successorRank returns this controller's rank among the candidates to succeed the former leader; 0 is the first.
func (e *election) successorRank(former string) int {
	return membership.SuccessionRank(e.env.cfg.Label, e.leaderKeys.counter, e.detection.detector.LeaderCandidates(former))
}

// mayCampaign reports whether this candidate may campaign yet. The candidate with rank 0 campaigns immediately and
// the others follow at a fixed spacing: simultaneous campaigns would cost requests to the state service without
// making the election faster.
func (e *election) mayCampaign() bool {
	if !e.detection.enabled() {
		return true
	}
	spacing := e.env.cfg.LeaderLease() / candidateSpacingDivisor
	rank := e.successorRank(e.preparer.preparation.formerLeader)
	return e.env.now >= e.leaderKeys.leaderlessSince+time.Duration(rank)*spacing
}

// maintainCandidateLease acquires and renews a lease ahead of an election, so that the election takes only one
// transaction.
func (e *election) maintainCandidateLease() {
	candidate := e.ensureCandidate()
	if !e.maySendRequest(candidate) {
		return
	}
	ttl := e.env.cfg.LeaderLease()
	switch {
	case candidate.leaseID == 0 || e.env.now > candidate.leaseRequestedAt+candidateLeaseMaxAge(ttl):
		e.acquireLease(candidate, func() {})
	case e.env.now > candidate.leaseRequestedAt+ttl/candidateRenewalDivisor:
		e.renewCandidateLease(candidate)
	}
}

// acquireLease requests a lease for the candidate, and calls onGranted once the lease is granted.
func (e *election) acquireLease(candidate *candidate, onGranted func()) {
	candidate.inFlight = true
	sent := e.env.now
	e.outbox.state.GrantLease(e.env.cfg.LeaderLease(), e.stateCallTimeout(), func(leaseID uint64, err error) {
		candidate.inFlight = false
		if err != nil {
			candidate.retryAt = e.env.now + e.env.retryPause()
			return
		}
		candidate.leaseID, candidate.leaseRequestedAt = leaseID, sent
		onGranted()
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
			candidate.leaseRequestedAt = sent
		case errors.Is(err, stateclient.ErrLeaseExpired):
			candidate.leaseID = 0
		default:
			candidate.retryAt = e.env.now + e.env.retryPause()
		}
	})
}

// supportsStoredVersion reports whether this version of the program can read the stored records. A controller that
// can't read them does not campaign.
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

// updateLeader updates the current leader from the leader keys after a change. It ends this controller's leadership
// if a later leader was elected, and handles a leader key that names this controller while it is not the leader.
func (e *election) updateLeader() {
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
		// A partitioned follower lists the keys every few seconds, so a leader is logged only once per token.
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

// checkOwnLeadership ends this controller's leadership if the leader key has a higher token. A watch that was open
// during the election delivers the key of this leadership or of a successor.
func (e *election) checkOwnLeadership(record *leaderRecord) {
	if record.Token > e.controller.leadership.lease.token {
		e.controller.endLeadership(endLeaderKeyHasLaterToken)
	}
}

// onOwnLeaderRecord handles a leader key that names this controller while it is not the leader. Either its election
// transaction was applied and the response was lost or is still in flight, or the key was written by an earlier
// process or for an abandoned candidacy.
func (e *election) onOwnLeaderRecord(record *leaderRecord) {
	if record.Incarnation == e.env.incarnation && e.candidate != nil && record.LeaseID == e.candidate.leaseID {
		e.controller.becomeLeader(record, e.leaderKeys.recordVersion)
		return
	}
	e.revokeFormerLease(record.LeaseID)
}

// revokeFormerLease revokes the lease of an earlier process of this controller, or of an abandoned candidacy, so that
// the next election need not wait for the lease to expire. Revoking it is safe because writes by the holder of that
// lease are fenced.
func (e *election) revokeFormerLease(leaseID uint64) {
	keys := &e.leaderKeys
	if keys.revokedLease == leaseID {
		return
	}
	keys.revokedLease = leaseID
	e.env.log.Info("revoking the lease of an earlier incarnation", "lease", leaseID)
	e.outbox.state.RevokeLease(leaseID, e.stateCallTimeout(), func(err error) {
		if apicall.IsRetryable(err) { // the lease may not have been revoked
			keys.revokedLease = 0
			keys.refresh(e.env.now + e.env.retryPause())
		}
	})
}

// isBackingOff reports whether this controller refrains from campaigning so that another one can be elected.
func (e *election) isBackingOff() bool {
	return e.env.now < e.electionBackoffUntil &&
		e.env.now < e.leaderKeys.leaderlessSince+e.env.cfg.WorkerLease()/backoffLeaseDivisor
}
