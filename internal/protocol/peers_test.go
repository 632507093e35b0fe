package protocol

import (
	"encoding/hex"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Messages as encoded by the older versions 686f0af and 4297efa, whose encodings are the same. They must be decoded
// to the same values and encoded to the same bytes.
func TestPeerMessagesOfOlderVersions(t *testing.T) {
	for _, tc := range []struct {
		name       string
		encoded    string
		want, into any
	}{
		{"heartbeat", "a601626e3102626162030704090520060c",
			&PeerHeartbeat{From: "n1", Incarnation: "ab", Token: 7, LeaderClock: 9, ServedMS: -1, UptimeMS: 12}, &PeerHeartbeat{}},
		{"heartbeat reply", "a301626e3002070309",
			&PeerHeartbeatReply{Leader: "n0", Token: 7, LeaderClock: 9}, &PeerHeartbeatReply{}},
		{"forwarded request", "a301667375626d697402636a2d3103420102",
			&ForwardedRequest{Operation: "submit", UID: "j-1", Body: []byte{1, 2}}, &ForwardedRequest{}},
		{"forwarded request's reply", "a3011901f70241010301",
			&ForwardedReply{Status: 503, Body: []byte{1}, RetryAfter: 1}, &ForwardedReply{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			raw, err := hex.DecodeString(tc.encoded)
			if err != nil {
				t.Fatal(err)
			}
			if err := DecodePeer(raw, tc.into); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, tc.into); diff != "" {
				t.Errorf("decoded (-want +got):\n%s", diff)
			}
			if got := hex.EncodeToString(EncodePeer(tc.want)); got != tc.encoded {
				t.Errorf("encoded as %s, want %s", got, tc.encoded)
			}
		})
	}
}

// Fields that older versions do not have are omitted if they are empty, and ignored by older versions.
func TestOlderVersionsIgnoreNewFields(t *testing.T) {
	t.Run("forwarded request", func(t *testing.T) {
		type olderRelay struct {
			Op   string `cbor:"1,keyasint"`
			UID  string `cbor:"2,keyasint,omitempty"`
			Body []byte `cbor:"3,keyasint,omitempty"`
		}
		var older olderRelay
		if err := DecodePeer(EncodePeer(ForwardedRequest{Operation: "poll", UID: "j-1", To: "n0"}), &older); err != nil || older.UID != "j-1" {
			t.Errorf("an older version decodes %+v, error %v", older, err)
		}
	})
	t.Run("heartbeat", func(t *testing.T) {
		type olderHeartbeat struct {
			From        string `cbor:"1,keyasint"`
			Incarnation string `cbor:"2,keyasint"`
			ServedMS    int64  `cbor:"5,keyasint"`
		}
		var older olderHeartbeat
		heartbeat := PeerHeartbeat{From: "n1", Incarnation: "ab", ServedMS: -1, Versions: &VersionStatement{Reads: 1, Writes: 1, Hold: true}}
		if err := DecodePeer(EncodePeer(heartbeat), &older); err != nil || older != (olderHeartbeat{"n1", "ab", -1}) {
			t.Errorf("an older version decodes %+v, error %v", older, err)
		}
		var read PeerHeartbeat
		if err := DecodePeer(EncodePeer(heartbeat), &read); err != nil || cmp.Diff(heartbeat, read) != "" {
			t.Errorf("the version statement was decoded as %+v, error %v", read.Versions, err)
		}
	})
}

// Unknown fields of later versions are ignored.
func TestFieldsOfLaterVersionsAreIgnored(t *testing.T) {
	var heartbeat PeerHeartbeat
	later := map[int]any{1: "n1", 2: "ab", 5: -1, 99: "later"}
	if err := DecodePeer(EncodePeer(later), &heartbeat); err != nil || heartbeat.From != "n1" {
		t.Errorf("a heartbeat with an unknown field was decoded as %+v, error %v", heartbeat, err)
	}
}
