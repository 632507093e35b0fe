package coordination

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
)

// Priorities of writes: what users wait for, what starts of replicas and then of batches wait
// for, completions, and what only helps a successor. Starts of an array of thousands take
// the store's writes of many seconds: replicas that waited behind them missed aims of a second.
const (
	writeUser = iota
	writeReplica
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
	// fencing: it also writes the leader key.
	fencing  bool
	made     time.Duration
	retryAt  time.Duration
	flying   bool
	readback string // the key to be read for what became of it
}

// store writes the ledger: one transaction at a time, so that an uncertain one
// blocks its keys simply by being the only one. Each key's version is a
// condition, so a lost transaction that applies late can't undo a newer one.
// Absent keys all have the version 0, though: one that creates keys could apply
// once more after they were deleted again. So after a try without an answer the
// next transaction writes the leader key too, whose version is a condition of
// all: from then on no earlier one can apply.
type store struct {
	versions map[string]uint64
	pending  map[string]*write
	queues   [writeKinds][]*write
	current  *txn
	// unanswered: a transaction without an answer may still be on its way.
	unanswered bool
	// most is how many writes a transaction may have: fewer after one was called
	// malformed, until what is at fault has been found.
	most int
	// took is how long transactions took until they were known to have applied.
	took *hdrhistogram.Histogram
}

