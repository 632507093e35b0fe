package controller

import (
	"encoding/hex"
	"testing"

	"github.com/google/go-cmp/cmp"

	"claybarrow/internal/protocol"
)

// TestLeaderRecordsOfBothVersions checks the compatibility of leader records with versions 686f0af to 0eeb63e, which
// all use the same encoding. This version decodes their record, and encodes the same bytes while the feature gate is
// closed. The older versions decode the record of an open gate as a valid record and ignore the new fields.
func TestLeaderRecordsOfBothVersions(t *testing.T) {
	const olderEncoding = "84a16ca26e31a169a26162a16e07a17409"
	rec := leaderRecord{Label: "n1", Incarnation: "ab", Token: 7, LeaseID: 9}
	raw, err := hex.DecodeString(olderEncoding)
	if err != nil {
		t.Fatal(err)
	}
	var read leaderRecord
	if err := protocol.Decode(raw, &read); err != nil || read != rec {
		t.Errorf("the older record is decoded as %+v, %v", read, err)
	}
	if got := hex.EncodeToString(protocol.Encode(rec)); got != olderEncoding {
		t.Errorf("the record is encoded as %s", got)
	}
	type olderRecord struct {
		Label       string `msgpack:"l"`
		Incarnation string `msgpack:"i"`
		Token       uint64 `msgpack:"n"`
		Lease       uint64 `msgpack:"t"`
	}
	open := rec
	open.StorageVersion, open.Closing = 1, true
	var older olderRecord
	if err := protocol.Decode(protocol.Encode(open), &older); err != nil || older != (olderRecord{"n1", "ab", 7, 9}) {
		t.Errorf("an older version decodes the record as %+v, %v", older, err)
	}
}

// TestElectionConditions checks the conditions of the transaction that elects a leader. While the gate is closed they
// equal the conditions of older versions. Otherwise the leader key must be unchanged since it was read, and the lease
// key absent.
func TestElectionConditions(t *testing.T) {
	former := &leaderRecord{Label: "n9", Token: 4, StorageVersion: 1, Closing: true}
	for _, c := range []struct {
		name   string
		view   leaderKeys
		want   []protocol.Condition
		puts   map[string]uint64 // lease of each key that the transaction puts
		record leaderRecord
	}{
		{"closed", leaderKeys{counter: 4, counterVersion: 30},
			[]protocol.Condition{{Key: keyLeader, Version: 0}, {Key: keyCounter, Version: 30}},
			map[string]uint64{keyCounter: 0, keyLeader: 8}, leaderRecord{Label: "n1", Token: 5, LeaseID: 8}},
		{"not closed", leaderKeys{counter: 4, counterVersion: 30, record: former, recordVersion: 31},
			[]protocol.Condition{{Key: keyLeader, Version: 31}, {Key: keyCounter, Version: 30}, {Key: keyLease, Version: 0}},
			map[string]uint64{keyCounter: 0, keyLeader: 0, keyLease: 8}, leaderRecord{Label: "n1", Token: 5, LeaseID: 8, StorageVersion: 1, Closing: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rec := leaderRecord{Label: "n1", Token: 5, LeaseID: 8}
			txn := c.view.electionTxn(&rec)
			puts := map[string]uint64{}
			for _, change := range txn.Then {
				puts[change.Put] = change.Lease
			}
			if diff := cmp.Diff(c.want, txn.If) + cmp.Diff(c.puts, puts) + cmp.Diff(c.record, rec); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}
