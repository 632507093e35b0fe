package statestore

import (
	"slices"
	"testing"

	"claybarrow/internal/protocol"
)

// newLeaderChangeWriter returns a writer that has sent a change of its leader key, and the outcome of the change.
func newLeaderChangeWriter(change *LeaderChange) (host *fakeHost, w *Writer, outcome *string) {
	host, w = newTestWriter(8)
	outcome = new(string)
	change.Entry = testEntry("permanent", 0)
	change.OnApplied = func() { *outcome = "applied" }
	change.OnRefused = func() { *outcome = "refused" }
	w.QueueWrite("m/other", PriorityBatch, renderValue("other"), nil)
	w.ChangeLeader(change)
	w.Flush()
	return host, w, outcome
}

func openingChange() *LeaderChange {
	return &LeaderChange{Puts: []protocol.Change{{Put: "c/lease", Value: "lease", Lease: 3}}}
}

func encodedItem(version uint64, v any) []byte {
	return protocol.Encode(protocol.KeyValue{Value: protocol.Encode(v), Version: version})
}

// A change of the leader key is sent with its other keys in a separate transaction, on the condition of the last
// known versions. All later transactions are conditional on the new version of the leader key.
func TestLeaderChange(t *testing.T) {
	host, w, outcome := newLeaderChangeWriter(openingChange())
	txn := host.lastRequest(t).body.(protocol.Transaction)
	if !slices.Equal(changedKeys(host.lastRequest(t)), []string{"c/lease", "c/leader"}) || txn.Then[1].Lease != 0 || txn.Then[0].Lease != 3 {
		t.Fatalf("transaction %+v", txn)
	}
	if !slices.Equal(txn.If, []protocol.Condition{{Key: "c/leader", Version: 5}, {Key: "c/lease", Version: 0}}) {
		t.Errorf("conditions %+v", txn.If)
	}
	host.lastRequest(t).answer(200, appliedReply(9))
	w.Flush()
	if next := host.lastRequest(t).body.(protocol.Transaction); *outcome != "applied" || next.If[0].Version != 9 || next.Then[0].Put != "m/other" {
		t.Errorf("outcome %q, next transaction %+v", *outcome, next)
	}
	// A fence writes the entry that is stored now.
	host.lastRequest(t).answer(0, nil)
	host.now += host.RetryPause()
	w.Flush()
	if fence := host.lastRequest(t).body.(protocol.Transaction).Then[1]; fence.Put != "c/leader" || fence.Value != "permanent" || fence.Lease != 0 {
		t.Errorf("the fence is %+v", fence)
	}
}

// If the answer to a change of the leader key was lost and its retry is rejected, the outcome is determined by reading
// the leader key back. The leadership ends if another leader wrote the leader key, if the leader key does not exist, or
// if the retry has a conflict on another key of the change.
func TestLeaderChangeWithoutAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   *LeaderChange
		status   int // answer to the second attempt
		conflict string
		version  uint64 // version of the leader key that is read back; 0: the key does not exist
		record   string
		outcome  string
		ended    EndReason
	}{
		{"applied", openingChange(), 409, "c/leader", 7, "permanent", "applied", ""},
		{"another leader's", openingChange(), 409, "c/leader", 7, "another's", "", EndOtherLeader},
		{"the leader key does not exist", openingChange(), 409, "c/leader", 0, "", "", EndRecordsDiffer},
		{"refused, not applied", openingChange(), 400, "", 5, ourRecord, "refused", ""},
		{"refused, applied before", openingChange(), 400, "", 7, "permanent", "applied", ""},
		{"no other keys, refused", &LeaderChange{}, 400, "", 5, ourRecord, "refused", ""},
		{"the lease's key does not exist", &LeaderChange{Deletes: []string{"c/lease"}}, 409, "c/lease", 5, ourRecord, "", EndRecordsDiffer},
	} {
		t.Run(c.name, func(t *testing.T) {
			host, w, outcome := newLeaderChangeWriter(c.change)
			host.lastRequest(t).answer(0, nil)
			host.now += host.RetryPause()
			w.Flush()
			if c.status == 409 {
				host.lastRequest(t).answer(409, conflictReply(c.conflict))
			} else {
				host.lastRequest(t).answer(c.status, nil)
			}
			w.Flush()
			if host.lastRequest(t).method == "GET" {
				if host.lastRequest(t).path != "/store/c/leader" {
					t.Errorf("the request reads %s, want /store/c/leader", host.lastRequest(t).path)
				}
				if c.version == 0 {
					host.lastRequest(t).answer(404, nil)
				} else {
					host.lastRequest(t).answer(200, encodedItem(c.version, c.record))
				}
			}
			if *outcome != c.outcome || host.ended != c.ended {
				t.Errorf("outcome %q, leadership ended by %q", *outcome, host.ended)
			}
		})
	}
}

// A change that is rejected as malformed does not end the leadership. The leader key keeps its version, and the
// queued writes are sent next.
func TestRefusedLeaderChange(t *testing.T) {
	host, w, outcome := newLeaderChangeWriter(openingChange())
	host.lastRequest(t).answer(400, nil)
	w.Flush()
	if next := host.lastRequest(t).body.(protocol.Transaction); *outcome != "refused" || host.ended != "" || next.If[0].Version != 5 || next.Then[0].Put != "m/other" {
		t.Errorf("outcome %q, leadership ended by %q, next transaction %+v", *outcome, host.ended, next)
	}
}
