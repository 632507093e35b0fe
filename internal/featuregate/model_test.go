package featuregate

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A small model check of the gate with the leadership keys: three controllers of two versions, which
// end, come back in either version and stand still; transactions that are carried out late or whose
// answers are lost. Gate decides as it does in a controller; the store's conditions are those of
// docs/upgrades.md. All states up to a depth are visited.

// modelStore is the leadership keys and the journal.
type modelStore struct {
	version       int // of the leader key; 0: it is not there
	last          int // the last version given
	token         int
	open, closing bool // the leader record's state of the gate
	lease         int  // token whose lease holds the key of the lease or the leader key; 0: none
	journal       int  // values stored
}

type modelKind int

const (
	modelOpen modelKind = iota
	modelClosing
	modelClosed
	modelJournal
	modelFold
)

// modelTxn is a transaction of a leader on its way.
type modelTxn struct {
	kind    modelKind
	node    int
	token   int
	version int // condition on the leader key
	// fences: it is sent again, and writes the leader key too, so that no earlier try can apply.
	fences bool
}

// modelTerm is a leader, or what takes itself for one.
type modelTerm struct {
	token, version int
	gate           *Gate // nil: an older version's
	waits          bool  // for an answer
	kind           modelKind
	action         Action
}

type modelState struct {
	store  modelStore
	newer  [3]bool
	alive  [3]bool
	terms  [3]*modelTerm
	flying []modelTxn
	now    time.Duration
}

// modelFaults are planted in the model, to see that it finds them.
type modelFaults struct {
	closesUnfolded, keepsVersion bool
}

const modelFlying = 2 // transactions on their way at once

func modelSettings(node int) Settings {
	s := Settings{Version: 1, Self: fmt.Sprint(node), Own: ready, Fits: true, Settled: 1, Patience: 1, Pause: 1}
	for i := range 3 {
		if i != node {
			s.Peers = append(s.Peers, fmt.Sprint(i))
		}
	}
	return s
}

func (s *modelState) clone() *modelState {
	out := *s
	out.flying = append([]modelTxn(nil), s.flying...)
	for i, term := range s.terms {
		if term == nil {
			continue
		}
		copied := *term
		if term.gate != nil {
			gate := *term.gate
			gate.peers = map[string]*peer{}
			for label, p := range term.gate.peers {
				one := *p
				gate.peers[label] = &one
			}
			copied.gate = &gate
		}
		out.terms[i] = &copied
	}
	return &out
}

// age is how long ago something was, as far as it matters.
func (s *modelState) age(at time.Duration) int { return int(min(3, max(-2, s.now-at))) }

// key tells states apart: versions and tokens count from the present ones, times from now.
func (s *modelState) key() string {
	var b strings.Builder
	st := s.store
	fmt.Fprint(&b, st.version == 0, st.open, st.closing, st.lease != 0, st.token-st.lease, st.journal, s.newer, s.alive)
	for _, t := range s.flying {
		fmt.Fprint(&b, "|", t.kind, t.node, t.fences, st.token-t.token, st.last-t.version)
	}
	for i, t := range s.terms {
		if t == nil {
			continue
		}
		fmt.Fprint(&b, "/", i, st.token-t.token, st.last-t.version, t.waits, t.kind, t.action)
		if g := t.gate; g != nil {
			fmt.Fprint(&b, g.state, g.actionPending, g.closingStored, g.backingOff, s.age(g.notBefore))
			for n := range 3 {
				if p := g.peers[fmt.Sprint(n)]; p != nil && p.everHeard {
					fmt.Fprint(&b, ":", n, p.statement != nil, p.lacksStatement, s.age(p.lastHeard), s.age(p.statedSince), s.age(p.lacksStatementSince))
				}
			}
		}
	}
	return b.String()
}

// elect has a controller win an election now, if the store's conditions hold.
func (s *modelState) elect(node int) bool {
	st := &s.store
	if st.lease != 0 || st.open && !s.newer[node] {
		return false
	}
	st.token++
	st.last++
	st.version, st.lease = st.last, st.token
	term := &modelTerm{token: st.token, version: st.version}
	if s.newer[node] {
		stored := Closed
		switch {
		case st.closing:
			stored = Closing
		case st.open:
			stored = Open
		}
		term.gate = New(modelSettings(node), stored)
	}
	s.terms[node] = term
	return true
}

