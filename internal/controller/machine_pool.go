package controller

import (
	"time"

	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// poolHost adapts a leadership to machinepool.Host for its machine pool.
type poolHost struct{ leader *leadership }

var _ machinepool.Host = poolHost{}

// Limits of how often the cloud's machines are listed.
const (
	// listLagDivisor: the interval between two lists is half of the list's usual lag. More frequent lists would show
	// few changes.
	listLagDivisor = 2
	// requestsPerList: the interval between two lists is at least the time in which the cloud's rate limit allows four
	// requests, so that most of the allowed requests remain for launches and deletions.
	requestsPerList = 4
)

// newPool returns the machine pool of a leadership.
func (l *leadership) newPool() *machinepool.Pool {
	cfg := l.controller.env.cfg
	times := machinepool.Times{
		Lease:        cfg.WorkerLease(),
		ListLag:      cfg.CloudListLag(),
		ListInterval: max(cfg.CloudListLag()/listLagDivisor, seconds(requestsPerList/cfg.Cluster.Cloud.RPS)),
	}
	return machinepool.New(poolHost{l}, l.controller.outbox.cloud, l.controller.env.log, times, l.lease.token)
}

// Now implements machinepool.Host.
func (h poolHost) Now() time.Duration { return h.leader.controller.env.now }

// MayRequest implements machinepool.Host.
func (h poolHost) MayRequest() bool {
	return h.leader.controller.outbox.cloudRequests.Allows(h.leader.controller.env.now, 1)
}

// RetryPause implements machinepool.Host.
func (h poolHost) RetryPause() time.Duration { return h.leader.controller.env.retryPause() }

// RunAt implements machinepool.Host.
func (h poolHost) RunAt(at time.Duration, run func()) { h.leader.timers.runAt(at, run) }

// HasEnded implements machinepool.Host.
func (h poolHost) HasEnded() bool { return h.leader.lease.ended }

// OnListed implements machinepool.Host.
func (h poolHost) OnListed(listed *protocol.ListedMachine) { h.leader.machines.onListed(listed) }

// OnListRead implements machinepool.Host.
func (h poolHost) OnListRead(requestedAt time.Duration, listed map[string]bool) {
	h.leader.machines.removeUnlisted(requestedAt, listed)
}

// MachinesToDelete implements machinepool.Host: it returns the machines whose release is durable, sorted by name.
func (h poolHost) MachinesToDelete(limit int) []string {
	var names []string
	for _, m := range h.leader.machines.sortedMachines() {
		if m.ReleaseStored && len(names) < limit {
			names = append(names, m.ID)
		}
	}
	return names
}

// OnDeleted implements machinepool.Host.
func (h poolHost) OnDeleted(name string) {
	if m := h.leader.state.Machines[name]; m != nil {
		h.leader.machines.removeMachine(m, machineDeleted)
	}
}

// OnLaunched implements machinepool.Host.
func (h poolHost) OnLaunched(pool scheduler.Pool, name string, requestedAt time.Duration) {
	m := h.leader.state.AddMachine(name)
	m.Type, m.Zone, m.Spot = pool.Type, pool.Zone, pool.Spot
	m.Size = h.leader.machines.machineSize(m.Type)
	m.KnownToExistAt, m.LaunchedAt = h.leader.controller.env.now, requestedAt
	h.leader.machines.storeMachine(m, statestore.PriorityBackground, nil)
}

// SetExhausted implements machinepool.Host: a new shortage makes the scheduler plan the scaling again at once, with
// other pools.
func (h poolHost) SetExhausted(pool scheduler.Pool, exhausted bool) {
	h.leader.scaler.onPoolShortage(pool, exhausted)
	if exhausted {
		h.leader.placement.planAt = h.leader.controller.env.now
	}
}
