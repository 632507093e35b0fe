package completionjournal

import (
	"slices"
	"sort"

	"claybarrow/internal/statestore"
)

const (
	// envelopeBytes is an upper bound on the size of a value without its body. The writer measures a value by its
	// JSON encoding with the Go field names.
	envelopeBytes = 160
	// rewriteFraction determines when the tail is rewritten with later entries instead of beginning a new value:
	// while the tail is shorter than the size of a full value divided by rewriteFraction. Each new value costs
	// another write, its deletion.
	rewriteFraction = 4
)

// scheduleWrite queues a write of the tail, with the priority that the pending entries need.
func (j *Journal) scheduleWrite() {
	if !j.enabled || j.writePending && !j.store.IsPending(j.tail.key) {
		return // the tail is being written; tailStored schedules the next write
	}
	priority := statestore.PriorityBackground
	if j.hasCallback {
		priority = statestore.PriorityCompletion
	}
	if j.writePending {
		j.store.QueueWrite(j.tail.key, priority, j.renderTail, nil)
		return
	}
	j.chooseTail()
	j.writePending = true
	j.store.QueueWrite(j.tail.key, priority, j.renderTail, j.tailStored)
}

// chooseTail keeps the tail while it is short, and begins a new value otherwise.
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

// renderTail renders the tail with its entries that are not compacted and as many pending entries as fit. It returns
// nil, which deletes the key, if there are no such entries.
func (j *Journal) renderTail() any {
	existing := j.tail.uncompactedEntries()
	candidates := make([]*entryState, 0, len(j.pending))
	for _, e := range j.pending {
		if e.needsValue() {
			candidates = append(candidates, e)
		}
	}
	addedCount := len(candidates)
	value := j.encodeTail(existing, candidates)
	if !j.fits(value) {
		addedCount = sort.Search(addedCount, func(n int) bool { return !j.fits(j.encodeTail(existing, candidates[:n+1])) })
		value = j.encodeTail(existing, candidates[:addedCount])
	}
	j.renderedEntries = candidates[:addedCount]
	j.tail.bodyBytes = len(value.Body)
	if addedCount < len(candidates) {
		j.tail.bodyBytes = j.limits.ValueBytes // the value is full
	}
	if j.renderedValue = len(existing)+addedCount > 0; !j.renderedValue {
		return nil
	}
	return value
}

func (j *Journal) encodeTail(existing, added []*entryState) Value {
	entries := make([]Entry, 0, len(existing)+len(added))
	for _, e := range existing {
		entries = append(entries, e.entry)
	}
	for _, e := range added {
		entries = append(entries, e.entry)
	}
	return Encode(j.token, j.tail.number(), entries)
}

func (v *valueState) number() uint64 {
	_, number, _ := ParseKey(v.key)
	return number
}

func (j *Journal) fits(v Value) bool { return len(v.Body)+envelopeBytes <= j.limits.ValueBytes }

// tailStored is called when the tail is durable as it was last rendered.
func (j *Journal) tailStored() {
	tail := j.tail
	j.writePending = false
	tail.entries = append(tail.uncompactedEntries(), j.renderedEntries...)
	tail.stored = j.renderedValue
	for _, e := range j.renderedEntries {
		e.value = tail
	}
	tail.uncompacted = len(tail.uncompactedEntries())
	j.pending = slices.DeleteFunc(j.pending, func(e *entryState) bool { return e.value != nil || e.compacted })
	durable := j.renderedEntries
	j.renderedEntries = nil
	if !tail.stored {
		j.removeValue(tail)
	}
	for _, e := range durable {
		e.notifyDurable()
	}
	j.hasCallback = slices.ContainsFunc(j.pending, func(e *entryState) bool { return e.onDurable != nil })
	if slices.ContainsFunc(j.pending, (*entryState).needsValue) {
		j.scheduleWrite()
	}
}
