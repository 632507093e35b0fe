package controller

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"claybarrow/internal/completionjournal"
	"claybarrow/internal/config"
	"claybarrow/internal/protocol"
)

// upgradeWorld is a world whose controllers are upgraded one at a time under steady load, while it checks the
// invariants of the feature gate and the completion journal.
type upgradeWorld struct {
	*world
	// newerSince holds the time at which each controller started the newer version; 0 if it runs the older version.
	newerSince []time.Duration
	// operators holds the operators' settings of each controller; nil if it runs the older version.
	operators [][]byte
	// announced lists the controllers whose settings announce future limits of the state service.
	announced map[int]bool
	// faultForStep returns the fault for a transaction that changes the gate's state or the journal; nil if no faults
	// are injected.
	faultForStep func(step gateStep, node int) deliveryFault
	steps        map[gateStep]int // number of transactions sent, by step
	// states lists the states of the gate in the order in which the leader key had them.
	states          []string
	submittedArrays int
	// plannedStops counts, by task, how often the scheduler stopped the task to drain its machine or to preempt it.
	// Such a task may be started once more for each stop.
	plannedStops map[string]int
	// allowRestarts allows tasks to be started again, because the test lets workers' leases expire.
	allowRestarts bool
}

// gateStep is the effect of a transaction on the gate or the journal.
type gateStep string

const (
	stepNone          gateStep = ""
	stepOpenGate      gateStep = "opens"
	stepBeginClosing  gateStep = "begins to close"
	stepCloseGate     gateStep = "closes"
	stepElect         gateStep = "elects"
	stepWriteJournal  gateStep = "writes the journal"
	stepDeleteJournal gateStep = "deletes from the journal"
	arrayInterval              = 3 * time.Second
	arrayTaskRunTime           = 5 * time.Second
)

var fiveControllerTopology = topology{controllers: []string{"a", "b", "a", "b", "a"}, zones: []string{"a", "b"}, teams: defaultTopology.teams}

// newerOperator returns the operators' settings of the newer version, followed by more.
func newerOperator(more string) []byte {
	if os.Getenv("CLAYBARROW_TEST_MEMBERSHIP") != "" {
		more += membershipOn
	}
	return []byte(endJournalOn + more)
}

const holdGateSettings = "[upgrade]\nhold = true\n"

// newUpgradeWorld creates a world with controllers of the older version, running replicas, and an array submitted every
// arrayInterval.
func newUpgradeWorld(t *testing.T, seed uint64, shape topology) *upgradeWorld {
	t.Helper()
	u := &upgradeWorld{world: newWorldWithTopology(t, seed, nil, shape), newerSince: make([]time.Duration, len(shape.controllers)),
		operators: make([][]byte, len(shape.controllers)), steps: map[gateStep]int{}, plannedStops: map[string]int{}, announced: map[int]bool{}}
	w := u.world
	w.runTime = func(string) time.Duration { return arrayTaskRunTime }
	w.logged = u.handleLogLine
	w.callFault = u.fault
	for i := range w.nodes {
		u.restart(i, nil)
	}
	u.monitorStore()
	w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true, "cores": 2.0})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	u.submitArrays()
	w.run(3 * arrayInterval)
	return u
}

// handleLogLine reports unreadable records and counts planned stops in a log line of a controller.
func (u *upgradeWorld) handleLogLine(node int, line []byte) {
	if bytes.Contains(line, []byte("stored record is unreadable")) {
		u.recordViolation("n%d: %s", node, line)
	}
	planned := bytes.Contains(line, []byte("reason=consolidation")) || bytes.Contains(line, []byte("reason=preempted"))
	if !planned || !bytes.Contains(line, []byte("msg=\"stop requested\"")) {
		return
	}
	for field := range strings.FieldsSeq(string(line)) {
		if task, found := strings.CutPrefix(field, "task="); found {
			u.plannedStops[task]++
		}
	}
}

// submitArrays submits a small array every arrayInterval until the world settles.
func (u *upgradeWorld) submitArrays() {
	var submitNext func()
	submitNext = func() {
		if u.faultsEndedAt != 0 {
			return
		}
		u.submittedArrays++
		u.submit(fmt.Sprintf("j-%d", 1000+u.submittedArrays), map[string]any{"shards": 3, "cores": 1.0, "owner": []string{"red", "blue"}[u.submittedArrays%2]})
		u.after(arrayInterval, submitNext)
	}
	submitNext()
}

// restart crashes a controller and starts the newer version with the given operators' settings, or the older version if
// operator is nil.
func (u *upgradeWorld) restart(i int, operator []byte) {
	u.crash(i)
	u.newerSince[i], u.operators[i] = 0, operator
	if operator != nil {
		u.newerSince[i] = u.Now()
	}
	u.cfgs[i] = testConfig(u.t, u.topology, i, operator)
	if u.announced[i] {
		u.cfgs[i].Cluster.State.Next = &config.NextState{ValueKB: 2, TxnOps: 10, WriteRPS: 35}
	}
	u.nodes[i].withoutProbes, u.nodes[i].withoutGate = operator == nil, operator == nil
	u.boot(i)
}

