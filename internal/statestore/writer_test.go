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
	now       time.Duration
	calls     []sentRequest
	ended     string
	abandoned []string
	refused   int
}

type sentRequest struct {
	method, path string
	body         any
	then         func(int, []byte)
}

func (s *fakeHost) Now() time.Duration { return s.now }
func (s *fakeHost) Call(method, path string, body any, _ time.Duration, then func(int, []byte)) {
	s.calls = append(s.calls, sentRequest{method, path, body, then})
}
func (s *fakeHost) MayCall() bool        { return true }
func (s *fakeHost) Pause() time.Duration { return 100 * time.Millisecond }
func (s *fakeHost) End(why string)       { s.ended = why }
func (s *fakeHost) Ended() bool          { return s.ended != "" }
func (s *fakeHost) Unavailable()         { s.refused++ }
func (s *fakeHost) Rendered(string)      {}
func (s *fakeHost) Stored(string)        {}
func (s *fakeHost) Abandoned(key string) { s.abandoned = append(s.abandoned, key) }

// last is the request that left last.
func (s *fakeHost) last(t *testing.T) sentRequest {
	t.Helper()
	if len(s.calls) == 0 {
		t.Fatal("nothing left")
	}
	return s.calls[len(s.calls)-1]
}

const ourRecord = "ours"

func newTestWriter(changes int) (*fakeHost, *Writer) {
	s := &fakeHost{}
	tokens := ratelimit.New(1000, 1000)
	key := LeaderKey{Key: "c/leader", Version: 5, Entry: LeaderEntry{Record: ourRecord, Lease: 3},
		Equal: func(value []byte, record any) bool {
			var stored string
			return protocol.Decode(value, &stored) == nil && stored == record
		}}
	w := NewWriter(s, stateclient.New(s), slog.New(slog.DiscardHandler), Limits{Changes: changes, ValueBytes: 100, Timeout: time.Second}, &tokens, key)
	return s, w
}

func value(v any) func() any { return func() any { return v } }

func applied(revision uint64) []byte { return protocol.Encode(protocol.TxnReply{Revision: revision}) }

func failed(keys ...string) []byte { return protocol.Encode(protocol.TxnReply{Failed: keys}) }

func puts(c sentRequest) []string {
	var out []string
	for _, change := range c.body.(protocol.Txn).Then {
		out = append(out, change.Put+change.Delete)
	}
	return out
}

// The most urgent goes first, one transaction at a time, and a key that is asked for twice is written once.
func TestOrderOfWrites(t *testing.T) {
	s, w := newTestWriter(4)
	done := map[string]int{}
	mark := func(key string, priority Priority) {
		w.Mark(key, priority, value(key), func() { done[key]++ })
	}
	mark("k/lazy", Lazy)
	mark("m/batch", Start)
	mark("j/user", User)
	mark("m/replica", Replica)
	mark("m/batch", Replica) // more urgent now
	w.Flush()
	w.Flush()
	if len(s.calls) != 1 || !slices.Equal(puts(s.calls[0]), []string{"j/user", "m/replica", "m/batch"}) {
		t.Fatalf("%d requests, %v", len(s.calls), puts(s.calls[0]))
	}
	if condition := s.calls[0].body.(protocol.Txn).If[0]; condition.Key != "c/leader" || condition.Version != 5 {
		t.Errorf("the first condition is %+v", condition)
	}
	s.calls[0].then(200, applied(9))
	if done["m/batch"] != 2 || done["j/user"] != 1 || done["k/lazy"] != 0 || w.Version("m/batch") != 9 || w.Busy() {
		t.Errorf("%v", done)
	}
	w.Flush()
	if got := puts(s.last(t)); !slices.Equal(got, []string{"k/lazy"}) {
		t.Errorf("then %v", got)
	}
}

// What can be taken back has not left yet.
func TestUnmark(t *testing.T) {
	_, w := newTestWriter(4)
	w.Mark("j/1", User, value(1), nil)
	if !w.Unmark("j/1") || w.Unmark("j/1") || w.IsPending("j/1") {
		t.Error("a write that waits is not taken back")
	}
	w.Mark("j/1", User, value(1), nil)
	w.Flush()
	if w.Unmark("j/1") {
		t.Error("a write that has left is taken back")
	}
}

// An answer that is lost is found out by reading back, and the next transaction writes the leader key, so
// that no earlier try can apply any more.
func TestLostAnswer(t *testing.T) {
	s, w := newTestWriter(4)
	done := 0
	w.Mark("m/1", Start, value("a"), func() { done++ })
	w.Flush()
	s.last(t).then(0, nil)
	w.Flush()
	if len(s.calls) != 1 {
		t.Error("it is repeated without a pause")
	}
	s.now += time.Second
	w.Flush()
	if got := puts(s.last(t)); !slices.Equal(got, []string{"m/1", "c/leader"}) {
		t.Errorf("repeated as %v", got)
	}
	s.last(t).then(409, failed("m/1"))
	w.Flush()
	if c := s.last(t); c.method != "GET" || c.path != "/store/m/1" {
		t.Fatalf("%s %s", c.method, c.path)
	}
	s.last(t).then(200, protocol.Encode(protocol.Item{Key: "m/1", Version: 12}))
	if done != 1 || w.Version("m/1") != 12 || s.ended != "" {
		t.Errorf("done %d, version %d, ended %q", done, w.Version("m/1"), s.ended)
	}
}

