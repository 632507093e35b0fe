package coordination

import (
	"strings"
	"time"

	"claybarrow/internal/endjournal"
	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// endRecorder has the ends of tasks stored: in the journal of ends while the feature gate is open,
// and in the records of jobs and machines otherwise.
type endRecorder struct {
	term    *term
	journal *endjournal.Journal
	// load's findings, told once the records are read.
	values, unreadable, superfluous int
	// reported is when the journal's size was last told.
	reported time.Duration
}

// Ratios of the journal.
const (
	// foldLeases is how many workers' leases a value may be there before its ends are folded.
	foldLeases = 2
	// journalPages is how many of a take-over's requests the journal may take, each of which has
	// pageBytes at the most.
	journalPages = 4
	pageBytes    = 512 << 10
)

// JournalSize is what the journal of ends holds.
type JournalSize struct {
	Values, Ends, Waiting, Unreadable int
}

func (r *term) newEndRecorder() endRecorder {
	cfg := r.c.cfg
	limits := endjournal.Limits{ValueBytes: cfg.ValueBytes(), FoldAfter: foldLeases * cfg.Lease(),
		Values: min(journalPages*pageBytes/cfg.ValueBytes()+1, journalPages*aheadPage)}
	journal := endjournal.New(r.token, limits, r.records, endFolder{r}, func() time.Duration { return r.c.now })
	if r.gate.MayWrite() {
		journal.Open()
	}
	return endRecorder{term: r, journal: journal}
}

// open has ends go to the journal from now on, close to their records.
func (e *endRecorder) open()  { e.journal.Open() }
func (e *endRecorder) close() { e.journal.Close() }

// abandon takes back a value that the state service takes in no form.
func (e *endRecorder) abandon() {
	e.term.c.log.Error("the journal of ends is given up in this term: the state service refuses a value")
	e.journal.Abandon()
}

// folded says whether nothing is stored that older versions don't read. Values that can't be read
// stay: no version reads them, and nothing is lost by that but work.
func (e *endRecorder) folded() bool { return e.journal.Empty() }

// tick folds what is due.
func (e *endRecorder) tick() {
	e.journal.Tick()
	c := e.term.c
	if c.now >= e.reported+c.cfg.Lease() {
		e.reported = c.now
		values, ends, waiting := e.journal.Size()
		c.observer.Journal(JournalSize{Values: values, Ends: ends, Waiting: waiting, Unreadable: e.unreadable})
	}
}

// completed has a task's completion stored; then is called once it is durable.
func (e *endRecorder) completed(j *ledger.Job, index int, then func()) {
	if e.journal.Takes() {
		e.journal.Add(endjournal.Entry{Job: j.Spec.UID, Index: index}, e.term.DoneKey(j, index), then)
		return
	}
	e.recordCompletions(j, index, statestore.Done, then)
}

// left has it stored that an attempt has left its machine. A gang's attempts have one number, so
// that a replaced task may come back under it: its machines' records are written as ever.
func (e *endRecorder) left(a *ledger.Attempt) {
	m := a.Machine
	if !m.Recorded {
		return
	}
	if a.Job.Gang == nil && e.journal.Takes() {
		entry := endjournal.Entry{Job: a.Job.Spec.UID, Index: a.Index, Machine: m.ID, Attempt: a.Try}
		e.journal.Add(entry, ledger.MachinePrefix+m.ID, nil)
		return
	}
	e.term.record(m, statestore.Lazy, nil)
}

// recordCompletions marks the record of completions that has the task to be written.
func (e *endRecorder) recordCompletions(j *ledger.Job, index int, priority statestore.Priority, then func()) {
	e.term.records.Mark(e.term.DoneKey(j, index), priority, func() any { return e.term.DoneChunk(j, index) }, then)
}

// jobOver notes that a job's final state is durable, which makes all its completions redundant.
func (e *endRecorder) jobOver(j *ledger.Job) {
	if e.journal.Empty() {
		return
	}
	for _, key := range e.term.DoneKeys(j) {
		e.redundant(key)
	}
}

// redundant notes that a record's ends need not be known any more.
func (e *endRecorder) redundant(key string) {
	e.journal.Rendered(key)
	e.journal.Stored(key)
}

// endFolder is a term as the journal sees it.
type endFolder struct{ r *term }

// Fold is part of endjournal.Folder.
func (f endFolder) Fold(entry endjournal.Entry, key string, priority statestore.Priority) {
	r := f.r
	if entry.Machine != "" {
		if m := r.Machines[entry.Machine]; m != nil {
			r.record(m, priority, nil)
		} else if !r.records.IsPending(key) && r.records.Version(key) == 0 {
			r.ends.redundant(key) // its record is deleted
		} else {
			r.records.Mark(key, priority, func() any { return nil }, nil)
		}
		return
	}
	if j := r.Jobs[entry.Job]; j != nil {
		r.ends.recordCompletions(j, entry.Index, priority, nil)
	} else {
		r.ends.redundant(key) // the job is over
	}
}

// load takes a value of the journal at a take-over, after the records. What it can't read it leaves
// where it is, and goes on.
func (e *endRecorder) load(it protocol.Item) error {
	var v endjournal.Value
	err := protocol.Decode(it.Value, &v)
	var entries []endjournal.Entry
	if err == nil {
		entries, err = endjournal.Decode(it.Key, v)
	}
	if err != nil {
		e.unreadable++
		return err
	}
	e.values++
	missing := map[endjournal.Entry]string{}
	for _, entry := range entries {
		if record, lacks := e.apply(entry, it.Version); lacks {
			missing[entry] = record
		} else {
			e.superfluous++
		}
	}
	e.journal.Adopt(it.Key, missing)
	return nil
}

// apply brings the ledger to what an entry says, and tells which record lacks it. A record that was
// written later than the value, or with it, has all that the value says and may know better.
func (e *endRecorder) apply(entry endjournal.Entry, version uint64) (record string, lacks bool) {
	r := e.term
	j := r.Jobs[entry.Job]
	if entry.Machine == "" {
		if j == nil || entry.Index >= j.Spec.Tasks {
			return "", false
		}
		return r.DoneKey(j, entry.Index), j.MarkDone(entry.Index)
	}
	m, key := r.Machines[entry.Machine], ledger.MachinePrefix+entry.Machine
	if m == nil || j == nil || r.records.Version(key) >= version {
		return "", false
	}
	a := m.Attempts[ledger.Key{Task: ledger.Task(entry.Job, entry.Index), Try: entry.Attempt}]
	if a == nil {
		return "", false
	}
	r.Drop(a)
	return key, true
}

// loaded tells what the journal had, once all records are read.
func (e *endRecorder) loaded() {
	if e.values+e.unreadable == 0 {
		return
	}
	values, ends, _ := e.journal.Size()
	e.term.c.log.Info("journal of ends read", "token", e.term.token, "values", values, "ends", ends,
		"superfluous", e.superfluous, "unreadable", e.unreadable)
}

// isJournalKey says whether a key is one of the journal's.
func isJournalKey(key string) bool { return strings.HasPrefix(key, endjournal.Prefix) }
