package controller

import (
	"maps"
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// machineRegistry takes machines in and out of the cluster state, and has their records stored.
type machineRegistry struct {
	attempts *attemptTracker
	catalog  *machineCatalog
	env      *environment
	pool     *machinepool.Pool
	state    *clusterstate.State
	store    *statestore.Writer
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// sortedMachines lists the machines in a fixed order, so runs replay.
func (r *machineRegistry) sortedMachines() []*clusterstate.Machine { return r.state.SortedMachines() }

// storeMachine marks the machine's record to be written.
func (r *machineRegistry) storeMachine(m *clusterstate.Machine, priority statestore.Priority, then func()) {
	r.store.Mark(clusterstate.MachinePrefix+m.ID, priority, func() any {
		if r.state.Machines[m.ID] != m {
			return nil
		}
		m.Recorded = true
		return m.Record()
	}, then)
}

// noteImageUse notes that a task of the job has its image on the machine.
func (r *machineRegistry) noteImageUse(m *clusterstate.Machine, j *clusterstate.Job) {
	m.UseImage(j.Spec.Image, j.Spec.ImageGB, r.catalog.typeInfo[m.Type].CacheGB)
}

func (r *machineRegistry) machineSize(typ string) scheduler.Need {
	if t, ok := r.catalog.typeInfo[typ]; ok {
		return scheduler.Need{Cores: t.Cores, Accel: t.Accelerators, Mem: t.MemoryGB}
	}
	return scheduler.Need{}
}

func (r *machineRegistry) onListed(listed *protocol.ListedMachine) {
	m := r.state.Machines[listed.ID]
	if m == nil {
		m = r.state.AddMachine(listed.ID)
		m.ExistedAt = r.env.now
		m.LaunchedAt = r.env.now - seconds(listed.AgeS)
		r.env.log.Info("machine discovered in the cloud's list", "machine", listed.ID, "type", listed.Type, "zone", listed.Zone, "state", listed.State)
	}
	if m.Type == "" {
		m.Type, m.Zone, m.Spot = listed.Type, listed.Zone, listed.Spot
		m.Size = r.machineSize(m.Type)
	}
	if age := r.env.now - seconds(listed.AgeS); age < m.LaunchedAt {
		m.LaunchedAt = age
	}
	if listed.Addr != "" {
		m.Addr = listed.Addr
	}
	m.Listed = listed.State == "running"
	if listed.State == "failed" && !m.Releasing {
		r.env.log.Info("machine failed in the cloud's list", "machine", m.ID, "tasks", len(m.Attempts))
		for _, a := range m.Sorted() {
			r.attempts.removeAttempt(a, machineFailed)
		}
		r.releaseMachine(m, releaseFailed)
	}
}

// removeUnlisted drops machines that are gone: a list describes a moment at most
// twice the lag before it was asked for, and one that surely existed by then
// would be in it.
func (r *machineRegistry) removeUnlisted(asked time.Duration, seen map[string]bool) {
	for _, m := range r.sortedMachines() {
		if !seen[m.ID] && asked > m.ExistedAt+2*r.env.cfg.ListLag()+r.env.cfg.ListLag()/5 {
			r.removeMachine(m, machineUnlisted)
		}
	}
}

// removeMachine takes a machine that is proved gone out of the ledger.
func (r *machineRegistry) removeMachine(m *clusterstate.Machine, why absenceProof) {
	if r.state.Machines[m.ID] != m {
		return
	}
	r.env.log.Info("machine removed", "machine", m.ID, "reason", why, "tasks", len(m.Attempts))
	for _, a := range m.Sorted() {
		r.attempts.removeAttempt(a, why)
	}
	r.state.RemoveMachine(m)
	r.pool.Remove(m.ID)
	r.storeMachine(m, statestore.Lazy, nil)
}

// releaseMachine returns a machine. The mark is durable before the deletion leaves,
// so that a late deletion hits nothing in use.
func (r *machineRegistry) releaseMachine(m *clusterstate.Machine, reason releaseReason) {
	if m.Releasing {
		return
	}
	r.env.log.Info("releasing machine", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "reason", reason)
	m.Releasing = true
	r.storeMachine(m, statestore.Done, func() { m.ReleaseStored = true })
}

// abandonMachine drops what was to be started on a machine whose record can't be written.
func (r *machineRegistry) abandonMachine(m *clusterstate.Machine) {
	m.QuarantinedUntil = r.env.now + r.env.cfg.Lease()
	for _, a := range m.Sorted() {
		if !a.Durable {
			r.attempts.removeAttempt(a, notRecorded)
		}
	}
	// A record that was stored under a higher limit may not fit any more. The mark
	// only keeps a later leader from using the machine until the deletion comes,
	// which costs its tasks as a machine's end does; without the deletion an
	// unreachable machine would be waited for without end.
	m.ReleaseStored = m.ReleaseStored || m.Releasing
}
