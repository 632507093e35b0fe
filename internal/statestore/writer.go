// Package statestore writes a leader's records to the state service: what piled up goes out in one
// transaction at a time, the most urgent first, within the service's limits, and each outcome
// that is not known is read back before anything else is written.
package statestore

import (
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"claybarrow/internal/protocol"
	"claybarrow/internal/ratelimit"
)

// Priority orders the writes that wait.
type Priority int

// The priorities: what users wait for, what starts of replicas and then of batches wait
// for, completions, and what only helps a successor. Starts of an array of thousands take
// the store's writes of many seconds: replicas that waited behind them missed aims of a second.
const (
	User Priority = iota
	Replica
	Start
	Done
	Lazy
	Counters
	priorityCount
)

// Limits are the state service's, now and later.
type Limits struct {
	Changes    int // of a transaction
	ValueBytes int
	// Timeout is how long an answer is waited for.
	Timeout time.Duration
}

// maxTransactionBytes bounds a transaction, of the protocol's 64 KiB.
const maxTransactionBytes = 60 << 10

// unlimitedWrites is more writes than any transaction has.
const unlimitedWrites = 1 << 20

// Bounds of the times that transactions take, in the log, in ms.
const (
	maxLatencyMillis = 60_000
	latencyDigits    = 2
)

// LeaderKey is the key whose version is a condition of every write.
type LeaderKey struct {
	Key     string
	Version uint64
	Entry   LeaderEntry
	// Equal says whether a value that was read is a record.
	Equal func(value []byte, record any) bool
}

// LeaderEntry is how the leader key is stored.
type LeaderEntry struct {
	Record any
	Lease  uint64 // 0: the key is permanent
}

// Host is the leader that the records belong to. After End it calls the writer no more, and
// Ended says so.
type Host interface {
	Now() time.Duration
	// Call asks the state service; status 0: there was no answer.
	Call(method, path string, body any, timeout time.Duration, then func(status int, body []byte))
	// MayCall says whether the budget of requests allows one.
	MayCall() bool
	// Pause is a short wait before something is tried again.
	Pause() time.Duration
	End(why string)
	Ended() bool
	// Unavailable: the service executes nothing. Nobody is kept waiting for it.
	Unavailable()
	// Abandoned: a record is given up that the service takes in no form.
	Abandoned(key string)
	// Rendered: a record was rendered as it is now. Stored: it is durable as it was last rendered.
	Rendered(key string)
	Stored(key string)
}

// write is a key whose record is to be written. It is rendered when the
// transaction is made, so that what piled up goes out as one change.
type write struct {
	key      string
	priority Priority
	render   func() any // nil result: delete
	onStored []func()
}

// Transaction is what goes out at once.
type Transaction struct {
	Body    protocol.Txn
	Puts    []string
	writes  []*write
	deletes []string
	// outcomeUnknown: an earlier try had no answer and may have applied.
	outcomeUnknown bool
	// writesLeaderKey: it also writes the leader key.
	writesLeaderKey bool
	// leaderEntry is what it stores in the leader key, if it does.
	leaderEntry LeaderEntry
	// leaderChange is the change of the leader key's form that it carries out, or nil.
	leaderChange *LeaderChange
	createdAt    time.Duration
	retryAt      time.Duration
	inFlight     bool
	readbackKey  string // the key to be read for what became of it
}

// Writes is how many records it has.
func (t *Transaction) Writes() int { return len(t.writes) }

// Writer writes the records: one transaction at a time, so that an uncertain one
// blocks its keys simply by being the only one. Each key's version is a
// condition, so a lost transaction that applies late can't undo a newer one.
// Absent keys all have the version 0, though: one that creates keys could apply
// once more after they were deleted again. So after a try without an answer the
// next transaction writes the leader key too, whose version is a condition of
// all: from then on no earlier one can apply.
type Writer struct {
	host         Host
	log          *slog.Logger
	limits       Limits
	changeBudget *ratelimit.TokenBucket
	leader       LeaderKey

	versions map[string]uint64
	pending  map[string]*write
	queues   [priorityCount][]*write
	current  *Transaction
	// leaderChange waits to be the next transaction.
	leaderChange *LeaderChange
	// needsFence: a transaction without an answer may still be on its way.
	needsFence bool
	// maxWrites is how many writes a transaction may have: fewer after one was called
	// malformed, until what is at fault has been found.
	maxWrites int
	// latencies is how long transactions took until they were known to have applied, in ms.
	latencies *hdrhistogram.Histogram
}

// NewWriter makes the writer of a new term.
func NewWriter(host Host, log *slog.Logger, limits Limits, changes *ratelimit.TokenBucket, leader LeaderKey) *Writer {
	return &Writer{host: host, log: log, limits: limits, changeBudget: changes, leader: leader, versions: map[string]uint64{}, pending: map[string]*write{},
		latencies: hdrhistogram.New(1, maxLatencyMillis, latencyDigits), maxWrites: unlimitedWrites}
}

// Version is the version of a key as it was last read or written; 0: it is not there.
func (w *Writer) Version(key string) uint64 { return w.versions[key] }

// Loaded notes the version of a key that was read.
func (w *Writer) Loaded(key string, version uint64) { w.versions[key] = version }

// IsPending says whether a key's write waits for a transaction.
func (w *Writer) IsPending(key string) bool { return w.pending[key] != nil }

// Busy says whether a transaction is under way.
func (w *Writer) Busy() bool { return w.current != nil }

