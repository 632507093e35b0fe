package controller

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/config"
)

// environment holds what all components of a controller share: the configuration, the log, the observer, the random
// number generator and the time of the current event.
type environment struct {
	cfg *config.Config
	rng *rand.Rand
	log *slog.Logger
	// now is the monotonic time of the current event, wall its time of day in Unix milliseconds.
	now  time.Duration
	wall int64
	// incarnation distinguishes this process from earlier processes with the same label.
	incarnation string
	observer    Observer
}

// Multiples and divisors of the leader's lease.
const (
	// failoverLeases is the maximum duration of a failover in leases: one until the former leader's lease expires, and
	// one for the election.
	failoverLeases = 2
	// retryPauseDivisor: the base retry pause is a sixteenth of the leader's lease.
	retryPauseDivisor = 16
)

// retryPause returns a random delay before a retry, between one and two sixteenths of the leader's lease. It is random
// so that the controllers do not retry in step.
func (e *environment) retryPause() time.Duration {
	base := e.cfg.LeaderLease() / retryPauseDivisor
	return base + time.Duration(e.rng.Int64N(int64(base)+1))
}

// peerAddr returns the address of another controller for requests between controllers. It is empty if no such
// controller is configured.
func (e *environment) peerAddr(label string) string {
	i := slices.IndexFunc(e.cfg.Siblings, func(p config.Peer) bool { return p.Label == label })
	if i < 0 {
		return ""
	}
	return strings.TrimSpace(e.cfg.Siblings[i].Addr)
}

// maxFailoverTime returns the maximum duration of a failover. After that time the state service no longer names a
// leader that has terminated.
func (e *environment) maxFailoverTime() time.Duration { return failoverLeases * e.cfg.LeaderLease() }

// workerFailoverTime returns how long a worker may need to try all the other controllers when none of them answers: at
// each one it waits for the whole timeout and then for the retry pause.
func (e *environment) workerFailoverTime() time.Duration {
	return e.workerScanTime(heartbeatTimeout + heartbeatRetryPause)
}

// workerScanTime returns how long a worker takes to try all the other controllers and to send its next heartbeat, given
// the time per controller. The next heartbeat follows after the heartbeat interval; a quarter of the interval is added
// as a margin.
func (e *environment) workerScanTime(perController time.Duration) time.Duration {
	return time.Duration(len(e.cfg.Siblings))*perController + e.cfg.WorkerHeartbeatInterval()*5/4
}
