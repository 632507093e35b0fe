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

// simulateFailover returns the leadership of a hypothetical new leader that has loaded all records from the store at
// this moment.
func (u *upgradeWorld) simulateFailover() *leadership {
	controller := New(u.cfgs[0], u.rng, u.nodes[0].controller.env.log)
	controller.env.now = u.Now()
	rec, _ := u.storedLeaderRecord()
	l := newLeadership(controller, &rec, 1, 0)
	for _, prefix := range loadOrder(rec.storageVersion()) {
		var items []protocol.KeyValue
		for _, key := range u.state.Keys() {
			if strings.HasPrefix(key, prefix) {
				item := u.state.Item(key)
				items = append(items, protocol.KeyValue{Key: key, Value: item.Value, Version: item.Version})
			}
		}
		l.loader.loadRecords(items)
	}
	return l
}

// checkSimulatedFailover compares the records that a new leader would load with the state of the machines: each attempt
// that occupies a machine must be recorded for it, and each finished task that no worker reports any more must be
// recorded as done. The tasks in lost may be missing, because they finished on a machine that was terminated.
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
				u.recordViolation("the stored records lack %s, attempt %d, which runs on %s", id, task.Attempt, worker.ID)
			}
		}
	}
	for id := range u.completedTasks {
		uid, index, _ := clusterstate.ParseTaskName(id)
		if j := l.state.Jobs[uid]; j != nil && !reported[id] && !j.IsDone(index) && !j.Spec.Service {
			u.recordViolation("the stored records lack the completion of %s, and no worker reports it", id)
		}
	}
}

// TestSimulatedFailoverAtEachTick checks at each tick that a new leader would load complete records, with the
// completion journal on, while arrays complete, machines die, leaders crash, transactions are delayed and their replies
// are lost.
func TestSimulatedFailoverAtEachTick(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			u := newUpgradeWorld(t, 500+seed, defaultTopology)
			u.openGate()
			u.allowRestarts = true
			stepCount, lostTasks := 0, map[string]bool{}
			u.faultForStep = func(step gateStep, _ int) deliveryFault {
				stepCount++
				if step != stepWriteJournal || stepCount%3 != 0 {
					return deliveryFault{}
				}
				return deliveryFault{delay: u.randomMilliseconds(0, 2000), replyLost: stepCount%2 == 0}
			}
			for elapsed := range 60 {
				for range 10 {
					u.run(tick)
					u.checkSimulatedFailover(lostTasks)
				}
				switch elapsed % 20 {
				case 7:
					u.crashAndRestart(u.awaitLeader())
				case 17:
					for _, worker := range u.workers() {
						if !worker.Deleted && worker.Up && len(worker.Tasks) > 0 {
							for name := range worker.Tasks {
								id, _, _ := strings.Cut(name, "@")
								lostTasks[id] = true
							}
							worker.Terminate()
							break
						}
					}
				}
			}
			if u.steps[stepWriteJournal] < 10 {
				t.Errorf("the journal was written %d times, want at least 10", u.steps[stepWriteJournal])
			}
			u.settleAndCheck()
		})
	}
}

