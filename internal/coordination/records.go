package coordination

import (
	"strings"
	"time"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// recordHost is a term as the writer of its records sees it.
type recordHost struct{ r *term }

// newRecords makes the writer of a term's records. The election wrote the counter and the leader key in
// one transaction, of this version.
func (r *term) newRecords(version uint64) *statestore.Writer {
	c := r.c
	limits := statestore.Limits{Changes: c.cfg.Cluster.State.Both().TxnOps, ValueBytes: c.cfg.ValueBytes(), Timeout: c.cfg.LeaderTTL() / 2}
	key := statestore.LeaderKey{Key: keyLeader, Version: version, Form: r.leaderForm(r.stored), Equal: equalLeader}
	w := statestore.NewWriter(recordHost{r}, c.log, limits, &c.changes, key)
	w.Loaded(keyCounter, version)
	if r.stored.Form != 0 {
		w.Loaded(keyLease, version)
	}
	return w
}

// leaderForm is how the leader key holds a record: on the leader's lease, or permanently while the
// feature gate is not closed.
func (r *term) leaderForm(rec leaderRecord) statestore.LeaderForm {
	if rec.Form != 0 {
		return statestore.LeaderForm{Record: rec}
	}
	return statestore.LeaderForm{Record: rec, Lease: r.lease}
}

// equalLeader says whether a value that was read is a leader record.
func equalLeader(value []byte, record any) bool {
	var read leaderRecord
	return protocol.Decode(value, &read) == nil && read == record
}

// Now is part of statestore.Host.
func (h recordHost) Now() time.Duration { return h.r.c.now }

// Call is part of statestore.Host.
func (h recordHost) Call(method, path string, body any, timeout time.Duration, then func(int, []byte)) {
	h.r.c.stateCall(method, path, body, timeout, func(res Result) { then(res.Status, res.Body) })
}

// MayCall is part of statestore.Host.
func (h recordHost) MayCall() bool { return h.r.c.requests.Has(h.r.c.now, 1) }

// Pause is part of statestore.Host.
func (h recordHost) Pause() time.Duration { return h.r.c.pause() }

// End is part of statestore.Host.
func (h recordHost) End(why string) { h.r.c.endTerm(why) }

// Ended is part of statestore.Host.
func (h recordHost) Ended() bool { return h.r.c.term != h.r }

// Unavailable is part of statestore.Host.
func (h recordHost) Unavailable() { h.r.refusePending() }

// Abandoned is part of statestore.Host: what waits for the record must not wait for ever.
func (h recordHost) Abandoned(key string) {
	r := h.r
	if id, isMachine := strings.CutPrefix(key, ledger.MachinePrefix); isMachine && r.Machines[id] != nil {
		r.abandonMachine(r.Machines[id])
		return
	}
	if isJournalKey(key) {
		r.ends.abandon()
		return
	}
	uid, isJob := strings.CutPrefix(key, ledger.JobPrefix)
	if isJob {
		r.users.abandon(uid)
	}
}

// Rendered is part of statestore.Host.
func (h recordHost) Rendered(key string) { h.r.ends.journal.Rendered(key) }

// Stored is part of statestore.Host.
func (h recordHost) Stored(key string) { h.r.ends.journal.Stored(key) }

// abandonMachine drops what was to be started on a machine whose record can't be written.
func (r *term) abandonMachine(m *ledger.Machine) {
	m.AsideUntil = r.c.now + r.c.cfg.Lease()
	for _, a := range m.Sorted() {
		if !a.Durable {
			r.gone(a, notRecorded)
		}
	}
	// A record that was stored under a higher limit may not fit any more. The mark
	// only keeps a later leader from using the machine until the deletion comes,
	// which costs its tasks as a machine's end does; without the deletion an
	// unreachable machine would be waited for without end.
	m.Returned = m.Returned || m.Returning
}

// flush sends what is to be written, as long as nobody else can have become leader.
func (r *term) flush() {
	if r.ready && r.certain() {
		r.records.Flush()
	}
}
