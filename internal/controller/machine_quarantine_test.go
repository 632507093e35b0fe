package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// newWorldWithMachines creates a world whose cloud rents the given number of machines, all in zone a, and no more.
func newWorldWithMachines(t *testing.T, seed uint64, machines int) *world {
	t.Helper()
	w := newWorld(t, seed)
	w.cloud.Capacity = map[emulator.Pool]int{{Type: "m8", Zone: "a"}: machines}
	return w
}

// occupyMachines submits the service j-1 with a replica on each machine, so that no machine becomes idle, and waits until all
// replicas run.
func (w *world) occupyMachines(machines int) {
	w.t.Helper()
	w.submit("j-1", map[string]any{"shape": "service", "shards": machines, "cores": 5.0, "rank": "production"})
	w.until(90*second, "the replicas of j-1 run", func() bool { return w.running("j-1") == machines })
}

// submitMistakenJobs submits jobs of one task each that fail on every machine, with the given changes, and returns their
// ids.
func (w *world) submitMistakenJobs(jobs int, change map[string]any) []string {
	mistaken := map[string]bool{}
	var ids []string
	for i := range jobs {
		uid := fmt.Sprintf("j-9%03d", i)
		mistaken[uid] = true
		ids = append(ids, uid)
	}
	w.failTasks(mistaken, nil)
	for _, uid := range ids {
		spec := map[string]any{"owner": "blue", "rank": "idle", "cores": 0.5, "ramGb": 0.5}
		for name, value := range change {
			spec[name] = value
		}
		w.submit(uid, spec)
	}
	return ids
}

// quarantined lists the machines whose circuit breaker is not closed.
func (w *world) quarantined() []*clusterstate.Machine {
	var list []*clusterstate.Machine
	for _, m := range w.leadership().machines.sortedMachines() {
		if m.Faults.IsQuarantined() {
			list = append(list, m)
		}
	}
	return list
}

// Guards against machines that stay quarantined for good: three mistaken jobs fail on both machines of a fleet that
// can't grow, and are cancelled. A service that is submitted afterwards starts, because no evidence is left against the
// machines.
func TestCancelledJobsLeaveNoMachineQuarantined(t *testing.T) {
	w := newWorldWithMachines(t, 93, 2)
	w.occupyMachines(2)
	mistaken := w.submitMistakenJobs(3, nil)
	w.until(30*second, "each job has failed on both machines", func() bool { return w.failures >= 6 })
	w.run(8 * second)
	for _, uid := range mistaken {
		w.cancel(uid)
		w.awaitStatus(20*second, uid, protocol.JobCancelled)
	}
	w.submit("j-2", map[string]any{"shape": "service", "shards": 2, "cores": 2.0, "rank": "production"})
	w.until(maxWaitTime, "the replicas of j-2 run", func() bool { return w.running("j-2") == 2 })
	w.settle()
}

// Guards against work that waits behind mistaken jobs that nobody cancels, where all machines in reach are too few to
// tell by their number that the jobs are at fault: one machine, or two. Each shape of job starts within the time that a
// job may wait.
func TestMistakenJobsThatStayLeaveRoomForOthers(t *testing.T) {
	for _, machines := range []int{1, 2} {
		for name, change := range map[string]map[string]any{
			"service": {"shape": "service", "shards": machines, "cores": 2.0, "rank": "production"},
			"array":   {"shards": 2 * machines, "cores": 1.0},
			"gang":    {"shape": "group", "shards": 2 * machines, "cores": 1.0},
		} {
			t.Run(fmt.Sprintf("%s on %d machines", name, machines), func(t *testing.T) {
				w := newWorldWithMachines(t, 94, machines)
				w.occupyMachines(machines)
				mistaken := w.submitMistakenJobs(4, nil)
				w.until(30*second, "a machine is quarantined", func() bool { return len(w.quarantined()) > 0 })
				if n := len(w.quarantined()); n > 1 {
					t.Errorf("%d machines are quarantined on suspicion", n)
				}
				w.submit("j-2", change)
				w.until(maxWaitTime, "j-2 has begun", func() bool { return w.running("j-2") > 0 || w.lastReplies["j-2"] == protocol.JobDone })
				w.run(maxWaitTime)
				if n := len(w.quarantined()); n > 0 {
					t.Errorf("%d machines are quarantined although others' tasks succeed there", n)
				}
				for _, uid := range mistaken {
					w.cancel(uid)
				}
				w.settle()
			})
		}
	}
}

