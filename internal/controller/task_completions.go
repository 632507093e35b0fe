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
// It owns the journal and the counts of what was loaded into it. After a failover the next leader loads the values of
// the journal after the records, and compacts them like the values that it writes itself.
type completionRecorder struct {
	env      *environment
	lease    *leaderLease
	machines *machineRegistry
	state    *clusterstate.State
	store    *statestore.Writer

	journal *completionjournal.Journal
	// Counts from the loading of the journal: the numbers of values that were decoded, of values that could not be
	// decoded, and of entries that their records already contained.
	loadedValues, unreadableValues, redundantEntries int
	// sizeReportedAt is when the journal's size was last reported to the observer.
	sizeReportedAt time.Duration
}

// Limits of the journal.
const (
	// compactionLeases is the age, in worker leases, at which the entries of a stored value are compacted into the
	// records.
	compactionLeases = 2
	// journalPages bounds the requests to the state service that loading the journal takes at a failover.
	journalPages = 4
	// pageBytes is the maximum size of a reply of the state service.
	pageBytes = 512 << 10
)

// JournalSize holds the numbers of values and entries of the completion journal.
type JournalSize struct {
	Values     int // stored values
	Entries    int // completions and departures in stored values that are not compacted yet
	Waiting    int // completions and departures that wait to be stored
	Unreadable int // stored values that could not be decoded at the failover
}

// newCompletionRecorder returns the recorder of a leadership. It opens the journal if the leadership's feature gate
// permits writes to it.
func (l *leadership) newCompletionRecorder() *completionRecorder {
	cfg := l.controller.env.cfg
	limits := completionjournal.Limits{
		ValueBytes:   cfg.MaxValueBytes(),
		CompactAfter: compactionLeases * cfg.WorkerLease(),
		Values:       min(journalPages*pageBytes/cfg.MaxValueBytes()+1, journalPages*recordsPerPage),
	}
	journal := completionjournal.New(l.lease.token, limits, l.store, compactionHost{l}, func() time.Duration { return l.controller.env.now })
	if l.featureGate.gate.MayWrite() {
		journal.Open()
	}
	return &completionRecorder{journal: journal}
}

// open directs completions and departures to the journal.
func (r *completionRecorder) open() { r.journal.Open() }

// close directs completions and departures to the records of jobs and machines.
func (r *completionRecorder) close() { r.journal.Close() }

// abandon disables the journal after the state service has permanently rejected a value. The entries of that value are
// written to the records of jobs and machines.
func (r *completionRecorder) abandon() {
	r.env.log.Error("completion journal disabled for this leadership: the state service rejects a value")
	r.journal.Abandon()
}

// isCompacted reports whether the journal is empty, so that older versions of the program can read all stored data.
// Unreadable values do not count: no version can read them, and their loss costs only repeated work.
func (r *completionRecorder) isCompacted() bool { return r.journal.IsEmpty() }

// tick compacts the journal's due values, and reports its size to the observer once per worker lease.
func (r *completionRecorder) tick() {
	r.journal.Tick()
	if r.env.now < r.sizeReportedAt+r.env.cfg.WorkerLease() {
		return
	}
	r.sizeReportedAt = r.env.now
	values, entries, waiting := r.journal.Size()
	r.env.observer.JournalSized(JournalSize{Values: values, Entries: entries, Waiting: waiting, Unreadable: r.unreadableValues})
}

// recordCompletion stores the completion of a task; onDurable is called once the completion is durable.
func (r *completionRecorder) recordCompletion(j *clusterstate.Job, index int, onDurable func()) {
	if r.journal.Accepts() {
		r.journal.Add(completionjournal.Entry{Job: j.Spec.UID, Index: index}, r.state.CompletionKey(j, index), onDurable)
		return
	}
	r.storeCompletions(j, index, statestore.PriorityCompletion, onDurable)
}

// recordDeparture stores that an attempt has left its machine. Departures of a gang's attempts are always stored in the
// records: the attempts of a gang share one number, so a task that is placed again could return to the machine under
// the same number.
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

