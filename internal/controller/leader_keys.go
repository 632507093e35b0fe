package controller

import (
	"math"
	"time"

	"claybarrow/internal/featuregate"
	"claybarrow/internal/protocol"
)

// The leader keys. The counter is permanent; the version of the leader key is a condition of every write of the
// leader that put it.
//
// While the feature gate is closed the leader key is attached to the leader's lease, the form that all versions
// of the program know. While it is open the leader key is permanent, and the key of the lease is attached to the
// lease in its place. Versions without the gate then see a leader that never goes away, and do not campaign;
// those with it campaign when the key of the lease is deleted, on condition that the leader key is unchanged.
const (
	keyPrefix  = "c/"
	keyCounter = "c/token"
	keyLeader  = "c/leader"
	keyLease   = "c/lease"
)

// counterRecord is the value of the counter: the highest fencing token that was given to a leader, or reserved by
// one for attempt numbers.
type counterRecord struct {
	Token uint64 `msgpack:"n"`
}

// leaderRecord is the value of the leader key. Versions without the gate ignore its last two fields.
type leaderRecord struct {
	Label       string `msgpack:"l"`
	Incarnation string `msgpack:"i"` // of the leader's process
	Token       uint64 `msgpack:"n"`
	LeaseID     uint64 `msgpack:"t"`
	// StorageVersion is the version of the stored records for which the gate is open; 0: it is closed.
	StorageVersion uint64 `msgpack:"f,omitempty"`
	// Closing says that the gate is being closed.
	Closing bool `msgpack:"c,omitempty"`
}

// leaseRecord is the value of the key that is attached to the leader's lease while the gate is open.
type leaseRecord struct {
	Token uint64 `msgpack:"n"`
}

// storageVersion is the record's version as the gate's type.
func (r *leaderRecord) storageVersion() featuregate.StorageVersion {
	return featuregate.StorageVersion(r.StorageVersion)
}

// gateState is the state of the feature gate that the record stores.
func (r *leaderRecord) gateState() featuregate.State {
	switch {
	case r.StorageVersion == 0:
		return featuregate.Closed
	case r.Closing:
		return featuregate.Closing
	}
	return featuregate.Open
}

// unreadableStorageVersion stands for the version of a leader record that can't be decoded: it is higher than any
// that is supported, so that this controller does not campaign.
const unreadableStorageVersion = math.MaxUint64

// leaderKeys is what this controller knows of the leader keys. It outlives leaderships.
type leaderKeys struct {
	known    bool   // the keys were listed; the watch goes on from the revision
	revision uint64 // of the state service, up to which changes are known

	counter         uint64 // the highest token
	counterVersion  uint64 // the version of the counter's key
	record          *leaderRecord
	recordVersion   uint64 // the version of the leader key
	leaseKeyPresent bool

	leader          *leaderRecord // who leads; nil: nobody is known to
	leaderlessSince time.Duration // since when nobody is

	inFlight   bool          // a list or a watch is under way
	retryAt    time.Duration // no list and no watch before this time, after one that failed
	generation int           // answers to calls of an older generation are dropped

	revokedLease      uint64 // a former lease of this controller that it has revoked
	listFailureLogged bool   // that the last list failed has been logged
	loggedToken       uint64 // the token of the leader that was logged last
	unsupportedLogged bool   // that the stored records can't be read has been logged
}

// refresh has the keys listed again from a time on; an open watch is abandoned.
func (k *leaderKeys) refresh(at time.Duration) {
	k.known, k.inFlight, k.retryAt = false, false, at
	k.generation++
}

// clearKeys forgets the values of the keys. The list that follows lacks those that are deleted.
func (k *leaderKeys) clearKeys() {
	k.counter, k.counterVersion = 0, 0
	k.record, k.recordVersion, k.leaseKeyPresent = nil, 0, false
}

// applyKey notes the value of a key; nil: the key is deleted.
func (k *leaderKeys) applyKey(key string, value []byte, version uint64) {
	switch key {
	case keyCounter:
		var record counterRecord
		if value != nil && protocol.Decode(value, &record) == nil {
			k.counter = record.Token
		}
		k.counterVersion = version
	case keyLeader:
		k.record, k.recordVersion = decodeLeaderRecord(value), version
	case keyLease:
		k.leaseKeyPresent = value != nil
	}
}

// decodeLeaderRecord decodes the value of the leader key; nil: there is none.
func decodeLeaderRecord(value []byte) *leaderRecord {
	if value == nil {
		return nil
	}
	var record leaderRecord
	if protocol.Decode(value, &record) != nil {
		return &leaderRecord{StorageVersion: unreadableStorageVersion}
	}
	return &record
}

// currentLeader returns the record of the controller that leads by the keys, or nil. A permanent leader key alone
// names nobody: the key of the lease must be there too.
func (k *leaderKeys) currentLeader() *leaderRecord {
	if k.record != nil && k.record.StorageVersion != 0 && !k.leaseKeyPresent {
		return nil
	}
	return k.record
}

// electionTxn returns the transaction that makes a candidate the leader, on condition that no other controller
// became it meanwhile. Unless the gate is closed, the state of the gate is copied from the former leader's record
// to the candidate's.
func (k *leaderKeys) electionTxn(record *leaderRecord) protocol.Transaction {
	leader := protocol.Change{Put: keyLeader, Value: record, Lease: record.LeaseID}
	txn := protocol.Transaction{
		If:   []protocol.Condition{{Key: keyLeader, Version: k.recordVersion}, {Key: keyCounter, Version: k.counterVersion}},
		Then: []protocol.Change{{Put: keyCounter, Value: counterRecord{Token: record.Token}}},
	}
	if k.record == nil {
		txn.Then = append(txn.Then, leader)
		return txn
	}
	record.StorageVersion, record.Closing = k.record.StorageVersion, k.record.Closing
	leader.Lease = 0
	txn.If = append(txn.If, protocol.Condition{Key: keyLease, Version: 0})
	txn.Then = append(txn.Then, leader, protocol.Change{Put: keyLease, Value: leaseRecord{Token: record.Token}, Lease: record.LeaseID})
	return txn
}

// noteElectionWon notes that the transaction of the election applied, at a revision.
func (k *leaderKeys) noteElectionWon(record *leaderRecord, revision uint64) {
	k.counter, k.counterVersion = record.Token, revision
	k.record, k.recordVersion = record, revision
	k.leader, k.leaseKeyPresent = record, record.StorageVersion != 0
}