// Another leader's key ends the term, unless an earlier try of our own has written it.
func TestConflictsOfTheLeaderKey(t *testing.T) {
	s, w := newTestWriter(4)
	w.Mark("m/1", Start, value("a"), nil)
	w.Flush()
	s.last(t).then(409, failed("c/leader"))
	if s.ended == "" {
		t.Error("it goes on under another leader's key")
	}
	for _, ours := range []bool{true, false} {
		s, w := newTestWriter(4)
		w.Mark("m/1", Start, value("a"), nil)
		w.Flush()
		s.last(t).then(0, nil)
		s.now += time.Second
		w.Flush()
		s.last(t).then(0, nil) // also the one that writes the leader key
		s.now += time.Second
		w.Flush()
		s.last(t).then(409, failed("c/leader"))
		w.Flush()
		record := "another's"
		if ours {
			record = ourRecord
		}
		s.last(t).then(200, protocol.Encode(map[string]any{"k": "c/leader", "data": record, "stamp": 20}))
		if (s.ended == "") != ours || ours && w.Version("m/1") != 20 {
			t.Errorf("ours %v: ended %q, version %d", ours, s.ended, w.Version("m/1"))
		}
	}
}

// A version that differs without an earlier try means that the ledger is not what we think.
func TestConflictOfARecord(t *testing.T) {
	s, w := newTestWriter(4)
	w.Mark("m/1", Start, value("a"), nil)
	w.Flush()
	s.last(t).then(409, failed("m/1"))
	if !strings.Contains(s.ended, "differs") {
		t.Errorf("ended %q", s.ended)
	}
}

// What is called malformed goes out in halves, until the record at fault is found and given up.
func TestMalformed(t *testing.T) {
	s, w := newTestWriter(20)
	for i := range 8 {
		w.Mark(fmt.Sprintf("m/%d", i), Start, value("a"), nil)
	}
	revision := uint64(10)
	for range 40 {
		w.Flush()
		if !w.Busy() {
			break
		}
		c := s.last(t)
		if slices.Contains(puts(c), "m/5") {
			c.then(400, nil)
			continue
		}
		revision++
		c.then(200, applied(revision))
	}
	if !slices.Equal(s.abandoned, []string{"m/5"}) {
		t.Errorf("given up: %v", s.abandoned)
	}
	for i := range 8 {
		if (w.Version(fmt.Sprintf("m/%d", i)) != 0) != (i != 5) {
			t.Errorf("m/%d has version %d", i, w.Version(fmt.Sprintf("m/%d", i)))
		}
	}
}

// Limits are met exactly: a value of as many bytes as may be, one more, and one change more.
func TestLimits(t *testing.T) {
	s, w := newTestWriter(3)
	w.Mark("m/fits", Start, value(strings.Repeat("x", 98)), nil) // and two quotes
	w.Mark("m/large", Start, value(strings.Repeat("x", 99)), nil)
	w.Mark("m/second", Start, value(1), nil)
	w.Mark("m/third", Start, value(1), nil)
	w.Flush()
	if got := puts(s.last(t)); !slices.Equal(got, []string{"m/fits", "m/second"}) || !slices.Equal(s.abandoned, []string{"m/large"}) {
		t.Errorf("%v leave, %v are given up", got, s.abandoned)
	}
	s.last(t).then(429, nil)
	w.Flush()
	if len(s.calls) != 1 {
		t.Error("it is repeated without a pause")
	}
	s.now += time.Second
	w.Flush()
	s.last(t).then(503, nil)
	if s.refused != 1 {
		t.Error("users are kept waiting for a service that is down")
	}
}

// What was never written needs no deletion.
func TestDeletionOfNothing(t *testing.T) {
	s, w := newTestWriter(4)
	done := 0
	w.Mark("d/1", Lazy, value(nil), func() { done++ })
	w.Flush()
	if len(s.calls) != 0 || done != 1 {
		t.Errorf("%d requests, done %d", len(s.calls), done)
	}
	w.Loaded("d/2", 7)
	w.Mark("d/2", Lazy, value(nil), func() { done++ })
	w.Flush()
	s.last(t).then(200, applied(9))
	if done != 2 || w.Version("d/2") != 0 {
		t.Errorf("done %d, version %d", done, w.Version("d/2"))
	}
}
