package scheduler

import "testing"

// A gang that must be in one zone goes to the zone that holds all of it, though the best machine for
// its first task is elsewhere; where no zone holds it, nothing of it starts and no room is taken.
func TestGangIsPlacedWhole(t *testing.T) {
	gang := func(n int) *Job {
		return batch("g", n, func(j *Job) {
			j.Gang, j.InUpperQueue, j.OneZone, j.Request, j.Slots = true, false, true, Resources{Cores: 4, Mem: 1}, n
		})
	}
	ms := machines(box, "a", "b", "b")
	ms[0].Used, ms[0].Images = true, map[string]bool{"": true}
	s := snap(ms, gang(4))
	ps := s.Fill()
	if len(ps) != 4 {
		t.Fatalf("%d of 4 tasks are placed", len(ps))
	}
	for _, p := range ps {
		if p.Machine.Zone != "b" {
			t.Errorf("a task is in zone %s", p.Machine.Zone)
		}
	}
	ms = machines(box, "a", "b")
	s = snap(ms, gang(3), batch("x", 16, func(j *Job) { j.Slots, j.InUpperQueue = 16, false }))
	if got := started(s.Fill()); got["g"] != 0 || got["x"] != 16 {
		t.Errorf("started %v: a gang without room for all of it takes room from others", got)
	}
}

// Room for a part of a starved gang is held back from jobs behind it, and an older gang comes first.
func TestRoomIsHeldBackForStarvedGang(t *testing.T) {
	gang := func(id string, n int, submitted int64) *Job {
		return batch(id, n, func(j *Job) {
			j.Gang, j.InUpperQueue, j.Starved, j.Request, j.Slots, j.Submitted = true, false, true, Resources{Cores: 4, Mem: 1}, n, submitted
		})
	}
	small := batch("x", 16, func(j *Job) { j.Slots, j.InUpperQueue = 16, false })
	ms := machines(box, "a", "b")
	ms[1].Free = Resources{} // full for now
	if got := started(snap(ms, small, gang("g", 3, 1)).Fill()); got["x"] != 0 || got["g"] != 0 {
		t.Errorf("started %v: small tasks took the room of a starved gang", got)
	}
	small = batch("x", 16, func(j *Job) { j.Slots, j.InUpperQueue = 16, false })
	if got := started(snap(machines(box, "a"), small, gang("g", 3, 1)).Fill()); got["x"] != 8 {
		t.Errorf("started %v: a gang that these machines can't hold keeps their room", got)
	}
	if got := started(snap(machines(box, "a"), gang("young", 2, 2), gang("old", 2, 1)).Fill()); got["old"] != 2 || got["young"] != 0 {
		t.Errorf("started %v: the older gang comes first", got)
	}
}
