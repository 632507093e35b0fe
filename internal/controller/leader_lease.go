package controller

import (
	"errors"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/stateclient"
)

// leaderLease is the leader's fencing token and the lease in the state service that its leadership depends on.
//
// It owns the token, the lease's renewal and whether the leadership has ended. It begins with the election and
// is dropped with the leadership; a successor has a token and a lease of its own.
type leaderLease struct {
	controller *Controller
	env        *environment
	outbox     *outbox

	token            uint64
	leaseID          uint64
	leaseConfirmedAt time.Duration // when the last confirmed renewal was sent
	renewLeaseAt     time.Duration // when the next renewal is due
	renewalInFlight  bool
	coasting         bool          // the lease may have expired, which has been logged
	electedAt        time.Duration // when the election was won
	ended            bool          // the leadership is over
	// verifyingLeaseUntil is set after a process pause: until then, or until the lease is confirmed, this
	// leader does not know whether it still is one (see pauseRecovery).
	verifyingLeaseUntil time.Duration
}

// Fractions of the leader's lease (config.LeaderLease).
const (
	// firstRenewalDivisor: the first renewal is due an eighth of a lease after the election, sooner than the
	// others, as the lease runs since before the election.
	firstRenewalDivisor = 8
	// renewalDivisor: a lease is renewed five times in its duration. config.LeaderLease allows for the requests
	// that these renewals take.
	renewalDivisor = 5
	// renewalRetryDivisor: a failed renewal is repeated after a tenth of the lease.
	renewalRetryDivisor = 10
	// renewalTimeoutDivisor bounds the wait for an answer to a renewal to a third of the lease, so that
	// another one fits into the same lease.
	renewalTimeoutDivisor = 3
)

// renewLeaderLease renews the lease well before it expires. A leader whose lease was not confirmed for as long
// as it may coast (config.Coast) ends its leadership.
func (l *leaderLease) renewLeaderLease() {
	if l.env.now > l.leaseConfirmedAt+l.env.cfg.OutageTolerance() && !l.holdsLease() {
		l.controller.endLeadership(endLeaseUnconfirmed)
		return
	}
	if l.renewalInFlight || l.env.now < l.renewLeaseAt {
		return
	}
	l.sendRenewal()
}

// sendRenewal sends a renewal of the lease.
func (l *leaderLease) sendRenewal() {
	l.renewalInFlight = true
	sent, timeout := l.env.now, l.env.cfg.LeaderLease()/renewalTimeoutDivisor
	l.outbox.state.RenewLease(l.leaseID, timeout, func(err error) {
		l.renewalInFlight = false
		if l.ended {
			return
		}
		l.onRenewalResult(sent, err)
	})
}

// onRenewalResult handles the answer to a renewal that was sent at a time. Without a usable answer the leader
// coasts: it keeps answering workers, but starts nothing.
func (l *leaderLease) onRenewalResult(sent time.Duration, err error) {
	ttl := l.env.cfg.LeaderLease()
	switch {
	case err == nil:
		if !l.holdsLease() {
			l.env.log.Info("leader lease confirmed again", "token", l.token)
		}
		// The lease runs from when the state service handled the renewal, which is after it was sent.
		l.leaseConfirmedAt = max(l.leaseConfirmedAt, sent)
		l.verifyingLeaseUntil = 0
		l.renewLeaseAt = sent + ttl/renewalDivisor
		l.coasting = false
	case errors.Is(err, stateclient.ErrLeaseExpired):
		l.controller.endLeadership(endLeaseExpired)
		l.coasting = false
	default:
		l.renewLeaseAt = l.env.now + ttl/renewalRetryDivisor
		if !l.holdsLease() && !l.coasting {
			l.coasting = true
			l.env.log.Info("leader lease not confirmed, coasting", "token", l.token)
		}
	}
}

// holdsLease reports whether no other controller can have become leader: the lease, counted from the sending
// of its last confirmed renewal and shortened by the drift of the clocks, has not expired.
func (l *leaderLease) holdsLease() bool { return l.env.now < l.holdsLeaseUntil() }

// holdsLeaseUntil is the time until which no other controller can become leader.
func (l *leaderLease) holdsLeaseUntil() time.Duration {
	ttl := l.env.cfg.LeaderLease()
	drift := config.WithClockDrift(ttl) - ttl
	return l.leaseConfirmedAt + ttl - drift
}

// verifiesLease reports whether this leader does not know, after a process pause, if it still is one. Where
// the state service does not answer at all this ends after a while, and it goes on as a coasting leader does.
func (l *leaderLease) verifiesLease() bool { return l.env.now < l.verifyingLeaseUntil }
