package controller

import (
	"time"

	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// poolHost adapts a leadership to its machine pool.
type poolHost struct{ leader *leadership }

func (l *leadership) newPool() *machinepool.Pool {
	times := machinepool.Times{Lease: l.controller.env.cfg.Lease(), ListLag: l.controller.env.cfg.ListLag(),
		ListEvery: max(l.controller.env.cfg.ListLag()/2, seconds(4/l.controller.env.cfg.Cluster.Cloud.RPS))}
	return machinepool.New(poolHost{l}, l.controller.outbox.cloud, l.controller.env.log, times, l.lease.token)
}

// Now is part of machinepool.Host.
func (h poolHost) Now() time.Duration { return h.leader.controller.env.now }

// MayCall is part of machinepool.Host.
func (h poolHost) MayCall() bool {
	return h.leader.controller.outbox.cloudRequests.Has(h.leader.controller.env.now, 1)
}

// Pause is part of machinepool.Host.
func (h poolHost) Pause() time.Duration { return h.leader.controller.env.retryPause() }

// Later is part of machinepool.Host.
func (h poolHost) Later(at time.Duration, do func()) { h.leader.timers.runAt(at, do) }

// Ended is part of machinepool.Host.
func (h poolHost) Ended() bool { return h.leader.lease.ended }

// Listed is part of machinepool.Host.
func (h poolHost) Listed(l *protocol.ListedMachine) { h.leader.machines.onListed(l) }

// ListRead is part of machinepool.Host.
func (h poolHost) ListRead(asked time.Duration, names map[string]bool) {
	h.leader.machines.removeUnlisted(asked, names)
}

// ToDelete is part of machinepool.Host.
func (h poolHost) ToDelete(most int) []string {
	var names []string
	for _, m := range h.leader.machines.sortedMachines() {
		if m.ReleaseStored && len(names) < most {
			names = append(names, m.ID)
		}
	}
	return names
}

// Deleted is part of machinepool.Host.
func (h poolHost) Deleted(name string) {
	if m := h.leader.state.Machines[name]; m != nil {
		h.leader.machines.removeMachine(m, machineDeleted)
	}
}

// Launched is part of machinepool.Host.
func (h poolHost) Launched(p scheduler.Pool, name string, asked time.Duration) {
	m := h.leader.state.AddMachine(name)
	m.Type, m.Zone, m.Spot = p.Type, p.Zone, p.Spot
	m.Size = h.leader.machines.machineSize(m.Type)
	m.ExistedAt, m.LaunchedAt = h.leader.controller.env.now, asked
	h.leader.machines.storeMachine(m, statestore.Lazy, nil)
}

// Short is part of machinepool.Host.
func (h poolHost) Short(p scheduler.Pool, short bool) {
	h.leader.scaler.onPoolShortage(p, short)
	if short {
		h.leader.placement.planAt = h.leader.controller.env.now
	}
}