// Guards against work that waits a quarantine long for each of the mistaken jobs before it in the queue, where all of
// them can use a single machine only: a probe of a machine that is only suspected keeps no other job from probing it.
func TestWorkBehindMistakenJobsOnOneMachine(t *testing.T) {
	for name, test := range map[string]struct {
		cores     float64
		fetchTime time.Duration
	}{"room for one of them": {3, testSite.fetchTime}, "room for all, slow image": {0.25, 8 * second}} {
		t.Run(name, func(t *testing.T) {
			w := newWorldWithMachines(t, 102, 1)
			w.fetchTime = func(string) time.Duration { return test.fetchTime }
			w.occupyMachines(1)
			const mistakenJobs = 12
			mistaken := w.submitMistakenJobs(mistakenJobs, map[string]any{"rank": "normal", "shards": 3, "cores": test.cores})
			w.until(60*second, "the machine is quarantined", func() bool { return len(w.quarantined()) == 1 })
			w.submit("j-2", map[string]any{"shards": 2, "cores": 1.0})
			w.until(maxWaitTime, "j-2 has begun", func() bool { return w.running("j-2") > 0 })
			for _, uid := range mistaken {
				w.cancel(uid)
			}
			w.settle()
		})
	}
}

// Mistaken jobs bound to a zone with a single machine don't close that machine for the zone's other jobs, while the rest
// of the fleet is idle enough to take all other work.
func TestMistakenJobsInZoneWithOneMachine(t *testing.T) {
	w := newWorld(t, 95)
	w.cloud.Capacity = map[emulator.Pool]int{{Type: "m8", Zone: "a"}: 3, {Type: "m8", Zone: "b"}: 1}
	w.submit("j-1", map[string]any{"shape": "service", "cores": 2.0, "yard": "b"})
	w.until(90*second, "j-1 runs", func() bool { return w.running("j-1") == 1 })
	w.submitMistakenJobs(3, map[string]any{"yard": "b"})
	w.until(30*second, "the machine is quarantined", func() bool { return len(w.quarantined()) == 1 })
	w.submit("j-2", map[string]any{"shape": "service", "cores": 2.0, "yard": "b"})
	w.until(maxWaitTime, "j-2 runs", func() bool { return w.running("j-2") == 1 })
	w.run(maxWaitTime)
	if n := len(w.quarantined()); n > 0 {
		t.Errorf("%d machines are quarantined although the replica of j-2 runs there", n)
	}
}

// Many mistaken jobs at once in a larger fleet quarantine a tenth of its machines at most, and none once the failures
// are attributed to the jobs.
func TestManyMistakenJobsAtOnce(t *testing.T) {
	w := newWorldWithTopology(t, 96, testOperator, topology{controllers: []string{"a", "a", "b"}, zones: []string{"a", "b"},
		teams: `{"name":"red","cpus":200,"cpus_max":400},{"name":"blue","cpus":8,"cpus_max":64}`})
	const machines = 30
	w.submit("j-1", map[string]any{"shape": "service", "shards": machines, "cores": 5.0})
	w.until(120*second, "the replicas of j-1 run", func() bool { return w.running("j-1") == machines })
	const mistakenJobs = 60
	w.submitMistakenJobs(mistakenJobs, nil)
	most := 0
	w.until(120*second, "the failures of all jobs are attributed to them", func() bool {
		most = max(most, len(w.quarantined()))
		atFault := 0
		for _, j := range w.leadership().state.Jobs {
			if j.Failures.IsJobFault {
				atFault++
			}
		}
		return atFault == mistakenJobs
	})
	if most == 0 || most > machines/quarantinedShareDivisor {
		t.Errorf("%d of %d machines quarantined at once", most, machines)
	}
	if n := len(w.quarantined()); n > 0 {
		t.Errorf("%d machines are quarantined and no evidence is left", n)
	}
}

