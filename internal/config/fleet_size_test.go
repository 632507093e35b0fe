package config

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// parseFleetConfig returns the settings of a controller in a fleet whose guarantees fill the given
// number of machines.
func parseFleetConfig(t *testing.T, machines int, cores, rps float64, operator string) *Config {
	t.Helper()
	cfg, err := Parse([]byte(fmt.Sprintf(`{"label":"n0","zone":"a","client_listen":"10.0.0.1:2","peer_listen":"10.0.0.1:1",
	"siblings":[{"label":"n1","zone":"b","peer_addr":"10.0.0.2:1"},{"label":"n2","zone":"c","peer_addr":"10.0.0.3:1"}],
	"services":{"cloud":"10.9.0.1:1","state":"10.9.0.2:1"},
	"cluster":{"teams":[{"name":"red","cpus":%d,"cpus_max":1e6}],
	"workers":{"report_s":6,"lease_s":31,"cancel_s":61,"gang_wait_s":30,"gang_peer_s":5},
	"state":{"rps":%v,"write_rps":4000,"value_kb":8,"txn_ops":24},"cloud":{"rps":12,"list_lag_s":5},
	"resources":{"cores":%v,"mem_mb":800,"fd_limit":16000}}}`, machines*16, rps, cores)), []byte(operator))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// The leader's lease is at least the takeover duration of the whole fleet, within the bound from the workers'
// lease.
func TestLeaderLeaseFollowsTheFleet(t *testing.T) {
	for _, tc := range []struct {
		machines  int
		cores     float64
		rps       float64
		operator  string
		min, max  time.Duration
		fleetSize int
	}{
		{48, 1, 14_000, "", 500 * time.Millisecond, 500 * time.Millisecond, 49},
		{1366, 1, 14_000, "", 500 * time.Millisecond, 500 * time.Millisecond, 1367},
		{4000, 1, 14_000, "", time.Second, 1010 * time.Millisecond, 4001},
		{5500, 1, 14_000, "", 1370 * time.Millisecond, 1380 * time.Millisecond, 5501},
		{5500, 1, 350, "", 1420 * time.Millisecond, 1430 * time.Millisecond, 5501},
		{48, 1, 14_000, "[fleet]\nmachines = 5500\n", 1370 * time.Millisecond, 1380 * time.Millisecond, 5500},
		// Bounded by 3/20 of the workers' lease.
		{5500, 0.1, 14_000, "", 4650 * time.Millisecond, 4650 * time.Millisecond, 5501},
	} {
		t.Run(fmt.Sprintf("%d machines, %v cores, %v requests/s, %q", tc.machines, tc.cores, tc.rps, tc.operator), func(t *testing.T) {
			cfg := parseFleetConfig(t, tc.machines, tc.cores, tc.rps, tc.operator)
			if got := cfg.LeaderLease(); got < tc.min || got > tc.max {
				t.Errorf("the leader's lease is %v, want %v to %v", got, tc.min, tc.max)
			}
			if got := cfg.FleetSize(); got != tc.fleetSize {
				t.Errorf("the fleet's size is %d, want %d", got, tc.fleetSize)
			}
		})
	}
}

// Each setting that is too low for the fleet gives a warning that names the field.
func TestWarnings(t *testing.T) {
	if w := parseFleetConfig(t, 4000, 1, 350, "").Warnings(); len(w) > 0 {
		t.Errorf("warnings for settings that suffice for 4,000 machines: %v", w)
	}
	cfg := parseFleetConfig(t, 4000, 0.3, 350, "")
	cfg.Cluster.Resources.FDs, cfg.Cluster.Resources.MemMB = 2061, 150
	cfg.Cluster.State.WriteRPS, cfg.Cluster.Cloud.RPS = 120, 0.5
	warnings := strings.Join(cfg.Warnings(), "\n")
	for _, field := range []string{"fd_limit", "mem_mb", "resources.cores", "write_rps", "cloud.rps"} {
		if !strings.Contains(warnings, field) {
			t.Errorf("no warning about %s in:\n%s", field, warnings)
		}
	}
	cfg.Cluster.Workers.LeaseS = 10
	if warnings := strings.Join(cfg.Warnings(), "\n"); !strings.Contains(warnings, "lease_s") {
		t.Errorf("no warning about a workers' lease that is too short:\n%s", warnings)
	}
}

// A short workers' lease may need a higher rate of changes than bursts of starts do: each machine's record is changed
// at least once until the leases that the previous leader granted have expired.
func TestWarningOfFewChangesForTheLease(t *testing.T) {
	cfg := parseFleetConfig(t, 1080, 1, 350, "")
	cfg.Cluster.State.WriteRPS, cfg.Cluster.Workers.LeaseS = 60, 31
	if warnings := strings.Join(cfg.Warnings(), "\n"); strings.Contains(warnings, "write_rps") {
		t.Errorf("warning although 18 s of changes fit into a lease of 31 s:\n%s", warnings)
	}
	cfg.Cluster.Workers.LeaseS = 12
	if warnings := strings.Join(cfg.Warnings(), "\n"); !strings.Contains(warnings, "write_rps: 60 is too low for 1081 machines, which need 72.07") {
		t.Errorf("no warning although 18 s of changes do not fit into a lease of 12 s:\n%s", warnings)
	}
}
