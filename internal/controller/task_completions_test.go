package controller

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/completionjournal"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// simulateFailover returns what a leader elected now would find: a leadership that has read the
// store.
func (u *upgradeWorld) simulateFailover() *leadership {
	core := New(u.cfgs[0], u.rng, u.nodes[0].controller.env.log)
	core.env.now = u.Now()
	rec, _ := u.stored()
	l := newLeadership(core, &rec, 1, 0)
	for _, prefix := range loadOrder(rec.storageVersion()) {
		var items []protocol.KeyValue
		for _, key := range u.state.Keys() {
			if strings.HasPrefix(key, prefix) {
				it := u.state.Item(key)
				items = append(items, protocol.KeyValue{Key: key, Value: it.Value, Version: it.Version})
			}
		}
		l.loader.loadRecords(items)
	}
	return l
}

// checkSimulatedFailover compares what a failover would find with what runs: each attempt that is
// on a machine is known there, and what was cleared from the workers' heartbeats is done. lost are
// tasks that were done on a machine that died with them: they may be unknown.
func (u *upgradeWorld) checkSimulatedFailover(lost map[string]bool) {
	l := u.simulateFailover()
	reported := maps.Clone(lost)
	for _, worker := range u.workers() {
		for name, task := range worker.Tasks {
			id, _, _ := strings.Cut(name, "@")
			if task.State == protocol.TaskExited {
				reported[id] = true
				continue
			}
			uid, index, _ := clusterstate.ParseTaskName(id)
			j, m := l.state.Jobs[uid], l.state.Machines[worker.ID]
			if j == nil || worker.Deleted {
				continue
			}
			if m == nil || m.Attempts[clusterstate.AttemptKey{Task: clusterstate.TaskName(uid, index), Attempt: task.Attempt}] == nil {
				u.violated("a failover does not know that %s, attempt %d, is on %s", id, task.Attempt, worker.ID)
			}
		}
	}
	for id := range u.finished {
		uid, index, _ := clusterstate.ParseTaskName(id)
		if j := l.state.Jobs[uid]; j != nil && !reported[id] && !j.IsDone(index) && !j.Spec.Service {
			u.violated("a failover does not know that %s is done, and nobody reports it", id)
		}
	}
}

// At each moment of a history with the journal a failover would find what it needs: while arrays
// end, machines die, leaders end, transactions are late and their answers lost.
func TestFailoverAtEachMoment(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			u := newUpgradeWorld(t, 500+seed, defaultTopology)
			u.openGate()
			u.interrupts = true
			turn, lost := 0, map[string]bool{}
			u.onStep = func(step gateStep, _ int) deliveryFault {
				turn++
				if step != journals || turn%3 != 0 {
					return deliveryFault{}
				}
				return deliveryFault{hold: u.randomMilliseconds(0, 2000), answerLost: turn%2 == 0}
			}
			for second := range 60 {
				for range 10 {
					u.run(tick)
					u.checkSimulatedFailover(lost)
				}
				switch second % 20 {
				case 7:
					u.endSoon(u.awaitLeader())
				case 17:
					for _, worker := range u.workers() {
						if !worker.Deleted && worker.Up && len(worker.Tasks) > 0 {
							for name := range worker.Tasks {
								id, _, _ := strings.Cut(name, "@")
								lost[id] = true
							}
							worker.Die()
							break
						}
					}
				}
			}
			if u.steps[journals] < 10 {
				t.Errorf("the journal was written %d times", u.steps[journals])
			}
			u.settleAndCheck()
		})
	}
}

