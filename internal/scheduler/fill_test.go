package scheduler

import (
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Each job gets tasks up to its slots before any job gets more. The spare room is then filled by rank, beyond slots.
func TestFillSlotsFirst(t *testing.T) {
	s := newSnapshot(machines(box, "a"), batch("swarm", 20, nil), batch("small", 2, func(j *Job) { j.Submitted = 5 }))
	if d := cmp.Diff(map[string]int{"swarm": 7, "small": 1}, startedByJob(s.Fill())); d != "" {
		t.Error(d)
	}
}

// When the slots of the upper queue exceed its cap, the lower queue gets the remaining room.
func TestUpperCap(t *testing.T) {
	s := newSnapshot(machines(box, "a"),
		batch("upper", 8, func(j *Job) { j.Slots = 8 }),
		batch("lower", 8, func(j *Job) { j.InUpperQueue, j.Slots = false, 8 }))
	if d := cmp.Diff(map[string]int{"upper": 1, "lower": 7}, startedByJob(s.Fill())); d != "" {
		t.Error(d)
	}
}

// A fill respects Spread, OneZone, the team's maximum and the restriction of a job to regular machines.
func TestLimitsAndZones(t *testing.T) {
	t.Run("spread over zones", func(t *testing.T) {
		s := newSnapshot(machines(box, "a", "a", "b"), batch("j", 5, func(j *Job) { j.Service, j.Spread = true, true }))
		got := map[string]int{}
		for _, p := range s.Fill() {
			got[p.Machine.Zone]++
		}
		if got["a"] > 3 || got["b"] > 3 || got["a"]+got["b"] != 5 {
			t.Errorf("tasks started by zone: %v, want 5 in total and at most 3 in a zone", got)
		}
	})
	t.Run("one zone", func(t *testing.T) {
		s := newSnapshot(machines(box, "a", "b"), batch("j", 12, func(j *Job) { j.OneZone = true }))
		if n := len(s.Fill()); n != 8 {
			t.Errorf("%d of 12 tasks started, want 8: the zone has room for 8", n)
		}
	})
	t.Run("the team's maximum", func(t *testing.T) {
		s := newSnapshot(machines(box, "a"), batch("j", 8, nil))
		s.Quotas["red"] = &Quota{Maximum: Resources{Cores: 5}, Used: Resources{Cores: 2}}
		if n := len(s.Fill()); n != 3 {
			t.Errorf("%d tasks started, want 3: the quota has room for 3", n)
		}
	})
	t.Run("no spot machines", func(t *testing.T) {
		spot := machines(box, "a")
		spot[0].Spot = true
		if n := len(newSnapshot(spot, batch("j", 1, nil)).Fill()); n != 0 {
			t.Errorf("%d tasks of a job without Spot started on a spot machine", n)
		}
	})
}

// Batches can't use the headroom for expected replicas, but services can.
func TestHeadroomIsReservedFromBatches(t *testing.T) {
	expectedReplicas := func() *Job {
		return batch("~web", 3, func(j *Job) { j.Team, j.Service, j.IsHeadroom = "", true, true })
	}
	s := newSnapshot(machines(box, "a"), batch("b", 8, nil), expectedReplicas())
	if n := len(s.Fill()); n != 5 {
		t.Errorf("the batch started %d tasks, want 5: there is room for 8, of which 3 are reserved", n)
	}
	s = newSnapshot(machines(box, "a"), batch("web", 8, func(j *Job) { j.Service = true }), expectedReplicas())
	if n := len(s.Fill()); n != 8 {
		t.Errorf("the service started %d tasks, want 8", n)
	}
}

// Headroom for expected replicas is reserved on machines that have the images that the replicas may need.
func TestHeadroomIsReservedWhereImagesAre(t *testing.T) {
	ms := machines(box, "a", "a", "a")
	ms[2].Images = map[string]bool{"x": true, "y": true}
	ms[1].Images = map[string]bool{"x": true}
	expected := batch("~web", 8, func(j *Job) {
		j.Service, j.IsHeadroom, j.Images = true, true, []ImageShare{{"x", 0.5}, {"y", 0.3}, {"z", 0.2}}
	})
	s := newSnapshot(ms, expected, batch("work", 24, func(j *Job) { j.InUpperQueue, j.Slots = false, 24 }))
	if got := startedByJob(s.Fill())["work"]; got != 16 || ms[2].Free.Cores != 0 || !ms[0].InUse || !ms[1].InUse || ms[2].InUse {
		t.Errorf("%d tasks started, want 16, with the headroom for all 8 expected replicas on %s", got, ms[2].ID)
	}
}

// Resources and quota that preemption frees for a job are not used by other jobs while the preempted tasks end one by
// one. Otherwise other jobs take them and each round stops the same tasks again: on a recorded day there were 2,000
// stops for three jobs that never started.
func TestReservedRoomStaysReserved(t *testing.T) {
	m := machines(box, "a", "a")
	m[0].Free, m[0].ReservedFor = Resources{Cores: 5, MemoryGB: 32}, "web"
	web := batch("web", 1, func(j *Job) { j.Service, j.Reserved, j.Request = true, 1, Resources{Cores: 8, MemoryGB: 1} })
	s := newSnapshot(m, web, batch("b", 20, nil), batch("c", 20, func(j *Job) { j.Team = "blue" }))
	s.Quotas["red"] = &Quota{Maximum: Resources{Cores: 16}, Used: Resources{Cores: 8}}
	m[1].Free = Resources{Cores: 4, MemoryGB: 32}
	for _, p := range s.Fill() {
		if p.Machine == m[0] || p.Job.Team == "red" {
			t.Errorf("a task of %s started on %s, in resources or quota reserved for web", p.Job.ID, p.Machine.ID)
		}
	}
	if got := newSnapshot(m, web).Preempt(10, map[string]bool{}).Stops; len(got) > 0 {
		t.Errorf("a round stopped further tasks for a job that has a reservation: %v", got)
	}
	m[0].Free = box.Size
	if d := cmp.Diff(map[string]int{"web": 1}, startedByJob(newSnapshot(m, web).Fill())); d != "" {
		t.Error(d)
	}
}

// Batches leave the ServiceReserve of their team's maximum free. Services may use the whole maximum.
func TestBatchesLeaveServiceReserveFree(t *testing.T) {
	typ := &MachineType{Name: "m", Size: Resources{Cores: 100, MemoryGB: 100}}
	batch := &Job{ID: "j-1", Team: "red", Request: Resources{Cores: 10}, Tasks: 9, Slots: 9, Degradation: 1, Waiting: []int{0, 1, 2, 3, 4, 5, 6, 7, 8}}
	web := &Job{ID: "j-2", Team: "red", Service: true, Request: Resources{Cores: 5}, Tasks: 2, Degradation: 1, Waiting: []int{0, 1}}
	s := &Snapshot{UpperQueueCap: 1, Capacity: typ.Size, Jobs: []*Job{batch, web},
		Quotas:   map[string]*Quota{"red": {Maximum: Resources{Cores: 50}, ServiceReserve: Resources{Cores: 12}}},
		Machines: []*Machine{{ID: "i-1", Type: typ, Free: typ.Size, TaskCapacity: 99}}}
	n := map[string]int{}
	for _, p := range s.Fill() {
		n[p.Job.ID]++
	}
	if n["j-2"] != 2 || n["j-1"] != 2 {
		t.Fatalf("started tasks by job: %v, want 2 of j-1 and 2 of j-2: of 50 cores, 10 are used by j-2 and 12 are reserved", n)
	}
}

// Batches without accelerators leave free the cores that free accelerators need. Without this rule, a guest's job with
// thousands of tasks used the cores of machines whose accelerators then stayed idle.
func TestPlainBatchesLeaveAcceleratorCores(t *testing.T) {
	guests := func() *Job {
		return batch("guests", 40, func(j *Job) { j.InUpperQueue, j.AvoidsAccelerators = false, true })
	}
	s := newSnapshot(machines(gpu, "a"), guests())
	got := startedByJob(s.Fill())["guests"]
	if maxTasks := int(0.25 * gpu.Size.Cores); got == 0 || got > maxTasks {
		t.Errorf("%d tasks started on the cores of free accelerators, want 1 to %d", got, maxTasks)
	}
	s.Jobs = []*Job{batch("work", 4, func(j *Job) { j.Request = Resources{Cores: 5, Accelerators: 1, MemoryGB: 1}; j.InUpperQueue = false })}
	if got := startedByJob(s.Fill())["work"]; got != 4 {
		t.Errorf("%d tasks with accelerators started on the same machine, want 4", got)
	}
	// Once all accelerators are in use, batches without accelerators may use the remaining cores.
	s.Jobs = []*Job{guests()}
	s.Jobs[0].Waiting = s.Jobs[0].Waiting[:8]
	if got := startedByJob(s.Fill())["guests"]; got != 4 {
		t.Errorf("%d tasks started on the remaining 4 cores, want 4", got)
	}
	// Within its slots a batch may use the cores of free accelerators, so that it can't starve.
	s = newSnapshot(machines(gpu, "a"), batch("slots", 40, func(j *Job) { j.InUpperQueue, j.AvoidsAccelerators, j.Slots = false, true, 20 }))
	if got := startedByJob(s.Fill())["slots"]; got != 20 {
		t.Errorf("%d tasks started within the 20 slots of the job, want 20", got)
	}
	// If all machine types have accelerators, the batch may use all idle cores. Without this exception it ran one task
	// on each of 180 machines, which stayed rented until the end of the day and kept the price at 2.3.
	only := guests()
	if only.AvoidsAccelerators = only.CanAvoidAccelerators([]*MachineType{gpu}); only.AvoidsAccelerators || !guests().CanAvoidAccelerators([]*MachineType{gpu, box}) {
		t.Error("CanAvoidAccelerators must be true exactly if the batch may use a type without accelerators")
	}
	s = newSnapshot(machines(gpu, "a"), only)
	if got := startedByJob(s.Fill())["guests"]; got != 32 {
		t.Errorf("%d tasks started on 32 idle cores, want 32", got)
	}
}

// A task with a start-time objective of one second goes to a machine that fetches its image in time, even if that
// machine is larger. A task with an objective of one hour goes to the smaller machine.
func TestMissingImageWeightDependsOnStartObjective(t *testing.T) {
	small := &MachineType{Name: "small", Size: Resources{Cores: 4, MemoryGB: 8}, FetchGBPerS: 0.2}
	large := &MachineType{Name: "large", Size: Resources{Cores: 64, Accelerators: 8, MemoryGB: 384}, FetchGBPerS: 2}
	for _, tc := range []struct {
		name            string
		startObjectiveS float64
		machine         string
	}{
		{"start within a second", 1, "i-large"},
		{"start within an hour", 3600, "i-small"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			j := &Job{ID: "j-1", Team: "red", Service: true, Image: "img", ImageGB: 0.6, StartObjectiveS: tc.startObjectiveS, Request: Resources{Cores: 2, MemoryGB: 3},
				Tasks: 1, Degradation: 1, Waiting: []int{0}}
			s := &Snapshot{Jobs: []*Job{j}, Quotas: map[string]*Quota{"red": {}}, Machines: []*Machine{
				{ID: "i-large", Type: large, Free: large.Size, TaskCapacity: 9, InUse: true},
				{ID: "i-small", Type: small, Free: small.Size, TaskCapacity: 9, InUse: true}}}
			if got := s.Fill(); len(got) != 1 || got[0].Machine.ID != tc.machine {
				t.Errorf("placements %v, want one task on %s", got, tc.machine)
			}
		})
	}
}

