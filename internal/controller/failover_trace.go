package controller

import "claybarrow/internal/clusterstate"

// failoverTrace records the steps of the failover to this leadership until its first placement, for the log
// and the observer.
//
// It owns that record. Each leadership has a trace of its own.
type failoverTrace struct {
	env    *environment
	loader *stateLoader
	state  *clusterstate.State

	// failover is the record; nil once it is finished.
	failover *Failover
}

// noteStateLoaded notes that all records are loaded, and releases the preloaded ones.
func (t *failoverTrace) noteStateLoaded() {
	failover := t.failover
	failover.Loaded, failover.Jobs, failover.Machines = t.env.now, len(t.state.Jobs), len(t.state.Machines)
	t.loader.preload = nil
}

// noteFirstPlacement notes the first start of a task by this leadership, which finishes the failover.
func (t *failoverTrace) noteFirstPlacement() {
	if failover := t.failover; failover != nil && failover.FirstPlacement == 0 {
		failover.FirstPlacement = t.env.now
		t.finishFailover()
	}
}

// expireFailover finishes the failover without a placement when there was none for a worker's lease.
func (t *failoverTrace) expireFailover() {
	if failover := t.failover; failover != nil && failover.Loaded > 0 && t.env.now > failover.Loaded+t.env.cfg.WorkerLease() {
		t.finishFailover()
	}
}

// finishFailover logs the failover and hands it to the observer, once.
func (t *failoverTrace) finishFailover() {
	failover := t.failover
	args := []any{"token", failover.Token, "former_leader", failover.FormerLeader, "preloaded", failover.Preloaded}
	for _, step := range failover.Steps() {
		args = append(args, step.Name+"_s", (step.To - step.From).Seconds())
	}
	t.env.log.Info("failover finished", args...)
	t.env.observer.FailedOver(*failover)
	t.failover = nil
}