// storeCompletions queues a write of the completion record that covers a task; onDurable is called once the record is
// durable.
func (r *completionRecorder) storeCompletions(j *clusterstate.Job, index int, priority statestore.Priority, onDurable func()) {
	r.store.QueueWrite(r.state.CompletionKey(j, index), priority, func() any { return r.state.CompletionRecord(j, index) }, onDurable)
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

// releaseRecord releases the journal entries that wait for a write of the record with the key, because the record is
// no longer needed.
func (r *completionRecorder) releaseRecord(key string) {
	r.journal.RecordRendered(key)
	r.journal.RecordStored(key)
}

// compactionHost adapts a leadership to completionjournal.Compactor.
type compactionHost struct{ leader *leadership }

var _ completionjournal.Compactor = compactionHost{}

// Compact implements completionjournal.Compactor: it queues a write of the record that the entry belongs to.
func (h compactionHost) Compact(entry completionjournal.Entry, key string, priority statestore.Priority) {
	if entry.Machine != "" {
		h.compactDeparture(entry.Machine, key, priority)
		return
	}
	if j := h.leader.state.Jobs[entry.Job]; j != nil {
		h.leader.completions.storeCompletions(j, entry.Index, priority, nil)
	} else {
		h.leader.completions.releaseRecord(key) // the job is done or cancelled
	}
}

// compactDeparture queues a write of the machine's record, or its deletion if the machine was removed.
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

// loadValue loads a value of the journal at a failover, after the records. A value that cannot be decoded is counted
// and left in the state service.
func (r *completionRecorder) loadValue(item protocol.KeyValue) error {
	entries, err := decodeJournalValue(item)
	if err != nil {
		r.unreadableValues++
		return err
	}
	r.loadedValues++
	missing := map[completionjournal.Entry]string{}
	for _, entry := range entries {
		if recordKey, isMissing := r.apply(entry, item.Version); isMissing {
			missing[entry] = recordKey
		} else {
			r.redundantEntries++
		}
	}
	r.journal.Adopt(item.Key, missing)
	return nil
}

// decodeJournalValue returns the entries of a stored journal value.
func decodeJournalValue(item protocol.KeyValue) ([]completionjournal.Entry, error) {
	var value completionjournal.Value
	if err := protocol.Decode(item.Value, &value); err != nil {
		return nil, err
	}
	return completionjournal.Decode(item.Key, value)
}

// apply applies an entry to the cluster state; version is the version of the entry's value in the state service. If the
// entry's record lacks it, apply returns the key of that record and true. A record whose version is not lower than that
// of the value contains the entry already and may be newer.
func (r *completionRecorder) apply(entry completionjournal.Entry, version uint64) (recordKey string, isMissing bool) {
	if entry.Machine != "" {
		return r.applyDeparture(entry, version)
	}
	j := r.state.Jobs[entry.Job]
	if j == nil || entry.Index >= j.Spec.Tasks {
		return "", false
	}
	return r.state.CompletionKey(j, entry.Index), j.MarkDone(entry.Index)
}

// applyDeparture applies the departure of an attempt from its machine to the cluster state. Its results have the same
// meaning as the results of apply.
func (r *completionRecorder) applyDeparture(entry completionjournal.Entry, version uint64) (recordKey string, isMissing bool) {
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

// logLoaded logs the size of the journal, once all records are loaded.
func (r *completionRecorder) logLoaded() {
	if r.loadedValues+r.unreadableValues == 0 {
		return
	}
	values, entries, _ := r.journal.Size()
	r.env.log.Info("completion journal loaded", "token", r.lease.token, "values", values, "completions", entries,
		"redundant", r.redundantEntries, "unreadable", r.unreadableValues)
}

// isJournalKey reports whether the key belongs to the completion journal.
func isJournalKey(key string) bool { return strings.HasPrefix(key, completionjournal.Prefix) }
