package controller

import (
	"math"
	"time"

	"claybarrow/internal/featuregate"
	"claybarrow/internal/protocol"
)

// Keys of leadership. The counter stays for ever; the leader key is a condition of every change of
// the leader that wrote it.
//
// With the feature gate closed the leader key hangs on the leader's lease, as all versions know it.
// With the gate open it is permanent, and the key of the lease hangs on the lease in its place.
// Versions without the gate then see a leader that is always there and never campaign; those with
// it campaign when the key of the lease is gone, on condition that the leader key is unchanged.
const (
	keyPrefix  = "c/"
	keyCounter = "c/token"
	keyLeader  = "c/leader"
	keyLease   = "c/lease"
)

type counterRecord struct {
	Token uint64 `msgpack:"n"`
}

// leaderRecord is the leader key's value. Versions without the gate ignore its last two fields.
type leaderRecord struct {
	Label       string `msgpack:"l"`
	Incarnation string `msgpack:"i"`
	Token       uint64 `msgpack:"n"`
	LeaseID     uint64 `msgpack:"t"`
	// StorageVersion is that of the stored records for which the gate is open, 0: it is closed. Closing says
	// that it is being closed.
	StorageVersion uint64 `msgpack:"f,omitempty"`
	Closing        bool   `msgpack:"c,omitempty"`
}

// leaseRecord is the value of the key that hangs on the leader's lease while the gate is open.
type leaseRecord struct {
	Token uint64 `msgpack:"n"`
}

func (r *leaderRecord) storageVersion() featuregate.StorageVersion {
	return featuregate.StorageVersion(r.StorageVersion)
}

// gateState is the feature gate's state that the record says.
func (r *leaderRecord) gateState() featuregate.State {
	switch {
	case r.StorageVersion == 0:
		return featuregate.Closed
	case r.Closing:
		return featuregate.Closing
	}
	return featuregate.Open
}

// unreadableStorageVersion stands for the form of a leader record that can't be read.
const unreadableStorageVersion = math.MaxUint64

// leaderKeys is what this controller knows of the leadership keys.
type leaderKeys struct {
	known          bool
	revision       uint64
	counter        uint64
	counterVersion uint64
	// record is the leader key's, nil: there is none. leased: the key of the lease is there.
	record            *leaderRecord
	recordVersion     uint64
	leaseKeyPresent   bool
	leader            *leaderRecord // who leads
	leaderlessSince   time.Duration // since when no leader is known
	inFlight          bool
	nextAt            time.Duration
	revokedLease      uint64 // lease of an earlier incarnation that we ended
	listFailureLogged bool   // the last list had no answer, which has been logged
	loggedToken       uint64 // token of the leader that was logged last
	generation        int    // answers to calls of an older generation are dropped
	// unsupportedLogged: a leader record of a form that this version does not read has been logged.
	unsupportedLogged bool
}

// refresh has the keys listed again at once; an open watch is given up.
func (k *leaderKeys) refresh(now time.Duration) {
	k.known, k.inFlight, k.nextAt = false, false, now
	k.generation++
}

// clearKeys drops what the keys held before they are listed.
func (k *leaderKeys) clearKeys() {
	k.counter, k.counterVersion = 0, 0
	k.record, k.recordVersion, k.leaseKeyPresent = nil, 0, false
}

// applyKey notes what a key holds; nil: it is gone.
func (k *leaderKeys) applyKey(key string, value []byte, version uint64) {
	switch key {
	case keyCounter:
		var rec counterRecord
		if value != nil && protocol.Decode(value, &rec) == nil {
			k.counter = rec.Token
		}
		k.counterVersion = version
	case keyLeader:
		k.record, k.recordVersion = nil, version
		if value == nil {
			return
		}
		var rec leaderRecord
		if protocol.Decode(value, &rec) != nil {
			rec = leaderRecord{StorageVersion: unreadableStorageVersion}
		}
		k.record = &rec
	case keyLease:
		k.leaseKeyPresent = value != nil
	}
}

// currentLeader is who leads by the keys: a permanent record alone names nobody.
func (k *leaderKeys) currentLeader() *leaderRecord {
	if k.record != nil && k.record.StorageVersion != 0 && !k.leaseKeyPresent {
		return nil
	}
	return k.record
}

// electionTxn is the transaction that makes a candidate the leader, if nobody did so meanwhile. With
// the gate not closed its record goes on with the former one's state of the gate.
func (k *leaderKeys) electionTxn(rec *leaderRecord) protocol.Txn {
	leader := protocol.Change{Put: keyLeader, Value: rec, Lease: rec.LeaseID}
	txn := protocol.Txn{
		If:   []protocol.Condition{{Key: keyLeader, Version: k.recordVersion}, {Key: keyCounter, Version: k.counterVersion}},
		Then: []protocol.Change{{Put: keyCounter, Value: counterRecord{Token: rec.Token}}},
	}
	if k.record == nil {
		txn.Then = append(txn.Then, leader)
		return txn
	}
	rec.StorageVersion, rec.Closing = k.record.StorageVersion, k.record.Closing
	leader.Lease = 0
	txn.If = append(txn.If, protocol.Condition{Key: keyLease, Version: 0})
	txn.Then = append(txn.Then, leader, protocol.Change{Put: keyLease, Value: leaseRecord{Token: rec.Token}, Lease: rec.LeaseID})
	return txn
}

// noteElectionWon notes that the election's transaction applied.
func (k *leaderKeys) noteElectionWon(rec *leaderRecord, revision uint64) {
	k.counter, k.counterVersion = rec.Token, revision
	k.record, k.recordVersion, k.leader, k.leaseKeyPresent = rec, revision, rec, rec.StorageVersion != 0
}
