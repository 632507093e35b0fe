// Package statestore writes a leader's records to the state service. Writes that wait go out in one
// transaction at a time, the most urgent first, within the service's limits. If it is unknown
// whether a transaction applied, that is read back before anything else is written.
package statestore

import (
	"log/slog"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"claybarrow/internal/protocol"
	"claybarrow/internal/ratelimit"
	"claybarrow/internal/stateclient"
)

// Priority orders the writes that wait; lower values go first.
type Priority int

// The priorities: what users wait for, what starts of replicas and then of batch tasks wait for,
// completions, and what only helps a successor. Starts of a job array of thousands of tasks take the
// state service's writes of many seconds: replicas that waited behind them missed service-level
// objectives of a second.
const (
	PriorityUser Priority = iota
	PriorityReplica
	PriorityBatch
	PriorityCompletion
	PriorityBackground
	PriorityCounters
	priorityCount
)

// Limits are the state service's, the lower of the present ones and those announced.
type Limits struct {
	MaxChanges    int // of a transaction, with that of the leader key
	MaxValueBytes int // of a value as JSON
	// RequestTimeout is how long the writer waits for an answer.
	RequestTimeout time.Duration
}

// unlimitedWrites is more writes than any transaction has.
const unlimitedWrites = 1 << 20

// Bounds of the transactions' latencies in the log.
const (
	maxLatencyMillis = 60_000
	latencyDigits    = 2 // significant decimal digits
)

// LeaderKey is the key whose version is a condition of every transaction: those of a former leader
// fail by it.
type LeaderKey struct {
	Key     string
	Version uint64
	Entry   LeaderEntry
}

// LeaderEntry is how the leader key is stored.
type LeaderEntry struct {
	Record any
	Lease  uint64 // 0: the key is permanent
	// Matches reports whether a stored value, as it was read, is the record.
	Matches func(value []byte) bool
}

// EndReason is why the writer ends a leadership, as the log says it.
type EndReason string

// The reasons.
const (
	// EndOtherLeader: another leader has written the leader key.
	EndOtherLeader EndReason = "leader key belongs to another leader"
	// EndRecordsDiffer: a key that only this leader writes has another version than it should, so the
	// stored records are not those that this leader holds in memory.
	EndRecordsDiffer EndReason = "stored records differ from memory"
	// EndLeaderKeyRefused: the state service refuses to store the leader key.
	EndLeaderKeyRefused EndReason = "leader key can't be written"
)

// Host is the leader that the records belong to. After End it does not call the writer any more, and
// Ended returns true.
type Host interface {
	// Now is the controller's present time.
	Now() time.Duration
	// MayRequest reports whether the budget allows a request to the state service.
	MayRequest() bool
	// RetryPause is a short wait before something is tried again.
	RetryPause() time.Duration
	// EndLeadership ends the leadership.
	EndLeadership(why EndReason)
	HasEnded() bool
	// OnUnavailable is called when the service executes nothing: no user should be kept waiting.
	OnUnavailable()
	// OnAbandoned is called when a record is given up that the service takes in no form.
	OnAbandoned(key string)
	// OnRendered is called when a record was rendered in its present state, Stored when it is durable
	// as it was last rendered.
	OnRendered(key string)
	OnStored(key string)
}

// write is a record that waits to be written. It is rendered only when its transaction is made, so
// that all changes of a record up to then are one write.
type write struct {
	key      string
	priority Priority
	render   func() any // nil result: delete
	onStored []func()
}

// Writer writes the records. There is one transaction at a time, so that one with an unknown outcome
// blocks its keys simply by being the only one. Each key's version is a condition, so a lost
// transaction that applies late can't undo a newer one.
//
// Absent keys all have the version 0, though: a transaction that creates keys could apply once more
// after they were deleted again. So after a request without an answer the next transaction also
// writes the leader key, whose version is a condition of all: from then on no earlier one can apply.
type Writer struct {
	host         Host
	client       *stateclient.Client
	log          *slog.Logger
	limits       Limits
	changeBudget *ratelimit.TokenBucket
	leader       LeaderKey

	versions map[string]uint64
	pending  map[string]*write
	queues   [priorityCount][]*write
	current  *Transaction
	// leaderChange is to be the next transaction, or nil.
	leaderChange *LeaderChange
	// needsFence means that a transaction without an answer may still be on its way.
	needsFence bool
	// maxWrites is how many writes a transaction may have. It is lowered when the service calls one
	// invalid, until the record at fault has been found.
	maxWrites int
	// latencies are the times until transactions were known to have applied, in milliseconds.
	latencies *hdrhistogram.Histogram
}

