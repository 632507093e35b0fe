package membership

import "time"

// maxHealthScore is the upper bound of the score, as in Lifeguard.
const maxHealthScore = 8

// localHealth is Lifeguard's local health multiplier. The score rises with signs that the observer itself is
// slow or cut off, and the observer's timeouts grow with the score. A score of 0 means good health.
type localHealth struct{ score int }

func (h *localHealth) degrade() { h.score = min(h.score+1, maxHealthScore) }

func (h *localHealth) improve() { h.score = max(h.score-1, 0) }

// degradeFully sets the worst score, after a pause of the whole process.
func (h *localHealth) degradeFully() { h.score = maxHealthScore }

// scale multiplies a duration by score+1.
func (h *localHealth) scale(d time.Duration) time.Duration { return d * time.Duration(1+h.score) }
