package scheduler

// ScaleUp is a batch job's state in GREEN's scale-up: its queue, its slots, and the figures from
// which its degradation comes (§5.1 and §6.1 of the paper).
type ScaleUp struct {
	InUpperQueue bool // in the upper queue
	Slots        int
	// Attained is the service that the job has attained: the seconds for which it held resources,
	// times the share of the fleet that these are.
	Attained float64
	// DoneAt and AttainedAt are the finished tasks and Attained at the last scale-up.
	DoneAt     int
	AttainedAt float64
	// InitialEfficiency is the efficiency at minimum size, zero until it is known: the share of the job's tasks
	// that was finished, by attained service.
	InitialEfficiency float64
	// Degradation is the degradation: the present efficiency over First, from degradationFloor to 1.
	Degradation float64
}

// NewScaleUp is the state of a new job: minimum size, in the upper queue.
func NewScaleUp() ScaleUp { return ScaleUp{InUpperQueue: true, Slots: 1, Degradation: 1} }

// degradationFloor keeps a poor efficiency from pushing a job back without end.
const degradationFloor = 0.5

// EndRound judges the job at a round boundary, by how many of its tasks are done. It gains a slot
// while degradation stays at or above gamma and each slot has finished a task since the last
// scale-up, else it drops to the lower queue at its size. Until the slots have finished their tasks
// there is nothing to judge by, and it stays as it is.
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
	if spent := s.Attained - s.AttainedAt; spent > 0 {
		efficiency := float64(finished) / float64(tasks) / spent
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
