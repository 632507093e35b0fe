package statestore

import "claybarrow/internal/protocol"

// LeaderChange stores the leader key in another form, together with a few other keys, in a transaction
// of its own. As that changes the version of the leader key, on which every write depends, nothing
// that was sent before it can apply after it.
type LeaderChange struct {
	Entry LeaderEntry
	// Puts and Deletes are the changes of the other keys.
	Puts    []protocol.Change
	Deletes []string
	// OnApplied is called once the change is durable, Refused if the state service takes it in no form.
	OnApplied, OnRefused func()
}

// ChangeLeader has the leader key stored in another form by the next transaction. There is one such
// change at a time.
func (w *Writer) ChangeLeader(change *LeaderChange) { w.leaderChange = change }

// buildLeaderChange makes the transaction of a change of the leader key; nil: none waits, or the
// budget does not allow it yet.
func (w *Writer) buildLeaderChange() *Transaction {
	change, now := w.leaderChange, w.host.Now()
	if change == nil {
		return nil
	}
	changes := float64(1 + len(change.Puts) + len(change.Deletes))
	if !w.changeBudget.Allows(now, changes) {
		return nil
	}
	w.leaderChange = nil
	t := &Transaction{createdAt: now, leaderChange: change}
	t.require(w.leader.Key, w.leader.Version)
	for _, put := range change.Puts {
		t.require(put.Put, w.versions[put.Put])
		t.put(put)
	}
	for _, key := range change.Deletes {
		t.require(key, w.versions[key])
		t.remove(key)
	}
	w.putLeaderKey(t, change.Entry)
	w.changeBudget.Take(now, changes)
	return t
}
