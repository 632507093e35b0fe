package controller

import (
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/ratelimit"
)

// The processor bounds the direct calls beside the sockets: each costs a tenth of a millisecond of a core,
// and the renewal of the leader's lease waits in turn with them. A new leader of 5,500 workers, which called
// all of them at once, lost its lease that way.
const (
	callsPerCore       = 1024 // in flight at once
	callsPerCoreSecond = 4000
	callsPerCoreBurst  = 128
)

// minLimiterCores is the least number of cores that the limits are computed with. A deployment with less
// than a core has a fleet too small to need limits below those of a whole one.
const minLimiterCores = 1

// descriptorsPerCall is how many file descriptors the process has for each direct call in flight. The rest
// is for what must not wait for the workers: users' requests, heartbeats and the state service.
const descriptorsPerCall = 8

// callLimiter bounds the direct calls to workers, by their number in flight and by the rate at which they
// start. A call waits for its turn before anything is recorded as sent. A failover with hundreds of machines,
// or a partitioned zone whose calls all hang, must not take all sockets, and calls that will be answered must
// not wait for calls that hang.
type callLimiter struct {
	maxInFlight     int
	inFlight        int
	mayHangInFlight int // those of inFlight whose worker may not answer
	startRate       ratelimit.TokenBucket
}

func newCallLimiter(resources config.Resources) callLimiter {
	cores := max(minLimiterCores, resources.Cores)
	return callLimiter{
		maxInFlight: min(resources.FDs/descriptorsPerCall, int(callsPerCore*cores)),
		startRate:   ratelimit.New(callsPerCoreSecond*cores, callsPerCoreBurst*cores),
	}
}

// allows reports whether a call may start now.
func (l *callLimiter) allows(now time.Duration, mayHang bool) bool {
	if l.inFlight >= l.maxInFlight {
		return false
	}
	if mayHang && l.mayHangInFlight >= l.maxMayHang() {
		return false
	}
	return l.startRate.Allows(now, 1)
}

// maxMayHang is how many of the calls in flight may be to workers that may not answer. The other third stays
// free for workers that do.
func (l *callLimiter) maxMayHang() int { return l.maxInFlight * 2 / 3 }

// begin counts a call that starts.
func (l *callLimiter) begin(now time.Duration, mayHang bool) {
	l.inFlight++
	l.startRate.Take(now, 1)
	if mayHang {
		l.mayHangInFlight++
	}
}

// end counts a call that is over; mayHang is what begin was given.
func (l *callLimiter) end(mayHang bool) {
	l.inFlight--
	if mayHang {
		l.mayHangInFlight--
	}
}
