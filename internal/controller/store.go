package controller

import (
	"strings"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// recordHost implements statestore.Host, which the record writer uses, for a leadership.
type recordHost struct{ leader *leadership }

var _ statestore.Host = recordHost{}

// newStore returns the writer for the leadership's records. version is the version of the keys that the election
// transaction wrote: the counter, the leader key and, unless the feature gate is closed, the lease key.
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
		Entry:   l.featureGate.leaderEntry(l.featureGate.storedRecord),
	}
	writer := statestore.NewWriter(recordHost{l}, outbox.state, env.log, limits, &outbox.stateChanges, key)
	writer.SetVersion(keyCounter, version)
	if l.featureGate.storedRecord.StorageVersion != 0 {
		writer.SetVersion(keyLease, version)
	}
	return writer
}

// leaderEntry returns the entry that stores a record under the leader key. The entry is attached to the leader's lease
// if the record's feature gate is closed, and permanent otherwise.
func (g *featureGateManager) leaderEntry(record leaderRecord) statestore.LeaderEntry {
	entry := statestore.LeaderEntry{Record: record, Matches: record.matches}
	if record.StorageVersion == 0 {
		entry.Lease = g.lease.leaseID
	}
	return entry
}

// matches reports whether an encoded value is equal to this record. The writer uses it to determine the outcome of a
// transaction that got no response.
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

// OnUnavailable implements statestore.Host: it rejects the pending requests, so that users need not wait for the state
// service.
func (h recordHost) OnUnavailable() { h.leader.controller.pending.refuseAll(refusedStateUnavailable) }

// OnAbandoned implements statestore.Host. Operations that wait for the abandoned record would otherwise wait
// indefinitely. Therefore attempts that are not durable and submissions are dropped, a requested deletion of the
// machine proceeds, and the entries of the completion journal are written to the records of jobs and machines.
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
