package statestore

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/protocol"
	"claybarrow/internal/ratelimit"
	"claybarrow/internal/stateclient"
)

// fakeHost is a leader that records the requests to the state service, so that the test can answer them.
type fakeHost struct {
	now         time.Duration
	sent        []sentRequest
	ended       EndReason
	abandoned   []string
	unavailable int
}

type sentRequest struct {
	method, path string
	body         any
	answer       func(int, []byte)
}

func (h *fakeHost) Now() time.Duration { return h.now }
func (h *fakeHost) Call(method, path string, body any, _ time.Duration, then func(int, []byte)) {
	h.sent = append(h.sent, sentRequest{method, path, body, then})
}
func (h *fakeHost) MayRequest() bool               { return true }
func (h *fakeHost) RetryPause() time.Duration      { return 100 * time.Millisecond }
func (h *fakeHost) EndLeadership(reason EndReason) { h.ended = reason }
func (h *fakeHost) HasEnded() bool                 { return h.ended != "" }
func (h *fakeHost) OnUnavailable()                 { h.unavailable++ }
func (h *fakeHost) OnRendered(string)              {}
func (h *fakeHost) OnStored(string)                {}
func (h *fakeHost) OnAbandoned(key string)         { h.abandoned = append(h.abandoned, key) }

// lastRequest returns the request that was sent last.
func (h *fakeHost) lastRequest(t *testing.T) sentRequest {
	t.Helper()
	if len(h.sent) == 0 {
		t.Fatal("no request was sent")
	}
	return h.sent[len(h.sent)-1]
}

const ourRecord = "ours"

func newTestWriter(changes int) (*fakeHost, *Writer) {
	host := &fakeHost{}
	tokens := ratelimit.New(1000, 1000)
	key := LeaderKey{Key: "c/leader", Version: 5, Entry: testEntry(ourRecord, 3)}
	w := NewWriter(host, stateclient.New(host), slog.New(slog.DiscardHandler), Limits{MaxChanges: changes, MaxValueBytes: 100, RequestTimeout: time.Second}, &tokens, key)
	return host, w
}

// testEntry returns a leader entry whose record is a string.
func testEntry(record string, lease uint64) LeaderEntry {
	return LeaderEntry{Record: record, Lease: lease, Matches: func(value []byte) bool {
		var stored string
		return protocol.Decode(value, &stored) == nil && stored == record
	}}
}

func renderValue(v any) func() any { return func() any { return v } }

func appliedReply(revision uint64) []byte {
	return protocol.Encode(protocol.TransactionReply{Revision: revision})
}

func conflictReply(keys ...string) []byte {
	return protocol.Encode(protocol.TransactionReply{Failed: keys})
}

func changedKeys(c sentRequest) []string {
	var keys []string
	for _, change := range c.body.(protocol.Transaction).Then {
		keys = append(keys, change.Put+change.Delete)
	}
	return keys
}

// The most urgent writes are sent first, in one transaction at a time. A key that is queued twice is written once.
func TestOrderOfWrites(t *testing.T) {
	host, w := newTestWriter(4)
	done := map[string]int{}
	queue := func(key string, priority Priority) {
		w.QueueWrite(key, priority, renderValue(key), func() { done[key]++ })
	}
	queue("k/lazy", PriorityBackground)
	queue("m/batch", PriorityBatch)
	queue("j/user", PriorityUser)
	queue("m/replica", PriorityReplica)
	queue("m/batch", PriorityReplica) // raises the priority of the queued write
	w.Flush()
	w.Flush()
	if len(host.sent) != 1 || !slices.Equal(changedKeys(host.sent[0]), []string{"j/user", "m/replica", "m/batch"}) {
		t.Fatalf("%d requests, the first one writes %v", len(host.sent), changedKeys(host.sent[0]))
	}
	if condition := host.sent[0].body.(protocol.Transaction).If[0]; condition.Key != "c/leader" || condition.Version != 5 {
		t.Errorf("the first condition is %+v", condition)
	}
	host.sent[0].answer(200, appliedReply(9))
	if done["m/batch"] != 2 || done["j/user"] != 1 || done["k/lazy"] != 0 || w.Version("m/batch") != 9 || w.HasTransactionInFlight() {
		t.Errorf("wrong version, transaction still in flight, or wrong number of callbacks: %v", done)
	}
	w.Flush()
	if got := changedKeys(host.lastRequest(t)); !slices.Equal(got, []string{"k/lazy"}) {
		t.Errorf("the next transaction writes %v, want k/lazy", got)
	}
}

