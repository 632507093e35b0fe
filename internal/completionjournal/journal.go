// Package completionjournal stores completions of tasks and departures of attempts, many in one value of
// the state service. A completion says that a task of an array is done, a departure that an attempt has
// left its machine. Each would otherwise be a write of its own, to the job's completion record or to the
// machine's record.
//
// The journal is written by the leader while the feature gate is open, under the keys
// g/<token>/<number>. The records take the entries in when they are next written; that is compaction, and
// a value is deleted once all its entries are compacted. At a failover the new leader reads the records
// first and the journal after them.
//
// An entry only repeats what a record is going to say, so reading it twice, or after the record has it,
// changes nothing. A lost value costs work and breaks no rule: a task is started again and exits as done,
// and an attempt counts as present until its machine proves otherwise.
package completionjournal

import (
	"slices"
	"time"

	"claybarrow/internal/statestore"
)

// Store writes the journal's values; a statestore.Writer is one.
type Store interface {
	// QueueWrite has the key written with what render returns when the transaction is made (nil: deleted),
	// and then called once that is durable.
	QueueWrite(key string, priority statestore.Priority, render func() any, then func())
	// CancelWrite takes a Mark back; false if it was not waiting.
	CancelWrite(key string) bool
	// IsPending reports whether a Mark waits for its transaction.
	IsPending(key string) bool
}

// Compactor owns the records that entries are compacted into.
type Compactor interface {
	// Compact has the record that makes an entry redundant written before long. If there is no such
	// record any more, it tells the journal at once that the record is rendered and stored.
	Compact(entry Entry, record string, priority statestore.Priority)
}

// Limits bound the journal.
type Limits struct {
	// MaxValueBytes is the most that a value may take as JSON.
	ValueBytes int
	// Values is how many values may be stored at a time. Beyond it entries go to their records.
	Values int
	// CompactAfter is the age at which a value's entries are compacted.
	CompactAfter time.Duration
}

// maxValueBytes keeps a value from filling a transaction that other writes wait for.
const maxValueBytes = 24 << 10

// Journal is the journal of one leadership. Entries wait until the next transaction takes all that have
// accumulated. It is not safe for concurrent use.
type Journal struct {
	token     uint64
	limits    Limits
	store     Store
	compactor Compactor
	now       func() time.Duration // the leader's clock
	enabled   bool

	// pending are the entries that no stored value has.
	pending []*entryState
	// hasWaiter: there is a callback for a pending entry, so it is written with priority.
	hasWaiter bool

	// tail is the value that is written next or was written last; nil: the next write begins one.
	tail       *valueState
	lastNumber uint64 // of the values of this leadership
	// writePending: the tail's write waits or is under way.
	writePending bool
	// renderedEntries are the pending entries that the tail's last rendering took. renderedValue: that
	// rendering was a value, not a deletion.
	renderedEntries []*entryState
	renderedValue   bool

	// values are all that may be stored, in the order in which they were begun.
	values   []*valueState
	byRecord map[string][]*entryState
}

// entryState is an entry with the record that will make it redundant.
type entryState struct {
	entry  Entry
	record string
	// onDurable is called once the entry is durable, in a value or in its record; nil: nobody waits.
	onDurable func()
	// value is the one that has the entry; nil: the entry is pending.
	value *valueState
	// rendered: the record was rendered with the entry. compacted: it was stored so.
	rendered, compacted bool
	// compactionRequested: the compactor was called for it.
	compactionRequested bool
}

// needsValue reports whether a pending entry has to be written to a value. One that its record was just
// rendered with need not, unless somebody waits for it.
func (e *entryState) needsValue() bool {
	return !e.compacted && (!e.rendered || e.onDurable != nil)
}

// notifyDurable calls whoever waits for the entry, once.
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
	// bodyBytes is the length of the body as last rendered.
	bodyBytes int
	// entries are those of the stored value, uncompacted the number of them that are not compacted.
	entries     []*entryState
	uncompacted int
	stored      bool
	// compacting: the compactor was called for all entries. deleting: the deletion waits or is under way.
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

// New makes the journal of the leadership with the fencing token. It takes no entries until it is opened.
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

// Open lets the journal take entries.
func (j *Journal) Open() { j.enabled = true }

// Close lets it take no more entries; Tick compacts those that there are.
func (j *Journal) Close() {
	if !j.enabled {
		return
	}
	j.enabled = false
	if j.writePending && j.store.CancelWrite(j.tail.key) {
		j.writePending, j.renderedEntries = false, nil
		if !j.tail.stored {
			j.forget(j.tail)
		}
	}
}

// Abandon gives up a value that the state service refuses in every form. Its entries go to their records,
// and so do all that come later in this leadership.
func (j *Journal) Abandon() {
	j.writePending, j.renderedEntries, j.enabled = false, nil, false
	if j.tail != nil && !j.tail.stored {
		j.forget(j.tail)
	}
}

// Accepts reports whether entries may be added. If not, they have to be written to their records.
func (j *Journal) Accepts() bool { return j.enabled && len(j.values) < j.limits.Values }

// Size returns the number of values, of entries in them that are not compacted, and of entries that wait
// to be written.
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

// IsEmpty reports whether no value of the journal is stored and none is going to be.
func (j *Journal) IsEmpty() bool {
	_, _, pending := j.Size()
	return len(j.values) == 0 && pending == 0 && !j.writePending
}

// Add adds an entry. record is the key of the record that will have it. onDurable is called once the entry
// is durable; nil: nobody waits for that. The journal has to accept
// entries at that time.
func (j *Journal) Add(entry Entry, record string, onDurable func()) {
	e := &entryState{entry: entry, record: record, onDurable: onDurable}
	j.pending = append(j.pending, e)
	j.byRecord[record] = append(j.byRecord[record], e)
	j.hasWaiter = j.hasWaiter || onDurable != nil
	j.scheduleWrite()
}

// Adopt adds a value that an earlier leader has stored. missing are the entries of it that some record
// lacks, with the key of that record.
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

// forget removes a value that is not stored.
func (j *Journal) forget(v *valueState) {
	j.values = slices.DeleteFunc(j.values, func(other *valueState) bool { return other == v })
	if j.tail == v {
		j.tail = nil
	}
}
