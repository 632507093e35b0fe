package membership

import "time"

// maxHealthScore bounds the score, as in Lifeguard.
const maxHealthScore = 8

// localHealth is how far an observer trusts its own silence: a score of 0 is full trust. The score
// grows when there are signs that the observer itself is slow or cut off, and its timeouts grow
// with the score (Lifeguard's local health multiplier).
type localHealth struct{ score int }

func (h *localHealth) degrade() { h.score = min(h.score+1, maxHealthScore) }

func (h *localHealth) improve() { h.score = max(h.score-1, 0) }

// degradeFully is for after a pause of the whole process.
func (h *localHealth) degradeFully() { h.score = maxHealthScore }

// stretch multiplies a time by the score and one.
func (h *localHealth) stretch(d time.Duration) time.Duration { return d * time.Duration(1+h.score) }
