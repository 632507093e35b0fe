package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomTypes lists the machine types of random snapshots, one of them with accelerators.
var randomTypes = []*MachineType{
	{Name: "small", Size: Resources{Cores: 4, MemoryGB: 8}, Price: 1, SpotPrice: 0.4, Zones: []string{"a", "b", "c"}, BootS: 10, FetchGBPerS: 0.5},
	{Name: "large", Size: Resources{Cores: 32, MemoryGB: 128}, Price: 6, SpotPrice: 2, Zones: []string{"a", "b"}, BootS: 10, FetchGBPerS: 2},
	{Name: "accel", Size: Resources{Cores: 64, Accelerators: 8, MemoryGB: 384}, Price: 20, SpotPrice: 8, Zones: []string{"a", "c"}, BootS: 20, FetchGBPerS: 2},
}

// randomSnapshot returns a random snapshot, the same for the same seed. Resources are multiples of a quarter, so that
// their sums and differences are exact.
func randomSnapshot(seed uint64) *Snapshot {
	rng := rand.New(rand.NewPCG(seed, 7))
	quarter := func(n int) float64 { return float64(rng.IntN(n)) / 4 }
	s := &Snapshot{UpperQueueCap: 0.3, Quotas: map[string]*Quota{}}
	for i := range 1 + rng.IntN(5) {
		s.Quotas[fmt.Sprint("team-", i)] = &Quota{Guaranteed: Resources{Cores: quarter(200), Accelerators: float64(rng.IntN(20))},
			Maximum: Resources{Cores: quarter(3000), Accelerators: float64(rng.IntN(120))}, ServiceReserve: Resources{Cores: quarter(20)}}
	}
	jobs := randomJobs(rng, quarter, len(s.Quotas))
	for i := range 2 + rng.IntN(60) {
		t := randomTypes[rng.IntN(len(randomTypes))]
		m := &Machine{ID: fmt.Sprintf("i-%03d", i), Type: t, Zone: t.Zones[rng.IntN(len(t.Zones))], Spot: rng.IntN(3) == 0,
			Free: t.Size, TaskCapacity: rng.IntN(30), InUse: rng.IntN(2) == 0, Images: map[string]bool{}, Booting: rng.IntN(8) == 0}
		if rng.IntN(2) == 0 {
			m.Free = Resources{Cores: min(t.Size.Cores, quarter(int(4*t.Size.Cores)+1)), Accelerators: float64(rng.IntN(int(t.Size.Accelerators) + 1)), MemoryGB: quarter(int(4*t.Size.MemoryGB) + 1)}
		}
		for range rng.IntN(4) {
			m.Images[fmt.Sprint("img-", rng.IntN(5))] = true
		}
		if rng.IntN(5) == 0 {
			m.Fetching = map[string]bool{fmt.Sprint("img-", rng.IntN(5)): true}
		}
		if rng.IntN(10) == 0 {
			m.ReservedFor = jobs[rng.IntN(len(jobs))].ID
		}
		runRandomTasks(rng, m, jobs, 1000+10*i)
		s.Machines = append(s.Machines, m)
		s.Capacity = s.Capacity.Plus(t.Size)
	}
	s.Jobs = jobs
	s.Draining = rng.IntN(12) == 0
	return s
}

// runRandomTasks adds running tasks to a machine, as candidates for preemption.
func runRandomTasks(rng *rand.Rand, m *Machine, jobs []*Job, first int) {
	for i := range rng.IntN(4) {
		j := jobs[rng.IntN(len(jobs))]
		if j.IsHeadroom || !j.Request.Fits(m.Free) {
			continue
		}
		m.Running = append(m.Running, RunningTask{Job: j, Index: first + i, RunningS: float64(rng.IntN(100))})
		m.Free, m.InUse = m.Free.Minus(j.Request), true
		j.Assigned++
		j.InZone[m.Zone]++
	}
}

