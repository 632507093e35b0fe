package controller

import (
	"strings"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/stateclient"
	"claybarrow/internal/statestore"
)

// stateTransport sends the requests of the state service's client.
type stateTransport struct{ controller *Controller }

// newStateClient makes the client of the state service, whose requests this controller sends.
func newStateClient(c *Controller) *stateclient.Client { return stateclient.New(stateTransport{c}) }

// Call is part of apicall.Transport.
func (t stateTransport) Call(method, path string, body any, timeout time.Duration, done func(status int, body []byte)) {
	t.controller.stateCall(method, path, body, timeout, func(res Result) { done(res.Status, res.Body) })
}

// recordHost adapts a leadership to the writer of its records.
type recordHost struct{ leader *leadership }

// newStore makes the writer of a term's records. The election wrote the counter and the leader key in
// one transaction, of this version.
func (l *leadership) newStore(version uint64) *statestore.Writer {
	c := l.controller
	limits := statestore.Limits{Changes: c.cfg.Cluster.State.Both().TxnOps, ValueBytes: c.cfg.ValueBytes(), Timeout: c.cfg.LeaderTTL() / 2}
	key := statestore.LeaderKey{Key: keyLeader, Version: version, Entry: l.leaderEntry(l.storedRecord)}
	w := statestore.NewWriter(recordHost{l}, newStateClient(c), c.log, limits, &c.stateChanges, key)
	w.Loaded(keyCounter, version)
	if l.storedRecord.StorageVersion != 0 {
		w.Loaded(keyLease, version)
	}
	return w
}

// leaderEntry is how the leader key holds a record: on the leader's lease, or permanently while the
// feature gate is not closed.
func (l *leadership) leaderEntry(rec leaderRecord) statestore.LeaderEntry {
	entry := statestore.LeaderEntry{Record: rec, Matches: rec.matches}
	if rec.StorageVersion == 0 {
		entry.Lease = l.leaseID
	}
	return entry
}

// matches reports whether a stored value, as it was read, is this record.
func (r *leaderRecord) matches(value []byte) bool {
	var stored leaderRecord
	return protocol.Decode(value, &stored) == nil && stored == *r
}

// Now is part of statestore.Host.
func (h recordHost) Now() time.Duration { return h.leader.controller.now }

// MayCall is part of statestore.Host.
func (h recordHost) MayCall() bool {
	return h.leader.controller.stateRequests.Has(h.leader.controller.now, 1)
}

// Pause is part of statestore.Host.
func (h recordHost) Pause() time.Duration { return h.leader.controller.retryPause() }

// End is part of statestore.Host.
func (h recordHost) End(why statestore.EndReason) {
	h.leader.controller.endLeadership(string(why))
}

// Ended is part of statestore.Host.
func (h recordHost) Ended() bool { return h.leader.controller.leadership != h.leader }

// Unavailable is part of statestore.Host.
func (h recordHost) Unavailable() { h.leader.refusePendingRequests() }

// Abandoned is part of statestore.Host: what waits for the record must not wait for ever.
func (h recordHost) Abandoned(key string) {
	l := h.leader
	if id, isMachine := strings.CutPrefix(key, clusterstate.MachinePrefix); isMachine && l.state.Machines[id] != nil {
		l.abandonMachine(l.state.Machines[id])
		return
	}
	if isJournalKey(key) {
		l.completions.abandon()
		return
	}
	uid, isJob := strings.CutPrefix(key, clusterstate.JobPrefix)
	if isJob {
		l.userRequests.abandonSubmission(uid)
	}
}

// Rendered is part of statestore.Host.
func (h recordHost) Rendered(key string) { h.leader.completions.journal.Rendered(key) }

// Stored is part of statestore.Host.
func (h recordHost) Stored(key string) { h.leader.completions.journal.Stored(key) }

// abandonMachine drops what was to be started on a machine whose record can't be written.
func (l *leadership) abandonMachine(m *clusterstate.Machine) {
	m.QuarantinedUntil = l.controller.now + l.controller.cfg.Lease()
	for _, a := range m.Sorted() {
		if !a.Durable {
			l.removeAttempt(a, notRecorded)
		}
	}
	// A record that was stored under a higher limit may not fit any more. The mark
	// only keeps a later leader from using the machine until the deletion comes,
	// which costs its tasks as a machine's end does; without the deletion an
	// unreachable machine would be waited for without end.
	m.ReleaseStored = m.ReleaseStored || m.Releasing
}

// flush sends what is to be written, as long as nobody else can have become leader.
func (l *leadership) flush() {
	if l.ready && l.holdsLease() {
		l.store.Flush()
	}
}
