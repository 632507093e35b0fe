package scheduler

import (
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Every job gets its slots before any gets more; then spare room is filled by rank, beyond slots.
func TestFillSlotsFirst(t *testing.T) {
	s := snap(machines(box, "a"), batch("swarm", 20, nil), batch("small", 2, func(j *Job) { j.Submitted = 5 }))
	if d := cmp.Diff(map[string]int{"swarm": 7, "small": 1}, started(s.Fill())); d != "" {
		t.Error(d)
	}
}

// Slots of the upper queue beyond its cap give way to those of the lower queue.
func TestUpperCap(t *testing.T) {
	s := snap(machines(box, "a"),
		batch("upper", 8, func(j *Job) { j.Slots = 8 }),
		batch("lower", 8, func(j *Job) { j.InUpperQueue, j.Slots = false, 8 }))
	if d := cmp.Diff(map[string]int{"upper": 1, "lower": 7}, started(s.Fill())); d != "" {
		t.Error(d)
	}
}

// A fill keeps to spreading, to one zone, to the team's maximum and to the kinds of machine that a
// job may use.
func TestLimitsAndZones(t *testing.T) {
	t.Run("spread over zones", func(t *testing.T) {
		s := snap(machines(box, "a", "a", "b"), batch("j", 5, func(j *Job) { j.Service, j.Spread = true, true }))
		got := map[string]int{}
		for _, p := range s.Fill() {
			got[p.Machine.Zone]++
		}
		if got["a"] > 3 || got["b"] > 3 || got["a"]+got["b"] != 5 {
			t.Errorf("started by zone: %v", got)
		}
	})
	t.Run("one zone", func(t *testing.T) {
		s := snap(machines(box, "a", "b"), batch("j", 12, func(j *Job) { j.OneZone = true }))
		if n := len(s.Fill()); n != 8 {
			t.Errorf("%d of 12 tasks start in a zone with room for 8", n)
		}
	})
	t.Run("the team's maximum", func(t *testing.T) {
		s := snap(machines(box, "a"), batch("j", 8, nil))
		s.Quotas["red"] = &Quota{Maximum: Resources{Cores: 5}, Used: Resources{Cores: 2}}
		if n := len(s.Fill()); n != 3 {
			t.Errorf("%d started, 3 are left", n)
		}
	})
	t.Run("no spot machines", func(t *testing.T) {
		spot := machines(box, "a")
		spot[0].Spot = true
		if n := len(snap(spot, batch("j", 1, nil)).Fill()); n != 0 {
			t.Errorf("%d tasks started on a spot machine", n)
		}
	})
}

// Headroom for expected replicas is reserved from batches, not from services.
func TestReserve(t *testing.T) {
	expectedReplicas := func() *Job {
		return batch("~web", 3, func(j *Job) { j.Team, j.Service, j.IsHeadroom = "", true, true })
	}
	s := snap(machines(box, "a"), batch("b", 8, nil), expectedReplicas())
	if n := len(s.Fill()); n != 5 {
		t.Errorf("the batch got %d of 8 places, 3 are reserved", n)
	}
	s = snap(machines(box, "a"), batch("web", 8, func(j *Job) { j.Service = true }), expectedReplicas())
	if n := len(s.Fill()); n != 8 {
		t.Errorf("the service got %d of 8 places", n)
	}
}

// Headroom for expected replicas is reserved on machines that have the images they may need.
func TestHeadroomIsReservedWhereImagesAre(t *testing.T) {
	ms := machines(box, "a", "a", "a")
	ms[2].Images = map[string]bool{"x": true, "y": true}
	ms[1].Images = map[string]bool{"x": true}
	expected := batch("~web", 8, func(j *Job) {
		j.Service, j.IsHeadroom, j.Images = true, true, []ImageShare{{"x", 0.5}, {"y", 0.3}, {"z", 0.2}}
	})
	s := snap(ms, expected, batch("work", 24, func(j *Job) { j.InUpperQueue, j.Slots = false, 24 }))
	if got := started(s.Fill())["work"]; got != 16 || ms[2].Free.Cores != 0 || !ms[0].Used || !ms[1].Used || ms[2].Used {
		t.Errorf("%d tasks started; not all of the 8 reserved places are on %s", got, ms[2].ID)
	}
}

// Room and quota that were freed for a job are not taken by others while the preempted tasks end
// one by one: otherwise a round stops the same tasks again and again (on a recorded day 2,000 stops
// for three jobs that never started).
func TestReservedRoomStaysReserved(t *testing.T) {
	m := machines(box, "a", "a")
	m[0].Free, m[0].ReservedFor = Resources{Cores: 5, Mem: 32}, "web"
	web := batch("web", 1, func(j *Job) { j.Service, j.Reserved, j.Request = true, 1, Resources{Cores: 8, Mem: 1} })
	s := snap(m, web, batch("b", 20, nil), batch("c", 20, func(j *Job) { j.Team = "blue" }))
	s.Quotas["red"] = &Quota{Maximum: Resources{Cores: 16}, Used: Resources{Cores: 8}}
	m[1].Free = Resources{Cores: 4, Mem: 32}
	for _, p := range s.Fill() {
		if p.Machine == m[0] || p.Job.Team == "red" {
			t.Errorf("%s started on %s", p.Job.ID, p.Machine.ID)
		}
	}
	if got := snap(m, web).Preempt(10, map[string]bool{}).Stops; len(got) > 0 {
		t.Errorf("stopped more for a job that has a reservation: %v", got)
	}
	m[0].Free = box.Size
	if d := cmp.Diff(map[string]int{"web": 1}, started(snap(m, web).Fill())); d != "" {
		t.Error(d)
	}
}

// Batches stop short of their team's maximum by what is reserved for services; the service itself
// may go to the maximum.
func TestBatchesLeaveLimitToServices(t *testing.T) {
	typ := &Type{Name: "m", Size: Resources{Cores: 100, Mem: 100}}
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
		t.Fatalf("started %v: the service needs 10 of 50, 12 are reserved, so 28 hold two batch tasks", n)
	}
}

