package scheduler

import (
	"fmt"
	"testing"
)

// waitingGang is a gang of high priority whose tasks take half a box each.
func waitingGang(tasks int, change func(*Job)) *Job {
	return batch("gang", tasks, func(j *Job) {
		j.Gang, j.Upper, j.Priority, j.Slots = true, false, 2, tasks
		j.Need = Need{Cores: 4, Mem: 1}
		if change != nil {
			change(j)
		}
	})
}

// appendPreemptible puts tasks of half a box each on machines, the first one the youngest.
func runningOn(id string, change func(*Job), on ...*Machine) *Job {
	j := batch(id, 0, func(j *Job) {
		j.Upper, j.Need, j.Attained = false, Need{Cores: 4, Mem: 1}, 1
		if change != nil {
			change(j)
		}
	})
	j.Held, j.Slots, j.Tasks = len(on), len(on), len(on)
	for i, m := range on {
		m.Running = append(m.Running, RunningTask{Job: j, Index: i, SinceS: 10 + float64(i)})
		m.Free, m.Used = m.Free.Minus(j.Need), true
		j.InZone[m.Zone]++
	}
	return j
}

func lowPriority(j *Job)  { j.Priority = 0 }
func samePriority(j *Job) { j.Priority = 2 }
func asGang(j *Job)       { j.Gang = true }
func inTeamBlue(j *Job)   { j.Team, j.Priority = "blue", 3 }
func inOneZone(j *Job)    { j.OneZone = true }
func spread(j *Job)       { j.Spread = true }
func reservedTasks(p Preemption) (n int) {
	for _, kept := range p.Reservations {
		n += kept.Tasks
	}
	return n
}

// A round stops what gives way for the whole of a waiting gang, or nothing: a part of
// the room is of no use to it, and the stops would only cost work.
func TestPreemptionMakesRoomForWholeGang(t *testing.T) {
	for _, tc := range []struct {
		name   string
		tasks  int
		gang   func(*Job)
		fleet  func() ([]*Machine, []*Job)
		stops  int
		inZone string
	}{
		{"free room and one stop", 4, nil, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "b")
			return ms, []*Job{runningOn("low", lowPriority, ms[0])}
		}, 1, ""},
		{"no room for the last task", 5, nil, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "b")
			return ms, []*Job{runningOn("low", lowPriority, ms[0], ms[0], ms[1], ms[1])}
		}, 0, ""},
		{"the same priority does not give way", 4, nil, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "b")
			return ms, []*Job{runningOn("low", lowPriority, ms[0], ms[0], ms[1]), runningOn("same", samePriority, ms[1])}
		}, 0, ""},
		{"together where it costs least", 2, inOneZone, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "b", "c")
			return ms, []*Job{runningOn("low", lowPriority, ms[0], ms[0], ms[1]), runningOn("same", samePriority, ms[2], ms[2])}
		}, 1, "b"},
		{"together and no zone has room for all", 3, inOneZone, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "b")
			return ms, []*Job{runningOn("low", lowPriority, ms[0], ms[0], ms[1], ms[1])}
		}, 0, ""},
		{"spread over two zones", 4, spread, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "a", "b")
			return ms, []*Job{runningOn("low", lowPriority, ms[2], ms[2])}
		}, 2, ""},
		{"a gang gives way whole, on all its machines", 3, nil, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "b")
			return ms, []*Job{runningOn("other", asGang, ms[0], ms[0], ms[1], ms[1])}
		}, 4, ""},
		{"tasks of arrays rather than a gang", 2, nil, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "b")
			return ms, []*Job{runningOn("other", asGang, ms[0], ms[0]), runningOn("low", lowPriority, ms[1], ms[1])}
		}, 2, "b"},
		{"a replica does not give way", 2, nil, func() ([]*Machine, []*Job) {
			ms := machines(box, "a")
			return ms, []*Job{runningOn("web", func(j *Job) { j.Service, j.Priority = true, 0 }, ms[0], ms[0])}
		}, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ms, jobs := tc.fleet()
			s := snap(ms, append(jobs, waitingGang(tc.tasks, tc.gang))...)
			round := s.Stops(10, map[string]bool{})
			if len(round.Stops) != tc.stops {
				t.Fatalf("%d stops, want %d", len(round.Stops), tc.stops)
			}
			if n := reservedTasks(round); tc.stops > 0 && n != tc.tasks {
				t.Errorf("room is kept for %d of %d tasks", n, tc.tasks)
			}
			for _, kept := range round.Reservations {
				if tc.inZone != "" && kept.Machine.Zone != tc.inZone {
					t.Errorf("a place in zone %s", kept.Machine.Zone)
				}
			}
		})
	}
}

