package controller

import (
	"fmt"
	"strconv"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/statestore"
)

// fleetSummary logs the state of the fleet now and then, for those who follow an incident. It owns no state
// but resets the store's latency histogram with each summary.
type fleetSummary struct {
	env   *environment
	pool  *machinepool.Pool
	state *clusterstate.State
	store *statestore.Writer
}

// loggedQuantile is the quantile of the transactions' latency that is logged, in percent.
const loggedQuantile = 99

// logFleetSummary logs machines by what they do, jobs by class, load by machine type and use by team.
func (f *fleetSummary) logFleetSummary() {
	latency := f.store.Latencies()
	machines := f.countMachines()
	args := []any{"transactions", latency.TotalCount(), "transaction_p99_ms", latency.ValueAtQuantile(loggedQuantile),
		"jobs", len(f.state.Jobs), "busy", machines.busy, "idle", machines.idle, "booting", machines.booting, "launching", len(f.pool.LaunchesInFlight())}
	args = append(args, f.classAttributes()...)
	args = append(args, f.loadAttributes()...)
	args = append(args, f.quotaAttributes()...)
	f.env.log.Info("fleet summary", args...)
	latency.Reset()
}

// machineCounts counts the machines that are kept by what they do.
type machineCounts struct{ busy, idle, booting int }

func (f *fleetSummary) countMachines() machineCounts {
	var counts machineCounts
	for _, m := range f.state.Machines {
		switch {
		case m.Releasing:
		case !m.EverReported:
			counts.booting++
		case len(m.Attempts) == 0:
			counts.idle++
		default:
			counts.busy++
		}
	}
	return counts
}

// classAttributes are the log attributes of the jobs: by class the tasks with an attempt, then those without.
func (f *fleetSummary) classAttributes() []any {
	waiting, active := map[string]int{}, map[string]int{}
	for _, j := range f.state.Jobs {
		if j.Stored && !j.Cancelling {
			waiting[j.Spec.Class] += j.Spec.Tasks - j.CompletedTasks - j.ActiveAttempts
			active[j.Spec.Class] += j.ActiveAttempts
		}
	}
	var args []any
	for _, class := range sortedKeys(waiting) {
		args = append(args, class, fmt.Sprintf("%d+%d", active[class], waiting[class]))
	}
	return args
}

// typeLoad is the load of the machines of one type: how many are up, and how many of them are in use, counted
// in fractions of a machine.
type typeLoad struct {
	machines int
	used     float64
}

// loadAttributes are the log attributes of the load by machine type, spot machines apart.
func (f *fleetSummary) loadAttributes() []any {
	loads := map[string]*typeLoad{}
	for _, m := range f.state.Machines {
		if !m.EverReported || m.Releasing {
			continue
		}
		name := machineTypeLabel(m)
		if loads[name] == nil {
			loads[name] = &typeLoad{}
		}
		loads[name].machines++
		loads[name].used += usedFraction(m)
	}
	var args []any
	for _, name := range sortedKeys(loads) {
		load := loads[name]
		args = append(args, name, strconv.FormatFloat(load.used, 'f', 1, 64)+"/"+strconv.Itoa(load.machines))
	}
	return args
}

// machineTypeLabel names a machine's type in the log.
func machineTypeLabel(m *clusterstate.Machine) string {
	if m.Spot {
		return m.Type + "/spot"
	}
	return m.Type
}

// usedFraction is the fraction of a machine that is in use: of its accelerators if it has any, else of its
// cores.
func usedFraction(m *clusterstate.Machine) float64 {
	switch {
	case m.Size.Accel > 0:
		return m.Used.Accel / m.Size.Accel
	case m.Size.Cores > 0:
		return m.Used.Cores / m.Size.Cores
	default:
		return 0 // its type is not known
	}
}

// quotaAttributes are the log attributes of the teams that use cores: cores and accelerators.
func (f *fleetSummary) quotaAttributes() []any {
	var args []any
	for _, team := range sortedKeys(f.state.Quotas) {
		used := f.state.Quotas[team].Used
		if used.Cores > 0 {
			args = append(args, team, strconv.FormatFloat(used.Cores, 'f', 0, 64)+"c/"+strconv.FormatFloat(used.Accel, 'f', 0, 64)+"a")
		}
	}
	return args
}
