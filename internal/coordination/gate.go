package coordination

import (
	"maps"
	"slices"
	"time"

	"claybarrow/internal/featuregate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// The leader's part in the feature gate: it hears what the controllers state of themselves, and
// stores the gate's state in the leader key, whose version is a condition of all that any leader
// writes. So whatever was sent under an earlier state, and arrives late, is refused.

// The forms of stored records, in order. A version reads all up to its newest.
const (
	endsForm   featuregate.Form = 1 // the journal of ends
	newestForm                  = endsForm
)

// gatePauseLeases is how many workers' leases lie at the least between a closing of the gate and the next
// opening, so that a process that comes and goes does not have the gate flap.
const gatePauseLeases = 6

// formStatement is what this controller states of itself.
func (c *Core) formStatement() *protocol.FormStatement {
	s := &protocol.FormStatement{Reads: uint64(newestForm), Hold: c.cfg.Operator.Upgrade.Hold}
	if c.cfg.Operator.EndJournal.Enabled {
		s.Writes = uint64(endsForm)
	}
	return s
}

// readStatement is what a peer's message states; nil: it is from a version without a gate.
func readStatement(s *protocol.FormStatement) *featuregate.Statement {
	if s == nil {
		return nil
	}
	return &featuregate.Statement{Reads: featuregate.Form(s.Reads), Writes: featuregate.Form(s.Writes), Hold: s.Hold}
}

// newGate makes the gate of a term from the record that the election stored.
func (r *term) newGate() *featuregate.Gate {
	cfg := r.c.cfg
	settings := featuregate.Settings{Form: endsForm, Self: cfg.Label, Own: *readStatement(r.c.formStatement()),
		Fits:    cfg.GateFits(),
		Settled: cfg.LeaderTTL(), Patience: cfg.Lease(), Pause: gatePauseLeases * cfg.Lease()}
	for _, s := range cfg.Siblings {
		settings.Peers = append(settings.Peers, s.Label)
	}
	return featuregate.New(settings, r.stored.gate())
}

// hearForms takes what a controller states in its heartbeat.
func (r *term) hearForms(ask *protocol.Heartbeat) {
	r.gate.Heard(r.c.now, ask.From, ask.Incarnation, readStatement(ask.Forms))
}

// keepGate carries out what the gate decides. Nothing is decided while this leader does not know
// whether it still is one.
func (r *term) keepGate() {
	if !r.certain() {
		return
	}
	before := r.gate.State()
	action := r.gate.Decide(r.c.now, before == featuregate.Closing && r.ends.folded())
	r.noteGate(before)
	if r.gate.State() == featuregate.Closing {
		r.ends.close()
	}
	rec := r.stored
	switch action {
	case featuregate.StoreOpen:
		rec.Form, rec.Closing = uint64(endsForm), false
		lease := protocol.Change{Put: keyLease, Value: leaseRecord{Token: r.token}, Lease: r.lease}
		r.storeGate(rec, &statestore.LeaderChange{Puts: []protocol.Change{lease}})
	case featuregate.StoreClosing:
		rec.Closing = true
		r.storeGate(rec, &statestore.LeaderChange{})
	case featuregate.StoreClosed:
		rec.Form, rec.Closing = 0, false
		r.storeGate(rec, &statestore.LeaderChange{Deletes: []string{keyLease}})
	}
}

// storeGate stores the leader key with another state of the gate.
func (r *term) storeGate(rec leaderRecord, change *statestore.LeaderChange) {
	change.Form = r.leaderForm(rec)
	change.Applied = func() {
		before := r.gate.State()
		r.stored = rec
		r.gate.Stored(r.c.now)
		r.noteGate(before)
		if r.gate.MayWrite() {
			r.ends.open()
		}
	}
	change.Refused = func() {
		before := r.gate.State()
		r.gate.Failed(r.c.now)
		r.noteGate(before)
	}
	r.records.ChangeLeader(change)
}

// gateLog is what was last logged of the gate.
type gateLog struct {
	obstacle featuregate.Obstacle
	at       time.Duration
}

// GateChange is a change of the feature gate's state, for operators.
type GateChange struct {
	Token    uint64
	At       time.Duration // of the steady clock
	From, To featuregate.State
	// Why is what keeps the gate from being open; "": nothing does.
	Why string
	// Statements are the other controllers' last ones, by label: "reads 1, writes 1", say.
	Statements map[string]string
}

// noteGate tells of a change of state, and of a new reason for a closed gate that is asked for.
func (r *term) noteGate(before featuregate.State) {
	now, obstacle := r.gate.State(), r.gate.Obstacle()
	wanted := r.c.cfg.Operator.EndJournal.Enabled
	seen := &r.gateSeen
	logsCause := wanted && obstacle != seen.obstacle && r.c.now >= seen.at+r.c.cfg.Lease()
	if now == before && !logsCause {
		return
	}
	seen.obstacle, seen.at = obstacle, r.c.now
	statements := r.statements()
	args := []any{"token", r.token, "state", now.String(), "was", before.String(), "why", obstacle.String()}
	for _, label := range slices.Sorted(maps.Keys(statements)) {
		args = append(args, label, statements[label])
	}
	r.c.log.Info("feature gate", args...)
	if now != before {
		r.c.observer.GateChanged(GateChange{Token: r.token, At: r.c.now, From: before, To: now, Why: obstacle.String(), Statements: statements})
	}
}

// statements words what the others last stated.
func (r *term) statements() map[string]string {
	out := map[string]string{}
	for label, s := range r.gate.Statements() {
		out[label] = s.String()
	}
	return out
}