// leaseEnds lets the leader's lease run out; a leader key that hangs on it goes with it.
func (s *modelState) leaseEnds() {
	s.store.lease = 0
	if !s.store.open {
		s.store.version = 0
	}
}

// carryOut has the store carry a transaction out; a broken rule is returned.
func (s *modelState) carryOut(t modelTxn, faults modelFaults) (applied bool, broken string) {
	st := &s.store
	if st.version != t.version {
		return false, ""
	}
	rewrites := t.kind == modelOpen || t.kind == modelClosing || t.kind == modelClosed
	if (t.kind == modelOpen || t.kind == modelClosed) && st.lease != t.token {
		return false, "" // its lease has ended
	}
	if t.token != st.token {
		return true, "a former leader's transaction is carried out"
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
	case modelFold:
		st.journal = 0
	}
	if (rewrites || t.fences) && !faults.keepsVersion {
		st.last++
		st.version = st.last
	}
	if st.journal > 0 && !st.open {
		return true, "the journal is stored while an older version may lead"
	}
	return true, ""
}

// answer brings the outcome to the sender, if it is still the same leader.
func (s *modelState) answer(t modelTxn, applied bool) {
	term := s.terms[t.node]
	if term == nil || term.token != t.token || !term.waits {
		return
	}
	term.waits = false
	if !applied {
		s.terms[t.node] = nil // another leader's key
		return
	}
	term.version = s.store.version
	if term.action != NoAction {
		term.gate.Stored(s.now)
		term.action = NoAction
	}
}

// next lists the states that follow, with a broken rule if there is one.
func (s *modelState) next(faults modelFaults, visit func(*modelState, string)) {
	step := func(do func(n *modelState) string) {
		n := s.clone()
		visit(n, do(n))
	}
	quiet := func(do func(n *modelState)) { step(func(n *modelState) string { do(n); return "" }) }
	quiet(func(n *modelState) { n.now++ })
	if s.store.lease != 0 {
		quiet((*modelState).leaseEnds)
	}
	for i := range 3 {
		s.nextOf(i, quiet)
		s.nextOfLeader(i, faults, quiet)
	}
	for i, t := range s.flying {
		for _, answered := range []bool{true, false} {
			step(func(n *modelState) string {
				n.flying = append(n.flying[:i:i], n.flying[i+1:]...)
				applied, broken := n.carryOut(t, faults)
				if answered {
					n.answer(t, applied)
				}
				return broken
			})
		}
	}
}

// nextOf is what may happen to a controller.
func (s *modelState) nextOf(i int, quiet func(func(*modelState))) {
	if !s.alive[i] {
		for _, newer := range []bool{true, false} {
			quiet(func(n *modelState) { n.alive[i], n.newer[i] = true, newer })
		}
		return
	}
	quiet(func(n *modelState) { n.alive[i], n.terms[i] = false, nil })
	if s.terms[i] == nil {
		quiet(func(n *modelState) { n.elect(i) })
	}
}

// nextOfLeader is what a leader may do; one that does nothing stands still.
func (s *modelState) nextOfLeader(i int, faults modelFaults, quiet func(func(*modelState))) {
	term := s.terms[i]
	if term == nil || term.gate == nil {
		return
	}
	for k := range 3 {
		if k != i && s.alive[k] {
			quiet(func(n *modelState) {
				statement := &ready
				if !n.newer[k] {
					statement = nil
				}
				n.terms[i].gate.Heard(n.now, fmt.Sprint(k), "", statement)
			})
		}
	}
	if len(s.flying) == modelFlying {
		return
	}
	if term.waits {
		// Without an answer it is sent again; what was carried out meanwhile is found by reading the
		// leader key, which it has written then.
		quiet(func(n *modelState) { n.send(i, term.kind, true) })
		if s.store.version != term.version {
			quiet(func(n *modelState) {
				n.answer(modelTxn{node: i, token: term.token}, n.store.version != 0 && n.store.token == term.token)
			})
		}
		return
	}
	quiet(func(n *modelState) {
		t := n.terms[i]
		t.action = t.gate.Decide(n.now, n.store.journal == 0 || faults.closesUnfolded)
		switch t.action {
		case StoreOpen:
			n.send(i, modelOpen, false)
		case StoreClosing:
			n.send(i, modelClosing, false)
		case StoreClosed:
			n.send(i, modelClosed, false)
		}
	})
	if term.gate.MayWrite() {
		quiet(func(n *modelState) { n.send(i, modelJournal, false) })
	}
	if term.gate.State() == Closing {
		quiet(func(n *modelState) { n.send(i, modelFold, false) })
	}
}

