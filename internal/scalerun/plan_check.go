package scalerun

import (
	"fmt"
	"slices"
)

// bound is a numeric setting with its allowed range (inclusive).
type bound struct {
	field    string
	value    float64
	min, max float64
}

// check returns a PlanError for the first invalid setting. Ordered comparisons with NaN, which TOML can express, are
// false; the conditions are therefore written as negations, which reject NaN.
func (p *Plan) check() error {
	for _, b := range p.bounds() {
		if !(b.value >= b.min && b.value <= b.max) {
			return planError(b.field, "%v is not between %v and %v", b.value, b.min, b.max)
		}
	}
	if err := p.checkFleet(); err != nil {
		return err
	}
	if err := p.checkLoad(); err != nil {
		return err
	}
	return p.checkFaults()
}

// bounds returns the numeric settings with their allowed ranges.
func (p *Plan) bounds() []bound {
	const day = 86_400 // seconds
	return []bound{
		{field: "run.warmup_s", value: p.Run.WarmupS, min: 0, max: day},
		{field: "run.duration_s", value: p.Run.DurationS, min: 1, max: day},
		{field: "run.base_port", value: float64(p.Run.BasePort), min: 1024, max: 60_000},
		{field: "fleet.workers", value: float64(p.Fleet.Workers), min: 1, max: 60_000},
		{field: "fleet.regions", value: float64(p.Fleet.Regions), min: 1, max: 4},
		{field: "control.controllers", value: float64(p.Control.Controllers), min: 1, max: 9},
		{field: "control.cores", value: p.Control.Cores, min: 0.01, max: 64},
		{field: "control.memory_mb", value: p.Control.MemoryMB, min: 16, max: 1 << 20},
		{field: "control.sockets", value: float64(p.Control.Sockets), min: 64, max: 1 << 20},
		{field: "control.restart_s", value: p.Control.RestartS, min: 0.1, max: day},
		{field: "state.rps", value: p.State.RPS, min: 5, max: 1e9},
		{field: "state.write_rps", value: p.State.WriteRPS, min: 3, max: 1e9},
		{field: "state.value_kb", value: p.State.ValueKB, min: 1, max: 1e6},
		{field: "state.txn_ops", value: float64(p.State.TxnOps), min: 2, max: 1e6},
		{field: "state.latency_ms", value: p.State.LatencyMS, min: 0, max: 1e4},
		{field: "cloud.rps", value: p.Cloud.RPS, min: 0.1, max: 1e9},
		{field: "cloud.list_lag_s", value: p.Cloud.ListLagS, min: 0, max: 3600},
		{field: "workers.report_s", value: p.Workers.ReportS, min: 0.1, max: 3600},
		{field: "workers.lease_s", value: p.Workers.LeaseS, min: 1, max: 3600},
		{field: "workers.cancel_s", value: p.Workers.CancelS, min: p.Workers.LeaseS, max: day},
		{field: "workers.gang_wait_s", value: p.Workers.GangWaitS, min: 0.1, max: 3600},
		{field: "workers.gang_peer_s", value: p.Workers.GangPeerS, min: 0.1, max: 3600},
		{field: "copies.share", value: p.Copies.Share, min: 0, max: 1},
		{field: "copies.most", value: float64(p.Copies.Most), min: 0, max: 100},
		{field: "copies.min_s", value: p.Copies.MinS, min: 0, max: day},
		{field: "copies.max_s", value: p.Copies.MaxS, min: p.Copies.MinS, max: day},
		{field: "teams.count", value: float64(p.Teams.Count), min: 1, max: 10_000},
		{field: "limits.memory_share", value: p.Limits.MemoryShare, min: 0.01, max: maxMemoryShare},
		{field: "limits.processes", value: float64(p.Limits.Processes), min: 2, max: maxProcesses},
	}
}