// Beyond slots, the job with the least time left until its deadline goes first, and a job that can't meet its deadline
// goes last, regardless of attained service. Without deadlines, the job with the least attained service goes first.
func TestDeadlinesBeyondSlots(t *testing.T) {
	typ := &MachineType{Name: "m", Size: Resources{Cores: 4, MemoryGB: 99}}
	start := func(untilDeadlineS [3]float64, deadlineMissed [3]bool) string {
		s := &Snapshot{UpperQueueCap: 1, Capacity: typ.Size, Quotas: map[string]*Quota{"red": {}},
			Machines: []*Machine{{ID: "i-1", Type: typ, Free: typ.Size, TaskCapacity: 99}}}
		for i := range 3 {
			s.Jobs = append(s.Jobs, &Job{ID: string(rune('a' + i)), Team: "red", Request: Resources{Cores: 2}, Tasks: 9, Assigned: 1, Slots: 1,
				Attained: float64(i), Degradation: 1, UntilDeadlineS: untilDeadlineS[i], DeadlineMissed: deadlineMissed[i], Waiting: []int{1, 2}})
		}
		startedIDs := ""
		for _, p := range s.Fill() {
			startedIDs += p.Job.ID
		}
		return startedIDs
	}
	inf := math.Inf(1)
	for _, tc := range []struct {
		name           string
		untilDeadlineS [3]float64
		deadlineMissed [3]bool
		want           string
	}{
		{"the least time until the deadline", [3]float64{90, 20, 50}, [3]bool{}, "bb"},
		{"a job with a deadline before jobs without", [3]float64{inf, inf, 50}, [3]bool{true, false, false}, "cc"},
		{"no deadlines", [3]float64{inf, inf, inf}, [3]bool{}, "aa"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := start(tc.untilDeadlineS, tc.deadlineMissed); got != tc.want {
				t.Errorf("tasks of jobs %s started, want %s", got, tc.want)
			}
		})
	}
}

