// Package statestore writes a leader's records to the state service. Queued writes are sent in one transaction at a
// time, in the order of their priority and within the service's limits. A transaction with an unknown outcome is
// repeated or read back until the outcome is known; no other transaction is sent before.
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

// Priority orders the queued writes. Lower values are written first.
type Priority int

// The priorities: writes that users wait for, writes that starts of replicas wait for, writes that starts of batch
// tasks wait for, completions, and two priorities for writes that only serve a later leader. Replicas precede batch
// tasks because the starts of a job array of thousands of tasks use up the state service's write rate for many
// seconds: replicas that waited behind them missed service-level objectives of one second.
const (
	PriorityUser Priority = iota
	PriorityReplica
	PriorityBatch
	PriorityCompletion
	PriorityBackground
	PriorityCounters
	priorityCount
)

// Limits are the limits of the state service: for each, the lower of the present and the announced limit.
type Limits struct {
	MaxChanges    int // changes in a transaction, including the one of the leader key
	MaxValueBytes int // size of a value as JSON
	// RequestTimeout is the time that the writer waits for an answer.
	RequestTimeout time.Duration
}

// unlimitedWrites is larger than the number of writes in any transaction.
const unlimitedWrites = 1 << 20

// Range and precision of the histogram of transaction latencies.
const (
	maxLatencyMillis = 60_000
	latencyDigits    = 2 // significant decimal digits
)

// LeaderKey is the key whose version is a condition of every transaction, so that transactions of a former leader
// fail.
type LeaderKey struct {
	Key     string
	Version uint64
	Entry   LeaderEntry
}

// LeaderEntry is the value of the leader key and the lease that the key is attached to.
type LeaderEntry struct {
	Record any
	Lease  uint64 // 0 if the key is permanent
	// Matches reports whether a value, as read from the state service, equals Record.
	Matches func(value []byte) bool
}

// EndReason is the reason for which the writer ends a leadership, as it is logged.
type EndReason string

// The reasons.
const (
	// EndOtherLeader means that another leader has written the leader key.
	EndOtherLeader EndReason = "leader key belongs to another leader"
	// EndRecordsDiffer means that a key that only this leader writes has an unexpected version, so the stored
	// records differ from this leader's state in memory.
	EndRecordsDiffer EndReason = "stored records differ from memory"
	// EndLeaderKeyRefused means that the state service rejects a write of the leader key as malformed.
	EndLeaderKeyRefused EndReason = "leader key can't be written"
)

// Host is the leader that the records belong to. Once EndLeadership was called, HasEnded returns true and the host
// does not call the writer any more.
type Host interface {
	// Now returns the present time on the controller's clock.
	Now() time.Duration
	// MayRequest reports whether the budget allows a request to the state service.
	MayRequest() bool
	// RetryPause returns the delay before a request is retried.
	RetryPause() time.Duration
	// EndLeadership ends the leadership.
	EndLeadership(reason EndReason)
	HasEnded() bool
	// OnUnavailable is called when the state service does not execute requests. The host should refuse the user
	// requests that wait for a write instead of leaving them without an answer.
	OnUnavailable()
	// OnAbandoned is called when a record is abandoned because it is too large or the state service rejects it.
	OnAbandoned(key string)
	// OnRendered is called when a record was rendered from its present state, OnStored when the record is durable
	// as it was last rendered.
	OnRendered(key string)
	OnStored(key string)
}

// write is a queued write of a record. The record is rendered only when a transaction is built, so that all changes of
// the record until then are combined in one write.
type write struct {
	key      string
	priority Priority
	render   func() any // nil result: delete
	onStored []func()
}

