package featuregate

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// This file is a small model checker of the gate together with the leadership keys. Three controllers of two program
// versions stop, restart in either version and stall; transactions apply late or lose their answers. The model uses
// the real Gate, and the conditions of the transactions follow docs/upgrades.md. It visits all states up to a
// depth.

// modelStore is the state service with the leadership keys and the journal.
type modelStore struct {
	version       int // version of the leader key; 0 if the key does not exist
	last          int // last version that the leader key has had
	token         int
	open, closing bool // state of the gate in the leader record
	lease         int  // token of the leader whose lease is valid; 0: none. The lease key or the leader key expires with it.
	journal       int  // number of stored values of the journal
}

// modelKind is the kind of a transaction.
type modelKind int

const (
	modelOpen modelKind = iota
	modelClosing
	modelClosed
	modelJournal
	modelCompact
)

// modelTxn is a leader's transaction that the store has not applied yet.
type modelTxn struct {
	kind    modelKind
	node    int
	token   int
	version int // condition on the leader key
	// fences is set for a retry. A retry also writes the leader key, so that no earlier attempt can apply any more.
	fences bool
}

// modelLeader is a controller that assumes it is the leader.
type modelLeader struct {
	token, version int
	gate           *Gate // nil for a program without the gate
	awaitsAnswer   bool
	kind           modelKind
	action         Action
}

type modelState struct {
	store    modelStore
	newer    [3]bool
	alive    [3]bool
	leaders  [3]*modelLeader
	inFlight []modelTxn
	now      time.Duration
}

// modelFaults are faults that are injected into the model, to show that the checker detects them.
type modelFaults struct {
	closesUncompacted, keepsVersion bool
}

// maxInFlight bounds the transactions that are in flight at once.
const maxInFlight = 2

func modelSettings(node int) Settings {
	s := Settings{Version: 1, Self: fmt.Sprint(node), OwnStatement: ready, TransactionsFit: true, SettleTime: 1, OlderProgramTimeout: 1, BackOff: 1}
	for i := range 3 {
		if i != node {
			s.Peers = append(s.Peers, fmt.Sprint(i))
		}
	}
	return s
}

func (s *modelState) clone() *modelState {
	cloned := *s
	cloned.inFlight = append([]modelTxn(nil), s.inFlight...)
	for i, leader := range s.leaders {
		if leader == nil {
			continue
		}
		copied := *leader
		if leader.gate != nil {
			gate := *leader.gate
			gate.peers = map[string]*peer{}
			for label, p := range leader.gate.peers {
				copiedPeer := *p
				gate.peers[label] = &copiedPeer
			}
			copied.gate = &gate
		}
		cloned.leaders[i] = &copied
	}
	return &cloned
}

// age returns the time since an event. It is clamped to the range in which it makes a difference to the gate.
func (s *modelState) age(at time.Duration) int { return int(min(3, max(-2, s.now-at))) }

// key returns a string that identifies a state. Versions and tokens are relative to the present ones, and times to
// now, so that equivalent states have the same key.
func (s *modelState) key() string {
	var b strings.Builder
	st := s.store
	fmt.Fprint(&b, st.version == 0, st.open, st.closing, st.lease != 0, st.token-st.lease, st.journal, s.newer, s.alive)
	for _, t := range s.inFlight {
		fmt.Fprint(&b, "|", t.kind, t.node, t.fences, st.token-t.token, st.last-t.version)
	}
	for i, t := range s.leaders {
		if t == nil {
			continue
		}
		fmt.Fprint(&b, "/", i, st.token-t.token, st.last-t.version, t.awaitsAnswer, t.kind, t.action)
		if g := t.gate; g != nil {
			fmt.Fprint(&b, g.state, g.actionPending, g.closingStored, g.backingOff, s.age(g.notBefore))
			for n := range 3 {
				if p := g.peers[fmt.Sprint(n)]; p != nil && p.messageReceived {
					fmt.Fprint(&b, ":", n, p.statement != nil, p.lacksStatement, s.age(p.lastMessageAt), s.age(p.statedSince), s.age(p.lacksStatementSince))
				}
			}
		}
	}
	return b.String()
}

// elect makes a controller the leader if the conditions in the store hold. It returns false if they do not.
func (s *modelState) elect(node int) bool {
	st := &s.store
	if st.lease != 0 || st.open && !s.newer[node] {
		return false
	}
	st.token++
	st.last++
	st.version, st.lease = st.last, st.token
	leader := &modelLeader{token: st.token, version: st.version}
	if s.newer[node] {
		stored := Closed
		switch {
		case st.closing:
			stored = Closing
		case st.open:
			stored = Open
		}
		leader.gate = New(modelSettings(node), stored)
	}
	s.leaders[node] = leader
	return true
}

