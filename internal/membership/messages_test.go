package membership

import (
	"encoding/hex"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// What this version sends, byte by byte: later ones have to read it as it was meant, and write the same as
// long as they say that they are of this version.
func TestMessageWireFormat(t *testing.T) {
	probe := Probe{Version: 1, From: "n1", Incarnation: 1_700_000_000_001, Sequence: 7, Target: "n2", Claims: []Claim{{Label: "n2", State: Suspect, Incarnation: 9}}}
	reply := ProbeReply{Version: 1, From: "n2", Incarnation: 5, Sequence: 7, Reached: true, TargetIncarnation: 9, Claims: []Claim{{Label: "n0", State: Left, Incarnation: 3}}}
	for name, tc := range map[string]struct {
		wrote      string
		want, into any
	}{
		"probe": {"a6010102626e31031b0000018bcfe56801040705626e320681a301626e3202010309", &probe, &Probe{}},
		"reply": {"a7010102626e320305040705f506090781a301626e3002030303", &reply, &ProbeReply{}},
		"least": {"a4010102626e3103020403", &Probe{Version: 1, From: "n1", Incarnation: 2, Sequence: 3}, &Probe{}},
	} {
		raw, err := hex.DecodeString(tc.wrote)
		if err != nil {
			t.Fatal(err)
		}
		if err := decode(raw, tc.into); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if diff := cmp.Diff(tc.want, tc.into); diff != "" {
			t.Errorf("%s is read as (-want +got):\n%s", name, diff)
		}
		if got := hex.EncodeToString(encode(tc.want)); got != tc.wrote {
			t.Errorf("%s is written as %s", name, got)
		}
	}
	// Fields of later versions are ignored.
	if p, err := decodeMessage[Probe](encode(map[int]any{1: 1, 2: "n1", 3: 2, 4: 3, 99: "later"})); err != nil || p.From != "n1" {
		t.Errorf("a later version's probe: %+v, %v", p, err)
	}
}