// A queued write can be cancelled once. A write that was sent can't be cancelled.
func TestCancelWrite(t *testing.T) {
	_, w := newTestWriter(4)
	w.QueueWrite("j/1", PriorityUser, renderValue(1), nil)
	if !w.CancelWrite("j/1") || w.CancelWrite("j/1") || w.IsPending("j/1") {
		t.Error("a queued write is not cancelled, or is cancelled twice")
	}
	w.QueueWrite("j/1", PriorityUser, renderValue(1), nil)
	w.Flush()
	if w.CancelWrite("j/1") {
		t.Error("a write that was sent is cancelled")
	}
}

// After a lost answer the transaction is repeated and also writes the leader key, so that no earlier attempt can
// apply any more. If the repeated transaction has a conflict, the outcome is determined by reading a key back.
func TestLostAnswer(t *testing.T) {
	host, w := newTestWriter(4)
	done := 0
	w.QueueWrite("m/1", PriorityBatch, renderValue("a"), func() { done++ })
	w.Flush()
	host.lastRequest(t).answer(0, nil)
	w.Flush()
	if len(host.sent) != 1 {
		t.Error("the transaction is repeated without a delay")
	}
	host.now += time.Second
	w.Flush()
	if got := changedKeys(host.lastRequest(t)); !slices.Equal(got, []string{"m/1", "c/leader"}) {
		t.Errorf("the repeated transaction writes %v, want m/1 and c/leader", got)
	}
	host.lastRequest(t).answer(409, conflictReply("m/1"))
	w.Flush()
	if c := host.lastRequest(t); c.method != "GET" || c.path != "/store/m/1" {
		t.Fatalf("the request is %s %s, want GET /store/m/1", c.method, c.path)
	}
	host.lastRequest(t).answer(200, protocol.Encode(protocol.KeyValue{Key: "m/1", Version: 12}))
	if done != 1 || w.Version("m/1") != 12 || host.ended != "" {
		t.Errorf("%d callbacks, version %d, leadership ended by %q", done, w.Version("m/1"), host.ended)
	}
}

// A conflict on the leader key ends the leadership, unless an earlier attempt of this leader wrote the key.
func TestConflictsOfTheLeaderKey(t *testing.T) {
	host, w := newTestWriter(4)
	w.QueueWrite("m/1", PriorityBatch, renderValue("a"), nil)
	w.Flush()
	host.lastRequest(t).answer(409, conflictReply("c/leader"))
	if host.ended != EndOtherLeader {
		t.Errorf("leadership ended by %q, want the reason of another leader", host.ended)
	}
	for _, c := range []struct {
		name, record string
		ended        EndReason
		version      uint64
	}{
		{"an earlier attempt of this leader", ourRecord, "", 20},
		{"another leader", "another's", EndOtherLeader, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			host, w := newTestWriter(4)
			w.QueueWrite("m/1", PriorityBatch, renderValue("a"), nil)
			w.Flush()
			host.lastRequest(t).answer(0, nil)
			host.now += time.Second
			w.Flush()
			host.lastRequest(t).answer(0, nil) // the repeated transaction, which writes the leader key, has no answer either
			host.now += time.Second
			w.Flush()
			host.lastRequest(t).answer(409, conflictReply("c/leader"))
			w.Flush()
			host.lastRequest(t).answer(200, protocol.Encode(map[string]any{"k": "c/leader", "data": c.record, "stamp": 20}))
			if host.ended != c.ended || w.Version("m/1") != c.version {
				t.Errorf("leadership ended by %q, version %d", host.ended, w.Version("m/1"))
			}
		})
	}
}

// A conflict on a record ends the leadership if no earlier attempt can have written the record: the stored records
// then differ from this leader's state in memory.
func TestConflictOfARecord(t *testing.T) {
	host, w := newTestWriter(4)
	w.QueueWrite("m/1", PriorityBatch, renderValue("a"), nil)
	w.Flush()
	host.lastRequest(t).answer(409, conflictReply("m/1"))
	if host.ended != EndRecordsDiffer {
		t.Errorf("leadership ended by %q, want the reason of differing records", host.ended)
	}
}

