package controller

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/config"
)

// environment is what every part of a controller works with: its settings, its log, the time of the event
// that is being handled, and the source of random numbers.
type environment struct {
	cfg  *config.Config
	rng  *rand.Rand
	log  *slog.Logger
	now  time.Duration
	wall int64
	// incarnation tells this process from earlier ones of the same label.
	incarnation string
	observer    Observer
}

// retryPause is a short wait before something is tried again, spread so that the
// controllers don't do it in step.
func (e *environment) retryPause() time.Duration {
	base := e.cfg.LeaderTTL() / 16
	return base + time.Duration(e.rng.Int64N(int64(base)+1))
}

// peerAddr is the leader's peer address as far as we know one.
func (e *environment) peerAddr(label string) string {
	i := slices.IndexFunc(e.cfg.Siblings, func(p config.Peer) bool { return p.Label == label })
	if i < 0 {
		return ""
	}
	return strings.TrimSpace(e.cfg.Siblings[i].Addr)
}

// maxFailoverTime is how long it takes at the most until the state service no longer names a
// leader that has ended: its lease, and the election of the next.
func (e *environment) maxFailoverTime() time.Duration { return 2 * e.cfg.LeaderTTL() }

// workerSearchTime is how long a worker may need to go through all the other controllers
// when none of them answers.
func (e *environment) workerSearchTime() time.Duration {
	return time.Duration(len(e.cfg.Siblings))*(heartbeatTimeout+heartbeatRetryPause) + e.cfg.Report()*5/4
}