func randomJobs(rng *rand.Rand, quarter func(int) float64, teams int) []*Job {
	var jobs []*Job
	for i := range 2 + rng.IntN(40) {
		j := &Job{ID: fmt.Sprintf("j-%03d", i), Team: fmt.Sprint("team-", rng.IntN(teams)), Image: []string{"", fmt.Sprint("img-", rng.IntN(5))}[min(1, rng.IntN(6))],
			ImageGB: quarter(40), StartObjectiveS: quarter(40), Service: rng.IntN(3) == 0, Gang: rng.IntN(6) == 0, Priority: rng.IntN(4), Submitted: int64(rng.IntN(20)),
			Request: Resources{Cores: quarter(48), MemoryGB: quarter(100)}, Spot: rng.IntN(2) == 0, Degradation: 1, Attained: quarter(50), Slots: 1 + rng.IntN(4),
			InUpperQueue: rng.IntN(2) == 0, InZone: map[string]int{}, UntilDeadlineS: quarter(100), DeadlineMissed: rng.IntN(5) == 0, Starved: rng.IntN(4) == 0, WaitedTwoBoots: rng.IntN(4) == 0,
			AvoidsAccelerators: rng.IntN(3) == 0, OneZone: rng.IntN(8) == 0, Spread: rng.IntN(5) == 0, Interrupted: rng.IntN(2)}
		if rng.IntN(3) == 0 {
			j.Request.Accelerators = float64(rng.IntN(5))
		}
		if rng.IntN(4) == 0 {
			j.Types = map[string]bool{randomTypes[rng.IntN(3)].Name: true, randomTypes[rng.IntN(3)].Name: true}
		}
		if rng.IntN(8) == 0 {
			j.Zone = []string{"a", "b", "c"}[rng.IntN(3)]
		}
		if rng.IntN(6) == 0 {
			j.AvoidMachines = map[string]bool{fmt.Sprintf("i-%03d", rng.IntN(60)): true, fmt.Sprintf("i-%03d", rng.IntN(60)): true}
		}
		if j.Service {
			j.Gang, j.InUpperQueue = false, false
		}
		if rng.IntN(10) == 0 {
			j.Service, j.Gang, j.IsHeadroom, j.Team = true, false, true, ""
			if rng.IntN(2) == 0 {
				j.Images = []ImageShare{{"img-1", 0.5}, {"img-2", 0.5}}
			}
		}
		j.Tasks = 1 + rng.IntN(14)
		for k := range j.Tasks {
			j.Waiting = append(j.Waiting, k)
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// formatPlacements formats the placements of a fill, in their order.
func formatPlacements(ps []Placement) (lines []string) {
	for _, p := range ps {
		lines = append(lines, fmt.Sprintf("%s/%d on %s", p.Job.ID, p.Index, p.Machine.ID))
	}
	return lines
}

// formatPreemption formats the stops and reservations of a round, in their order.
func formatPreemption(p Preemption) (lines []string) {
	for _, st := range p.Stops {
		lines = append(lines, fmt.Sprintf("stop %s/%d on %s for %s", st.Victim.Job.ID, st.Victim.Index, st.Machine.ID, st.For.ID))
	}
	for _, reservation := range p.Reservations {
		lines = append(lines, fmt.Sprintf("reserve %s for %d of %s", reservation.Machine.ID, reservation.Tasks, reservation.Job.ID))
	}
	return lines
}

// The decisions with the index equal the decisions of the oracle, which scores all machines. The test compares fills,
// the preemption of a round after a fill, and the launches of a plan, for random fleets.
func TestIndexMatchesFullScan(t *testing.T) {
	placed, stops, rented := 0, 0, 0
	for seed := range uint64(3000) {
		got, want := randomSnapshot(seed), &oracle{Snapshot: randomSnapshot(seed)}
		a, b := formatPlacements(got.Fill()), formatPlacements(want.Fill())
		placed += len(a)
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d: fill decided\n%v\nwant\n%v", seed, a, b)
		}
		a, b = formatPreemption(got.Preempt(20, map[string]bool{})), formatPreemption(want.Stops(20))
		stops += len(a)
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d: round decided\n%v\nwant\n%v", seed, a, b)
		}
		blocked := func(p Pool) bool { return p.Zone == "b" && p.Spot }
		got, want = randomSnapshot(seed), &oracle{Snapshot: randomSnapshot(seed)}
		x, y := got.Plan(randomTypes, blocked, 20), want.Plan(randomTypes, blocked, 20)
		rented += len(x)
		if !slices.Equal(x, y) {
			t.Fatalf("seed %d: plan launches %v, want %v", seed, x, y)
		}
	}
	if placed < 1000 || stops < 1000 || rented < 1000 {
		t.Errorf("the random fleets give too few decisions: %d placements, %d stops, %d launches, want 1000 of each", placed, stops, rented)
	}
}

// The decisions with an index that is updated while machines change, are added and are removed equal the decisions of
// the oracle, which scores all machines.
func TestUpdatedIndexMatchesFullScan(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 11))
		s := randomSnapshot(seed)
		s.useIndex()
		for step := range 12 {
			for range 1 + rng.IntN(6) {
				changeRandomMachine(rng, s, seed*100+uint64(step))
			}
			fresh := copySnapshot(s)
			a, b := formatPlacements(s.Fill()), formatPlacements((&oracle{Snapshot: fresh}).Fill())
			if !slices.Equal(a, b) {
				t.Fatalf("seed %d, step %d: fill with the updated index decided\n%v\nwant\n%v", seed, step, a, b)
			}
			s.Jobs = randomJobs(rng, func(n int) float64 { return float64(rng.IntN(n)) / 4 }, len(s.Quotas))
		}
	}
}

// changeRandomMachine changes, adds or removes one machine.
func changeRandomMachine(rng *rand.Rand, s *Snapshot, seed uint64) {
	i := rng.IntN(len(s.Machines))
	m := s.Machines[i]
	switch rng.IntN(7) {
	case 0:
		m.Free = m.Type.Size
	case 1:
		m.Images[fmt.Sprint("img-", rng.IntN(5))] = true
	case 2:
		m.ReservedFor = []string{"", "j-001"}[rng.IntN(2)]
	case 3:
		m.Fetching, m.InUse = nil, !m.InUse
	case 4:
		m.TaskCapacity = rng.IntN(5)
	case 5:
		if len(s.Machines) > 2 {
			s.index.remove(m)
			s.Machines = slices.Delete(s.Machines, i, i+1)
		}
		return
	case 6:
		added := randomSnapshot(seed).Machines[0]
		added.ID, added.position = fmt.Sprint("n-", seed, len(s.Machines)), s.Machines[len(s.Machines)-1].position+1
		s.Machines = append(s.Machines, added)
		m = added
	}
	s.machineChanged(m)
	s.withRoom = [2][]*Machine{}
}

// copySnapshot returns a copy of the state that a fill changes, without running tasks.
func copySnapshot(s *Snapshot) *Snapshot {
	copiedSnapshot := s.clone("")
	copiedSnapshot.Draining = s.Draining
	for name, quota := range s.Quotas {
		copied := *quota
		copiedSnapshot.Quotas[name] = &copied
	}
	for _, j := range s.Jobs {
		copied := *j
		copied.Waiting = slices.Clone(j.Waiting)
		copied.InZone = map[string]int{}
		for zone, n := range j.InZone {
			copied.InZone[zone] = n
		}
		copiedSnapshot.Jobs = append(copiedSnapshot.Jobs, &copied)
	}
	for _, m := range copiedSnapshot.Machines {
		m.Running = nil
	}
	return copiedSnapshot
}
