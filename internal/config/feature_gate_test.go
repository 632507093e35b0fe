package config

import (
	"os"
	"strings"
	"testing"
)

// Warnings state in which order the operators' file and the program must change in an upgrade, and which settings
// keep the feature gate closed. They do not prevent a controller from starting.
func TestFeatureGateWarnings(t *testing.T) {
	const order, waits, needs = "in an upgrade the program changes first", "waits while upgrade.hold is true", "the feature gate needs 3"
	deployed, err := os.ReadFile("../../deploy/endjournal.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name     string
		operator string
		txnOps   int
		want     []string
	}{
		{"no file", "", 24, nil},
		{"another section", "[membership]\nenabled = true\n", 24, nil},
		{"deployed file", string(deployed), 24, []string{order}},
		{"hold", "[upgrade]\nhold = true\n", 24, []string{order}},
		{"hold and journal", "[upgrade]\nhold = true\n[end_journal]\nenabled = true\n", 24, []string{order, waits}},
		{"small transactions", "[end_journal]\nenabled = true\n", 2, []string{order, needs}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := parseFleetConfig(t, 100, 1, 350, tc.operator)
			cfg.Cluster.State.TxnOps = tc.txnOps
			warnings := strings.Join(cfg.featureGateWarnings(), "\n")
			for _, text := range []string{order, waits, needs} {
				want := strings.Contains(strings.Join(tc.want, "\n"), text)
				if strings.Contains(warnings, text) != want {
					t.Errorf("the warnings contain %q: %v", text, !want)
				}
			}
		})
	}
}

func TestInvalidUpgradeSettings(t *testing.T) {
	for _, operator := range []string{"[upgrade]\nheld = true\n", "[end_journal]\non = true\n", "[end_journal]\nenabled = \"yes\"\n"} {
		t.Run(operator, func(t *testing.T) {
			if _, err := Parse(platformFile(t, nil), []byte(operator)); err == nil {
				t.Error("an invalid operators' file was accepted")
			}
		})
	}
}
