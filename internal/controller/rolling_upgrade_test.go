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

// rollout is a world whose controllers are upgraded one at a time under steady load, together with
// the invariants that hold at all times.
type rollout struct {
	*world
	// newerSince is the time since which each controller runs the newer version; 0: it runs the
	// older one.
	newerSince []time.Duration
	// operators are the operators' settings of each controller; nil: it runs the older version.
	operators [][]byte
	// announced are the controllers whose settings name future limits.
	announced map[int]bool
	// onStep returns the fault for a transaction that changes the state of the gate, or the
	// journal; nil: there are no faults.
	onStep func(step gateStep, node int) deliveryFault
	steps  map[gateStep]int // transactions sent so far
	// states are the states of the gate that the leader key has had, in their order.
	states []string
	jobs   int
	// moved counts how often the scheduler stopped a task by its own plan, to drain its machine or
	// to preempt it: that loses nothing.
	moved map[string]int
	// interrupts: tasks may be started again, as workers' leases expire.
	interrupts bool
}

// gateStep is the effect of a transaction on the gate or the journal.
type gateStep string

const (
	noStep    gateStep = ""
	opens     gateStep = "opens"
	closes    gateStep = "begins to close"
	closed    gateStep = "closes"
	elects    gateStep = "elects"
	journals  gateStep = "writes the journal"
	deletes   gateStep = "deletes from the journal"
	loadEvery          = 3 * time.Second
	loadRuns           = 5 * time.Second
)

var wideShape = topology{controllers: []string{"a", "b", "a", "b", "a"}, zones: []string{"a", "b"}, teams: defaultTopology.teams}

// newerOperator returns the operators' settings of the newer version.
func newerOperator(more string) []byte {
	if os.Getenv("CLAYBARROW_TEST_MEMBERSHIP") != "" {
		more += membershipOn
	}
	return []byte(endJournalOn + more)
}

const holdOn = "[upgrade]\nhold = true\n"

// newRollout creates a world of older controllers, with replicas and a steady sequence of arrays.
func newRollout(t *testing.T, seed uint64, shape topology) *rollout {
	t.Helper()
	ro := &rollout{world: newWorldWithTopology(t, seed, nil, shape), newerSince: make([]time.Duration, len(shape.controllers)),
		operators: make([][]byte, len(shape.controllers)), steps: map[gateStep]int{}, moved: map[string]int{}, announced: map[int]bool{}}
	w := ro.world
	w.runs = func(string) time.Duration { return loadRuns }
	w.logged = ro.readLog
	w.script = ro.fault
	for i := range w.nodes {
		ro.restart(i, nil)
	}
	ro.watchStore()
	w.awaitLeader()
	w.submit("j-1", map[string]any{"shape": "service", "shards": 4, "apart": true, "cores": 2.0})
	w.until(90*second, "replicas run", func() bool { return w.running("j-1") == 4 })
	ro.submitArrays()
	w.run(3 * loadEvery)
	return ro
}

// readLog handles a line that a controller logs.
func (ro *rollout) readLog(node int, line []byte) {
	if bytes.Contains(line, []byte("stored record is unreadable")) {
		ro.violated("n%d: %s", node, line)
	}
	planned := bytes.Contains(line, []byte("reason=consolidation")) || bytes.Contains(line, []byte("reason=preempted"))
	if !planned || !bytes.Contains(line, []byte("msg=\"stop requested\"")) {
		return
	}
	for field := range strings.FieldsSeq(string(line)) {
		if task, is := strings.CutPrefix(field, "task="); is {
			ro.moved[task]++
		}
	}
}

// submitArrays submits a small array every few seconds.
func (ro *rollout) submitArrays() {
	var next func()
	next = func() {
		if ro.calmSince != 0 {
			return
		}
		ro.jobs++
		ro.submit(fmt.Sprintf("j-%d", 1000+ro.jobs), map[string]any{"shards": 3, "cores": 1.0, "owner": []string{"red", "blue"}[ro.jobs%2]})
		ro.at(loadEvery, next)
	}
	next()
}

// restart ends a controller's process and starts the version with these operators' settings; nil:
// the older one.
func (ro *rollout) restart(i int, operator []byte) {
	ro.crash(i)
	ro.newerSince[i], ro.operators[i] = 0, operator
	if operator != nil {
		ro.newerSince[i] = ro.Now()
	}
	ro.cfgs[i] = testConfig(ro.t, ro.topology, i, operator)
	if ro.announced[i] {
		ro.cfgs[i].Cluster.State.Next = &config.NextState{ValueKB: 2, TxnOps: 10, WriteRPS: 35}
	}
	ro.nodes[i].older, ro.nodes[i].withoutGate = operator == nil, operator == nil
	ro.boot(i)
}

