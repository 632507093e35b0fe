package controller

import (
	"maps"
	"slices"
	"time"

	"claybarrow/internal/featuregate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// gateKeeper is the leader's part in the feature gate: it hears what the controllers support, and stores the
// gate's state in the leader key.
type gateKeeper struct {
	completions *completionRecorder
	env         *environment
	lease       *leaderLease
	store       *statestore.Writer

	// storedRecord is the leader record as it is stored, gate decides on its form.
	storedRecord leaderRecord
	gate         *featuregate.Gate
	gateLogged   gateLog
}

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
	return featuregate.New(settings, l.gating.storedRecord.gateState())
}

// onVersionStatement takes what a controller states in its heartbeat.
func (g *gateKeeper) onVersionStatement(ask *protocol.PeerHeartbeat) {
	g.gate.Heard(g.env.now, ask.From, ask.Incarnation, readVersionStatement(ask.Versions))
}

// tickFeatureGate carries out what the gate decides. Nothing is decided while this leader does not know
// whether it still is one.
func (g *gateKeeper) tickFeatureGate() {
	if !g.lease.holdsLease() {
		return
	}
	before := g.gate.State()
	action := g.gate.Decide(g.env.now, before == featuregate.Closing && g.completions.isCompacted())
	g.noteGate(before)
	if g.gate.State() == featuregate.Closing {
		g.completions.close()
	}
	rec := g.storedRecord
	switch action {
	case featuregate.StoreOpen:
		rec.StorageVersion, rec.Closing = uint64(completionJournalVersion), false
		lease := protocol.Change{Put: keyLease, Value: leaseRecord{Token: g.lease.token}, Lease: g.lease.leaseID}
		g.storeGate(rec, &statestore.LeaderChange{Puts: []protocol.Change{lease}})
	case featuregate.StoreClosing:
		rec.Closing = true
		g.storeGate(rec, &statestore.LeaderChange{})
	case featuregate.StoreClosed:
		rec.StorageVersion, rec.Closing = 0, false
		g.storeGate(rec, &statestore.LeaderChange{Deletes: []string{keyLease}})
	}
}

// storeGate stores the leader key with another state of the gate.
func (g *gateKeeper) storeGate(rec leaderRecord, change *statestore.LeaderChange) {
	change.Entry = g.leaderEntry(rec)
	change.Applied = func() {
		before := g.gate.State()
		g.storedRecord = rec
		g.gate.Stored(g.env.now)
		g.noteGate(before)
		if g.gate.MayWrite() {
			g.completions.open()
		}
	}
	change.Refused = func() {
		before := g.gate.State()
		g.gate.Failed(g.env.now)
		g.noteGate(before)
	}
	g.store.ChangeLeader(change)
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
func (g *gateKeeper) noteGate(before featuregate.State) {
	now, obstacle := g.gate.State(), g.gate.Obstacle()
	wanted := g.env.cfg.Operator.EndJournal.Enabled
	seen := &g.gateLogged
	logsCause := wanted && obstacle != seen.obstacle && g.env.now >= seen.at+g.env.cfg.Lease()
	if now == before && !logsCause {
		return
	}
	seen.obstacle, seen.at = obstacle, g.env.now
	statements := g.statements()
	args := []any{"token", g.lease.token, "state", now.String(), "previous", before.String(), "reason", obstacle.String()}
	for _, label := range slices.Sorted(maps.Keys(statements)) {
		args = append(args, label, statements[label])
	}
	g.env.log.Info("feature gate state", args...)
	if now != before {
		g.env.observer.GateChanged(GateChange{Token: g.lease.token, At: g.env.now, From: before, To: now, Why: obstacle.String(), Statements: statements})
	}
}

// statements words what the others last stated.
func (g *gateKeeper) statements() map[string]string {
	out := map[string]string{}
	for label, s := range g.gate.Statements() {
		out[label] = s.String()
	}
	return out
}
