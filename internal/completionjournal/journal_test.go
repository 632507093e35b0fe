package completionjournal

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/statestore"
)

// fakeStore is a Store that writes when the test calls it to, and the Compactor that owns the records that entries
// are compacted into.
type fakeStore struct {
	t       *testing.T
	journal *Journal
	now     time.Duration
	waiting map[string]*fakeWrite
	order   []string         // the queued keys, first in first out
	stored  map[string]Value // the journal's values
	// deletions counts the deleted keys.
	deletions int
	// current are the records in their present state, records are the records as they were last stored.
	current, records map[string]map[Entry]bool
}

// fakeWrite is a queued write.
type fakeWrite struct {
	priority statestore.Priority
	render   func() any
	onStored []func()
}

// leaderToken is the fencing token of the journal under test.
const leaderToken = 7

// newFakeStore returns a store with an open journal.
func newFakeStore(t *testing.T, limits Limits) *fakeStore {
	t.Helper()
	s := &fakeStore{t: t, waiting: map[string]*fakeWrite{}, stored: map[string]Value{},
		current: map[string]map[Entry]bool{}, records: map[string]map[Entry]bool{}}
	s.journal = New(leaderToken, limits, s, s, func() time.Duration { return s.now })
	s.journal.Open()
	return s
}

func (s *fakeStore) QueueWrite(key string, priority statestore.Priority, render func() any, onStored func()) {
	w := s.waiting[key]
	if w == nil {
		w = &fakeWrite{priority: priority}
		s.waiting[key] = w
		s.order = append(s.order, key)
	}
	w.priority, w.render = min(w.priority, priority), render
	if onStored != nil {
		w.onStored = append(w.onStored, onStored)
	}
}

func (s *fakeStore) CancelWrite(key string) bool {
	queued := s.waiting[key] != nil
	delete(s.waiting, key)
	s.order = slices.DeleteFunc(s.order, func(k string) bool { return k == key })
	return queued
}

func (s *fakeStore) IsPending(key string) bool { return s.waiting[key] != nil }

// Compact implements Compactor.
func (s *fakeStore) Compact(_ Entry, record string, priority statestore.Priority) {
	s.QueueWrite(record, priority, func() any { return maps.Clone(s.current[record]) }, nil)
}

// add adds an entry as a controller does. The present state of the record contains the entry from then on. The entry
// is written to the journal or, if the journal accepts no entries, to the record.
func (s *fakeStore) add(e Entry, onDurable func()) {
	record := recordOf(e)
	if s.current[record] == nil {
		s.current[record] = map[Entry]bool{}
	}
	s.current[record][e] = true
	if s.journal.Accepts() {
		s.journal.Add(e, record, onDurable)
		return
	}
	s.QueueWrite(record, statestore.PriorityCompletion, func() any { return maps.Clone(s.current[record]) }, onDurable)
}

func recordOf(e Entry) string {
	if e.Machine != "" {
		return "m/" + e.Machine
	}
	return "d/" + e.Job + "/0"
}

// transaction is a set of writes that become durable together.
type transaction struct {
	keys     []string
	values   []any
	onStored [][]func()
}

// compose builds a transaction of up to n queued writes.
func (s *fakeStore) compose(n int) *transaction {
	t := &transaction{}
	for len(s.order) > 0 && len(t.keys) < n {
		key := s.order[0]
		w := s.waiting[key]
		s.CancelWrite(key)
		t.keys = append(t.keys, key)
		t.values = append(t.values, w.render())
		t.onStored = append(t.onStored, w.onStored)
		if strings.HasPrefix(key, "m/") || strings.HasPrefix(key, "d/") {
			s.journal.RecordRendered(key)
		}
	}
	return t
}

// apply makes a transaction durable.
func (s *fakeStore) apply(t *transaction) {
	for i, key := range t.keys {
		switch value := t.values[i].(type) {
		case Value:
			if text, err := json.Marshal(value); err != nil || len(text) > s.journal.limits.ValueBytes {
				s.t.Fatalf("a value of %d bytes exceeds the limit, or its encoding fails: %v", len(text), err)
			}
			s.stored[key] = value
		case map[Entry]bool:
			s.records[key] = value
			s.journal.RecordStored(key)
		case nil:
			delete(s.stored, key)
			s.deletions++
		}
		for _, f := range t.onStored[i] {
			f()
		}
	}
}

func (s *fakeStore) flush() {
	for len(s.order) > 0 {
		s.apply(s.compose(8))
	}
}

