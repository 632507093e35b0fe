package scheduler

import (
	"fmt"
	"testing"
)

// The stops of a round follow the rules of the protocol's section "Preemption".
func TestPreemptionRules(t *testing.T) {
	full := func(victim *Job, n int) []*Machine {
		m := machines(box, "a")
		victim.Waiting, victim.Assigned, victim.Slots = nil, n, n
		victim.InZone["a"] = n
		for i := range n {
			m[0].Running = append(m[0].Running, RunningTask{Job: victim, Index: i, RunningS: float64(i)})
			m[0].Free = m[0].Free.Minus(victim.Request)
		}
		return m
	}
	for _, tc := range []struct {
		name                    string
		changeJob, changeVictim func(*Job)
		teams                   map[string]*Quota
		stops                   int
	}{
		{"lower priority is preempted", func(j *Job) { j.Service, j.Priority = true, 2 }, func(j *Job) { j.InUpperQueue = false }, nil, 1},
		{"the same priority is not preempted", func(j *Job) { j.Service = true }, func(j *Job) { j.InUpperQueue = false }, nil, 0},
		{"a higher priority is not preempted", nil, func(j *Job) { j.Priority, j.InUpperQueue = 3, false }, nil, 0},
		{"borrowed quota is reclaimed", func(j *Job) { j.Team = "blue" }, func(j *Job) { j.InUpperQueue, j.Priority = false, 3 },
			map[string]*Quota{"red": {Guaranteed: Resources{Cores: 2}, Used: Resources{Cores: 8}}, "blue": {Guaranteed: Resources{Cores: 4}}}, 1},
		{"a replica is not preempted for another one immediately", func(j *Job) { j.Team, j.Service, j.Priority = "blue", true, 3 }, func(j *Job) { j.Service, j.Priority = true, 3 },
			map[string]*Quota{"red": {Guaranteed: Resources{Cores: 2}, Used: Resources{Cores: 8}}, "blue": {Guaranteed: Resources{Cores: 4}}}, 0},
		{"a replica is preempted for another one after a long wait", func(j *Job) { j.Team, j.Service, j.Priority, j.WaitedTwoBoots = "blue", true, 3, true }, func(j *Job) { j.Service, j.Priority, j.Submitted = true, 3, 1 },
			map[string]*Quota{"red": {Guaranteed: Resources{Cores: 2}, Used: Resources{Cores: 8}}, "blue": {Guaranteed: Resources{Cores: 4}}}, 1},
		{"a task within its team's guarantee is not preempted", func(j *Job) { j.Team = "blue" }, func(j *Job) { j.InUpperQueue, j.Priority = false, 3 },
			map[string]*Quota{"red": {Guaranteed: Resources{Cores: 8}, Used: Resources{Cores: 8}}, "blue": {Guaranteed: Resources{Cores: 4}}}, 0},
		{"a team at its maximum preempts its own tasks of lower priority", func(j *Job) { j.Service, j.Priority = true, 2 }, func(j *Job) { j.InUpperQueue = false },
			map[string]*Quota{"red": {Maximum: Resources{Cores: 8}, Used: Resources{Cores: 8}}}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			victim := batch("victim", 8, tc.changeVictim)
			s := newSnapshot(full(victim, 8), batch("j", 1, tc.changeJob), victim)
			if tc.teams != nil {
				s.Quotas = tc.teams
			}
			got := s.Preempt(10, map[string]bool{}).Stops
			if len(got) != tc.stops {
				t.Fatalf("the round made %d stops, want %d", len(got), tc.stops)
			}
			if tc.stops == 1 && got[0].Victim.RunningS != 0 {
				t.Errorf("stopped a task that has run for %v s, want the youngest, which has run for 0 s", got[0].Victim.RunningS)
			}
		})
	}
}

