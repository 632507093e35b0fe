package controller

import (
	"strings"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// recordHost adapts a leadership to statestore.Host, which the writer of its records works with.
type recordHost struct{ leader *leadership }

var _ statestore.Host = recordHost{}

// newStore returns the writer of a leadership's records. version is that of the transaction in which the
// election wrote the counter and the leader key, and the key of the lease while the gate is not closed.
func (l *leadership) newStore(version uint64) *statestore.Writer {
	env, outbox := l.controller.env, l.controller.outbox
	limits := statestore.Limits{
		Changes:    env.cfg.Cluster.State.Both().TxnOps,
		ValueBytes: env.cfg.ValueBytes(),
		Timeout:    env.cfg.LeaderTTL() / stateCallTimeoutDivisor,
	}
	key := statestore.LeaderKey{
		Key:     keyLeader,
		Version: version,
		Entry:   l.gating.leaderEntry(l.gating.storedRecord),
		Equal:   equalLeader,
	}
	writer := statestore.NewWriter(recordHost{l}, env.log, limits, &outbox.stateChanges, key)
	writer.Loaded(keyCounter, version)
	if l.gating.storedRecord.StorageVersion != 0 {
		writer.Loaded(keyLease, version)
	}
	return writer
}

// leaderEntry is how the leader key stores a record: attached to the leader's lease, or permanently while the
// feature gate is not closed.
func (g *gateKeeper) leaderEntry(rec leaderRecord) statestore.LeaderEntry {
	if rec.StorageVersion != 0 {
		return statestore.LeaderEntry{Record: rec}
	}
	return statestore.LeaderEntry{Record: rec, Lease: g.lease.leaseID}
}

// equalLeader reports whether a value read from the state service is the given leader record. The writer asks
// this after a transaction without an answer.
func equalLeader(value []byte, record any) bool {
	var stored leaderRecord
	return protocol.Decode(value, &stored) == nil && stored == record
}

// Now implements statestore.Host.
func (h recordHost) Now() time.Duration { return h.leader.controller.env.now }

// Call implements statestore.Host.
func (h recordHost) Call(method, path string, body any, timeout time.Duration, then func(int, []byte)) {
	h.leader.controller.outbox.stateCall(method, path, body, timeout, func(res Result) { then(res.Status, res.Body) })
}

// MayCall implements statestore.Host.
func (h recordHost) MayCall() bool {
	return h.leader.controller.outbox.stateRequests.Has(h.leader.controller.env.now, 1)
}

// Pause implements statestore.Host.
func (h recordHost) Pause() time.Duration { return h.leader.controller.env.retryPause() }

// End implements statestore.Host.
func (h recordHost) End(reason string) { h.leader.controller.endLeadership(endReason(reason)) }

// Ended implements statestore.Host.
func (h recordHost) Ended() bool { return h.leader.lease.ended }

// Unavailable implements statestore.Host: users get an answer at once instead of waiting for the service.
func (h recordHost) Unavailable() { h.leader.controller.pending.refusePendingRequests() }

// Abandoned implements statestore.Host: what waits for an abandoned record to be durable must not wait for ever.
func (h recordHost) Abandoned(key string) {
	if id, isMachine := strings.CutPrefix(key, clusterstate.MachinePrefix); isMachine && h.leader.state.Machines[id] != nil {
		h.leader.machines.abandonMachine(h.leader.state.Machines[id])
		return
	}
	if isJournalKey(key) {
		h.leader.completions.abandon()
		return
	}
	if uid, isJob := strings.CutPrefix(key, clusterstate.JobPrefix); isJob {
		h.leader.userRequests.abandonSubmission(uid)
	}
}

// Rendered implements statestore.Host.
func (h recordHost) Rendered(key string) { h.leader.completions.journal.Rendered(key) }

// Stored implements statestore.Host.
func (h recordHost) Stored(key string) { h.leader.completions.journal.Stored(key) }