// expireLease expires the leader's lease, and deletes the leader key if the key is attached to the lease.
func (s *modelState) expireLease() {
	s.store.lease = 0
	if !s.store.open {
		s.store.version = 0
	}
}

// apply applies a transaction to the store if the transaction's conditions hold. It returns the invariant that is
// violated by this, if any.
func (s *modelState) apply(t modelTxn, faults modelFaults) (applied bool, violation string) {
	st := &s.store
	if st.version != t.version {
		return false, ""
	}
	rewrites := t.kind == modelOpen || t.kind == modelClosing || t.kind == modelClosed
	if (t.kind == modelOpen || t.kind == modelClosed) && st.lease != t.token {
		return false, "" // the sender's lease has expired
	}
	if t.token != st.token {
		return true, "a transaction of a former leader was applied"
	}
	switch t.kind {
	case modelOpen:
		st.open = true
	case modelClosing:
		st.closing = true
	case modelClosed:
		st.open, st.closing = false, false
	case modelJournal:
		st.journal = 1
	case modelCompact:
		st.journal = 0
	}
	if (rewrites || t.fences) && !faults.keepsVersion {
		st.last++
		st.version = st.last
	}
	if st.journal > 0 && !st.open {
		return true, "the journal is stored while an older program may lead"
	}
	return true, ""
}

// answer passes the outcome of a transaction to its sender, if the sender still has the same leadership.
func (s *modelState) answer(t modelTxn, applied bool) {
	leader := s.leaders[t.node]
	if leader == nil || leader.token != t.token || !leader.awaitsAnswer {
		return
	}
	leader.awaitsAnswer = false
	if !applied {
		s.leaders[t.node] = nil // the leader key belongs to another leader
		return
	}
	leader.version = s.store.version
	if leader.action != NoAction {
		leader.gate.ActionStored(s.now)
		leader.action = NoAction
	}
}

// steps visits each successor state, with the invariant that the step violates, if any.
func (s *modelState) steps(faults modelFaults, visit func(*modelState, string)) {
	step := func(change func(n *modelState) string) {
		n := s.clone()
		visit(n, change(n))
	}
	validStep := func(change func(n *modelState)) { step(func(n *modelState) string { change(n); return "" }) }
	validStep(func(n *modelState) { n.now++ })
	if s.store.lease != 0 {
		validStep((*modelState).expireLease)
	}
	for i := range 3 {
		s.controllerSteps(i, validStep)
		s.leaderSteps(i, faults, validStep)
	}
	for i, t := range s.inFlight {
		for _, answered := range []bool{true, false} {
			step(func(n *modelState) string {
				n.inFlight = append(n.inFlight[:i:i], n.inFlight[i+1:]...)
				applied, violation := n.apply(t, faults)
				if answered {
					n.answer(t, applied)
				}
				return violation
			})
		}
	}
}

// controllerSteps passes the steps of a controller to validStep: the controller stops, restarts or is elected.
func (s *modelState) controllerSteps(i int, validStep func(func(*modelState))) {
	if !s.alive[i] {
		for _, newer := range []bool{true, false} {
			validStep(func(n *modelState) { n.alive[i], n.newer[i] = true, newer })
		}
		return
	}
	validStep(func(n *modelState) { n.alive[i], n.leaders[i] = false, nil })
	if s.leaders[i] == nil {
		validStep(func(n *modelState) { n.elect(i) })
	}
}

// leaderSteps passes the steps of a leader to validStep. Histories without these steps model a stalled process.
func (s *modelState) leaderSteps(i int, faults modelFaults, validStep func(func(*modelState))) {
	leader := s.leaders[i]
	if leader == nil || leader.gate == nil {
		return
	}
	for k := range 3 {
		if k != i && s.alive[k] {
			validStep(func(n *modelState) {
				statement := &ready
				if !n.newer[k] {
					statement = nil
				}
				n.leaders[i].gate.RecordStatement(n.now, fmt.Sprint(k), "", statement)
			})
		}
	}
	if len(s.inFlight) == maxInFlight {
		return
	}
	if leader.awaitsAnswer {
		// A transaction without an answer is sent again. The leader determines whether an earlier attempt
		// applied by reading the leader key, which that attempt would have written.
		validStep(func(n *modelState) { n.send(i, leader.kind, true) })
		if s.store.version != leader.version {
			validStep(func(n *modelState) {
				n.answer(modelTxn{node: i, token: leader.token}, n.store.version != 0 && n.store.token == leader.token)
			})
		}
		return
	}
	validStep(func(n *modelState) {
		t := n.leaders[i]
		t.action = t.gate.NextAction(n.now, n.store.journal == 0 || faults.closesUncompacted)
		switch t.action {
		case NoAction:
		case StoreOpen:
			n.send(i, modelOpen, false)
		case StoreClosing:
			n.send(i, modelClosing, false)
		case StoreClosed:
			n.send(i, modelClosed, false)
		}
	})
	if leader.gate.MayWrite() {
		validStep(func(n *modelState) { n.send(i, modelJournal, false) })
	}
	if leader.gate.State() == Closing {
		validStep(func(n *modelState) { n.send(i, modelCompact, false) })
	}
}

