package coordination

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// --- cloud

type simCloud struct {
	w        *world
	last     int
	answers  map[string][]string
	finished map[string]bool
	down     bool
	full     bool // nothing can be rented
	deleted  []string
}

func (cl *simCloud) serve(c Call) (int, []byte) {
	if cl.finished == nil {
		cl.finished = map[string]bool{}
	}
	if cl.down {
		return 503, protocol.Encode(map[string]any{"error": "trouble"})
	}
	w := cl.w
	switch {
	case c.Path == "/flavors":
		return 200, protocol.Encode(protocol.MachineTypes{Types: []protocol.MachineType{{Name: "m8", Cores: 8, MemoryGB: 32, CacheGB: 50,
			FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"a", "b"}}}})
	case c.Path == "/machines" && cl.full:
		return 503, protocol.Encode(map[string]any{"error": "no capacity"})
	case c.Path == "/machines":
		var req protocol.Rent
		if err := protocol.Decode(c.Body, &req); err != nil {
			w.breaks("rental: %v", err)
		}
		if cl.answers[req.Request] == nil {
			for range req.Count {
				cl.last++
				id := fmt.Sprintf("i-%06d", cl.last)
				cl.answers[req.Request] = append(cl.answers[req.Request], id)
				wk := &simWorker{w: w, id: id, typ: req.Type, zone: req.Zone, spot: req.Spot, rented: w.now, session: 1,
					tasks: map[string]*simTask{}, images: map[string]time.Duration{}}
				w.workers[id] = wk
				w.at(10*time.Second, wk.boot)
			}
		}
		return 200, protocol.Encode(protocol.Rented{Machines: cl.answers[req.Request]})
	case strings.HasPrefix(c.Path, "/machines?"):
		list := protocol.MachineList{}
		for _, id := range slices.Sorted(maps.Keys(w.workers)) {
			wk := w.workers[id]
			if wk.gone || w.now < wk.rented+5*time.Second {
				continue
			}
			state := "booting"
			if wk.up {
				state = "running"
			}
			list.Machines = append(list.Machines, protocol.ListedMachine{ID: id, Addr: wk.addr(), Type: wk.typ, Zone: wk.zone,
				Spot: wk.spot, State: state, AgeS: (w.now - wk.rented).Seconds()})
		}
		return 200, protocol.Encode(list)
	case c.Path == "/machines/delete":
		var req protocol.Rented
		if err := protocol.Decode(c.Body, &req); err != nil {
			w.breaks("deletion: %v", err)
		}
		for _, id := range req.Machines {
			cl.deleted = append(cl.deleted, id)
			if wk := w.workers[id]; wk != nil {
				wk.die()
			}
		}
		return 200, nil
	}
	w.breaks("cloud: %s %s", c.Method, c.Path)
	return 400, nil
}
