package statestore

import "claybarrow/internal/protocol"

// LeaderChange stores the leader key in another form, together with a few other keys, in a
// transaction of its own. As that rewrites the key whose version every write depends on, it fences
// off all that was sent before it.
type LeaderChange struct {
	Entry LeaderEntry
	// Puts and Deletes are the other keys.
	Puts    []protocol.Change
	Deletes []string
	// Applied is called once it is durable, Refused if the state service takes it in no form.
	Applied, Refused func()
}

// ChangeLeader has the leader key stored in another form by the next transaction. There is one
// such change at a time.
func (w *Writer) ChangeLeader(change *LeaderChange) { w.leaderChange = change }

// composeLeaderChange makes the transaction of a change of the leader key; nil: none waits, or the
// budget does not allow it yet.
func (w *Writer) composeLeaderChange() *Transaction {
	change, now := w.leaderChange, w.host.Now()
	if change == nil {
		return nil
	}
	changes := float64(1 + len(change.Puts) + len(change.Deletes))
	if !w.changeBudget.Has(now, changes) {
		return nil
	}
	w.leaderChange = nil
	t := &Transaction{createdAt: now, leaderChange: change}
	t.Body.If = []protocol.Condition{{Key: w.leader.Key, Version: w.leader.Version}}
	for _, put := range change.Puts {
		w.requireVersion(t, put.Put)
		t.Puts = append(t.Puts, put.Put)
		t.Body.Then = append(t.Body.Then, put)
	}
	for _, key := range change.Deletes {
		w.requireVersion(t, key)
		t.deletes = append(t.deletes, key)
		t.Body.Then = append(t.Body.Then, protocol.Change{Delete: key})
	}
	w.putLeaderKey(t, change.Entry)
	w.changeBudget.Take(now, changes)
	return t
}

// requireVersion makes a key's known version a condition.
func (w *Writer) requireVersion(t *Transaction, key string) {
	t.Body.If = append(t.Body.If, protocol.Condition{Key: key, Version: w.versions[key]})
}
