package scheduler

import (
	"maps"
	"testing"
)

// onProbation returns an empty machine for each of the zones that gets one probe at a time.
func onProbation(zones ...string) []*Machine {
	list := machines(box, zones...)
	for _, m := range list {
		m.ID, m.OnProbation, m.SingleProbe = "probation-"+m.ID, true, true
	}
	return list
}

// startedOnProbation counts the placements on machines on probation.
func startedOnProbation(placements []Placement) int {
	n := 0
	for _, p := range placements {
		if p.Machine.OnProbation {
			n++
		}
	}
	return n
}

// Tasks go to machines on probation only if they find no room elsewhere, one to each machine, services before batches,
// and never to a machine on which the job has failed. Expected replicas and headroom take no part.
func TestProbesAreSingleTasksWithoutOtherRoom(t *testing.T) {
	array := func(n int) *Job { return batch("x", n, func(j *Job) { j.Slots, j.InUpperQueue = n, false }) }
	s := newSnapshot(machines(box, "a"), array(8))
	s.Probation = onProbation("a")
	if n := startedOnProbation(s.Fill()); n != 0 {
		t.Errorf("%d tasks on probation although there is room elsewhere", n)
	}
	s = newSnapshot(machines(box, "a"), array(12))
	s.Probation = onProbation("a", "b")
	if placed := s.Fill(); len(placed) != 10 || startedOnProbation(placed) != 2 {
		t.Errorf("%d tasks placed, %d on probation, want 10 and 2", len(placed), startedOnProbation(placed))
	}
	service := batch("s", 1, func(j *Job) { j.Service, j.InUpperQueue = true, false })
	expected := batch("h", 1, func(j *Job) { j.Service, j.IsHeadroom = true, true })
	s = newSnapshot(nil, expected, array(4), service)
	s.Probation = onProbation("a")
	if placed := s.Fill(); len(placed) != 1 || placed[0].Job != service {
		t.Errorf("placed on a single machine on probation: %v, want the replica", startedByJob(placed))
	}
	failed := batch("x", 1, func(j *Job) { j.AvoidMachines = map[string]bool{"probation-box-0": true} })
	s = newSnapshot(nil, failed)
	s.Probation = onProbation("a")
	if placed := s.Fill(); len(placed) != 0 {
		t.Error("a job probes a machine on which it has failed")
	}
}

// Each job may probe a machine that is only suspected, with one task at a time, so that a probe keeps no other job from
// it. Where there is one probe at a time, none is placed beside another one.
func TestEachJobProbesSuspectedMachine(t *testing.T) {
	array := func(id string) *Job { return batch(id, 4, func(j *Job) { j.Slots, j.InUpperQueue = 4, false }) }
	for _, test := range []struct {
		name        string
		singleProbe bool
		probing     map[string]bool
		want        map[string]int
	}{
		{"suspected", false, nil, map[string]int{"x": 1, "y": 1}},
		{"suspected, x probes it", false, map[string]bool{"x": true}, map[string]int{"y": 1}},
		{"confirmed", true, nil, map[string]int{"x": 1}},
		{"confirmed, z probes it", true, map[string]bool{"z": true}, map[string]int{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSnapshot(nil, array("x"), array("y"))
			s.Probation = onProbation("a")
			s.Probation[0].SingleProbe, s.Probation[0].ProbingJobs = test.singleProbe, test.probing
			if got := startedByJob(s.Fill()); !maps.Equal(got, test.want) {
				t.Errorf("started %v, want %v", got, test.want)
			}
		})
	}
}

// A gang on a machine that gets one probe at a time is that probe: neither another gang nor a single task joins it.
func TestGangIsTheOnlyProbe(t *testing.T) {
	gang := func(id string) *Job {
		return batch(id, 2, func(j *Job) {
			j.Gang, j.InUpperQueue, j.Starved, j.Request, j.Slots = true, false, true, Resources{Cores: 1, MemoryGB: 1}, 2
		})
	}
	for _, singleProbe := range []bool{true, false} {
		s := newSnapshot(nil, gang("g"), gang("h"), batch("x", 1, func(*Job) {}))
		s.Probation = onProbation("a")
		s.Probation[0].SingleProbe = singleProbe
		want := map[string]int{"g": 2}
		if !singleProbe {
			want = map[string]int{"g": 2, "h": 2, "x": 1}
		}
		if got := startedByJob(s.Fill()); !maps.Equal(got, want) {
			t.Errorf("one probe at a time %v: started %v, want %v", singleProbe, got, want)
		}
	}
}

// A starved gang that finds no other room is placed whole with the machines on probation, and a gang that does not fit
// even then leaves no trace.
func TestStarvedGangUsesMachinesOnProbation(t *testing.T) {
	gang := func(n int, starved bool) *Job {
		return batch("g", n, func(j *Job) {
			j.Gang, j.InUpperQueue, j.Starved, j.Request, j.Slots = true, false, starved, Resources{Cores: 4, MemoryGB: 1}, n
		})
	}
	for _, test := range []struct {
		tasks, placed int
		starved       bool
	}{{6, 6, true}, {6, 0, false}, {7, 0, true}} {
		s := newSnapshot(machines(box, "a"), gang(test.tasks, test.starved))
		s.Probation = onProbation("a", "b")
		if placed := s.Fill(); len(placed) != test.placed {
			t.Errorf("%d tasks of a gang of %d placed, want %d", len(placed), test.tasks, test.placed)
		}
		if used := s.Quotas["red"].Used.Cores; used != float64(4*test.placed) {
			t.Errorf("a gang of %d tasks uses %g cores of the quota", test.tasks, used)
		}
		if len(s.Machines) != 1 || len(s.index.machines) != 1 {
			t.Errorf("%d machines in the snapshot and %d in its index, want those that are not on probation", len(s.Machines), len(s.index.machines))
		}
		if free := s.Probation[0].Free.Cores; test.placed == 0 && free != box.Size.Cores {
			t.Errorf("a gang that was not placed leaves %g cores free", free)
		}
	}
}
