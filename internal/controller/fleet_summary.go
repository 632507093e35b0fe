package controller

import (
	"strconv"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/statestore"
)

// fleetSummary logs the state of the fleet now and then, for those who follow an incident.
type fleetSummary struct {
	env   *environment
	pool  *machinepool.Pool
	state *clusterstate.State
	store *statestore.Writer
}

// logFleetSummary logs how the fleet stands, for those who follow an incident.
func (f *fleetSummary) logFleetSummary() {
	up, booting, idle := 0, 0, 0
	for _, m := range f.state.Machines {
		switch {
		case m.Releasing:
		case !m.Up:
			booting++
		case len(m.Attempts) == 0:
			idle++
		default:
			up++
		}
	}
	// By type and kind: machines that are up, and how much of them is used.
	type load struct {
		n    int
		used float64
	}
	kinds := map[string]*load{}
	for _, m := range f.state.Machines {
		if !m.Up || m.Releasing {
			continue
		}
		name := m.Type
		if m.Spot {
			name += "/spot"
		}
		if kinds[name] == nil {
			kinds[name] = &load{}
		}
		kinds[name].n++
		if m.Size.Accel > 0 {
			kinds[name].used += m.Used.Accel / m.Size.Accel
		} else if m.Size.Cores > 0 {
			kinds[name].used += m.Used.Cores / m.Size.Cores
		}
	}
	waiting, held := map[string]int{}, map[string]int{}
	for _, j := range f.state.Jobs {
		if j.Stored && !j.Cancelling {
			waiting[j.Spec.Class] += j.Spec.Tasks - j.Done - j.ActiveAttempts
			held[j.Spec.Class] += j.ActiveAttempts
		}
	}
	args := []any{"transactions", f.store.Took().TotalCount(), "transaction_p99_ms", f.store.Took().ValueAtQuantile(99), "jobs", len(f.state.Jobs), "busy", up, "idle", idle, "booting", booting, "launching", len(f.pool.Launching())}
	for _, class := range sortedKeys(waiting) {
		args = append(args, class, strconv.Itoa(held[class])+"+"+strconv.Itoa(waiting[class]))
	}
	for _, name := range sortedKeys(kinds) {
		args = append(args, name, strconv.FormatFloat(kinds[name].used, 'f', 1, 64)+"/"+strconv.Itoa(kinds[name].n))
	}
	for _, name := range sortedKeys(f.state.Quotas) {
		t := f.state.Quotas[name]
		if t.Used.Cores > 0 {
			args = append(args, name, strconv.FormatFloat(t.Used.Cores, 'f', 0, 64)+"c/"+strconv.FormatFloat(t.Used.Accel, 'f', 0, 64)+"a")
		}
	}
	f.env.log.Info("fleet summary", args...)
	f.store.Took().Reset()
}
