package membership

import (
	"encoding/hex"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards the encoding of messages. Later versions must decode these bytes to the same messages, and must encode the
// messages to the same bytes as long as ProtocolVersion is unchanged.
func TestMessageWireFormat(t *testing.T) {
	probe := Probe{Version: 1, From: "n1", Incarnation: 1_700_000_000_001, Sequence: 7, Target: "n2", Claims: []Claim{{Label: "n2", State: Suspect, Incarnation: 9}}}
	reply := ProbeReply{Version: 1, From: "n2", Incarnation: 5, Sequence: 7, Reached: true, TargetIncarnation: 9, Claims: []Claim{{Label: "n0", State: Left, Incarnation: 3}}}
	for name, tc := range map[string]struct {
		encoded    string // hexadecimal
		want, into any
	}{
		"probe":                   {"a6010102626e31031b0000018bcfe56801040705626e320681a301626e3202010309", &probe, &Probe{}},
		"reply":                   {"a7010102626e320305040705f506090781a301626e3002030303", &reply, &ProbeReply{}},
		"without optional fields": {"a4010102626e3103020403", &Probe{Version: 1, From: "n1", Incarnation: 2, Sequence: 3}, &Probe{}},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := hex.DecodeString(tc.encoded)
			if err != nil {
				t.Fatal(err)
			}
			if err := decode(raw, tc.into); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, tc.into); diff != "" {
				t.Errorf("decoded (-want +got):\n%s", diff)
			}
			if got := hex.EncodeToString(encode(tc.want)); got != tc.encoded {
				t.Errorf("encoded as %s, want %s", got, tc.encoded)
			}
		})
	}
	// Unknown fields of later versions are ignored.
	if p, err := decodeMessage[Probe](encode(map[int]any{1: 1, 2: "n1", 3: 2, 4: 3, 99: "later"})); err != nil || p.From != "n1" {
		t.Errorf("a probe with an unknown field was decoded as %+v, error %v", p, err)
	}
}