// Journal entries that can't be decoded are logged and left where they are, and stop nothing else.
// Entries of no use are compacted away, and a machine's record that is newer than an entry takes
// precedence.
func TestDamagedJournal(t *testing.T) {
	u := newUpgradeWorld(t, 510, defaultTopology)
	u.openGate()
	u.run(10 * second)
	var logged bytes.Buffer
	u.logged = func(_ int, line []byte) { logged.Write(line) }
	for i := range u.nodes {
		u.crash(i)
	}
	u.run(second)
	store := func(key string, v any) { u.state.Change(key, &emulator.Item{Value: protocol.Encode(v)}) }
	good := func(token, number uint64, ends ...completionjournal.Entry) completionjournal.Value {
		return completionjournal.Encode(token, number, ends)
	}
	truncated, altered, later := good(1, 1, completionjournal.Entry{Job: "j-1"}), good(1, 2, completionjournal.Entry{Job: "j-1"}), good(1, 3)
	truncated.Body, altered.Sum, later.Form = truncated.Body[:4], altered.Sum+1, completionjournal.FormatVersion+1
	unreadable := []string{completionjournal.Key(1, 1), completionjournal.Key(1, 2), completionjournal.Key(1, 3), completionjournal.Key(1, 4), "g/1/five", "g/1/6"}
	for i, v := range []any{truncated, altered, later, good(2, 4), good(1, 5), "text"} {
		store(unreadable[i], v)
	}
	store(completionjournal.Key(1, 7), good(1, 7, completionjournal.Entry{Job: "j-999999"},
		completionjournal.Entry{Job: "j-999999", Machine: "i-999999", Attempt: 3}, completionjournal.Entry{Job: "j-1", Index: 99_999}))
	// A value that records that a replica has left, and the machine's record, which was written
	// after it.
	holder := u.machinesWithTasksOf("j-1")[0]
	var rec clusterstate.MachineRecord
	key := clusterstate.MachinePrefix + holder.ID
	if err := protocol.Decode(u.state.Item(key).Value, &rec); err != nil {
		t.Fatal(err)
	}
	at := slices.IndexFunc(rec.Attempts, func(e clusterstate.AttemptEntry) bool { return e.Job == "j-1" })
	store(completionjournal.Key(1, 8), good(1, 8, completionjournal.Entry{Job: "j-1", Index: rec.Attempts[at].Index, Machine: holder.ID, Attempt: rec.Attempts[at].Try}))
	store(key, rec)
	for i := range u.nodes {
		u.boot(i)
	}
	u.awaitLeader()
	u.run(60 * second)
	for _, key := range unreadable {
		if u.state.Item(key) == nil {
			t.Errorf("%s, which can't be decoded, is deleted", key)
		}
		if !strings.Contains(logged.String(), fmt.Sprintf("key=%s ", key)) {
			t.Errorf("%s is not logged", key)
		}
	}
	for _, n := range []uint64{7, 8} {
		if u.state.Item(completionjournal.Key(1, n)) != nil {
			t.Errorf("%s is still there", completionjournal.Key(1, n))
		}
	}
	if !strings.Contains(logged.String(), "unreadable=6") {
		t.Error("the number of unreadable values is not logged")
	}
	for _, task := range []string{"j-1/0", "j-1/1", "j-1/2", "j-1/3"} {
		if u.starts[task] > 1+u.moved[task] {
			t.Errorf("%s began %d times", task, u.starts[task])
		}
	}
	u.requireNoViolations()
}

// A leader record in an unknown form, or one that can't be decoded: nobody campaigns, users are
// told to retry later, and what is stored stays as it is.
func TestLeaderRecordFromTheFuture(t *testing.T) {
	for name, value := range map[string]any{
		"a later form":      leaderRecord{Label: "n9", Token: 40, StorageVersion: uint64(newestStorageVersion) + 1},
		"other than a map":  []int{1, 2},
		"fields of another": map[string]any{"l": 7, "n": "token"},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpgradeWorld(t, 520, defaultTopology)
			u.openGate()
			u.run(5 * second)
			for i := range u.nodes {
				u.crash(i)
			}
			u.run(10 * second)
			stored := protocol.Encode(value)
			u.logged = nil
			u.script = nil
			u.state.Change(keyLeader, &emulator.Item{Value: stored})
			for i := range u.nodes {
				u.boot(i)
			}
			u.run(5 * second)
			status := 0
			u.user(0, OpPoll, "j-1", func(s int, _ protocol.JobStatus) { status = s })
			u.run(3 * second)
			if u.leader() >= 0 || status != http.StatusServiceUnavailable || !bytes.Equal(u.state.Item(keyLeader).Value, stored) {
				t.Errorf("leader %d, answer %d", u.leader(), status)
			}
		})
	}
}

// The version statements of controllers keep the gate closed or close it; forms beyond the known
// ones do neither.
func TestStatementsOfForms(t *testing.T) {
	for _, c := range []struct {
		name      string
		statement *protocol.VersionStatement
		open      bool
	}{
		{"later forms", &protocol.VersionStatement{Reads: 99, Writes: 99}, true},
		{"reads less", &protocol.VersionStatement{}, false},
		{"does not write", &protocol.VersionStatement{Reads: 1}, false},
		{"writes what it does not read", &protocol.VersionStatement{Writes: 1}, false},
		{"holds", &protocol.VersionStatement{Reads: 1, Writes: 1, Hold: true}, false},
		{"nothing", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newUpgradeWorld(t, 530, defaultTopology)
			lead := u.awaitLeader()
			stating := (lead + 1) % 3
			u.script = func(node int, call Call) deliveryFault {
				// This controller never leads, and the test sends its heartbeats.
				return deliveryFault{lost: node == stating && (call.Path == "/heartbeat" || call.Path == "/leases")}
			}
			u.restartAll([]int{lead, stating, 3 - lead - stating}, newerOperator(""))
			for range 60 {
				u.run(tick * 5)
				if to := u.leader(); to >= 0 && to != stating {
					ask := protocol.PeerHeartbeat{From: label(stating), Incarnation: "x", Versions: c.statement}
					u.ask(to, Request{Op: OpPeerHeartbeat, Body: protocol.EncodePeer(ask)}, func(Reply) {})
				}
			}
			if lead := u.awaitLeader(); lead == stating {
				t.Fatal("the controller with the statement leads")
			}
			if u.gateIs("open") != c.open {
				t.Errorf("the gate is open %v", !c.open)
			}
		})
	}
}
