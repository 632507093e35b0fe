package scheduler

import "testing"

// GREEN's scale-up: one more slot a round while degradation stays at or above gamma, judged once
// every slot has finished a task.
func TestScale(t *testing.T) {
	s := NewScaleUp()
	s.Attained = 10
	s.EndRound(0, 100, 0.9)
	if s.Slots != 1 || !s.InUpperQueue {
		t.Fatalf("scaled up with nothing to judge by: %+v", s)
	}
	s.EndRound(1, 100, 0.9) // 0.01 per 10
	if s.Slots != 2 || s.Degradation != 1 {
		t.Fatalf("first scale-up: %+v", s)
	}
	s.Attained = 30
	s.EndRound(3, 100, 0.9) // 0.02 per 20: as good as at minimum size
	if s.Slots != 3 {
		t.Fatalf("second scale-up: %+v", s)
	}
	s.Attained = 90
	s.EndRound(6, 100, 0.9) // 0.03 per 60: half as good
	if s.InUpperQueue || s.Slots != 3 || s.Degradation != 0.5 {
		t.Fatalf("drop to the lower queue at its size: %+v", s)
	}
}
