package scheduler

// Scale is a batch job's state in GREEN's scale-up: its queue, its slots, and the figures from
// which its degradation comes (§5.1 and §6.1 of the paper).
type Scale struct {
	Upper bool // in the upper queue
	Slots int
	// Attained is the service that the job has attained: the seconds for which it held resources,
	// times the share of the fleet that these are.
	Attained float64
	// DoneAt and AttainedAt are the finished tasks and Attained at the last scale-up.
	DoneAt     int
	AttainedAt float64
	// First is the efficiency at minimum size, zero until it is known: the share of the job's tasks
	// that was finished, by attained service.
	First float64
	// Degr is the degradation: the present efficiency over First, from degradationFloor to 1.
	Degr float64
}

// NewScale is the state of a new job: minimum size, in the upper queue.
func NewScale() Scale { return Scale{Upper: true, Slots: 1, Degr: 1} }

// degradationFloor keeps a poor efficiency from pushing a job back without end.
const degradationFloor = 0.5

// Round judges the job at a round boundary, by how many of its tasks are done. It gains a slot
// while degradation stays at or above gamma and each slot has finished a task since the last
// scale-up, else it drops to the lower queue at its size. Until the slots have finished their tasks
// there is nothing to judge by, and it stays as it is.
func (s *Scale) Round(done, tasks int, gamma float64) {
	if !s.Upper {
		return
	}
	if s.Slots >= tasks {
		s.Upper = false
		return
	}
	finished := done - s.DoneAt
	if finished < s.Slots {
		return
	}
	if spent := s.Attained - s.AttainedAt; spent > 0 {
		efficiency := float64(finished) / float64(tasks) / spent
		if s.First == 0 {
			s.First = efficiency
		}
		s.Degr = max(degradationFloor, min(1, efficiency/s.First))
	}
	if s.Degr < gamma {
		s.Upper = false
		return
	}
	s.Slots++
	s.DoneAt, s.AttainedAt = done, s.Attained
}
