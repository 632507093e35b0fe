package sched

import "testing"

// Batches without accelerators leave the cores that free accelerators need: a guest's
// array of thousands once held the cores of machines whose accelerators then stood idle.
func TestBatchesSpareAcceleratorsCores(t *testing.T) {
	guests := func() *Job { return batch("guests", 40, func(j *Job) { j.Upper = false }) }
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
	s = snap(machines(gpu, "a"), batch("slots", 40, func(j *Job) { j.Upper, j.Slots = false, 20 }))
	if got := started(s.Fill())["slots"]; got != 20 {
		t.Errorf("%d tasks within 20 slots", got)
	}
}

// No machines with accelerators are rented for batches that can do without.
func TestPlanRentsPlainMachinesForPlainBatches(t *testing.T) {
	open := func(Pool) bool { return false }
	s := snap(nil, batch("guests", 8, nil))
	for _, want := range s.Plan([]*Type{gpu, box}, open, 10) {
		if want.Type != box.Name {
			t.Errorf("rents %+v", want)
		}
	}
	short := func(p Pool) bool { return p.Type == box.Name }
	if got := snap(nil, batch("guests", 8, nil)).Plan([]*Type{gpu, box}, short, 10); len(got) > 0 {
		t.Errorf("rents %+v while the plain type is short", got)
	}
	if got := snap(nil, batch("guests", 8, nil)).Plan([]*Type{gpu}, open, 10); len(got) == 0 {
		t.Error("rents nothing where there is no plain type")
	}
}
