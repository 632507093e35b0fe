package completionjournal

import (
	"slices"

	"claybarrow/internal/statestore"
)

// compactionsPerTick limits the number of values whose compaction begins in one call of Tick.
const compactionsPerTick = 4

// RecordRendered must be called when a record was rendered from its present state, which contains all entries that
// were added until now.
func (j *Journal) RecordRendered(record string) {
	for _, e := range j.byRecord[record] {
		e.rendered = true
	}
}

// RecordStored must be called when a record is durable as it was last rendered.
func (j *Journal) RecordStored(record string) {
	entries := j.byRecord[record]
	if len(entries) == 0 {
		return
	}
	var notRendered []*entryState
	for _, e := range entries {
		if !e.rendered {
			notRendered = append(notRendered, e)
		}
	}
	if len(notRendered) == 0 {
		delete(j.byRecord, record)
	} else {
		j.byRecord[record] = notRendered
	}
	for _, e := range entries {
		if e.rendered {
			j.markCompacted(e)
		}
	}
}

// markCompacted records that an entry is redundant because its stored record contains it.
func (j *Journal) markCompacted(e *entryState) {
	if e.compacted {
		return
	}
	e.compacted = true
	e.notifyDurable()
	v := e.value
	if v == nil {
		return
	}
	if v.uncompacted--; v.uncompacted == 0 && v != j.tail {
		j.deleteValue(v)
	}
}

// Tick begins the compaction of up to compactionsPerTick values, the oldest first: of values that have reached
// Limits.CompactAfter, and of values of any age while the journal is more than half full. Once the journal is closed
// or abandoned, it compacts the pending entries and values of any age.
func (j *Journal) Tick() {
	if !j.enabled {
		j.compactPending()
	}
	compactionsBegun := 0
	for _, v := range slices.Clone(j.values) {
		if compactionsBegun == compactionsPerTick {
			return
		}
		if v.deleting || v == j.tail && j.writePending || !v.stored {
			continue
		}
		due := !j.enabled || j.now() >= v.createdAt+j.limits.CompactAfter
		switch {
		case v.uncompacted == 0 && due:
			j.deleteValue(v)
		case !v.compacting && (due || j.isHalfFull()):
			compactionsBegun++
			j.compactValue(v)
		}
	}
}

// compactPending requests the compaction of the pending entries, which will not be written to a value once the
// journal is closed.
func (j *Journal) compactPending() {
	if j.writePending {
		return // a write of a value with these entries is queued or in flight
	}
	for _, e := range slices.Clone(j.pending) {
		if e.compacted {
			continue
		}
		priority := statestore.PriorityBackground
		if e.onDurable != nil {
			priority = statestore.PriorityCompletion
		}
		j.requestCompaction(e, priority)
	}
	j.pending = slices.DeleteFunc(j.pending, func(e *entryState) bool { return e.compacted })
}

// compactValue requests the compaction of all entries of a value.
func (j *Journal) compactValue(v *valueState) {
	v.compacting = true
	if j.tail == v {
		j.tail = nil
	}
	for _, e := range v.uncompactedEntries() {
		j.requestCompaction(e, j.compactionPriority())
	}
	if v.uncompacted == 0 {
		j.deleteValue(v)
	}
}

// requestCompaction calls the compactor for an entry, unless it was called for this entry before.
func (j *Journal) requestCompaction(e *entryState, priority statestore.Priority) {
	if e.compactionRequested {
		return
	}
	e.compactionRequested = true
	j.compactor.Compact(e.entry, e.record, priority)
}

// compactionPriority returns the background priority until the journal is half full. From then on other writes must
// not starve compaction.
func (j *Journal) compactionPriority() statestore.Priority {
	if j.isHalfFull() {
		return statestore.PriorityCompletion
	}
	return statestore.PriorityBackground
}

// isHalfFull reports whether the journal has more than half of the maximum number of values.
func (j *Journal) isHalfFull() bool { return len(j.values) > j.limits.Values/2 }

// deleteValue queues the deletion of a value of which all entries are compacted.
func (j *Journal) deleteValue(v *valueState) {
	if v.deleting {
		return
	}
	v.deleting = true
	if j.tail == v {
		j.tail = nil
	}
	j.store.QueueWrite(v.key, j.compactionPriority(), func() any { return nil }, func() { j.removeValue(v) })
}
