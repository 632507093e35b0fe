package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// poolHost is a term as its machine pool sees it.
type poolHost struct{ leader *leadership }

func (l *leadership) newPool() *machinepool.Pool {
	times := machinepool.Times{Lease: l.controller.env.cfg.Lease(), ListLag: l.controller.env.cfg.ListLag(),
		ListEvery: max(l.controller.env.cfg.ListLag()/2, seconds(4/l.controller.env.cfg.Cluster.Cloud.RPS))}
	return machinepool.New(poolHost{l}, l.controller.env.log, times, l.token)
}

// Now is part of machinepool.Host.
func (h poolHost) Now() time.Duration { return h.leader.controller.env.now }

// Call is part of machinepool.Host.
func (h poolHost) Call(method, path string, body any, timeout time.Duration, then func(int, []byte)) {
	h.leader.controller.outbox.cloudCall(method, path, body, timeout, func(res Result) { then(res.Status, res.Body) })
}

// MayCall is part of machinepool.Host.
func (h poolHost) MayCall() bool {
	return h.leader.controller.outbox.cloudRequests.Has(h.leader.controller.env.now, 1)
}

// Pause is part of machinepool.Host.
func (h poolHost) Pause() time.Duration { return h.leader.controller.env.retryPause() }

// Later is part of machinepool.Host.
func (h poolHost) Later(at time.Duration, do func()) { h.leader.runAt(at, do) }

// Ended is part of machinepool.Host.
func (h poolHost) Ended() bool { return h.leader.ended }

// Listed is part of machinepool.Host.
func (h poolHost) Listed(l *protocol.ListedMachine) { h.leader.onListed(l) }

// ListRead is part of machinepool.Host.
func (h poolHost) ListRead(asked time.Duration, names map[string]bool) {
	h.leader.removeUnlisted(asked, names)
}

// ToDelete is part of machinepool.Host.
func (h poolHost) ToDelete(most int) []string {
	var names []string
	for _, m := range h.leader.sortedMachines() {
		if m.ReleaseStored && len(names) < most {
			names = append(names, m.ID)
		}
	}
	return names
}

// Deleted is part of machinepool.Host.
func (h poolHost) Deleted(name string) {
	if m := h.leader.state.Machines[name]; m != nil {
		h.leader.removeMachine(m, machineDeleted)
	}
}

// Launched is part of machinepool.Host.
func (h poolHost) Launched(p scheduler.Pool, name string, asked time.Duration) {
	m := h.leader.state.AddMachine(name)
	m.Type, m.Zone, m.Spot = p.Type, p.Zone, p.Spot
	m.Size = h.leader.machineSize(m.Type)
	m.ExistedAt, m.LaunchedAt = h.leader.controller.env.now, asked
	h.leader.storeMachine(m, statestore.Lazy, nil)
}

// Short is part of machinepool.Host.
func (h poolHost) Short(p scheduler.Pool, short bool) {
	h.leader.onPoolShortage(p, short)
	if short {
		h.leader.planAt = h.leader.controller.env.now
	}
}

func (l *leadership) onListed(listed *protocol.ListedMachine) {
	m := l.state.Machines[listed.ID]
	if m == nil {
		m = l.state.AddMachine(listed.ID)
		m.ExistedAt = l.controller.env.now
		m.LaunchedAt = l.controller.env.now - seconds(listed.AgeS)
		l.controller.env.log.Info("machine found in the list", "machine", listed.ID, "type", listed.Type, "zone", listed.Zone, "state", listed.State)
	}
	if m.Type == "" {
		m.Type, m.Zone, m.Spot = listed.Type, listed.Zone, listed.Spot
		m.Size = l.machineSize(m.Type)
	}
	if age := l.controller.env.now - seconds(listed.AgeS); age < m.LaunchedAt {
		m.LaunchedAt = age
	}
	if listed.Addr != "" {
		m.Addr = listed.Addr
	}
	m.Listed = listed.State == "running"
	if listed.State == "failed" && !m.Releasing {
		l.controller.env.log.Info("machine failed", "machine", m.ID, "tasks", len(m.Attempts))
		for _, a := range m.Sorted() {
			l.removeAttempt(a, machineFailed)
		}
		l.releaseMachine(m, "failed")
	}
}

// removeUnlisted drops machines that are gone: a list describes a moment at most
// twice the lag before it was asked for, and one that surely existed by then
// would be in it.
func (l *leadership) removeUnlisted(asked time.Duration, seen map[string]bool) {
	for _, m := range l.sortedMachines() {
		if !seen[m.ID] && asked > m.ExistedAt+2*l.controller.env.cfg.ListLag()+l.controller.env.cfg.ListLag()/5 {
			l.removeMachine(m, machineUnlisted)
		}
	}
}

// removeMachine takes a machine that is proved gone out of the ledger.
func (l *leadership) removeMachine(m *clusterstate.Machine, why absenceProof) {
	if l.state.Machines[m.ID] != m {
		return
	}
	l.controller.env.log.Info("machine gone", "machine", m.ID, "why", why, "tasks", len(m.Attempts))
	for _, a := range m.Sorted() {
		l.removeAttempt(a, why)
	}
	l.state.RemoveMachine(m)
	l.pool.Remove(m.ID)
	l.storeMachine(m, statestore.Lazy, nil)
}

// releaseMachine returns a machine. The mark is durable before the deletion leaves,
// so that a late deletion hits nothing in use.
func (l *leadership) releaseMachine(m *clusterstate.Machine, why string) {
	if m.Releasing {
		return
	}
	l.controller.env.log.Info("returning", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "why", why)
	m.Releasing = true
	l.storeMachine(m, statestore.Done, func() { m.ReleaseStored = true })
}
