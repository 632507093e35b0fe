package controller

import (
	"strings"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// recordHost adapts a leadership to the writer of its records.
type recordHost struct{ leader *leadership }

// newStore makes the writer of a term's records. The election wrote the counter and the leader key in
// one transaction, of this version.
func (l *leadership) newStore(version uint64) *statestore.Writer {
	limits := statestore.Limits{Changes: l.controller.env.cfg.Cluster.State.Both().TxnOps, ValueBytes: l.controller.env.cfg.ValueBytes(), Timeout: l.controller.env.cfg.LeaderTTL() / 2}
	key := statestore.LeaderKey{Key: keyLeader, Version: version, Entry: l.gating.leaderEntry(l.gating.storedRecord)}
	w := statestore.NewWriter(recordHost{l}, l.controller.outbox.state, l.controller.env.log, limits, &l.controller.outbox.stateChanges, key)
	w.Loaded(keyCounter, version)
	if l.gating.storedRecord.StorageVersion != 0 {
		w.Loaded(keyLease, version)
	}
	return w
}

// leaderEntry is how the leader key holds a record: on the leader's lease, or permanently while the
// feature gate is not closed.
func (g *gateKeeper) leaderEntry(rec leaderRecord) statestore.LeaderEntry {
	entry := statestore.LeaderEntry{Record: rec, Matches: rec.matches}
	if rec.StorageVersion == 0 {
		entry.Lease = g.lease.leaseID
	}
	return entry
}

// matches reports whether a stored value, as it was read, is this record.
func (r *leaderRecord) matches(value []byte) bool {
	var stored leaderRecord
	return protocol.Decode(value, &stored) == nil && stored == *r
}

// Now is part of statestore.Host.
func (h recordHost) Now() time.Duration { return h.leader.controller.env.now }

// MayCall is part of statestore.Host.
func (h recordHost) MayCall() bool {
	return h.leader.controller.outbox.stateRequests.Has(h.leader.controller.env.now, 1)
}

// Pause is part of statestore.Host.
func (h recordHost) Pause() time.Duration { return h.leader.controller.env.retryPause() }

// End is part of statestore.Host.
func (h recordHost) End(reason statestore.EndReason) {
	h.leader.controller.endLeadership(endReason(reason))
}

// Ended is part of statestore.Host.
func (h recordHost) Ended() bool { return h.leader.lease.ended }

// Unavailable is part of statestore.Host.
func (h recordHost) Unavailable() { h.leader.controller.pending.refusePendingRequests() }

// Abandoned is part of statestore.Host: what waits for the record must not wait for ever.
func (h recordHost) Abandoned(key string) {
	if id, isMachine := strings.CutPrefix(key, clusterstate.MachinePrefix); isMachine && h.leader.state.Machines[id] != nil {
		h.leader.machines.abandonMachine(h.leader.state.Machines[id])
		return
	}
	if isJournalKey(key) {
		h.leader.completions.abandon()
		return
	}
	uid, isJob := strings.CutPrefix(key, clusterstate.JobPrefix)
	if isJob {
		h.leader.userRequests.abandonSubmission(uid)
	}
}

// Rendered is part of statestore.Host.
func (h recordHost) Rendered(key string) { h.leader.completions.journal.Rendered(key) }

// Stored is part of statestore.Host.
func (h recordHost) Stored(key string) { h.leader.completions.journal.Stored(key) }