// read returns the entries that a new leader reads at a failover: the entries in the records and in the journal.
func (s *fakeStore) read() map[Entry]bool {
	found := map[Entry]bool{}
	for _, recorded := range s.records {
		maps.Copy(found, recorded)
	}
	for _, key := range slices.Sorted(maps.Keys(s.stored)) {
		entries, err := Decode(key, s.stored[key])
		if err != nil {
			s.t.Fatal(err)
		}
		for _, e := range entries {
			found[e] = true
		}
	}
	return found
}

var testLimits = Limits{ValueBytes: 1 << 10, Values: 20, CompactAfter: 10 * time.Second}

// After each step of a random history, a new leader would read all entries whose callback was called, and no entry
// that was not added. Once the journal is closed and compacted, the records contain all entries and no value of the
// journal is stored.
func TestCompactionOverRandomHistories(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h := &randomHistory{
				fakeStore:    newFakeStore(t, testLimits),
				random:       rand.New(rand.NewPCG(seed, 3)),
				acknowledged: map[Entry]bool{},
				added:        map[Entry]bool{},
			}
			h.remaining = randomEntries(h.random, 300)
			for len(h.remaining) > 0 {
				h.step()
				h.check()
			}
			h.closeJournal()
			if len(h.acknowledged) == 0 || h.deletions == 0 {
				t.Fatalf("%d entries were acknowledged, %d values deleted: the history covers too little", len(h.acknowledged), h.deletions)
			}
		})
	}
}

// randomHistory is a random sequence of entries, transactions and ticks.
type randomHistory struct {
	*fakeStore
	random   *rand.Rand
	inFlight *transaction
	// remaining are the entries that will be added, added the entries that were added, acknowledged the entries
	// whose callback was called.
	remaining           []Entry
	added, acknowledged map[Entry]bool
}

// step adds an entry, composes or applies a transaction, or advances the clock.
func (h *randomHistory) step() {
	switch h.random.IntN(6) {
	case 0, 1, 2:
		e := h.remaining[0]
		h.remaining = h.remaining[1:]
		h.added[e] = true
		var onDurable func()
		if e.Machine == "" {
			onDurable = func() { h.acknowledged[e] = true }
		}
		h.add(e, onDurable)
	case 3:
		if h.inFlight == nil {
			h.inFlight = h.compose(1 + h.random.IntN(4))
		}
	case 4:
		h.applyInFlight()
	case 5:
		h.now += time.Duration(h.random.IntN(4000)) * time.Millisecond
		h.journal.Tick()
	}
}

func (h *randomHistory) applyInFlight() {
	if h.inFlight != nil {
		h.apply(h.inFlight)
		h.inFlight = nil
	}
}

// check compares the entries that a new leader would read with the entries that were added.
func (h *randomHistory) check() {
	h.t.Helper()
	found := h.read()
	for e := range h.acknowledged {
		if !found[e] {
			h.t.Fatalf("entry %+v was acknowledged, but a new leader does not read it", e)
		}
	}
	for e := range found {
		if !h.added[e] {
			h.t.Fatalf("a new leader reads entry %+v, which was not added", e)
		}
	}
}

// closeJournal closes the journal and runs its compaction until nothing should remain.
func (h *randomHistory) closeJournal() {
	h.t.Helper()
	h.journal.Close()
	h.applyInFlight()
	for range 200 {
		h.journal.Tick()
		h.flush()
		h.check()
	}
	if !h.journal.IsEmpty() || len(h.stored) > 0 {
		h.t.Fatalf("values that remain after compaction: %v", slices.Collect(maps.Keys(h.stored)))
	}
	for e := range h.added {
		if !h.records[recordOf(e)][e] {
			h.t.Fatalf("the record of entry %+v does not contain it", e)
		}
	}
}

func completionOf(index int) Entry { return Entry{Job: "j-000001", Index: index} }

func departureOf(machine string, attempt uint64) Entry {
	return Entry{Job: "j-000001", Index: int(attempt), Machine: machine, Attempt: attempt}
}

