package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// A candidateHeap selects the same machines as a fullScan, which scores all machines for each task.
func TestCandidateHeapMatchesFullScan(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	for round := range 200 {
		var fleet []*Machine
		for i := range 1 + rng.IntN(30) {
			typ := box
			if rng.IntN(2) == 0 {
				typ = gpu
			}
			m := &Machine{ID: fmt.Sprint(i), Type: typ, Zone: "a", TaskCapacity: rng.IntN(12), Free: typ.Size.Times(float64(rng.IntN(5)) / 4),
				Images: map[string]bool{"img": rng.IntN(3) == 0}, Booting: rng.IntN(4) == 0, InUse: rng.IntN(2) == 0, Spot: rng.IntN(2) == 0}
			if rng.IntN(10) == 0 {
				m.ReservedFor = "other"
			}
			fleet = append(fleet, m)
		}
		j := batch("work", 3+rng.IntN(60), func(j *Job) {
			j.Image, j.Request, j.Spot, j.AvoidsAccelerators = "img", Resources{Cores: 1 + float64(rng.IntN(3)), Accelerators: float64(rng.IntN(2)), MemoryGB: 1}, true, rng.IntN(2) == 0
		})
		s := newSnapshot(fleet, j)
		s.reserveAcceleratorCores = rng.IntN(2) == 0
		forHeap, forScan := s.clone(""), s.clone("")
		forHeap.reserveAcceleratorCores, forScan.reserveAcceleratorCores = s.reserveAcceleratorCores, s.reserveAcceleratorCores
		selectedMachines := func(s *Snapshot, c machineSelector, j Job) (machineIDs []string) {
			for len(j.Waiting) > 0 {
				m := c.best()
				if m == nil {
					return machineIDs
				}
				machineIDs = append(machineIDs, m.ID)
				s.assign(&j, m)
				c.assigned(m)
			}
			return machineIDs
		}
		a := selectedMachines(forHeap, forHeap.candidateHeapFor(j), *j)
		b := selectedMachines(forScan, fullScan{forScan, j}, *j)
		if fmt.Sprint(a) != fmt.Sprint(b) {
			t.Fatalf("round %d: candidateHeap selected\n%v\nwant, as fullScan selected,\n%v", round, a, b)
		}
	}
}

// In a fill for a job with thousands of tasks, each assignment scores only the assigned machine again, not all
// machines.
func TestFillWorkOfALargeArray(t *testing.T) {
	s := newSnapshot(machines(box, make([]string, 800)...), batch("work", 5000, func(j *Job) { j.InUpperQueue = false }))
	s.Quotas["red"].Maximum = Resources{}
	if got := startedByJob(s.Fill())["work"]; got != 5000 {
		t.Fatalf("%d tasks started, want 5000", got)
	}
	if s.MachinesExamined > 20_000 {
		t.Errorf("%d machines examined, want at most 20000", s.MachinesExamined)
	}
}