// send adds a transaction of a leader to the transactions in flight.
func (s *modelState) send(i int, kind modelKind, isRetry bool) {
	leader := s.leaders[i]
	leader.awaitsAnswer, leader.kind = true, kind
	s.inFlight = append(s.inFlight, modelTxn{kind: kind, node: i, token: leader.token, version: leader.version, fences: isRetry})
}

// explore visits all states up to a depth. It returns their number and the first invariant that is violated.
func explore(starts []*modelState, depth int, faults modelFaults) (visited int, violation string) {
	seen := map[string]bool{}
	layer := starts
	for range depth {
		var next []*modelState
		for _, s := range layer {
			s.steps(faults, func(n *modelState, rule string) {
				if violation == "" {
					violation = rule
				}
				if key := n.key(); !seen[key] {
					seen[key] = true
					next = append(next, n)
				}
			})
			if violation != "" {
				return len(seen), violation
			}
		}
		layer = next
	}
	return len(seen), ""
}

// modelStarts returns states that take many steps to reach: closed and about to open, open with a journal, and closing
// with a journal, each with only newer programs and with one older program.
func modelStarts() []*modelState {
	var starts []*modelState
	for _, stored := range []State{Closed, Open, Closing} {
		for _, older := range []bool{false, true} {
			s := &modelState{alive: [3]bool{true, true, true}, newer: [3]bool{true, true, !older}, now: 10}
			if !s.elect(0) {
				panic("no leader can be elected in an initial state of the model")
			}
			s.store.open, s.store.closing = stored != Closed, stored == Closing
			if stored != Closed {
				s.store.journal = 1
			}
			s.leaders[0].gate = New(modelSettings(0), stored)
			for at := s.now - 2; at <= s.now; at++ {
				s.leaders[0].gate.RecordStatement(at, "1", "", &ready)
				statement := &ready
				if older {
					statement = nil
				}
				s.leaders[0].gate.RecordStatement(at, "2", "", statement)
			}
			starts = append(starts, s)
		}
	}
	return starts
}

// lateJournalWrite returns a state in which the leader has compacted the journal and has just stored Closing, while an
// earlier write of the journal is still in flight. The leader has sent this write again in the meantime, and the
// repeated write was stored.
func lateJournalWrite(faults modelFaults) *modelState {
	s := modelStarts()[5] // closing, with an older program
	s.store.journal = 0
	s.inFlight = []modelTxn{{kind: modelJournal, node: 0, token: s.store.token, version: s.store.version}}
	if !faults.keepsVersion {
		s.store.last++
		s.store.version = s.store.last
		s.leaders[0].version = s.store.version
	}
	return s
}

// modelDepth is the number of steps that are explored from each initial state.
const modelDepth = 7

func TestModel(t *testing.T) {
	visited, violation := explore(append(modelStarts(), lateJournalWrite(modelFaults{})), modelDepth, modelFaults{})
	t.Logf("%d states", visited)
	if violation != "" {
		t.Error(violation)
	}
	if visited < 10_000 {
		t.Errorf("the model visits %d states, want at least 10000", visited)
	}
}

// The model checker detects a gate that closes before the journal is compacted, and a leader key that keeps its
// version when the gate's state changes.
func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, faults := range map[string]modelFaults{
		"closes before compaction": {closesUncompacted: true},
		"keeps the key's version":  {keepsVersion: true},
	} {
		t.Run(name, func(t *testing.T) {
			visited, violation := explore(append(modelStarts(), lateJournalWrite(faults)), modelDepth, faults)
			t.Logf("%d states: %s", visited, violation)
			if violation == "" {
				t.Errorf("the injected fault is not detected in %d states", visited)
			}
		})
	}
}
