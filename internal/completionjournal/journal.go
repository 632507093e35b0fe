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
	// mostValueBytes keeps a value from filling a transaction that others wait for.
	mostValueBytes = 24 << 10
	// rewriteShare is the part of a full value up to which it is written anew with what has come
	// since: a value that is begun costs one change more, its deletion.
	rewriteShare = 4
	// foldsPerTick bounds the values whose folding begins at a time.
	foldsPerTick = 4
)

// Journal is a leader's. Ends wait until the next transaction takes what has piled up.
type Journal struct {
	token   uint64
	limits  Limits
	store   Store
	folder  Compactor
	now     func() time.Duration
	enabled bool

	// pending are the ends that no stored value has.
	pending []*end
	// tail is the value that is written next or was written last. marked: its write waits or is
	// under way; rendered are the pending ends that its last rendering took.
	tail     *value
	marked   bool
	rendered []*end
	wrote    bool // that rendering was no deletion
	urgent   bool // somebody waits for a pending end
	next     uint64
	// values are all that may be stored, in the order in which they were begun.
	values   []*value
	byRecord map[string][]*end
}

// end is an entry with the record that makes it redundant.
type end struct {
	entry  Entry
	record string
	then   func() // called once it is durable, here or in its record; nil: nobody waits
	value  *value // nil: it is pending
	// covered: the record was rendered with it. folded: it was stored so. asked: the folder was.
	covered, folded, asked bool
}

// value is a key of the journal.
type value struct {
	key     string
	bytes   int    // of its body, as last rendered
	ends    []*end // as stored
	open    int    // of these, not folded
	begun   time.Duration
	stored  bool
	folding bool
	leaving bool // its deletion waits
}

// New makes the journal of a term. It takes no ends until it is opened.
func New(token uint64, limits Limits, store Store, folder Compactor, now func() time.Duration) *Journal {
	limits.ValueBytes = min(limits.ValueBytes, mostValueBytes)
	return &Journal{token: token, limits: limits, store: store, folder: folder, now: now, byRecord: map[string][]*end{}}
}

// Open has the journal take ends from now on.
func (j *Journal) Open() { j.enabled = true }

// Close has it take none any more; Tick folds what there is.
func (j *Journal) Close() {
	if !j.enabled {
		return
	}
	j.enabled = false
	if j.marked && j.store.Unmark(j.tail.key) {
		j.marked, j.rendered = false, nil
		if !j.tail.stored {
			j.drop(j.tail)
		}
	}
}

// Takes says whether ends may be added; otherwise they go to their records.
func (j *Journal) Takes() bool { return j.enabled && len(j.values) < j.limits.Values }

// Size is what the journal holds: values, the ends in them that are not folded, and ends that wait.
func (j *Journal) Size() (values, open, pending int) {
	for _, v := range j.values {
		open += v.open
	}
	for _, e := range j.pending {
		if !e.folded {
			pending++
		}
	}
	return len(j.values), open, pending
}

// Empty says whether nothing is stored in the journal's form, and nothing waits to be.
func (j *Journal) Empty() bool {
	_, _, pending := j.Size()
	return len(j.values) == 0 && pending == 0 && !j.marked
}

// Add takes an end. record is the key of the record that will have it. then is called once it is
// durable; nil: nobody waits for that.
func (j *Journal) Add(entry Entry, record string, then func()) {
	e := &end{entry: entry, record: record, then: then}
	j.pending = append(j.pending, e)
	j.byRecord[record] = append(j.byRecord[record], e)
	j.urgent = j.urgent || then != nil
	j.mark()
}

// Adopt takes the entries of a value that an earlier leader stored and that some record still lacks.
func (j *Journal) Adopt(key string, ends map[Entry]string) {
	v := &value{key: key, begun: j.now(), stored: true, bytes: j.limits.ValueBytes}
	j.values = append(j.values, v)
	for entry, record := range ends {
		e := &end{entry: entry, record: record, value: v}
		v.ends = append(v.ends, e)
		j.byRecord[record] = append(j.byRecord[record], e)
	}
	v.open = len(v.ends)
	slices.SortFunc(v.ends, func(a, b *end) int { return compareEntries(a.entry, b.entry) })
}

// Rendered notes that a record was rendered as it is now, and so has all ends added until now.
func (j *Journal) Rendered(record string) {
	for _, e := range j.byRecord[record] {
		e.covered = true
	}
}

// Stored notes that a record is durable as it was last rendered.
func (j *Journal) Stored(record string) {
	ends := j.byRecord[record]
	if len(ends) == 0 {
		return
	}
	var left []*end
	for _, e := range ends {
		if !e.covered {
			left = append(left, e)
		}
	}
	if len(left) == 0 {
		delete(j.byRecord, record)
	} else {
		j.byRecord[record] = left
	}
	for _, e := range ends {
		if e.covered {
			j.fold(e)
		}
	}
}

// fold notes that an end is redundant.
func (j *Journal) fold(e *end) {
	if e.folded {
		return
	}
	e.folded = true
	e.durable()
	v := e.value
	if v == nil {
		return
	}
	if v.open--; v.open == 0 && v != j.tail {
		j.remove(v)
	}
}

func (e *end) durable() {
	if then := e.then; then != nil {
		e.then = nil
		then()
	}
}

func (v *value) unfolded() []*end {
	var out []*end
	for _, e := range v.ends {
		if !e.folded {
			out = append(out, e)
		}
	}
	return out
}