// Took is how long transactions took, in ms, until it is reset.
func (w *Writer) Took() *hdrhistogram.Histogram { return w.latencies }

// Mark asks for a key's record to be written.
func (w *Writer) Mark(key string, priority Priority, render func() any, then func()) {
	m := w.pending[key]
	if m == nil {
		m = &write{key: key, priority: priority}
		w.pending[key] = m
		w.queues[priority] = append(w.queues[priority], m)
	} else if priority < m.priority {
		w.queues[m.priority] = slices.DeleteFunc(w.queues[m.priority], func(x *write) bool { return x == m })
		m.priority = priority
		w.queues[priority] = append(w.queues[priority], m)
	}
	m.render = render
	if then != nil {
		m.onStored = append(m.onStored, then)
	}
}

// Unmark takes back a write that has not been put into a transaction.
func (w *Writer) Unmark(key string) bool {
	m := w.pending[key]
	if m == nil {
		return false
	}
	delete(w.pending, key)
	w.queues[m.priority] = slices.DeleteFunc(w.queues[m.priority], func(x *write) bool { return x == m })
	return true
}

// Compose makes the next transaction of what piled up, within the limits; nil: there is nothing.
func (w *Writer) Compose() *Transaction {
	now := w.host.Now()
	// One change is left to the leader key.
	most := min(w.limits.Changes-1, w.maxWrites)
	t := &Transaction{createdAt: now}
	t.Body.If = []protocol.Condition{{Key: w.leader.Key, Version: w.leader.Version}}
	size := 1024
	for priority := range w.queues {
		for len(w.queues[priority]) > 0 {
			// Lazy writes leave half of the burst to what somebody waits for.
			reserve := 0.0
			if Priority(priority) >= Lazy {
				reserve = w.changeBudget.Burst() / 2
			}
			if len(t.writes) >= most || !w.changeBudget.Has(now, float64(len(t.writes)+1)+reserve) {
				break
			}
			m := w.queues[priority][0]
			value := m.render()
			w.host.Rendered(m.key)
			bytes, fits := w.sizeOf(m, value)
			if !fits {
				w.Unmark(m.key)
				w.host.Abandoned(m.key)
				continue
			}
			if size+bytes > maxTransactionBytes {
				break
			}
			size += bytes
			w.queues[priority] = w.queues[priority][1:]
			delete(w.pending, m.key)
			w.addWrite(t, m, value)
		}
	}
	if len(t.writes) == 0 {
		return nil
	}
	w.changeBudget.Take(now, float64(len(t.writes)))
	return t
}

// sizeOf is a bound on what a write takes of its transaction; false: its value is too large.
func (w *Writer) sizeOf(m *write, value any) (int, bool) {
	n := 2*len(m.key) + 160
	if value == nil {
		return n, true
	}
	// The Go field names are longer than the stored ones: a bound.
	b, err := json.Marshal(value)
	if err != nil || len(b) > w.limits.ValueBytes {
		w.log.Error("a record is too large", "key", m.key, "bytes", len(b), "err", err)
		return 0, false
	}
	return n + len(b), true
}

// addWrite puts a write into a transaction. What was never written needs no deletion.
func (w *Writer) addWrite(t *Transaction, m *write, value any) {
	version := w.versions[m.key]
	if value == nil && version == 0 {
		w.notifyStored(m)
		return
	}
	t.writes = append(t.writes, m)
	t.Body.If = append(t.Body.If, protocol.Condition{Key: m.key, Version: version})
	if value == nil {
		t.deletes = append(t.deletes, m.key)
		t.Body.Then = append(t.Body.Then, protocol.Change{Delete: m.key})
		return
	}
	t.Puts = append(t.Puts, m.key)
	t.Body.Then = append(t.Body.Then, protocol.Change{Put: m.key, Value: value})
}

// notifyStored tells those who wait that a record is stored.
func (w *Writer) notifyStored(m *write) {
	w.host.Stored(m.key)
	for _, f := range m.onStored {
		f()
	}
}

// addFence has the transaction write the leader key, unless it does so already.
func (w *Writer) addFence(t *Transaction) {
	if !w.needsFence || t.writesLeaderKey {
		return
	}
	w.putLeaderKey(t, w.leader.Entry)
	w.changeBudget.Take(w.host.Now(), 1)
}

// putLeaderKey has the transaction store the leader key.
func (w *Writer) putLeaderKey(t *Transaction, form LeaderEntry) {
	t.writesLeaderKey, t.leaderEntry = true, form
	t.Body.Then = append(t.Body.Then, protocol.Change{Put: w.leader.Key, Value: form.Record, Lease: form.Lease})
}

// Flush sends the next transaction, if none is under way.
func (w *Writer) Flush() {
	t := w.current
	if t == nil {
		if !w.host.MayCall() {
			return
		}
		if t = w.composeLeaderChange(); t == nil {
			t = w.Compose()
		}
		if t == nil {
			return
		}
		w.current = t
	}
	if t.inFlight || w.host.Now() < t.retryAt {
		return
	}
	t.inFlight = true
	if t.readbackKey != "" {
		w.host.Call("GET", "/store/"+t.readbackKey, nil, w.limits.Timeout, func(status int, body []byte) { w.onReadback(t, status, body) })
		return
	}
	w.addFence(t)
	w.host.Call("POST", "/multi", t.Body, w.limits.Timeout, func(status int, body []byte) { w.onAnswer(t, status, body) })
}
