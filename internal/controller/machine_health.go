package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/machinepool"
)

// machineHealth decides, from the machines' heartbeats, which machines may get tasks (machine_exclusion.go), which
// machines are evacuated, and which workers' leases have expired.
//
// It has no state of its own. The state of the heartbeats is stored in the Machine and, for the other controllers, in
// the peers. After a failover the next leader collects both again. Until then it does not treat a lease as
// expired if a reply of an earlier leader may have renewed it.
type machineHealth struct {
	attempts   *attemptTracker
	dispatcher *commandDispatcher
	env        *environment
	heartbeats *heartbeatReceiver
	lease      *leaderLease
	machines   *machineRegistry
	partitions *partitionDetector
	peers      map[string]*peer
	pool       *machinepool.Pool
	quarantine *machineQuarantine
	state      *clusterstate.State
}

// The time limits for silent machines are fractions of the worker lease, because a worker kills its tasks when its
// heartbeats have not been answered for a lease.

// maxUndeliveredAnswers is the number of consecutive answered heartbeats that may still show an old token, and
// maxFailedCalls the number of consecutive direct calls that may fail, before a machine gets no more tasks.
const (
	maxUndeliveredAnswers = 1
	maxFailedCalls        = 1
)

// maxMessageAge is how long after its last message a machine may get tasks: a quarter of a lease plus two heartbeat
// intervals.
func (h *machineHealth) maxMessageAge() time.Duration {
	return h.env.cfg.WorkerLease()/4 + 2*h.env.cfg.WorkerHeartbeatInterval()
}

// maxUnanswered is how long a machine's heartbeats may go unanswered before it gets no more tasks: half a lease.
func (h *machineHealth) maxUnanswered() time.Duration { return h.env.cfg.WorkerLease() / 2 }

// commandRoundTrip is how long a command and the worker's report of its effect may take in normal operation: two
// heartbeat intervals plus a tenth of a lease.
func (h *machineHealth) commandRoundTrip() time.Duration {
	return 2*h.env.cfg.WorkerHeartbeatInterval() + h.env.cfg.WorkerLease()/10
}

// isSilent reports whether no message of a machine has arrived for two fifths of its lease, so that several heartbeats
// are missing.
func (h *machineHealth) isSilent(m *clusterstate.Machine) bool {
	return h.silenceDuration(m) > h.env.cfg.WorkerLease()*2/5
}

// evacuationStart is the shortest time after the last answered heartbeat of a machine that cannot reach any controller
// before tasks are moved from the machine: 0.55 of a lease.
func (h *machineHealth) evacuationStart() time.Duration { return h.env.cfg.WorkerLease() * 11 / 20 }

// evacuationEnd is the longest such time: 0.8 of a lease, shortly before the lease expires.
func (h *machineHealth) evacuationEnd() time.Duration { return h.env.cfg.WorkerLease() * 4 / 5 }

// leaseWithMargin is the worker's lease plus the maximum clock drift and a safety margin of a fiftieth of the lease.
func (h *machineHealth) leaseWithMargin() time.Duration {
	return config.WithClockDrift(h.env.cfg.WorkerLease()) + h.env.cfg.WorkerLease()/50
}

// heartbeatUnanswered reports whether this leader has answered no heartbeat of the machine for a duration. Replies of
// the machine to direct calls do not count: direct calls do not renew its lease, so it will soon kill all its tasks.
// When they counted, such a machine got new tasks after each expired lease.
func (h *machineHealth) heartbeatUnanswered(m *clusterstate.Machine, duration time.Duration) bool {
	return h.env.now > max(m.LastAnswered, m.TokenAcknowledgedAt)+duration
}

// leaseUnrenewed reports whether no controller is known to have renewed the machine's lease for a duration: neither
// this leader by answering a heartbeat, nor a follower in the machine's zone on behalf of the leader.
func (h *machineHealth) leaseUnrenewed(m *clusterstate.Machine, duration time.Duration) bool {
	lastRenewed := h.heartbeats.leaseOnlyReplyAt
	for _, p := range h.peers {
		if p.zone == m.Zone {
			lastRenewed = max(lastRenewed, p.lastRenewalAt)
		}
	}
	return h.heartbeatUnanswered(m, duration) && h.env.now > lastRenewed+duration
}

// cannotReachControllers reports whether a machine answers direct calls but presumably cannot reach any controller: its
// heartbeats are unanswered, and the controllers of its zone are in contact with the leader and have renewed no lease.
func (h *machineHealth) cannotReachControllers(m *clusterstate.Machine) bool {
	if !m.TokenAcknowledged || m.FailedCalls > 0 {
		return false
	}
	if m.LastSeen < h.env.now-h.commandRoundTrip() || !h.leaseUnrenewed(m, h.evacuationStart()) {
		return false
	}
	for _, p := range h.peers {
		// A peer's report is valid up to the reading of this leader's clock that it echoes, not up to its arrival. A
		// peer heartbeat that was delayed by a partition describes the time before the partition; when it counted from
		// its arrival, 125 tasks were stopped.
		if p.zone == m.Zone && h.env.now > p.renewalsKnownUntil+h.env.peerContactLimit()+h.env.cfg.PeerHeartbeatInterval() {
			return false
		}
	}
	return true
}

// evacuateAfter is the time after the last answered heartbeat at which a task is moved from a machine that cannot reach
// any controller. It leaves the task enough time to save a checkpoint before the lease expires, but is as late as
// possible, and not before evacuationStart, because the worker may still find a controller. The search takes 5 s for
// each controller that has ended. With an earlier evacuation most tasks were moved unnecessarily, 200 of them at once
// after a failover.
func (h *machineHealth) evacuateAfter(a *clusterstate.Attempt) time.Duration {
	return max(h.evacuationStart(), h.evacuationEnd()-seconds(a.Job.Spec.SaveS))
}