// TestDamagedJournal checks that journal values which cannot be decoded are logged and kept, and do not prevent the
// election of a leader. Entries for unknown jobs or machines are compacted, and a machine's record takes precedence
// over an older journal entry.
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
	store := func(key string, v any) { u.state.ForceChange(key, &emulator.Item{Value: protocol.Encode(v)}) }
	encodeValue := func(token, number uint64, ends ...completionjournal.Entry) completionjournal.Value {
		return completionjournal.Encode(token, number, ends)
	}
	truncated, altered, laterFormat := encodeValue(1, 1, completionjournal.Entry{Job: "j-1"}), encodeValue(1, 2, completionjournal.Entry{Job: "j-1"}), encodeValue(1, 3)
	truncated.Body, altered.Sum, laterFormat.Form = truncated.Body[:4], altered.Sum+1, completionjournal.FormatVersion+1
	unreadable := []string{completionjournal.Key(1, 1), completionjournal.Key(1, 2), completionjournal.Key(1, 3), completionjournal.Key(1, 4), "g/1/five", "g/1/6"}
	for i, v := range []any{truncated, altered, laterFormat, encodeValue(2, 4), encodeValue(1, 5), "text"} {
		store(unreadable[i], v)
	}
	store(completionjournal.Key(1, 7), encodeValue(1, 7, completionjournal.Entry{Job: "j-999999"},
		completionjournal.Entry{Job: "j-999999", Machine: "i-999999", Attempt: 3}, completionjournal.Entry{Job: "j-1", Index: 99_999}))
	// A journal entry states that a replica has left its machine; the machine's record, which was written later, still
	// holds the replica.
	machine := u.machinesWithTasksOf("j-1")[0]
	var rec clusterstate.MachineRecord
	key := clusterstate.MachinePrefix + machine.ID
	if err := protocol.Decode(u.state.Item(key).Value, &rec); err != nil {
		t.Fatal(err)
	}
	entry := slices.IndexFunc(rec.Attempts, func(e clusterstate.AttemptEntry) bool { return e.Job == "j-1" })
	store(completionjournal.Key(1, 8), encodeValue(1, 8, completionjournal.Entry{Job: "j-1", Index: rec.Attempts[entry].Index, Machine: machine.ID, Attempt: rec.Attempts[entry].Try}))
	store(key, rec)
	for i := range u.nodes {
		u.boot(i)
	}
	u.awaitLeader()
	u.run(60 * second)
	for _, key := range unreadable {
		if u.state.Item(key) == nil {
			t.Errorf("the undecodable journal value %s was deleted", key)
		}
		if !strings.Contains(logged.String(), fmt.Sprintf("key=%s ", key)) {
			t.Errorf("the undecodable journal value %s was not logged", key)
		}
	}
	for _, n := range []uint64{7, 8} {
		if u.state.Item(completionjournal.Key(1, n)) != nil {
			t.Errorf("the journal value %s was not deleted by compaction", completionjournal.Key(1, n))
		}
	}
	if !strings.Contains(logged.String(), "unreadable=6") {
		t.Error("the number of unreadable journal values was not logged")
	}
	for _, task := range []string{"j-1/0", "j-1/1", "j-1/2", "j-1/3"} {
		if u.startCounts[task] > 1+u.plannedStops[task] {
			t.Errorf("task %s started %d times", task, u.startCounts[task])
		}
	}
	u.requireNoViolations()
}

// TestUnknownLeaderRecord covers a leader record with an unknown storage version and one that cannot be decoded. No
// controller may campaign, users' requests get status 503, and the stored record stays unchanged.
func TestUnknownLeaderRecord(t *testing.T) {
	for name, value := range map[string]any{
		"a later version": leaderRecord{Label: "n9", Token: 40, StorageVersion: uint64(newestStorageVersion) + 1},
		"not a map":       []int{1, 2},
		"fields mistyped": map[string]any{"l": 7, "n": "token"},
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
			u.callFault = nil
			u.state.ForceChange(keyLeader, &emulator.Item{Value: stored})
			for i := range u.nodes {
				u.boot(i)
			}
			u.run(5 * second)
			status := 0
			u.user(0, OpPoll, "j-1", func(s int, _ protocol.JobStatus) { status = s })
			u.run(3 * second)
			if u.leader() >= 0 || status != http.StatusServiceUnavailable || !bytes.Equal(u.state.Item(keyLeader).Value, stored) {
				t.Errorf("leader %d, status %d, or the stored leader record has changed", u.leader(), status)
			}
		})
	}
}

// TestVersionStatements checks which version statements of a controller prevent the feature gate from opening. A
// statement of storage versions later than the known ones does not.
func TestVersionStatements(t *testing.T) {
	for _, c := range []struct {
		name      string
		statement *protocol.VersionStatement
		open      bool
	}{
		{"later versions", &protocol.VersionStatement{Reads: 99, Writes: 99}, true},
		{"reads less", &protocol.VersionStatement{}, false},
		{"does not write", &protocol.VersionStatement{Reads: 1}, false},
		{"writes what it does not read", &protocol.VersionStatement{Writes: 1}, false},
		{"holds", &protocol.VersionStatement{Reads: 1, Writes: 1, Hold: true}, false},
		{"no statement", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newUpgradeWorld(t, 530, defaultTopology)
			lead := u.awaitLeader()
			stating := (lead + 1) % 3
			u.callFault = func(node int, call Call) deliveryFault {
				// This controller cannot be elected, and the test sends its heartbeats.
				return deliveryFault{lost: node == stating && (call.Path == "/heartbeat" || call.Path == "/leases")}
			}
			u.restartAll([]int{lead, stating, 3 - lead - stating}, newerOperator(""))
			for range 60 {
				u.run(tick * 5)
				if to := u.leader(); to >= 0 && to != stating {
					heartbeat := protocol.PeerHeartbeat{From: controllerLabel(stating), Incarnation: "x", Versions: c.statement}
					u.sendRequest(to, Request{Op: OpPeerHeartbeat, Body: protocol.EncodePeer(heartbeat)}, func(Reply) {})
				}
			}
			if lead := u.awaitLeader(); lead == stating {
				t.Fatal("the controller whose statement is tested was elected")
			}
			if u.gateIs("open") != c.open {
				t.Errorf("gate open: %v", !c.open)
			}
		})
	}
}
