package controller

import (
	"time"

	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// machineCatalog holds the cloud's machine types with their current prices. Followers keep it too, so that a new leader
// can place tasks at once.
type machineCatalog struct {
	env    *environment
	outbox *outbox

	types    []*scheduler.MachineType
	typeInfo map[string]protocol.MachineType // by name, including types that the cloud no longer offers
	// typesRefreshAt is when the next fetch of the types is due.
	typesRefreshAt time.Duration
	typesInFlight  bool
	// typesGeneration counts the received lists of types. Values computed from an older list are recognized by it.
	typesGeneration int
	// slowFetchWarned is the set of job classes for which warnOfSlowFetch has logged its warning.
	slowFetchWarned map[string]bool
}

func newMachineCatalog(env *environment, outbox *outbox) *machineCatalog {
	return &machineCatalog{env: env, outbox: outbox,
		typeInfo: map[string]protocol.MachineType{}, slowFetchWarned: map[string]bool{}}
}

// catalogRefreshLeases is the interval between two fetches of the machine types, in worker leases.
const catalogRefreshLeases = 12

// refreshMachineTypes fetches the machine types when a fetch is due. They are fetched regularly because they include
// the current prices.
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

// replaceTypes replaces the offered machine types by a list from the cloud.
func (m *machineCatalog) replaceTypes(types []protocol.MachineType) {
	m.types = m.types[:0]
	m.typesGeneration++
	for _, t := range types {
		m.typeInfo[t.Name] = t
		m.types = append(m.types, &scheduler.MachineType{
			Name:        t.Name,
			Size:        scheduler.Resources{Cores: t.Cores, Accelerators: t.Accelerators, MemoryGB: t.MemoryGB},
			Price:       t.Price,
			SpotPrice:   t.SpotPrice,
			Zones:       t.Zones,
			BootS:       t.BootS,
			FetchGBPerS: t.FetchGBPerS,
		})
	}
}

// machineType returns the type with the name, or nil if the cloud does not currently offer it.
func (m *machineCatalog) machineType(name string) *scheduler.MachineType {
	for _, t := range m.types {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// longestBootS is the longest usual boot time of all machine types, in seconds, or 0 if no types are known.
func (m *machineCatalog) longestBootS() float64 {
	longest := 0.0
	for _, t := range m.types {
		longest = max(longest, t.BootS)
	}
	return longest
}