// fleetReported reports whether the cloud has listed the machines and every machine with tasks has acknowledged this
// leader's token. Until then a scheduling round stops no tasks.
func (h *machineHealth) fleetReported() bool {
	if !h.pool.HasList() {
		return false
	}
	for _, m := range h.state.Machines {
		if !m.TokenAcknowledged && len(m.Attempts) > 0 {
			return false
		}
	}
	return true
}

// silenceDuration returns the time since the latest of three events: the machine's newest message, the election, and
// the end of the last partition of the machine's zone.
func (h *machineHealth) silenceDuration(m *clusterstate.Machine) time.Duration {
	return h.env.now - max(m.LastSeen, h.lease.electedAt, h.partitions.reconnectedAt[m.Zone])
}

// isOverdue reports whether a machine is silent, does not answer direct calls, and is not in a partitioned zone, so
// that its tasks will probably have to be placed on other machines.
func (h *machineHealth) isOverdue(m *clusterstate.Machine) bool {
	return m.FailedCalls > maxFailedCalls && h.isSilent(m) && !h.partitions.isPartitioned(m.Zone)
}

// watchMachines starts the actions that become due as time passes: evacuations, direct calls, the ends of quarantines
// and lease expiries.
func (h *machineHealth) watchMachines() {
	for _, m := range h.machines.sortedMachines() {
		if m.ReclaimNotice {
			h.evacuateBeforeReclaim(m)
		}
		if len(m.Attempts) > 0 && h.cannotReachControllers(m) {
			h.evacuateUnreachable(m)
		}
		h.dispatcher.dispatchCommands(m)
		if h.lease.ended {
			return
		}
		h.quarantine.watch(m)
		if len(m.Attempts) == 0 && m.Epoch <= m.ExpiredEpoch {
			continue
		}
		if h.isLeaseExpired(m) {
			h.expireLease(m)
		}
	}
}

// evacuateBeforeReclaim stops tasks with checkpoints, early enough for them to save one before the cloud reclaims the
// spot machine.
func (h *machineHealth) evacuateBeforeReclaim(m *clusterstate.Machine) {
	for _, a := range m.SortedAttempts() {
		spec := a.Job.Spec
		if spec.CheckpointS <= 0 {
			continue
		}
		if h.env.now > m.ReclaimedBy-seconds(spec.SaveS)-h.commandRoundTrip() {
			h.attempts.requestStop(a, spec.SaveS+1, stopSpotReclaim)
		}
	}
}

// evacuateUnreachable stops tasks on a machine whose lease will expire because it cannot reach any controller, so that
// they can restart on other machines before the expiry.
func (h *machineHealth) evacuateUnreachable(m *clusterstate.Machine) {
	for _, a := range m.SortedAttempts() {
		if h.leaseUnrenewed(m, h.evacuateAfter(a)) {
			h.attempts.requestStop(a, a.Job.Spec.SaveS, stopNoController)
		}
	}
}

// expireLease removes all attempts from a machine whose lease is proven to have expired: the worker has killed its
// tasks.
func (h *machineHealth) expireLease(m *clusterstate.Machine) {
	if m.Seen {
		m.ExpiredEpoch = m.Epoch
		h.env.log.Info("worker lease expired", "machine", m.ID, "tasks", len(m.Attempts))
	}
	m.TokenAcknowledged, m.Probed = false, false
	for _, a := range m.SortedAttempts() {
		h.attempts.removeAttempt(a, leaseExpired)
	}
	clear(m.Exited)
	clear(m.UnknownTasks)
}

// isLeaseExpired reports whether the worker's lease is proven to have expired: no controller can have answered one of
// its heartbeats for the length of the lease plus the margin.
func (h *machineHealth) isLeaseExpired(m *clusterstate.Machine) bool {
	lease := h.leaseWithMargin()
	expiry := h.lastPossibleAnswer(m) + lease
	if h.env.now <= expiry || m.LastSeen+lease > h.env.now {
		return false
	}
	for _, p := range h.peers {
		// A controller that may serve the machine must have reported its lease renewals for the whole time up to the
		// expiry.
		if mayServe(p, m) && p.renewalsKnownUntil <= expiry {
			return false
		}
	}
	return true
}

// lastPossibleAnswer is the latest time at which any controller may have answered a heartbeat of the machine. It is not
// before the election, because an earlier leadership of this controller may have answered until then.
func (h *machineHealth) lastPossibleAnswer(m *clusterstate.Machine) time.Duration {
	last := max(m.LastAnswered, m.TokenAcknowledgedAt, h.lease.electedAt, h.heartbeats.leaseOnlyReplyAt)
	for _, p := range h.peers {
		if mayServe(p, m) {
			last = max(last, p.lastRenewalAt)
		}
		if m.TokenAcknowledgedAt > 0 {
			continue
		}
		// The worker has not acknowledged this leader's token, so the peer may have answered it as an earlier leader:
		// until its first heartbeat to this leader or, if there was none, for the outage tolerance after the election.
		if p.firstHeartbeatAt > 0 {
			last = max(last, p.firstHeartbeatAt)
		} else {
			last = max(last, h.lease.electedAt+config.WithClockDrift(h.env.cfg.OutageTolerance()))
		}
	}
	return last
}

// mayServe reports whether a controller may renew the machine's lease for the leader: it is in the machine's zone, or
// the machine's zone is unknown.
func mayServe(p *peer, m *clusterstate.Machine) bool { return p.zone == m.Zone || m.Zone == "" }
