package controller

import (
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/ratelimit"
)

// The direct calls are bounded by CPU time as well as by sockets. Each call costs a tenth of a millisecond of a core,
// and the renewal of the leader's lease queues behind the calls. A new leader that called all of its 5,500 workers at
// once lost its lease that way.
const (
	callsPerCore       = 1024 // in flight at once
	callsPerCoreSecond = 4000
	callsPerCoreBurst  = 128
)

// minLimiterCores is a lower bound for the number of cores in the computation of the limits. A deployment with less
// than one core has so small a fleet that it needs no lower limits than a deployment with one core.
const minLimiterCores = 1

// descriptorsPerCall is the number of the process's file descriptors for each direct call in flight. The descriptors
// that the calls do not use are reserved for users' requests, heartbeats and the state service, which must not wait for
// calls to workers.
const descriptorsPerCall = 8

// callLimiter bounds the direct calls to workers, by their number in flight and by the rate at which they start. The
// limiter is checked before any command is recorded as sent. A failover with hundreds of machines, or a partitioned
// zone whose calls all hang, must not exhaust the sockets, and calls to responsive workers must not wait for calls that
// hang.
type callLimiter struct {
	maxInFlight            int
	inFlight               int
	likelyTimeoutsInFlight int // the calls in flight that are likely to time out
	startRate              ratelimit.TokenBucket
}

func newCallLimiter(resources config.Resources) callLimiter {
	cores := max(minLimiterCores, resources.Cores)
	return callLimiter{
		maxInFlight: min(resources.FDs/descriptorsPerCall, int(callsPerCore*cores)),
		startRate:   ratelimit.New(callsPerCoreSecond*cores, callsPerCoreBurst*cores),
	}
}

// allows reports whether a call may start now.
func (l *callLimiter) allows(now time.Duration, likelyTimeout bool) bool {
	if l.inFlight >= l.maxInFlight {
		return false
	}
	if likelyTimeout && l.likelyTimeoutsInFlight >= l.maxLikelyTimeouts() {
		return false
	}
	return l.startRate.Allows(now, 1)
}

// maxLikelyTimeouts bounds the calls in flight that are likely to time out, at two thirds of maxInFlight. The remaining
// third is reserved for responsive workers.
func (l *callLimiter) maxLikelyTimeouts() int { return l.maxInFlight * 2 / 3 }

// begin records the start of a call.
func (l *callLimiter) begin(now time.Duration, likelyTimeout bool) {
	l.inFlight++
	l.startRate.Take(now, 1)
	if likelyTimeout {
		l.likelyTimeoutsInFlight++
	}
}

// end records the end of a call; likelyTimeout must have the value that was passed to begin.
func (l *callLimiter) end(likelyTimeout bool) {
	l.inFlight--
	if likelyTimeout {
		l.likelyTimeoutsInFlight--
	}
}
