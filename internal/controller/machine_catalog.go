package controller

import (
	"time"

	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// machineCatalog knows the cloud's machine types, with their current prices.
type machineCatalog struct {
	env    *environment
	outbox *outbox

	types          []*scheduler.Type
	typeInfo       map[string]protocol.MachineType
	typesRefreshAt time.Duration
	typesInFlight  bool
	// typesGeneration counts the lists of machine types.
	typesGeneration int
	// warnedOfFetch are the classes whose fetches are known to take longer than their tasks may wait.
	warnedOfFetch map[string]bool
}

// refreshMachineTypes fetches the machine types, at the start and then now and then, as
// the current prices come with them.
func (m *machineCatalog) refreshMachineTypes() {
	if m.typesInFlight || m.env.now < m.typesRefreshAt || !m.outbox.cloudRequests.Has(m.env.now, 1) {
		return
	}
	m.typesInFlight = true
	m.outbox.cloudCall("GET", "/flavors", nil, m.env.cfg.Lease()/4, func(r Result) {
		m.typesInFlight = false
		var list protocol.MachineTypes
		if r.Status != 200 || protocol.Decode(r.Body, &list) != nil || len(list.Types) == 0 {
			m.typesRefreshAt = m.env.now + m.env.cfg.LeaderTTL()/2
			return
		}
		m.typesRefreshAt = m.env.now + 12*m.env.cfg.Lease()
		m.types = m.types[:0]
		m.typesGeneration++
		for _, t := range list.Types {
			m.typeInfo[t.Name] = t
			m.types = append(m.types, &scheduler.Type{Name: t.Name,
				Size:  scheduler.Need{Cores: t.Cores, Accel: t.Accelerators, Mem: t.MemoryGB},
				Price: t.Price, SpotPrice: t.SpotPrice, Zones: t.Zones, BootS: t.BootS, FetchGBPerS: t.FetchGBPerS})
		}
	})
}

func (m *machineCatalog) machineType(name string) *scheduler.Type {
	for _, t := range m.types {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// longestBootS is the longest usual boot time.
func (m *machineCatalog) longestBootS() float64 {
	boot := 0.0
	for _, t := range m.types {
		boot = max(boot, t.BootS)
	}
	return boot
}
