package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/machinepool"
)

// machineHealth judges machines by their heartbeats: which may be given tasks, which lose theirs, and whose lease
// has expired.
//
// It has no state of its own. What is known of a machine's heartbeats is kept with the machine, and of the other
// controllers with the peers; after a failover the next leader learns both anew, and until then it trusts no
// expiry that an earlier leader's replies may have prevented.
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
	state      *clusterstate.State
}

// How long a machine may be silent is counted in the worker's lease: a worker whose heartbeats nobody answers for
// a lease kills its tasks.

// maxUnseenAnswers is how many answered heartbeats in a row may show an old token, and maxFailedCalls how many
// direct calls in a row may fail, before a machine gets no more tasks.
const (
	maxUnseenAnswers = 1
	maxFailedCalls   = 1
)

// freshFor is how long after its last message a machine may be given tasks: a quarter of a lease, and two
// heartbeat intervals.
func (h *machineHealth) freshFor() time.Duration {
	return h.env.cfg.WorkerLease()/4 + 2*h.env.cfg.WorkerHeartbeatInterval()
}

// maxUnanswered is how long a machine's heartbeats may be unanswered until it gets no more tasks: half a lease.
func (h *machineHealth) maxUnanswered() time.Duration { return h.env.cfg.WorkerLease() / 2 }

// exchangeTime is how long a command and the worker's word for its effect may take where all is well: two
// heartbeat intervals, and a tenth of a lease.
func (h *machineHealth) exchangeTime() time.Duration {
	return 2*h.env.cfg.WorkerHeartbeatInterval() + h.env.cfg.WorkerLease()/10
}

// isSilent reports whether a machine has not been heard for two fifths of its lease: several heartbeats are missing.
func (h *machineHealth) isSilent(m *clusterstate.Machine) bool {
	return h.silentFor(m) > h.env.cfg.WorkerLease()*2/5
}

// evacuationStart is the earliest that tasks leave a machine that reaches no controller: 0.55 of a lease after
// its last answered heartbeat.
func (h *machineHealth) evacuationStart() time.Duration { return h.env.cfg.WorkerLease() * 11 / 20 }

// evacuationEnd is the latest that they leave it, 0.8 of a lease, which is shortly before the lease expires.
func (h *machineHealth) evacuationEnd() time.Duration { return h.env.cfg.WorkerLease() * 4 / 5 }

// leaseWithMargin is the worker's lease with the drift of the clocks, and a fiftieth of it to be safe.
func (h *machineHealth) leaseWithMargin() time.Duration {
	return config.WithClockDrift(h.env.cfg.WorkerLease()) + h.env.cfg.WorkerLease()/50
}

// isSchedulable reports whether tasks may be started on the machine: it has lately shown this leader's token, and
// nothing speaks against it.
func (h *machineHealth) isSchedulable(m *clusterstate.Machine) bool {
	return h.isOpenToTasks(m) && m.TokenAcknowledged &&
		m.UnseenAnswers <= maxUnseenAnswers && m.FailedCalls <= maxFailedCalls &&
		h.env.now < m.LastSeen+h.freshFor() && !h.heartbeatUnanswered(m, h.maxUnanswered())
}

// isOpenToTasks reports whether the machine is meant to be given tasks, whatever its heartbeats say.
func (h *machineHealth) isOpenToTasks(m *clusterstate.Machine) bool {
	if m.Releasing || m.ReclaimNotice || m.Faults.Faulty || h.env.now < m.QuarantinedUntil || h.env.now < m.DrainUntil {
		return false
	}
	return m.Size.Cores > 0 && len(m.UnknownTasks) == 0
}

// heartbeatUnanswered reports whether no heartbeat of the machine has been answered for a duration, whatever it
// answers to direct calls: those don't renew its lease, and it is about to kill all its tasks. Such a machine
// was filled anew after each lease.
func (h *machineHealth) heartbeatUnanswered(m *clusterstate.Machine, duration time.Duration) bool {
	return h.env.now > max(m.LastAnswered, m.TokenAcknowledgedAt)+duration
}

// leaseUnrenewed reports whether nobody is known to have renewed the machine's lease for a duration: neither this
// leader by answering a heartbeat, nor a controller of its zone for the leader.
func (h *machineHealth) leaseUnrenewed(m *clusterstate.Machine, duration time.Duration) bool {
	renewed := h.heartbeats.leaseOnlyReplyAt
	for _, p := range h.peers {
		if p.zone == m.Zone {
			renewed = max(renewed, p.lastServed)
		}
	}
	return h.heartbeatUnanswered(m, duration) && h.env.now > renewed+duration
}