// newStore makes the store of a new term. Times are in milliseconds, up to a
// minute.
func newStore() store {
	return store{versions: map[string]uint64{}, pending: map[string]*write{}, took: hdrhistogram.New(1, 60_000, 2), most: 1 << 20}
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
	// One change is left to the leader key.
	most := min(c.cfg.Cluster.State.Both().TxnOps-1, r.most)
	t := &txn{made: c.now}
	t.body.If = []protocol.Condition{{Key: keyLeader, Version: r.version}}
	size := 1024
	for kind := range r.queues {
		for len(r.queues[kind]) > 0 {
			// Lazy writes leave half of the burst to what somebody waits for.
			reserve := 0.0
			if kind >= writeLazy {
				reserve = c.changes.burst / 2
			}
			if len(t.writes) >= most || !c.changes.has(c.now, float64(len(t.writes)+1)+reserve) {
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
					r.abandon(w)
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

// fence has the transaction write the leader key, unless it does so already.
func (r *term) fence(t *txn) {
	if !r.unanswered || t.fencing {
		return
	}
	t.fencing = true
	t.body.Then = append(t.body.Then, protocol.Change{Put: keyLeader, Value: r.leaderRecord(), Lease: r.lease})
	r.c.changes.take(r.c.now, 1)
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
	if t.readback != "" {
		c.stateCall("GET", "/store/"+t.readback, nil, timeout, func(res Result) { r.onReadback(t, res) })
		return
	}
	r.fence(t)
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
			r.lost(t)
			return
		}
		if t.fencing {
			r.version, r.unanswered = reply.Revision, false
		}
		r.applied(t, reply.Revision)
	case 409:
		if protocol.Decode(res.Body, &reply) != nil {
			r.lost(t)
			return
		}
		switch {
		case slices.Contains(reply.Failed, keyLeader):
			if !t.fencing || !t.uncertain {
				c.endTerm("another leader's key")
				return
			}
			t.readback = keyLeader // an earlier try of ours may have written it
		case !t.uncertain:
			// Nobody else may write our keys: the ledger is not what we think.
			c.log.Error("versions differ", "keys", fmt.Sprint(reply.Failed))
			c.endTerm("the ledger differs from memory")
		case len(t.puts) == 0:
			r.applied(t, 0)
		default:
			t.readback = t.puts[0]
		}
	case 0:
		r.lost(t)
	case 400:
		if t.uncertain {
			// An earlier try may have applied all the same.
			t.readback = slices.Concat(t.puts, t.dels)[0]
			return
		}
		r.malformed(t)
	default:
		// 503: not executed. 429: likewise, and we have been too fast.
		if res.Status == 429 {
			c.changes.level = min(c.changes.level, 0)
		} else {
			// Nobody is kept waiting for a service that is down.
			r.refusePending()
		}
		t.retryAt = c.now + c.pause()
	}
}

// lost notes that a try had no answer: it may have applied, or do so later.
func (r *term) lost(t *txn) {
	t.uncertain, r.unanswered = true, true
	t.retryAt = r.c.now + r.c.pause()
}

// malformed takes back a transaction that the state service calls malformed: a
// lease that has ended, or a limit that is lower than the settings say. What can
// be written goes out in smaller ones; only a single record that is refused by
// itself is given up, and its users are told to come back.
func (r *term) malformed(t *txn) {
	c := r.c
	r.current = nil
	if t.fencing && len(t.writes) == 1 {
		c.endTerm("the leader key can't be written")
		return
	}
	if len(t.writes) > 1 {
		c.log.Error("a transaction was called malformed", "writes", len(t.writes))
		r.most = max(1, len(t.writes)/2)
		r.putBack(t)
		return
	}
	w := t.writes[0]
	c.log.Error("a record was called malformed", "key", w.key)
	r.most = 1 << 20
	r.abandon(w)
}

// putBack queues a transaction's writes again, first in their queues. What was
// asked for anew meanwhile keeps the newer request.
func (r *term) putBack(t *txn) {
	for _, w := range slices.Backward(t.writes) {
		if newer := r.pending[w.key]; newer != nil {
			newer.then = append(w.then, newer.then...)
			continue
		}
		r.pending[w.key] = w
		r.queues[w.kind] = slices.Insert(r.queues[w.kind], 0, w)
	}
}

// abandon gives up a write that the state service takes in no form: what waits
// for it must not wait for ever.
func (r *term) abandon(w *write) {
	if id, isMachine := strings.CutPrefix(w.key, ledger.MachinePrefix); isMachine && r.Machines[id] != nil {
		m := r.Machines[id]
		m.AsideUntil = r.c.now + r.c.cfg.Lease()
		for _, a := range m.Sorted() {
			if !a.Durable {
				r.gone(a, notRecorded)
			}
		}
		// A record that was stored under a higher limit may not fit any more. The mark
		// only keeps a later leader from using the machine until the deletion comes,
		// which costs its tasks as a machine's end does; without the deletion an
		// unreachable machine would be waited for without end.
		m.Returned = m.Returned || m.Returning
		return
	}
	uid, isJob := strings.CutPrefix(w.key, ledger.JobPrefix)
	if !isJob || r.proposals[uid] == nil {
		return
	}
	for _, from := range r.proposals[uid].wants {
		if r.waiting(from) {
			r.c.refuse(from)
		}
	}
	delete(r.proposals, uid)
	r.RemoveJob(uid)
}

// onReadback tells what became of a transaction whose answer was lost: a key of
// it has another version than before, and only this leader can have changed it.
func (r *term) onReadback(t *txn, res Result) {
	c := r.c
	if c.term != r {
		return
	}
	t.flying = false
	var it protocol.Item // absent: version 0
	key := t.readback
	deletes := slices.Contains(t.dels, key)
	switch {
	case res.Status == 200 && protocol.Decode(res.Body, &it) == nil:
	case res.Status == 404 && (key == keyLeader || r.versions[key] != 0 && !deletes):
		c.endTerm("the ledger differs from memory")
		return
	case res.Status == 404:
	default:
		t.retryAt = c.now + c.pause()
		return
	}
	t.readback = ""
	if key == keyLeader {
		var rec leaderRecord
		if protocol.Decode(it.Value, &rec) != nil || rec != r.leaderRecord() {
			c.endTerm("another leader's key")
			return
		}
		// A try of ours wrote the leader key, and all else with it.
		r.version, r.unanswered = it.Version, false
		r.applied(t, it.Version)
		return
	}
	if it.Version == r.versions[key] {
		r.malformed(t) // it did not apply, and the last try was refused
		return
	}
	r.applied(t, it.Version)
}

func (r *term) applied(t *txn, revision uint64) {
	for _, k := range t.puts {
		r.versions[k] = revision
	}
	for _, k := range t.dels {
		delete(r.versions, k)
	}
	r.current = nil
	r.most = min(1<<20, 2*r.most)
	// A value out of range is clipped; the histogram only serves the log.
	_ = r.took.RecordValue(min(60_000, max(1, (r.c.now-t.made).Milliseconds())))
	for _, w := range t.writes {
		for _, f := range w.then {
			f()
		}
	}
}
