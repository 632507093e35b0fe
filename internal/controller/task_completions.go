package controller

import (
	"strings"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/completionjournal"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// completionRecorder stores the completions of tasks and the departures of attempts from their machines: in the
// completion journal while the feature gate is open, and in the records of jobs and machines otherwise.
//
// It owns the journal and what was found when it was loaded. A successor loads the values of the journal after
// the records, and compacts them as its own.
type completionRecorder struct {
	env      *environment
	lease    *leaderLease
	machines *machineRegistry
	state    *clusterstate.State
	store    *statestore.Writer

	journal *completionjournal.Journal
	// What load found: values that it read, values that it could not read, and entries whose records had
	// them already.
	values, unreadable, redundantEntries int
	// sizeObservedAt is when the observer was last given the journal's size.
	sizeObservedAt time.Duration
}

// Limits of the journal.
const (
	// compactionLeases is how many workers' leases a value may be stored before its entries are compacted
	// into the records.
	compactionLeases = 2
	// journalPages is how many requests of a failover the journal may take to load.
	journalPages = 4
	// pageBytes is the most that the state service returns to one request.
	pageBytes = 512 << 10
)

// JournalSize is what the completion journal holds, in numbers.
type JournalSize struct {
	Values     int // stored values
	Entries    int // completions and departures in them that are not compacted yet
	Waiting    int // those that wait to be stored
	Unreadable int // stored values that could not be decoded at the failover
}

// newCompletionRecorder returns the recorder of a leadership, whose gate decides on the use of the journal.
func (l *leadership) newCompletionRecorder() *completionRecorder {
	cfg := l.controller.env.cfg
	limits := completionjournal.Limits{
		ValueBytes:   cfg.MaxValueBytes(),
		CompactAfter: compactionLeases * cfg.WorkerLease(),
		Values:       min(journalPages*pageBytes/cfg.MaxValueBytes()+1, journalPages*recordsPerPage),
	}
	journal := completionjournal.New(l.lease.token, limits, l.store, compactionHost{l}, func() time.Duration { return l.controller.env.now })
	if l.gating.gate.MayWrite() {
		journal.Open()
	}
	return &completionRecorder{journal: journal}
}

// open directs completions and departures to the journal from now on.
func (r *completionRecorder) open() { r.journal.Open() }

// close directs them to the records from now on.
func (r *completionRecorder) close() { r.journal.Close() }

// abandon gives up the journal after the state service has rejected a value for good: its entries go to the
// records.
func (r *completionRecorder) abandon() {
	r.env.log.Error("completion journal disabled for this leadership: the state service rejects a value")
	r.journal.Abandon()
}

// isCompacted reports whether nothing is stored that older versions of the program can't read. Unreadable values
// do not count: no version reads them, and nothing is lost by that but work.
func (r *completionRecorder) isCompacted() bool { return r.journal.IsEmpty() }

// tick compacts what is due, and gives the observer the journal's size once in a worker's lease.
func (r *completionRecorder) tick() {
	r.journal.Tick()
	if r.env.now < r.sizeObservedAt+r.env.cfg.WorkerLease() {
		return
	}
	r.sizeObservedAt = r.env.now
	values, ends, waiting := r.journal.Size()
	r.env.observer.JournalSized(JournalSize{Values: values, Entries: ends, Waiting: waiting, Unreadable: r.unreadable})
}

// recordCompletion stores the completion of a task; then is called once it is durable.
func (r *completionRecorder) recordCompletion(j *clusterstate.Job, index int, then func()) {
	if r.journal.Accepts() {
		r.journal.Add(completionjournal.Entry{Job: j.Spec.UID, Index: index}, r.state.CompletionKey(j, index), then)
		return
	}
	r.storeCompletions(j, index, statestore.PriorityCompletion, then)
}

// recordDeparture stores that an attempt has left its machine. The attempts of a gang share one number, under
// which a replaced task may return to the machine: its departures are stored in the records in any case.
func (r *completionRecorder) recordDeparture(a *clusterstate.Attempt) {
	m := a.Machine
	if !m.HasRecord {
		return
	}
	if a.Job.Gang == nil && r.journal.Accepts() {
		entry := completionjournal.Entry{Job: a.Job.Spec.UID, Index: a.Index, Machine: m.ID, Attempt: a.Number}
		r.journal.Add(entry, clusterstate.MachinePrefix+m.ID, nil)
		return
	}
	r.machines.storeMachine(m, statestore.PriorityBackground, nil)
}

// storeCompletions has the completion record that covers a task written.
func (r *completionRecorder) storeCompletions(j *clusterstate.Job, index int, priority statestore.Priority, then func()) {
	r.store.QueueWrite(r.state.CompletionKey(j, index), priority, func() any { return r.state.CompletionRecord(j, index) }, then)
}

// releaseJobEntries releases all journal entries of a job whose final state is durable.
func (r *completionRecorder) releaseJobEntries(j *clusterstate.Job) {
	if r.journal.IsEmpty() {
		return
	}
	for _, key := range r.state.CompletionKeys(j) {
		r.releaseRecord(key)
	}
}

// releaseRecord releases the journal entries that wait for a record to be written: it is not needed any more.
func (r *completionRecorder) releaseRecord(key string) {
	r.journal.RecordRendered(key)
	r.journal.RecordStored(key)
}

// compactionHost adapts a leadership to completionjournal.Compactor.
type compactionHost struct{ leader *leadership }

var _ completionjournal.Compactor = compactionHost{}

// Compact implements completionjournal.Compactor: it has the record written that an entry belongs to.
func (h compactionHost) Compact(entry completionjournal.Entry, key string, priority statestore.Priority) {
	if entry.Machine != "" {
		h.compactDeparture(entry.Machine, key, priority)
		return
	}
	if j := h.leader.state.Jobs[entry.Job]; j != nil {
		h.leader.completions.storeCompletions(j, entry.Index, priority, nil)
	} else {
		h.leader.completions.releaseRecord(key) // the job is over
	}
}

// compactDeparture has the record of a machine written, or deleted if the machine is.
func (h compactionHost) compactDeparture(machine, key string, priority statestore.Priority) {
	m := h.leader.state.Machines[machine]
	switch {
	case m != nil:
		h.leader.machines.storeMachine(m, priority, nil)
	case !h.leader.store.IsPending(key) && h.leader.store.Version(key) == 0:
		h.leader.completions.releaseRecord(key) // the record is deleted already
	default:
		h.leader.store.QueueWrite(key, priority, func() any { return nil }, nil)
	}
}

// loadValue loads a value of the journal at a failover, after the records. A value that can't be decoded is left in
// the state service and counted.
func (r *completionRecorder) loadValue(item protocol.KeyValue) error {
	entries, err := decodeJournalValue(item)
	if err != nil {
		r.unreadable++
		return err
	}
	r.values++
	missing := map[completionjournal.Entry]string{}
	for _, entry := range entries {
		if record, lacks := r.apply(entry, item.Version); lacks {
			missing[entry] = record
		} else {
			r.redundantEntries++
		}
	}
	r.journal.Adopt(item.Key, missing)
	return nil
}

// decodeJournalValue returns the entries of a stored value of the journal.
func decodeJournalValue(item protocol.KeyValue) ([]completionjournal.Entry, error) {
	var value completionjournal.Value
	if err := protocol.Decode(item.Value, &value); err != nil {
		return nil, err
	}
	return completionjournal.Decode(item.Key, value)
}

// apply applies an entry of a value with a version to the cluster state. It returns the key of the record that
// lacks the entry, if one does: a record that was written later than the value, or together with it, has all
// that the value says and may be newer.
func (r *completionRecorder) apply(entry completionjournal.Entry, version uint64) (record string, lacks bool) {
	if entry.Machine != "" {
		return r.applyDeparture(entry, version)
	}
	j := r.state.Jobs[entry.Job]
	if j == nil || entry.Index >= j.Spec.Tasks {
		return "", false
	}
	return r.state.CompletionKey(j, entry.Index), j.MarkDone(entry.Index)
}

// applyDeparture removes an attempt that has left its machine.
func (r *completionRecorder) applyDeparture(entry completionjournal.Entry, version uint64) (record string, lacks bool) {
	m, key := r.state.Machines[entry.Machine], clusterstate.MachinePrefix+entry.Machine
	if m == nil || r.state.Jobs[entry.Job] == nil || r.store.Version(key) >= version {
		return "", false
	}
	a := m.Attempts[clusterstate.AttemptKey{Task: clusterstate.TaskName(entry.Job, entry.Index), Attempt: entry.Attempt}]
	if a == nil {
		return "", false
	}
	r.state.RemoveAttempt(a)
	return key, true
}

// logLoaded logs what the journal held, once all records are loaded.
func (r *completionRecorder) logLoaded() {
	if r.values+r.unreadable == 0 {
		return
	}
	values, ends, _ := r.journal.Size()
	r.env.log.Info("completion journal loaded", "token", r.lease.token, "values", values, "completions", ends,
		"redundant", r.redundantEntries, "unreadable", r.unreadable)
}

// isJournalKey reports whether a key is one of the journal's.
func isJournalKey(key string) bool { return strings.HasPrefix(key, completionjournal.Prefix) }
