package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Replicas are moved only to machines in use that have their images, and only if the headroom for
// expected ones stays. While replicas move, batches don't start.
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
		t.Error("the machine can't be emptied, though there is room for its replica")
	}
	if build().WithoutMachine("box-0", replica(5), none) != nil {
		t.Error("the machine can be emptied, though there is no room for its replica")
	}
	if build().WithoutMachine("box-0", replica(4), expect) != nil {
		t.Error("there would be no headroom for expected replicas")
	}
	s := build()
	s.Machines[1].Images = nil
	if s.WithoutMachine("box-0", replica(4), none) != nil {
		t.Error("the machine can be emptied, though the image would have to be fetched")
	}
	s = build()
	s.Moving = true
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
