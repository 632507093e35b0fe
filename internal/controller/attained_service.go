package controller

import (
	"strconv"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/statestore"
)

// serviceAccounting books the service that jobs attain, and stores it for a successor.
type serviceAccounting struct {
	env   *environment
	state *clusterstate.State
	store *statestore.Writer
	views *schedulerViews

	accrueAt time.Duration
}

// accrueService books the service attained since the last time.
func (a *serviceAccounting) accrueService() {
	dt := (a.env.now - a.accrueAt).Seconds()
	if dt < a.env.cfg.Lease().Seconds()/20 {
		return
	}
	a.accrueAt = a.env.now
	whole := a.views.readyCapacity()
	for _, j := range a.state.Jobs {
		if j.ActiveAttempts > 0 && !j.Spec.Service {
			j.Scale.Attained += dt * float64(j.ActiveAttempts) * capacityShare(j, whole)
		}
	}
}

// writeCounters stores the attained service in a batch, for a successor.
func (a *serviceAccounting) writeCounters() {
	limit := a.env.cfg.ValueBytes() / (2 * clusterstate.EntryBytes)
	var batch []map[string]clusterstate.CounterRow
	for _, j := range a.state.SortedJobs() {
		uid := j.Spec.UID
		if j.Spec.Service || j.Cancelling || !j.Stored {
			continue
		}
		if len(batch) == 0 || len(batch[len(batch)-1]) >= limit {
			batch = append(batch, map[string]clusterstate.CounterRow{})
		}
		s := j.Scale
		batch[len(batch)-1][uid] = clusterstate.CounterRow{Attained: s.Attained, Upper: s.Upper, Slots: s.Slots,
			DoneAt: s.DoneAt, AttainedAt: s.AttainedAt, First: s.First, Degr: s.Degr}
	}
	at := a.env.wall
	for i, jobs := range batch {
		rec := clusterstate.Counters{At: at, Jobs: jobs}
		a.store.Mark(counterKey(i), statestore.Counters, func() any { return rec }, nil)
	}
	// Batches that are no longer needed.
	for i := len(batch); a.store.Version(counterKey(i)) != 0; i++ {
		a.store.Mark(counterKey(i), statestore.Counters, func() any { return nil }, nil)
	}
}

func counterKey(i int) string { return clusterstate.CounterPrefix + strconv.Itoa(i) }
