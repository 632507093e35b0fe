package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
)

// isSchedulable says whether tasks may be started on the machine: it has reported to
// this leader, lately, and nothing speaks against it.
func (l *leadership) isSchedulable(m *clusterstate.Machine) bool {
	return m.TokenAcknowledged && !m.Releasing && !m.SpotNotice && !m.Faults.Faulty && l.controller.env.now >= m.QuarantinedUntil && l.controller.env.now >= m.DrainUntil && m.UnseenAnswers < 2 && m.FailedCalls < 2 &&
		l.controller.env.now < m.LastSeen+l.controller.env.cfg.Lease()/4+2*l.controller.env.cfg.Report() && !l.heartbeatUnanswered(m, l.controller.env.cfg.Lease()/2) &&
		m.Size.Cores > 0 && len(m.UnknownTasks) == 0
}

// heartbeatUnanswered says whether no report of the machine has been answered for as long,
// whatever it answers to direct requests: those don't renew its lease, and it is
// about to kill all its tasks. Such a machine was filled anew after each lease.
func (l *leadership) heartbeatUnanswered(m *clusterstate.Machine, spell time.Duration) bool {
	return l.controller.env.now > max(m.LastAnswered, m.TokenAcknowledgedAt)+spell
}

// leaseUnrenewed says whether nobody is known to have renewed the machine's lease for as long: we by
// answering a report of it, or a controller of its zone in our stead.
func (l *leadership) leaseUnrenewed(m *clusterstate.Machine, spell time.Duration) bool {
	renewed := l.leaseOnlyReplyAt
	for _, p := range l.peers {
		if p.zone == m.Zone {
			renewed = max(renewed, p.lastServed)
		}
	}
	return l.heartbeatUnanswered(m, spell) && l.controller.env.now > renewed+spell
}

// cannotReachControllers says whether a machine answers us but can reach no controller, as far as can
// be known: those of its zone are in touch, so none renews its lease for us there.
func (l *leadership) cannotReachControllers(m *clusterstate.Machine) bool {
	if !m.TokenAcknowledged || m.FailedCalls > 0 || m.LastSeen < l.controller.env.now-2*l.controller.env.cfg.Report()-l.controller.env.cfg.Lease()/10 || !l.leaseUnrenewed(m, l.controller.env.cfg.Lease()*11/20) {
		return false
	}
	for _, p := range l.peers {
		// Its word counts by the reading of our clock that it echoes: a heartbeat that was held
		// up in a cut told of the time before the cut when it came, and 125 tasks were stopped.
		if p.zone == m.Zone && l.controller.env.now > p.servedKnownUntil+l.controller.env.cfg.Lease()/8+l.controller.env.cfg.Heartbeat() {
			return false
		}
	}
	return true
}

// evacuateAfter is how long after the last answered report a task leaves a machine that reaches
// no controller: with time to save, and shortly before the lease ends. The worker may
// still be looking for a controller, 5 s for each that has ended: tasks that left earlier
// were mostly moved in vain, 200 of them at once after a change of leader.
func (l *leadership) evacuateAfter(a *clusterstate.Attempt) time.Duration {
	lease := l.controller.env.cfg.Lease()
	return max(lease*11/20, lease*4/5-seconds(a.Job.Spec.SaveS))
}

// fleetReported: no round stops anything until the fleet was heard or is silent.
func (l *leadership) fleetReported() bool {
	if !l.pool.HasList() {
		return false
	}
	for _, m := range l.state.Machines {
		if !m.TokenAcknowledged && len(m.Attempts) > 0 {
			return false
		}
	}
	return true
}

// silentFor is how long nothing new was heard of a machine in this term.
func (l *leadership) silentFor(m *clusterstate.Machine) time.Duration {
	return l.controller.env.now - max(m.LastSeen, l.electedAt, l.reconnectedAt[m.Zone])
}

// isOverdue reports whether a machine is late and can't be reached: its tasks
// will probably be needed elsewhere.
func (l *leadership) isOverdue(m *clusterstate.Machine) bool {
	return m.FailedCalls > 1 && l.silentFor(m) > l.controller.env.cfg.Lease()*2/5 && !l.isPartitioned(m.Zone)
}