// A short value is rewritten with the entries that were added since; a full value is followed by a new one. One write
// includes as many pending entries as the limit on the value allows, to the byte.
func TestValuesAreFilled(t *testing.T) {
	s := newFakeStore(t, testLimits)
	for i := range 3 {
		s.add(departureOf("i-000001", uint64(i)), nil)
		s.flush()
	}
	if keys := slices.Collect(maps.Keys(s.stored)); len(keys) != 1 || keys[0] != Key(leaderToken, 1) {
		t.Errorf("stored values %v, want one", keys)
	}
	for i := range 200 {
		s.add(departureOf(fmt.Sprintf("i-%06d", i), uint64(1000+i)), nil)
	}
	s.apply(s.compose(1))
	entries, err := Decode(Key(leaderToken, 1), s.stored[Key(leaderToken, 1)])
	if err != nil {
		t.Fatal(err)
	}
	larger := Encode(leaderToken, 1, append(entries, departureOf(fmt.Sprintf("i-%06d", len(entries)-3), uint64(1000+len(entries)-3))))
	if have := len(s.stored[Key(leaderToken, 1)].Body) + envelopeBytes; have > testLimits.ValueBytes || len(larger.Body)+envelopeBytes <= testLimits.ValueBytes {
		t.Errorf("the value takes %d bytes with %d entries and would take %d with one more, limit 1024", have, len(entries), len(larger.Body)+envelopeBytes)
	}
	s.flush()
	if len(s.read()) != 203 {
		t.Errorf("%d entries are stored, want 203", len(s.read()))
	}
}

// An entry is not compacted by a record that was rendered before the entry was added.
func TestRecordRenderedBeforeAnEntry(t *testing.T) {
	s := newFakeStore(t, testLimits)
	callbackSum := 0
	s.add(completionOf(1), func() { callbackSum++ })
	s.Compact(completionOf(1), recordOf(completionOf(1)), statestore.PriorityBatch)
	s.CancelWrite(Key(leaderToken, 1)) // queue the write of the journal behind the write of the record
	s.QueueWrite(Key(leaderToken, 1), statestore.PriorityCompletion, s.journal.renderTail, s.journal.tailStored)
	inFlight := s.compose(1)
	if inFlight.keys[0] != recordOf(completionOf(1)) {
		t.Fatal(inFlight.keys)
	}
	s.add(completionOf(2), func() { callbackSum += 10 })
	s.apply(inFlight)
	if callbackSum != 1 {
		t.Errorf("callbacks sum up to %d, want 1: the record contains the first entry only", callbackSum)
	}
	s.flush()
	if callbackSum != 11 || !s.read()[completionOf(2)] {
		t.Errorf("callbacks sum up to %d, want 11, or the second entry is not stored", callbackSum)
	}
}

// When the journal has the maximum number of values, entries are written to their records. When it is more than half
// full, compaction has a higher priority.
func TestValuesAreBounded(t *testing.T) {
	limits := testLimits
	limits.Values, limits.ValueBytes = 4, 300
	s := newFakeStore(t, limits)
	for i := range 60 {
		s.add(departureOf(fmt.Sprintf("i-%06d", i), uint64(i)), nil)
		if s.IsPending(Key(leaderToken, s.journal.lastNumber)) {
			s.apply(s.compose(1))
		}
		if n, _, _ := s.journal.Size(); n > limits.Values {
			t.Fatalf("%d values, limit 4", n)
		}
	}
	if s.journal.Accepts() || s.journal.compactionPriority() != statestore.PriorityCompletion {
		t.Error("a full journal accepts entries, or compacts them with the background priority")
	}
	for range 20 {
		s.journal.Tick()
		s.flush()
	}
	if !s.journal.Accepts() {
		t.Error("a compacted journal accepts no entries")
	}
}

// All entries of an abandoned value are written to the records.
func TestAbandonedValue(t *testing.T) {
	s := newFakeStore(t, testLimits)
	callbackCalled := false
	s.add(completionOf(1), func() { callbackCalled = true })
	s.CancelWrite(Key(leaderToken, 1))
	s.journal.Abandon()
	s.journal.Tick()
	s.flush()
	if !callbackCalled || !s.records[recordOf(completionOf(1))][completionOf(1)] || !s.journal.IsEmpty() || s.journal.Accepts() {
		t.Errorf("callback called %v, records %v", callbackCalled, s.records)
	}
}

// Values of earlier leaders are compacted and deleted, also a value whose entries are all in their records.
func TestAdoptedValues(t *testing.T) {
	s := newFakeStore(t, testLimits)
	e := departureOf("i-000001", 1)
	s.current[recordOf(e)] = map[Entry]bool{e: true}
	for n, missing := range []map[Entry]string{{e: recordOf(e)}, {}} {
		key := Key(5, uint64(n))
		s.stored[key] = Encode(5, uint64(n), nil)
		s.journal.Adopt(key, missing)
	}
	s.now += testLimits.CompactAfter
	for range 3 {
		s.journal.Tick()
		s.flush()
	}
	if len(s.stored) > 0 || !s.records[recordOf(e)][e] || !s.journal.IsEmpty() {
		t.Errorf("values %v remain, or the record does not contain the entry", s.stored)
	}
}
