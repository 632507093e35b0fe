package config

import (
	"os"
	"strings"
	"testing"
)

// check tells in which order file and program change, and where the gate stays closed whatever the
// controllers state. Nothing of it keeps a controller from starting.
func TestGateWarnings(t *testing.T) {
	const order, waits, needs = "in an upgrade the program changes first", "waits while upgrade.hold is true", "the feature gate needs 3"
	deployed, err := os.ReadFile("../../deploy/endjournal.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		operator string
		txnOps   int
		want     []string
	}{
		{"", 24, nil},
		{"[membership]\nenabled = true\n", 24, nil},
		{string(deployed), 24, []string{order}},
		{"[upgrade]\nhold = true\n", 24, []string{order}},
		{"[upgrade]\nhold = true\n[end_journal]\nenabled = true\n", 24, []string{order, waits}},
		{"[end_journal]\nenabled = true\n", 2, []string{order, needs}},
	} {
		cfg := sized(t, 100, 1, 350, c.operator)
		cfg.Cluster.State.TxnOps = c.txnOps
		told := strings.Join(cfg.featureGateWarnings(), "\n")
		for _, text := range []string{order, waits, needs} {
			want := strings.Contains(strings.Join(c.want, "\n"), text)
			if strings.Contains(told, text) != want {
				t.Errorf("%q: %q is told %v", c.operator, text, !want)
			}
		}
	}
	for _, unknown := range []string{"[upgrade]\nheld = true\n", "[end_journal]\non = true\n", "[end_journal]\nenabled = \"yes\"\n"} {
		if _, err := Parse(platform(t, nil), []byte(unknown)); err == nil {
			t.Errorf("%q is taken", unknown)
		}
	}
}