// On suspicion alone at most a tenth of the fleet, of each zone and of each type is quarantined, and one machine at least;
// machines that are not up don't count. A confirmed fault is not bounded.
func TestBoundOnQuarantinedShare(t *testing.T) {
	w := newWorld(t, 107)
	w.run(5 * second)
	l := w.leadership()
	add := func(n int, zone, typ string, up bool) (added []*clusterstate.Machine) {
		for range n {
			m := l.state.AddMachine(fmt.Sprintf("i-9%05d", len(l.state.Machines)))
			m.Zone, m.Type, m.EverReported = zone, typ, up
			added = append(added, m)
		}
		return added
	}
	large := add(40, "a", "m8", true)
	other := add(20, "b", "g8", true)
	otherType := add(3, "a", "g96", true)
	add(100, "b", "g8", false)
	suspect := func(machines []*clusterstate.Machine) int {
		quarantined := 0
		for _, m := range machines {
			for _, uid := range []string{"j-1", "j-2", "j-3"} {
				m.Faults.AddSuspect(uid, l.controller.env.now)
			}
			l.quarantine.onEvidenceChanged(m, quarantineWithdrawn)
			if m.Faults.IsQuarantined() {
				quarantined++
			}
		}
		return quarantined
	}
	if n := suspect(otherType); n != 1 {
		t.Errorf("%d of 3 machines of a type quarantined, want 1", n)
	}
	if n := suspect(other); n != 2 {
		t.Errorf("%d of 20 machines of a zone quarantined, want 2", n)
	}
	if n := suspect(large); n != 3 {
		t.Errorf("%d of 40 machines quarantined beside 3 of 23 others, want 3, as 6 of 63 are the most", n)
	}
	withheld := large[len(large)-1]
	if !withheld.Faults.Withheld {
		t.Error("the last machine is not marked as one that is not quarantined for the bound")
	}
	if failedAt, suspected := withheld.Faults.ConfirmSuspect("j-1"); !suspected {
		t.Errorf("j-1 is no suspect: %+v", withheld.Faults)
	} else if l.quarantine.onConfirmed(withheld, failedAt); !withheld.Faults.IsQuarantined() {
		t.Error("a confirmed fault is not quarantined beyond the bound")
	}
}

// A job that may run on one type or in one zone only has no untried machine once it has failed on all of these, whatever
// else the fleet has.
func TestUntriedMachines(t *testing.T) {
	w := newWorldWithMachines(t, 108, 2)
	w.occupyMachines(2)
	w.submit("j-2", map[string]any{"cores": 3.0, "shape": "group", "shards": 3})
	w.run(5 * second)
	l := w.leadership()
	j, machines := l.state.Jobs["j-2"], l.machines.sortedMachines()
	tried := map[string]time.Duration{machines[0].ID: second}
	for _, test := range []struct {
		name    string
		change  func(m *clusterstate.Machine)
		untried bool
	}{
		{"same type and zone", func(*clusterstate.Machine) {}, true},
		{"another type", func(m *clusterstate.Machine) { m.Type = "g8" }, false},
		{"another zone", func(m *clusterstate.Machine) { m.Zone = "b" }, false},
		{"too small", func(m *clusterstate.Machine) { m.Size.Cores = 2 }, false},
		{"being released", func(m *clusterstate.Machine) { m.Releasing = true }, false},
		{"not up yet", func(m *clusterstate.Machine) { m.EverReported = false }, false},
	} {
		j.Types, j.Spec.Zone = map[string]bool{"m8": true}, "a"
		former := *machines[1]
		test.change(machines[1])
		if got := l.failures.hasUntriedMachine(j, tried); got != test.untried {
			t.Errorf("%s: an untried machine: %v", test.name, got)
		}
		*machines[1] = former
	}
}

// A faulty machine that is one of two, never becomes idle and is never replaced stays quarantined but for single tasks:
// what finds room on the other machine never meets it, and of the work that has no other room one task fails in each
// quarantine. Once the machine works again it gets work again.
func TestFaultyMachineOfTwo(t *testing.T) {
	w := newWorldWithMachines(t, 97, 2)
	w.runTime = func(string) time.Duration { return 5 * second }
	w.occupyMachines(2)
	faulty := w.workers()[0].ID
	w.failTasks(nil, map[string]bool{faulty: true})
	for i := range 4 {
		w.submit(fmt.Sprintf("j-2%d", i), map[string]any{"shards": 3, "cores": 1.0})
	}
	for i := range 4 {
		w.awaitStatus(200*second, fmt.Sprintf("j-2%d", i), protocol.JobDone)
	}
	if list := w.quarantined(); len(list) != 1 || list[0].ID != faulty {
		t.Fatalf("quarantined after %d failures: %v", w.failures, list)
	}
	before := w.failures
	for i := range 4 {
		w.submit(fmt.Sprintf("j-3%d", i), map[string]any{"shards": 2, "cores": 1.0})
		w.awaitStatus(60*second, fmt.Sprintf("j-3%d", i), protocol.JobDone)
	}
	if w.failures != before {
		t.Errorf("%d tasks failed that had room on the other machine", w.failures-before)
	}
	w.submit("j-4", map[string]any{"shape": "service", "shards": 2, "cores": 3.0})
	w.until(30*second, "one replica of j-4 runs", func() bool { return w.running("j-4") == 1 })
	before = w.failures
	w.run(120 * second)
	if n := w.failures - before; n > 120/10 {
		t.Errorf("%d probes failed in 12 worker leases", n)
	}
	w.failTasks(nil, map[string]bool{})
	w.until(maxWaitTime, "the second replica runs", func() bool { return w.running("j-4") == 2 })
	w.until(maxWaitTime, "the machine is readmitted", func() bool { return len(w.quarantined()) == 0 })
	w.settle()
}

