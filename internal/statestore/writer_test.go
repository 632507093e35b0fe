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

// fakeHost is a leader whose state service answers as a test says.
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
func (h *fakeHost) MayRequest() bool            { return true }
func (h *fakeHost) RetryPause() time.Duration   { return 100 * time.Millisecond }
func (h *fakeHost) EndLeadership(why EndReason) { h.ended = why }
func (h *fakeHost) HasEnded() bool              { return h.ended != "" }
func (h *fakeHost) OnUnavailable()              { h.unavailable++ }
func (h *fakeHost) OnRendered(string)           {}
func (h *fakeHost) OnStored(string)             {}
func (h *fakeHost) OnAbandoned(key string)      { h.abandoned = append(h.abandoned, key) }

// last is the request that left last.
func (h *fakeHost) last(t *testing.T) sentRequest {
	t.Helper()
	if len(h.sent) == 0 {
		t.Fatal("nothing left")
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

// testEntry is a leader key whose record is a string.
func testEntry(record string, lease uint64) LeaderEntry {
	return LeaderEntry{Record: record, Lease: lease, Matches: func(value []byte) bool {
		var stored string
		return protocol.Decode(value, &stored) == nil && stored == record
	}}
}

func value(v any) func() any { return func() any { return v } }

func applied(revision uint64) []byte {
	return protocol.Encode(protocol.TransactionReply{Revision: revision})
}

func failed(keys ...string) []byte { return protocol.Encode(protocol.TransactionReply{Failed: keys}) }

func puts(c sentRequest) []string {
	var out []string
	for _, change := range c.body.(protocol.Transaction).Then {
		out = append(out, change.Put+change.Delete)
	}
	return out
}

// The most urgent goes first, one transaction at a time, and a key that is asked for twice is written once.
func TestOrderOfWrites(t *testing.T) {
	host, w := newTestWriter(4)
	done := map[string]int{}
	mark := func(key string, priority Priority) {
		w.QueueWrite(key, priority, value(key), func() { done[key]++ })
	}
	mark("k/lazy", PriorityBackground)
	mark("m/batch", PriorityBatch)
	mark("j/user", PriorityUser)
	mark("m/replica", PriorityReplica)
	mark("m/batch", PriorityReplica) // more urgent now
	w.Flush()
	w.Flush()
	if len(host.sent) != 1 || !slices.Equal(puts(host.sent[0]), []string{"j/user", "m/replica", "m/batch"}) {
		t.Fatalf("%d requests, %v", len(host.sent), puts(host.sent[0]))
	}
	if condition := host.sent[0].body.(protocol.Transaction).If[0]; condition.Key != "c/leader" || condition.Version != 5 {
		t.Errorf("the first condition is %+v", condition)
	}
	host.sent[0].answer(200, applied(9))
	if done["m/batch"] != 2 || done["j/user"] != 1 || done["k/lazy"] != 0 || w.Version("m/batch") != 9 || w.Busy() {
		t.Errorf("%v", done)
	}
	w.Flush()
	if got := puts(host.last(t)); !slices.Equal(got, []string{"k/lazy"}) {
		t.Errorf("then %v", got)
	}
}

// What can be taken back has not left yet.
func TestUnmark(t *testing.T) {
	_, w := newTestWriter(4)
	w.QueueWrite("j/1", PriorityUser, value(1), nil)
	if !w.CancelWrite("j/1") || w.CancelWrite("j/1") || w.IsPending("j/1") {
		t.Error("a write that waits is not taken back")
	}
	w.QueueWrite("j/1", PriorityUser, value(1), nil)
	w.Flush()
	if w.CancelWrite("j/1") {
		t.Error("a write that has left is taken back")
	}
}

// An answer that is lost is found out by reading back, and the next transaction writes the leader key, so
// that no earlier try can apply any more.
func TestLostAnswer(t *testing.T) {
	host, w := newTestWriter(4)
	done := 0
	w.QueueWrite("m/1", PriorityBatch, value("a"), func() { done++ })
	w.Flush()
	host.last(t).answer(0, nil)
	w.Flush()
	if len(host.sent) != 1 {
		t.Error("it is repeated without a pause")
	}
	host.now += time.Second
	w.Flush()
	if got := puts(host.last(t)); !slices.Equal(got, []string{"m/1", "c/leader"}) {
		t.Errorf("repeated as %v", got)
	}
	host.last(t).answer(409, failed("m/1"))
	w.Flush()
	if c := host.last(t); c.method != "GET" || c.path != "/store/m/1" {
		t.Fatalf("%s %s", c.method, c.path)
	}
	host.last(t).answer(200, protocol.Encode(protocol.KeyValue{Key: "m/1", Version: 12}))
	if done != 1 || w.Version("m/1") != 12 || host.ended != "" {
		t.Errorf("done %d, version %d, ended %q", done, w.Version("m/1"), host.ended)
	}
}

// Another leader's key ends the term, unless an earlier try of our own has written it.
func TestConflictsOfTheLeaderKey(t *testing.T) {
	host, w := newTestWriter(4)
	w.QueueWrite("m/1", PriorityBatch, value("a"), nil)
	w.Flush()
	host.last(t).answer(409, failed("c/leader"))
	if host.ended != EndOtherLeader {
		t.Errorf("ended %q under another leader's key", host.ended)
	}
	for _, c := range []struct {
		name, record string
		ended        EndReason
		version      uint64
	}{
		{"an earlier try of our own", ourRecord, "", 20},
		{"another leader", "another's", EndOtherLeader, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			host, w := newTestWriter(4)
			w.QueueWrite("m/1", PriorityBatch, value("a"), nil)
			w.Flush()
			host.last(t).answer(0, nil)
			host.now += time.Second
			w.Flush()
			host.last(t).answer(0, nil) // also the one that writes the leader key
			host.now += time.Second
			w.Flush()
			host.last(t).answer(409, failed("c/leader"))
			w.Flush()
			host.last(t).answer(200, protocol.Encode(map[string]any{"k": "c/leader", "data": c.record, "stamp": 20}))
			if host.ended != c.ended || w.Version("m/1") != c.version {
				t.Errorf("ended %q, version %d", host.ended, w.Version("m/1"))
			}
		})
	}
}

// A version that differs without an earlier try means that the stored records are not what this leader assumes.
func TestConflictOfARecord(t *testing.T) {
	host, w := newTestWriter(4)
	w.QueueWrite("m/1", PriorityBatch, value("a"), nil)
	w.Flush()
	host.last(t).answer(409, failed("m/1"))
	if host.ended != EndRecordsDiffer {
		t.Errorf("ended %q", host.ended)
	}
}

// What is called malformed goes out in halves, until the record at fault is found and given up.
func TestMalformed(t *testing.T) {
	host, w := newTestWriter(20)
	for i := range 8 {
		w.QueueWrite(fmt.Sprintf("m/%d", i), PriorityBatch, value("a"), nil)
	}
	revision := uint64(10)
	for range 40 {
		w.Flush()
		if !w.Busy() {
			break
		}
		c := host.last(t)
		if slices.Contains(puts(c), "m/5") {
			c.answer(400, nil)
			continue
		}
		revision++
		c.answer(200, applied(revision))
	}
	if !slices.Equal(host.abandoned, []string{"m/5"}) {
		t.Errorf("given up: %v", host.abandoned)
	}
	for i := range 8 {
		if (w.Version(fmt.Sprintf("m/%d", i)) != 0) != (i != 5) {
			t.Errorf("m/%d has version %d", i, w.Version(fmt.Sprintf("m/%d", i)))
		}
	}
}

// What an answer means: only those that leave the outcome unknown have the repeat fence off earlier tries.
func TestRepeats(t *testing.T) {
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
			w.QueueWrite("m/1", PriorityBatch, value("a"), nil)
			w.Flush()
			host.last(t).answer(c.status, c.body)
			w.Flush()
			if len(host.sent) != 1 || host.unavailable != c.unavailable || host.ended != "" {
				t.Fatalf("%d requests before the pause, told %d times of an outage, ended %q", len(host.sent), host.unavailable, host.ended)
			}
			host.now += host.RetryPause()
			w.Flush()
			want := []string{"m/1"}
			if c.fence {
				want = append(want, "c/leader")
			}
			if got := puts(host.last(t)); len(host.sent) != 2 || !slices.Equal(got, want) {
				t.Errorf("%d requests, repeated as %v, want %v", len(host.sent), got, want)
			}
		})
	}
}