// restartAll restarts controllers one after the other.
func (ro *rollout) restartAll(order []int, operator []byte) {
	for _, i := range order {
		ro.restart(i, operator)
		ro.run(4 * second)
	}
}

// leaderAt orders the controllers so that the current leader has the given place among them.
func (ro *rollout) leaderAt(place int) []int {
	lead := ro.awaitLeader()
	var order []int
	for i := range ro.nodes {
		if i != lead {
			order = append(order, i)
		}
	}
	return slices.Insert(order, place, lead)
}

// fault inspects each transaction on its way to the state service and returns its fault.
func (ro *rollout) fault(node int, c Call) deliveryFault {
	if c.Target != ToState || c.Path != "/multi" {
		return deliveryFault{}
	}
	step := ro.stepOf(c.Body)
	if step == noStep {
		return deliveryFault{}
	}
	ro.steps[step]++
	if step == opens {
		for i, since := range ro.newerSince {
			if since == 0 || ro.Now() < since+ro.cfgs[i].LeaderTTL() {
				ro.violated("the gate opens while n%d is of the older version, or has just been upgraded", i)
			}
		}
	}
	if ro.onStep != nil {
		return ro.onStep(step, node)
	}
	return deliveryFault{}
}

// stepOf returns the effect of a transaction on the gate or the journal.
func (ro *rollout) stepOf(body []byte) gateStep {
	var txn struct {
		Then []struct {
			Put    string             `msgpack:"put"`
			Value  msgpack.RawMessage `msgpack:"data"`
			Delete string             `msgpack:"delete"`
		} `msgpack:"apply"`
	}
	if err := protocol.Decode(body, &txn); err != nil {
		ro.t.Fatal(err)
	}
	step := noStep
	for _, change := range txn.Then {
		var rec leaderRecord
		switch {
		case change.Put == keyCounter:
			return elects
		case change.Put == keyLease:
			return opens
		case change.Delete == keyLease:
			return closed
		case change.Put == keyLeader && protocol.Decode(change.Value, &rec) == nil && rec.Closing:
			step = closes
		case strings.HasPrefix(change.Delete, completionjournal.Prefix) && step == noStep:
			step = deletes
		case strings.HasPrefix(change.Put, completionjournal.Prefix) && step == noStep:
			step = journals
		}
	}
	return step
}

// stored returns the stored leader record and its lease.
func (ro *rollout) stored() (rec leaderRecord, lease uint64) {
	it := ro.state.Item(keyLeader)
	if it == nil {
		return rec, 0
	}
	if protocol.Decode(it.Value, &rec) != nil {
		rec = leaderRecord{StorageVersion: unreadableStorageVersion}
	}
	return rec, it.Lease
}

func (ro *rollout) gateIs(state string) bool {
	rec, _ := ro.stored()
	return rec.gateState().String() == state
}

// journalKeys returns the stored values of the journal.
func (ro *rollout) journalKeys() (out []string) {
	for _, key := range ro.state.Keys() {
		if strings.HasPrefix(key, completionjournal.Prefix) {
			out = append(out, key)
		}
	}
	return out
}

// watchStore checks the store at each tick: the journal exists only while no older version can
// lead, and no older version leads while it exists.
func (ro *rollout) watchStore() {
	var look func()
	look = func() {
		rec, lease := ro.stored()
		if rec.StorageVersion == 0 && len(ro.journalKeys()) > 0 {
			ro.violated("the journal is stored while an older version may lead: %v", ro.journalKeys())
		}
		if rec.Token != 0 && (rec.StorageVersion == 0) != (lease != 0) {
			ro.violated("form %d with the lease %d", rec.StorageVersion, lease)
		}
		if state := rec.gateState().String(); rec.Token != 0 && (len(ro.states) == 0 || ro.states[len(ro.states)-1] != state) {
			ro.states = append(ro.states, state)
		}
		for i, n := range ro.nodes {
			if n.alive && n.withoutGate && n.controller.leadership != nil && n.controller.leadership.lease.holdsLease() && rec.StorageVersion != 0 {
				ro.violated("n%d of the older version leads with the gate %s", i, rec.gateState())
			}
		}
		ro.at(tick, look)
	}
	look()
}

// settleAndCheck ends the faults and checks the outcome of everything that was submitted.
func (ro *rollout) settleAndCheck() {
	ro.t.Helper()
	ro.onStep = nil
	restore := ro.script
	ro.settle()
	ro.script = restore
	if ro.interrupts {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(ro.starts)) {
		if n := ro.starts[task]; n > 1+ro.moved[task] {
			ro.t.Errorf("%s began %d times", task, n)
		}
	}
}

// openGate upgrades all controllers and waits until the gate is open.
func (ro *rollout) openGate() {
	ro.t.Helper()
	ro.restartAll(ro.leaderAt(0), newerOperator(""))
	ro.until(30*second, "the gate is open", func() bool { return ro.gateIs("open") })
}
