package scheduler

// Scale is a batch job's place in GREEN's two queues: where it stands, how many
// slots it has, and the figures from which degradation comes.
type Scale struct {
	Upper bool
	Slots int
	// Attained is booked resource-seconds held, in shares of the fleet.
	Attained float64
	// DoneAt and AttainedAt are the figures at the last scale-up; First is the
	// efficiency at minimum size, zero until it is known.
	DoneAt     int
	AttainedAt float64
	First      float64
	Degr       float64
}

// NewScale is a new job's: minimum size, in the upper queue.
func NewScale() Scale { return Scale{Upper: true, Slots: 1, Degr: 1} }

// degradationFloor keeps a poor efficiency from pushing a job back without end.
const degradationFloor = 0.5

// Round looks at the job at a round boundary: it gains a slot while degradation
// stays at or above gamma and each slot has finished a task since the last
// scale-up, else drops to the lower queue at its size. Until the slots have
// finished their tasks there is nothing to judge by, and it stays as it is.
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
