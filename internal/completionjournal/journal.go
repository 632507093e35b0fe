// Package completionjournal stores completions of tasks and departures of attempts, many in one value of the state
// service. A completion means that a task of an array is done, a departure that an attempt has left its machine.
// Without the journal each of them would be a separate write of the job's completion record or the machine's record.
//
// The leader writes the journal while the feature gate is open, under the keys g/<token>/<number>. When a record is
// next written, it includes the entries that belong to it; this is compaction. A value is deleted once all its
// entries are compacted. At a failover the new leader reads the records first and the journal after them.
//
// Each entry is also included in the next write of its record. Reading an entry twice, or after its record contains it,
// has no further effect. The loss of a value costs work but violates no invariant: a task is started again and exits
// as done, and an attempt counts as present until its machine reports otherwise.
package completionjournal

import (
	"slices"
	"time"

	"claybarrow/internal/statestore"
)

// Store writes the journal's values. *statestore.Writer implements it.
type Store interface {
	// QueueWrite queues a write of a key. render is called when a transaction is built, and again if the value has
	// to wait for a later transaction; it returns the value, or nil to delete the key. onStored is called once the
	// write is durable.
	QueueWrite(key string, priority statestore.Priority, render func() any, onStored func())
	// CancelWrite cancels a queued write. It returns false if no write of the key is queued.
	CancelWrite(key string) bool
	// IsPending reports whether a write of the key is queued.
	IsPending(key string) bool
}

// Compactor owns the records that entries are compacted into.
type Compactor interface {
	// Compact schedules the write or deletion of the record that makes an entry redundant. If the record no longer
	// exists, Compact calls RecordRendered and RecordStored of the journal at once.
	Compact(entry Entry, record string, priority statestore.Priority)
}

// Limits are the limits of the journal's size and age.
type Limits struct {
	// ValueBytes is the maximum size of a value as JSON.
	ValueBytes int
	// Values is the maximum number of stored values. Further entries are written to their records instead.
	Values int
	// CompactAfter is the age at which the entries of a value are compacted.
	CompactAfter time.Duration
}

// maxValueBytes limits the size of a value so that a transaction has room for other queued writes.
const maxValueBytes = 24 << 10

// Journal is the journal of one leadership. Entries accumulate until the next transaction writes as many of them as
// fit into a value. A Journal is not safe for concurrent use.
type Journal struct {
	token     uint64
	limits    Limits
	store     Store
	compactor Compactor
	now       func() time.Duration // the leader's clock
	enabled   bool

	// pending are the entries that no stored value contains.
	pending []*entryState
	// hasCallback is set if a pending entry has a callback. The tail is then written with a higher priority.
	hasCallback bool

	// tail is the value that is written next or was written last, or nil if the next write begins a new value.
	tail       *valueState
	lastNumber uint64 // highest number of a value of this leadership
	// writePending is set while a write of the tail is queued or in flight.
	writePending bool
	// renderedEntries are the pending entries that the last rendering of the tail included. renderedValue is set
	// if that rendering was a value, and not a deletion.
	renderedEntries []*entryState
	renderedValue   bool

	// values are all values that may be stored, in the order of their creation.
	values   []*valueState
	byRecord map[string][]*entryState // entries that are not compacted, by the key of their record
}

// entryState is an entry with the record that will make it redundant.
type entryState struct {
	entry  Entry
	record string
	// onDurable is called once the entry is durable, in a value or in its record. It may be nil.
	onDurable func()
	// value is the stored value that contains the entry, or nil while the entry is pending.
	value *valueState
	// rendered is set once the record was rendered with the entry, compacted once that record is stored.
	rendered, compacted bool
	// compactionRequested is set once the compactor was called for the entry.
	compactionRequested bool
}

// needsValue reports whether a pending entry must be written to a value. An entry whose record was rendered with it
// needs no value unless it has a callback.
func (e *entryState) needsValue() bool {
	return !e.compacted && (!e.rendered || e.onDurable != nil)
}

// notifyDurable calls the callback of the entry, if any, at most once.
func (e *entryState) notifyDurable() {
	if onDurable := e.onDurable; onDurable != nil {
		e.onDurable = nil
		onDurable()
	}
}

