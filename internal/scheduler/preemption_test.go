package scheduler

import (
	"fmt"
	"testing"
)

// A round whose work is bounded goes on with the next one where it stopped: jobs that it
// looked at in vain are left out until all have been looked at.
func TestBoundedRoundContinuesInNextRound(t *testing.T) {
	build := func() *Snapshot {
		var ms []*Machine
		for i := range 2_000 {
			ms = append(ms, &Machine{ID: fmt.Sprintf("i-%05d", i), Type: box, Zone: "a", Room: 10})
		}
		s := snap(ms)
		s.Quotas = map[string]*Quota{"low": {}}
		low := batch("low", 0, func(j *Job) { j.Team, j.Held, j.Upper, j.Need = "low", len(ms), false, Need{Cores: 1, Mem: 1} })
		for i, m := range ms {
			m.Running = []RunningTask{{Job: low, Index: i, SinceS: 10}}
		}
		s.Jobs = append(s.Jobs, low)
		// Each is of a team of its own, so that each has to look for itself, and too large.
		for i := range 250 {
			team := fmt.Sprint("team-", i)
			s.Quotas[team] = &Quota{}
			s.Jobs = append(s.Jobs, batch(fmt.Sprintf("large-%03d", i), 1, func(j *Job) {
				j.Team, j.Priority, j.Need, j.Upper = team, 2, Need{Cores: 4, Mem: 4}, false
			}))
		}
		s.Jobs = append(s.Jobs, batch("last", 1, func(j *Job) {
			j.Team, j.Priority, j.Need, j.Upper, j.Submitted = "team-0", 2, Need{Cores: 1, Mem: 1}, false, 9
		}))
		return s
	}
	searched := map[string]bool{}
	rounds := 0
	for {
		rounds++
		s := build()
		got := s.Stops(10, searched).Stops
		if s.taskMachinesExamined > maxTaskMachinesExamined+len(s.Machines) {
			t.Fatalf("a round looked at %d machines", s.taskMachinesExamined)
		}
		if len(got) > 0 {
			if got[0].For.ID != "last" {
				t.Errorf("stopped for %s", got[0].For.ID)
			}
			break
		}
		if rounds > 5 {
			t.Fatal("the last job's turn never comes")
		}
	}
	if rounds < 2 || len(searched) != 0 {
		t.Errorf("%d rounds, %d jobs are left out after the last", rounds, len(searched))
	}
}

// Replicas that are alike look for what to stop once, and still each gets a machine of its own.
func TestAlikeReplicasSharePreemptionCosts(t *testing.T) {
	const count = 400
	var ms []*Machine
	for i := range 3 * count {
		ms = append(ms, &Machine{ID: fmt.Sprintf("i-%05d", i), Type: box, Zone: "a", Room: 10})
	}
	s := snap(ms)
	low := batch("low", 0, func(j *Job) { j.Held, j.Upper, j.Need = len(ms), false, Need{Cores: 8, Mem: 1} })
	for i, m := range ms {
		m.Running = []RunningTask{{Job: low, Index: i, SinceS: float64(i % 7)}}
	}
	s.Jobs = []*Job{low}
	for i := range count {
		s.Jobs = append(s.Jobs, batch(fmt.Sprintf("web-%03d", i), 1, func(j *Job) {
			j.Service, j.Upper, j.Team, j.Priority, j.Need = true, false, "blue", 3, Need{Cores: 0.25, Mem: 1}
		}))
	}
	round := s.Stops(2*count, map[string]bool{})
	seen := map[string]bool{}
	for _, kept := range round.Reservations {
		seen[kept.Machine.ID] = true
	}
	if len(round.Stops) != count || len(seen) != count || s.taskMachinesExamined > 3*len(ms) {
		t.Errorf("%d stops, %d machines, %d looked at", len(round.Stops), len(seen), s.taskMachinesExamined)
	}
}
