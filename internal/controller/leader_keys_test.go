package controller

import (
	"encoding/hex"
	"testing"

	"github.com/google/go-cmp/cmp"

	"claybarrow/internal/protocol"
)

// The leader record of older versions (686f0af to 0eeb63e, which agree), byte by byte: it is
// decoded with its meaning, and encoded the same while the gate is closed. They decode the record
// of an open gate as one of their own.
func TestLeaderRecordsOfBothVersions(t *testing.T) {
	const wrote = "84a16ca26e31a169a26162a16e07a17409"
	rec := leaderRecord{Label: "n1", Incarnation: "ab", Token: 7, LeaseID: 9}
	raw, err := hex.DecodeString(wrote)
	if err != nil {
		t.Fatal(err)
	}
	var read leaderRecord
	if err := protocol.Decode(raw, &read); err != nil || read != rec {
		t.Errorf("%+v, %v", read, err)
	}
	if got := hex.EncodeToString(protocol.Encode(rec)); got != wrote {
		t.Errorf("it is written as %s", got)
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
		t.Errorf("an older version reads %+v, %v", older, err)
	}
}

// The conditions of an election: with the gate closed those of older versions; else that the leader
// key is as it was read, and that the lease key is absent.
func TestElectionConditions(t *testing.T) {
	former := &leaderRecord{Label: "n9", Token: 4, StorageVersion: 1, Closing: true}
	for _, c := range []struct {
		name   string
		view   leaderKeys
		want   []protocol.Condition
		puts   map[string]uint64 // with their leases
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
