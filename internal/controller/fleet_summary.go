package controller

import (
	"fmt"
	"strconv"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/statestore"
)

// fleetSummary logs the state of the fleet periodically, for operators who investigate an incident. It owns no state,
// but resets the store's latency histogram with each summary.
type fleetSummary struct {
	env    *environment
	health *machineHealth
	pool   *machinepool.Pool
	state  *clusterstate.State
	store  *statestore.Writer
}

// loggedQuantile is the logged quantile of the transaction latency, in percent.
const loggedQuantile = 99

// logFleetSummary logs the machines by activity, the jobs by class, the load by machine type and the usage by team.
func (f *fleetSummary) logFleetSummary() {
	latency := f.store.Latencies()
	machines := f.countMachines()
	args := []any{"transactions", latency.TotalCount(), "transaction_p99_ms", latency.ValueAtQuantile(loggedQuantile),
		"jobs", len(f.state.Jobs), "busy", machines.busy, "idle", machines.idle, "booting", machines.booting, "launching", len(f.pool.LaunchesInFlight())}
	args = append(args, f.classAttributes()...)
	args = append(args, f.loadAttributes()...)
	args = append(args, f.quotaAttributes()...)
	args = append(args, f.exclusionAttributes()...)
	f.env.log.Info("fleet summary", args...)
	latency.Reset()
}

// exclusionAttributes returns the log attributes of the machines that get no tasks, by reason, and reports the numbers
// to the observer.
func (f *fleetSummary) exclusionAttributes() []any {
	counts := f.health.countExclusions()
	f.env.observer.MachinesExcluded(counts)
	var args []any
	for _, reason := range sortedKeys(counts) {
		args = append(args, "excluded_"+string(reason), counts[reason])
	}
	return args
}

// machineCounts counts the machines that are not being released, by activity.
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

// classAttributes returns the log attributes of the jobs: per class the number of tasks with an attempt, then the
// number of waiting tasks.
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

// typeLoad is the load of the machines of one type: the number of machines that are up, and the sum of their used
// fractions.
type typeLoad struct {
	machines int
	used     float64
}

// loadAttributes returns the log attributes of the load by machine type, with spot machines as types of their own.
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

// machineTypeLabel returns the log attribute key of a machine's type.
func machineTypeLabel(m *clusterstate.Machine) string {
	if m.Spot {
		return m.Type + "/spot"
	}
	return m.Type
}

// usedFraction is the used fraction of a machine's accelerators or, if it has none, of its cores.
func usedFraction(m *clusterstate.Machine) float64 {
	switch {
	case m.Size.Accelerators > 0:
		return m.Used.Accelerators / m.Size.Accelerators
	case m.Size.Cores > 0:
		return m.Used.Cores / m.Size.Cores
	default:
		return 0 // the machine's type is unknown, so it has no size
	}
}

// quotaAttributes returns the log attributes of the teams that use cores: the used cores and accelerators.
func (f *fleetSummary) quotaAttributes() []any {
	var args []any
	for _, team := range sortedKeys(f.state.Quotas) {
		used := f.state.Quotas[team].Used
		if used.Cores > 0 {
			args = append(args, team, strconv.FormatFloat(used.Cores, 'f', 0, 64)+"c/"+strconv.FormatFloat(used.Accelerators, 'f', 0, 64)+"a")
		}
	}
	return args
}
