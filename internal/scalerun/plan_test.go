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

func smallPlan(run, fleet, rest string) string {
	return "[run]\n" + run + "\n[fleet]\n" + fleet + "\n" + smallTypes + "\n" + rest + "\n" + smallLoad
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
		{"a zone twice", smallPlan("", `zones = ["a", "a"]`, ""), "fleet.zones"},
		{"no controllers", smallPlan("", "", "[control]\ncontrollers = 0"), "control.controllers"},
		{"memory over the bound", smallPlan("", "", "[limits]\nmemory_share = 0.9"), "limits.memory_share"},
		{"processes over the bound", smallPlan("", "", "[limits]\nprocesses = 1000"), "limits.processes"},
		{"unknown fault", smallPlan("", "", "[[faults]]\nkind = \"flood\""), "faults[0].kind"},
		{"more than all workers", smallPlan("", "", "[[faults]]\nkind = \"rack\"\nshare = 2.0"), "faults[0].share"},
		{"freeze without a length", smallPlan("", "", "[[faults]]\nkind = \"freeze_leader\"\nat_s = 1.0"), "faults[0].for_s"},
		{"fault after the end", smallPlan("", "", "[[faults]]\nkind = \"kill_leader\"\nat_s = 1e6"), "faults[0].at_s"},
		{"shares below 1", strings.Replace(good, "share = 1.0", "share = 0.5", 1), "fleet.types"},
		{"unknown shape", strings.Replace(good, `shape = "batch"`, `shape = "cube"`, 1), "load[0].shape"},
		{"unknown priority", strings.Replace(good, `priority = "normal"`, `priority = "or"`, 1), "load[0].priority"},
		{"no load", "[fleet]\n" + smallTypes, "load"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParsePlan(tc.text)
			var planErr *PlanError
			if !errors.As(err, &planErr) || planErr.Field != tc.field || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want one line that names %s", err, tc.field)
			}
		})
	}
	if _, err := ParsePlan(good); err != nil {
		t.Errorf("a plan in order: %v", err)
	}
}

// A plan that this machine has no room for is refused with the figure.
func TestPlanThatIsTooLargeIsRefused(t *testing.T) {
	plan := func(change func(*Plan)) error {
		p, err := ParsePlan(smallPlan("base_port = 32000", "", ""))
		if err != nil {
			t.Fatal(err)
		}
		change(p)
		return p.CheckMachine()
	}
	if err := plan(func(p *Plan) { p.Control.MemoryMB = 1 << 20 }); !errors.Is(err, errMemory) {
		t.Errorf("a terabyte for each controller: %v", err)
	}
	if err := plan(func(p *Plan) { p.Limits.Processes = 2 }); !errors.Is(err, errProcesses) {
		t.Errorf("more processes than it may: %v", err)
	}
	if err := plan(func(p *Plan) { p.Fleet.Workers, p.Limits.MemoryShare = 1<<30, 0.5; p.Control.MemoryMB = 16 }); !errors.Is(err, errMemory) && !errors.Is(err, errFiles) {
		t.Errorf("a thousand million workers: %v", err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	})
	port := l.Addr().(*net.TCPAddr).Port
	err = plan(func(p *Plan) { p.Run.BasePort = port })
	if err == nil || !strings.Contains(err.Error(), fmt.Sprint(port)) {
		t.Errorf("a port in use: %v", err)
	}
}

// Scaling and dividing change what they say and nothing else.
func TestPlanIsScaledAndDivided(t *testing.T) {
	p, err := ParsePlan(smallPlan("", "workers = 400\nregions = 4", "[teams]\ncount = 100"))
	if err != nil {
		t.Fatal(err)
	}
	rate := p.State.WriteRPS
	if err := p.Divide(1); err != nil || p.State.WriteRPS != rate || p.regionWorkers(0) != 400 {
		t.Errorf("one region takes %v changes a second, each of four took %v: %v", p.State.WriteRPS, rate, err)
	}
	if p.Divide(5) == nil {
		t.Error("divided into five regions")
	}
	if err := p.Divide(4); err != nil {
		t.Fatal(err)
	}
	if err := p.Scale(0.5); err != nil || p.Fleet.Workers != 200 || p.Teams.Count != 50 || p.Load[0].StartsPerS != 2 {
		t.Errorf("half of it: %+v, %v", p.Fleet, err)
	}
	if p.Scale(0) == nil {
		t.Error("scaled to nothing")
	}
}
