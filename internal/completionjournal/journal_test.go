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

// fakeStore is a writer that stores when it is told to, and the records that ends are folded into.
type fakeStore struct {
	t       *testing.T
	journal *Journal
	now     time.Duration
	waiting map[string]*fakeWrite
	order   []string
	// stored are the journal's values, revisions when each key was last stored.
	stored    map[string]Value
	revisions map[string]int
	revision  int
	deletions int
	// current is what the owner of the records knows; records are as they were last stored.
	current, records map[string]map[Entry]bool
}

type fakeWrite struct {
	priority statestore.Priority
	render   func() any
	onStored []func()
}

func newFakeStore(t *testing.T, limits Limits) *fakeStore {
	s := &fakeStore{t: t, waiting: map[string]*fakeWrite{}, stored: map[string]Value{}, revisions: map[string]int{},
		current: map[string]map[Entry]bool{}, records: map[string]map[Entry]bool{}}
	s.journal = New(7, limits, s, s, func() time.Duration { return s.now })
	s.journal.Open()
	return s
}

func (s *fakeStore) Mark(key string, priority statestore.Priority, render func() any, then func()) {
	w := s.waiting[key]
	if w == nil {
		w = &fakeWrite{priority: priority}
		s.waiting[key] = w
		s.order = append(s.order, key)
	}
	w.priority, w.render = min(w.priority, priority), render
	if then != nil {
		w.onStored = append(w.onStored, then)
	}
}

func (s *fakeStore) Unmark(key string) bool {
	was := s.waiting[key] != nil
	delete(s.waiting, key)
	s.order = slices.DeleteFunc(s.order, func(k string) bool { return k == key })
	return was
}

func (s *fakeStore) IsPending(key string) bool { return s.waiting[key] != nil }

// Compact is part of Folder.
func (s *fakeStore) Compact(_ Entry, record string, priority statestore.Priority) {
	s.Mark(record, priority, func() any { return maps.Clone(s.current[record]) }, nil)
}

// add adds an end, which its record's owner knows from then on.
func (s *fakeStore) add(e Entry, then func()) {
	record := recordOf(e)
	if s.current[record] == nil {
		s.current[record] = map[Entry]bool{}
	}
	s.current[record][e] = true
	if s.journal.Takes() {
		s.journal.Add(e, record, then)
		return
	}
	s.Mark(record, statestore.Done, func() any { return maps.Clone(s.current[record]) }, then)
}

func recordOf(e Entry) string {
	if e.Machine != "" {
		return "m/" + e.Machine
	}
	return "d/" + e.Job + "/0"
}

// transaction is what left together.
type transaction struct {
	keys     []string
	values   []any
	onStored [][]func()
}

// compose renders up to n writes.
func (s *fakeStore) compose(n int) *transaction {
	t := &transaction{}
	for len(s.order) > 0 && len(t.keys) < n {
		key := s.order[0]
		w := s.waiting[key]
		s.Unmark(key)
		t.keys = append(t.keys, key)
		t.values = append(t.values, w.render())
		t.onStored = append(t.onStored, w.onStored)
		if strings.HasPrefix(key, "m/") || strings.HasPrefix(key, "d/") {
			s.journal.Rendered(key)
		}
	}
	return t
}

