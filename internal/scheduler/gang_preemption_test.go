package scheduler

import (
	"fmt"
	"testing"
)

// waitingGang returns a gang of high priority. Each of its tasks needs half of a box.
func waitingGang(tasks int, change func(*Job)) *Job {
	return batch("gang", tasks, func(j *Job) {
		j.Gang, j.InUpperQueue, j.Priority, j.Slots = true, false, 2, tasks
		j.Request = Resources{Cores: 4, MemoryGB: 1}
		if change != nil {
			change(j)
		}
	})
}

// runningOn returns a job with a running task on each of the machines. Each task needs half of a box; the first is the
// youngest.
func runningOn(id string, change func(*Job), on ...*Machine) *Job {
	j := batch(id, 0, func(j *Job) {
		j.InUpperQueue, j.Request, j.Attained = false, Resources{Cores: 4, MemoryGB: 1}, 1
		if change != nil {
			change(j)
		}
	})
	j.Assigned, j.Slots, j.Tasks = len(on), len(on), len(on)
	for i, m := range on {
		m.Running = append(m.Running, RunningTask{Job: j, Index: i, RunningS: 10 + float64(i)})
		m.Free, m.InUse = m.Free.Minus(j.Request), true
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
	for _, reservation := range p.Reservations {
		n += reservation.Tasks
	}
	return n
}

// A round makes room for all tasks of a waiting gang or stops no task: a gang can't start on part of the room, so the
// stopped tasks would lose their work for nothing.
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
		{"tasks of the same priority are not preempted", 4, nil, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "b")
			return ms, []*Job{runningOn("low", lowPriority, ms[0], ms[0], ms[1]), runningOn("same", samePriority, ms[1])}
		}, 0, ""},
		{"one zone, the cheapest", 2, inOneZone, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "b", "c")
			return ms, []*Job{runningOn("low", lowPriority, ms[0], ms[0], ms[1]), runningOn("same", samePriority, ms[2], ms[2])}
		}, 1, "b"},
		{"one zone, and none has room for all", 3, inOneZone, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "b")
			return ms, []*Job{runningOn("low", lowPriority, ms[0], ms[0], ms[1], ms[1])}
		}, 0, ""},
		{"spread over two zones", 4, spread, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "a", "b")
			return ms, []*Job{runningOn("low", lowPriority, ms[2], ms[2])}
		}, 2, ""},
		{"all tasks of a gang are preempted, on all its machines", 3, nil, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "b")
			return ms, []*Job{runningOn("other", asGang, ms[0], ms[0], ms[1], ms[1])}
		}, 4, ""},
		{"batch tasks are preempted rather than a gang", 2, nil, func() ([]*Machine, []*Job) {
			ms := machines(box, "a", "b")
			return ms, []*Job{runningOn("other", asGang, ms[0], ms[0]), runningOn("low", lowPriority, ms[1], ms[1])}
		}, 2, "b"},
		{"a replica is not preempted", 2, nil, func() ([]*Machine, []*Job) {
			ms := machines(box, "a")
			return ms, []*Job{runningOn("web", func(j *Job) { j.Service, j.Priority = true, 0 }, ms[0], ms[0])}
		}, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ms, jobs := tc.fleet()
			s := newSnapshot(ms, append(jobs, waitingGang(tc.tasks, tc.gang))...)
			round := s.Preempt(10, map[string]bool{})
			if len(round.Stops) != tc.stops {
				t.Fatalf("the round made %d stops, want %d", len(round.Stops), tc.stops)
			}
			if n := reservedTasks(round); tc.stops > 0 && n != tc.tasks {
				t.Errorf("resources are reserved for %d of %d tasks", n, tc.tasks)
			}
			for _, reservation := range round.Reservations {
				if tc.inZone != "" && reservation.Machine.Zone != tc.inZone {
					t.Errorf("resources are reserved in zone %s, which is not the expected zone", reservation.Machine.Zone)
				}
			}
		})
	}
}

