package controller

import "claybarrow/internal/clusterstate"

// failoverTrace records the times of the steps of the failover to this leadership, up to its first placement, for the
// log and the observer. Each leadership has its own trace.
type failoverTrace struct {
	env    *environment
	loader *stateLoader
	state  *clusterstate.State

	// failover holds the recorded steps; nil after the failover is finished.
	failover *Failover
}

// recordStateLoaded records that all stored records are loaded, and releases the preloaded records.
func (t *failoverTrace) recordStateLoaded() {
	failover := t.failover
	failover.Loaded, failover.Jobs, failover.Machines = t.env.now, len(t.state.Jobs), len(t.state.Machines)
	t.loader.preload = nil
}

// recordFirstPlacement records the first start of a task by this leadership and finishes the failover.
func (t *failoverTrace) recordFirstPlacement() {
	if failover := t.failover; failover != nil && failover.FirstPlacement == 0 {
		failover.FirstPlacement = t.env.now
		t.finishFailover()
	}
}

// expireFailover finishes the failover if no task was started within a worker's lease after the state was loaded.
func (t *failoverTrace) expireFailover() {
	if failover := t.failover; failover != nil && failover.Loaded > 0 && t.env.now > failover.Loaded+t.env.cfg.WorkerLease() {
		t.finishFailover()
	}
}

// finishFailover logs the failover, reports it to the observer and discards the record.
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
