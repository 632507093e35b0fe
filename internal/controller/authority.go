package controller

import (
	"log/slog"
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// authority decides what this controller may do as the leader, from what it knows of its lease and of the stored
// records. The components of a leadership ask it, and none of them repeats its conditions.
type authority struct {
	env    *environment
	lease  *leaderLease
	loader *stateLoader
}

// restriction is the reason why a leader may not decide.
type restriction string

// Restrictions, the strictest first.
const (
	// unrestricted means that the leader may decide.
	unrestricted       restriction = ""
	leadershipOver     restriction = "leadership ended"
	recordsNotLoaded   restriction = "records not loaded"
	leaseBeingVerified restriction = "leader lease being verified after a pause"
	leaseNotConfirmed  restriction = "leader lease not confirmed"
)

// restriction returns the strictest restriction that applies now.
func (a *authority) restriction() restriction {
	switch {
	case a.lease.ended:
		return leadershipOver
	case !a.loader.ready:
		return recordsNotLoaded
	case a.lease.isVerifyingLease():
		return leaseBeingVerified
	case !a.lease.holdsLease():
		return leaseNotConfirmed
	}
	return unrestricted
}

// mayDecide reports whether the leader may start tasks, write records, rent machines and answer users about jobs that
// have not ended: all records are loaded, and no other controller can be the leader.
func (a *authority) mayDecide() bool { return a.restriction() == unrestricted }

// mayServe reports whether the leader may answer workers, stop tasks and return machines. The lease need not be
// confirmed for that: another leader would only stop the same tasks.
func (a *authority) mayServe() bool {
	current := a.restriction()
	return current == unrestricted || current == leaseNotConfirmed
}

// mayForget reports whether the leader may remove an attempt that is proven absent. The proof does not depend on the
// lease, and the records are fenced.
func (a *authority) mayForget(attempt *clusterstate.Attempt, proof absenceProof) bool {
	return !a.lease.ended && a.loader.ready && proof.holds(attempt)
}

// mayClear reports whether a worker may be told under the token to forget an exited task: what follows from the exit is
// durable, and the token is higher than that of each message that may have started the task. The worker then refuses all
// copies of these messages, however late they arrive.
func (a *authority) mayClear(exited *clusterstate.ExitedTask, token uint64) bool {
	return exited != nil && exited.Clearable && token > exited.StartToken
}

// withoutUnfencedClears returns the commands of a message to the machine without the clears that may not be sent under the
// message's token. There are none, or this program has a fault.
func (a *authority) withoutUnfencedClears(m *clusterstate.Machine, token uint64, commands []protocol.Command) []protocol.Command {
	return slices.DeleteFunc(commands, func(command protocol.Command) bool {
		if command.Verb != protocol.VerbClear {
			return false
		}
		key := clusterstate.AttemptKey{Task: command.Task, Attempt: command.Attempt}
		if a.mayClear(m.Exited[key], token) {
			return false
		}
		a.violated(ClearNeedsFence, key.Task)
		return true
	})
}

// decidesUntil returns the time until which an answer or a command that is decided now may be sent.
func (a *authority) decidesUntil() time.Duration { return a.lease.holdsLeaseUntil() }

// Invariant names a condition that a leader must never violate.
type Invariant string

// The invariants.
const (
	// StartNeedsAuthority: a start command is sent only while no other controller can be the leader.
	StartNeedsAuthority Invariant = "start without authority"
	// RemovalNeedsProof: an attempt is removed only with a proof of its absence that agrees with what its worker has
	// reported, from loaded records.
	RemovalNeedsProof Invariant = "attempt removed without proof"
	// ClearNeedsFence: a worker is told to forget an exited task only by a message that makes it refuse all copies of the
	// task's start command.
	ClearNeedsFence Invariant = "clear without a fence"
	// FinalStateIsDurable: a cancellation is confirmed only once the job's final state is durable.
	FinalStateIsDurable Invariant = "final state told before it is durable"
	// StoredJobIsAnswered: a leader that may decide answers questions about stored jobs.
	StoredJobIsAnswered Invariant = "stored job refused"
)

// Violation is a violated invariant, with what the leader knew at that time.
type Violation struct {
	Invariant   Invariant
	Subject     string // the task, machine or job concerned
	Token       uint64
	Restriction string // empty: the leader may decide
	LeaseLeft   time.Duration
	Loaded      bool
}

// violated logs a violation and reports it to the observer. The caller refuses the action.
func (a *authority) violated(invariant Invariant, subject string) {
	violation := Violation{Invariant: invariant, Subject: subject, Token: a.lease.token, Restriction: string(a.restriction()),
		LeaseLeft: a.lease.holdsLeaseUntil() - a.env.now, Loaded: a.loader.ready}
	a.env.log.Error("invariant violated", slog.String("invariant", string(invariant)), slog.String("subject", subject),
		slog.Uint64("token", violation.Token), slog.String("restriction", violation.Restriction),
		slog.Float64("lease_left_s", violation.LeaseLeft.Seconds()), slog.Bool("loaded", violation.Loaded))
	a.env.observer.InvariantViolated(violation)
}
