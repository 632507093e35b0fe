package statestore

import (
	"errors"
	"fmt"
	"slices"

	"claybarrow/internal/apicall"
	"claybarrow/internal/protocol"
	"claybarrow/internal/stateclient"
)

// onAnswer takes the outcome of a transaction: it applied, or it did not, or nobody knows until one of
// its keys is read back.
func (w *Writer) onAnswer(t *Transaction, revision uint64, err error) {
	if w.host.HasEnded() {
		return
	}
	t.inFlight = false
	var conflict *stateclient.ConflictError
	switch {
	case err == nil:
		if t.writesLeaderKey {
			w.noteLeaderKey(t, revision)
		}
		w.onApplied(t, revision)
	case errors.As(err, &conflict):
		w.onConflict(t, conflict.Keys)
	case apicall.IsOutcomeUnknown(err):
		w.onOutcomeUnknown(t)
	case errors.Is(err, apicall.ErrInvalidRequest) && t.outcomeUnknown:
		// An earlier try may have applied all the same.
		t.readbackKey = w.chooseReadbackKey(t)
	case errors.Is(err, apicall.ErrInvalidRequest):
		w.onInvalidRequest(t)
	default:
		w.onNotExecuted(t, err)
	}
}

// onNotExecuted has a transaction repeated that the service did not execute, as it was in trouble or
// there were too many changes.
func (w *Writer) onNotExecuted(t *Transaction, err error) {
	if errors.Is(err, apicall.ErrRateLimited) {
		w.changeBudget.Drain()
	} else {
		w.host.OnUnavailable()
	}
	t.retryAt = w.host.Now() + w.host.RetryPause()
}

// chooseReadbackKey returns the key that tells whether a transaction has applied.
func (w *Writer) chooseReadbackKey(t *Transaction) string {
	if t.leaderChange != nil {
		return w.leader.Key
	}
	return slices.Concat(t.Puts, t.deletes)[0]
}

// onConflict takes the keys that had other versions than the transaction required.
func (w *Writer) onConflict(t *Transaction, keys []string) {
	switch {
	case slices.Contains(keys, w.leader.Key):
		if !t.writesLeaderKey || !t.outcomeUnknown {
			w.host.EndLeadership(EndOtherLeader)
			return
		}
		t.readbackKey = w.leader.Key // an earlier try of ours may have written it
	case !t.outcomeUnknown || t.leaderChange != nil:
		// Nobody else may write our keys: what is stored is not what this leader thinks.
		w.log.Error("stored versions differ from memory", "keys", fmt.Sprint(keys))
		w.host.EndLeadership(EndRecordsDiffer)
	case len(t.Puts) == 0:
		w.onApplied(t, 0)
	default:
		t.readbackKey = t.Puts[0]
	}
}

// onOutcomeUnknown has a transaction repeated that had no answer: it may have applied, or may apply
// later.
func (w *Writer) onOutcomeUnknown(t *Transaction) {
	t.outcomeUnknown, w.needsFence = true, true
	t.retryAt = w.host.Now() + w.host.RetryPause()
}

// onInvalidRequest takes back a transaction that the state service calls invalid: a lease has expired,
// or a limit is lower than the settings say. Its writes go out in smaller transactions. Only a single
// record that is refused by itself is given up, and its users are told to come back.
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

// onReadback finds out whether a transaction applied whose answer was lost: if a key of it has another
// version than before, it did, as only this leader can have changed the key.
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
		w.onInvalidRequest(t) // it did not apply, and the last try was refused
		return
	}
	w.onApplied(t, item.Version)
}

// mustExist reports whether a key is there whether or not a transaction has applied.
func (w *Writer) mustExist(t *Transaction, key string) bool {
	if key == w.leader.Key {
		return true
	}
	return w.versions[key] != 0 && !slices.Contains(t.deletes, key)
}

// onLeaderKeyRead finds out from the leader key whether a transaction that writes it has applied.
func (w *Writer) onLeaderKeyRead(t *Transaction, item protocol.KeyValue) {
	if item.Version == w.leader.Version {
		w.onInvalidRequest(t) // it did not apply, and the last try was refused
		return
	}
	if !t.leaderEntry.Matches(item.Value) {
		w.host.EndLeadership(EndOtherLeader)
		return
	}
	// A try of ours wrote the leader key, and all else with it.
	w.noteLeaderKey(t, item.Version)
	w.onApplied(t, item.Version)
}

// noteLeaderKey notes that the leader key is stored as the transaction wrote it. Earlier transactions
// can't apply any more.
func (w *Writer) noteLeaderKey(t *Transaction, version uint64) {
	w.leader.Version, w.leader.Entry, w.needsFence = version, t.leaderEntry, false
}

// onApplied notes that a transaction applied at a revision, and tells those who wait for its writes.
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

// recordLatency notes how long a transaction took.
func (w *Writer) recordLatency(t *Transaction) {
	latency := (w.host.Now() - t.createdAt).Milliseconds()
	// A value out of range is clipped; the histogram only serves the log.
	_ = w.latencies.RecordValue(min(maxLatencyMillis, max(1, latency)))
}
