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
		MaxChanges:     env.cfg.Cluster.State.EffectiveLimits().TxnOps,
		MaxValueBytes:  env.cfg.MaxValueBytes(),
		RequestTimeout: env.cfg.LeaderLease() / stateCallTimeoutDivisor,
	}
	key := statestore.LeaderKey{
		Key:     keyLeader,
		Version: version,
		Entry:   l.gating.leaderEntry(l.gating.storedRecord),
	}
	writer := statestore.NewWriter(recordHost{l}, outbox.state, env.log, limits, &outbox.stateChanges, key)
	writer.SetVersion(keyCounter, version)
	if l.gating.storedRecord.StorageVersion != 0 {
		writer.SetVersion(keyLease, version)
	}
	return writer
}

// leaderEntry is how the leader key stores a record: attached to the leader's lease, or permanently while the
// feature gate is not closed.
func (g *gateKeeper) leaderEntry(rec leaderRecord) statestore.LeaderEntry {
	entry := statestore.LeaderEntry{Record: rec, Matches: rec.matches}
	if rec.StorageVersion == 0 {
		entry.Lease = g.lease.leaseID
	}
	return entry
}

// matches reports whether a stored value, as it was read, is this record. The writer asks this after a
// transaction without an answer.
func (r *leaderRecord) matches(value []byte) bool {
	var stored leaderRecord
	return protocol.Decode(value, &stored) == nil && stored == *r
}

// Now implements statestore.Host.
func (h recordHost) Now() time.Duration { return h.leader.controller.env.now }

// MayRequest implements statestore.Host.
func (h recordHost) MayRequest() bool {
	return h.leader.controller.outbox.stateRequests.Allows(h.leader.controller.env.now, 1)
}

// RetryPause implements statestore.Host.
func (h recordHost) RetryPause() time.Duration { return h.leader.controller.env.retryPause() }

// EndLeadership implements statestore.Host.
func (h recordHost) EndLeadership(reason statestore.EndReason) {
	h.leader.controller.endLeadership(endReason(reason))
}

// HasEnded implements statestore.Host.
func (h recordHost) HasEnded() bool { return h.leader.lease.ended }

// OnUnavailable implements statestore.Host: users get an answer at once instead of waiting for the service.
func (h recordHost) OnUnavailable() { h.leader.controller.pending.refuseAll() }

// OnAbandoned implements statestore.Host: what waits for an abandoned record to be durable must not wait for ever.
func (h recordHost) OnAbandoned(key string) {
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

// OnRendered implements statestore.Host.
func (h recordHost) OnRendered(key string) { h.leader.completions.journal.RecordRendered(key) }

// OnStored implements statestore.Host.
func (h recordHost) OnStored(key string) { h.leader.completions.journal.RecordStored(key) }