// valueState is a value of the journal that may be stored.
type valueState struct {
	key       string
	createdAt time.Duration
	// bodyBytes is the length of the body as it was last rendered.
	bodyBytes int
	// entries are the entries of the stored value, uncompacted is the number of entries that are not compacted.
	entries     []*entryState
	uncompacted int
	stored      bool
	// compacting is set once compaction was requested for all entries, deleting once the deletion was queued.
	compacting, deleting bool
}

func (v *valueState) uncompactedEntries() []*entryState {
	var entries []*entryState
	for _, e := range v.entries {
		if !e.compacted {
			entries = append(entries, e)
		}
	}
	return entries
}

// New returns the journal of the leadership with the fencing token. It accepts no entries until it is opened.
func New(token uint64, limits Limits, store Store, compactor Compactor, now func() time.Duration) *Journal {
	limits.ValueBytes = min(limits.ValueBytes, maxValueBytes)
	return &Journal{
		token:     token,
		limits:    limits,
		store:     store,
		compactor: compactor,
		now:       now,
		byRecord:  map[string][]*entryState{},
	}
}

// Open makes the journal accept entries.
func (j *Journal) Open() { j.enabled = true }

// Close makes the journal accept no more entries. Tick then compacts all remaining entries.
func (j *Journal) Close() {
	if !j.enabled {
		return
	}
	j.enabled = false
	if j.writePending && j.store.CancelWrite(j.tail.key) {
		j.writePending, j.renderedEntries = false, nil
		if !j.tail.stored {
			j.removeValue(j.tail)
		}
	}
}

// Abandon closes the journal after a write of its tail was abandoned, because the value is too large or the state
// service rejects it. A tail that was never stored is dropped; a stored one is compacted like all other values. All
// entries, and all later entries of this leadership, are written to their records.
func (j *Journal) Abandon() {
	j.writePending, j.renderedEntries, j.enabled = false, nil, false
	if j.tail != nil && !j.tail.stored {
		j.removeValue(j.tail)
	}
}

// Accepts reports whether entries may be added. If it returns false, entries must be written to their records.
func (j *Journal) Accepts() bool { return j.enabled && len(j.values) < j.limits.Values }

// Size returns the number of values, the number of their entries that are not compacted, and the number of pending
// entries.
func (j *Journal) Size() (values, uncompacted, pending int) {
	for _, v := range j.values {
		uncompacted += v.uncompacted
	}
	for _, e := range j.pending {
		if !e.compacted {
			pending++
		}
	}
	return len(j.values), uncompacted, pending
}

// IsEmpty reports whether the journal has no values and no uncompacted pending entries, and no write of the tail is
// queued or in flight.
func (j *Journal) IsEmpty() bool {
	_, _, pending := j.Size()
	return len(j.values) == 0 && pending == 0 && !j.writePending
}

// Add adds an entry. record is the key of the record that the entry will be compacted into. onDurable is called once
// the entry is durable; it may be nil. Add may be called only if Accepts returns true.
func (j *Journal) Add(entry Entry, record string, onDurable func()) {
	e := &entryState{entry: entry, record: record, onDurable: onDurable}
	j.pending = append(j.pending, e)
	j.byRecord[record] = append(j.byRecord[record], e)
	j.hasCallback = j.hasCallback || onDurable != nil
	j.scheduleWrite()
}

// Adopt adds a value that an earlier leader has stored. missing maps each entry of the value that its record lacks to
// the key of that record.
func (j *Journal) Adopt(key string, missing map[Entry]string) {
	v := &valueState{key: key, createdAt: j.now(), stored: true, bodyBytes: j.limits.ValueBytes}
	j.values = append(j.values, v)
	for entry, record := range missing {
		e := &entryState{entry: entry, record: record, value: v}
		v.entries = append(v.entries, e)
		j.byRecord[record] = append(j.byRecord[record], e)
	}
	v.uncompacted = len(v.entries)
	slices.SortFunc(v.entries, func(a, b *entryState) int { return compareEntries(a.entry, b.entry) })
}

// removeValue removes a value that was not stored or was deleted.
func (j *Journal) removeValue(v *valueState) {
	j.values = slices.DeleteFunc(j.values, func(other *valueState) bool { return other == v })
	if j.tail == v {
		j.tail = nil
	}
}
