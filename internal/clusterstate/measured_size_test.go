package clusterstate

import (
	"encoding/json"
	"testing"

	"claybarrow/internal/protocol"
)

// The record writer measures a value by its JSON encoding with the Go field names, and limits transactions by
// that size. Renaming a field therefore changes which records fit, although their stored form stays the same.
func TestMeasuredSizeOfRecords(t *testing.T) {
	for name, tc := range map[string]struct {
		record any
		want   string
	}{
		"job": {JobRecord{Spec: &protocol.JobSpec{}},
			`{"State":"","Tasks":0,"Submitted":0,"Spec":{"UID":"","Class":"","Team":"","Service":false,"Gang":false,"Priority":0,` +
				`"Tasks":0,"Cores":0,"Accelerators":0,"MemoryGB":0,"Image":"","ImageGB":0,"Types":null,"Zone":"","OneZone":false,` +
				`"Spread":false,"Spot":false,"EstimateS":0,"CheckpointS":0,"SaveS":0,"DeadlineS":0}}`},
		"machine": {MachineRecord{Attempts: []AttemptEntry{{}}},
			`{"Type":"","Zone":"","Spot":false,"Addr":"","Return":false,"Attempts":[{"Job":"","Index":0,"Try":0}]}`},
		"completions": {CompletionRecord{}, `{"Bits":""}`},
		"counters": {Counters{Jobs: map[string]CounterRow{"j-1": {}}},
			`{"At":0,"Jobs":{"j-1":{"Attained":0,"Upper":false,"Slots":0,"DoneAt":0,"AttainedAt":0,"First":0,"Degr":0}}}`},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := json.Marshal(tc.record)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != tc.want {
				t.Errorf("measured as %s, want %s", got, tc.want)
			}
		})
	}
}