// Writer writes the records. Only one transaction is sent at a time, so no other transaction can write a key while
// the outcome for this key is unknown. The version of each key is a condition of the transaction, so a delayed
// transaction that applies late can't undo a newer one.
//
// The version of an absent key, however, is always 0: a delayed transaction that creates keys could apply again
// after the keys were deleted. Therefore, after a request without an answer, the next transaction also writes the
// leader key. As the version of the leader key is a condition of every transaction, no earlier one can apply then.
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
	// leaderChange is the change of the leader key that the next transaction carries out, or nil.
	leaderChange *LeaderChange
	// needsFence means that a transaction that was not answered may still be in flight.
	needsFence bool
	// maxWrites is the maximum number of writes in a transaction. When the state service rejects a transaction as
	// malformed, it is lowered to half the number of writes of that transaction. It is doubled when a transaction
	// has applied, and reset to unlimitedWrites once the malformed record is isolated.
	maxWrites int
	// latencies are the times, in milliseconds, until transactions were known to have applied.
	latencies *hdrhistogram.Histogram
}

// NewWriter returns the writer of a new leadership. changeBudget limits the rate of changes to the state service.
func NewWriter(host Host, client *stateclient.Client, log *slog.Logger, limits Limits, changeBudget *ratelimit.TokenBucket, leader LeaderKey) *Writer {
	return &Writer{
		host: host, client: client, log: log, limits: limits, changeBudget: changeBudget, leader: leader,
		versions: map[string]uint64{}, pending: map[string]*write{},
		latencies: hdrhistogram.New(1, maxLatencyMillis, latencyDigits), maxWrites: unlimitedWrites,
	}
}

// Version returns the version of a key as it was last read or written, or 0 if the key is absent.
func (w *Writer) Version(key string) uint64 { return w.versions[key] }

// SetVersion records the version of a key that was read.
func (w *Writer) SetVersion(key string, version uint64) { w.versions[key] = version }

// IsPending reports whether a write of the key is queued.
func (w *Writer) IsPending(key string) bool { return w.pending[key] != nil }

// HasTransactionInFlight reports whether a transaction was built and its outcome is not known yet.
func (w *Writer) HasTransactionInFlight() bool { return w.current != nil }

// Latencies returns the histogram of the transactions' latencies in milliseconds. The caller may reset it.
func (w *Writer) Latencies() *hdrhistogram.Histogram { return w.latencies }

// QueueWrite queues a write of the record of a key. render is called when a transaction is built, and again if the
// record has to wait for a later transaction; it returns the record, or nil to delete the key. onStored is called once
// the write is durable; it may be nil. If a write of the key is queued already, both are combined in one write with the
// later render function and the more urgent priority.
func (w *Writer) QueueWrite(key string, priority Priority, render func() any, onStored func()) {
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
	if onStored != nil {
		pending.onStored = append(pending.onStored, onStored)
	}
}

// CancelWrite cancels a queued write that is not part of a transaction yet. It returns false if there is none.
func (w *Writer) CancelWrite(key string) bool {
	pending := w.pending[key]
	if pending == nil {
		return false
	}
	delete(w.pending, key)
	w.dequeue(pending)
	return true
}

// dequeue removes a write from its queue.
func (w *Writer) dequeue(pending *write) {
	queue := &w.queues[pending.priority]
	*queue = slices.DeleteFunc(*queue, func(other *write) bool { return other == pending })
}

// requeue inserts the writes of a transaction at the front of their queues again. If a newer write of a key was
// queued in the meantime, that write is kept and takes over the callbacks of the older one.
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

// notifyStored calls the host and the callbacks of a write that is durable.
func (w *Writer) notifyStored(stored *write) {
	w.host.OnStored(stored.key)
	for _, notify := range stored.onStored {
		notify()
	}
}

// Flush sends the next transaction, unless the outcome of one is not known yet. A transaction that must be repeated
// or read back is sent once its retry delay has passed.
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

// nextTransaction builds the next transaction. A change of the leader key precedes the queued writes. It returns
// nil if there is nothing to write or the budget does not allow it.
func (w *Writer) nextTransaction() *Transaction {
	if !w.host.MayRequest() {
		return nil
	}
	if t := w.buildLeaderChange(); t != nil {
		return t
	}
	return w.BuildTransaction()
}