// apply has a transaction be durable.
func (s *fakeStore) apply(t *transaction) {
	s.revision++
	for i, key := range t.keys {
		s.revisions[key] = s.revision
		switch value := t.values[i].(type) {
		case Value:
			if text, err := json.Marshal(value); err != nil || len(text) > s.journal.limits.ValueBytes {
				s.t.Fatalf("a value of %d bytes, %v", len(text), err)
			}
			s.stored[key] = value
		case map[Entry]bool:
			s.records[key] = value
			s.journal.Stored(key)
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

// read is what a take-over finds: the records, and what the journal says that they were written
// before.
func (s *fakeStore) read() map[Entry]bool {
	out := map[Entry]bool{}
	for _, ends := range s.records {
		maps.Copy(out, ends)
	}
	for _, key := range slices.Sorted(maps.Keys(s.stored)) {
		entries, err := Decode(key, s.stored[key])
		if err != nil {
			s.t.Fatal(err)
		}
		for _, e := range entries {
			out[e] = true
		}
	}
	return out
}

var usualLimits = Limits{ValueBytes: 1 << 10, Values: 20, CompactAfter: 10 * time.Second}

// At each prefix of random histories a take-over finds all ends that anybody was told of, and none that did
// not happen; when the journal is closed, the records alone have what today's would, and nothing of it is left.
func TestCompactionOverRandomHistories(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := newFakeStore(t, usualLimits)
		told, happened := map[Entry]bool{}, map[Entry]bool{}
		var flying *transaction
		check := func() {
			found := s.read()
			for e := range told {
				if !found[e] {
					t.Fatalf("seed %d: somebody was told of %+v, a take-over does not find it", seed, e)
				}
			}
			for e := range found {
				if !happened[e] {
					t.Fatalf("seed %d: a take-over finds %+v, which did not happen", seed, e)
				}
			}
		}
		ends := randomEntries(random, 300)
		for len(ends) > 0 {
			switch random.IntN(6) {
			case 0, 1, 2:
				e := ends[0]
				ends = ends[1:]
				happened[e] = true
				var then func()
				if e.Machine == "" {
					then = func() { told[e] = true }
				}
				s.add(e, then)
			case 3:
				if flying == nil {
					flying = s.compose(1 + random.IntN(4))
				}
			case 4:
				if flying != nil {
					s.apply(flying)
					flying = nil
				}
			case 5:
				s.now += time.Duration(random.IntN(4000)) * time.Millisecond
				s.journal.Tick()
			}
			check()
		}
		s.journal.Close()
		if flying != nil {
			s.apply(flying)
		}
		for range 200 {
			s.journal.Tick()
			s.flush()
			check()
		}
		if !s.journal.Empty() || len(s.stored) > 0 {
			t.Fatalf("seed %d: left: %v", seed, slices.Collect(maps.Keys(s.stored)))
		}
		for e := range happened {
			if !s.records[recordOf(e)][e] {
				t.Fatalf("seed %d: no record has %+v", seed, e)
			}
		}
		if len(told) == 0 || s.deletions == 0 {
			t.Fatalf("seed %d shows nothing", seed)
		}
	}
}

func completionOf(index int) Entry { return Entry{Job: "j-000001", Index: index} }

func departureOf(machine string, attempt uint64) Entry {
	return Entry{Job: "j-000001", Index: int(attempt), Machine: machine, Attempt: attempt}
}

// A short value is written anew with what has come since; a full one is followed by another. All
// that waits leaves at once, and a value takes as much as its limit allows, to the byte.
func TestValuesAreFilled(t *testing.T) {
	s := newFakeStore(t, usualLimits)
	for i := range 3 {
		s.add(departureOf("i-000001", uint64(i)), nil)
		s.flush()
	}
	if keys := slices.Collect(maps.Keys(s.stored)); len(keys) != 1 || keys[0] != Key(7, 1) {
		t.Errorf("values %v", keys)
	}
	for i := range 200 {
		s.add(departureOf(fmt.Sprintf("i-%06d", i), uint64(1000+i)), nil)
	}
	s.apply(s.compose(1))
	entries, err := Decode(Key(7, 1), s.stored[Key(7, 1)])
	if err != nil {
		t.Fatal(err)
	}
	more := Encode(7, 1, append(entries, departureOf(fmt.Sprintf("i-%06d", len(entries)-3), uint64(1000+len(entries)-3))))
	if have := len(s.stored[Key(7, 1)].Body) + envelopeBytes; have > usualLimits.ValueBytes || len(more.Body)+envelopeBytes <= usualLimits.ValueBytes {
		t.Errorf("a value of %d bytes with %d ends, one more would make it %d", have, len(entries), len(more.Body)+envelopeBytes)
	}
	s.flush()
	if len(s.read()) != 203 {
		t.Errorf("%d ends are stored", len(s.read()))
	}
}

// A record that was rendered before an end does not have it.
func TestRecordRenderedBeforeAnEntry(t *testing.T) {
	s := newFakeStore(t, usualLimits)
	told := 0
	s.add(completionOf(1), func() { told++ })
	s.Compact(completionOf(1), recordOf(completionOf(1)), statestore.Start)
	s.Unmark(Key(7, 1)) // the journal's own write waits
	s.Mark(Key(7, 1), statestore.Done, s.journal.renderTail, s.journal.tailStored)
	under := s.compose(1)
	if under.keys[0] != recordOf(completionOf(1)) {
		t.Fatal(under.keys)
	}
	s.add(completionOf(2), func() { told += 10 })
	s.apply(under)
	if told != 1 {
		t.Errorf("told %d: the record has the first end alone", told)
	}
	s.flush()
	if told != 11 || !s.read()[completionOf(2)] {
		t.Errorf("told %d", told)
	}
}

// With as many values as are allowed ends go to their records, and half of them fold with priority.
func TestValuesAreBounded(t *testing.T) {
	limits := usualLimits
	limits.Values, limits.ValueBytes = 4, 300
	s := newFakeStore(t, limits)
	for i := range 60 {
		s.add(departureOf(fmt.Sprintf("i-%06d", i), uint64(i)), nil)
		if s.IsPending(Key(7, s.journal.lastNumber)) {
			s.apply(s.compose(1))
		}
		if n, _, _ := s.journal.Size(); n > limits.Values {
			t.Fatalf("%d values", n)
		}
	}
	if s.journal.Takes() || s.journal.compactionPriority() != statestore.Done {
		t.Error("a full journal takes ends, or folds them when there is time")
	}
	for range 20 {
		s.journal.Tick()
		s.flush()
	}
	if !s.journal.Takes() {
		t.Error("a journal that is folded takes no ends")
	}
}

// A value that the state service takes in no form: all that was to be in it goes to the records.
func TestAbandonedValue(t *testing.T) {
	s := newFakeStore(t, usualLimits)
	told := false
	s.add(completionOf(1), func() { told = true })
	s.Unmark(Key(7, 1))
	s.journal.Abandon()
	s.journal.Tick()
	s.flush()
	if !told || !s.records[recordOf(completionOf(1))][completionOf(1)] || !s.journal.Empty() || s.journal.Takes() {
		t.Errorf("told %v, records %v", told, s.records)
	}
}

// Values of earlier leaders are folded and deleted, those that no record lacks at once.
func TestAdoptedValues(t *testing.T) {
	s := newFakeStore(t, usualLimits)
	e := departureOf("i-000001", 1)
	s.current[recordOf(e)] = map[Entry]bool{e: true}
	for n, missing := range []map[Entry]string{{e: recordOf(e)}, {}} {
		key := Key(5, uint64(n))
		s.stored[key] = Encode(5, uint64(n), nil)
		s.journal.Adopt(key, missing)
	}
	s.now += usualLimits.CompactAfter
	for range 3 {
		s.journal.Tick()
		s.flush()
	}
	if len(s.stored) > 0 || !s.records[recordOf(e)][e] || !s.journal.Empty() {
		t.Errorf("left %v", s.stored)
	}
}
