package controller

import (
	"fmt"
	"time"

	"claybarrow/internal/config"
)

// leaderLease is the leader's fencing token and the lease in the state service that its leadership hangs on.
type leaderLease struct {
	controller *Controller
	env        *environment
	outbox     *outbox

	token            uint64
	leaseID          uint64
	leaseConfirmedAt time.Duration // sending of the last confirmed renewal
	renewLeaseAt     time.Duration
	renewalInFlight  bool
	coasting         bool
	electedAt        time.Duration // when the election was won
	ended            bool          // the leadership is over
	// verifyingLeaseUntil: after a standstill, see suspended.
	verifyingLeaseUntil time.Duration
}

// renewLeaderLease renews the leader's lease well before it runs out, counted from
// when the renewal was sent.
func (l *leaderLease) renewLeaderLease() {
	ttl := l.env.cfg.LeaderTTL()
	if l.env.now > l.leaseConfirmedAt+l.env.cfg.Coast() && !l.holdsLease() {
		l.controller.endLeadership(endLeaseUnconfirmed)
		return
	}
	if l.renewalInFlight || l.env.now < l.renewLeaseAt {
		return
	}
	l.renewalInFlight = true
	sent := l.env.now
	path := fmt.Sprintf("/leases/%d/extend", l.leaseID)
	l.outbox.stateCall("POST", path, nil, ttl/3, func(res Result) {
		l.renewalInFlight = false
		if l.ended {
			return
		}
		switch res.Status {
		case 200:
			if !l.holdsLease() {
				l.env.log.Info("leader lease confirmed again", "token", l.token)
			}
			l.leaseConfirmedAt = max(l.leaseConfirmedAt, sent)
			l.verifyingLeaseUntil = 0
			l.renewLeaseAt = sent + ttl/5
		case 404:
			l.controller.endLeadership(endLeaseExpired)
		default:
			l.renewLeaseAt = l.env.now + ttl/10
			if !l.holdsLease() && !l.coasting {
				l.coasting = true
				l.env.log.Info("leader lease not confirmed, coasting", "token", l.token)
			}
			return
		}
		l.coasting = false
	})
}

// holdsLease says whether nobody else can have become leader: the lease, counted
// from the sending of its last confirmed renewal and shortened by the clocks'
// drift, still runs.
func (l *leaderLease) holdsLease() bool { return l.env.now < l.holdsLeaseUntil() }

func (l *leaderLease) holdsLeaseUntil() time.Duration {
	ttl := l.env.cfg.LeaderTTL()
	return l.leaseConfirmedAt + 2*ttl - config.Drift(ttl)
}

// verifiesLease says whether this leader does not know yet, after a standstill, whether it
// still is one. Where the state service does not answer at all it goes on as a coasting
// leader does.
func (l *leaderLease) verifiesLease() bool { return l.env.now < l.verifyingLeaseUntil }
