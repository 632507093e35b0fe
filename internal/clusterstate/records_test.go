package clusterstate

import (
	"encoding/hex"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"claybarrow/internal/protocol"
)

// The bytes were written by the version in production (686f0af) and by the version before it (4297efa). Both wrote
// the same bytes for each record, except that 4297efa has no gangs. This version must decode these bytes to the
// expected records and encode the records to the same bytes, so that each version reads what the others write.
func TestRecordsOfOlderVersions(t *testing.T) {
	service := &protocol.JobSpec{UID: "j-000413", Class: "web", Team: "search", Service: true, Priority: protocol.PriorityProduction, Tasks: 2,
		Cores: 2, MemoryGB: 2.8, Image: "img-1", ImageGB: 0.6, Spread: true}
	gang := &protocol.JobSpec{UID: "j-000414", Class: "pair", Team: "search", Gang: true, Priority: protocol.PriorityNormal, Tasks: 4,
		Cores: 2, MemoryGB: 3.2, Image: "img-2", ImageGB: 1, OneZone: true, EstimateS: 30, CheckpointS: 20, SaveS: 2}
	spec := &protocol.JobSpec{UID: "j-000412", Class: "train", Team: "vision", Priority: protocol.PriorityHigh, Tasks: 16, Cores: 8, Accelerators: 1, MemoryGB: 64,
		Image: "img-07", ImageGB: 6.2, Types: []string{"g8"}, Zone: "a", OneZone: true, Spot: true, EstimateS: 240, CheckpointS: 30, SaveS: 4, DeadlineS: 900}
	for name, tc := range map[string]struct {
		wrote string
		want  any
		into  any
	}{
		"job": {"82a174cf0000018bcfe5687ba16ade0012a175a86a2d303030343132a163a5747261696ea16fa6766973696f6ea17002a16e10a26363cb4020000000000000a26361cb3ff0000000000000a2636dcb4050000000000000a169a6696d672d3037a26967cb4018cccccccccccda2747991a26738a17aa161a2747ac3a2626fc3a165cb406e000000000000a26370cb403e000000000000a27376cb4010000000000000a164cb408c200000000000",
			&JobRecord{Submitted: 1700000000123, Spec: spec}, &JobRecord{}},
		"service": {"82a174cf0000018bcfe5687ba16a8ba175a86a2d303030343133a163a3776562a16fa6736561726368a173c3a17003a16e02a26363cb4000000000000000a2636dcb4006666666666666a169a5696d672d31a26967cb3fe3333333333333a27370c3",
			&JobRecord{Submitted: 1700000000123, Spec: service}, &JobRecord{}},
		"gang": {"82a174cf0000018bcfe5687ba16a8ea175a86a2d303030343134a163a470616972a16fa6736561726368a167c3a17001a16e04a26363cb4000000000000000a2636dcb400999999999999aa169a5696d672d32a26967cb3ff0000000000000a2747ac3a165cb403e000000000000a26370cb4034000000000000a27376cb4000000000000000",
			&JobRecord{Submitted: 1700000000123, Spec: gang}, &JobRecord{}},
		"cancelling": {"83a173aa63616e63656c6c696e67a174cf0000018bcfe5687ba16ade0012a175a86a2d303030343132a163a5747261696ea16fa6766973696f6ea17002a16e10a26363cb4020000000000000a26361cb3ff0000000000000a2636dcb4050000000000000a169a6696d672d3037a26967cb4018cccccccccccda2747991a26738a17aa161a2747ac3a2626fc3a165cb406e000000000000a26370cb403e000000000000a27376cb4010000000000000a164cb408c200000000000",
			&JobRecord{State: Cancelling, Submitted: 1700000000123, Spec: spec}, &JobRecord{}},
		"done":      {"82a173a4646f6e65a16e10", &JobRecord{State: protocol.JobDone, Tasks: 16}, &JobRecord{}},
		"cancelled": {"81a173a761626f72746564", &JobRecord{State: protocol.JobCancelled}, &JobRecord{}},
		"machine": {"86a179a26738a17aa161a162c3a161ad31302e312e302e313a39303030a172c3a1749193a86a2d30303034313203ce07000005",
			&MachineRecord{Type: "g8", Zone: "a", Spot: true, Addr: "10.1.0.1:9000", Return: true,
				Attempts: []AttemptEntry{{Job: "j-000412", Index: 3, Try: 7<<24 | 5}}}, &MachineRecord{}},
		"completions": {"81a162a44351413d", &CompletionRecord{Bits: "CQA="}, &CompletionRecord{}},
		"counters": {"82a174cf0000018bcfe5687ba16a81a86a2d30303034313297cb3ff8000000000000c30203cb3fe0000000000000cb3fd0000000000000cb3feccccccccccccd",
			&Counters{At: 1700000000123, Jobs: map[string]CounterRow{"j-000412": {Attained: 1.5, Upper: true, Slots: 2, DoneAt: 3, AttainedAt: 0.5,
				First: 0.25, Degr: 0.9}}}, &Counters{}},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := hex.DecodeString(tc.wrote)
			if err != nil {
				t.Fatal(err)
			}
			if err := protocol.Decode(raw, tc.into); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, tc.into, cmpopts.IgnoreUnexported(AttemptEntry{}, CounterRow{})); diff != "" {
				t.Errorf("decoded record differs (-want +got):\n%s", diff)
			}
			if got := hex.EncodeToString(protocol.Encode(tc.want)); got != tc.wrote {
				t.Errorf("encoded to other bytes: %s", got)
			}
		})
	}
}

// A record of a later version is decoded although it has unknown fields and an unknown state.
func TestRecordsOfALaterVersion(t *testing.T) {
	later := protocol.Encode(map[string]any{"s": "resting", "t": 5, "x": map[string]any{"y": 1},
		"j": map[string]any{"u": "j-1", "c": "train", "o": "vision", "p": 1, "n": 2, "cc": 1.0, "cm": 1.0, "i": "img", "ig": 1.0, "g": true, "zz": []int{1}}})
	var rec JobRecord
	if err := protocol.Decode(later, &rec); err != nil || rec.Spec == nil || rec.Spec.UID != "j-1" || !rec.Spec.Gang || rec.State != "resting" {
		t.Errorf("decoded as %+v, error %v", rec, err)
	}
}
