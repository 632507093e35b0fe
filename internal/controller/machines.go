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

// machineRegistry adds machines to the cluster state and removes them from it, and has their records stored.
//
// It has no state of its own. After a failover the next leader reads the machines from their records, and finds
// those without one in the cloud's list and by their heartbeats.
type machineRegistry struct {
	attempts *attemptTracker
	catalog  *machineCatalog
	env      *environment
	pool     *machinepool.Pool
	state    *clusterstate.State
	store    *statestore.Writer
}

// Bounds of the age of a cloud list: it describes a moment at most twice the usual lag before it was asked for,
// and a fifth of the lag is added to be safe.
const (
	maxListLags       = 2
	listLagMarginPart = 5
)

// machineStateRunning and machineStateFailed are the states of a listed machine that matter here.
const (
	machineStateRunning = "running"
	machineStateFailed  = "failed"
)

// sortedMachines lists the machines in a fixed order, so that a run can be replayed.
func (r *machineRegistry) sortedMachines() []*clusterstate.Machine { return r.state.SortedMachines() }

// storeMachine marks the machine's record to be written, or to be deleted once the machine is removed; then is
// called when that is durable.
func (r *machineRegistry) storeMachine(m *clusterstate.Machine, priority statestore.Priority, then func()) {
	r.store.QueueWrite(clusterstate.MachinePrefix+m.ID, priority, func() any {
		if r.state.Machines[m.ID] != m {
			return nil
		}
		m.HasRecord = true
		return m.Record()
	}, then)
}

// noteImageUse notes that the image of the job's tasks is on the machine, and was used now.
func (r *machineRegistry) noteImageUse(m *clusterstate.Machine, j *clusterstate.Job) {
	m.UseImage(j.Spec.Image, j.Spec.ImageGB, r.catalog.typeInfo[m.Type].CacheGB)
}

// machineSize is what a machine of the type offers; nothing if the catalog does not have the type.
func (r *machineRegistry) machineSize(typeName string) scheduler.Resources {
	if info, ok := r.catalog.typeInfo[typeName]; ok {
		return scheduler.Resources{Cores: info.Cores, Accel: info.Accelerators, Mem: info.MemoryGB}
	}
	return scheduler.Resources{}
}

// onListed applies what the cloud's list says of a machine. One that is not known yet is added, and one that has
// failed is released.
func (r *machineRegistry) onListed(listed *protocol.ListedMachine) {
	m := r.state.Machines[listed.ID]
	if m == nil {
		m = r.state.AddMachine(listed.ID)
		m.KnownToExistAt = r.env.now
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
	m.ListedRunning = listed.State == machineStateRunning
	if listed.State == machineStateFailed && !m.Releasing {
		r.env.log.Info("machine failed in the cloud's list", "machine", m.ID, "tasks", len(m.Attempts))
		for _, a := range m.SortedAttempts() {
			r.attempts.removeAttempt(a, machineFailed)
		}
		r.releaseMachine(m, releaseFailed)
	}
}

// removeUnlisted removes machines that no longer exist: one that surely existed at the moment that the list
// describes would be in it. askedAt is when the list was asked for.
func (r *machineRegistry) removeUnlisted(askedAt time.Duration, listed map[string]bool) {
	lag := r.env.cfg.CloudListLag()
	for _, m := range r.sortedMachines() {
		if !listed[m.ID] && askedAt > m.KnownToExistAt+maxListLags*lag+lag/listLagMarginPart {
			r.removeMachine(m, machineUnlisted)
		}
	}
}

// removeMachine removes a machine that is proved to exist no longer from the cluster state, with its attempts.
func (r *machineRegistry) removeMachine(m *clusterstate.Machine, proof absenceProof) {
	if r.state.Machines[m.ID] != m {
		return
	}
	r.env.log.Info("machine removed", "machine", m.ID, "reason", proof, "tasks", len(m.Attempts))
	for _, a := range m.SortedAttempts() {
		r.attempts.removeAttempt(a, proof)
	}
	r.state.RemoveMachine(m)
	r.pool.MarkRemoved(m.ID)
	r.storeMachine(m, statestore.PriorityBackground, nil)
}

// releaseMachine has a machine deleted. Its record says so durably before the deletion is requested, so that a
// deletion that is executed late hits nothing in use.
func (r *machineRegistry) releaseMachine(m *clusterstate.Machine, reason releaseReason) {
	if m.Releasing {
		return
	}
	r.env.log.Info("releasing machine", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "reason", reason)
	m.Releasing = true
	r.storeMachine(m, statestore.PriorityCompletion, func() { m.ReleaseStored = true })
}

// abandonMachine removes the attempts that were to be started on a machine whose record the state service rejects.
func (r *machineRegistry) abandonMachine(m *clusterstate.Machine) {
	m.QuarantinedUntil = r.env.now + r.env.cfg.WorkerLease()
	for _, a := range m.SortedAttempts() {
		if !a.Durable {
			r.attempts.removeAttempt(a, notRecorded)
		}
	}
	// A record that was stored under a higher limit may not fit any more. The mark only keeps a later leader
	// from using the machine until the deletion is executed, which costs its tasks as any end of a machine does.
	// Without the deletion an unreachable machine would be waited for without end.
	m.ReleaseStored = m.ReleaseStored || m.Releasing
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
