package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/machinepool"
)

// machineHealth judges machines by their heartbeats: which may be given tasks, and whose lease is over.
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

// isSchedulable says whether tasks may be started on the machine: it has reported to
// this leader, lately, and nothing speaks against it.
func (h *machineHealth) isSchedulable(m *clusterstate.Machine) bool {
	return m.TokenAcknowledged && !m.Releasing && !m.SpotNotice && !m.Faults.Faulty && h.env.now >= m.QuarantinedUntil && h.env.now >= m.DrainUntil && m.UnseenAnswers < 2 && m.FailedCalls < 2 &&
		h.env.now < m.LastSeen+h.env.cfg.Lease()/4+2*h.env.cfg.Report() && !h.heartbeatUnanswered(m, h.env.cfg.Lease()/2) &&
		m.Size.Cores > 0 && len(m.UnknownTasks) == 0
}

// heartbeatUnanswered says whether no report of the machine has been answered for as long,
// whatever it answers to direct requests: those don't renew its lease, and it is
// about to kill all its tasks. Such a machine was filled anew after each lease.
func (h *machineHealth) heartbeatUnanswered(m *clusterstate.Machine, spell time.Duration) bool {
	return h.env.now > max(m.LastAnswered, m.TokenAcknowledgedAt)+spell
}

// leaseUnrenewed says whether nobody is known to have renewed the machine's lease for as long: we by
// answering a report of it, or a controller of its zone in our stead.
func (h *machineHealth) leaseUnrenewed(m *clusterstate.Machine, spell time.Duration) bool {
	renewed := h.heartbeats.leaseOnlyReplyAt
	for _, p := range h.peers {
		if p.zone == m.Zone {
			renewed = max(renewed, p.lastServed)
		}
	}
	return h.heartbeatUnanswered(m, spell) && h.env.now > renewed+spell
}

// cannotReachControllers says whether a machine answers us but can reach no controller, as far as can
// be known: those of its zone are in touch, so none renews its lease for us there.
func (h *machineHealth) cannotReachControllers(m *clusterstate.Machine) bool {
	if !m.TokenAcknowledged || m.FailedCalls > 0 || m.LastSeen < h.env.now-2*h.env.cfg.Report()-h.env.cfg.Lease()/10 || !h.leaseUnrenewed(m, h.env.cfg.Lease()*11/20) {
		return false
	}
	for _, p := range h.peers {
		// Its word counts by the reading of our clock that it echoes: a heartbeat that was held
		// up in a cut told of the time before the cut when it came, and 125 tasks were stopped.
		if p.zone == m.Zone && h.env.now > p.servedKnownUntil+h.env.cfg.Lease()/8+h.env.cfg.Heartbeat() {
			return false
		}
	}
	return true
}

// evacuateAfter is how long after the last answered report a task leaves a machine that reaches
// no controller: with time to save, and shortly before the lease ends. The worker may
// still be looking for a controller, 5 s for each that has ended: tasks that left earlier
// were mostly moved in vain, 200 of them at once after a change of leader.
func (h *machineHealth) evacuateAfter(a *clusterstate.Attempt) time.Duration {
	lease := h.env.cfg.Lease()
	return max(lease*11/20, lease*4/5-seconds(a.Job.Spec.SaveS))
}

// fleetReported: no round stops anything until the fleet was heard or is silent.
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

// silentFor is how long nothing new was heard of a machine in this term.
func (h *machineHealth) silentFor(m *clusterstate.Machine) time.Duration {
	return h.env.now - max(m.LastSeen, h.lease.electedAt, h.partitions.reconnectedAt[m.Zone])
}

// isOverdue reports whether a machine is late and can't be reached: its tasks
// will probably be needed elsewhere.
func (h *machineHealth) isOverdue(m *clusterstate.Machine) bool {
	return m.FailedCalls > 1 && h.silentFor(m) > h.env.cfg.Lease()*2/5 && !h.partitions.isPartitioned(m.Zone)
}

// watchMachines looks at what time alone tells.
func (h *machineHealth) watchMachines() {
	for _, m := range h.machines.sortedMachines() {
		if m.SpotNotice {
			h.evacuateBeforeReclaim(m)
		}
		if len(m.Attempts) > 0 && h.cannotReachControllers(m) {
			// Its lease runs out: what is there goes on elsewhere sooner.
			for _, a := range m.Sorted() {
				if h.leaseUnrenewed(m, h.evacuateAfter(a)) {
					h.attempts.requestStop(a, a.Job.Spec.SaveS, stopNoController)
				}
			}
		}
		h.dispatcher.dispatchCommands(m)
		if h.lease.ended {
			return
		}
		if len(m.Attempts) == 0 && m.Epoch <= m.ExpiredEpoch {
			continue
		}
		if !h.isLeaseExpired(m) {
			continue
		}
		if m.Seen {
			m.ExpiredEpoch = m.Epoch
			h.env.log.Info("worker lease expired", "machine", m.ID, "tasks", len(m.Attempts))
		}
		m.TokenAcknowledged, m.Probed = false, false
		for _, a := range m.Sorted() {
			h.attempts.removeAttempt(a, leaseExpired)
		}
		clear(m.Exited)
		clear(m.UnknownTasks)
	}
}

// evacuateBeforeReclaim has tasks with checkpoints saved before the machine is taken.
func (h *machineHealth) evacuateBeforeReclaim(m *clusterstate.Machine) {
	for _, a := range m.Sorted() {
		s := a.Job.Spec
		if s.CheckpointS <= 0 {
			continue
		}
		if h.env.now > m.ReclaimedBy-seconds(s.SaveS)-2*h.env.cfg.Report()-h.env.cfg.Lease()/10 {
			h.attempts.requestStop(a, s.SaveS+1, stopSpotReclaim)
		}
	}
}

// isLeaseExpired says whether the worker's lease is proved over: nobody can have
// answered it for that long.
func (h *machineHealth) isLeaseExpired(m *clusterstate.Machine) bool {
	lease := config.Drift(h.env.cfg.Lease()) + h.env.cfg.Lease()/50
	// An earlier term of our own may have answered it until we were elected.
	last := max(m.LastAnswered, m.TokenAcknowledgedAt, h.lease.electedAt, h.heartbeats.leaseOnlyReplyAt)
	for _, p := range h.peers {
		if p.zone == m.Zone || m.Zone == "" {
			last = max(last, p.lastServed)
		}
		if m.TokenAcknowledgedAt > 0 {
			continue
		}
		// The worker has not shown our token: an earlier leader may have
		// answered it, until we heard of that one or for as long as it could
		// go on without the state service.
		if p.firstHeard > 0 {
			last = max(last, p.firstHeard)
		} else {
			last = max(last, h.lease.electedAt+config.Drift(h.env.cfg.Coast()))
		}
	}
	if h.env.now <= last+lease || m.LastSeen+lease > h.env.now {
		return false
	}
	for _, p := range h.peers {
		if (p.zone == m.Zone || m.Zone == "") && p.servedKnownUntil <= last+lease {
			return false
		}
	}
	return true
}
