package statestore

import (
	"errors"
	"fmt"
	"slices"

	"claybarrow/internal/apicall"
	"claybarrow/internal/protocol"
	"claybarrow/internal/stateclient"
)

// onAnswer handles the answer to a transaction. The transaction applied, did not apply, or has an unknown outcome
// until one of its keys is read back.
func (w *Writer) onAnswer(t *Transaction, revision uint64, err error) {
	if w.host.HasEnded() {
		return
	}
	t.inFlight = false
	var conflict *stateclient.ConflictError
	switch {
	case err == nil:
		if t.writesLeaderKey {
			w.recordLeaderKey(t, revision)
		}
		w.onApplied(t, revision)
	case errors.As(err, &conflict):
		w.onConflict(t, conflict.Keys)
	case apicall.IsOutcomeUnknown(err):
		w.onOutcomeUnknown(t)
	case errors.Is(err, apicall.ErrInvalidRequest) && t.outcomeUnknown:
		// An earlier attempt may have applied although the state service rejects the repeated one.
		t.readbackKey = w.chooseReadbackKey(t)
	case errors.Is(err, apicall.ErrInvalidRequest):
		w.onInvalidRequest(t)
	default:
		w.onNotExecuted(t, err)
	}
}

// onNotExecuted schedules a retry of a transaction that the state service did not execute because it was rate
// limited or unavailable.
func (w *Writer) onNotExecuted(t *Transaction, err error) {
	if errors.Is(err, apicall.ErrRateLimited) {
		w.changeBudget.Drain()
	} else {
		w.host.OnUnavailable()
	}
	t.retryAt = w.host.Now() + w.host.RetryPause()
}

// chooseReadbackKey returns a key whose version shows whether the transaction has applied.
func (w *Writer) chooseReadbackKey(t *Transaction) string {
	if t.leaderChange != nil {
		return w.leader.Key
	}
	return slices.Concat(t.Puts, t.deletes)[0]
}

// onConflict handles a version conflict. keys are the keys whose versions differ from those that the transaction
// required.
func (w *Writer) onConflict(t *Transaction, keys []string) {
	switch {
	case slices.Contains(keys, w.leader.Key):
		if !t.writesLeaderKey || !t.outcomeUnknown {
			w.host.EndLeadership(EndOtherLeader)
			return
		}
		t.readbackKey = w.leader.Key // an earlier attempt of this transaction may have written the leader key
	case !t.outcomeUnknown || t.leaderChange != nil:
		// Only this leader writes these keys, so the stored records differ from its state in memory.
		w.log.Error("stored versions differ from memory", "keys", fmt.Sprint(keys))
		w.host.EndLeadership(EndRecordsDiffer)
	case len(t.Puts) == 0:
		w.onApplied(t, 0)
	default:
		t.readbackKey = t.Puts[0]
	}
}

// onOutcomeUnknown schedules a retry of a transaction that was not answered. The transaction may have applied, or
// may still apply later.
func (w *Writer) onOutcomeUnknown(t *Transaction) {
	t.outcomeUnknown, w.needsFence = true, true
	t.retryAt = w.host.Now() + w.host.RetryPause()
}

// onInvalidRequest handles a transaction that the state service rejects as malformed, because a lease has expired
// or a limit is lower than the settings say. A rejected LeaderChange calls OnRefused. Several writes are queued
// again and sent in smaller transactions. If a transaction with a single write is rejected, the leadership ends if
// the transaction also writes the leader key; otherwise the record is abandoned. Host.OnAbandoned then refuses the
// user requests that wait for a job's record, so that users retry them, and removes the attempts that wait for a
// machine's record.
func (w *Writer) onInvalidRequest(t *Transaction) {
	w.current = nil
	if t.leaderChange != nil {
		w.log.Error("leader key change rejected as malformed")
		t.leaderChange.OnRefused()
		return
	}
	if t.writesLeaderKey && len(t.writes) == 1 {
		w.host.EndLeadership(EndLeaderKeyRefused)
		return
	}
	if len(t.writes) > 1 {
		w.log.Error("transaction rejected as malformed", "writes", len(t.writes))
		w.maxWrites = max(1, len(t.writes)/2)
		w.requeue(t)
		return
	}
	refused := t.writes[0]
	w.log.Error("record rejected as malformed", "key", refused.key)
	w.maxWrites = unlimitedWrites
	w.host.OnAbandoned(refused.key)
}

// onReadback handles the read-back of a key of a transaction with an unknown outcome. If the version of the key
// has changed, the transaction has applied, as only this leader writes the key.
func (w *Writer) onReadback(t *Transaction, item protocol.KeyValue, err error) {
	if w.host.HasEnded() {
		return
	}
	t.inFlight = false
	key := t.readbackKey
	if errors.Is(err, stateclient.ErrNotFound) {
		if w.mustExist(t, key) {
			w.host.EndLeadership(EndRecordsDiffer)
			return
		}
		item = protocol.KeyValue{} // an absent key has the version 0
	} else if err != nil {
		t.retryAt = w.host.Now() + w.host.RetryPause()
		return
	}
	t.readbackKey = ""
	if key == w.leader.Key {
		w.onLeaderKeyRead(t, item)
		return
	}
	if item.Version == w.versions[key] {
		w.onInvalidRequest(t) // no attempt has applied, and the last one was rejected
		return
	}
	w.onApplied(t, item.Version)
}

// mustExist reports whether the key exists regardless of whether the transaction has applied.
func (w *Writer) mustExist(t *Transaction, key string) bool {
	if key == w.leader.Key {
		return true
	}
	return w.versions[key] != 0 && !slices.Contains(t.deletes, key)
}

// onLeaderKeyRead determines from the stored leader key whether a transaction that writes this key has applied.
func (w *Writer) onLeaderKeyRead(t *Transaction, item protocol.KeyValue) {
	if item.Version == w.leader.Version {
		w.onInvalidRequest(t) // no attempt has applied, and the last one was rejected
		return
	}
	if !t.leaderEntry.Matches(item.Value) {
		w.host.EndLeadership(EndOtherLeader)
		return
	}
	// An attempt of this transaction wrote the leader key, and all its other changes with it.
	w.recordLeaderKey(t, item.Version)
	w.onApplied(t, item.Version)
}

// recordLeaderKey records that the leader key has the version and the entry that the transaction wrote. Earlier
// transactions can't apply any more.
func (w *Writer) recordLeaderKey(t *Transaction, version uint64) {
	w.leader.Version, w.leader.Entry, w.needsFence = version, t.leaderEntry, false
}

// onApplied records that a transaction applied at a revision, and calls the callbacks of its writes.
func (w *Writer) onApplied(t *Transaction, revision uint64) {
	for _, key := range t.Puts {
		w.versions[key] = revision
	}
	for _, key := range t.deletes {
		delete(w.versions, key)
	}
	w.current = nil
	w.maxWrites = min(unlimitedWrites, 2*w.maxWrites)
	w.recordLatency(t)
	for _, stored := range t.writes {
		w.notifyStored(stored)
	}
	if t.leaderChange != nil {
		t.leaderChange.OnApplied()
	}
}

// recordLatency records the time from the creation of a transaction until it was known to have applied.
func (w *Writer) recordLatency(t *Transaction) {
	latency := (w.host.Now() - t.createdAt).Milliseconds()
	// Latencies out of range are clamped; the histogram is used for logging only.
	_ = w.latencies.RecordValue(min(maxLatencyMillis, max(1, latency)))
}
