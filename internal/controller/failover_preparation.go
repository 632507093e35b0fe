package controller

import (
	"time"

	"claybarrow/internal/membership"
	"claybarrow/internal/stateclient"
)

// failoverPreparer prepares a follower to succeed a suspected leader: it acquires a lease and preloads the
// stored records ahead of the election.
//
// Suspicion never starts an election: the follower campaigns only once the state service names no leader (see
// leaderKeys.currentLeader). After the election, all changes since the preload are applied to the preloaded records, so
// that the former leader's last writes are never missed.
//
// It owns the preparation. At a failover the new leadership takes over the preloaded records, and the rest of the
// preparation is discarded.
type failoverPreparer struct {
	controller *Controller
	detection  *failureDetection
	election   *election
	env        *environment
	outbox     *outbox

	preparation failoverPreparation
}

// failoverPreparation is the state that a follower has prepared ahead of an election.
type failoverPreparation struct {
	suspectedAt  time.Duration // when the leader became suspected; 0: the leader is not suspected
	formerLeader string        // the label of the last leader
	preload      *recordPreload
}

// Limits of the preparation and the succession.
const (
	// candidateSpacingDivisor: the campaigns of consecutive candidates are a tenth of the leader's lease apart.
	candidateSpacingDivisor = 10
	// preparingCandidates is the number of candidates that prepare: the first by rank, and a second one in case the
	// first has failed too.
	preparingCandidates = 2
	// preloadMemoryDivisor: the encoded size of the preloaded records is limited to a sixteenth of the memory.
	preloadMemoryDivisor = 16
	// preloadReserve is the fraction of the request burst that preloading leaves to other requests.
	preloadReserve = 0.5
	// bytesPerMB converts the configured memory size to bytes.
	bytesPerMB = 1 << 20
)

// prepareFailover prepares for a failover while the leader is suspected, and discards the preparation once the leader
// is no longer suspected.
func (p *failoverPreparer) prepareFailover() {
	if !p.detection.enabled() || p.controller.leadership != nil {
		return
	}
	leader := p.election.leaderKeys.leader
	if leader == nil {
		return // an election is in progress
	}
	preparation := &p.preparation
	preparation.formerLeader = leader.Label
	if !p.suspectsLeader(leader.Label) {
		preparation.suspectedAt, preparation.preload = 0, nil
		return
	}
	if !p.election.leaderKeys.listed {
		return // keep the preparation while the leader keys are listed again
	}
	if preparation.suspectedAt == 0 {
		preparation.suspectedAt = p.env.now
	}
	if p.election.successorRank(leader.Label) < preparingCandidates {
		p.election.maintainCandidateLease()
		p.preloadNextPage(leader.Token)
	}
}

// suspectsLeader reports whether the leader is another controller that is not alive according to the failure
// detector, and this controller is not backing off from elections.
func (p *failoverPreparer) suspectsLeader(label string) bool {
	return label != p.env.cfg.Label && p.detection.peerState(label) != membership.Alive && !p.election.isBackingOff()
}

// preloadNextPage requests the next page of records to preload, if the request budget allows. token is the token of
// the suspected leader.
func (p *failoverPreparer) preloadNextPage(token uint64) {
	preload := p.ensurePreload(token)
	requests := &p.outbox.stateRequests
	if preload.finished || preload.inFlight || !requests.Allows(p.env.now, 1+preloadReserve*requests.Burst()) {
		return
	}
	preload.inFlight = true
	timeout := p.env.cfg.LeaderLease()
	p.outbox.state.List(preload.currentPrefix(), preload.after, recordsPerPage, timeout, func(page stateclient.Page, err error) {
		p.onPagePreloaded(preload, page, err)
	})
}

// ensurePreload returns the preload for the leader with the given token, and starts a new one if there is none.
func (p *failoverPreparer) ensurePreload(token uint64) *recordPreload {
	preparation := &p.preparation
	if preparation.preload == nil || preparation.preload.token != token {
		preparation.preload = newRecordPreload(token, loadOrder(p.election.leaderKeys.record.storageVersion()))
	}
	return preparation.preload
}

// onPagePreloaded adds a page to the preload and requests the next page. A failed request ends the preload: the
// missing records are read after the election.
func (p *failoverPreparer) onPagePreloaded(preload *recordPreload, page stateclient.Page, err error) {
	preload.inFlight = false
	if p.preparation.preload != preload || preload.finished {
		return
	}
	if err != nil {
		preload.finished = true
		return
	}
	preload.bytes += page.Bytes
	preload.addPage(page.KeyValuePage)
	if preload.bytes > p.preloadLimitBytes() {
		preload.finished = true
	}
	if p.election.leaderKeys.leader != nil && p.controller.leadership == nil {
		p.preloadNextPage(preload.token)
	}
}

// preloadLimitBytes returns the maximum encoded size of the preloaded records.
func (p *failoverPreparer) preloadLimitBytes() int {
	return int(p.env.cfg.Cluster.Resources.MemMB*bytesPerMB) / preloadMemoryDivisor
}

// beginFailover returns the trace record of the failover to this controller, and resets the suspicion.
func (p *failoverPreparer) beginFailover(token uint64) *Failover {
	preparation := &p.preparation
	failover := &Failover{
		Token:            token,
		FormerLeader:     preparation.formerLeader,
		Suspected:        preparation.suspectedAt,
		LeaderKeyRemoved: p.election.leaderKeys.leaderlessSince,
		Elected:          p.env.now,
	}
	preparation.suspectedAt, preparation.formerLeader = 0, p.env.cfg.Label
	return failover
}