// Plain batches leave the cores that free accelerators need: a guest's array of thousands once held
// the cores of machines whose accelerators were then idle.
func TestPlainBatchesLeaveAcceleratorCores(t *testing.T) {
	guests := func() *Job {
		return batch("guests", 40, func(j *Job) { j.InUpperQueue, j.AvoidsAccelerators = false, true })
	}
	s := snap(machines(gpu, "a"), guests())
	got := started(s.Fill())["guests"]
	if most := int(0.25 * gpu.Size.Cores); got == 0 || got > most {
		t.Errorf("%d tasks take cores of free accelerators, of %d that may", got, most)
	}
	s.Jobs = []*Job{batch("work", 4, func(j *Job) { j.Request = Resources{Cores: 5, Accel: 1, Mem: 1}; j.InUpperQueue = false })}
	if got := started(s.Fill())["work"]; got != 4 {
		t.Errorf("%d tasks with accelerators find room beside them", got)
	}
	// With all accelerators in use, what cores are left are anybody's.
	s.Jobs = []*Job{guests()}
	s.Jobs[0].Waiting = s.Jobs[0].Waiting[:8]
	if got := started(s.Fill())["guests"]; got != 4 {
		t.Errorf("%d tasks take the 4 cores that are left", got)
	}
	// Within its slots a batch may take them, so it can't starve.
	s = snap(machines(gpu, "a"), batch("slots", 40, func(j *Job) { j.InUpperQueue, j.AvoidsAccelerators, j.Slots = false, true, 20 }))
	if got := started(s.Fill())["slots"]; got != 20 {
		t.Errorf("%d tasks within 20 slots", got)
	}
	// Where all machines have accelerators it uses what is idle: one task on each of 180 machines
	// once kept these rented until the days' ends, and the price at 2.3.
	only := guests()
	if only.AvoidsAccelerators = only.CanAvoidAccelerators([]*Type{gpu}); only.AvoidsAccelerators || !guests().CanAvoidAccelerators([]*Type{gpu, box}) {
		t.Error("a batch is plain only where it may use a type without accelerators")
	}
	s = snap(machines(gpu, "a"), only)
	if got := started(s.Fill())["guests"]; got != 32 {
		t.Errorf("%d tasks on 32 idle cores", got)
	}
}