// A faulty machine that nobody can tell from mistaken jobs, as there is no room where they could succeed, costs each job
// that has no other room one task in cancel_s, and all of them begin in time once there is room elsewhere.
func TestFaultyMachineWithoutAlternative(t *testing.T) {
	w := newWorldWithMachines(t, 105, 2)
	w.occupyMachines(2)
	faulty := w.workers()[0].ID
	w.failTasks(nil, map[string]bool{faulty: true})
	w.submit("j-3", map[string]any{"shape": "service", "cores": 3.0})
	w.until(30*second, "j-3 fills the other machine", func() bool { return w.running("j-3") == 1 })
	before := w.failures
	const jobs = 6
	for i := range jobs {
		w.submit(fmt.Sprintf("j-2%d", i), map[string]any{"cores": 0.5, "shards": 4})
	}
	w.run(4 * cancelTimeout)
	if n := w.failures - before; n < jobs || n > 5*jobs {
		t.Errorf("%d tasks of %d jobs failed in four times cancel_s", n, jobs)
	}
	w.cancel("j-3")
	w.until(maxWaitTime, "all jobs have begun", func() bool {
		begun := 0
		for i := range jobs {
			if uid := fmt.Sprintf("j-2%d", i); w.running(uid) > 0 || w.completedTasks[uid+"/0"] {
				begun++
			}
		}
		return begun == jobs
	})
	w.settle()
}

// Evidence does not outlive a failover: the next leader starts with all machines admitted, and judges them anew.
func TestQuarantineAfterFailover(t *testing.T) {
	w := newWorldWithMachines(t, 98, 1)
	w.occupyMachines(1)
	w.submitMistakenJobs(3, nil)
	w.until(30*second, "the machine is quarantined", func() bool { return len(w.quarantined()) == 1 })
	former := w.leader()
	w.crash(former)
	w.until(30*second, "another controller leads", func() bool { return w.leader() >= 0 })
	w.boot(former)
	w.submit("j-2", map[string]any{"cores": 2.0})
	w.awaitStatus(maxWaitTime, "j-2", protocol.JobDone)
}

// A machine that is only suspected stays while the cloud has no other one in its place; one that is known to be faulty,
// or can be replaced, is released once it is idle.
func TestReleaseOfQuarantinedMachines(t *testing.T) {
	for _, test := range []struct {
		name                 string
		confirmed            int
		outOfCapacity, keeps bool
	}{{"suspected, no replacement", 0, true, true}, {"suspected", 0, false, false}, {"confirmed, no replacement", 2, true, false}} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorldWithMachines(t, 99, 2)
			w.submit("j-1", map[string]any{"cores": 2.0})
			w.awaitStatus(90*second, "j-1", protocol.JobDone)
			l := w.leadership()
			m := l.machines.sortedMachines()[0]
			for i := range 3 {
				m.Faults.AddSuspect(fmt.Sprintf("j-8%d", i), l.controller.env.now)
			}
			m.Faults.ConfirmedJobs = test.confirmed
			l.scaler.onPoolShortage(poolOf(m), test.outOfCapacity)
			l.quarantine.onEvidenceChanged(m, quarantineWithdrawn)
			l.scaler.scaleIn(nil)
			if m.Releasing == test.keeps {
				t.Errorf("machine is being released: %v", m.Releasing)
			}
		})
	}
}

