package coordination

import (
	"fmt"
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
	Lease       uint64 `msgpack:"t"`
	// Form is that of the stored records for which the gate is open, 0: it is closed. Closing says
	// that it is being closed.
	Form    uint64 `msgpack:"f,omitempty"`
	Closing bool   `msgpack:"c,omitempty"`
}

// leaseRecord is the value of the key that hangs on the leader's lease while the gate is open.
type leaseRecord struct {
	Token uint64 `msgpack:"n"`
}

func (rec *leaderRecord) form() featuregate.Form { return featuregate.Form(rec.Form) }

// gate is the feature gate's state that the record says.
func (rec *leaderRecord) gate() featuregate.State {
	switch {
	case rec.Form == 0:
		return featuregate.Closed
	case rec.Closing:
		return featuregate.Closing
	}
	return featuregate.Open
}

// unreadableForm stands for the form of a leader record that can't be read.
const unreadableForm = math.MaxUint64

// view is what this controller knows of the leadership keys.
type view struct {
	known          bool
	revision       uint64
	counter        uint64
	counterVersion uint64
	// record is the leader key's, nil: there is none. leased: the key of the lease is there.
	record        *leaderRecord
	recordVersion uint64
	leased        bool
	leader        *leaderRecord // who leads
	leaderless    time.Duration // since when no leader is known
	busy          bool
	next          time.Duration
	ended         uint64 // lease of an earlier incarnation that we ended
	unanswered    bool   // the last list had no answer, which has been logged
	logged        uint64 // token of the leader that was logged last
	gen           int    // answers to calls of an older generation are dropped
	// barred: a leader record of a form that this version does not read has been logged.
	barred bool
}

// refresh has the keys listed again at once; an open watch is given up.
func (v *view) refresh(now time.Duration) {
	v.known, v.busy, v.next = false, false, now
	v.gen++
}

// forgetKeys drops what the keys held before they are listed.
func (v *view) forgetKeys() {
	v.counter, v.counterVersion = 0, 0
	v.record, v.recordVersion, v.leased = nil, 0, false
}

// takeKey notes what a key holds; nil: it is gone.
func (v *view) takeKey(key string, value []byte, version uint64) {
	switch key {
	case keyCounter:
		var rec counterRecord
		if value != nil && protocol.Decode(value, &rec) == nil {
			v.counter = rec.Token
		}
		v.counterVersion = version
	case keyLeader:
		v.record, v.recordVersion = nil, version
		if value == nil {
			return
		}
		var rec leaderRecord
		if protocol.Decode(value, &rec) != nil {
			rec = leaderRecord{Form: unreadableForm}
		}
		v.record = &rec
	case keyLease:
		v.leased = value != nil
	}
}

// holder is who leads by the keys: a permanent record alone names nobody.
func (v *view) holder() *leaderRecord {
	if v.record != nil && v.record.Form != 0 && !v.leased {
		return nil
	}
	return v.record
}

// election is the transaction that makes a candidate the leader, if nobody did so meanwhile. With
// the gate not closed its record goes on with the former one's state of the gate.
func (v *view) election(rec *leaderRecord) protocol.Txn {
	leader := protocol.Change{Put: keyLeader, Value: rec, Lease: rec.Lease}
	txn := protocol.Txn{
		If:   []protocol.Condition{{Key: keyLeader, Version: v.recordVersion}, {Key: keyCounter, Version: v.counterVersion}},
		Then: []protocol.Change{{Put: keyCounter, Value: counterRecord{Token: rec.Token}}},
	}
	if v.record == nil {
		txn.Then = append(txn.Then, leader)
		return txn
	}
	rec.Form, rec.Closing = v.record.Form, v.record.Closing
	leader.Lease = 0
	txn.If = append(txn.If, protocol.Condition{Key: keyLease, Version: 0})
	txn.Then = append(txn.Then, leader, protocol.Change{Put: keyLease, Value: leaseRecord{Token: rec.Token}, Lease: rec.Lease})
	return txn
}

// won notes that the election's transaction applied.
func (v *view) won(rec *leaderRecord, revision uint64) {
	v.counter, v.counterVersion = rec.Token, revision
	v.record, v.recordVersion, v.leader, v.leased = rec, revision, rec, rec.Form != 0
}

// readsForm says whether this version reads the records that are stored; one that does not
// leaves the leadership to those that do.
func (c *Core) readsForm() bool {
	v := &c.view
	if v.record == nil || v.record.form() <= newestForm {
		return true
	}
	if !v.barred {
		v.barred = true
		c.log.Error("records are stored in a form that this version does not read: it leaves the leadership to others",
			"form", v.record.Form, "reads", uint64(newestForm))
	}
	return false
}

// seeLeader looks at who leads by the keys.
func (c *Core) seeLeader() {
	v := &c.view
	rec := v.holder()
	if rec == nil {
		if v.leader != nil || v.leaderless == 0 {
			v.leaderless = c.now
		}
		v.leader = nil
		return
	}
	if v.logged != rec.Token {
		// Once: a follower in a cut reads the keys anew every few seconds.
		v.logged = rec.Token
		c.log.Info("leader seen", "leader", rec.Label, "token", rec.Token)
	}
	v.leader = rec
	if c.term != nil {
		// A watch that was open when we won tells of ourselves, or of somebody
		// who came after us.
		if rec.Token > c.term.token {
			c.endTerm("a later leader's key")
		}
		return
	}
	if rec.Label != c.cfg.Label {
		return
	}
	if rec.Incarnation == c.incarnation && c.candidacy != nil && rec.Lease == c.candidacy.lease {
		// Our own transaction, whose answer was lost, did apply.
		c.assume(rec, v.recordVersion)
		return
	}
	c.endFormerLease(rec.Lease)
}

// endFormerLease ends the lease of an earlier process of ours, or of a transaction of ours that we
// gave up. That is safe, as its writes are fenced.
func (c *Core) endFormerLease(lease uint64) {
	v := &c.view
	if v.ended == lease {
		return
	}
	v.ended = lease
	c.log.Info("ending the lease of an earlier incarnation", "lease", lease)
	c.stateCall("DELETE", fmt.Sprintf("/leases/%d", lease), nil, c.cfg.LeaderTTL()/2, func(res Result) {
		if res.Status == 0 || res.Status >= 429 {
			v.ended = 0
			v.refresh(c.now + c.pause())
		}
	})
}