// What a team has lent comes back for a gang within another's guarantee, and no more
// than that: the last of these stops would take from what is guaranteed itself.
func TestGangReclaimsOnlyBorrowedQuota(t *testing.T) {
	for _, tc := range []struct {
		lent  float64
		stops int
	}{{8, 2}, {4, 0}} {
		ms := machines(box, "a")
		blue := runningOn("blue", inTeamBlue, ms[0], ms[0])
		s := snap(ms, blue, waitingGang(2, lowPriority))
		s.Quotas["red"].Guaranteed = Need{Cores: 8}
		s.Quotas["blue"].Guaranteed = Need{Cores: 9 - tc.lent}
		s.Quotas["blue"].Used = Need{Cores: 8}
		if round := s.Stops(10, map[string]bool{}); len(round.Stops) != tc.stops {
			t.Errorf("lent %v: %d stops, want %d", tc.lent, len(round.Stops), tc.stops)
		}
	}
}

// A team at its limit stops its own work of lower priority for its gang, though there
// is room elsewhere.
func TestGangFreesItsTeamsQuota(t *testing.T) {
	ms := machines(box, "a", "b")
	s := snap(ms, runningOn("low", lowPriority, ms[0], ms[0]), waitingGang(2, nil))
	s.Quotas["red"].Maximum, s.Quotas["red"].Used = Need{Cores: 8}, Need{Cores: 8}
	if round := s.Stops(10, map[string]bool{}); len(round.Stops) != 2 || reservedTasks(round) != 2 {
		t.Errorf("%d stops, room kept for %d", len(round.Stops), reservedTasks(round))
	}
}

// Room that is kept for one gang is not counted on for the next, and no more is stopped
// for a gang while its victims are on their way out. A round's bound on stops does not
// keep the first gang waiting, however many it needs.
func TestRoomForSeveralGangs(t *testing.T) {
	build := func(claims int) *Snapshot {
		ms := machines(box, "a", "b")
		first := waitingGang(2, func(j *Job) { j.ID, j.Reserved, j.Submitted = "first", claims, 1 })
		second := waitingGang(2, func(j *Job) { j.ID, j.Submitted = "second", 2 })
		return snap(ms, runningOn("low", lowPriority, ms[0], ms[0], ms[1], ms[1]), first, second)
	}
	for _, tc := range []struct{ claims, most, stops int }{{0, 10, 4}, {0, 1, 2}, {2, 10, 2}} {
		round := build(tc.claims).Stops(tc.most, map[string]bool{})
		if len(round.Stops) != tc.stops {
			t.Errorf("%+v: %d stops", tc, len(round.Stops))
		}
		places := map[string]string{}
		for _, kept := range round.Reservations {
			if other := places[kept.Machine.ID]; other != "" {
				t.Errorf("%s is kept for %s and %s", kept.Machine.ID, other, kept.Job.ID)
			}
			places[kept.Machine.ID] = kept.Job.ID
		}
	}
}

// The work for many waiting gangs is bounded: gangs like one that found no room are not
// looked at, and where all differ a round leaves the rest to the next.
func TestGangPreemptionWorkIsBounded(t *testing.T) {
	for _, alike := range []bool{true, false} {
		var ms []*Machine
		var jobs []*Job
		for i := range 800 {
			m := machines(box, []string{"a", "b", "c"}[i%3])[0]
			m.ID = fmt.Sprintf("i-%d", i)
			ms = append(ms, m)
			jobs = append(jobs, runningOn(fmt.Sprintf("same-%d", i), samePriority, m, m))
		}
		for i := range 500 {
			jobs = append(jobs, waitingGang(2+i%7, func(j *Job) {
				j.ID, j.OneZone, j.Submitted = fmt.Sprintf("gang-%d", i), true, int64(i)
				if !alike {
					j.Need.Mem = 1 + float64(i)/1000
				}
			}))
		}
		s := snap(ms, jobs...)
		s.Quotas["red"].Maximum = Need{}
		s.Stops(200, map[string]bool{})
		if bound := map[bool]int{true: 2 * 800, false: maxGangMachinesExamined + 800}[alike]; s.gangMachinesExamined > bound {
			t.Errorf("alike %v: %d machines looked at for 500 gangs on 800", alike, s.gangMachinesExamined)
		}
	}
}