// A task that is to start within a second goes where its image can be fetched in time, even to the
// larger machine; one that has an hour does not.
func TestMissingImageWeighsByAim(t *testing.T) {
	small := &Type{Name: "small", Size: Resources{Cores: 4, Mem: 8}, FetchGBPerS: 0.2}
	large := &Type{Name: "large", Size: Resources{Cores: 64, Accel: 8, Mem: 384}, FetchGBPerS: 2}
	for _, tc := range []struct {
		name    string
		aimS    float64
		machine string
	}{
		{"start within a second", 1, "i-large"},
		{"start within an hour", 3600, "i-small"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			j := &Job{ID: "j-1", Team: "red", Service: true, Image: "img", ImageGB: 0.6, StartObjectiveS: tc.aimS, Request: Resources{Cores: 2, Mem: 3},
				Tasks: 1, Degradation: 1, Waiting: []int{0}}
			s := &Snapshot{Jobs: []*Job{j}, Quotas: map[string]*Quota{"red": {}}, Machines: []*Machine{
				{ID: "i-large", Type: large, Free: large.Size, TaskCapacity: 9, Used: true},
				{ID: "i-small", Type: small, Free: small.Size, TaskCapacity: 9, Used: true}}}
			if got := s.Fill(); len(got) != 1 || got[0].Machine.ID != tc.machine {
				t.Errorf("%v, want one task on %s", got, tc.machine)
			}
		})
	}
}

// Beyond slots the job with the least time left goes first and one that misses its deadline last,
// whatever they have attained; without deadlines attained service decides.
func TestDeadlinesBeyondSlots(t *testing.T) {
	typ := &Type{Name: "m", Size: Resources{Cores: 4, Mem: 99}}
	start := func(left [3]float64, late [3]bool) string {
		s := &Snapshot{UpperQueueCap: 1, Capacity: typ.Size, Quotas: map[string]*Quota{"red": {}},
			Machines: []*Machine{{ID: "i-1", Type: typ, Free: typ.Size, TaskCapacity: 99}}}
		for i := range 3 {
			s.Jobs = append(s.Jobs, &Job{ID: string(rune('a' + i)), Team: "red", Request: Resources{Cores: 2}, Tasks: 9, Assigned: 1, Slots: 1,
				Attained: float64(i), Degradation: 1, UntilDeadlineS: left[i], DeadlineMissed: late[i], Waiting: []int{1, 2}})
		}
		out := ""
		for _, p := range s.Fill() {
			out += p.Job.ID
		}
		return out
	}
	inf := math.Inf(1)
	for _, tc := range []struct {
		name string
		left [3]float64
		late [3]bool
		want string
	}{
		{"the least time left", [3]float64{90, 20, 50}, [3]bool{}, "bb"},
		{"a deadline before none", [3]float64{inf, inf, 50}, [3]bool{true, false, false}, "cc"},
		{"no deadlines", [3]float64{inf, inf, inf}, [3]bool{}, "aa"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := start(tc.left, tc.late); got != tc.want {
				t.Errorf("started %s, want %s", got, tc.want)
			}
		})
	}
}