// For a gang within its team's guarantee, a round reclaims quota that another team uses beyond its guarantee. It makes
// no stops if the gang would also need resources within the guarantee of the other team.
func TestGangReclaimsOnlyBorrowedQuota(t *testing.T) {
	for _, tc := range []struct {
		name       string
		guaranteed float64 // cores of blue, which uses 8 with two tasks of 4 each
		stops      int
	}{
		{"both tasks use borrowed quota", 1, 2},
		{"one of two tasks uses borrowed quota", 5, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ms := machines(box, "a")
			blue := runningOn("blue", inTeamBlue, ms[0], ms[0])
			s := newSnapshot(ms, blue, waitingGang(2, lowPriority))
			s.Quotas["red"].Guaranteed = Resources{Cores: 8}
			s.Quotas["blue"].Guaranteed = Resources{Cores: tc.guaranteed}
			s.Quotas["blue"].Used = Resources{Cores: 8}
			if round := s.Preempt(10, map[string]bool{}); len(round.Stops) != tc.stops {
				t.Errorf("the round made %d stops, want %d", len(round.Stops), tc.stops)
			}
		})
	}
}

// If a team has reached its maximum, a round stops tasks of the team with lower priority for its gang, even if other
// machines have room.
func TestGangFreesItsTeamsQuota(t *testing.T) {
	ms := machines(box, "a", "b")
	s := newSnapshot(ms, runningOn("low", lowPriority, ms[0], ms[0]), waitingGang(2, nil))
	s.Quotas["red"].Maximum, s.Quotas["red"].Used = Resources{Cores: 8}, Resources{Cores: 8}
	if round := s.Preempt(10, map[string]bool{}); len(round.Stops) != 2 || reservedTasks(round) != 2 {
		t.Errorf("%d stops, and resources are reserved for %d tasks, want 2 and 2", len(round.Stops), reservedTasks(round))
	}
}

// The reservation for one gang is not available to the next gang, and no further tasks are stopped for a gang until its
// victims have ended. The first gang of a round may exceed the bound on stops; otherwise it would never start.
func TestRoomForSeveralGangs(t *testing.T) {
	build := func(reserved int) *Snapshot {
		ms := machines(box, "a", "b")
		first := waitingGang(2, func(j *Job) { j.ID, j.Reserved, j.Submitted = "first", reserved, 1 })
		second := waitingGang(2, func(j *Job) { j.ID, j.Submitted = "second", 2 })
		return newSnapshot(ms, runningOn("low", lowPriority, ms[0], ms[0], ms[1], ms[1]), first, second)
	}
	for _, tc := range []struct {
		name                      string
		reserved, maxStops, stops int
	}{
		{"both gangs", 0, 10, 4},
		{"the first gang exceeds the bound", 0, 1, 2},
		{"the first gang has a reservation", 2, 10, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			round := build(tc.reserved).Preempt(tc.maxStops, map[string]bool{})
			if len(round.Stops) != tc.stops {
				t.Errorf("the round made %d stops, want %d", len(round.Stops), tc.stops)
			}
			reservedFor := map[string]string{}
			for _, reservation := range round.Reservations {
				if other := reservedFor[reservation.Machine.ID]; other != "" {
					t.Errorf("machine %s is reserved for both %s and %s", reservation.Machine.ID, other, reservation.Job.ID)
				}
				reservedFor[reservation.Machine.ID] = reservation.Job.ID
			}
		})
	}
}

// The work of a round for many waiting gangs is bounded. If a gang finds no room, gangs with the same requirements and
// at least as many tasks are not examined. If all gangs have different requirements, the round leaves the remaining
// gangs to a later one.
func TestGangPreemptionWorkIsBounded(t *testing.T) {
	for _, tc := range []struct {
		name        string
		alike       bool
		maxExamined int // machines examined
	}{
		{"gangs that are alike", true, 2 * 800},
		{"gangs that all differ", false, maxGangMachinesExamined + 800},
	} {
		t.Run(tc.name, func(t *testing.T) {
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
					if !tc.alike {
						j.Request.MemoryGB = 1 + float64(i)/1000
					}
				}))
			}
			s := newSnapshot(ms, jobs...)
			s.Quotas["red"].Maximum = Resources{}
			s.Preempt(200, map[string]bool{})
			if s.gangMachinesExamined > tc.maxExamined {
				t.Errorf("%d machines examined for 500 gangs on a fleet of 800, want at most %d", s.gangMachinesExamined, tc.maxExamined)
			}
		})
	}
}