// mark asks for the tail to be written, as urgently as what waits is.
func (j *Journal) mark() {
	if !j.enabled || j.marked && !j.store.IsPending(j.tail.key) {
		return // what is under way is followed by another write
	}
	priority := statestore.Lazy
	if j.urgent {
		priority = statestore.Done
	}
	if j.marked {
		j.store.Mark(j.tail.key, priority, j.render, nil)
		return
	}
	j.chooseTail()
	j.marked = true
	j.store.Mark(j.tail.key, priority, j.render, j.written)
}

// chooseTail keeps the tail while it is short, or begins another value.
func (j *Journal) chooseTail() {
	if t := j.tail; t != nil && !t.folding && !t.leaving && t.bytes < j.limits.ValueBytes/rewriteShare {
		return
	}
	former := j.tail
	j.next++
	j.tail = &value{key: Key(j.token, j.next), begun: j.now()}
	j.values = append(j.values, j.tail)
	if former != nil && former.stored && former.open == 0 {
		j.remove(former)
	}
}

// render makes the tail's value of what it has and of as much as fits of what waits; nil: of nothing.
func (j *Journal) render() any {
	kept := j.tail.unfolded()
	waiting := make([]*end, 0, len(j.pending))
	for _, e := range j.pending {
		if e.waits() {
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
	j.rendered = waiting[:n]
	j.tail.bytes = len(out.Body)
	if n < len(waiting) {
		j.tail.bytes = j.limits.ValueBytes // it is full
	}
	if j.wrote = len(kept)+n > 0; !j.wrote {
		return nil
	}
	return out
}

// waits says whether a pending end needs a value: what a record was just rendered with does not,
// unless somebody waits for it.
func (e *end) waits() bool { return !e.folded && (!e.covered || e.then != nil) }

func (v *value) number() uint64 {
	_, number, _ := ParseKey(v.key)
	return number
}

func (j *Journal) fits(v Value) bool { return len(v.Body)+envelopeBytes <= j.limits.ValueBytes }

// written notes that the tail is stored as it was last rendered.
func (j *Journal) written() {
	t := j.tail
	j.marked = false
	t.ends = append(t.unfolded(), j.rendered...)
	t.stored = j.wrote
	for _, e := range j.rendered {
		e.value = t
	}
	t.open = len(t.unfolded())
	j.pending = slices.DeleteFunc(j.pending, func(e *end) bool { return e.value != nil || e.folded })
	ready := j.rendered
	j.rendered = nil
	if !t.stored {
		j.drop(t)
	}
	for _, e := range ready {
		e.durable()
	}
	j.urgent = slices.ContainsFunc(j.pending, func(e *end) bool { return e.then != nil })
	if slices.ContainsFunc(j.pending, (*end).waits) {
		j.mark()
	}
}

// drop forgets a value that is not there.
func (j *Journal) drop(v *value) {
	j.values = slices.DeleteFunc(j.values, func(x *value) bool { return x == v })
	if j.tail == v {
		j.tail = nil
	}
}

// remove deletes a value whose ends are all folded.
func (j *Journal) remove(v *value) {
	if v.leaving {
		return
	}
	v.leaving = true
	if j.tail == v {
		j.tail = nil
	}
	j.store.Mark(v.key, j.foldPriority(), func() any { return nil }, func() { j.drop(v) })
}

// foldPriority is lazy, but once half of the values are there folding must not starve.
func (j *Journal) foldPriority() statestore.Priority {
	if len(j.values) > j.limits.Values/2 {
		return statestore.Done
	}
	return statestore.Lazy
}

// Abandon takes back a value that the state service takes in no form: what was to be in it goes to
// its records, and so does all that comes later in this term.
func (j *Journal) Abandon() {
	j.marked, j.rendered, j.enabled = false, nil, false
	if j.tail != nil && !j.tail.stored {
		j.drop(j.tail)
	}
}

// Tick folds what is old, the oldest first, and all of it once the journal is closed.
func (j *Journal) Tick() {
	if !j.enabled {
		j.foldPending()
	}
	begun := 0
	for _, v := range slices.Clone(j.values) {
		if begun == foldsPerTick {
			return
		}
		if v.leaving || v == j.tail && j.marked || !v.stored {
			continue
		}
		old := j.now() >= v.begun+j.limits.CompactAfter
		switch {
		case v.open == 0 && (old || !j.enabled):
			j.remove(v)
		case !v.folding && (old || !j.enabled || len(j.values) > j.limits.Values/2):
			begun++
			j.foldValue(v)
		}
	}
}

// foldPending has the records take what no value will.
func (j *Journal) foldPending() {
	if j.marked {
		return // a value with it is under way
	}
	for _, e := range slices.Clone(j.pending) {
		if !e.asked && !e.folded {
			priority := statestore.Lazy
			if e.then != nil {
				priority = statestore.Done
			}
			e.asked = true
			j.folder.Compact(e.entry, e.record, priority)
		}
	}
	j.pending = slices.DeleteFunc(j.pending, func(e *end) bool { return e.folded })
}

func (j *Journal) foldValue(v *value) {
	v.folding = true
	if j.tail == v {
		j.tail = nil
	}
	for _, e := range v.unfolded() {
		if !e.asked {
			e.asked = true
			j.folder.Compact(e.entry, e.record, j.foldPriority())
		}
	}
	if v.open == 0 {
		j.remove(v)
	}
}
