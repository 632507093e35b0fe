package controller

import (
	"strings"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// recordHost is a term as the writer of its records sees it.
type recordHost struct{ leader *leadership }

// newStore makes the writer of a term's records. The election wrote the counter and the leader key in
// one transaction, of this version.
func (l *leadership) newStore(version uint64) *statestore.Writer {
	limits := statestore.Limits{Changes: l.controller.env.cfg.Cluster.State.Both().TxnOps, ValueBytes: l.controller.env.cfg.ValueBytes(), Timeout: l.controller.env.cfg.LeaderTTL() / 2}
	key := statestore.LeaderKey{Key: keyLeader, Version: version, Entry: l.gating.leaderEntry(l.gating.storedRecord), Equal: equalLeader}
	w := statestore.NewWriter(recordHost{l}, l.controller.env.log, limits, &l.controller.outbox.stateChanges, key)
	w.Loaded(keyCounter, version)
	if l.gating.storedRecord.StorageVersion != 0 {
		w.Loaded(keyLease, version)
	}
	return w
}

// leaderEntry is how the leader key holds a record: on the leader's lease, or permanently while the
// feature gate is not closed.
func (g *gateKeeper) leaderEntry(rec leaderRecord) statestore.LeaderEntry {
	if rec.StorageVersion != 0 {
		return statestore.LeaderEntry{Record: rec}
	}
	return statestore.LeaderEntry{Record: rec, Lease: g.lease.leaseID}
}

// equalLeader says whether a value that was read is a leader record.
func equalLeader(value []byte, record any) bool {
	var read leaderRecord
	return protocol.Decode(value, &read) == nil && read == record
}

// Now is part of statestore.Host.
func (h recordHost) Now() time.Duration { return h.leader.controller.env.now }

// Call is part of statestore.Host.
func (h recordHost) Call(method, path string, body any, timeout time.Duration, then func(int, []byte)) {
	h.leader.controller.outbox.stateCall(method, path, body, timeout, func(res Result) { then(res.Status, res.Body) })
}

// MayCall is part of statestore.Host.
func (h recordHost) MayCall() bool {
	return h.leader.controller.outbox.stateRequests.Has(h.leader.controller.env.now, 1)
}

// Pause is part of statestore.Host.
func (h recordHost) Pause() time.Duration { return h.leader.controller.env.retryPause() }

// End is part of statestore.Host.
func (h recordHost) End(why string) { h.leader.controller.endLeadership(endReason(why)) }

// Ended is part of statestore.Host.
func (h recordHost) Ended() bool { return h.leader.lease.ended }

// Unavailable is part of statestore.Host.
func (h recordHost) Unavailable() { h.leader.controller.pending.refuseAll() }

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