// Tasks that a machine's end interrupted go on before new tasks of better rank take spare room, and
// no more than these (the parking authority's fleet on calm days: such tasks of large jobs waited 56
// to 89 s).
func TestInterruptedTasksResumeFirst(t *testing.T) {
	old := batch("old", 6, func(j *Job) { j.InUpperQueue, j.Attained, j.Assigned, j.Interrupted = false, 50, 1, 2 })
	young := batch("young", 6, func(j *Job) { j.InUpperQueue, j.Assigned, j.Slots = false, 1, 1 })
	ms := machines(box, "a")
	ms[0].Free = Resources{Cores: 5, Mem: 32}
	got := started(snap(ms, old, young).Fill())
	if got["old"] != 2 || got["young"] != 3 {
		t.Errorf("%v, want the two that were interrupted and three of the younger job", got)
	}
}

// Neither headroom nor what batches leave of a quota starves a batch: one that has had no task
// anywhere for longer than a boot gets one, not more.
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
			s := snap(machines(box, "a"), expected, batch("b", 3, func(j *Job) { j.Starved = tc.starved }))
			s.Quotas["red"].ServiceReserve = Resources{Cores: 100}
			if got := started(s.Fill())["b"]; got != tc.want {
				t.Errorf("%d tasks started, want %d", got, tc.want)
			}
		})
	}
}

// grownFleet is a snapshot of the size that deployments have grown to: all machines in use, some
// room here and there, and a burst of waiting jobs.
func grownFleet(machines, jobs int) *Snapshot {
	s := &Snapshot{UpperQueueCap: 0.3, Quotas: map[string]*Quota{}}
	for i := range 6 {
		s.Quotas[string(rune('a'+i))] = &Quota{Guaranteed: Resources{Cores: 1800}, Maximum: Resources{Cores: 6000}}
	}
	types := []*Type{{Name: "s", Size: Resources{Cores: 4, Mem: 8}, Price: 1}, {Name: "l", Size: Resources{Cores: 64, Accel: 8, Mem: 384}, Price: 20}}
	for i := range machines {
		typ := types[i%2]
		m := &Machine{ID: "i-" + string(rune('0'+i)), Type: typ, Zone: string(rune('x' + i%3)), Free: typ.Size.Times(float64(i%3) / 4),
			TaskCapacity: 50, Used: true, Images: map[string]bool{string(rune('A' + i%12)): true}}
		s.Machines = append(s.Machines, m)
		s.Capacity = s.Capacity.Plus(typ.Size)
	}
	for i := range jobs {
		j := &Job{ID: "j-" + string(rune('0'+i)), Team: string(rune('a' + i%6)), Image: string(rune('A' + i%12)), Service: i%3 == 0,
			Request: Resources{Cores: 2, Mem: 2.8}, Tasks: 12, Slots: 1, InUpperQueue: i%3 == 1, Degradation: 1, Spread: i%3 == 0, Submitted: int64(i)}
		if i%2 == 0 {
			j.Request = Resources{Cores: 11, Accel: 2, Mem: 50}
		}
		for k := range 12 {
			j.Waiting = append(j.Waiting, k)
		}
		s.Jobs = append(s.Jobs, j)
	}
	return s
}

// The work of a fill is counted in machines examined. It may grow with tasks placed times machines,
// never with all tasks times machines: a job for which there is no room is examined once a pass.
func TestFillWorkAtFullSize(t *testing.T) {
	const machines, jobs = 800, 300
	s := grownFleet(machines, jobs)
	placed := len(s.Fill())
	if most := (placed + 4*jobs) * machines; placed == 0 || s.MachinesExamined > most {
		t.Errorf("%d machines examined for %d tasks placed, want at most %d", s.MachinesExamined, placed, most)
	}
}

func BenchmarkFillAtFullSize(b *testing.B) {
	for _, size := range []struct{ machines, jobs int }{{800, 300}, {1_600, 600}, {3_200, 1_200}, {5_500, 2_060}, {11_000, 4_120}, {22_000, 8_250}} {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d", size.machines, size.jobs), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				s := grownFleet(size.machines, size.jobs)
				b.StartTimer()
				s.Fill()
			}
		})
	}
}
