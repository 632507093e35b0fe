package controller

import (
	"strconv"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/statestore"
)

// serviceAccounting accounts for the service that jobs attain, by which the scheduler orders them, and stores
// it for a successor.
//
// It owns the time of the last accounting; the sums are in the jobs. A successor loads the stored counters and
// adds what was attained since (see stateLoader.loadCounters).
type serviceAccounting struct {
	env   *environment
	state *clusterstate.State
	store *statestore.Writer
	views *schedulerViews

	accrueAt time.Duration // up to when the attained service is accounted for
}

const (
	// accrualDivisor: service is accounted for at the most every twentieth of a worker's lease, as each time
	// goes through all jobs.
	accrualDivisor = 20
	// counterRowEntries is the size of a row of counters in units of clusterstate.MaxEntryBytes.
	counterRowEntries = 2
)

// accrueService accounts for the service attained since the last time.
func (a *serviceAccounting) accrueService() {
	elapsed := (a.env.now - a.accrueAt).Seconds()
	if elapsed < a.env.cfg.WorkerLease().Seconds()/accrualDivisor {
		return
	}
	a.accrueAt = a.env.now
	capacity := a.views.readyCapacity()
	for _, j := range a.state.Jobs {
		if j.ActiveAttempts > 0 && !j.Spec.Service {
			j.Scale.Attained += elapsed * float64(j.ActiveAttempts) * capacityShare(j, capacity)
		}
	}
}

// writeCounters stores the attained service for a successor, in as few records as the limit on a value allows.
func (a *serviceAccounting) writeCounters() {
	batches := a.counterBatches()
	storedAt := a.env.wall
	for i, jobs := range batches {
		record := clusterstate.Counters{At: storedAt, Jobs: jobs}
		a.store.QueueWrite(counterKey(i), statestore.PriorityCounters, func() any { return record }, nil)
	}
	// Records of earlier, larger batches would bring back old values at a failover.
	for i := len(batches); a.store.Version(counterKey(i)) != 0; i++ {
		a.store.QueueWrite(counterKey(i), statestore.PriorityCounters, func() any { return nil }, nil)
	}
}

// counterBatches returns the rows of counters by job, split into records. Jobs that are not stored, are being
// cancelled or run as a service have none.
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

// counterKey is the key of a record of counters.
func counterKey(i int) string { return clusterstate.CounterPrefix + strconv.Itoa(i) }
