package statestore

import (
	"slices"
	"testing"

	"claybarrow/internal/protocol"
)

// newLeaderChangeWriter is a writer that has sent a change of its leader key, and what became of that.
func newLeaderChangeWriter(change *LeaderChange) (s *fakeHost, w *Writer, outcome *string) {
	s, w = newTestWriter(8)
	outcome = new(string)
	change.Entry = LeaderEntry{Record: "permanent"}
	change.Applied = func() { *outcome = "applied" }
	change.Refused = func() { *outcome = "refused" }
	w.Mark("m/other", Start, value("other"), nil)
	w.ChangeLeader(change)
	w.Flush()
	return s, w, outcome
}

func openingChange() *LeaderChange {
	return &LeaderChange{Puts: []protocol.Change{{Put: "c/lease", Value: "lease", Lease: 3}}}
}

func item(version uint64, v any) []byte {
	return protocol.Encode(protocol.Item{Value: protocol.Encode(v), Version: version})
}

// The leader key is stored in its new form together with the other keys, alone and under the versions known;
// all that follows depends on the new version.
func TestLeaderChange(t *testing.T) {
	s, w, outcome := newLeaderChangeWriter(openingChange())
	txn := s.last(t).body.(protocol.Txn)
	if !slices.Equal(puts(s.last(t)), []string{"c/lease", "c/leader"}) || txn.Then[1].Lease != 0 || txn.Then[0].Lease != 3 {
		t.Fatalf("%+v", txn)
	}
	if !slices.Equal(txn.If, []protocol.Condition{{Key: "c/leader", Version: 5}, {Key: "c/lease", Version: 0}}) {
		t.Errorf("conditions %+v", txn.If)
	}
	s.last(t).then(200, applied(9))
	w.Flush()
	if next := s.last(t).body.(protocol.Txn); *outcome != "applied" || next.If[0].Version != 9 || next.Then[0].Put != "m/other" {
		t.Errorf("%s, then %+v", *outcome, next)
	}
	// A fence writes the form that is stored now.
	s.last(t).then(0, nil)
	s.now += s.Pause()
	w.Flush()
	if fence := s.last(t).body.(protocol.Txn).Then[1]; fence.Put != "c/leader" || fence.Value != "permanent" || fence.Lease != 0 {
		t.Errorf("the fence is %+v", fence)
	}
}

// What becomes of a change whose answer was lost is read back from the leader key. Neither another leader's
// key nor a key of the lease that is gone passes for an own one.
func TestLeaderChangeWithoutAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   *LeaderChange
		status   int // of the second try
		conflict string
		version  uint64 // of the leader key that is read back; 0: it is gone
		record   string
		outcome  string
		ended    bool
	}{
		{"applied", openingChange(), 409, "c/leader", 7, "permanent", "applied", false},
		{"another leader's", openingChange(), 409, "c/leader", 7, "another's", "", true},
		{"gone", openingChange(), 409, "c/leader", 0, "", "", true},
		{"refused, not applied", openingChange(), 400, "", 5, ourRecord, "refused", false},
		{"refused, applied before", openingChange(), 400, "", 7, "permanent", "applied", false},
		{"no other keys, refused", &LeaderChange{}, 400, "", 5, ourRecord, "refused", false},
		{"the lease's key is gone", &LeaderChange{Deletes: []string{"c/lease"}}, 409, "c/lease", 5, ourRecord, "", true},
	} {
		s, w, outcome := newLeaderChangeWriter(c.change)
		s.last(t).then(0, nil)
		s.now += s.Pause()
		w.Flush()
		if c.status == 409 {
			s.last(t).then(409, failed(c.conflict))
		} else {
			s.last(t).then(c.status, nil)
		}
		w.Flush()
		if s.last(t).method == "GET" {
			if s.last(t).path != "/store/c/leader" {
				t.Errorf("%s: %s is read", c.name, s.last(t).path)
			}
			if c.version == 0 {
				s.last(t).then(404, nil)
			} else {
				s.last(t).then(200, item(c.version, c.record))
			}
		}
		if *outcome != c.outcome || (s.ended != "") != c.ended {
			t.Errorf("%s: %q, ended %q", c.name, *outcome, s.ended)
		}
	}
}

// A change that is refused for good ends no leader: what it had waits, and the key keeps its form.
func TestRefusedLeaderChange(t *testing.T) {
	s, w, outcome := newLeaderChangeWriter(openingChange())
	s.last(t).then(400, nil)
	w.Flush()
	if next := s.last(t).body.(protocol.Txn); *outcome != "refused" || s.ended != "" || next.If[0].Version != 5 || next.Then[0].Put != "m/other" {
		t.Errorf("%s, ended %q, then %+v", *outcome, s.ended, next)
	}
}
