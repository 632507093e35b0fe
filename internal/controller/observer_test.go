package controller

import (
	"time"

	"claybarrow/internal/membership"
)

// worldObserver records the events that a controller of the world reports to its observer.
type worldObserver struct {
	noObserver
	w          *world
	node       int
	changes    []memberChange
	redirected map[string][]time.Duration // times of the redirections of each machine
	failovers  []Failover
	reroutes   int
	retries    int
}

// memberChange is a change of a member's state and the time at which it was reported.
type memberChange struct {
	at time.Duration
	membership.StateChange
}

func (o *worldObserver) InvariantViolated(v Violation) {
	o.w.t.Errorf("node %d at %v: invariant violated: %+v", o.node, o.w.Now(), v)
}

func (o *worldObserver) MemberChanged(c membership.StateChange) {
	o.changes = append(o.changes, memberChange{o.w.Now(), c})
}

func (o *worldObserver) MachineRedirected(machine, _ string) {
	if o.redirected == nil {
		o.redirected = map[string][]time.Duration{}
	}
	o.redirected[machine] = append(o.redirected[machine], o.w.Now())
}

func (o *worldObserver) FailedOver(h Failover) { o.failovers = append(o.failovers, h) }

func (o *worldObserver) RequestRerouted() { o.reroutes++ }

func (o *worldObserver) RequestRetried() { o.retries++ }

// firstChangeTo returns the time of the first change of the member with this label to the given state, at
// or after since; 0: there was no such change.
func (o *worldObserver) firstChangeTo(label string, state membership.State, since time.Duration) time.Duration {
	for _, c := range o.changes {
		if c.at >= since && c.Label == label && c.To == state {
			return c.at
		}
	}
	return 0
}
