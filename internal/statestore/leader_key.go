package statestore

import "claybarrow/internal/protocol"

// LeaderChange replaces the leader key's entry and changes a few other keys, in one separate transaction. The
// transaction changes the version of the leader key. As every write is conditional on that version, no
// transaction that was sent before it can apply after it.
type LeaderChange struct {
	Entry LeaderEntry
	// Puts and Deletes are the changes to the other keys.
	Puts    []protocol.Change
	Deletes []string
	// OnApplied is called once the change is durable, OnRefused if the state service rejects it as malformed.
	OnApplied, OnRefused func()
}

// ChangeLeader schedules a change of the leader key for the next transaction. Only one change may be scheduled at
// a time.
func (w *Writer) ChangeLeader(change *LeaderChange) { w.leaderChange = change }

// buildLeaderChange builds the transaction for the scheduled change of the leader key. It returns nil if no change
// is scheduled or the budget does not allow it yet.
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