// Tasks that were interrupted by the end of their machine resume before new tasks of better rank use the spare room,
// and only as many tasks as were interrupted get this precedence. Without it, interrupted tasks of large jobs waited 56
// to 89 s on calm days of the parking authority's fleet.
func TestInterruptedTasksResumeFirst(t *testing.T) {
	old := batch("old", 6, func(j *Job) { j.InUpperQueue, j.Attained, j.Assigned, j.Interrupted = false, 50, 1, 2 })
	young := batch("young", 6, func(j *Job) { j.InUpperQueue, j.Assigned, j.Slots = false, 1, 1 })
	ms := machines(box, "a")
	ms[0].Free = Resources{Cores: 5, MemoryGB: 32}
	got := startedByJob(newSnapshot(ms, old, young).Fill())
	if got["old"] != 2 || got["young"] != 3 {
		t.Errorf("started tasks by job: %v, want the 2 interrupted tasks of old and 3 tasks of young", got)
	}
}

// Neither headroom nor the ServiceReserve of a quota starves a batch: a batch that has had no task on any machine for
// longer than a machine takes to boot starts one task, and no more.
func TestStarvedBatchMayUseHeadroom(t *testing.T) {
	for _, tc := range []struct {
		name    string
		starved bool
		want    int
	}{
		{"not starved", false, 0},
		{"starved", true, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			expected := batch("~web", 8, func(j *Job) { j.Service, j.IsHeadroom, j.Team = true, true, "" })
			s := newSnapshot(machines(box, "a"), expected, batch("b", 3, func(j *Job) { j.Starved = tc.starved }))
			s.Quotas["red"].ServiceReserve = Resources{Cores: 100}
			if got := startedByJob(s.Fill())["b"]; got != tc.want {
				t.Errorf("%d tasks started, want %d", got, tc.want)
			}
		})
	}
}

