package main

import "time"

// landlordSite returns the settings of the site bhk-claybarrow, "Shared Landlord Credit Check Platform, Budapest".
func landlordSite() *site {
	s := &site{
		zones:   []string{"budapest-east", "gyor-west", "pecs-south"},
		reportS: 3, leaseS: 16, cancelS: 46,
		state:    stateLimits{rps: 200, writeRPS: 60, valueKB: 8, txnOps: 24},
		cloudRPS: 8, listLagS: 5, cores: 0.18, memMB: 125, fdLimit: 1200, clockMS: 5, restartTime: 3 * time.Second,
		flavours: []flavour{
			{Name: "tisza-small", Cores: 4, RAMGB: 8, LocalGB: 35, PullGBPerS: 0.2, Rate: 0.19, LowPrice: 0.08, StartupS: 35,
				Yards: []string{"budapest-east", "gyor-west", "pecs-south"}},
			{Name: "tisza-mid", Cores: 16, RAMGB: 64, LocalGB: 30, PullGBPerS: 0.6, Rate: 0.86, LowPrice: 0.35, StartupS: 35,
				Yards: []string{"gyor-west", "pecs-south"}},
		},
	}
	for _, name := range []string{"pest-credit", "buda-reference", "debrecen-risk", "shared-platform", "compliance-desk", "intake-services"} {
		s.teams = append(s.teams, map[string]any{"name": name, "cpus": 56.0, "cpus_max": 152.0, "gpus": 8.0, "gpus_max": 24.0})
	}
	s.objectives = []map[string]any{{"kind": "wait", "class": "intake-gateway", "within_s": 1.0, "share": 0.94}}
	return s
}

// landlordNextSite returns the settings of the site bhk-claybarrow-next, whose state service lowers its limits.
func landlordNextSite() *site {
	s := landlordSite()
	s.nextState = &stateLimits{rps: 200, writeRPS: 42, valueKB: 2, txnOps: 8}
	return s
}

// parkingSite returns the settings of the site ippa-claybarrow-grown in its small form, with three controllers.
func parkingSite() *site {
	s := &site{
		zones:   []string{"dublin-north", "cork-harbour", "shannon-west"},
		reportS: 1, leaseS: 10, cancelS: 35,
		state:    stateLimits{rps: 150, writeRPS: 50, valueKB: 16, txnOps: 32},
		cloudRPS: 8, listLagS: 5, cores: 0.144, memMB: 98, fdLimit: 600, clockMS: 25, restartTime: 6 * time.Second,
	}
	s.flavours = []flavour{{Name: "kerry-gpu96", Cores: 96, Accelerators: 8, RAMGB: 768, LocalGB: 400, PullGBPerS: 4.6, Rate: 21.51, LowPrice: 9.06,
		StartupS: 50, Yards: s.zones}}
	for _, team := range []struct {
		name      string
		gpus, max float64
	}{{"appeals-desk", 48, 392}, {"permits-unit", 24, 48}, {"fines-casework", 16, 80}, {"meter-data", 40, 96}, {"platform-ops", 24, 232}, {"council-liaison", 48, 232}} {
		s.teams = append(s.teams, map[string]any{"name": team.name, "cpus": 0.0, "cpus_max": 0.0, "gpus": team.gpus, "gpus_max": team.max})
	}
	s.objectives = []map[string]any{{"kind": "wait", "class": "penalty-batch", "within_s": 150.0, "share": 0.92}}
	return s
}
