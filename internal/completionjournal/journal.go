package completionjournal

import (
	"slices"
	"sort"
	"time"

	"claybarrow/internal/statestore"
)

// Store takes the journal's writes; a statestore.Writer is one.
type Store interface {
	Mark(key string, priority statestore.Priority, render func() any, then func())
	Unmark(key string) bool
	IsPending(key string) bool
}

// Compactor owns the records that ends are folded into.
type Compactor interface {
	// Compact has the record that makes an end redundant written before long, or says at once, by
	// Rendered and Stored, that there is no such record any more.
	Compact(entry Entry, record string, priority statestore.Priority)
}

// Limits bound the journal.
type Limits struct {
	// ValueBytes is the most that a value may take as JSON.
	ValueBytes int
	// Values is how many may be there at a time. Beyond it ends go to their records.
	Values int
	// CompactAfter is how old a value may become before its ends are folded.
	CompactAfter time.Duration
}

const (
	// envelopeBytes bounds what a value takes beside its body, as JSON with the fields' Go names.
	envelopeBytes = 160
	// maxValueBytes keeps a value from filling a transaction that others wait for.
	maxValueBytes = 24 << 10
	// rewriteFraction is the part of a full value up to which it is written anew with what has come
	// since: a value that is begun costs one change more, its deletion.
	rewriteFraction = 4
	// compactionsPerTick bounds the values whose folding begins at a time.
	compactionsPerTick = 4
)

// Journal is a leader's. Ends wait until the next transaction takes what has piled up.
type Journal struct {
	token     uint64
	limits    Limits
	store     Store
	compactor Compactor
	now       func() time.Duration
	enabled   bool

	// pending are the ends that no stored value has.
	pending []*entryState
	// tail is the value that is written next or was written last. marked: its write waits or is
	// under way; rendered are the pending ends that its last rendering took.
	tail            *valueState
	writePending    bool
	renderedEntries []*entryState
	renderedValue   bool // that rendering was no deletion
	hasWaiter       bool // somebody waits for a pending end
	lastNumber      uint64
	// values are all that may be stored, in the order in which they were begun.
	values   []*valueState
	byRecord map[string][]*entryState
}

// entryState is an entry with the record that makes it redundant.
type entryState struct {
	entry     Entry
	record    string
	onDurable func()      // called once it is durable, here or in its record; nil: nobody waits
	value     *valueState // nil: it is pending
	// rendered: the record was rendered with it. folded: it was stored so. asked: the folder was.
	rendered, compacted, compactionRequested bool
}

// valueState is a key of the journal.
type valueState struct {
	key         string
	bodyBytes   int           // of its body, as last rendered
	entries     []*entryState // as stored
	uncompacted int           // of these, not folded
	createdAt   time.Duration
	stored      bool
	compacting  bool
	deleting    bool // its deletion waits
}

// New makes the journal of a term. It takes no ends until it is opened.
func New(token uint64, limits Limits, store Store, folder Compactor, now func() time.Duration) *Journal {
	limits.ValueBytes = min(limits.ValueBytes, maxValueBytes)
	return &Journal{token: token, limits: limits, store: store, compactor: folder, now: now, byRecord: map[string][]*entryState{}}
}

// Open has the journal take ends from now on.
func (j *Journal) Open() { j.enabled = true }

// Close has it take none any more; Tick folds what there is.
func (j *Journal) Close() {
	if !j.enabled {
		return
	}
	j.enabled = false
	if j.writePending && j.store.Unmark(j.tail.key) {
		j.writePending, j.renderedEntries = false, nil
		if !j.tail.stored {
			j.forget(j.tail)
		}
	}
}

// Takes says whether ends may be added; otherwise they go to their records.
func (j *Journal) Takes() bool { return j.enabled && len(j.values) < j.limits.Values }

// Size is what the journal holds: values, the ends in them that are not folded, and ends that wait.
func (j *Journal) Size() (values, open, pending int) {
	for _, v := range j.values {
		open += v.uncompacted
	}
	for _, e := range j.pending {
		if !e.compacted {
			pending++
		}
	}
	return len(j.values), open, pending
}

// Empty says whether nothing is stored in the journal's form, and nothing waits to be.
func (j *Journal) Empty() bool {
	_, _, pending := j.Size()
	return len(j.values) == 0 && pending == 0 && !j.writePending
}

