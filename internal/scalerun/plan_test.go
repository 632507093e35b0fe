package scalerun

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
)

const smallTypes = `types = [{ name = "m", share = 1.0, cores = 8.0, memory_gb = 32.0, cache_gb = 50.0, fetch_gb_per_s = 1.0, price = 1.0, boot_s = 10.0 }]`

const smallLoad = `[[load]]
name = "work"
shape = "batch"
priority = "normal"
starts_per_s = 4.0
tasks = 2
run_s = 1.0
cores = 1.0
memory_gb = 1.0
images = 1
`

func smallPlan(run, fleet, sections string) string {
	return "[run]\n" + run + "\n[fleet]\n" + fleet + "\n" + smallTypes + "\n" + sections + "\n" + smallLoad
}

func TestPlanErrorNamesTheSetting(t *testing.T) {
	good := smallPlan("", "", "")
	for _, tc := range []struct{ name, text, field string }{
		{"no workers", smallPlan("", "workers = 0", ""), "fleet.workers"},
		{"negative workers", smallPlan("", "workers = -5", ""), "fleet.workers"},
		{"fewer workers than zones", smallPlan("", "workers = 2", ""), "fleet.workers"},
		{"too many regions", smallPlan("", "regions = 5", ""), "fleet.regions"},
		{"no duration", smallPlan("duration_s = 0.0", "", ""), "run.duration_s"},
		{"unknown key", smallPlan("colour = 1", "", ""), "run.colour"},
		{"duplicate zone", smallPlan("", `zones = ["a", "a"]`, ""), "fleet.zones"},
		{"no controllers", smallPlan("", "", "[control]\ncontrollers = 0"), "control.controllers"},
		{"memory over the bound", smallPlan("", "", "[limits]\nmemory_share = 0.9"), "limits.memory_share"},
		{"processes over the bound", smallPlan("", "", "[limits]\nprocesses = 1000"), "limits.processes"},
		{"unknown fault", smallPlan("", "", "[[faults]]\nkind = \"flood\""), "faults[0].kind"},
		{"share above 1", smallPlan("", "", "[[faults]]\nkind = \"rack\"\nshare = 2.0"), "faults[0].share"},
		{"freeze without a duration", smallPlan("", "", "[[faults]]\nkind = \"freeze_leader\"\nat_s = 1.0"), "faults[0].for_s"},
		{"fault after the end of the run", smallPlan("", "", "[[faults]]\nkind = \"kill_leader\"\nat_s = 1e6"), "faults[0].at_s"},
		{"shares below 1", strings.Replace(good, "share = 1.0", "share = 0.5", 1), "fleet.types"},
		{"unknown shape", strings.Replace(good, `shape = "batch"`, `shape = "cube"`, 1), "load[0].shape"},
		{"unknown priority", strings.Replace(good, `priority = "normal"`, `priority = "or"`, 1), "load[0].priority"},
		{"no load", "[fleet]\n" + smallTypes, "load"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParsePlan(tc.text)
			var planErr *PlanError
			if !errors.As(err, &planErr) || planErr.Field != tc.field || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want a one-line *PlanError for %s", err, tc.field)
			}
		})
	}
	if _, err := ParsePlan(good); err != nil {
		t.Errorf("valid plan rejected: %v", err)
	}
}

// CheckMachine rejects a plan that exceeds the host's memory, processes or open files, or whose ports are in use.
func TestPlanThatIsTooLargeIsRefused(t *testing.T) {
	checkChanged := func(change func(*Plan)) error {
		p, err := ParsePlan(smallPlan("base_port = 32000", "", ""))
		if err != nil {
			t.Fatal(err)
		}
		change(p)
		return p.CheckMachine()
	}
	if err := checkChanged(func(p *Plan) { p.Control.MemoryMB = 1 << 20 }); !errors.Is(err, errMemory) {
		t.Errorf("a terabyte of memory for each controller: error %v, want errMemory", err)
	}
	if err := checkChanged(func(p *Plan) { p.Limits.Processes = 2 }); !errors.Is(err, errProcesses) {
		t.Errorf("more processes than limits.processes: error %v, want errProcesses", err)
	}
	if err := checkChanged(func(p *Plan) { p.Fleet.Workers, p.Limits.MemoryShare = 1<<30, 0.5; p.Control.MemoryMB = 16 }); !errors.Is(err, errMemory) && !errors.Is(err, errFiles) {
		t.Errorf("2^30 workers: error %v, want errMemory or errFiles", err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	})
	port := listener.Addr().(*net.TCPAddr).Port
	err = checkChanged(func(p *Plan) { p.Run.BasePort = port })
	if err == nil || !strings.Contains(err.Error(), fmt.Sprint(port)) {
		t.Errorf("port %d in use: error %v, want one that names the port", port, err)
	}
}

// Scale changes the workers, teams and load; Divide changes the number of regions. Neither changes the rate limits.
func TestPlanIsScaledAndDivided(t *testing.T) {
	p, err := ParsePlan(smallPlan("", "workers = 400\nregions = 4", "[teams]\ncount = 100"))
	if err != nil {
		t.Fatal(err)
	}
	rate := p.State.WriteRPS
	if err := p.Divide(1); err != nil || p.State.WriteRPS != rate || p.regionWorkers(0) != 400 {
		t.Errorf("divided into one region: state.write_rps %v, before %v; error %v", p.State.WriteRPS, rate, err)
	}
	if p.Divide(5) == nil {
		t.Error("Divide accepted five regions, more than the maximum")
	}
	if err := p.Divide(4); err != nil {
		t.Fatal(err)
	}
	if err := p.Scale(0.5); err != nil || p.Fleet.Workers != 200 || p.Teams.Count != 50 || p.Load[0].StartsPerS != 2 {
		t.Errorf("scaled by 0.5: fleet %+v, error %v", p.Fleet, err)
	}
	if p.Scale(0) == nil {
		t.Error("Scale accepted the factor 0")
	}
}