// restartAll restarts the controllers in the given order, one at a time.
func (u *upgradeWorld) restartAll(order []int, operator []byte) {
	for _, i := range order {
		u.restart(i, operator)
		u.run(4 * second)
	}
}

// orderWithLeaderAt returns all controllers in an order in which the current leader has the given position.
func (u *upgradeWorld) orderWithLeaderAt(position int) []int {
	lead := u.awaitLeader()
	var order []int
	for i := range u.nodes {
		if i != lead {
			order = append(order, i)
		}
	}
	return slices.Insert(order, position, lead)
}

// fault inspects each transaction that is sent to the state service, and returns the fault to inject for it.
func (u *upgradeWorld) fault(node int, c Call) deliveryFault {
	if c.Target != ToState || c.Path != "/multi" {
		return deliveryFault{}
	}
	step := u.stepOf(c.Body)
	if step == stepNone {
		return deliveryFault{}
	}
	u.steps[step]++
	if step == stepOpenGate {
		for i, since := range u.newerSince {
			if since == 0 || u.Now() < since+u.cfgs[i].LeaderLease() {
				u.recordViolation("the gate opens while n%d runs the older version, or has run the newer one for less than a leader lease", i)
			}
		}
	}
	if u.faultForStep != nil {
		return u.faultForStep(step, node)
	}
	return deliveryFault{}
}

// stepOf returns the effect of an encoded transaction on the gate or the journal.
func (u *upgradeWorld) stepOf(body []byte) gateStep {
	var txn struct {
		Then []struct {
			Put    string             `msgpack:"put"`
			Value  msgpack.RawMessage `msgpack:"data"`
			Delete string             `msgpack:"delete"`
		} `msgpack:"apply"`
	}
	if err := protocol.Decode(body, &txn); err != nil {
		u.t.Fatal(err)
	}
	step := stepNone
	for _, change := range txn.Then {
		var rec leaderRecord
		switch {
		case change.Put == keyCounter:
			return stepElect
		case change.Put == keyLease:
			return stepOpenGate
		case change.Delete == keyLease:
			return stepCloseGate
		case change.Put == keyLeader && protocol.Decode(change.Value, &rec) == nil && rec.Closing:
			step = stepBeginClosing
		case strings.HasPrefix(change.Delete, completionjournal.Prefix) && step == stepNone:
			step = stepDeleteJournal
		case strings.HasPrefix(change.Put, completionjournal.Prefix) && step == stepNone:
			step = stepWriteJournal
		}
	}
	return step
}

// storedLeaderRecord returns the stored leader record and the lease of its key.
func (u *upgradeWorld) storedLeaderRecord() (rec leaderRecord, lease uint64) {
	item := u.state.Item(keyLeader)
	if item == nil {
		return rec, 0
	}
	if protocol.Decode(item.Value, &rec) != nil {
		rec = leaderRecord{StorageVersion: unreadableStorageVersion}
	}
	return rec, item.Lease
}

func (u *upgradeWorld) gateIs(state string) bool {
	rec, _ := u.storedLeaderRecord()
	return rec.gateState().String() == state
}

// journalKeys returns the stored keys of the completion journal.
func (u *upgradeWorld) journalKeys() (keys []string) {
	for _, key := range u.state.Keys() {
		if strings.HasPrefix(key, completionjournal.Prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// monitorStore checks the stored keys at each tick: the journal exists only while the leader record prevents the
// election of an older version, and no older version leads while the gate is not closed.
func (u *upgradeWorld) monitorStore() {
	var check func()
	check = func() {
		rec, lease := u.storedLeaderRecord()
		if rec.StorageVersion == 0 && len(u.journalKeys()) > 0 {
			u.recordViolation("the journal is stored while an older version can be elected: %v", u.journalKeys())
		}
		if rec.Token != 0 && (rec.StorageVersion == 0) != (lease != 0) {
			u.recordViolation("leader record of storage version %d has the lease %d", rec.StorageVersion, lease)
		}
		if state := rec.gateState().String(); rec.Token != 0 && (len(u.states) == 0 || u.states[len(u.states)-1] != state) {
			u.states = append(u.states, state)
		}
		for i, n := range u.nodes {
			if n.alive && n.withoutGate && n.controller.leadership != nil && n.controller.leadership.lease.holdsLease() && rec.StorageVersion != 0 {
				u.recordViolation("n%d runs the older version and leads while the gate is %s", i, rec.gateState())
			}
		}
		u.after(tick, check)
	}
	check()
}

// settleAndCheck ends the faults, waits for the outcome of all submitted jobs, and checks that no task was restarted
// unexpectedly.
func (u *upgradeWorld) settleAndCheck() {
	u.t.Helper()
	u.faultForStep = nil
	callFault := u.callFault
	u.settle()
	u.callFault = callFault
	if u.allowRestarts {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(u.startCounts)) {
		if n := u.startCounts[task]; n > 1+u.plannedStops[task] {
			u.t.Errorf("task %s started %d times", task, n)
		}
	}
}

// openGate upgrades all controllers and waits until the gate is open.
func (u *upgradeWorld) openGate() {
	u.t.Helper()
	u.restartAll(u.orderWithLeaderAt(0), newerOperator(""))
	u.until(30*second, "the gate is open", func() bool { return u.gateIs("open") })
}
