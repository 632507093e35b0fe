package scheduler

import "testing"

// A job in GREEN's scale-up gains one slot per round while its degradation is at or above gamma. The efficiency is
// evaluated only after as many tasks as there are slots have finished.
func TestScaleUp(t *testing.T) {
	s := NewScaleUp()
	s.Attained = 10
	s.EndRound(0, 100, 0.9)
	if s.Slots != 1 || !s.InUpperQueue {
		t.Fatalf("scaled up before a task finished: %+v", s)
	}
	s.EndRound(1, 100, 0.9) // efficiency 0.01 per 10 units of attained service
	if s.Slots != 2 || s.Degradation != 1 {
		t.Fatalf("after the first scale-up: %+v, want 2 slots and degradation 1", s)
	}
	s.Attained = 30
	s.EndRound(3, 100, 0.9) // 0.02 per 20: the same efficiency as at minimum size
	if s.Slots != 3 {
		t.Fatalf("after the second scale-up: %+v, want 3 slots", s)
	}
	s.Attained = 90
	s.EndRound(6, 100, 0.9) // 0.03 per 60: half the efficiency
	if s.InUpperQueue || s.Slots != 3 || s.Degradation != 0.5 {
		t.Fatalf("after the drop in efficiency: %+v, want the lower queue, 3 slots and degradation 0.5", s)
	}
}
