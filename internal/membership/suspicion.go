package membership

import (
	"math"
	"time"
)

// suspicion is how long a member has been suspected, and by whom. The more accuse it, the
// sooner it is dead (Lifeguard: from the longest time without confirmation down to the
// least with enough, by the logarithm of their number).
type suspicion struct {
	since         time.Duration
	confirmations map[string]bool // others that hold it suspect or dead
}

// maxConfirmations is how many confirmations bring the timeout down to the least; in small
// groups all there can be.
const maxConfirmations = 3

// timeout is the time from suspicion to death.
func (s *suspicion) timeout(least time.Duration, factor float64, others int) time.Duration {
	enough := min(maxConfirmations, others)
	if enough <= 0 {
		return time.Duration(float64(least) * factor)
	}
	confirmed := min(len(s.confirmations), enough)
	share := math.Log(float64(confirmed)+1) / math.Log(float64(enough)+1)
	return time.Duration(float64(least) * (factor - (factor-1)*share))
}

// localHealth is how far an observer trusts its own silence: 0 is full trust. It grows when
// there are signs that the observer itself is slow or cut off, and times grow with it.
type localHealth struct{ score int }

// maxHealthScore bounds the score (as in Lifeguard).
const maxHealthScore = 8

func (h *localHealth) degrade() { h.score = min(h.score+1, maxHealthScore) }

func (h *localHealth) recover() { h.score = max(h.score-1, 0) }

// degradeFully is after a standstill.
func (h *localHealth) degradeFully() { h.score = maxHealthScore }

// stretch makes a time longer by the score.
func (h *localHealth) stretch(d time.Duration) time.Duration { return d * time.Duration(1+h.score) }