// Each change of a quarantine is logged with its reason and reported to the observer, and the summary counts the
// machines that get no tasks.
func TestQuarantineIsLogged(t *testing.T) {
	var lines strings.Builder
	w := newWorldWithMachines(t, 93, 2)
	w.logged = func(_ int, line []byte) { lines.Write(line) }
	for i := range 3 {
		w.crash(i)
		w.boot(i)
	}
	w.occupyMachines(2)
	w.submitMistakenJobs(4, nil)
	w.run(20 * second)
	w.submit("j-2", map[string]any{"shape": "service", "shards": 2, "cores": 2.0, "rank": "production"})
	w.run(maxWaitTime)
	for _, want := range []string{
		`msg="machine quarantined"`, `reason="failures of several jobs"`, "excluded_faulty=1", `msg="machine on probation"`,
		`msg="machine not quarantined: too many machines are"`, `msg="machine readmitted"`,
	} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("no line of the log contains %s", want)
		}
	}
}

// Each exclusion of a machine ends while the machine is kept, and its reason is known as long as it lasts.
func TestExclusionsEnd(t *testing.T) {
	for reason, exclude := range map[ExclusionReason]func(m *clusterstate.Machine, now time.Duration){
		ExcludedDraining: func(m *clusterstate.Machine, now time.Duration) { m.DrainUntil = now + 10*second },
		"answers_lost": func(m *clusterstate.Machine, now time.Duration) {
			m.Quarantine(clusterstate.QuarantineAnswersLost, now+20*second)
		},
		"start_refused": func(m *clusterstate.Machine, now time.Duration) {
			m.Quarantine(clusterstate.QuarantineStartRefused, now+second)
		},
		"record_rejected": func(m *clusterstate.Machine, now time.Duration) {
			m.Quarantine(clusterstate.QuarantineRecordRejected, now+10*second)
		},
		"failure_confirmed": func(m *clusterstate.Machine, now time.Duration) {
			m.Quarantine(clusterstate.QuarantineFailureConfirmed, now+10*second)
		},
		ExcludedFaulty: func(m *clusterstate.Machine, now time.Duration) {
			m.Faults.ConfirmedJobs = 2
			m.Faults.Open(now, now+10*second)
		},
	} {
		t.Run(string(reason), func(t *testing.T) {
			w := newWorldWithMachines(t, 93, 1)
			w.occupyMachines(1)
			w.run(20 * second)
			l := w.leadership()
			m := l.machines.sortedMachines()[0]
			if got := l.health.exclusion(m); got != notExcluded {
				t.Fatalf("excluded for %s before", got)
			}
			exclude(m, l.controller.env.now)
			if got := l.health.exclusion(m); got != reason {
				t.Errorf("excluded for %s, want %s", got, reason)
			}
			w.submit("j-2", map[string]any{"cores": 2.0})
			w.awaitStatus(maxWaitTime, "j-2", protocol.JobDone)
			if got := l.health.exclusion(m); got != notExcluded {
				t.Errorf("still excluded for %s", got)
			}
		})
	}
}

// A job that has failed on all machines in its reach for a passing reason avoids them no longer than it may wait, and
// leaves no machine quarantined.
func TestJobsRunAfterTransientFailuresEverywhere(t *testing.T) {
	for _, shape := range []string{"batch", "service"} {
		t.Run(shape, func(t *testing.T) {
			w := newWorldWithMachines(t, 100, 2)
			w.occupyMachines(2)
			w.failTasks(nil, nil)
			for i := range 4 {
				w.submit(fmt.Sprintf("j-2%d", i), map[string]any{"shape": shape, "cores": 0.5})
			}
			w.run(20 * second)
			w.failTasks(nil, map[string]bool{})
			for i := range 4 {
				uid := fmt.Sprintf("j-2%d", i)
				w.until(maxWaitTime, uid+" has begun", func() bool { return w.running(uid) > 0 || w.completedTasks[uid+"/0"] })
			}
			w.run(maxWaitTime)
			if n := len(w.quarantined()); n > 0 {
				t.Errorf("%d machines are quarantined", n)
			}
			w.settle()
		})
	}
}

// failTask tells the leader that a task of the job that was placed on the machine just now has failed.
func (l *leadership) failTask(uid string, m *clusterstate.Machine) {
	j := l.state.Jobs[uid]
	a := &clusterstate.Attempt{Job: j, Machine: m, AddedAt: l.controller.env.now}
	l.failures.onTaskError(m, j, a, clusterstate.AttemptKey{})
}

