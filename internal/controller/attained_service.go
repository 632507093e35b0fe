package controller

import (
	"strconv"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/statestore"
)

// serviceAccounting accrues the attained service of jobs, by which the scheduler orders them, and stores it for the
// next leader.
//
// It owns the time of the last accrual; the sums are in the jobs. The next leader loads the stored counters and adds
// the service that was attained since they were stored (see stateLoader.loadCounters).
type serviceAccounting struct {
	env   *environment
	state *clusterstate.State
	store *statestore.Writer
	views *schedulerViews

	accruedUntil time.Duration // the time up to which the attained service has been accrued
}

const (
	// accrualDivisor sets the shortest interval between two accruals to a twentieth of a worker lease, as each accrual
	// iterates over all jobs.
	accrualDivisor = 20
	// counterRowEntries is the largest size of a row of counters in units of clusterstate.MaxEntryBytes.
	counterRowEntries = 2
)

// accrueService adds the service that was attained since the last accrual.
func (a *serviceAccounting) accrueService() {
	elapsed := (a.env.now - a.accruedUntil).Seconds()
	if elapsed < a.env.cfg.WorkerLease().Seconds()/accrualDivisor {
		return
	}
	a.accruedUntil = a.env.now
	capacity := a.views.readyCapacity()
	for _, j := range a.state.Jobs {
		if j.ActiveAttempts > 0 && !j.Spec.Service {
			j.Scale.Attained += elapsed * float64(j.ActiveAttempts) * capacityShare(j, capacity)
		}
	}
}

// writeCounters stores the attained service for the next leader, in as few records as the size limit on a value allows.
func (a *serviceAccounting) writeCounters() {
	batches := a.counterBatches()
	storedAt := a.env.wall
	for i, jobs := range batches {
		record := clusterstate.Counters{At: storedAt, Jobs: jobs}
		a.store.QueueWrite(counterKey(i), statestore.PriorityCounters, func() any { return record }, nil)
	}
	// Records that are not needed any more are deleted: at a failover their outdated values would be loaded.
	for i := len(batches); a.store.Version(counterKey(i)) != 0; i++ {
		a.store.QueueWrite(counterKey(i), statestore.PriorityCounters, func() any { return nil }, nil)
	}
}

// counterBatches returns the rows of counters by job id, split into records. Services, and jobs that are not stored or
// are being cancelled, have no row.
func (a *serviceAccounting) counterBatches() []map[string]clusterstate.CounterRow {
	limit := a.env.cfg.MaxValueBytes() / (counterRowEntries * clusterstate.MaxEntryBytes)
	var batches []map[string]clusterstate.CounterRow
	for _, j := range a.state.SortedJobs() {
		uid := j.Spec.UID
		if j.Spec.Service || j.Cancelling || !j.Stored {
			continue
		}
		if len(batches) == 0 || len(batches[len(batches)-1]) >= limit {
			batches = append(batches, map[string]clusterstate.CounterRow{})
		}
		scale := j.Scale
		batches[len(batches)-1][uid] = clusterstate.CounterRow{Attained: scale.Attained, Upper: scale.InUpperQueue, Slots: scale.Slots,
			DoneAt: scale.DoneAt, AttainedAt: scale.AttainedAt, First: scale.InitialEfficiency, Degr: scale.Degradation}
	}
	return batches
}

// counterKey is the key of the counters record with index i.
func counterKey(index int) string { return clusterstate.CounterPrefix + strconv.Itoa(index) }