// Limits are met exactly: a value of as many bytes as may be, one more, and one change more.
func TestLimits(t *testing.T) {
	host, w := newTestWriter(3)
	w.QueueWrite("m/fits", PriorityBatch, value(strings.Repeat("x", 98)), nil) // and two quotes
	w.QueueWrite("m/large", PriorityBatch, value(strings.Repeat("x", 99)), nil)
	w.QueueWrite("m/second", PriorityBatch, value(1), nil)
	w.QueueWrite("m/third", PriorityBatch, value(1), nil)
	w.Flush()
	if got := puts(host.last(t)); !slices.Equal(got, []string{"m/fits", "m/second"}) || !slices.Equal(host.abandoned, []string{"m/large"}) {
		t.Errorf("%v leave, %v are given up", got, host.abandoned)
	}
	host.last(t).answer(429, nil)
	w.Flush()
	if len(host.sent) != 1 {
		t.Error("it is repeated without a pause")
	}
	host.now += time.Second
	w.Flush()
	host.last(t).answer(503, nil)
	if host.unavailable != 1 {
		t.Error("users are kept waiting for a service that is down")
	}
}

// What was never written needs no deletion.
func TestDeletionOfNothing(t *testing.T) {
	host, w := newTestWriter(4)
	done := 0
	w.QueueWrite("d/1", PriorityBackground, value(nil), func() { done++ })
	w.Flush()
	if len(host.sent) != 0 || done != 1 {
		t.Errorf("%d requests, done %d", len(host.sent), done)
	}
	w.SetVersion("d/2", 7)
	w.QueueWrite("d/2", PriorityBackground, value(nil), func() { done++ })
	w.Flush()
	host.last(t).answer(200, applied(9))
	if done != 2 || w.Version("d/2") != 0 {
		t.Errorf("done %d, version %d", done, w.Version("d/2"))
	}
}
