package statestore

import (
	"encoding/json"
	"time"

	"claybarrow/internal/protocol"
)

// maxTransactionBytes bounds a transaction's size, of the 64 KiB that the protocol allows.
const maxTransactionBytes = 60 << 10

// Estimates of the sizes of parts of a transaction on the wire, in bytes, from above.
const (
	transactionOverhead = 1024 // the leader key and its condition
	writeOverhead       = 160  // beside the value and the key, which is in the condition and in the change
)

// Transaction is a set of writes that go out together.
type Transaction struct {
	Body protocol.Transaction
	// Puts are the keys that are put; the leader key is not one of them.
	Puts    []string
	deletes []string
	writes  []*write
	// outcomeUnknown means that an earlier try had no answer and may have applied.
	outcomeUnknown bool
	// writesLeaderKey means that it also stores leaderEntry in the leader key.
	writesLeaderKey bool
	leaderEntry     LeaderEntry
	// leaderChange is the change of the leader key that it carries out, or nil.
	leaderChange *LeaderChange
	createdAt    time.Duration
	retryAt      time.Duration
	inFlight     bool
	readbackKey  string // the key to be read to find out whether it applied; "": none
}

// Writes returns how many records it has.
func (t *Transaction) Writes() int { return len(t.writes) }

// require adds the condition that a key has a version.
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

// BuildTransaction makes the next transaction of the writes that wait, within the limits and the budget; nil:
// there is none to be made.
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

// takeWrites moves writes of a priority from their queue into a transaction, as long as they fit. Size
// is the estimated size of the transaction.
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

// mayAddWrite reports whether the number of changes and the budget allow one more write of a priority.
func (w *Writer) mayAddWrite(t *Transaction, priority Priority) bool {
	// One change is left to the leader key.
	if len(t.writes) >= min(w.limits.MaxChanges-1, w.maxWrites) {
		return false
	}
	// Writes that nobody waits for leave half of the burst to those that somebody waits for.
	reserve := 0.0
	if priority >= PriorityBackground {
		reserve = w.changeBudget.Burst() / 2
	}
	return w.changeBudget.Allows(w.host.Now(), float64(len(t.writes)+1)+reserve)
}

// sizeOf is an estimate from above of the bytes that a write takes of its transaction; false: its value
// is over the service's limit.
func (w *Writer) sizeOf(pending *write, value any) (bytes int, fits bool) {
	bytes = 2*len(pending.key) + writeOverhead
	if value == nil {
		return bytes, true
	}
	// The Go field names are longer than the stored ones, so JSON is the longer encoding.
	encoded, err := json.Marshal(value)
	if err != nil || len(encoded) > w.limits.MaxValueBytes {
		w.log.Error("record exceeds the value size limit", "key", pending.key, "bytes", len(encoded), "err", err)
		return 0, false
	}
	return bytes + len(encoded), true
}

// addWrite puts a write into a transaction. What was never written needs no deletion.
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

// addFence has a transaction write the leader key if an earlier one may still be on its way, unless it
// writes that key already.
func (w *Writer) addFence(t *Transaction) {
	if !w.needsFence || t.writesLeaderKey {
		return
	}
	w.putLeaderKey(t, w.leader.Entry)
	w.changeBudget.Take(w.host.Now(), 1)
}

// putLeaderKey has a transaction store the leader key.
func (w *Writer) putLeaderKey(t *Transaction, entry LeaderEntry) {
	t.writesLeaderKey, t.leaderEntry = true, entry
	t.Body.Then = append(t.Body.Then, protocol.Change{Put: w.leader.Key, Value: entry.Record, Lease: entry.Lease})
}
