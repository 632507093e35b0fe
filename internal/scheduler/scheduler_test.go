package scheduler

import (
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var box = &Type{Name: "box", Size: Need{Cores: 8, Mem: 32}, Price: 1, SpotPrice: 0.4, Zones: []string{"a", "b"}, BootS: 10}
var gpu = &Type{Name: "gpu", Size: Need{Cores: 32, Accel: 4, Mem: 128}, Price: 10, SpotPrice: 4, Zones: []string{"a"}, BootS: 10}

func machines(t *Type, zones ...string) []*Machine {
	var out []*Machine
	for i, z := range zones {
		out = append(out, &Machine{ID: fmt.Sprintf("%s-%d", t.Name, i), Type: t, Zone: z, Free: t.Size, Room: 100})
	}
	return out
}

func batch(id string, n int, change func(*Job)) *Job {
	j := &Job{ID: id, Team: "red", Tasks: n, Need: Need{Cores: 1, Mem: 1}, Degradation: 1, Slots: 1, Upper: true, InZone: map[string]int{}}
	for i := range n {
		j.Waiting = append(j.Waiting, i)
	}
	if change != nil {
		change(j)
	}
	return j
}

func snap(ms []*Machine, jobs ...*Job) *Snapshot {
	s := &Snapshot{Machines: ms, Jobs: jobs, UpperCap: 0.3, Quotas: map[string]*Quota{
		"red": {Maximum: Need{Cores: 100}}, "blue": {Maximum: Need{Cores: 100}, Guaranteed: Need{Cores: 4}}}}
	for _, m := range ms {
		s.Capacity = s.Capacity.Plus(m.Type.Size)
	}
	return s
}

func started(ps []Placement) map[string]int {
	out := map[string]int{}
	for _, p := range ps {
		out[p.Job.ID]++
	}
	return out
}

// GREEN's order: services, upper queue first come first served, lower queue by
// attained service over degradation, least first.
func TestOrder(t *testing.T) {
	lower := func(attained, degr float64) func(*Job) {
		return func(j *Job) { j.Upper, j.Attained, j.Degradation = false, attained, degr }
	}
	jobs := []*Job{
		batch("old-lower", 1, lower(10, 1)), batch("young-lower", 1, lower(2, 1)), batch("inefficient", 1, lower(6, 0.5)),
		batch("second", 1, func(j *Job) { j.Submitted = 2 }), batch("first", 1, func(j *Job) { j.Submitted = 1 }),
		batch("service", 1, func(j *Job) { j.Service, j.Submitted = true, 9 }),
		batch("better-service", 1, func(j *Job) { j.Service, j.Submitted, j.Priority = true, 9, 3 }),
	}
	Order(jobs)
	var got []string
	for _, j := range jobs {
		got = append(got, j.ID)
	}
	want := []string{"better-service", "service", "first", "second", "young-lower", "old-lower", "inefficient"}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// Every job gets its slots before any gets more, and then spare room is filled
// by rank beyond slot counts.
func TestFillSlotsFirst(t *testing.T) {
	s := snap(machines(box, "a"), batch("swarm", 20, nil), batch("small", 2, func(j *Job) { j.Submitted = 5 }))
	if d := cmp.Diff(map[string]int{"swarm": 7, "small": 1}, started(s.Fill())); d != "" {
		t.Error(d)
	}
}

// The upper queue's slots beyond its cap give way to the lower queue's.
func TestUpperCap(t *testing.T) {
	s := snap(machines(box, "a"),
		batch("upper", 8, func(j *Job) { j.Slots = 8 }),
		batch("lower", 8, func(j *Job) { j.Upper, j.Slots = false, 8 }))
	if d := cmp.Diff(map[string]int{"upper": 1, "lower": 7}, started(s.Fill())); d != "" {
		t.Error(d)
	}
}

func TestLimitsAndZones(t *testing.T) {
	s := snap(machines(box, "a", "a", "b"), batch("j", 5, func(j *Job) { j.Service, j.Spread = true, true }))
	got := map[string]int{}
	for _, p := range s.Fill() {
		got[p.Machine.Zone]++
	}
	if got["a"] > 3 || got["b"] > 3 || got["a"]+got["b"] != 5 {
		t.Errorf("apart: %v", got)
	}
	s = snap(machines(box, "a", "b"), batch("j", 12, func(j *Job) { j.OneZone = true }))
	if n := len(s.Fill()); n != 8 {
		t.Errorf("together: %d of 12 start in the one zone with 8 places", n)
	}
	s = snap(machines(box, "a"), batch("j", 8, nil))
	s.Quotas["red"] = &Quota{Maximum: Need{Cores: 5}, Used: Need{Cores: 2}}
	if n := len(s.Fill()); n != 3 {
		t.Errorf("limit: %d started, 3 are left", n)
	}
	spot := machines(box, "a")
	spot[0].Spot = true
	if n := len(snap(spot, batch("j", 1, nil)).Fill()); n != 0 {
		t.Error("a job that may not went to a spot machine")
	}
}

// Room for expected services is kept from batches, not from services.
func TestReserve(t *testing.T) {
	expectedReplicas := func() *Job {
		return batch("~web", 3, func(j *Job) { j.Team, j.Service, j.Headroom = "", true, true })
	}
	s := snap(machines(box, "a"), batch("b", 8, nil), expectedReplicas())
	if n := len(s.Fill()); n != 5 {
		t.Errorf("batch got %d of 8 places, 3 are kept", n)
	}
	s = snap(machines(box, "a"), batch("web", 8, func(j *Job) { j.Service = true }), expectedReplicas())
	if n := len(s.Fill()); n != 8 {
		t.Errorf("service got %d of 8 places", n)
	}
}

// A round's stops obey the protocol's "Preemption".
func TestStops(t *testing.T) {
	full := func(victim *Job, n int) []*Machine {
		m := machines(box, "a")
		victim.Waiting, victim.Held, victim.Slots = nil, n, n
		victim.InZone["a"] = n
		for i := range n {
			m[0].Running = append(m[0].Running, RunningTask{Job: victim, Index: i, SinceS: float64(i)})
			m[0].Free = m[0].Free.Minus(victim.Need)
		}
		return m
	}
	for _, tc := range []struct {
		name     string
		job, vic func(*Job)
		teams    map[string]*Quota
		stops    int
	}{
		{"lower priority gives way", func(j *Job) { j.Service, j.Priority = true, 2 }, func(j *Job) { j.Upper = false }, nil, 1},
		{"the same priority does not", func(j *Job) { j.Service = true }, func(j *Job) { j.Upper = false }, nil, 0},
		{"a higher one does not", nil, func(j *Job) { j.Priority, j.Upper = 3, false }, nil, 0},
		{"what is lent returns to its team", func(j *Job) { j.Team = "blue" }, func(j *Job) { j.Upper, j.Priority = false, 3 },
			map[string]*Quota{"red": {Guaranteed: Need{Cores: 2}, Used: Need{Cores: 8}}, "blue": {Guaranteed: Need{Cores: 4}}}, 1},
		{"no replica for another at once", func(j *Job) { j.Team, j.Service, j.Priority = "blue", true, 3 }, func(j *Job) { j.Service, j.Priority = true, 3 },
			map[string]*Quota{"red": {Guaranteed: Need{Cores: 2}, Used: Need{Cores: 8}}, "blue": {Guaranteed: Need{Cores: 4}}}, 0},
		{"but after a long wait", func(j *Job) { j.Team, j.Service, j.Priority, j.Patient = "blue", true, 3, true }, func(j *Job) { j.Service, j.Priority, j.Submitted = true, 3, 1 },
			map[string]*Quota{"red": {Guaranteed: Need{Cores: 2}, Used: Need{Cores: 8}}, "blue": {Guaranteed: Need{Cores: 4}}}, 1},
		{"what is within a guarantee stays", func(j *Job) { j.Team = "blue" }, func(j *Job) { j.Upper, j.Priority = false, 3 },
			map[string]*Quota{"red": {Guaranteed: Need{Cores: 8}, Used: Need{Cores: 8}}, "blue": {Guaranteed: Need{Cores: 4}}}, 0},
		{"a team's limit is freed for its better work", func(j *Job) { j.Service, j.Priority = true, 2 }, func(j *Job) { j.Upper = false },
			map[string]*Quota{"red": {Maximum: Need{Cores: 8}, Used: Need{Cores: 8}}}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			vic := batch("victim", 8, tc.vic)
			s := snap(full(vic, 8), batch("j", 1, tc.job), vic)
			if tc.teams != nil {
				s.Quotas = tc.teams
			}
			got := s.Stops(10, map[string]bool{}).Stops
			if len(got) != tc.stops {
				t.Fatalf("%d stops, want %d", len(got), tc.stops)
			}
			if tc.stops == 1 && got[0].Victim.SinceS != 0 {
				t.Errorf("stopped the one of %v s, not the youngest", got[0].Victim.SinceS)
			}
		})
	}
}

// The cheapest pool that the job allows, short ones passed over; nothing with
// accelerators for work that has no use for them.
func TestPlan(t *testing.T) {
	types := []*Type{gpu, box}
	open := func(Pool) bool { return false }
	got := snap(nil, batch("j", 8, func(j *Job) { j.Spot = true })).Plan(types, open, 10)
	if d := cmp.Diff([]Launch{{Pool{"box", "a", true}, 1}}, got); d != "" {
		t.Error(d)
	}
	got = snap(nil, batch("j", 8, nil)).Plan(types, func(p Pool) bool { return p.Zone == "a" }, 10)
	if d := cmp.Diff([]Launch{{Pool{"box", "b", false}, 1}}, got); d != "" {
		t.Error(d)
	}
	s := snap(nil, batch("j", 400, nil))
	s.Quotas["red"].Maximum.Cores = 16
	got = s.Plan(types, open, 64)
	n := 0
	for _, r := range got {
		n += r.Count
	}
	if n != 2 {
		t.Errorf("%d machines rented for a team's limit of two", n)
	}
}

// GREEN's scale-up: one slot a round while degradation stays at or above gamma,
// judged once every slot has finished a task.
func TestScale(t *testing.T) {
	s := NewScale()
	s.Attained = 10
	s.Round(0, 100, 0.9)
	if s.Slots != 1 || !s.Upper {
		t.Fatalf("scaled with nothing to judge by: %+v", s)
	}
	s.Round(1, 100, 0.9) // 0.01 per 10
	if s.Slots != 2 || s.Degr != 1 {
		t.Fatalf("first scale-up: %+v", s)
	}
	s.Attained = 30
	s.Round(3, 100, 0.9) // 0.02 per 20: as good as at minimum size
	if s.Slots != 3 {
		t.Fatalf("second scale-up: %+v", s)
	}
	s.Attained = 90
	s.Round(6, 100, 0.9) // 0.03 per 60: half as good
	if s.Upper || s.Slots != 3 || s.Degr != 0.5 {
		t.Fatalf("drop to the lower queue at its size: %+v", s)
	}
}

// Room and limit that were freed for a job are not taken by others while the
// stopped tasks go one by one: a round would stop the same tasks again and
// again (a recorded day: 2,000 stops for three jobs that never started).
func TestReservedRoomStaysReserved(t *testing.T) {
	m := machines(box, "a", "a")
	m[0].Free, m[0].ReservedFor = Need{Cores: 5, Mem: 32}, "web"
	web := batch("web", 1, func(j *Job) { j.Service, j.Reserved, j.Need = true, 1, Need{Cores: 8, Mem: 1} })
	s := snap(m, web, batch("b", 20, nil), batch("c", 20, func(j *Job) { j.Team = "blue" }))
	s.Quotas["red"] = &Quota{Maximum: Need{Cores: 16}, Used: Need{Cores: 8}}
	m[1].Free = Need{Cores: 4, Mem: 32}
	for _, p := range s.Fill() {
		if p.Machine == m[0] || p.Job.Team == "red" {
			t.Errorf("%s started on %s", p.Job.ID, p.Machine.ID)
		}
	}
	if got := snap(m, web).Stops(10, map[string]bool{}).Stops; len(got) > 0 {
		t.Errorf("stopped more for a job that has a claim: %v", got)
	}
	m[0].Free = box.Size
	if d := cmp.Diff(map[string]int{"web": 1}, started(snap(m, web).Fill())); d != "" {
		t.Error(d)
	}
}

// Replicas are moved only to machines in use that have their images, and only
// if the room kept for expected ones stays.
func TestWithoutMachine(t *testing.T) {
	build := func() *Snapshot {
		ms := machines(box, "a", "a")
		for _, m := range ms {
			m.Used, m.Images = true, map[string]bool{"img": true}
			m.Free = Need{Cores: 4, Mem: 16}
		}
		return snap(ms)
	}
	replica := func(cores float64) []*Job {
		return []*Job{batch("web", 1, func(j *Job) { j.Service, j.Image, j.Need = true, "img", Need{Cores: cores, Mem: 1} })}
	}
	none := func() []*Job { return nil }
	expect := func() []*Job {
		return []*Job{batch("~web", 2, func(j *Job) { j.Team, j.Service, j.Headroom, j.Need = "", true, true, Need{Cores: 2, Mem: 1} })}
	}
	if build().WithoutMachine("box-0", replica(4), none) == nil {
		t.Error("there is room")
	}
	if build().WithoutMachine("box-0", replica(5), none) != nil {
		t.Error("there is no room")
	}
	if build().WithoutMachine("box-0", replica(4), expect) != nil {
		t.Error("the room for expected replicas would be gone")
	}
	s := build()
	s.Machines[1].Images = nil
	if s.WithoutMachine("box-0", replica(4), none) != nil {
		t.Error("the image would have to be fetched")
	}
	s = build()
	s.Moving = true
	s.Jobs = []*Job{batch("b", 3, nil), batch("web", 1, func(j *Job) { j.Service = true })}
	if d := cmp.Diff(map[string]int{"web": 1}, started(s.Fill())); d != "" {
		t.Error(d)
	}
}

// Batches stop short of their team's limit by what is kept for services; the
// service itself may go to the limit.
func TestBatchesLeaveLimitToServices(t *testing.T) {
	typ := &Type{Name: "m", Size: Need{Cores: 100, Mem: 100}}
	batch := &Job{ID: "j-1", Team: "red", Need: Need{Cores: 10}, Tasks: 9, Slots: 9, Degradation: 1, Waiting: []int{0, 1, 2, 3, 4, 5, 6, 7, 8}}
	web := &Job{ID: "j-2", Team: "red", Service: true, Need: Need{Cores: 5}, Tasks: 2, Degradation: 1, Waiting: []int{0, 1}}
	s := &Snapshot{UpperCap: 1, Capacity: typ.Size, Jobs: []*Job{batch, web},
		Quotas:   map[string]*Quota{"red": {Maximum: Need{Cores: 50}, ServiceReserve: Need{Cores: 12}}},
		Machines: []*Machine{{ID: "i-1", Type: typ, Free: typ.Size, Room: 99}}}
	n := map[string]int{}
	for _, p := range s.Fill() {
		n[p.Job.ID]++
	}
	if n["j-2"] != 2 || n["j-1"] != 2 {
		t.Fatalf("started %v: the service needs 10 of 50, 12 are kept, so 28 hold two batch tasks", n)
	}
}

// A start that is to take a second goes where its image comes in time, even to
// the larger machine; one that has an hour does not.
func TestMissingImageWeighsByAim(t *testing.T) {
	small := &Type{Name: "small", Size: Need{Cores: 4, Mem: 8}, FetchGBPerS: 0.2}
	large := &Type{Name: "large", Size: Need{Cores: 64, Accel: 8, Mem: 384}, FetchGBPerS: 2}
	for aim, wants := range map[float64]string{1: "i-large", 3600: "i-small"} {
		j := &Job{ID: "j-1", Team: "red", Service: true, Image: "img", ImageGB: 0.6, AimS: aim, Need: Need{Cores: 2, Mem: 3},
			Tasks: 1, Degradation: 1, Waiting: []int{0}}
		s := &Snapshot{Jobs: []*Job{j}, Quotas: map[string]*Quota{"red": {}}, Machines: []*Machine{
			{ID: "i-large", Type: large, Free: large.Size, Room: 9, Used: true},
			{ID: "i-small", Type: small, Free: small.Size, Room: 9, Used: true}}}
		if got := s.Fill(); len(got) != 1 || got[0].Machine.ID != wants {
			t.Errorf("aim %v s: %v, want %s", aim, got, wants)
		}
	}
}

// Beyond slots the job with the least time left goes first and one that is late
// last, whatever they have attained; without deadlines attained service decides.
func TestDeadlinesBeyondSlots(t *testing.T) {
	typ := &Type{Name: "m", Size: Need{Cores: 4, Mem: 99}}
	start := func(left [3]float64, late [3]bool) string {
		s := &Snapshot{UpperCap: 1, Capacity: typ.Size, Quotas: map[string]*Quota{"red": {}},
			Machines: []*Machine{{ID: "i-1", Type: typ, Free: typ.Size, Room: 99}}}
		for i := range 3 {
			s.Jobs = append(s.Jobs, &Job{ID: string(rune('a' + i)), Team: "red", Need: Need{Cores: 2}, Tasks: 9, Held: 1, Slots: 1,
				Attained: float64(i), Degradation: 1, LeftS: left[i], Late: late[i], Waiting: []int{1, 2}})
		}
		out := ""
		for _, p := range s.Fill() {
			out += p.Job.ID
		}
		return out
	}
	inf := math.Inf(1)
	for wants, got := range map[string]string{
		"bb": start([3]float64{90, 20, 50}, [3]bool{}),
		"cc": start([3]float64{inf, inf, 50}, [3]bool{true, false, false}),
		"aa": start([3]float64{inf, inf, inf}, [3]bool{}),
	} {
		if got != wants {
			t.Errorf("started %s, want %s", got, wants)
		}
	}
}

// All machines of one type are dear, however the sum of their prices rounds.
func TestIsExpensiveIgnoresRounding(t *testing.T) {
	typ, small := &Type{Price: 21.51}, &Type{Price: 0.19}
	s := &Snapshot{}
	for n := range 300 {
		s.Machines = append(s.Machines, &Machine{Type: typ})
		if !s.IsExpensive(s.Machines[0]) {
			t.Fatalf("%d machines of one type are not dear", n+1)
		}
	}
	cheap := &Machine{Type: small}
	s.Machines = append(s.Machines, cheap)
	if s.IsExpensive(cheap) || !s.IsExpensive(s.Machines[0]) {
		t.Fatal("the cheap one is dear")
	}
}

// One round makes room for all waiting tasks of a job, each on a machine that is
// then kept for it; a job whose stopped tasks are still on their way out stops
// no more.
func TestPreemptionMakesRoomForWholeJob(t *testing.T) {
	typ := &Type{Name: "m", Size: Need{Cores: 8, Mem: 99}}
	build := func(claims int) *Snapshot {
		web := &Job{ID: "j-web", Team: "red", Service: true, Priority: 3, Need: Need{Cores: 8}, Tasks: 3, Degradation: 1,
			Reserved: claims, Waiting: []int{0, 1, 2}}
		s := &Snapshot{Jobs: []*Job{web}, Quotas: map[string]*Quota{"red": {}, "blue": {}}}
		for i := range 4 {
			b := &Job{ID: "j-" + string(rune('a'+i)), Team: "blue", Need: Need{Cores: 8}, Tasks: 1, Held: 1, Slots: 1, Degradation: 1,
				InZone: map[string]int{"": 1}}
			s.Jobs = append(s.Jobs, b)
			s.Machines = append(s.Machines, &Machine{ID: "i-" + string(rune('a'+i)), Type: typ, Room: 9, Used: true, Running: []RunningTask{{Job: b}}})
		}
		return s
	}
	round := build(0).Stops(9, map[string]bool{})
	targets := map[string]bool{}
	for _, kept := range round.Reservations {
		if kept.Job.ID != "j-web" || kept.Tasks != 1 || kept.Machine.ReservedFor != "j-web" {
			t.Errorf("%s is kept for %d of %s and %q", kept.Machine.ID, kept.Tasks, kept.Job.ID, kept.Machine.ReservedFor)
		}
		targets[kept.Machine.ID] = true
	}
	for _, st := range round.Stops {
		if !targets[st.Machine.ID] {
			t.Errorf("stop on %s, which is not kept", st.Machine.ID)
		}
	}
	if len(round.Stops) != 3 || len(round.Reservations) != 3 || len(targets) != 3 {
		t.Errorf("%d stops for 3 tasks on %d machines", len(round.Stops), len(targets))
	}
	if n := len(build(3).Stops(9, map[string]bool{}).Stops); n != 0 {
		t.Errorf("%d stops while earlier ones are on their way out", n)
	}
}

// grownFleet is a snapshot of the size that deployments have grown to: all
// machines in use, some room here and there, and a burst of waiting jobs.
func grownFleet(machines, jobs int) *Snapshot {
	s := &Snapshot{UpperCap: 0.3, Quotas: map[string]*Quota{}}
	for i := range 6 {
		s.Quotas[string(rune('a'+i))] = &Quota{Guaranteed: Need{Cores: 1800}, Maximum: Need{Cores: 6000}}
	}
	types := []*Type{{Name: "s", Size: Need{Cores: 4, Mem: 8}, Price: 1}, {Name: "l", Size: Need{Cores: 64, Accel: 8, Mem: 384}, Price: 20}}
	for i := range machines {
		typ := types[i%2]
		m := &Machine{ID: "i-" + string(rune('0'+i)), Type: typ, Zone: string(rune('x' + i%3)), Free: typ.Size.Times(float64(i%3) / 4),
			Room: 50, Used: true, Images: map[string]bool{string(rune('A' + i%12)): true}}
		s.Machines = append(s.Machines, m)
		s.Capacity = s.Capacity.Plus(typ.Size)
	}
	for i := range jobs {
		j := &Job{ID: "j-" + string(rune('0'+i)), Team: string(rune('a' + i%6)), Image: string(rune('A' + i%12)), Service: i%3 == 0,
			Need: Need{Cores: 2, Mem: 2.8}, Tasks: 12, Slots: 1, Upper: i%3 == 1, Degradation: 1, Spread: i%3 == 0, Submitted: int64(i)}
		if i%2 == 0 {
			j.Need = Need{Cores: 11, Accel: 2, Mem: 50}
		}
		for k := range 12 {
			j.Waiting = append(j.Waiting, k)
		}
		s.Jobs = append(s.Jobs, j)
	}
	return s
}

// The work of a fill is counted in machines looked at. It may grow with tasks
// placed times machines, never with all tasks times machines: a job for which
// there is no room is looked for once a pass.
func TestFillWorkAtFullSize(t *testing.T) {
	const machines, jobs = 800, 300
	s := grownFleet(machines, jobs)
	placed := len(s.Fill())
	if most := (placed + 4*jobs) * machines; placed == 0 || s.Looked > most {
		t.Errorf("%d machines looked at for %d tasks placed, at most %d", s.Looked, placed, most)
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

// What a machine's end interrupted goes on before new tasks of better rank take
// spare room, and no more than that (fleet of the parking authority, calm: such
// tasks of large jobs waited 56 to 89 s).
func TestInterruptedTasksResumeFirst(t *testing.T) {
	old := batch("old", 6, func(j *Job) { j.Upper, j.Attained, j.Held, j.Resume = false, 50, 1, 2 })
	young := batch("young", 6, func(j *Job) { j.Upper, j.Held, j.Slots = false, 1, 1 })
	ms := machines(box, "a")
	ms[0].Free = Need{Cores: 5, Mem: 32}
	got := started(snap(ms, old, young).Fill())
	if got["old"] != 2 || got["young"] != 3 {
		t.Errorf("%v, want the two that were interrupted and three of the younger job", got)
	}
}

// Room kept for expected work, and what batches leave of a limit, starve no batch:
// one that has had no task anywhere for longer than a boot gets one, not more.
func TestStarvedBatchMayUseHeadroom(t *testing.T) {
	for _, starved := range []bool{false, true} {
		expected := batch("~web", 8, func(j *Job) { j.Service, j.Headroom, j.Team = true, true, "" })
		s := snap(machines(box, "a"), expected, batch("b", 3, func(j *Job) { j.Starved = starved }))
		s.Quotas["red"].ServiceReserve = Need{Cores: 100}
		want := 0
		if starved {
			want = 1
		}
		if got := started(s.Fill())["b"]; got != want {
			t.Errorf("starved %v: %d tasks started, want %d", starved, got, want)
		}
	}
}

// A gang that must be together goes to the zone that holds all of it, though the
// best place for its first task is elsewhere; where nothing holds it, nothing of it
// starts and no room is taken.
func TestGangIsPlacedWhole(t *testing.T) {
	gang := func(n int) *Job {
		return batch("g", n, func(j *Job) {
			j.Gang, j.Upper, j.OneZone, j.Need, j.Slots = true, false, true, Need{Cores: 4, Mem: 1}, n
		})
	}
	ms := machines(box, "a", "b", "b")
	ms[0].Used, ms[0].Images = true, map[string]bool{"": true}
	s := snap(ms, gang(4))
	ps := s.Fill()
	if len(ps) != 4 {
		t.Fatalf("%d of 4 tasks are placed", len(ps))
	}
	for _, p := range ps {
		if p.Machine.Zone != "b" {
			t.Errorf("a task is in zone %s", p.Machine.Zone)
		}
	}
	ms = machines(box, "a", "b")
	s = snap(ms, gang(3), batch("x", 16, func(j *Job) { j.Slots, j.Upper = 16, false }))
	if got := started(s.Fill()); got["g"] != 0 || got["x"] != 16 {
		t.Errorf("started %v: a gang without room for all of it is in the way", got)
	}
}

// Room for a part of a gang that has waited for long is held back from jobs behind
// it, and an older one comes first.
func TestRoomIsHeldBackForStarvedGang(t *testing.T) {
	gang := func(id string, n int, submitted int64) *Job {
		return batch(id, n, func(j *Job) {
			j.Gang, j.Upper, j.Starved, j.Need, j.Slots, j.Submitted = true, false, true, Need{Cores: 4, Mem: 1}, n, submitted
		})
	}
	small := batch("x", 16, func(j *Job) { j.Slots, j.Upper = 16, false })
	ms := machines(box, "a", "b")
	ms[1].Free = Need{} // full for now
	if got := started(snap(ms, small, gang("g", 3, 1)).Fill()); got["x"] != 0 || got["g"] != 0 {
		t.Errorf("started %v: small tasks took the room of a starved gang", got)
	}
	small = batch("x", 16, func(j *Job) { j.Slots, j.Upper = 16, false })
	if got := started(snap(machines(box, "a"), small, gang("g", 3, 1)).Fill()); got["x"] != 8 {
		t.Errorf("started %v: a gang that these machines can't hold keeps their room", got)
	}
	if got := started(snap(machines(box, "a"), gang("young", 2, 2), gang("old", 2, 1)).Fill()); got["old"] != 2 || got["young"] != 0 {
		t.Errorf("started %v: the older gang comes first", got)
	}
}

// A round rather stops tasks of arrays than a gang, which stops whole; where there
// is nothing else, a gang of lower priority gives way too.
func TestArraysArePreemptedBeforeGangs(t *testing.T) {
	for _, alone := range []bool{false, true} {
		ms := machines(box, "a", "a")
		gang := batch("g", 0, func(j *Job) {
			j.Gang, j.Upper, j.Need, j.Held, j.Slots, j.Tasks = true, false, Need{Cores: 4, Mem: 1}, 4, 4, 4
		})
		array := batch("x", 0, func(j *Job) { j.Upper, j.Need, j.Held = false, Need{Cores: 8, Mem: 1}, 1 })
		urgent := batch("s", 1, func(j *Job) { j.Service, j.Priority, j.Upper, j.Need = true, 3, false, Need{Cores: 4, Mem: 1} })
		jobs := []*Job{urgent, gang}
		hold := func(m *Machine, j *Job, n int) {
			for i := range n {
				m.Running = append(m.Running, RunningTask{Job: j, Index: i, SinceS: 30})
				m.Free = m.Free.Minus(j.Need)
			}
		}
		hold(ms[0], gang, 2)
		if alone {
			hold(ms[1], gang, 2)
		} else {
			hold(ms[1], array, 1)
			jobs = append(jobs, array)
		}
		stops := snap(ms, jobs...).Stops(10, map[string]bool{}).Stops
		if len(stops) != 1 || stops[0].Victim.Job.Gang != alone {
			t.Errorf("alone %v: %d stops", alone, len(stops))
		}
	}
}
