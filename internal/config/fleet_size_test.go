package config

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// sized returns the settings of a controller in a fleet whose guarantees fill so many machines.
func sized(t *testing.T, machines int, cores, rps float64, operator string) *Config {
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

// The leader's lease outlasts a failover with the whole fleet, whatever the resources allow beside it.
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
		// Never beyond what the workers' leases allow.
		{5500, 0.1, 14_000, "", 4650 * time.Millisecond, 4650 * time.Millisecond, 5501},
	} {
		t.Run(fmt.Sprintf("%d machines, %v cores, %v requests/s, %q", tc.machines, tc.cores, tc.rps, tc.operator), func(t *testing.T) {
			cfg := sized(t, tc.machines, tc.cores, tc.rps, tc.operator)
			if got := cfg.LeaderLease(); got < tc.min || got > tc.max {
				t.Errorf("the leader's lease is %v, not %v to %v", got, tc.min, tc.max)
			}
			if got := cfg.FleetSize(); got != tc.fleetSize {
				t.Errorf("the fleet's size is %d, want %d", got, tc.fleetSize)
			}
		})
	}
}

// What the settings can't carry is said with the field and with what would do.
func TestWarnings(t *testing.T) {
	if w := sized(t, 4000, 1, 350, "").Warnings(); len(w) > 0 {
		t.Errorf("settings that carry 4,000 machines: %v", w)
	}
	cfg := sized(t, 4000, 0.3, 350, "")
	cfg.Cluster.Resources.FDs, cfg.Cluster.Resources.MemMB = 2061, 150
	cfg.Cluster.State.WriteRPS, cfg.Cluster.Cloud.RPS = 120, 0.5
	all := strings.Join(cfg.Warnings(), "\n")
	for _, field := range []string{"fd_limit", "mem_mb", "resources.cores", "write_rps", "cloud.rps"} {
		if !strings.Contains(all, field) {
			t.Errorf("no warning of %s in:\n%s", field, all)
		}
	}
	cfg.Cluster.Workers.LeaseS = 10
	if all := strings.Join(cfg.Warnings(), "\n"); !strings.Contains(all, "lease_s") {
		t.Errorf("no warning of a lease that is too short:\n%s", all)
	}
}

// A short lease needs more changes a second than the burst of a start: each machine's record is
// changed at least once while the leases that a former leader gave run out.
func TestWarningOfFewChangesForTheLease(t *testing.T) {
	cfg := sized(t, 1080, 1, 350, "")
	cfg.Cluster.State.WriteRPS, cfg.Cluster.Workers.LeaseS = 60, 31
	if all := strings.Join(cfg.Warnings(), "\n"); strings.Contains(all, "write_rps") {
		t.Errorf("18 s of changes in a lease of 31 s:\n%s", all)
	}
	cfg.Cluster.Workers.LeaseS = 12
	if all := strings.Join(cfg.Warnings(), "\n"); !strings.Contains(all, "write_rps: 60 is little for 1081 machines, 72.07 would do") {
		t.Errorf("18 s of changes in a lease of 12 s:\n%s", all)
	}
}
