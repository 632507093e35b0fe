package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A plan rents machines from the cheapest pool that the job may use and that is not blocked. It rents no machines with
// accelerators for jobs that don't request them, and no more machines than the team's maximum allows.
func TestPlan(t *testing.T) {
	types := []*MachineType{gpu, box}
	open := func(Pool) bool { return false }
	t.Run("cheapest pool", func(t *testing.T) {
		got := newSnapshot(nil, batch("j", 8, func(j *Job) { j.Spot = true })).Plan(types, open, 10)
		if d := cmp.Diff([]Launch{{Pool{"box", "a", true}, 1}}, got); d != "" {
			t.Error(d)
		}
	})
	t.Run("blocked pools are not used", func(t *testing.T) {
		got := newSnapshot(nil, batch("j", 8, nil)).Plan(types, func(p Pool) bool { return p.Zone == "a" }, 10)
		if d := cmp.Diff([]Launch{{Pool{"box", "b", false}, 1}}, got); d != "" {
			t.Error(d)
		}
	})
	t.Run("up to the team's maximum", func(t *testing.T) {
		s := newSnapshot(nil, batch("j", 400, nil))
		s.Quotas["red"].Maximum.Cores = 16
		rented := 0
		for _, launch := range s.Plan(types, open, 64) {
			rented += launch.Count
		}
		if rented != 2 {
			t.Errorf("%d machines rented, want 2, which is the team's maximum", rented)
		}
	})
}

// No machines with accelerators are rented for batches that may use a type without accelerators.
func TestPlanRentsPlainMachinesForPlainBatches(t *testing.T) {
	open := func(Pool) bool { return false }
	plain := func(types ...*MachineType) *Snapshot {
		j := batch("guests", 8, nil)
		j.AvoidsAccelerators = j.CanAvoidAccelerators(types)
		return newSnapshot(nil, j)
	}
	s := plain(gpu, box)
	for _, want := range s.Plan([]*MachineType{gpu, box}, open, 10) {
		if want.Type != box.Name {
			t.Errorf("the plan rents %+v, want only machines without accelerators", want)
		}
	}
	blocked := func(p Pool) bool { return p.Type == box.Name }
	if got := plain(gpu, box).Plan([]*MachineType{gpu, box}, blocked, 10); len(got) > 0 {
		t.Errorf("the plan rents %+v while the type without accelerators is blocked, want none", got)
	}
	if got := plain(gpu).Plan([]*MachineType{gpu}, open, 10); len(got) == 0 {
		t.Error("the plan rents no machines although all types have accelerators")
	}
}