// The writes of a transaction that is rejected as malformed are sent in smaller and smaller transactions until the
// malformed record is isolated and abandoned. All other records are written.
func TestMalformedRecord(t *testing.T) {
	host, w := newTestWriter(20)
	for i := range 8 {
		w.QueueWrite(fmt.Sprintf("m/%d", i), PriorityBatch, renderValue("a"), nil)
	}
	revision := uint64(10)
	for range 40 {
		w.Flush()
		if !w.HasTransactionInFlight() {
			break
		}
		c := host.lastRequest(t)
		if slices.Contains(changedKeys(c), "m/5") {
			c.answer(400, nil)
			continue
		}
		revision++
		c.answer(200, appliedReply(revision))
	}
	if !slices.Equal(host.abandoned, []string{"m/5"}) {
		t.Errorf("abandoned records %v, want m/5", host.abandoned)
	}
	for i := range 8 {
		if (w.Version(fmt.Sprintf("m/%d", i)) != 0) != (i != 5) {
			t.Errorf("m/%d has version %d", i, w.Version(fmt.Sprintf("m/%d", i)))
		}
	}
}

// Each failed request is repeated after a delay. The repeated transaction fences off the earlier attempt only if the
// answer left the outcome unknown.
func TestRetries(t *testing.T) {
	undecodable := []byte{0xc1}
	for _, c := range []struct {
		name        string
		status      int
		body        []byte
		fence       bool
		unavailable int
	}{
		{"no answer", 0, nil, true, 0},
		{"success that can't be read", 200, undecodable, true, 0},
		{"conflict that can't be read", 409, undecodable, true, 0},
		{"rate limited", 429, nil, false, 0},
		{"unavailable", 503, nil, false, 1},
		{"internal error", 500, nil, false, 1},
		{"a status without a meaning", 404, nil, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			host, w := newTestWriter(4)
			w.QueueWrite("m/1", PriorityBatch, renderValue("a"), nil)
			w.Flush()
			host.lastRequest(t).answer(c.status, c.body)
			w.Flush()
			if len(host.sent) != 1 || host.unavailable != c.unavailable || host.ended != "" {
				t.Fatalf("%d requests before the delay has passed, OnUnavailable called %d times, leadership ended by %q", len(host.sent), host.unavailable, host.ended)
			}
			host.now += host.RetryPause()
			w.Flush()
			want := []string{"m/1"}
			if c.fence {
				want = append(want, "c/leader")
			}
			if got := changedKeys(host.lastRequest(t)); len(host.sent) != 2 || !slices.Equal(got, want) {
				t.Errorf("%d requests, the last one writes %v, want %v", len(host.sent), got, want)
			}
		})
	}
}

// The limits are exact: a value of the maximum size is written, a value of one byte more is abandoned, and a write
// beyond the maximum number of changes waits for the next transaction.
func TestLimits(t *testing.T) {
	host, w := newTestWriter(3)
	w.QueueWrite("m/fits", PriorityBatch, renderValue(strings.Repeat("x", 98)), nil) // 100 bytes as JSON, with the quotes
	w.QueueWrite("m/large", PriorityBatch, renderValue(strings.Repeat("x", 99)), nil)
	w.QueueWrite("m/second", PriorityBatch, renderValue(1), nil)
	w.QueueWrite("m/third", PriorityBatch, renderValue(1), nil)
	w.Flush()
	if got := changedKeys(host.lastRequest(t)); !slices.Equal(got, []string{"m/fits", "m/second"}) || !slices.Equal(host.abandoned, []string{"m/large"}) {
		t.Errorf("the transaction writes %v, abandoned records %v", got, host.abandoned)
	}
	host.lastRequest(t).answer(429, nil)
	w.Flush()
	if len(host.sent) != 1 {
		t.Error("the transaction is repeated without a delay")
	}
	host.now += time.Second
	w.Flush()
	host.lastRequest(t).answer(503, nil)
	if host.unavailable != 1 {
		t.Error("OnUnavailable was not called exactly once")
	}
}

// The deletion of a key that does not exist is complete without a request.
func TestDeletionOfAbsentKey(t *testing.T) {
	host, w := newTestWriter(4)
	done := 0
	w.QueueWrite("d/1", PriorityBackground, renderValue(nil), func() { done++ })
	w.Flush()
	if len(host.sent) != 0 || done != 1 {
		t.Errorf("%d requests, %d callbacks", len(host.sent), done)
	}
	w.SetVersion("d/2", 7)
	w.QueueWrite("d/2", PriorityBackground, renderValue(nil), func() { done++ })
	w.Flush()
	host.lastRequest(t).answer(200, appliedReply(9))
	if done != 2 || w.Version("d/2") != 0 {
		t.Errorf("%d callbacks, version %d", done, w.Version("d/2"))
	}
}
