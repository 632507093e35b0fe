package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A plan rents from the cheapest pool that the job allows and that is not blocked, nothing with
// accelerators for work that has no use for them, and no more than the team's maximum.
func TestPlan(t *testing.T) {
	types := []*Type{gpu, box}
	open := func(Pool) bool { return false }
	t.Run("cheapest pool", func(t *testing.T) {
		got := snap(nil, batch("j", 8, func(j *Job) { j.Spot = true })).Plan(types, open, 10)
		if d := cmp.Diff([]Launch{{Pool{"box", "a", true}, 1}}, got); d != "" {
			t.Error(d)
		}
	})
	t.Run("blocked pools are left out", func(t *testing.T) {
		got := snap(nil, batch("j", 8, nil)).Plan(types, func(p Pool) bool { return p.Zone == "a" }, 10)
		if d := cmp.Diff([]Launch{{Pool{"box", "b", false}, 1}}, got); d != "" {
			t.Error(d)
		}
	})
	t.Run("up to the team's maximum", func(t *testing.T) {
		s := snap(nil, batch("j", 400, nil))
		s.Quotas["red"].Maximum.Cores = 16
		rented := 0
		for _, launch := range s.Plan(types, open, 64) {
			rented += launch.Count
		}
		if rented != 2 {
			t.Errorf("%d machines rented, the team's maximum is two", rented)
		}
	})
}

// No machines with accelerators are rented for batches that can do without them.
func TestPlanRentsPlainMachinesForPlainBatches(t *testing.T) {
	open := func(Pool) bool { return false }
	plain := func(types ...*Type) *Snapshot {
		j := batch("guests", 8, nil)
		j.AvoidsAccelerators = j.CanAvoidAccelerators(types)
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
