package coordination

import (
	"slices"

	"claybarrow/internal/ledger"
)

// haltMates has the rest of a gang stopped with one of its tasks: it stops whole,
// and its progress is saved only if all are told within gang_peer_s.
func (r *term) haltMates(a *ledger.Attempt, grace float64, why string) {
	if a.Job.Finishing {
		return // one is done, so all are
	}
	for _, mate := range slices.Clone(a.Job.Gang) {
		if mate != a && mate.Try == a.Try && !mate.Halt {
			r.halt(mate, grace, why)
		}
	}
}
