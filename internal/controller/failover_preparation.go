package controller

import (
	"time"

	"claybarrow/internal/membership"
	"claybarrow/internal/stateclient"
)

// failoverPreparer prepares a follower to succeed a suspected leader: it acquires a lease and preloads the
// stored records ahead of the election.
//
// The follower campaigns only once the state service no longer has the leader's key; no controller's suspicion
// brings that about. What was preloaded is checked after the election against all that has changed since, so
// that the former leader's last writes are never missed.
//
// It owns the preparation. At a failover the new leadership takes the preloaded records; the rest is dropped.
type failoverPreparer struct {
	controller *Controller
	detection  *failureDetection
	election   *election
	env        *environment
	outbox     *outbox

	preparation failoverPreparation
}

// failoverPreparation is what a follower has prepared ahead of an election.
type failoverPreparation struct {
	suspectedAt  time.Duration // when the leader was suspected; 0: it is not
	formerLeader string        // the label of the last leader
	preload      *recordPreload
}

// Limits of the preparation and the succession.
const (
	// candidateSpacingDivisor: a tenth of the leader's lease passes between the campaigns of two candidates.
	candidateSpacingDivisor = 10
	// preparingCandidates is how many candidates prepare: the first by rank, and one more in case the first
	// has failed too.
	preparingCandidates = 2
	// preloadMemoryDivisor bounds the preloaded records to a sixteenth of the memory, counted as encoded.
	preloadMemoryDivisor = 16
	// preloadReserve is the fraction of the burst of requests that preloading leaves to others.
	preloadReserve = 0.5
	// bytesPerMB converts the configured memory.
	bytesPerMB = 1 << 20
)

// prepareFailover prepares while the leader is suspected, and drops what was prepared once it is not.
func (p *failoverPreparer) prepareFailover() {
	if !p.detection.enabled() || p.controller.leadership != nil {
		return
	}
	leader := p.election.leaderKeys.leader
	if leader == nil {
		return // the election is under way
	}
	preparation := &p.preparation
	preparation.formerLeader = leader.Label
	if !p.suspectsLeader(leader.Label) {
		preparation.suspectedAt, preparation.preload = 0, nil
		return
	}
	if !p.election.leaderKeys.known {
		return // the preparation is kept: the keys are listed again now and then
	}
	if preparation.suspectedAt == 0 {
		preparation.suspectedAt = p.env.now
	}
	if p.election.successorRank(leader.Label) < preparingCandidates {
		p.election.maintainCandidateLease()
		p.preloadNextPage(leader.Token)
	}
}

// suspectsLeader reports whether another controller leads that may have failed, and this controller does not
// leave its succession to others.
func (p *failoverPreparer) suspectsLeader(label string) bool {
	return label != p.env.cfg.Label && p.detection.peerState(label) != membership.Alive && !p.election.backsOffElection()
}

// preloadNextPage requests the next page of the records of the leader with a token, if the budget of requests
// allows.
func (p *failoverPreparer) preloadNextPage(token uint64) {
	preload := p.preloadOf(token)
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

// preloadOf is the preload of the records of the leader with a token, begun if there is none.
func (p *failoverPreparer) preloadOf(token uint64) *recordPreload {
	preparation := &p.preparation
	if preparation.preload == nil || preparation.preload.token != token {
		preparation.preload = newRecordPreload(token, loadOrder(p.election.leaderKeys.record.storageVersion()))
	}
	return preparation.preload
}

// onPagePreloaded adds a page and requests the next. An unusable answer ends the preload: the records that it
// lacks are read after the election.
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

// preloadLimitBytes is how many bytes of encoded records may be preloaded.
func (p *failoverPreparer) preloadLimitBytes() int {
	return int(p.env.cfg.Cluster.Resources.MemMB*bytesPerMB) / preloadMemoryDivisor
}

// beginFailover begins the trace of the failover to this controller, and resets the preparation.
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
