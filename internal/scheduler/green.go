package scheduler

// ScaleUp is the state of a batch job in GREEN's scale-up: its queue, its slots, and the values from which its
// degradation is computed (§5.1 and §6.1 of the paper).
type ScaleUp struct {
	InUpperQueue bool
	Slots        int
	// Attained is the attained service of the job: the seconds for which it held resources, times their share of the
	// fleet.
	Attained float64
	// DoneAt is the number of finished tasks, and AttainedAt the value of Attained, at the last scale-up.
	DoneAt     int
	AttainedAt float64
	// InitialEfficiency is the efficiency at minimum size: the share of the job's tasks that finished per unit of
	// attained service. It is zero until the first measurement.
	InitialEfficiency float64
	// Degradation is the current efficiency divided by InitialEfficiency, limited to the range from degradationFloor
	// to 1.
	Degradation float64
}

// NewScaleUp returns the state of a new job: minimum size, in the upper queue.
func NewScaleUp() ScaleUp { return ScaleUp{InUpperQueue: true, Slots: 1, Degradation: 1} }

// degradationFloor bounds how far a low efficiency can move a job back in the order of ranks.
const degradationFloor = 0.5

// EndRound updates the state at the end of a scale-up round from the number of finished tasks. The job gains a slot if
// its degradation is at or above gamma; otherwise it moves to the lower queue and keeps its slots. Until as many tasks
// as there are slots have finished since the last scale-up, the efficiency is unknown and the state stays unchanged. A
// job with a slot for each of its tasks moves to the lower queue.
func (s *ScaleUp) EndRound(done, tasks int, gamma float64) {
	if !s.InUpperQueue {
		return
	}
	if s.Slots >= tasks {
		s.InUpperQueue = false
		return
	}
	finished := done - s.DoneAt
	if finished < s.Slots {
		return
	}
	if attainedSince := s.Attained - s.AttainedAt; attainedSince > 0 {
		efficiency := float64(finished) / float64(tasks) / attainedSince
		if s.InitialEfficiency == 0 {
			s.InitialEfficiency = efficiency
		}
		s.Degradation = max(degradationFloor, min(1, efficiency/s.InitialEfficiency))
	}
	if s.Degradation < gamma {
		s.InUpperQueue = false
		return
	}
	s.Slots++
	s.DoneAt, s.AttainedAt = done, s.Attained
}
