package completionjournal

import (
	"encoding/json"
	"testing"
)

// The writer of records measures a value by its JSON with the Go names of the fields, see package clusterstate.
func TestMeasuredSizeOfValue(t *testing.T) {
	got, err := json.Marshal(Value{})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"Form":0,"Token":0,"Number":0,"Sum":0,"Body":""}`; string(got) != want {
		t.Errorf("measured as %s, want %s", got, want)
	}
}
