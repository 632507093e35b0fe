package statestore

import (
	"fmt"
	"slices"

	"claybarrow/internal/protocol"
)

// What became of a transaction: it applied, or did not, or nobody knows until a key of it is read
// back.

func (w *Writer) onAnswer(t *Transaction, status int, body []byte) {
	if w.host.Ended() {
		return
	}
	t.inFlight = false
	var reply protocol.TxnReply
	switch status {
	case 200:
		if protocol.Decode(body, &reply) != nil {
			w.onOutcomeUnknown(t)
			return
		}
		if t.writesLeaderKey {
			w.noteLeaderKey(t, reply.Revision)
		}
		w.onApplied(t, reply.Revision)
	case 409:
		if protocol.Decode(body, &reply) != nil {
			w.onOutcomeUnknown(t)
			return
		}
		w.onConflict(t, reply.Failed)
	case 0:
		w.onOutcomeUnknown(t)
	case 400:
		if t.outcomeUnknown {
			// An earlier try may have applied all the same.
			t.readbackKey = w.chooseReadbackKey(t)
			return
		}
		w.onInvalidRequest(t)
	default:
		// 503: not executed. 429: likewise, and we have been too fast.
		if status == 429 {
			w.changeBudget.Empty()
		} else {
			w.host.Unavailable()
		}
		t.retryAt = w.host.Now() + w.host.Pause()
	}
}

// chooseReadbackKey is the key that tells whether a transaction has applied.
func (w *Writer) chooseReadbackKey(t *Transaction) string {
	if t.leaderChange != nil {
		return w.leader.Key
	}
	return slices.Concat(t.Puts, t.deletes)[0]
}

// onConflict takes the keys that had other versions than the transaction said.
func (w *Writer) onConflict(t *Transaction, failed []string) {
	switch {
	case slices.Contains(failed, w.leader.Key):
		if !t.writesLeaderKey || !t.outcomeUnknown {
			w.host.End("another leader's key")
			return
		}
		t.readbackKey = w.leader.Key // an earlier try of ours may have written it
	case !t.outcomeUnknown || t.leaderChange != nil:
		// Nobody else may write our keys: the ledger is not what we think.
		w.log.Error("versions differ", "keys", fmt.Sprint(failed))
		w.host.End("the ledger differs from memory")
	case len(t.Puts) == 0:
		w.onApplied(t, 0)
	default:
		t.readbackKey = t.Puts[0]
	}
}

// onOutcomeUnknown notes that a try had no answer: it may have applied, or do so later.
func (w *Writer) onOutcomeUnknown(t *Transaction) {
	t.outcomeUnknown, w.needsFence = true, true
	t.retryAt = w.host.Now() + w.host.Pause()
}

// onInvalidRequest takes back a transaction that the state service calls malformed: a
// lease that has ended, or a limit that is lower than the settings say. What can
// be written goes out in smaller ones; only a single record that is refused by
// itself is given up, and its users are told to come back.
func (w *Writer) onInvalidRequest(t *Transaction) {
	w.current = nil
	if t.leaderChange != nil {
		w.log.Error("the leader key's new form was called malformed")
		t.leaderChange.Refused()
		return
	}
	if t.writesLeaderKey && len(t.writes) == 1 {
		w.host.End("the leader key can't be written")
		return
	}
	if len(t.writes) > 1 {
		w.log.Error("a transaction was called malformed", "writes", len(t.writes))
		w.maxWrites = max(1, len(t.writes)/2)
		w.requeue(t)
		return
	}
	m := t.writes[0]
	w.log.Error("a record was called malformed", "key", m.key)
	w.maxWrites = unlimitedWrites
	w.host.Abandoned(m.key)
}

// requeue queues a transaction's writes again, first in their queues. What was
// asked for anew meanwhile keeps the newer request.
func (w *Writer) requeue(t *Transaction) {
	for _, m := range slices.Backward(t.writes) {
		if newer := w.pending[m.key]; newer != nil {
			newer.onStored = append(m.onStored, newer.onStored...)
			continue
		}
		w.pending[m.key] = m
		w.queues[m.priority] = slices.Insert(w.queues[m.priority], 0, m)
	}
}

// onReadback tells what became of a transaction whose answer was lost: a key of
// it has another version than before, and only this leader can have changed it.
func (w *Writer) onReadback(t *Transaction, status int, body []byte) {
	if w.host.Ended() {
		return
	}
	t.inFlight = false
	var it protocol.Item // absent: version 0
	key := t.readbackKey
	deletes := slices.Contains(t.deletes, key)
	switch {
	case status == 200 && protocol.Decode(body, &it) == nil:
	case status == 404 && (key == w.leader.Key || w.versions[key] != 0 && !deletes):
		w.host.End("the ledger differs from memory")
		return
	case status == 404:
	default:
		t.retryAt = w.host.Now() + w.host.Pause()
		return
	}
	t.readbackKey = ""
	if key == w.leader.Key {
		if it.Version == w.leader.Version {
			w.onInvalidRequest(t) // it did not apply, and the last try was refused
			return
		}
		if !w.leader.Equal(it.Value, t.leaderEntry.Record) {
			w.host.End("another leader's key")
			return
		}
		// A try of ours wrote the leader key, and all else with it.
		w.noteLeaderKey(t, it.Version)
		w.onApplied(t, it.Version)
		return
	}
	if it.Version == w.versions[key] {
		w.onInvalidRequest(t) // it did not apply, and the last try was refused
		return
	}
	w.onApplied(t, it.Version)
}

// noteLeaderKey notes that the transaction's leader key is the stored one.
func (w *Writer) noteLeaderKey(t *Transaction, version uint64) {
	w.leader.Version, w.leader.Entry, w.needsFence = version, t.leaderEntry, false
}

func (w *Writer) onApplied(t *Transaction, revision uint64) {
	for _, key := range t.Puts {
		w.versions[key] = revision
	}
	for _, key := range t.deletes {
		delete(w.versions, key)
	}
	w.current = nil
	w.maxWrites = min(unlimitedWrites, 2*w.maxWrites)
	// A value out of range is clipped; the histogram only serves the log.
	_ = w.latencies.RecordValue(min(maxLatencyMillis, max(1, (w.host.Now()-t.createdAt).Milliseconds())))
	for _, m := range t.writes {
		w.notifyStored(m)
	}
	if t.leaderChange != nil {
		t.leaderChange.Applied()
	}
}
