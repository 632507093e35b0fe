package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// halfFullFleet returns a snapshot of two used machines that have the image img and half of their resources free.
func halfFullFleet() *Snapshot {
	ms := machines(box, "a", "a")
	for _, m := range ms {
		m.InUse, m.Images = true, map[string]bool{"img": true}
		m.Free = Resources{Cores: 4, MemoryGB: 16}
	}
	return newSnapshot(ms)
}

// Consolidation moves replicas only to used machines that have their images, and only if the headroom for expected
// replicas does not shrink.
func TestWithoutMachine(t *testing.T) {
	replica := func(cores float64) []*Job {
		return []*Job{batch("web", 1, func(j *Job) { j.Service, j.Image, j.Request = true, "img", Resources{Cores: cores, MemoryGB: 1} })}
	}
	none := func() []*Job { return nil }
	expect := func() []*Job {
		return []*Job{batch("~web", 2, func(j *Job) {
			j.Team, j.Service, j.IsHeadroom, j.Request = "", true, true, Resources{Cores: 2, MemoryGB: 1}
		})}
	}
	withoutImages := func(s *Snapshot) { s.Machines[1].Images = nil }
	for _, tc := range []struct {
		name     string
		change   func(*Snapshot)
		cores    float64 // of the replica to move
		expected func() []*Job
		possible bool
	}{
		{"the other machine has room", nil, 4, none, true},
		{"the other machine has no room", nil, 5, none, false},
		{"the move would use the headroom for expected replicas", nil, 4, expect, false},
		{"the image would have to be fetched", withoutImages, 4, none, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := halfFullFleet()
			if tc.change != nil {
				tc.change(s)
			}
			if got := s.WithoutMachine("box-0", replica(tc.cores), tc.expected) != nil; got != tc.possible {
				t.Errorf("machine can be emptied = %v, want %v", got, tc.possible)
			}
		})
	}
}

// No batch that is not starved starts while replicas of drained machines move, because it would take the room for the
// replicas.
func TestBatchesWaitWhileReplicasMove(t *testing.T) {
	s := halfFullFleet()
	s.Draining = true
	s.Jobs = []*Job{batch("b", 3, nil), batch("web", 1, func(j *Job) { j.Service = true })}
	if d := cmp.Diff(map[string]int{"web": 1}, startedByJob(s.Fill())); d != "" {
		t.Error(d)
	}
}

// All machines of a fleet with one machine type are expensive, regardless of rounding errors in the sum of their
// prices.
func TestIsExpensiveIgnoresRounding(t *testing.T) {
	typ, small := &MachineType{Price: 21.51}, &MachineType{Price: 0.19}
	s := &Snapshot{}
	for n := range 300 {
		s.Machines = append(s.Machines, &Machine{Type: typ})
		if !s.IsExpensive(s.Machines[0]) {
			t.Fatalf("a machine is not expensive in a fleet of %d machines of one type", n+1)
		}
	}
	cheap := &Machine{Type: small}
	s.Machines = append(s.Machines, cheap)
	if s.IsExpensive(cheap) || !s.IsExpensive(s.Machines[0]) {
		t.Fatal("the cheap machine counts as expensive, or the expensive ones don't")
	}
}
