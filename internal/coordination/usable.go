package coordination

import (
	"time"

	"claybarrow/internal/ledger"
)

// usable says whether tasks may be started on the machine: it has reported to
// this leader, lately, and nothing speaks against it.
func (r *term) usable(m *ledger.Machine) bool {
	c := r.c
	return m.Fresh && !m.Returning && !m.Notice && !m.Faults.Faulty && c.now >= m.AsideUntil && c.now >= m.DrainUntil && m.UnseenAnswers < 2 && m.CallFails < 2 &&
		c.now < m.Heard+c.cfg.Lease()/4+2*c.cfg.Report() && !r.unreported(m, c.cfg.Lease()/2) &&
		m.Size.Cores > 0 && len(m.UnknownTasks) == 0
}

// unreported says whether no report of the machine has been answered for as long,
// whatever it answers to direct requests: those don't renew its lease, and it is
// about to kill all its tasks. Such a machine was filled anew after each lease.
func (r *term) unreported(m *ledger.Machine, spell time.Duration) bool {
	return r.c.now > max(m.Answered, m.FreshAt)+spell
}

// unrenewed says whether nobody is known to have renewed the machine's lease for as long: we by
// answering a report of it, or a controller of its zone in our stead.
func (r *term) unrenewed(m *ledger.Machine, spell time.Duration) bool {
	renewed := r.renewed
	for _, p := range r.peers {
		if p.zone == m.Zone {
			renewed = max(renewed, p.served)
		}
	}
	return r.unreported(m, spell) && r.c.now > renewed+spell
}

// reportsLost says whether a machine answers us but can reach no controller, as far as can
// be known: those of its zone are in touch, so none renews its lease for us there.
func (r *term) reportsLost(m *ledger.Machine) bool {
	c := r.c
	if !m.Fresh || m.CallFails > 0 || m.Heard < c.now-2*c.cfg.Report()-c.cfg.Lease()/10 || !r.unrenewed(m, c.cfg.Lease()*11/20) {
		return false
	}
	for _, p := range r.peers {
		// Its word counts by the reading of our clock that it echoes: a heartbeat that was held
		// up in a cut told of the time before the cut when it came, and 125 tasks were stopped.
		if p.zone == m.Zone && c.now > p.clear+c.cfg.Lease()/8+c.cfg.Heartbeat() {
			return false
		}
	}
	return true
}

// leaveBy is how long after the last answered report a task leaves a machine that reaches
// no controller: with time to save, and shortly before the lease ends. The worker may
// still be looking for a controller, 5 s for each that has ended: tasks that left earlier
// were mostly moved in vain, 200 of them at once after a change of leader.
func (r *term) leaveBy(a *ledger.Attempt) time.Duration {
	lease := r.c.cfg.Lease()
	return max(lease*11/20, lease*4/5-seconds(a.Job.Spec.SaveS))
}

// heardAll: no round stops anything until the fleet was heard or is silent.
func (r *term) heardAll() bool {
	if !r.pool.HasList() {
		return false
	}
	for _, m := range r.Machines {
		if !m.Fresh && len(m.Attempts) > 0 {
			return false
		}
	}
	return true
}

// silentFor is how long nothing new was heard of a machine in this term.
func (r *term) silentFor(m *ledger.Machine) time.Duration {
	return r.c.now - max(m.Heard, r.since, r.healedAt[m.Zone])
}

// overdue reports whether a machine is late and can't be reached: its tasks
// will probably be needed elsewhere.
func (r *term) overdue(m *ledger.Machine) bool {
	return m.CallFails > 1 && r.silentFor(m) > r.c.cfg.Lease()*2/5 && !r.isPartitioned(m.Zone)
}