// Add takes an end. record is the key of the record that will have it. then is called once it is
// durable; nil: nobody waits for that.
func (j *Journal) Add(entry Entry, record string, then func()) {
	e := &entryState{entry: entry, record: record, onDurable: then}
	j.pending = append(j.pending, e)
	j.byRecord[record] = append(j.byRecord[record], e)
	j.hasWaiter = j.hasWaiter || then != nil
	j.scheduleWrite()
}

// Adopt takes the entries of a value that an earlier leader stored and that some record still lacks.
func (j *Journal) Adopt(key string, ends map[Entry]string) {
	v := &valueState{key: key, createdAt: j.now(), stored: true, bodyBytes: j.limits.ValueBytes}
	j.values = append(j.values, v)
	for entry, record := range ends {
		e := &entryState{entry: entry, record: record, value: v}
		v.entries = append(v.entries, e)
		j.byRecord[record] = append(j.byRecord[record], e)
	}
	v.uncompacted = len(v.entries)
	slices.SortFunc(v.entries, func(a, b *entryState) int { return compareEntries(a.entry, b.entry) })
}

// Rendered notes that a record was rendered as it is now, and so has all ends added until now.
func (j *Journal) Rendered(record string) {
	for _, e := range j.byRecord[record] {
		e.rendered = true
	}
}

// Stored notes that a record is durable as it was last rendered.
func (j *Journal) Stored(record string) {
	ends := j.byRecord[record]
	if len(ends) == 0 {
		return
	}
	var left []*entryState
	for _, e := range ends {
		if !e.rendered {
			left = append(left, e)
		}
	}
	if len(left) == 0 {
		delete(j.byRecord, record)
	} else {
		j.byRecord[record] = left
	}
	for _, e := range ends {
		if e.rendered {
			j.markCompacted(e)
		}
	}
}

// markCompacted notes that an end is redundant.
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

func (e *entryState) notifyDurable() {
	if then := e.onDurable; then != nil {
		e.onDurable = nil
		then()
	}
}

func (v *valueState) uncompactedEntries() []*entryState {
	var out []*entryState
	for _, e := range v.entries {
		if !e.compacted {
			out = append(out, e)
		}
	}
	return out
}

// scheduleWrite asks for the tail to be written, as urgently as what waits is.
func (j *Journal) scheduleWrite() {
	if !j.enabled || j.writePending && !j.store.IsPending(j.tail.key) {
		return // what is under way is followed by another write
	}
	priority := statestore.Lazy
	if j.hasWaiter {
		priority = statestore.Done
	}
	if j.writePending {
		j.store.Mark(j.tail.key, priority, j.renderTail, nil)
		return
	}
	j.chooseTail()
	j.writePending = true
	j.store.Mark(j.tail.key, priority, j.renderTail, j.tailStored)
}

// chooseTail keeps the tail while it is short, or begins another value.
func (j *Journal) chooseTail() {
	if t := j.tail; t != nil && !t.compacting && !t.deleting && t.bodyBytes < j.limits.ValueBytes/rewriteFraction {
		return
	}
	former := j.tail
	j.lastNumber++
	j.tail = &valueState{key: Key(j.token, j.lastNumber), createdAt: j.now()}
	j.values = append(j.values, j.tail)
	if former != nil && former.stored && former.uncompacted == 0 {
		j.deleteValue(former)
	}
}

// renderTail makes the tail's value of what it has and of as much as fits of what waits; nil: of nothing.
func (j *Journal) renderTail() any {
	kept := j.tail.uncompactedEntries()
	waiting := make([]*entryState, 0, len(j.pending))
	for _, e := range j.pending {
		if e.needsValue() {
			waiting = append(waiting, e)
		}
	}
	encode := func(n int) Value {
		list := make([]Entry, 0, len(kept)+n)
		for _, e := range kept {
			list = append(list, e.entry)
		}
		for _, e := range waiting[:n] {
			list = append(list, e.entry)
		}
		return Encode(j.token, j.tail.number(), list)
	}
	n := len(waiting)
	out := encode(n)
	if !j.fits(out) {
		n = sort.Search(n, func(n int) bool { return !j.fits(encode(n + 1)) })
		out = encode(n)
	}
	j.renderedEntries = waiting[:n]
	j.tail.bodyBytes = len(out.Body)
	if n < len(waiting) {
		j.tail.bodyBytes = j.limits.ValueBytes // it is full
	}
	if j.renderedValue = len(kept)+n > 0; !j.renderedValue {
		return nil
	}
	return out
}

