package controller

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
	completionJournalVersion featuregate.StorageVersion = 1 // the journal of ends
	newestStorageVersion                                = completionJournalVersion
)

// gatePauseLeases is how many workers' leases lie at the least between a closing of the gate and the next
// opening, so that a process that comes and goes does not have the gate flap.
const gatePauseLeases = 6

// versionStatement is what this controller states of itself.
func (c *Controller) versionStatement() *protocol.VersionStatement {
	s := &protocol.VersionStatement{Reads: uint64(newestStorageVersion), Hold: c.env.cfg.Operator.Upgrade.Hold}
	if c.env.cfg.Operator.EndJournal.Enabled {
		s.Writes = uint64(completionJournalVersion)
	}
	return s
}

// readVersionStatement is what a peer's message states; nil: it is from a version without a gate.
func readVersionStatement(s *protocol.VersionStatement) *featuregate.Statement {
	if s == nil {
		return nil
	}
	return &featuregate.Statement{Reads: featuregate.StorageVersion(s.Reads), Writes: featuregate.StorageVersion(s.Writes), Hold: s.Hold}
}

// newGate makes the gate of a term from the record that the election stored.
func (l *leadership) newGate() *featuregate.Gate {
	cfg := l.controller.env.cfg
	settings := featuregate.Settings{Version: completionJournalVersion, Self: cfg.Label, Own: *readVersionStatement(l.controller.versionStatement()),
		Fits:    cfg.GateFits(),
		Settled: cfg.LeaderTTL(), Patience: cfg.Lease(), Pause: gatePauseLeases * cfg.Lease()}
	for _, s := range cfg.Siblings {
		settings.Peers = append(settings.Peers, s.Label)
	}
	return featuregate.New(settings, l.storedRecord.gateState())
}

// onVersionStatement takes what a controller states in its heartbeat.
func (l *leadership) onVersionStatement(ask *protocol.PeerHeartbeat) {
	l.gate.Heard(l.controller.env.now, ask.From, ask.Incarnation, readVersionStatement(ask.Versions))
}

// tickFeatureGate carries out what the gate decides. Nothing is decided while this leader does not know
// whether it still is one.
func (l *leadership) tickFeatureGate() {
	if !l.holdsLease() {
		return
	}
	before := l.gate.State()
	action := l.gate.Decide(l.controller.env.now, before == featuregate.Closing && l.completions.isCompacted())
	l.noteGate(before)
	if l.gate.State() == featuregate.Closing {
		l.completions.close()
	}
	rec := l.storedRecord
	switch action {
	case featuregate.StoreOpen:
		rec.StorageVersion, rec.Closing = uint64(completionJournalVersion), false
		lease := protocol.Change{Put: keyLease, Value: leaseRecord{Token: l.token}, Lease: l.leaseID}
		l.storeGate(rec, &statestore.LeaderChange{Puts: []protocol.Change{lease}})
	case featuregate.StoreClosing:
		rec.Closing = true
		l.storeGate(rec, &statestore.LeaderChange{})
	case featuregate.StoreClosed:
		rec.StorageVersion, rec.Closing = 0, false
		l.storeGate(rec, &statestore.LeaderChange{Deletes: []string{keyLease}})
	}
}

// storeGate stores the leader key with another state of the gate.
func (l *leadership) storeGate(rec leaderRecord, change *statestore.LeaderChange) {
	change.Entry = l.leaderEntry(rec)
	change.Applied = func() {
		before := l.gate.State()
		l.storedRecord = rec
		l.gate.Stored(l.controller.env.now)
		l.noteGate(before)
		if l.gate.MayWrite() {
			l.completions.open()
		}
	}
	change.Refused = func() {
		before := l.gate.State()
		l.gate.Failed(l.controller.env.now)
		l.noteGate(before)
	}
	l.store.ChangeLeader(change)
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
func (l *leadership) noteGate(before featuregate.State) {
	now, obstacle := l.gate.State(), l.gate.Obstacle()
	wanted := l.controller.env.cfg.Operator.EndJournal.Enabled
	seen := &l.gateLogged
	logsCause := wanted && obstacle != seen.obstacle && l.controller.env.now >= seen.at+l.controller.env.cfg.Lease()
	if now == before && !logsCause {
		return
	}
	seen.obstacle, seen.at = obstacle, l.controller.env.now
	statements := l.statements()
	args := []any{"token", l.token, "state", now.String(), "was", before.String(), "why", obstacle.String()}
	for _, label := range slices.Sorted(maps.Keys(statements)) {
		args = append(args, label, statements[label])
	}
	l.controller.env.log.Info("feature gate", args...)
	if now != before {
		l.controller.env.observer.GateChanged(GateChange{Token: l.token, At: l.controller.env.now, From: before, To: now, Why: obstacle.String(), Statements: statements})
	}
}

// statements words what the others last stated.
func (l *leadership) statements() map[string]string {
	out := map[string]string{}
	for label, s := range l.gate.Statements() {
		out[label] = s.String()
	}
	return out
}