// One round makes room for all waiting tasks of a job and reserves a machine for each of them. No further tasks are
// stopped for a job while its earlier victims have not all ended.
func TestPreemptionMakesRoomForWholeJob(t *testing.T) {
	typ := &MachineType{Name: "m", Size: Resources{Cores: 8, MemoryGB: 99}}
	build := func(reserved int) *Snapshot {
		web := &Job{ID: "j-web", Team: "red", Service: true, Priority: 3, Request: Resources{Cores: 8}, Tasks: 3, Degradation: 1,
			Reserved: reserved, Waiting: []int{0, 1, 2}}
		s := &Snapshot{Jobs: []*Job{web}, Quotas: map[string]*Quota{"red": {}, "blue": {}}}
		for i := range 4 {
			b := &Job{ID: "j-" + string(rune('a'+i)), Team: "blue", Request: Resources{Cores: 8}, Tasks: 1, Assigned: 1, Slots: 1, Degradation: 1,
				InZone: map[string]int{"": 1}}
			s.Jobs = append(s.Jobs, b)
			s.Machines = append(s.Machines, &Machine{ID: "i-" + string(rune('a'+i)), Type: typ, TaskCapacity: 9, InUse: true, Running: []RunningTask{{Job: b}}})
		}
		return s
	}
	round := build(0).Preempt(9, map[string]bool{})
	targets := map[string]bool{}
	for _, reservation := range round.Reservations {
		if reservation.Job.ID != "j-web" || reservation.Tasks != 1 || reservation.Machine.ReservedFor != "j-web" {
			t.Errorf("machine %s is reserved for %d tasks of %s, and ReservedFor is %q; want 1 task of j-web", reservation.Machine.ID, reservation.Tasks, reservation.Job.ID, reservation.Machine.ReservedFor)
		}
		targets[reservation.Machine.ID] = true
	}
	for _, st := range round.Stops {
		if !targets[st.Machine.ID] {
			t.Errorf("a task was stopped on machine %s, which is not reserved", st.Machine.ID)
		}
	}
	if len(round.Stops) != 3 || len(round.Reservations) != 3 || len(targets) != 3 {
		t.Errorf("%d stops and reservations on %d machines for 3 tasks, want 3 and 3", len(round.Stops), len(targets))
	}
	if n := len(build(3).Preempt(9, map[string]bool{}).Stops); n != 0 {
		t.Errorf("%d stops while earlier victims have not ended, want 0", n)
	}
}

// A round stops batch tasks rather than a gang, because all tasks of a gang are stopped together. If only a gang of
// lower priority runs, the round stops that gang.
func TestArraysArePreemptedBeforeGangs(t *testing.T) {
	for _, tc := range []struct {
		name  string
		alone bool // only the gang runs
	}{
		{"a batch runs too", false},
		{"only a gang runs", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ms := machines(box, "a", "a")
			gang := batch("g", 0, func(j *Job) {
				j.Gang, j.InUpperQueue, j.Request, j.Assigned, j.Slots, j.Tasks = true, false, Resources{Cores: 4, MemoryGB: 1}, 4, 4, 4
			})
			array := batch("x", 0, func(j *Job) { j.InUpperQueue, j.Request, j.Assigned = false, Resources{Cores: 8, MemoryGB: 1}, 1 })
			urgent := batch("s", 1, func(j *Job) {
				j.Service, j.Priority, j.InUpperQueue, j.Request = true, 3, false, Resources{Cores: 4, MemoryGB: 1}
			})
			jobs := []*Job{urgent, gang}
			hold := func(m *Machine, j *Job, n int) {
				for i := range n {
					m.Running = append(m.Running, RunningTask{Job: j, Index: i, RunningS: 30})
					m.Free = m.Free.Minus(j.Request)
				}
			}
			hold(ms[0], gang, 2)
			if tc.alone {
				hold(ms[1], gang, 2)
			} else {
				hold(ms[1], array, 1)
				jobs = append(jobs, array)
			}
			stops := newSnapshot(ms, jobs...).Preempt(10, map[string]bool{}).Stops
			if len(stops) != 1 || stops[0].Victim.Job.Gang != tc.alone {
				t.Errorf("stops %v, want one stop, of a gang task = %v", stops, tc.alone)
			}
		})
	}
}

