package scheduler

import "testing"

// Batches without accelerators leave the cores that free accelerators need: a guest's
// array of thousands once held the cores of machines whose accelerators then stood idle.
func TestPlainBatchesLeaveAcceleratorCores(t *testing.T) {
	guests := func() *Job { return batch("guests", 40, func(j *Job) { j.Upper, j.Plain = false, true }) }
	s := snap(machines(gpu, "a"), guests())
	got := started(s.Fill())["guests"]
	if most := int(0.25 * gpu.Size.Cores); got == 0 || got > most {
		t.Errorf("%d tasks take cores of free accelerators, of %d that may", got, most)
	}
	s.Jobs = []*Job{batch("work", 4, func(j *Job) { j.Need = Need{Cores: 5, Accel: 1, Mem: 1}; j.Upper = false })}
	if got := started(s.Fill())["work"]; got != 4 {
		t.Errorf("%d tasks with accelerators find room beside them", got)
	}
	// With all accelerators in use, what cores are left are anybody's.
	s.Jobs = []*Job{guests()}
	s.Jobs[0].Waiting = s.Jobs[0].Waiting[:8]
	if got := started(s.Fill())["guests"]; got != 4 {
		t.Errorf("%d tasks take the 4 cores that are left", got)
	}
	// Within its slots a batch may take them, so it can't starve.
	s = snap(machines(gpu, "a"), batch("slots", 40, func(j *Job) { j.Upper, j.Plain, j.Slots = false, true, 20 }))
	if got := started(s.Fill())["slots"]; got != 20 {
		t.Errorf("%d tasks within 20 slots", got)
	}
	// Where all machines have accelerators it uses what is idle: one task on each of 180
	// machines once kept these for days' ends, and the price at 2.3.
	only := guests()
	if only.Plain = only.IsPlain([]*Type{gpu}); only.Plain || !guests().IsPlain([]*Type{gpu, box}) {
		t.Error("plain without a plain type")
	}
	s = snap(machines(gpu, "a"), only)
	if got := started(s.Fill())["guests"]; got != 32 {
		t.Errorf("%d tasks on 32 idle cores", got)
	}
}

// Room for expected replicas is kept on machines that have the images they may need.
func TestHeadroomIsReservedWhereImagesAre(t *testing.T) {
	ms := machines(box, "a", "a", "a")
	ms[2].Images = map[string]bool{"x": true, "y": true}
	ms[1].Images = map[string]bool{"x": true}
	expected := batch("~web", 8, func(j *Job) {
		j.Service, j.Headroom, j.Images = true, true, []ImageShare{{"x", 0.5}, {"y", 0.3}, {"z", 0.2}}
	})
	s := snap(ms, expected, batch("work", 24, func(j *Job) { j.Upper, j.Slots = false, 24 }))
	if got := started(s.Fill())["work"]; got != 16 || ms[2].Free.Cores != 0 || !ms[0].Used || !ms[1].Used || ms[2].Used {
		t.Errorf("%d tasks started, of 8 places kept not all are on %s", got, ms[2].ID)
	}
}

// No machines with accelerators are rented for batches that can do without.
func TestPlanRentsPlainMachinesForPlainBatches(t *testing.T) {
	open := func(Pool) bool { return false }
	plain := func(types ...*Type) *Snapshot {
		j := batch("guests", 8, nil)
		j.Plain = j.IsPlain(types)
		return snap(nil, j)
	}
	s := plain(gpu, box)
	for _, want := range s.Plan([]*Type{gpu, box}, open, 10) {
		if want.Type != box.Name {
			t.Errorf("rents %+v", want)
		}
	}
	short := func(p Pool) bool { return p.Type == box.Name }
	if got := plain(gpu, box).Plan([]*Type{gpu, box}, short, 10); len(got) > 0 {
		t.Errorf("rents %+v while the plain type is short", got)
	}
	if got := plain(gpu).Plan([]*Type{gpu}, open, 10); len(got) == 0 {
		t.Error("rents nothing where there is no plain type")
	}
}