// largeFleet returns a snapshot of the size of a large deployment: all machines are used, some have free resources, and
// many jobs wait.
func largeFleet(machines, jobs int) *Snapshot {
	s := &Snapshot{UpperQueueCap: 0.3, Quotas: map[string]*Quota{}}
	for i := range 6 {
		s.Quotas[string(rune('a'+i))] = &Quota{Guaranteed: Resources{Cores: 1800}, Maximum: Resources{Cores: 6000}}
	}
	types := []*MachineType{{Name: "s", Size: Resources{Cores: 4, MemoryGB: 8}, Price: 1}, {Name: "l", Size: Resources{Cores: 64, Accelerators: 8, MemoryGB: 384}, Price: 20}}
	for i := range machines {
		typ := types[i%2]
		m := &Machine{ID: "i-" + string(rune('0'+i)), Type: typ, Zone: string(rune('x' + i%3)), Free: typ.Size.Times(float64(i%3) / 4),
			TaskCapacity: 50, InUse: true, Images: map[string]bool{string(rune('A' + i%12)): true}}
		s.Machines = append(s.Machines, m)
		s.Capacity = s.Capacity.Plus(typ.Size)
	}
	for i := range jobs {
		j := &Job{ID: "j-" + string(rune('0'+i)), Team: string(rune('a' + i%6)), Image: string(rune('A' + i%12)), Service: i%3 == 0,
			Request: Resources{Cores: 2, MemoryGB: 2.8}, Tasks: 12, Slots: 1, InUpperQueue: i%3 == 1, Degradation: 1, Spread: i%3 == 0, Submitted: int64(i)}
		if i%2 == 0 {
			j.Request = Resources{Cores: 11, Accelerators: 2, MemoryGB: 50}
		}
		for k := range 12 {
			j.Waiting = append(j.Waiting, k)
		}
		s.Jobs = append(s.Jobs, j)
	}
	return s
}

// The work of a fill, counted in machines examined, may grow with the number of placed tasks times the number of
// machines, but not with all waiting tasks times machines: a job that finds no room is examined once per pass.
func TestFillWorkAtFullSize(t *testing.T) {
	const machines, jobs = 800, 300
	s := largeFleet(machines, jobs)
	placed := len(s.Fill())
	if maxExamined := (placed + 4*jobs) * machines; placed == 0 || s.MachinesExamined > maxExamined {
		t.Errorf("%d machines examined for %d tasks placed, want at most %d", s.MachinesExamined, placed, maxExamined)
	}
}

func BenchmarkFillAtFullSize(b *testing.B) {
	for _, size := range []struct{ machines, jobs int }{{800, 300}, {1_600, 600}, {3_200, 1_200}, {5_500, 2_060}, {11_000, 4_120}, {22_000, 8_250}} {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d", size.machines, size.jobs), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				s := largeFleet(size.machines, size.jobs)
				b.StartTimer()
				s.Fill()
			}
		})
	}
}
