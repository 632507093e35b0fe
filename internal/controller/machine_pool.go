package controller

import (
	"time"

	"claybarrow/internal/cloudclient"
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// cloudTransport sends the requests of the cloud's client.
type cloudTransport struct{ controller *Controller }

// newCloudClient makes the client of the cloud, whose requests this controller sends.
func newCloudClient(c *Controller) *cloudclient.Client { return cloudclient.New(cloudTransport{c}) }

// Call is part of apicall.Transport.
func (t cloudTransport) Call(method, path string, body any, timeout time.Duration, done func(status int, body []byte)) {
	t.controller.cloudCall(method, path, body, timeout, func(res Result) { done(res.Status, res.Body) })
}

// poolHost adapts a leadership to its machine pool.
type poolHost struct{ leader *leadership }

func (l *leadership) newPool() *machinepool.Pool {
	c := l.controller
	times := machinepool.Times{Lease: c.cfg.Lease(), ListLag: c.cfg.ListLag(),
		ListEvery: max(c.cfg.ListLag()/2, seconds(4/c.cfg.Cluster.Cloud.RPS))}
	return machinepool.New(poolHost{l}, newCloudClient(c), c.log, times, l.token)
}

// Now is part of machinepool.Host.
func (h poolHost) Now() time.Duration { return h.leader.controller.now }

// MayCall is part of machinepool.Host.
func (h poolHost) MayCall() bool {
	return h.leader.controller.cloudRequests.Has(h.leader.controller.now, 1)
}

// Pause is part of machinepool.Host.
func (h poolHost) Pause() time.Duration { return h.leader.controller.retryPause() }

// Later is part of machinepool.Host.
func (h poolHost) Later(at time.Duration, do func()) { h.leader.runAt(at, do) }

// Ended is part of machinepool.Host.
func (h poolHost) Ended() bool { return h.leader.controller.leadership != h.leader }

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
	l := h.leader
	m := l.state.AddMachine(name)
	m.Type, m.Zone, m.Spot = p.Type, p.Zone, p.Spot
	m.Size = l.machineSize(m.Type)
	m.ExistedAt, m.LaunchedAt = l.controller.now, asked
	l.storeMachine(m, statestore.Lazy, nil)
}

// Short is part of machinepool.Host.
func (h poolHost) Short(p scheduler.Pool, short bool) {
	h.leader.onPoolShortage(p, short)
	if short {
		h.leader.planAt = h.leader.controller.now
	}
}

func (l *leadership) onListed(listed *protocol.ListedMachine) {
	c := l.controller
	m := l.state.Machines[listed.ID]
	if m == nil {
		m = l.state.AddMachine(listed.ID)
		m.ExistedAt = c.now
		m.LaunchedAt = c.now - seconds(listed.AgeS)
		c.log.Info("machine found in the list", "machine", listed.ID, "type", listed.Type, "zone", listed.Zone, "state", listed.State)
	}
	if m.Type == "" {
		m.Type, m.Zone, m.Spot = listed.Type, listed.Zone, listed.Spot
		m.Size = l.machineSize(m.Type)
	}
	if age := c.now - seconds(listed.AgeS); age < m.LaunchedAt {
		m.LaunchedAt = age
	}
	if listed.Addr != "" {
		m.Addr = listed.Addr
	}
	m.Listed = listed.State == "running"
	if listed.State == "failed" && !m.Releasing {
		c.log.Info("machine failed", "machine", m.ID, "tasks", len(m.Attempts))
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
		if !seen[m.ID] && asked > m.ExistedAt+2*l.controller.cfg.ListLag()+l.controller.cfg.ListLag()/5 {
			l.removeMachine(m, machineUnlisted)
		}
	}
}

// removeMachine takes a machine that is proved gone out of the ledger.
func (l *leadership) removeMachine(m *clusterstate.Machine, why absenceProof) {
	if l.state.Machines[m.ID] != m {
		return
	}
	l.controller.log.Info("machine gone", "machine", m.ID, "why", why, "tasks", len(m.Attempts))
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
	l.controller.log.Info("returning", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "why", why)
	m.Releasing = true
	l.storeMachine(m, statestore.Done, func() { m.ReleaseStored = true })
}
