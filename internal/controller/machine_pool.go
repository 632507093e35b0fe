package controller

import (
	"time"

	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// poolHost adapts a leadership to machinepool.Host, which its machine pool works with.
type poolHost struct{ leader *leadership }

var _ machinepool.Host = poolHost{}

// Limits of how often the cloud's machines are listed.
const (
	// listLagDivisor: they are listed every half of the list's usual lag, as more often shows little new.
	listLagDivisor = 2
	// requestsPerList: a list is requested at the most once in the time that the cloud's limit allows four
	// requests, so that most of them are left for launches and deletions.
	requestsPerList = 4
)

// newPool returns the machine pool of a leadership.
func (l *leadership) newPool() *machinepool.Pool {
	cfg := l.controller.env.cfg
	times := machinepool.Times{
		Lease:     cfg.Lease(),
		ListLag:   cfg.ListLag(),
		ListEvery: max(cfg.ListLag()/listLagDivisor, seconds(requestsPerList/cfg.Cluster.Cloud.RPS)),
	}
	return machinepool.New(poolHost{l}, l.controller.outbox.cloud, l.controller.env.log, times, l.lease.token)
}

// Now implements machinepool.Host.
func (h poolHost) Now() time.Duration { return h.leader.controller.env.now }

// MayCall implements machinepool.Host.
func (h poolHost) MayCall() bool {
	return h.leader.controller.outbox.cloudRequests.Has(h.leader.controller.env.now, 1)
}

// Pause implements machinepool.Host.
func (h poolHost) Pause() time.Duration { return h.leader.controller.env.retryPause() }

// Later implements machinepool.Host.
func (h poolHost) Later(at time.Duration, do func()) { h.leader.timers.runAt(at, do) }

// Ended implements machinepool.Host.
func (h poolHost) Ended() bool { return h.leader.lease.ended }

// Listed implements machinepool.Host.
func (h poolHost) Listed(listed *protocol.ListedMachine) { h.leader.machines.onListed(listed) }

// ListRead implements machinepool.Host.
func (h poolHost) ListRead(asked time.Duration, names map[string]bool) {
	h.leader.machines.removeUnlisted(asked, names)
}

// ToDelete implements machinepool.Host: machines whose release is durable, in the order of their names.
func (h poolHost) ToDelete(most int) []string {
	var names []string
	for _, m := range h.leader.machines.sortedMachines() {
		if m.ReleaseStored && len(names) < most {
			names = append(names, m.ID)
		}
	}
	return names
}

// Deleted implements machinepool.Host.
func (h poolHost) Deleted(name string) {
	if m := h.leader.state.Machines[name]; m != nil {
		h.leader.machines.removeMachine(m, machineDeleted)
	}
}

// Launched implements machinepool.Host.
func (h poolHost) Launched(pool scheduler.Pool, name string, asked time.Duration) {
	m := h.leader.state.AddMachine(name)
	m.Type, m.Zone, m.Spot = pool.Type, pool.Zone, pool.Spot
	m.Size = h.leader.machines.machineSize(m.Type)
	m.ExistedAt, m.LaunchedAt = h.leader.controller.env.now, asked
	h.leader.machines.storeMachine(m, statestore.Lazy, nil)
}

// Short implements machinepool.Host: a new shortage has the scaling planned again at once, with other pools.
func (h poolHost) Short(pool scheduler.Pool, short bool) {
	h.leader.scaler.onPoolShortage(pool, short)
	if short {
		h.leader.placement.planAt = h.leader.controller.env.now
	}
}
