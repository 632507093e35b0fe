package completionjournal

import (
	"encoding/json"
	"testing"
)

// The record writer measures a value by its JSON encoding with the Go field names; see the test of the same kind in
// package clusterstate.
func TestMeasuredSizeOfValue(t *testing.T) {
	got, err := json.Marshal(Value{})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"Form":0,"Token":0,"Number":0,"Sum":0,"Body":""}`; string(got) != want {
		t.Errorf("measured as %s, want %s", got, want)
	}
}
