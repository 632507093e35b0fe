package controller

import (
	"math"
	"time"

	"claybarrow/internal/featuregate"
	"claybarrow/internal/protocol"
)

// The leader keys in the state service. The counter is permanent. Every write by a leader is conditional on the version
// of the leader key that the leader put.
//
// While the feature gate is closed, the leader key is attached to the leader's lease, which all versions of the program
// support. While the gate is not closed, the leader key is permanent and the lease key is attached to the lease
// instead. Versions without the gate then always see a leader and never campaign. Versions with the gate campaign when
// the lease key is deleted, on condition that the leader key is unchanged.
const (
	keyPrefix  = "c/"
	keyCounter = "c/token"
	keyLeader  = "c/leader"
	keyLease   = "c/lease"
)

// counterRecord is the value of the counter: the highest fencing token that was assigned to a leader or that a leader has
// reserved (commandTokens).
type counterRecord struct {
	Token uint64 `msgpack:"n"`
}

// leaderRecord is the value of the leader key. Versions without the gate ignore its last two fields.
type leaderRecord struct {
	Label       string `msgpack:"l"`
	Incarnation string `msgpack:"i"` // incarnation of the leader's process
	Token       uint64 `msgpack:"n"`
	LeaseID     uint64 `msgpack:"t"`
	// StorageVersion is the version of the stored records for which the gate is open or closing; 0: the gate is closed.
	StorageVersion uint64 `msgpack:"f,omitempty"`
	// Closing is true while the gate is being closed.
	Closing bool `msgpack:"c,omitempty"`
}

// leaseRecord is the value of the lease key, which is attached to the leader's lease while the gate is not closed.
type leaseRecord struct {
	Token uint64 `msgpack:"n"`
}

// storageVersion returns StorageVersion as the type that the feature gate uses.
func (r *leaderRecord) storageVersion() featuregate.StorageVersion {
	return featuregate.StorageVersion(r.StorageVersion)
}

// gateState returns the state of the feature gate according to the record.
func (r *leaderRecord) gateState() featuregate.State {
	switch {
	case r.StorageVersion == 0:
		return featuregate.Closed
	case r.Closing:
		return featuregate.Closing
	}
	return featuregate.Open
}

// unreadableStorageVersion is the storage version assigned to a leader record that can't be decoded. It is higher than
// every supported version, so that this controller does not campaign.
const unreadableStorageVersion = math.MaxUint64

// leaderKeys is this controller's copy of the leader keys. Its lifetime is that of the process.
type leaderKeys struct {
	listed   bool   // the keys have been listed, and a watch can continue from revision
	revision uint64 // revision of the state service up to which changes have been applied

	counter         uint64 // highest fencing token
	counterVersion  uint64 // version of the counter key
	record          *leaderRecord
	recordVersion   uint64 // version of the leader key
	leaseKeyPresent bool

	leader          *leaderRecord // record of the current leader; nil: no leader is known
	leaderlessSince time.Duration // when leader last became nil

	inFlight   bool          // a list or watch request is in flight
	retryAt    time.Duration // earliest time of the next list or watch request
	generation int           // responses to requests of an older generation are discarded

	revokedLease      uint64 // the former lease of this controller that it last revoked
	listFailureLogged bool   // the current series of list failures has been logged
	loggedToken       uint64 // token of the leader that was logged last
	unsupportedLogged bool   // that the stored records can't be read has been logged
}

// refresh marks the keys as out of date, so that they are listed again at retryAt, and abandons an open watch.
func (k *leaderKeys) refresh(retryAt time.Duration) {
	k.listed, k.inFlight, k.retryAt = false, false, retryAt
	k.generation++
}

// clearKeys clears the values of all keys before a list is applied, because a list does not contain deleted keys.
func (k *leaderKeys) clearKeys() {
	k.counter, k.counterVersion = 0, 0
	k.record, k.recordVersion, k.leaseKeyPresent = nil, 0, false
}

// applyKey applies the value and version of a key; a nil value means that the key was deleted.
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

// decodeLeaderRecord decodes the value of the leader key. It returns nil if there is no value.
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

// currentLeader returns the record of the current leader, or nil if there is no leader. A permanent leader key counts
// only while the lease key exists too.
func (k *leaderKeys) currentLeader() *leaderRecord {
	if k.record != nil && k.record.StorageVersion != 0 && !k.leaseKeyPresent {
		return nil
	}
	return k.record
}

// electionTxn returns the transaction that makes a candidate the leader, on condition that no other controller was
// elected in the meantime. If the gate is not closed, the gate's state is copied from the former leader's record to
// the candidate's.
func (k *leaderKeys) electionTxn(record *leaderRecord) protocol.Transaction {
	leader := protocol.Change{Put: keyLeader, Value: record, Lease: record.LeaseID}
	txn := protocol.Transaction{
		If:   []protocol.Condition{{Key: keyLeader, Version: k.recordVersion}, {Key: keyCounter, Version: k.counterVersion}},
		Then: []protocol.Change{{Put: keyCounter, Value: counterRecord{Token: reservedAtElection(record.Token)}}},
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

// applyElection applies the changes of a successful election transaction to this copy of the keys; revision is the
// revision of the transaction.
func (k *leaderKeys) applyElection(record *leaderRecord, revision uint64) {
	k.counter, k.counterVersion = reservedAtElection(record.Token), revision
	k.record, k.recordVersion = record, revision
	k.leader, k.leaseKeyPresent = record, record.StorageVersion != 0
}