func (p *Plan) checkFleet() error {
	if err := p.checkZones(); err != nil {
		return err
	}
	if p.Fleet.Workers < p.Fleet.Regions*len(p.Fleet.Zones) {
		return planError("fleet.workers", "%d workers are fewer than the %d zones of all regions", p.Fleet.Workers, p.Fleet.Regions*len(p.Fleet.Zones))
	}
	return p.checkTypes()
}

func (p *Plan) checkZones() error {
	if len(p.Fleet.Zones) == 0 {
		return planError("fleet.zones", "at least one zone is required")
	}
	seen := map[string]bool{}
	for _, zone := range p.Fleet.Zones {
		if zone == "" || seen[zone] {
			return planError("fleet.zones", "zone name %q is empty or a duplicate", zone)
		}
		seen[zone] = true
	}
	return nil
}

// shareSlack is the tolerance for rounding errors in the sum of the machine types' shares.
const shareSlack = 1e-6

func (p *Plan) checkTypes() error {
	if len(p.Fleet.Types) == 0 {
		return planError("fleet.types", "at least one machine type is required")
	}
	sum := 0.0
	for i, t := range p.Fleet.Types {
		field := fmt.Sprintf("fleet.types[%d]", i)
		if t.Name == "" {
			return planError(field+".name", "missing")
		}
		if !positive(t.Share, t.Cores, t.MemoryGB, t.FetchGBPerS, t.Price, t.BootS) || !(t.Accelerators >= 0 && t.CacheGB >= 0) {
			return planError(field, "share, cores, memory_gb, fetch_gb_per_s, price and boot_s must be more than 0, accelerators and cache_gb 0 or more")
		}
		sum += t.Share
	}
	if sum < 1-shareSlack || sum > 1+shareSlack {
		return planError("fleet.types", "the shares add up to %v, not 1", sum)
	}
	return nil
}

// positive reports whether all values are more than 0; NaN is not.
func positive(values ...float64) bool {
	for _, v := range values {
		if !(v > 0) {
			return false
		}
	}
	return true
}

// Allowed values of a job class.
var (
	jobShapes     = []string{"batch", "service", "group"}
	jobPriorities = []string{"production", "high", "normal", "idle"}
)

const maxTasksPerJob = 100_000

func (p *Plan) checkLoad() error {
	if len(p.Load) == 0 {
		return planError("load", "at least one job class is required")
	}
	for i := range p.Load {
		field := fmt.Sprintf("load[%d]", i)
		if err := p.Load[i].checkKind(field); err != nil {
			return err
		}
		if err := p.Load[i].checkAmounts(field); err != nil {
			return err
		}
	}
	return nil
}

// checkKind checks the name, shape and priority of a job class.
func (l *LoadPlan) checkKind(field string) error {
	switch {
	case l.Name == "":
		return planError(field+".name", "missing")
	case !slices.Contains(jobShapes, l.Shape):
		return planError(field+".shape", "%q is not batch, service or group", l.Shape)
	case !slices.Contains(jobPriorities, l.Priority):
		return planError(field+".priority", "%q is not production, high, normal or idle", l.Priority)
	}
	return nil
}

// checkAmounts checks the numeric settings of a job class.
func (l *LoadPlan) checkAmounts(field string) error {
	switch {
	case l.Tasks < 1 || l.Tasks > maxTasksPerJob:
		return planError(field+".tasks", "%d is not between 1 and %d", l.Tasks, maxTasksPerJob)
	case !positive(l.StartsPerS, l.RunS):
		return planError(field, "starts_per_s and run_s must be more than 0")
	case !positive(l.Cores, l.MemoryGB) || l.Accelerators < 0:
		return planError(field, "cores and memory_gb must be more than 0, accelerators 0 or more")
	case l.Images < 1 || !(l.ImageGB >= 0):
		return planError(field+".images", "%d is less than 1", l.Images)
	case !(l.Cancelled >= 0 && l.Cancelled <= 1):
		return planError(field+".cancelled", "%v is not between 0 and 1", l.Cancelled)
	}
	return nil
}
