package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// machineRegistry adds machines to the cluster state, removes them from it, and stores their records.
//
// It has no state of its own. After a failover the next leader loads the machines from their records, and discovers
// machines without a record from the cloud's list and from heartbeats.
type machineRegistry struct {
	attempts *attemptTracker
	catalog  *machineCatalog
	env      *environment
	pool     *machinepool.Pool
	state    *clusterstate.State
	store    *statestore.Writer
}

// Bounds of the staleness of a cloud list: the state that it describes is at most twice the usual lag older than the
// request for the list. A fifth of the lag is added as a safety margin.
const (
	maxListLags          = 2
	listLagMarginDivisor = 5
)

// machineStateRunning and machineStateFailed are the states in the cloud's list that the registry acts on.
const (
	machineStateRunning = "running"
	machineStateFailed  = "failed"
)

// sortedMachines returns the machines in a fixed order, which keeps simulation runs reproducible.
func (r *machineRegistry) sortedMachines() []*clusterstate.Machine { return r.state.SortedMachines() }

// storeMachine queues a write of the machine's record, or its deletion if the machine has been removed; onDurable
// is called once that is durable.
func (r *machineRegistry) storeMachine(m *clusterstate.Machine, priority statestore.Priority, onDurable func()) {
	r.store.QueueWrite(clusterstate.MachinePrefix+m.ID, priority, func() any {
		if r.state.Machines[m.ID] != m {
			return nil
		}
		m.HasRecord = true
		return m.Record()
	}, onDurable)
}

// recordImageUse records that the machine has the image of the job's tasks in its cache, and used it now.
func (r *machineRegistry) recordImageUse(m *clusterstate.Machine, j *clusterstate.Job) {
	m.UseImage(j.Spec.Image, j.Spec.ImageGB, r.catalog.typeInfo[m.Type].CacheGB)
}

// machineSize returns the resources of a machine of the type, or zero resources if the catalog lacks the type.
func (r *machineRegistry) machineSize(typeName string) scheduler.Resources {
	if info, ok := r.catalog.typeInfo[typeName]; ok {
		return scheduler.Resources{Cores: info.Cores, Accelerators: info.Accelerators, MemoryGB: info.MemoryGB}
	}
	return scheduler.Resources{}
}

// onListed applies a machine's entry in the cloud's list. An unknown machine is added, and a failed machine is
// released.
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
	if launchedAt := r.env.now - seconds(listed.AgeS); launchedAt < m.LaunchedAt {
		m.LaunchedAt = launchedAt
	}
	if listed.Addr != "" {
		m.Addr = listed.Addr
	}
	m.ListedRunning = listed.State == machineStateRunning
	if listed.State == machineStateFailed && !m.Releasing {
		r.env.log.Info("cloud lists the machine as failed", "machine", m.ID, "tasks", len(m.Attempts))
		for _, a := range m.SortedAttempts() {
			r.attempts.removeAttempt(a, machineFailed)
		}
		r.releaseMachine(m, releaseFailed)
	}
}

// removeUnlisted removes machines that no longer exist. A machine counts as deleted if it is missing from a list that
// certainly describes a later time than the machine's KnownToExistAt. requestedAt is when the list was requested.
func (r *machineRegistry) removeUnlisted(requestedAt time.Duration, listed map[string]bool) {
	lag := r.env.cfg.CloudListLag()
	for _, m := range r.sortedMachines() {
		if !listed[m.ID] && requestedAt > m.KnownToExistAt+maxListLags*lag+lag/listLagMarginDivisor {
			r.removeMachine(m, machineUnlisted)
		}
	}
}

// removeMachine removes a machine that is proven not to exist any more from the cluster state, with its attempts.
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

// releaseMachine marks a machine for deletion. The mark is durable in the machine's record before the deletion is
// requested, so that no later leader places tasks on the machine and a deletion that is executed late kills none.
func (r *machineRegistry) releaseMachine(m *clusterstate.Machine, reason releaseReason) {
	if m.Releasing {
		return
	}
	r.env.log.Info("releasing machine", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot, "reason", reason)
	m.Releasing = true
	r.storeMachine(m, statestore.PriorityCompletion, func() { m.ReleaseStored = true })
}

// abandonMachine removes the attempts that are not durable from a machine whose record the state service rejects, and
// quarantines the machine for a worker lease.
func (r *machineRegistry) abandonMachine(m *clusterstate.Machine) {
	m.Quarantine(clusterstate.QuarantineRecordRejected, r.env.now+r.env.cfg.WorkerLease())
	for _, a := range m.SortedAttempts() {
		if !a.Durable {
			r.attempts.removeAttempt(a, notRecorded)
		}
	}
	// A record that was stored under a higher size limit may exceed the current limit, so the mark for deletion cannot
	// be stored, and the machine is deleted without it. The mark only keeps a later leader from using the machine until
	// the deletion is executed; tasks placed there in the meantime end as with any loss of a machine. Without the
	// deletion, the leader would wait for an unreachable machine indefinitely.
	m.ReleaseStored = m.ReleaseStored || m.Releasing
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
