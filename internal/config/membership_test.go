package config

import (
	"strings"
	"testing"
	"time"
)

// Settings of the failure detector that are out of range or conflict with each other give an error that names the
// field.
func TestInvalidMembershipSettings(t *testing.T) {
	for text, field := range map[string]string{
		"probe = 0.0":                  "membership.probe",
		"probe = -1.0":                 "membership.probe",
		"timeout = nan":                "membership.timeout",
		"timeout = 0.5":                "membership.timeout: 0.5 is longer than membership.probe",
		"suspicion = 0.1":              "membership.suspicion",
		"suspicion = 3.0":              "membership.suspicion: 3 leader's leases are up to 13.5s, longer than the workers' lease of 10s",
		"steady = 1e9":                 "membership.steady",
		"colour = 1":                   "membership.colour",
		"enabled = \"yes\"":            "membership",
		"probe = 0.2\nprobe = 0.3":     "probe",
		"[telemetry]\nmetrics = 1":     "telemetry",
		"[telemetry]\ntrace_file = 1":  "telemetry",
		"[fleet]\nmachines = -1":       "fleet.machines",
		"[fleet]\nmachines = 99999999": "fleet.machines",
	} {
		t.Run(text, func(t *testing.T) {
			_, err := Parse(platformFile(t, nil), []byte("[membership]\n"+text+"\n"))
			if err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("error %v, want one that contains %q", err, field)
			}
		})
	}
}

func TestMembershipDurationsIncrease(t *testing.T) {
	cfg, err := Parse(platformFile(t, nil), []byte("[membership]\nenabled = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	durations := []time.Duration{cfg.ProbeTimeout(), cfg.ProbeInterval(), cfg.LeaderLease(), cfg.SuspicionTimeout(), cfg.RejoinDelay()}
	for i := range len(durations) - 1 {
		if durations[i] >= durations[i+1] {
			t.Errorf("probe timeout, probe interval, leader's lease, suspicion timeout and rejoin delay do not increase: %v", durations)
		}
	}
}
