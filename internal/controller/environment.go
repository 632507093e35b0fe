package controller

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/config"
)

// environment is what all components of a controller share: the settings, the log, the observer, the source
// of random numbers and the time of the event that is being handled.
type environment struct {
	cfg *config.Config
	rng *rand.Rand
	log *slog.Logger
	// now is the steady time of the event that is being handled, wall its time of day in Unix milliseconds.
	now  time.Duration
	wall int64
	// incarnation tells this process from earlier ones of the same label.
	incarnation string
	observer    Observer
}

// Times as shares of the leader's lease.
const (
	// failoverLeases bounds a failover: the lease of the leader that ended, and the election of the next.
	failoverLeases = 2
	// retryPauses of the base length fit into the leader's lease.
	retryPauses = 16
)

// retryPause is a short wait before something is tried again: between one and two sixteenths of the leader's
// lease, at random, so that the controllers do not retry in step.
func (e *environment) retryPause() time.Duration {
	base := e.cfg.LeaderLease() / retryPauses
	return base + time.Duration(e.rng.Int64N(int64(base)+1))
}

// peerAddr is the address of another controller for requests between controllers; empty if the settings name
// no such controller.
func (e *environment) peerAddr(label string) string {
	i := slices.IndexFunc(e.cfg.Siblings, func(p config.Peer) bool { return p.Label == label })
	if i < 0 {
		return ""
	}
	return strings.TrimSpace(e.cfg.Siblings[i].Addr)
}

// maxFailoverTime is how long it takes at the most until the state service no longer names a leader that has
// ended.
func (e *environment) maxFailoverTime() time.Duration { return failoverLeases * e.cfg.LeaderLease() }

// workerFailoverTime is how long a worker may need to go through all the other controllers when none of them
// answers: at each it waits for the whole timeout, and pauses.
func (e *environment) workerFailoverTime() time.Duration {
	return e.workerScanTime(heartbeatTimeout + heartbeatRetryPause)
}

// workerScanTime is how long a worker takes to go through all the other controllers, and to send its next
// heartbeat, at so much a controller. The heartbeat comes after its interval; a quarter of that is to spare.
func (e *environment) workerScanTime(perController time.Duration) time.Duration {
	return time.Duration(len(e.cfg.Siblings))*perController + e.cfg.WorkerHeartbeatInterval()*5/4
}
