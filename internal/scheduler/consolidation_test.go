package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// halfFullFleet is a fleet of two machines in use that have an image and room for half a machine.
func halfFullFleet() *Snapshot {
	ms := machines(box, "a", "a")
	for _, m := range ms {
		m.Used, m.Images = true, map[string]bool{"img": true}
		m.Free = Resources{Cores: 4, Mem: 16}
	}
	return snap(ms)
}

// Replicas are moved only to machines in use that have their images, and only if the headroom for
// expected ones stays.
func TestWithoutMachine(t *testing.T) {
	replica := func(cores float64) []*Job {
		return []*Job{batch("web", 1, func(j *Job) { j.Service, j.Image, j.Request = true, "img", Resources{Cores: cores, Mem: 1} })}
	}
	none := func() []*Job { return nil }
	expect := func() []*Job {
		return []*Job{batch("~web", 2, func(j *Job) { j.Team, j.Service, j.IsHeadroom, j.Request = "", true, true, Resources{Cores: 2, Mem: 1} })}
	}
	withoutImages := func(s *Snapshot) { s.Machines[1].Images = nil }
	for _, tc := range []struct {
		name     string
		change   func(*Snapshot)
		cores    float64 // of the replica to move
		expected func() []*Job
		possible bool
	}{
		{"there is room", nil, 4, none, true},
		{"there is no room", nil, 5, none, false},
		{"the headroom for expected replicas would be gone", nil, 4, expect, false},
		{"the image would have to be fetched", withoutImages, 4, none, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := halfFullFleet()
			if tc.change != nil {
				tc.change(s)
			}
			if got := s.WithoutMachine("box-0", replica(tc.cores), tc.expected) != nil; got != tc.possible {
				t.Errorf("the machine can be emptied: %v, want %v", got, tc.possible)
			}
		})
	}
}

// While replicas of drained machines move, batches don't start in the room that they need.
func TestBatchesWaitWhileReplicasMove(t *testing.T) {
	s := halfFullFleet()
	s.Draining = true
	s.Jobs = []*Job{batch("b", 3, nil), batch("web", 1, func(j *Job) { j.Service = true })}
	if d := cmp.Diff(map[string]int{"web": 1}, started(s.Fill())); d != "" {
		t.Error(d)
	}
}

// All machines of a fleet of one type are expensive, however the sum of their prices rounds.
func TestIsExpensiveIgnoresRounding(t *testing.T) {
	typ, small := &Type{Price: 21.51}, &Type{Price: 0.19}
	s := &Snapshot{}
	for n := range 300 {
		s.Machines = append(s.Machines, &Machine{Type: typ})
		if !s.IsExpensive(s.Machines[0]) {
			t.Fatalf("%d machines of one type are not expensive", n+1)
		}
	}
	cheap := &Machine{Type: small}
	s.Machines = append(s.Machines, cheap)
	if s.IsExpensive(cheap) || !s.IsExpensive(s.Machines[0]) {
		t.Fatal("the cheap machine is expensive, or the others are not")
	}
}
