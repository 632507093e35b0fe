package controller

import (
	"errors"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/stateclient"
)

// leaderLease holds the leader's fencing token and the lease in the state service that its leadership depends on.
//
// It owns the token, the renewal of the lease and the flag that the leadership has ended. It is created at the
// election and discarded with the leadership; a successor has its own token and lease.
type leaderLease struct {
	controller *Controller
	env        *environment
	outbox     *outbox

	token             uint64
	leaseID           uint64
	leaseConfirmedAt  time.Duration // when the last confirmed renewal was sent
	renewLeaseAt      time.Duration // when the next renewal is due
	renewalInFlight   bool
	unconfirmedLogged bool          // that the lease may have expired has been logged
	electedAt         time.Duration // when the election was won
	ended             bool          // the leadership has ended
	// verifyingLeaseUntil is set after a process pause, when another controller may have been elected. Until this
	// time, or until the lease is confirmed, the leader makes no decisions (see pauseRecovery).
	verifyingLeaseUntil time.Duration
}

// Fractions of the leader's lease (config.Config.LeaderLease).
const (
	// firstRenewalDivisor: the first renewal is due an eighth of a lease after the election. The interval is shorter
	// than that of later renewals because the lease was granted before the election.
	firstRenewalDivisor = 8
	// renewalDivisor: the lease is renewed five times per lease duration. config.Config.LeaderLease takes the rate of
	// these requests into account.
	renewalDivisor = 5
	// renewalRetryDivisor: a failed renewal is retried after a tenth of the lease.
	renewalRetryDivisor = 10
	// renewalTimeoutDivisor: a renewal times out after a third of the lease, so that another one fits into the same
	// lease.
	renewalTimeoutDivisor = 3
)

// renewLeaderLease renews the lease well before it expires. It ends the leadership if the lease has not been confirmed
// for the outage tolerance (config.Config.OutageTolerance).
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

// sendRenewal sends a renewal of the lease to the state service.
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

// onRenewalResult handles the result of a renewal; sent is when the renewal was sent. While the lease is unconfirmed,
// the leader still answers workers' heartbeats but starts no tasks.
func (l *leaderLease) onRenewalResult(sent time.Duration, err error) {
	ttl := l.env.cfg.LeaderLease()
	switch {
	case err == nil:
		if !l.holdsLease() {
			l.env.log.Info("leader lease confirmed again", "token", l.token)
		}
		// The lease runs from the time when the state service handled the renewal, which is later than sent.
		l.leaseConfirmedAt = max(l.leaseConfirmedAt, sent)
		l.verifyingLeaseUntil = 0
		l.renewLeaseAt = sent + ttl/renewalDivisor
		l.unconfirmedLogged = false
	case errors.Is(err, stateclient.ErrLeaseExpired):
		l.controller.endLeadership(endLeaseExpired)
		l.unconfirmedLogged = false
	default:
		l.renewLeaseAt = l.env.now + ttl/renewalRetryDivisor
		if !l.holdsLease() && !l.unconfirmedLogged {
			l.unconfirmedLogged = true
			l.env.log.Info("leader lease not confirmed; answering workers but starting no tasks", "token", l.token)
		}
	}
}

// holdsLease reports whether the lease is certainly valid, so that no other controller can be the leader: the lease,
// counted from the sending of its last confirmed renewal and shortened by the maximum clock drift, has not expired.
func (l *leaderLease) holdsLease() bool { return l.env.now < l.holdsLeaseUntil() }

// holdsLeaseUntil returns the time until which no other controller can become the leader.
func (l *leaderLease) holdsLeaseUntil() time.Duration {
	ttl := l.env.cfg.LeaderLease()
	drift := config.WithClockDrift(ttl) - ttl
	return l.leaseConfirmedAt + ttl - drift
}

// isVerifyingLease reports whether the leader is waiting, after a process pause, for its lease to be confirmed. If the
// state service does not respond, the wait ends at verifyingLeaseUntil and the leader continues with an unconfirmed
// lease.
func (l *leaderLease) isVerifyingLease() bool { return l.env.now < l.verifyingLeaseUntil }
