package ledger

import (
	"encoding/hex"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"claybarrow/internal/protocol"
)

// What the version in production writes, byte by byte, as that version wrote it.
// The same is read back, and what we write of the same is the same: so either
// version reads the other's.
func TestRecordsOfTheProductionVersion(t *testing.T) {
	spec := &protocol.Spec{UID: "j-000412", Class: "train", Team: "vision", Priority: protocol.High, Tasks: 16, Cores: 8, Accelerators: 1, MemoryGB: 64,
		Image: "img-07", ImageGB: 6.2, Types: []string{"g8"}, Zone: "a", OneZone: true, Spot: true, EstimateS: 240, CheckpointS: 30, SaveS: 4, DeadlineS: 900}
	for name, tc := range map[string]struct {
		wrote string
		want  any
		into  any
	}{
		"job": {"82a174cf0000018bcfe5687ba16ade0012a175a86a2d303030343132a163a5747261696ea16fa6766973696f6ea17002a16e10a26363cb4020000000000000a26361cb3ff0000000000000a2636dcb4050000000000000a169a6696d672d3037a26967cb4018cccccccccccda2747991a26738a17aa161a2747ac3a2626fc3a165cb406e000000000000a26370cb403e000000000000a27376cb4010000000000000a164cb408c200000000000",
			&JobRecord{Submitted: 1700000000123, Spec: spec}, &JobRecord{}},
		"cancelling": {"83a173aa63616e63656c6c696e67a174cf0000018bcfe5687ba16ade0012a175a86a2d303030343132a163a5747261696ea16fa6766973696f6ea17002a16e10a26363cb4020000000000000a26361cb3ff0000000000000a2636dcb4050000000000000a169a6696d672d3037a26967cb4018cccccccccccda2747991a26738a17aa161a2747ac3a2626fc3a165cb406e000000000000a26370cb403e000000000000a27376cb4010000000000000a164cb408c200000000000",
			&JobRecord{State: Cancelling, Submitted: 1700000000123, Spec: spec}, &JobRecord{}},
		"done":      {"82a173a4646f6e65a16e10", &JobRecord{State: protocol.Done, Tasks: 16}, &JobRecord{}},
		"cancelled": {"81a173a761626f72746564", &JobRecord{State: protocol.Cancelled}, &JobRecord{}},
		"machine": {"86a179a26738a17aa161a162c3a161ad31302e312e302e313a39303030a172c3a1749193a86a2d30303034313203ce07000005",
			&MachineRecord{Type: "g8", Zone: "a", Spot: true, Addr: "10.1.0.1:9000", Return: true,
				Attempts: []AttemptEntry{{Job: "j-000412", Index: 3, Try: 7<<24 | 5}}}, &MachineRecord{}},
		"completions": {"81a162a44351413d", &DoneRecord{Bits: "CQA="}, &DoneRecord{}},
		"counters": {"82a174cf0000018bcfe5687ba16a81a86a2d30303034313297cb3ff8000000000000c30203cb3fe0000000000000cb3fd0000000000000cb3feccccccccccccd",
			&Counters{At: 1700000000123, Jobs: map[string]CounterRow{"j-000412": {Attained: 1.5, Upper: true, Slots: 2, DoneAt: 3, AttainedAt: 0.5,
				First: 0.25, Degr: 0.9}}}, &Counters{}},
	} {
		raw, err := hex.DecodeString(tc.wrote)
		if err != nil {
			t.Fatal(err)
		}
		if err := protocol.Decode(raw, tc.into); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if diff := cmp.Diff(tc.want, tc.into, cmpopts.IgnoreUnexported(AttemptEntry{}, CounterRow{})); diff != "" {
			t.Errorf("%s is read as (-want +got):\n%s", name, diff)
		}
		if got := hex.EncodeToString(protocol.Encode(tc.want)); got != tc.wrote {
			t.Errorf("%s is written as %s", name, got)
		}
	}
}

// A record with fields and a state that are not known yet is read all the same.
func TestRecordsOfALaterVersion(t *testing.T) {
	later := protocol.Encode(map[string]any{"s": "resting", "t": 5, "x": map[string]any{"y": 1},
		"j": map[string]any{"u": "j-1", "c": "train", "o": "vision", "p": 1, "n": 2, "cc": 1.0, "cm": 1.0, "i": "img", "ig": 1.0, "g": true, "zz": []int{1}}})
	var rec JobRecord
	if err := protocol.Decode(later, &rec); err != nil || rec.Spec == nil || rec.Spec.UID != "j-1" || !rec.Spec.Gang || rec.State != "resting" {
		t.Errorf("read as %+v, %v", rec, err)
	}
}

// A lower limit on values to come changes nothing in the meaning of stored keys,
// and all records that are written are within it.
func TestLowerLimitsKeepTheLayout(t *testing.T) {
	b := New(8 << 10)
	j := b.AddJob(&protocol.Spec{UID: "j-1", Tasks: 3000}, 1)
	j.MarkDone(2999)
	if key := b.DoneKey(j, 2999); key != "d/j-1/0" {
		t.Errorf("key %s", key)
	}
	if n := len(protocol.Encode(b.DoneChunk(j, 2999))); n > 2<<10 {
		t.Errorf("%d bytes", n)
	}
}
