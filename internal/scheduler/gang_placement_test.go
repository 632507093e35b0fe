package scheduler

import "testing"

// A gang that must be in one zone is placed in a zone with room for all of its tasks, even if the best machine for its
// first task is in another zone. If no zone has room for all, none of its tasks start and it uses no resources.
func TestGangIsPlacedWhole(t *testing.T) {
	gang := func(n int) *Job {
		return batch("g", n, func(j *Job) {
			j.Gang, j.InUpperQueue, j.OneZone, j.Request, j.Slots = true, false, true, Resources{Cores: 4, MemoryGB: 1}, n
		})
	}
	ms := machines(box, "a", "b", "b")
	ms[0].InUse, ms[0].Images = true, map[string]bool{"": true}
	s := newSnapshot(ms, gang(4))
	ps := s.Fill()
	if len(ps) != 4 {
		t.Fatalf("%d tasks of the gang are placed, want 4", len(ps))
	}
	for _, p := range ps {
		if p.Machine.Zone != "b" {
			t.Errorf("a task of the gang is placed in zone %s, want b", p.Machine.Zone)
		}
	}
	ms = machines(box, "a", "b")
	s = newSnapshot(ms, gang(3), batch("x", 16, func(j *Job) { j.Slots, j.InUpperQueue = 16, false }))
	if got := startedByJob(s.Fill()); got["g"] != 0 || got["x"] != 16 {
		t.Errorf("started tasks by job: %v, want 0 of g, which does not fit whole, and 16 of x", got)
	}
}

// Free resources for part of a starved gang are reserved, so that later jobs can't use them. Of two starved gangs the
// older one is placed first.
func TestRoomIsHeldBackForStarvedGang(t *testing.T) {
	gang := func(id string, n int, submitted int64) *Job {
		return batch(id, n, func(j *Job) {
			j.Gang, j.InUpperQueue, j.Starved, j.Request, j.Slots, j.Submitted = true, false, true, Resources{Cores: 4, MemoryGB: 1}, n, submitted
		})
	}
	small := batch("x", 16, func(j *Job) { j.Slots, j.InUpperQueue = 16, false })
	ms := machines(box, "a", "b")
	ms[1].Free = Resources{} // full for now
	if got := startedByJob(newSnapshot(ms, small, gang("g", 3, 1)).Fill()); got["x"] != 0 || got["g"] != 0 {
		t.Errorf("started tasks by job: %v, want none: the free room is reserved for the starved gang", got)
	}
	small = batch("x", 16, func(j *Job) { j.Slots, j.InUpperQueue = 16, false })
	if got := startedByJob(newSnapshot(machines(box, "a"), small, gang("g", 3, 1)).Fill()); got["x"] != 8 {
		t.Errorf("started tasks by job: %v, want 8 of x: nothing is reserved for a gang that the machines can't hold", got)
	}
	if got := startedByJob(newSnapshot(machines(box, "a"), gang("young", 2, 2), gang("old", 2, 1)).Fill()); got["old"] != 2 || got["young"] != 0 {
		t.Errorf("started tasks by job: %v, want 2 of old and 0 of young", got)
	}
}