// needsValue says whether a pending end needs a value: what a record was just rendered with does not,
// unless somebody waits for it.
func (e *entryState) needsValue() bool { return !e.compacted && (!e.rendered || e.onDurable != nil) }

func (v *valueState) number() uint64 {
	_, number, _ := ParseKey(v.key)
	return number
}

func (j *Journal) fits(v Value) bool { return len(v.Body)+envelopeBytes <= j.limits.ValueBytes }

// tailStored notes that the tail is stored as it was last rendered.
func (j *Journal) tailStored() {
	t := j.tail
	j.writePending = false
	t.entries = append(t.uncompactedEntries(), j.renderedEntries...)
	t.stored = j.renderedValue
	for _, e := range j.renderedEntries {
		e.value = t
	}
	t.uncompacted = len(t.uncompactedEntries())
	j.pending = slices.DeleteFunc(j.pending, func(e *entryState) bool { return e.value != nil || e.compacted })
	ready := j.renderedEntries
	j.renderedEntries = nil
	if !t.stored {
		j.forget(t)
	}
	for _, e := range ready {
		e.notifyDurable()
	}
	j.hasWaiter = slices.ContainsFunc(j.pending, func(e *entryState) bool { return e.onDurable != nil })
	if slices.ContainsFunc(j.pending, (*entryState).needsValue) {
		j.scheduleWrite()
	}
}

// forget forgets a value that is not there.
func (j *Journal) forget(v *valueState) {
	j.values = slices.DeleteFunc(j.values, func(x *valueState) bool { return x == v })
	if j.tail == v {
		j.tail = nil
	}
}

// deleteValue deletes a value whose ends are all folded.
func (j *Journal) deleteValue(v *valueState) {
	if v.deleting {
		return
	}
	v.deleting = true
	if j.tail == v {
		j.tail = nil
	}
	j.store.Mark(v.key, j.compactionPriority(), func() any { return nil }, func() { j.forget(v) })
}

// compactionPriority is lazy, but once half of the values are there folding must not starve.
func (j *Journal) compactionPriority() statestore.Priority {
	if len(j.values) > j.limits.Values/2 {
		return statestore.Done
	}
	return statestore.Lazy
}

// Abandon takes back a value that the state service takes in no form: what was to be in it goes to
// its records, and so does all that comes later in this term.
func (j *Journal) Abandon() {
	j.writePending, j.renderedEntries, j.enabled = false, nil, false
	if j.tail != nil && !j.tail.stored {
		j.forget(j.tail)
	}
}

// Tick folds what is old, the oldest first, and all of it once the journal is closed.
func (j *Journal) Tick() {
	if !j.enabled {
		j.compactPending()
	}
	begun := 0
	for _, v := range slices.Clone(j.values) {
		if begun == compactionsPerTick {
			return
		}
		if v.deleting || v == j.tail && j.writePending || !v.stored {
			continue
		}
		old := j.now() >= v.createdAt+j.limits.CompactAfter
		switch {
		case v.uncompacted == 0 && (old || !j.enabled):
			j.deleteValue(v)
		case !v.compacting && (old || !j.enabled || len(j.values) > j.limits.Values/2):
			begun++
			j.compactValue(v)
		}
	}
}

// compactPending has the records take what no value will.
func (j *Journal) compactPending() {
	if j.writePending {
		return // a value with it is under way
	}
	for _, e := range slices.Clone(j.pending) {
		if !e.compactionRequested && !e.compacted {
			priority := statestore.Lazy
			if e.onDurable != nil {
				priority = statestore.Done
			}
			e.compactionRequested = true
			j.compactor.Compact(e.entry, e.record, priority)
		}
	}
	j.pending = slices.DeleteFunc(j.pending, func(e *entryState) bool { return e.compacted })
}

func (j *Journal) compactValue(v *valueState) {
	v.compacting = true
	if j.tail == v {
		j.tail = nil
	}
	for _, e := range v.uncompactedEntries() {
		if !e.compactionRequested {
			e.compactionRequested = true
			j.compactor.Compact(e.entry, e.record, j.compactionPriority())
		}
	}
	if v.uncompacted == 0 {
		j.deleteValue(v)
	}
}
