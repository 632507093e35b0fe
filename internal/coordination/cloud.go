package coordination

import (
	"time"

	"claybarrow/internal/ledger"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/sched"
	"claybarrow/internal/statestore"
)

// poolHost is a term as its machine pool sees it.
type poolHost struct{ r *term }

func (r *term) newPool() *machinepool.Pool {
	c := r.c
	times := machinepool.Times{Lease: c.cfg.Lease(), ListLag: c.cfg.ListLag(),
		ListEvery: max(c.cfg.ListLag()/2, seconds(4/c.cfg.Cluster.Cloud.RPS))}
	return machinepool.New(poolHost{r}, c.log, times, r.token)
}

// Now is part of machinepool.Host.
func (h poolHost) Now() time.Duration { return h.r.c.now }

// Call is part of machinepool.Host.
func (h poolHost) Call(method, path string, body any, timeout time.Duration, then func(int, []byte)) {
	h.r.c.cloudCall(method, path, body, timeout, func(res Result) { then(res.Status, res.Body) })
}

// MayCall is part of machinepool.Host.
func (h poolHost) MayCall() bool { return h.r.c.cloud.Has(h.r.c.now, 1) }

// Pause is part of machinepool.Host.
func (h poolHost) Pause() time.Duration { return h.r.c.pause() }

// Later is part of machinepool.Host.
func (h poolHost) Later(at time.Duration, do func()) { h.r.later(at, do) }

// Ended is part of machinepool.Host.
func (h poolHost) Ended() bool { return h.r.c.term != h.r }

// Listed is part of machinepool.Host.
func (h poolHost) Listed(l *protocol.ListedMachine) { h.r.onListed(l) }

// ListRead is part of machinepool.Host.
func (h poolHost) ListRead(asked time.Duration, names map[string]bool) { h.r.missing(asked, names) }

// ToDelete is part of machinepool.Host.
func (h poolHost) ToDelete(most int) []string {
	var names []string
	for _, m := range h.r.machines() {
		if m.Returned && len(names) < most {
			names = append(names, m.ID)
		}
	}
	return names
}

// Deleted is part of machinepool.Host.
func (h poolHost) Deleted(name string) {
	if m := h.r.Machines[name]; m != nil {
		h.r.removeGone(m, machineDeleted)
	}
}

// Rented is part of machinepool.Host.
func (h poolHost) Rented(p sched.Pool, name string, asked time.Duration) {
	r := h.r
	m := r.AddMachine(name)
	m.Type, m.Zone, m.Spot = p.Type, p.Zone, p.Spot
	m.Size = r.sizeOf(m.Type)
	m.Exists, m.Rented = r.c.now, asked
	r.record(m, statestore.Lazy, nil)
}

// Short is part of machinepool.Host.
func (h poolHost) Short(p sched.Pool, short bool) {
	h.r.poolShort(p, short)
	if short {
		h.r.planAt = h.r.c.now
	}
}

func (r *term) onListed(l *protocol.ListedMachine) {
	c := r.c
	m := r.Machines[l.ID]
	if m == nil {
		m = r.AddMachine(l.ID)
		m.Exists = c.now
		m.Rented = c.now - seconds(l.AgeS)
		c.log.Info("machine found in the list", "machine", l.ID, "type", l.Type, "zone", l.Zone, "state", l.State)
	}
	if m.Type == "" {
		m.Type, m.Zone, m.Spot = l.Type, l.Zone, l.Spot
		m.Size = r.sizeOf(m.Type)
	}
	if age := c.now - seconds(l.AgeS); age < m.Rented {
		m.Rented = age
	}
	if l.Addr != "" {
		m.Addr = l.Addr
	}
	m.Listed = l.State == "running"
	if l.State == "failed" && !m.Returning {
		c.log.Info("machine failed", "machine", m.ID, "tasks", len(m.Attempts))
		for _, a := range m.Sorted() {
			r.gone(a, machineFailed)
		}
		r.giveBack(m, "failed")
	}
}

// missing drops machines that are gone: a list describes a moment at most
// twice the lag before it was asked for, and one that surely existed by then
// would be in it.
func (r *term) missing(asked time.Duration, seen map[string]bool) {
	for _, m := range r.machines() {
		if !seen[m.ID] && asked > m.Exists+2*r.c.cfg.ListLag()+r.c.cfg.ListLag()/5 {
			r.removeGone(m, machineUnlisted)
		}
	}
}

// removeGone takes a machine that is proved gone out of the ledger.
func (r *term) removeGone(m *ledger.Machine, why goneReason) {
	if r.Machines[m.ID] != m {
		return
	}
	r.c.log.Info("machine gone", "machine", m.ID, "why", why, "tasks", len(m.Attempts))
	for _, a := range m.Sorted() {
		r.gone(a, why)
	}
	r.RemoveMachine(m)
	r.pool.Remove(m.ID)
	r.record(m, statestore.Lazy, nil)
}

// giveBack returns a machine. The mark is durable before the deletion leaves,
// so that a late deletion hits nothing in use.
func (r *term) giveBack(m *ledger.Machine, why string) {
	if m.Returning {
		return
	}
	r.c.log.Info("returning", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "why", why)
	m.Returning = true
	r.record(m, statestore.Done, func() { m.Returned = true })
}
