package controller

import (
	"strings"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/completionjournal"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// completionRecorder has the ends of tasks stored: in the journal of ends while the feature gate is open,
// and in the records of jobs and machines otherwise.
type completionRecorder struct {
	env      *environment
	lease    *leaderLease
	machines *machineRegistry
	state    *clusterstate.State
	store    *statestore.Writer

	journal *completionjournal.Journal
	// load's findings, told once the records are read.
	values, unreadable, redundantEntries int
	// reported is when the journal's size was last told.
	reported time.Duration
}

// Ratios of the journal.
const (
	// compactionLeases is how many workers' leases a value may be there before its ends are folded.
	compactionLeases = 2
	// journalPages is how many of a take-over's requests the journal may take, each of which has
	// pageBytes at the most.
	journalPages = 4
	pageBytes    = 512 << 10
)

// JournalSize is what the journal of ends holds.
type JournalSize struct {
	Values, Ends, Waiting, Unreadable int
}

func (l *leadership) newCompletionRecorder() *completionRecorder {
	cfg := l.controller.env.cfg
	limits := completionjournal.Limits{ValueBytes: cfg.ValueBytes(), CompactAfter: compactionLeases * cfg.Lease(),
		Values: min(journalPages*pageBytes/cfg.ValueBytes()+1, journalPages*recordsPerPage)}
	journal := completionjournal.New(l.lease.token, limits, l.store, compactionHost{l}, func() time.Duration { return l.controller.env.now })
	if l.gating.gate.MayWrite() {
		journal.Open()
	}
	return &completionRecorder{journal: journal}
}

// open has ends go to the journal from now on, close to their records.
func (r *completionRecorder) open()  { r.journal.Open() }
func (r *completionRecorder) close() { r.journal.Close() }

// abandon takes back a value that the state service takes in no form.
func (r *completionRecorder) abandon() {
	r.env.log.Error("completion journal disabled for this leadership: the state service rejects a value")
	r.journal.Abandon()
}

// isCompacted says whether nothing is stored that older versions don't read. Values that can't be read
// stay: no version reads them, and nothing is lost by that but work.
func (r *completionRecorder) isCompacted() bool { return r.journal.Empty() }

// tick folds what is due.
func (r *completionRecorder) tick() {
	r.journal.Tick()

	if r.env.now >= r.reported+r.env.cfg.Lease() {
		r.reported = r.env.now
		values, ends, waiting := r.journal.Size()
		r.env.observer.JournalSized(JournalSize{Values: values, Ends: ends, Waiting: waiting, Unreadable: r.unreadable})
	}
}

// recordCompletion has a task's completion stored; then is called once it is durable.
func (r *completionRecorder) recordCompletion(j *clusterstate.Job, index int, then func()) {
	if r.journal.Takes() {
		r.journal.Add(completionjournal.Entry{Job: j.Spec.UID, Index: index}, r.state.CompletionKey(j, index), then)
		return
	}
	r.storeCompletions(j, index, statestore.Done, then)
}

// recordDeparture has it stored that an attempt has left its machine. A gang's attempts have one number, so
// that a replaced task may come back under it: its machines' records are written as ever.
func (r *completionRecorder) recordDeparture(a *clusterstate.Attempt) {
	m := a.Machine
	if !m.Recorded {
		return
	}
	if a.Job.Gang == nil && r.journal.Takes() {
		entry := completionjournal.Entry{Job: a.Job.Spec.UID, Index: a.Index, Machine: m.ID, Attempt: a.Number}
		r.journal.Add(entry, clusterstate.MachinePrefix+m.ID, nil)
		return
	}
	r.machines.storeMachine(m, statestore.Lazy, nil)
}

// storeCompletions marks the record of completions that has the task to be written.
func (r *completionRecorder) storeCompletions(j *clusterstate.Job, index int, priority statestore.Priority, then func()) {
	r.store.Mark(r.state.CompletionKey(j, index), priority, func() any { return r.state.CompletionRecord(j, index) }, then)
}

// releaseJobEntries notes that a job's final state is durable, which makes all its completions redundant.
func (r *completionRecorder) releaseJobEntries(j *clusterstate.Job) {
	if r.journal.Empty() {
		return
	}
	for _, key := range r.state.CompletionKeys(j) {
		r.releaseRecord(key)
	}
}

// releaseRecord notes that a record's ends need not be known any more.
func (r *completionRecorder) releaseRecord(key string) {
	r.journal.Rendered(key)
	r.journal.Stored(key)
}

// compactionHost is a term as the journal sees it.
type compactionHost struct{ leader *leadership }

// Compact is part of completionjournal.Compactor.
func (f compactionHost) Compact(entry completionjournal.Entry, key string, priority statestore.Priority) {
	if entry.Machine != "" {
		if m := f.leader.state.Machines[entry.Machine]; m != nil {
			f.leader.machines.storeMachine(m, priority, nil)
		} else if !f.leader.store.IsPending(key) && f.leader.store.Version(key) == 0 {
			f.leader.completions.releaseRecord(key) // its record is deleted
		} else {
			f.leader.store.Mark(key, priority, func() any { return nil }, nil)
		}
		return
	}
	if j := f.leader.state.Jobs[entry.Job]; j != nil {
		f.leader.completions.storeCompletions(j, entry.Index, priority, nil)
	} else {
		f.leader.completions.releaseRecord(key) // the job is over
	}
}

// load takes a value of the journal at a take-over, after the records. What it can't read it leaves
// where it is, and goes on.
func (r *completionRecorder) load(it protocol.Item) error {
	var v completionjournal.Value
	err := protocol.Decode(it.Value, &v)
	var entries []completionjournal.Entry
	if err == nil {
		entries, err = completionjournal.Decode(it.Key, v)
	}
	if err != nil {
		r.unreadable++
		return err
	}
	r.values++
	missing := map[completionjournal.Entry]string{}
	for _, entry := range entries {
		if record, lacks := r.apply(entry, it.Version); lacks {
			missing[entry] = record
		} else {
			r.redundantEntries++
		}
	}
	r.journal.Adopt(it.Key, missing)
	return nil
}

// apply brings the ledger to what an entry says, and tells which record lacks it. A record that was
// written later than the value, or with it, has all that the value says and may know better.
func (r *completionRecorder) apply(entry completionjournal.Entry, version uint64) (record string, lacks bool) {
	j := r.state.Jobs[entry.Job]
	if entry.Machine == "" {
		if j == nil || entry.Index >= j.Spec.Tasks {
			return "", false
		}
		return r.state.CompletionKey(j, entry.Index), j.MarkDone(entry.Index)
	}
	m, key := r.state.Machines[entry.Machine], clusterstate.MachinePrefix+entry.Machine
	if m == nil || j == nil || r.store.Version(key) >= version {
		return "", false
	}
	a := m.Attempts[clusterstate.AttemptKey{Task: clusterstate.TaskName(entry.Job, entry.Index), Attempt: entry.Attempt}]
	if a == nil {
		return "", false
	}
	r.state.RemoveAttempt(a)
	return key, true
}

// logLoaded tells what the journal had, once all records are read.
func (r *completionRecorder) logLoaded() {
	if r.values+r.unreadable == 0 {
		return
	}
	values, ends, _ := r.journal.Size()
	r.env.log.Info("completion journal loaded", "token", r.lease.token, "values", values, "completions", ends,
		"redundant", r.redundantEntries, "unreadable", r.unreadable)
}

// isJournalKey says whether a key is one of the journal's.
func isJournalKey(key string) bool { return strings.HasPrefix(key, completionjournal.Prefix) }
