package controller

import "claybarrow/internal/clusterstate"

// failoverTrace notes the steps of a failover until the first placement, for the log and the observer.
type failoverTrace struct {
	env    *environment
	loader *stateLoader
	state  *clusterstate.State

	// failover is what is noted of the take-over until its end, ahead the records that were read
	// before the election.
	failover *Failover
}

// noteStateLoaded notes that the records are read.
func (t *failoverTrace) noteStateLoaded() {
	h := t.failover
	h.Loaded, h.Jobs, h.Machines = t.env.now, len(t.state.Jobs), len(t.state.Machines)
	t.loader.preload = nil
}

// noteFirstPlacement notes the first start of the term, which ends the handover.
func (t *failoverTrace) noteFirstPlacement() {
	if h := t.failover; h != nil && h.FirstPlacement == 0 {
		h.FirstPlacement = t.env.now
		t.finishFailover()
	}
}

// finishFailover tells of it once.
func (t *failoverTrace) finishFailover() {
	h := t.failover
	args := []any{"token", h.Token, "former_leader", h.Former, "preloaded", h.Preloaded}
	for _, step := range h.Steps() {
		args = append(args, step.Name+"_s", (step.To - step.From).Seconds())
	}
	t.env.log.Info("failover finished", args...)
	t.env.observer.FailedOver(*h)
	t.failover = nil
}

// expireFailover gives up waiting for a first placement.
func (t *failoverTrace) expireFailover() {
	if h := t.failover; h != nil && h.Loaded > 0 && t.env.now > h.Loaded+t.env.cfg.Lease() {
		t.finishFailover()
	}
}