// Guards against a confirmed fault without a faulty machine: a job that fails on two machines, and later succeeds on one
// of them, failed for a passing reason. A job that never failed where it succeeds confirms the fault of the other.
func TestPassingFailuresConfirmNoFault(t *testing.T) {
	for name, failedWhereItSucceeds := range map[string]bool{"failed on both": true, "failed on the other only": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorldWithMachines(t, 103, 2)
			w.occupyMachines(2)
			w.submit("j-2", map[string]any{"cores": 3.0, "shape": "group", "shards": 3}) // there is room for two of three
			w.run(5 * second)
			l := w.leadership()
			machines, j := l.machines.sortedMachines(), l.state.Jobs["j-2"]
			l.failTask("j-2", machines[0])
			if failedWhereItSucceeds {
				l.failTask("j-2", machines[1])
			}
			w.run(second)
			success := &clusterstate.Attempt{Job: j, Machine: machines[1], AddedAt: l.controller.env.now}
			w.run(second)
			l.failures.recordTaskSuccess(j, machines[1], success)
			if confirmed := machines[0].Faults.ConfirmedJobs > 0; confirmed == failedWhereItSucceeds {
				t.Errorf("fault confirmed: %v", confirmed)
			}
			if excluded := l.health.exclusion(machines[0]) != notExcluded; excluded == failedWhereItSucceeds {
				t.Errorf("excluded: %s", l.health.exclusion(machines[0]))
			}
			for _, m := range machines {
				if len(m.Faults.SuspectJobs) > 0 {
					t.Errorf("evidence against %s after the job has succeeded: %+v", m.ID, m.Faults)
				}
			}
		})
	}
}

// Guards against evidence that outlives its job: a replica that was placed before another one failed on the same machine
// keeps running for long, which ends the record of the job's failures. Nothing of it is left after the cancellation.
func TestEvidenceEndsWithJob(t *testing.T) {
	w := newWorldWithMachines(t, 104, 1)
	w.occupyMachines(1)
	w.submit("j-2", map[string]any{"shape": "service", "cores": 1.0})
	w.until(30*second, "j-2 runs", func() bool { return w.running("j-2") == 1 })
	w.run(3 * second) // the leader has heard of it
	l := w.leadership()
	m := l.machines.sortedMachines()[0]
	l.failTask("j-2", m)
	if len(m.Faults.SuspectJobs) != 1 {
		t.Fatalf("evidence after a failure: %+v", m.Faults)
	}
	for _, a := range m.SortedAttempts() {
		if a.Job.Spec.UID == "j-2" {
			l.failures.recordLongRun(a)
		}
	}
	if failures := l.state.Jobs["j-2"].Failures; failures.Backoffs > 0 {
		t.Fatalf("the replica's success does not count for its job: %+v", failures)
	}
	w.cancel("j-2")
	w.awaitStatus(20*second, "j-2", protocol.JobCancelled)
	if m.Faults.HasEvidence() {
		t.Errorf("evidence after the end of its job: %+v", m.Faults)
	}
	w.settle()
}

// A replica that fails on a faulty machine and then runs elsewhere confirms the suspicion once it has run for a boot
// time, and its job starts further replicas without delay again: services have no other success.
func TestReplicaThatRunsElsewhereConfirmsFault(t *testing.T) {
	w := newWorldWithMachines(t, 101, 2)
	w.occupyMachines(2)
	faulty := w.workers()[0].ID
	w.failTasks(nil, map[string]bool{faulty: true})
	for i := range 2 {
		w.submit(fmt.Sprintf("j-2%d", i), map[string]any{"shape": "service", "cores": 1.0})
	}
	w.until(60*second, "both replicas run", func() bool { return w.running("j-20") == 1 && w.running("j-21") == 1 })
	if w.failures == 0 {
		t.Fatal("no replica was placed on the faulty machine: the test checks nothing")
	}
	w.run(40 * second)
	l := w.leadership()
	if m := l.state.Machines[faulty]; m.Faults.ConfirmedJobs == 0 || len(m.Faults.SuspectJobs) > 0 {
		t.Errorf("evidence after %d failures: %+v", w.failures, m.Faults)
	}
	for _, uid := range []string{"j-20", "j-21"} {
		if failures := l.state.Jobs[uid].Failures; failures.Backoffs > 0 {
			t.Errorf("%s still counts as failing: %+v", uid, failures)
		}
	}
}
