package controller

import (
	"maps"
	"slices"
	"time"

	"claybarrow/internal/featuregate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// The storage versions, in order: forms of the stored records. A version of the program reads all up to its
// newest.
const (
	completionJournalVersion featuregate.StorageVersion = 1 // with the completion journal
	newestStorageVersion                                = completionJournalVersion
)

// gatePauseLeases is how many workers' leases pass at the least between a closing of the gate and the next
// opening, so that a process that comes and goes does not make the gate flap.
const gatePauseLeases = 6

// gateKeeper is the leader's part in the feature gate: it collects what the controllers state that they support,
// and stores the gate's state in the leader key. The version of that key is a condition of all that any leader
// writes, so that what was sent under an earlier state of the gate and arrives late is refused.
//
// It owns the leader record and the gate. A successor takes the state of the gate over from the stored record;
// the statements are collected anew.
type gateKeeper struct {
	completions *completionRecorder
	env         *environment
	lease       *leaderLease
	store       *statestore.Writer

	// storedRecord is the leader record as it is durably stored; the gate decides on its storage version.
	storedRecord leaderRecord
	gate         *featuregate.Gate
	gateLogged   gateLog
}

// newGate returns the gate of a leadership, in the state of the record that the election stored.
func (l *leadership) newGate() *featuregate.Gate {
	cfg := l.controller.env.cfg
	settings := featuregate.Settings{
		Version:             completionJournalVersion,
		Self:                cfg.Label,
		Own:                 *readVersionStatement(l.controller.versionStatement()),
		TransactionsFit:     cfg.SupportsFeatureGate(),
		SettleTime:          cfg.LeaderLease(),
		OlderProgramTimeout: cfg.WorkerLease(),
		BackOff:             gatePauseLeases * cfg.WorkerLease(),
	}
	for _, sibling := range cfg.Siblings {
		settings.Peers = append(settings.Peers, sibling.Label)
	}
	return featuregate.New(settings, l.gating.storedRecord.gateState())
}

// versionStatement is what this controller states that it supports.
func (c *Controller) versionStatement() *protocol.VersionStatement {
	statement := &protocol.VersionStatement{Reads: uint64(newestStorageVersion), Hold: c.env.cfg.Operator.Upgrade.Hold}
	if c.env.cfg.Operator.EndJournal.Enabled {
		statement.Writes = uint64(completionJournalVersion)
	}
	return statement
}

// readVersionStatement converts what a peer's message states. It returns nil for a message without a statement,
// which is from a version of the program without the gate.
func readVersionStatement(statement *protocol.VersionStatement) *featuregate.Statement {
	if statement == nil {
		return nil
	}
	return &featuregate.Statement{
		ReadsUpTo:  featuregate.StorageVersion(statement.Reads),
		WritesUpTo: featuregate.StorageVersion(statement.Writes),
		HoldClosed: statement.Hold,
	}
}

// onVersionStatement hands the statement in a controller's heartbeat to the gate.
func (g *gateKeeper) onVersionStatement(heartbeat *protocol.PeerHeartbeat) {
	g.gate.RecordStatement(g.env.now, heartbeat.From, heartbeat.Incarnation, readVersionStatement(heartbeat.Versions))
}

// tick carries out what the gate decides. Nothing is decided while it is uncertain whether this
// controller still leads.
func (g *gateKeeper) tick() {
	if !g.lease.holdsLease() {
		return
	}
	before := g.gate.State()
	action := g.gate.NextAction(g.env.now, before == featuregate.Closing && g.completions.isCompacted())
	g.noteGateState(before)
	if g.gate.State() == featuregate.Closing {
		g.completions.close()
	}
	g.carryOut(action)
}

// carryOut stores the state of the gate that an action asks for. With the opening the key of the lease comes
// into being, with the closing it is deleted.
func (g *gateKeeper) carryOut(action featuregate.Action) {
	record := g.storedRecord
	switch action {
	case featuregate.NoAction:
	case featuregate.StoreOpen:
		record.StorageVersion, record.Closing = uint64(completionJournalVersion), false
		lease := protocol.Change{Put: keyLease, Value: leaseRecord{Token: g.lease.token}, Lease: g.lease.leaseID}
		g.storeGate(record, &statestore.LeaderChange{Puts: []protocol.Change{lease}})
	case featuregate.StoreClosing:
		record.Closing = true
		g.storeGate(record, &statestore.LeaderChange{})
	case featuregate.StoreClosed:
		record.StorageVersion, record.Closing = 0, false
		g.storeGate(record, &statestore.LeaderChange{Deletes: []string{keyLease}})
	}
}

// storeGate stores the leader key with another state of the gate. The journal is used once that is durable.
func (g *gateKeeper) storeGate(record leaderRecord, change *statestore.LeaderChange) {
	change.Entry = g.leaderEntry(record)
	change.OnApplied = func() {
		before := g.gate.State()
		g.storedRecord = record
		g.gate.ActionStored(g.env.now)
		g.noteGateState(before)
		if g.gate.MayWrite() {
			g.completions.open()
		}
	}
	change.OnRefused = func() {
		before := g.gate.State()
		g.gate.ActionRefused(g.env.now)
		g.noteGateState(before)
	}
	g.store.ChangeLeader(change)
}

// gateLog is what was last logged of the gate, and when.
type gateLog struct {
	obstacle featuregate.Obstacle
	at       time.Duration
}

// GateChange is a change of the feature gate's state, for operators.
type GateChange struct {
	Token    uint64        // of the leader
	At       time.Duration // on the steady clock
	From, To featuregate.State
	// Reason is what keeps the gate from being open; "" if nothing does.
	Reason string
	// Statements are the last statements of the other controllers, by label, for example
	// "reads 1, writes 1".
	Statements map[string]string
}

// noteGateState logs a change of the gate's state and hands it to the observer. It also logs a new obstacle to the
// opening of a gate that operators have enabled, at the most once in a worker's lease.
func (g *gateKeeper) noteGateState(before featuregate.State) {
	state, obstacle := g.gate.State(), g.gate.Obstacle()
	enabled := g.env.cfg.Operator.EndJournal.Enabled
	logged := &g.gateLogged
	logsObstacle := enabled && obstacle != logged.obstacle && g.env.now >= logged.at+g.env.cfg.WorkerLease()
	if state == before && !logsObstacle {
		return
	}
	logged.obstacle, logged.at = obstacle, g.env.now
	statements := g.statements()
	args := []any{"token", g.lease.token, "state", state.String(), "previous", before.String(), "reason", obstacle.String()}
	for _, label := range slices.Sorted(maps.Keys(statements)) {
		args = append(args, label, statements[label])
	}
	g.env.log.Info("feature gate state", args...)
	if state != before {
		g.env.observer.GateChanged(GateChange{Token: g.lease.token, At: g.env.now, From: before, To: state, Reason: obstacle.String(), Statements: statements})
	}
}

// statements returns the last statements of the other controllers as text, by label.
func (g *gateKeeper) statements() map[string]string {
	out := map[string]string{}
	for label, statement := range g.gate.Statements() {
		out[label] = statement.String()
	}
	return out
}
