package coordination

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"claybarrow/internal/protocol"
)

// Priorities of writes: what users wait for, what starts wait for,
// completions, and what only helps a successor.
const (
	writeUser = iota
	writeStart
	writeDone
	writeLazy
	writeCounters
	writeKinds
)

// write is a key whose record is to be written. It is rendered when the
// transaction is made, so that what piled up goes out as one change.
type write struct {
	key    string
	kind   int
	render func() any // nil result: delete
	then   []func()
}

type txn struct {
	body   protocol.Txn
	writes []*write
	puts   []string
	dels   []string
	// uncertain: an earlier try had no answer and may have applied.
	uncertain bool
	made      time.Duration
	retryAt   time.Duration
	flying    bool
	readback  bool
}

// store writes the books: one transaction at a time, so that an uncertain one
// blocks its keys simply by being the only one. Each key's version is a
// condition, so a lost transaction that applies late can't undo a newer one.
type store struct {
	versions map[string]uint64
	pending  map[string]*write
	queues   [writeKinds][]*write
	current  *txn
	// took is how long transactions took until they were known to have applied.
	took *hdrhistogram.Histogram
}

// newStore makes the store of a new term. Times are in milliseconds, up to a
// minute.
func newStore() store {
	return store{versions: map[string]uint64{}, pending: map[string]*write{}, took: hdrhistogram.New(1, 60_000, 2)}
}

// mark asks for a key's record to be written.
func (r *term) mark(key string, kind int, render func() any, then func()) {
	w := r.pending[key]
	if w == nil {
		w = &write{key: key, kind: kind}
		r.pending[key] = w
		r.queues[kind] = append(r.queues[kind], w)
	} else if kind < w.kind {
		r.queues[w.kind] = slices.DeleteFunc(r.queues[w.kind], func(x *write) bool { return x == w })
		w.kind = kind
		r.queues[kind] = append(r.queues[kind], w)
	}
	w.render = render
	if then != nil {
		w.then = append(w.then, then)
	}
}

// unmark takes back a write that has not been put into a transaction.
func (r *term) unmark(key string) bool {
	w := r.pending[key]
	if w == nil {
		return false
	}
	delete(r.pending, key)
	r.queues[w.kind] = slices.DeleteFunc(r.queues[w.kind], func(x *write) bool { return x == w })
	return true
}

const txnBytes = 60 << 10 // of the protocol's 64 KiB

// compose makes the next transaction of what piled up, within the limits.
func (r *term) compose() *txn {
	c := r.c
	limits := c.cfg.Cluster.State
	t := &txn{made: c.now}
	t.body.If = []protocol.Condition{{Key: keyLeader, Version: r.version}}
	size := 512
	for kind := range r.queues {
		for len(r.queues[kind]) > 0 {
			// Lazy writes leave half of the burst to what somebody waits for.
			reserve := 0.0
			if kind >= writeLazy {
				reserve = c.changes.burst / 2
			}
			if len(t.writes) >= limits.TxnOps || !c.changes.has(c.now, float64(len(t.writes)+1)+reserve) {
				break
			}
			w := r.queues[kind][0]
			value := w.render()
			n := 2*len(w.key) + 160
			if value != nil {
				// The Go field names are longer than the stored ones: a bound.
				b, err := json.Marshal(value)
				if err != nil || len(b) > c.cfg.ValueBytes() {
					c.log.Error("a record is too large", "key", w.key, "bytes", len(b), "err", err)
					r.unmark(w.key)
					continue
				}
				n += len(b)
			}
			if size+n > txnBytes {
				break
			}
			size += n
			r.queues[kind] = r.queues[kind][1:]
			delete(r.pending, w.key)
			version := r.versions[w.key]
			if value == nil && version == 0 {
				// Never written: nothing to delete.
				for _, f := range w.then {
					f()
				}
				continue
			}
			t.writes = append(t.writes, w)
			t.body.If = append(t.body.If, protocol.Condition{Key: w.key, Version: version})
			if value == nil {
				t.dels = append(t.dels, w.key)
				t.body.Then = append(t.body.Then, protocol.Change{Delete: w.key})
			} else {
				t.puts = append(t.puts, w.key)
				t.body.Then = append(t.body.Then, protocol.Change{Put: w.key, Value: value})
			}
		}
	}
	if len(t.writes) == 0 {
		return nil
	}
	c.changes.take(c.now, float64(len(t.writes)))
	return t
}

// flush sends the next transaction, if none is under way.
func (r *term) flush() {
	c := r.c
	if !r.ready || !r.certain() {
		return
	}
	t := r.current
	if t == nil {
		if !c.requests.has(c.now, 1) {
			return
		}
		if t = r.compose(); t == nil {
			return
		}
		r.current = t
	}
	if t.flying || c.now < t.retryAt {
		return
	}
	t.flying = true
	timeout := c.cfg.LeaderTTL() / 2
	if t.readback {
		c.stateCall("GET", "/store/"+t.puts[0], nil, timeout, func(res Result) { r.onReadback(t, res) })
		return
	}
	c.stateCall("POST", "/multi", t.body, timeout, func(res Result) { r.onTxn(t, res) })
}

func (r *term) onTxn(t *txn, res Result) {
	c := r.c
	if c.term != r {
		return
	}
	t.flying = false
	var reply protocol.TxnReply
	switch res.Status {
	case 200:
		if protocol.Decode(res.Body, &reply) != nil {
			t.uncertain = true
			return
		}
		r.applied(t, reply.Revision)
	case 409:
		if protocol.Decode(res.Body, &reply) != nil {
			return
		}
		switch {
		case slices.Contains(reply.Failed, keyLeader):
			c.endTerm("another leader's key")
		case !t.uncertain:
			// Nobody else may write our keys: the books are not what we think.
			c.log.Error("versions differ", "keys", fmt.Sprint(reply.Failed))
			c.endTerm("the books differ from memory")
		case len(t.puts) == 0:
			r.applied(t, 0)
		default:
			t.readback = true
		}
	case 0:
		t.uncertain = true
		t.retryAt = c.now + c.pause()
	case 400:
		c.log.Error("a transaction was called malformed", "keys", fmt.Sprint(t.puts))
		r.current = nil
	default:
		// 503: not executed. 429: likewise, and we have been too fast.
		if res.Status == 429 {
			c.changes.level = min(c.changes.level, 0)
		} else {
			// Nobody is kept waiting for a service that is down.
			r.refuseWaiting()
		}
		t.retryAt = c.now + c.pause()
	}
}

// onReadback tells the revision of a transaction whose answer was lost: its
// keys changed, and only this leader can have changed them.
func (r *term) onReadback(t *txn, res Result) {
	if r.c.term != r {
		return
	}
	t.flying = false
	var it protocol.Item
	switch {
	case res.Status == 200 && protocol.Decode(res.Body, &it) == nil:
		r.applied(t, it.Version)
	case res.Status == 404:
		r.c.endTerm("the books differ from memory")
	default:
		t.retryAt = r.c.now + r.c.pause()
	}
}

func (r *term) applied(t *txn, revision uint64) {
	for _, k := range t.puts {
		r.versions[k] = revision
	}
	for _, k := range t.dels {
		delete(r.versions, k)
	}
	r.current = nil
	// A value out of range is clipped; the histogram only serves the log.
	_ = r.took.RecordValue(min(60_000, max(1, (r.c.now-t.made).Milliseconds())))
	for _, w := range t.writes {
		for _, f := range w.then {
			f()
		}
	}
}