// send has a leader's transaction leave.
func (s *modelState) send(i int, kind modelKind, again bool) {
	term := s.terms[i]
	term.waits, term.kind = true, kind
	s.flying = append(s.flying, modelTxn{kind: kind, node: i, token: term.token, version: term.version, fences: again})
}

// explore visits all states up to a depth, and returns how many there were and the first broken rule.
func explore(starts []*modelState, depth int, faults modelFaults) (visited int, broken string) {
	seen := map[string]bool{}
	layer := starts
	for range depth {
		var next []*modelState
		for _, s := range layer {
			s.next(faults, func(n *modelState, rule string) {
				if broken == "" {
					broken = rule
				}
				if key := n.key(); !seen[key] {
					seen[key] = true
					next = append(next, n)
				}
			})
			if broken != "" {
				return len(seen), broken
			}
		}
		layer = next
	}
	return len(seen), ""
}

// modelStarts are states that take many steps to come to: all newer and about to open, open with a journal,
// closing with a journal, and open with an older process.
func modelStarts() []*modelState {
	var out []*modelState
	for _, stored := range []State{Closed, Open, Closing} {
		for _, older := range []bool{false, true} {
			s := &modelState{alive: [3]bool{true, true, true}, newer: [3]bool{true, true, !older}, now: 10}
			s.elect(0)
			s.store.open, s.store.closing = stored != Closed, stored == Closing
			if stored != Closed {
				s.store.journal = 1
			}
			s.terms[0].gate = New(modelSettings(0), stored)
			for at := s.now - 2; at <= s.now; at++ {
				s.terms[0].gate.Heard(at, "1", "", &ready)
				statement := &ready
				if older {
					statement = nil
				}
				s.terms[0].gate.Heard(at, "2", "", statement)
			}
			out = append(out, s)
		}
	}
	return out
}

// lateJournal is a leader that has folded all and has just stored that it closes, with an earlier write
// of the journal still on its way, which it sent again since and knows to be stored.
func lateJournal(faults modelFaults) *modelState {
	s := modelStarts()[5] // closing, with an older process
	s.store.journal = 0
	s.flying = []modelTxn{{kind: modelJournal, node: 0, token: s.store.token, version: s.store.version}}
	if !faults.keepsVersion {
		s.store.last++
		s.store.version = s.store.last
		s.terms[0].version = s.store.version
	}
	return s
}

// modelDepth is how many steps are looked at from each start.
const modelDepth = 7

func TestModel(t *testing.T) {
	visited, broken := explore(append(modelStarts(), lateJournal(modelFaults{})), modelDepth, modelFaults{})
	t.Logf("%d states", visited)
	if broken != "" {
		t.Error(broken)
	}
	if visited < 10_000 {
		t.Errorf("%d states are few", visited)
	}
}

// The model finds a gate that closes before all is folded, and a leader key that keeps its version
// when the gate's state changes.
func TestModelFindsPlantedFaults(t *testing.T) {
	for name, faults := range map[string]modelFaults{
		"closes unfolded":   {closesUnfolded: true},
		"keeps the version": {keepsVersion: true},
	} {
		visited, broken := explore(append(modelStarts(), lateJournal(faults)), modelDepth, faults)
		t.Logf("%s: %d states: %s", name, visited, broken)
		if broken == "" {
			t.Errorf("%s is not found in %d states", name, visited)
		}
	}
}
