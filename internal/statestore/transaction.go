package statestore

import (
	"encoding/json"
	"time"

	"claybarrow/internal/protocol"
)

// maxTransactionBytes limits the estimated size of a transaction. The protocol allows 64 KiB.
const maxTransactionBytes = 60 << 10

// Upper bounds of the sizes of parts of a transaction on the wire, in bytes.
const (
	transactionOverhead = 1024 // the leader key and its condition
	writeOverhead       = 160  // a write without its value and without its key, which is sent twice
)

// Transaction is a set of writes that the state service applies together.
type Transaction struct {
	Body protocol.Transaction
	// Puts are the keys that the transaction puts, without the leader key.
	Puts    []string
	deletes []string
	writes  []*write
	// outcomeUnknown means that an earlier attempt was not answered and may have applied.
	outcomeUnknown bool
	// writesLeaderKey means that the transaction also stores leaderEntry in the leader key.
	writesLeaderKey bool
	leaderEntry     LeaderEntry
	// leaderChange is the change of the leader key that the transaction carries out, or nil.
	leaderChange *LeaderChange
	createdAt    time.Duration
	retryAt      time.Duration
	inFlight     bool
	readbackKey  string // key to read back to determine whether the transaction applied; "" for none
}

// Writes returns the number of writes in the transaction.
func (t *Transaction) Writes() int { return len(t.writes) }

// require adds the condition that the key has the version.
func (t *Transaction) require(key string, version uint64) {
	t.Body.If = append(t.Body.If, protocol.Condition{Key: key, Version: version})
}

// put adds the change that stores a value.
func (t *Transaction) put(change protocol.Change) {
	t.Puts = append(t.Puts, change.Put)
	t.Body.Then = append(t.Body.Then, change)
}

// remove adds the change that deletes a key.
func (t *Transaction) remove(key string) {
	t.deletes = append(t.deletes, key)
	t.Body.Then = append(t.Body.Then, protocol.Change{Delete: key})
}

// BuildTransaction builds the next transaction from the queued writes, within the limits and the budget. It
// returns nil if no write needs a request or the budget allows none.
func (w *Writer) BuildTransaction() *Transaction {
	now := w.host.Now()
	t := &Transaction{createdAt: now}
	t.require(w.leader.Key, w.leader.Version)
	size := transactionOverhead
	for priority := range priorityCount {
		w.takeWrites(t, priority, &size)
	}
	if len(t.writes) == 0 {
		return nil
	}
	w.changeBudget.Take(now, float64(len(t.writes)))
	return t
}

// takeWrites moves writes of a priority from their queue into the transaction while they fit. size is the
// estimated size of the transaction in bytes.
func (w *Writer) takeWrites(t *Transaction, priority Priority, size *int) {
	for len(w.queues[priority]) > 0 && w.mayAddWrite(t, priority) {
		next := w.queues[priority][0]
		value := next.render()
		w.host.OnRendered(next.key)
		bytes, fits := w.sizeOf(next, value)
		if !fits {
			w.CancelWrite(next.key)
			w.host.OnAbandoned(next.key)
			continue
		}
		if *size+bytes > maxTransactionBytes {
			return
		}
		*size += bytes
		w.queues[priority] = w.queues[priority][1:]
		delete(w.pending, next.key)
		w.addWrite(t, next, value)
	}
}

// mayAddWrite reports whether the limit on changes and the budget allow one more write of the priority.
func (w *Writer) mayAddWrite(t *Transaction, priority Priority) bool {
	// One change is reserved for the leader key.
	if len(t.writes) >= min(w.limits.MaxChanges-1, w.maxWrites) {
		return false
	}
	// Writes with PriorityBackground or PriorityCounters leave half of the burst to the more urgent writes.
	reserve := 0.0
	if priority >= PriorityBackground {
		reserve = w.changeBudget.Burst() / 2
	}
	return w.changeBudget.Allows(w.host.Now(), float64(len(t.writes)+1)+reserve)
}

// sizeOf returns an upper bound on the bytes that a write takes in its transaction. fits is false if the value
// exceeds the state service's limit.
func (w *Writer) sizeOf(pending *write, value any) (bytes int, fits bool) {
	bytes = 2*len(pending.key) + writeOverhead
	if value == nil {
		return bytes, true
	}
	// The Go field names are longer than the stored names, so the JSON encoding is the longer one.
	encoded, err := json.Marshal(value)
	if err != nil || len(encoded) > w.limits.MaxValueBytes {
		w.log.Error("record exceeds the value size limit", "key", pending.key, "bytes", len(encoded), "err", err)
		return 0, false
	}
	return bytes + len(encoded), true
}

// addWrite adds a write to the transaction. The deletion of a key that does not exist is complete without a
// request.
func (w *Writer) addWrite(t *Transaction, next *write, value any) {
	version := w.versions[next.key]
	if value == nil && version == 0 {
		w.notifyStored(next)
		return
	}
	t.writes = append(t.writes, next)
	t.require(next.key, version)
	if value == nil {
		t.remove(next.key)
		return
	}
	t.put(protocol.Change{Put: next.key, Value: value})
}

// addFence makes the transaction write the leader key if an earlier transaction may still be in flight, unless
// the transaction writes the leader key already. The new version of the leader key fences off earlier ones.
func (w *Writer) addFence(t *Transaction) {
	if !w.needsFence || t.writesLeaderKey {
		return
	}
	w.putLeaderKey(t, w.leader.Entry)
	w.changeBudget.Take(w.host.Now(), 1)
}

// putLeaderKey adds the change that stores the leader key.
func (w *Writer) putLeaderKey(t *Transaction, entry LeaderEntry) {
	t.writesLeaderKey, t.leaderEntry = true, entry
	t.Body.Then = append(t.Body.Then, protocol.Change{Put: w.leader.Key, Value: entry.Record, Lease: entry.Lease})
}