// NewWriter makes the writer of a new leader's term. The budget is that of changes per second.
func NewWriter(host Host, client *stateclient.Client, log *slog.Logger, limits Limits, changes *ratelimit.TokenBucket, leader LeaderKey) *Writer {
	return &Writer{
		host: host, client: client, log: log, limits: limits, changeBudget: changes, leader: leader,
		versions: map[string]uint64{}, pending: map[string]*write{},
		latencies: hdrhistogram.New(1, maxLatencyMillis, latencyDigits), maxWrites: unlimitedWrites,
	}
}

// Version returns the version of a key as it was last read or written; 0: the key is absent.
func (w *Writer) Version(key string) uint64 { return w.versions[key] }

// SetVersion notes the version of a key that was read.
func (w *Writer) SetVersion(key string, version uint64) { w.versions[key] = version }

// IsPending reports whether a write of a key waits for a transaction.
func (w *Writer) IsPending(key string) bool { return w.pending[key] != nil }

// Busy reports whether a transaction is under way.
func (w *Writer) Busy() bool { return w.current != nil }

// Latencies returns the latencies of the transactions in milliseconds, since the caller last reset them.
func (w *Writer) Latencies() *hdrhistogram.Histogram { return w.latencies }

// QueueWrite queues a write of a key's record. Render returns the record when the transaction is made, nil
// to delete the key. Then is called when the write is durable; it may be nil. If a write of the key
// waits already, both become one of the more urgent priority.
func (w *Writer) QueueWrite(key string, priority Priority, render func() any, then func()) {
	pending := w.pending[key]
	if pending == nil {
		pending = &write{key: key, priority: priority}
		w.pending[key] = pending
		w.queues[priority] = append(w.queues[priority], pending)
	} else if priority < pending.priority {
		w.dequeue(pending)
		pending.priority = priority
		w.queues[priority] = append(w.queues[priority], pending)
	}
	pending.render = render
	if then != nil {
		pending.onStored = append(pending.onStored, then)
	}
}

// CancelWrite cancels a write that is in no transaction yet. It returns false if there is none.
func (w *Writer) CancelWrite(key string) bool {
	pending := w.pending[key]
	if pending == nil {
		return false
	}
	delete(w.pending, key)
	w.dequeue(pending)
	return true
}

// dequeue takes a write out of its queue.
func (w *Writer) dequeue(pending *write) {
	queue := &w.queues[pending.priority]
	*queue = slices.DeleteFunc(*queue, func(other *write) bool { return other == pending })
}

// requeue queues a transaction's writes again, first in their queues. A write that was asked for
// meanwhile keeps its newer request.
func (w *Writer) requeue(t *Transaction) {
	for _, former := range slices.Backward(t.writes) {
		if newer := w.pending[former.key]; newer != nil {
			newer.onStored = append(former.onStored, newer.onStored...)
			continue
		}
		w.pending[former.key] = former
		w.queues[former.priority] = slices.Insert(w.queues[former.priority], 0, former)
	}
}

// notifyStored tells those who wait that a record is durable.
func (w *Writer) notifyStored(stored *write) {
	w.host.OnStored(stored.key)
	for _, notify := range stored.onStored {
		notify()
	}
}

// Flush sends the next transaction, unless one is under way. One that is to be repeated or read back
// is sent when its pause is over.
func (w *Writer) Flush() {
	if w.current == nil {
		w.current = w.nextTransaction()
	}
	t := w.current
	if t == nil || t.inFlight || w.host.Now() < t.retryAt {
		return
	}
	t.inFlight = true
	if t.readbackKey != "" {
		w.client.Get(t.readbackKey, w.limits.RequestTimeout, func(item protocol.KeyValue, err error) { w.onReadback(t, item, err) })
		return
	}
	w.addFence(t)
	w.client.Commit(t.Body, w.limits.RequestTimeout, func(revision uint64, err error) { w.onAnswer(t, revision, err) })
}

// nextTransaction makes the next transaction; nil: nothing waits, or the budget does not allow it. A
// change of the leader key goes first.
func (w *Writer) nextTransaction() *Transaction {
	if !w.host.MayRequest() {
		return nil
	}
	if t := w.buildLeaderChange(); t != nil {
		return t
	}
	return w.BuildTransaction()
}
