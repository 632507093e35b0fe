package controller

import (
	"maps"
	"slices"
	"time"

	"claybarrow/internal/featuregate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// Storage versions, which number the formats of the stored records. A version of the program reads all storage versions
// up to its newest.
const (
	completionJournalVersion featuregate.StorageVersion = 1 // adds the completion journal
	newestStorageVersion                                = completionJournalVersion
)

// gatePauseLeases is the minimum number of worker leases between a closing of the gate and the next opening. It keeps a
// process that restarts repeatedly from making the gate flap.
const gatePauseLeases = 6

// featureGateManager operates the feature gate on the leader: it collects the version statements of the controllers,
// and stores the gate's state in the leader key. Each write of any leader is conditional on the version of that key, so
// the state service refuses writes that were sent under an earlier state of the gate and arrive late.
//
// It owns the leader record and the gate. The next leader takes the gate's state from the stored record and collects
// the version statements again.
type featureGateManager struct {
	completions *completionRecorder
	env         *environment
	authority   *authority
	lease       *leaderLease
	store       *statestore.Writer

	// storedRecord is the leader record as durably stored. Its storage version and Closing flag are set by the gate.
	storedRecord leaderRecord
	gate         *featuregate.Gate
	gateLogged   gateLog
}

// newGate returns the gate of a leadership, in the state of the leader record that the election has stored.
func (l *leadership) newGate() *featuregate.Gate {
	cfg := l.controller.env.cfg
	settings := featuregate.Settings{
		Version:             completionJournalVersion,
		Self:                cfg.Label,
		OwnStatement:        *readVersionStatement(l.controller.versionStatement()),
		TransactionsFit:     cfg.SupportsFeatureGate(),
		SettleTime:          cfg.LeaderLease(),
		OlderProgramTimeout: cfg.WorkerLease(),
		BackOff:             gatePauseLeases * cfg.WorkerLease(),
	}
	for _, sibling := range cfg.Siblings {
		settings.Peers = append(settings.Peers, sibling.Label)
	}
	return featuregate.New(settings, l.featureGate.storedRecord.gateState())
}

// versionStatement returns this controller's statement of the storage versions that it supports.
func (c *Controller) versionStatement() *protocol.VersionStatement {
	statement := &protocol.VersionStatement{Reads: uint64(newestStorageVersion), Hold: c.env.cfg.Operator.Upgrade.Hold}
	if c.env.cfg.Operator.EndJournal.Enabled {
		statement.Writes = uint64(completionJournalVersion)
	}
	return statement
}

// readVersionStatement converts the version statement of a peer's message. It returns nil for a message without a
// statement, which comes from a version of the program without the gate.
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

// recordVersionStatement passes the statement in a controller's heartbeat to the gate.
func (g *featureGateManager) recordVersionStatement(heartbeat *protocol.PeerHeartbeat) {
	g.gate.RecordStatement(g.env.now, heartbeat.From, heartbeat.Incarnation, readVersionStatement(heartbeat.Versions))
}

// tick executes the gate's next action. It does nothing while the leader may not decide.
func (g *featureGateManager) tick() {
	if !g.authority.mayDecide() {
		return
	}
	before := g.gate.State()
	action := g.gate.NextAction(g.env.now, before == featuregate.Closing && g.completions.isCompacted())
	g.reportGateState(before)
	if g.gate.State() == featuregate.Closing {
		g.completions.close()
	}
	g.executeAction(action)
}

// executeAction stores the gate's state that an action requests. Opening the gate also creates the key of the lease,
// and completing its closing deletes that key.
func (g *featureGateManager) executeAction(action featuregate.Action) {
	record := g.storedRecord
	switch action {
	case featuregate.NoAction:
	case featuregate.StoreOpen:
		record.StorageVersion, record.Closing = uint64(completionJournalVersion), false
		lease := protocol.Change{Put: keyLease, Value: leaseRecord{Token: g.lease.token}, Lease: g.lease.leaseID}
		g.storeGateState(record, &statestore.LeaderChange{Puts: []protocol.Change{lease}})
	case featuregate.StoreClosing:
		record.Closing = true
		g.storeGateState(record, &statestore.LeaderChange{})
	case featuregate.StoreClosed:
		record.StorageVersion, record.Closing = 0, false
		g.storeGateState(record, &statestore.LeaderChange{Deletes: []string{keyLease}})
	}
}

// storeGateState stores the leader key with a new state of the gate. The completion journal is opened once the open
// gate is durable.
func (g *featureGateManager) storeGateState(record leaderRecord, change *statestore.LeaderChange) {
	change.Entry = g.leaderEntry(record)
	change.OnApplied = func() {
		before := g.gate.State()
		g.storedRecord = record
		g.gate.ActionStored(g.env.now)
		g.reportGateState(before)
		if g.gate.MayWrite() {
			g.completions.open()
		}
	}
	change.OnRefused = func() {
		before := g.gate.State()
		g.gate.ActionRefused(g.env.now)
		g.reportGateState(before)
	}
	g.store.ChangeLeader(change)
}

// gateLog is the obstacle that was last logged for the gate, and the time of that log record.
type gateLog struct {
	obstacle featuregate.Obstacle
	at       time.Duration
}

// GateChange is a change of the feature gate's state, for operators.
type GateChange struct {
	Token    uint64        // of the leader
	At       time.Duration // on the monotonic clock
	From, To featuregate.State
	// Reason is the obstacle that keeps the gate from being open; "" if there is none.
	Reason string
	// Statements holds the last statements of the other controllers by label, for example
	// "reads 1, writes 1".
	Statements map[string]string
}

// reportGateState logs a change of the gate's state and reports it to the observer. It also logs a new obstacle to
// opening a gate that operators have enabled, at most once per worker lease.
func (g *featureGateManager) reportGateState(before featuregate.State) {
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
func (g *featureGateManager) statements() map[string]string {
	texts := map[string]string{}
	for label, statement := range g.gate.Statements() {
		texts[label] = statement.String()
	}
	return texts
}