// If a round reaches the bound on its work, the next round continues with the remaining jobs: jobs for which no
// preemption was found are skipped until a round ends without reaching the bound.
func TestBoundedRoundContinuesInNextRound(t *testing.T) {
	build := func() *Snapshot {
		var ms []*Machine
		for i := range 2_000 {
			ms = append(ms, &Machine{ID: fmt.Sprintf("i-%05d", i), Type: box, Zone: "a", TaskCapacity: 10})
		}
		s := newSnapshot(ms)
		s.Quotas = map[string]*Quota{"low": {}}
		low := batch("low", 0, func(j *Job) {
			j.Team, j.Assigned, j.InUpperQueue, j.Request = "low", len(ms), false, Resources{Cores: 1, MemoryGB: 1}
		})
		for i, m := range ms {
			m.Running = []RunningTask{{Job: low, Index: i, RunningS: 10}}
		}
		s.Jobs = append(s.Jobs, low)
		// Each job is too large to be placed, and has its own team so that no recorded infeasible request applies to it.
		for i := range 250 {
			team := fmt.Sprint("team-", i)
			s.Quotas[team] = &Quota{}
			s.Jobs = append(s.Jobs, batch(fmt.Sprintf("large-%03d", i), 1, func(j *Job) {
				j.Team, j.Priority, j.Request, j.InUpperQueue = team, 2, Resources{Cores: 4, MemoryGB: 4}, false
			}))
		}
		s.Jobs = append(s.Jobs, batch("last", 1, func(j *Job) {
			j.Team, j.Priority, j.Request, j.InUpperQueue, j.Submitted = "team-0", 2, Resources{Cores: 1, MemoryGB: 1}, false, 9
		}))
		return s
	}
	searched := map[string]bool{}
	rounds := 0
	for {
		rounds++
		s := build()
		got := s.Preempt(10, searched).Stops
		if s.taskMachinesExamined > maxTaskMachinesExamined+len(s.Machines) {
			t.Fatalf("a round examined %d machines for single tasks, which exceeds the bound", s.taskMachinesExamined)
		}
		if len(got) > 0 {
			if got[0].For.ID != "last" {
				t.Errorf("a task was stopped for job %s, want last", got[0].For.ID)
			}
			break
		}
		if rounds > 5 {
			t.Fatal("no task was stopped for the last job in 5 rounds")
		}
	}
	if rounds < 2 || len(searched) != 0 {
		t.Errorf("%d rounds, and the next round would skip %d jobs; want at least 2 rounds and 0 jobs", rounds, len(searched))
	}
}

// Replicas with equal requests share the preemption costs, which are computed once, and each replica still gets a
// machine of its own.
func TestEqualReplicasSharePreemptionCosts(t *testing.T) {
	const count = 400
	var ms []*Machine
	for i := range 3 * count {
		ms = append(ms, &Machine{ID: fmt.Sprintf("i-%05d", i), Type: box, Zone: "a", TaskCapacity: 10})
	}
	s := newSnapshot(ms)
	low := batch("low", 0, func(j *Job) { j.Assigned, j.InUpperQueue, j.Request = len(ms), false, Resources{Cores: 8, MemoryGB: 1} })
	for i, m := range ms {
		m.Running = []RunningTask{{Job: low, Index: i, RunningS: float64(i % 7)}}
	}
	s.Jobs = []*Job{low}
	for i := range count {
		s.Jobs = append(s.Jobs, batch(fmt.Sprintf("web-%03d", i), 1, func(j *Job) {
			j.Service, j.InUpperQueue, j.Team, j.Priority, j.Request = true, false, "blue", 3, Resources{Cores: 0.25, MemoryGB: 1}
		}))
	}
	round := s.Preempt(2*count, map[string]bool{})
	seen := map[string]bool{}
	for _, reservation := range round.Reservations {
		seen[reservation.Machine.ID] = true
	}
	if len(round.Stops) != count || len(seen) != count || s.taskMachinesExamined > 3*len(ms) {
		t.Errorf("%d stops and %d reserved machines, want one of each per replica; %d machines examined, want at most 3 times the fleet",
			len(round.Stops), len(seen), s.taskMachinesExamined)
	}
}