// cannotReachControllers reports whether a machine answers direct calls but can reach no controller, as far as
// can be known: those of its zone are in contact with the leader, so none renews its lease for the leader there.
func (h *machineHealth) cannotReachControllers(m *clusterstate.Machine) bool {
	if !m.TokenAcknowledged || m.FailedCalls > 0 {
		return false
	}
	if m.LastSeen < h.env.now-h.exchangeTime() || !h.leaseUnrenewed(m, h.evacuationStart()) {
		return false
	}
	for _, p := range h.peers {
		// A peer's statement counts from the reading of this leader's clock that it echoes: a heartbeat that was
		// held up in a partition told of the time before the partition when it came, and 125 tasks were stopped.
		if p.zone == m.Zone && h.env.now > p.servedKnownUntil+h.env.peerContactLimit()+h.env.cfg.PeerHeartbeatInterval() {
			return false
		}
	}
	return true
}

// evacuateAfter is how long after the last answered heartbeat a task leaves a machine that reaches no controller:
// with time to save, and shortly before the lease expires. The worker may still be looking for a controller,
// 5 s for each that has ended: tasks that left earlier were mostly moved in vain, 200 of them at once after a
// failover.
func (h *machineHealth) evacuateAfter(a *clusterstate.Attempt) time.Duration {
	return max(h.evacuationStart(), h.evacuationEnd()-seconds(a.Job.Spec.SaveS))
}

// fleetReported reports whether the cloud has listed the machines and each one with tasks has shown this leader's
// token. Until then a scheduling round stops nothing.
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

// silentFor is how long nothing new was heard of a machine, counted from the election at the earliest, and from
// when its zone was last found to be partitioned no longer.
func (h *machineHealth) silentFor(m *clusterstate.Machine) time.Duration {
	return h.env.now - max(m.LastSeen, h.lease.electedAt, h.partitions.reconnectedAt[m.Zone])
}

// isOverdue reports whether a machine is late and can't be reached, so that its tasks will probably be needed
// elsewhere.
func (h *machineHealth) isOverdue(m *clusterstate.Machine) bool {
	return m.FailedCalls > maxFailedCalls && h.isSilent(m) && !h.partitions.isPartitioned(m.Zone)
}

// watchMachines does what becomes due by time alone: evacuations, direct calls and the expiry of leases.
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
		if len(m.Attempts) == 0 && m.Epoch <= m.ExpiredEpoch {
			continue
		}
		if h.isLeaseExpired(m) {
			h.expireLease(m)
		}
	}
}

// evacuateBeforeReclaim has tasks with checkpoints saved before the cloud reclaims a spot machine.
func (h *machineHealth) evacuateBeforeReclaim(m *clusterstate.Machine) {
	for _, a := range m.SortedAttempts() {
		spec := a.Job.Spec
		if spec.CheckpointS <= 0 {
			continue
		}
		if h.env.now > m.ReclaimedBy-seconds(spec.SaveS)-h.exchangeTime() {
			h.attempts.requestStop(a, spec.SaveS+1, stopSpotReclaim)
		}
	}
}

// evacuateUnreachable stops tasks on a machine whose lease will expire because it reaches no controller, so that
// they go on elsewhere sooner.
func (h *machineHealth) evacuateUnreachable(m *clusterstate.Machine) {
	for _, a := range m.SortedAttempts() {
		if h.leaseUnrenewed(m, h.evacuateAfter(a)) {
			h.attempts.requestStop(a, a.Job.Spec.SaveS, stopNoController)
		}
	}
}

// expireLease removes all that was on a machine whose lease is proved to have expired: the worker has killed it.
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

// isLeaseExpired reports whether the worker's lease is proved to have expired: nobody can have answered a
// heartbeat of it for that long.
func (h *machineHealth) isLeaseExpired(m *clusterstate.Machine) bool {
	lease := h.leaseWithMargin()
	expiry := h.lastPossibleAnswer(m) + lease
	if h.env.now <= expiry || m.LastSeen+lease > h.env.now {
		return false
	}
	for _, p := range h.peers {
		// A controller that may serve the machine has to have said since that it did not.
		if mayServe(p, m) && p.servedKnownUntil <= expiry {
			return false
		}
	}
	return true
}

// lastPossibleAnswer is the latest time at which anybody may have answered a heartbeat of the machine, as far as is
// known. An earlier leadership of this controller may have done so until the election.
func (h *machineHealth) lastPossibleAnswer(m *clusterstate.Machine) time.Duration {
	last := max(m.LastAnswered, m.TokenAcknowledgedAt, h.lease.electedAt, h.heartbeats.leaseOnlyReplyAt)
	for _, p := range h.peers {
		if mayServe(p, m) {
			last = max(last, p.lastServed)
		}
		if m.TokenAcknowledgedAt > 0 {
			continue
		}
		// The worker has not shown this leader's token. An earlier leader may have answered it, until this one
		// heard from that controller, or for as long as that one could coast without the state service.
		if p.firstHeard > 0 {
			last = max(last, p.firstHeard)
		} else {
			last = max(last, h.lease.electedAt+config.WithClockDrift(h.env.cfg.OutageTolerance()))
		}
	}
	return last
}

// mayServe reports whether a controller may renew the machine's lease for the leader: it is in the machine's zone,
// or that zone is not known.
func mayServe(p *peer, m *clusterstate.Machine) bool { return p.zone == m.Zone || m.Zone == "" }
