package config

import (
	"strings"
	"testing"
	"time"
)

// Settings of failure detection that are out of range or contradict one another end the start with
// one line that names the field.
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
			_, err := Parse(platform(t, nil), []byte("[membership]\n"+text+"\n"))
			if err == nil || !strings.Contains(err.Error(), field) {
				t.Error(err)
			}
		})
	}
}

func TestMembershipTimesRise(t *testing.T) {
	cfg, err := Parse(platform(t, nil), []byte("[membership]\nenabled = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	rising := []time.Duration{cfg.ProbeTimeout(), cfg.ProbeInterval(), cfg.LeaderLease(), cfg.SuspicionTimeout(), cfg.RejoinMinUptime()}
	for i := range len(rising) - 1 {
		if rising[i] >= rising[i+1] {
			t.Errorf("timeout, interval, lease, suspicion and steady do not rise: %v", rising)
		}
	}
}
