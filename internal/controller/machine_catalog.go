package controller

import (
	"time"

	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// machineCatalog holds the cloud's machine types with their current prices. Every controller keeps it, leader
// or not, so that a new leader can place tasks at once.
type machineCatalog struct {
	env    *environment
	outbox *outbox

	types    []*scheduler.Type
	typeInfo map[string]protocol.MachineType // by name; also of types that the cloud no longer offers
	// typesRefreshAt is when the types are fetched next.
	typesRefreshAt time.Duration
	typesInFlight  bool
	// typesGeneration counts the lists that were received, so that what was computed from an older one can be
	// recognized.
	typesGeneration int
	// warnedOfFetch are the job classes whose images or models are known, and logged, to take longer to fetch
	// than their tasks may wait.
	warnedOfFetch map[string]bool
}

func newMachineCatalog(env *environment, outbox *outbox) *machineCatalog {
	return &machineCatalog{env: env, outbox: outbox,
		typeInfo: map[string]protocol.MachineType{}, warnedOfFetch: map[string]bool{}}
}

// catalogRefreshLeases of the workers' lease lie between two fetches of the machine types.
const catalogRefreshLeases = 12

// refreshMachineTypes fetches the machine types at the start and then at intervals, as the current prices come
// with them.
func (m *machineCatalog) refreshMachineTypes() {
	if m.typesInFlight || m.env.now < m.typesRefreshAt || !m.outbox.cloudRequests.Allows(m.env.now, 1) {
		return
	}
	m.typesInFlight = true
	m.outbox.cloud.MachineTypes(m.env.cfg.WorkerLease()/4, func(types []protocol.MachineType, err error) {
		m.typesInFlight = false
		if err != nil || len(types) == 0 {
			m.typesRefreshAt = m.env.now + m.env.cfg.LeaderLease()/2
			return
		}
		m.typesRefreshAt = m.env.now + catalogRefreshLeases*m.env.cfg.WorkerLease()
		m.replaceTypes(types)
	})
}

// replaceTypes takes over a list of machine types from the cloud.
func (m *machineCatalog) replaceTypes(types []protocol.MachineType) {
	m.types = m.types[:0]
	m.typesGeneration++
	for _, t := range types {
		m.typeInfo[t.Name] = t
		m.types = append(m.types, &scheduler.Type{
			Name:        t.Name,
			Size:        scheduler.Resources{Cores: t.Cores, Accel: t.Accelerators, Mem: t.MemoryGB},
			Price:       t.Price,
			SpotPrice:   t.SpotPrice,
			Zones:       t.Zones,
			BootS:       t.BootS,
			FetchGBPerS: t.FetchGBPerS,
		})
	}
}

// machineType returns the type of a name; nil if the cloud does not offer it (any more).
func (m *machineCatalog) machineType(name string) *scheduler.Type {
	for _, t := range m.types {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// longestBootS is the longest usual boot time of all machine types, in seconds; 0 while none are known.
func (m *machineCatalog) longestBootS() float64 {
	boot := 0.0
	for _, t := range m.types {
		boot = max(boot, t.BootS)
	}
	return boot
}
