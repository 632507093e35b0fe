package controller

import (
	"strconv"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/statestore"
)

// accrueService books the service attained since the last time.
func (l *leadership) accrueService() {
	dt := (l.controller.env.now - l.accrueAt).Seconds()
	if dt < l.controller.env.cfg.Lease().Seconds()/20 {
		return
	}
	l.accrueAt = l.controller.env.now
	whole := l.readyCapacity()
	for _, j := range l.state.Jobs {
		if j.ActiveAttempts > 0 && !j.Spec.Service {
			j.Scale.Attained += dt * float64(j.ActiveAttempts) * shareOf(j, whole)
		}
	}
}

// writeCounters stores the attained service in a batch, for a successor.
func (l *leadership) writeCounters() {
	limit := l.controller.env.cfg.ValueBytes() / (2 * clusterstate.EntryBytes)
	var batch []map[string]clusterstate.CounterRow
	for _, j := range l.state.SortedJobs() {
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
	at := l.controller.env.wall
	for i, jobs := range batch {
		rec := clusterstate.Counters{At: at, Jobs: jobs}
		l.store.Mark(counterKey(i), statestore.Counters, func() any { return rec }, nil)
	}
	// Batches that are no longer needed.
	for i := len(batch); l.store.Version(counterKey(i)) != 0; i++ {
		l.store.Mark(counterKey(i), statestore.Counters, func() any { return nil }, nil)
	}
}

func counterKey(i int) string { return clusterstate.CounterPrefix + strconv.Itoa(i) }

// logFleetSummary logs how the fleet stands, for those who follow an incident.
func (l *leadership) logFleetSummary() {
	up, booting, idle := 0, 0, 0
	for _, m := range l.state.Machines {
		switch {
		case m.Releasing:
		case !m.Up:
			booting++
		case len(m.Attempts) == 0:
			idle++
		default:
			up++
		}
	}
	// By type and kind: machines that are up, and how much of them is used.
	type load struct {
		n    int
		used float64
	}
	kinds := map[string]*load{}
	for _, m := range l.state.Machines {
		if !m.Up || m.Releasing {
			continue
		}
		name := m.Type
		if m.Spot {
			name += "/spot"
		}
		if kinds[name] == nil {
			kinds[name] = &load{}
		}
		kinds[name].n++
		if m.Size.Accel > 0 {
			kinds[name].used += m.Used.Accel / m.Size.Accel
		} else if m.Size.Cores > 0 {
			kinds[name].used += m.Used.Cores / m.Size.Cores
		}
	}
	waiting, held := map[string]int{}, map[string]int{}
	for _, j := range l.state.Jobs {
		if j.Stored && !j.Cancelling {
			waiting[j.Spec.Class] += j.Spec.Tasks - j.Done - j.ActiveAttempts
			held[j.Spec.Class] += j.ActiveAttempts
		}
	}
	args := []any{"txns", l.store.Took().TotalCount(), "txn_p99_ms", l.store.Took().ValueAtQuantile(99), "jobs", len(l.state.Jobs), "busy", up, "idle", idle, "booting", booting, "renting", len(l.pool.Launching())}
	for _, class := range sortedKeys(waiting) {
		args = append(args, class, strconv.Itoa(held[class])+"+"+strconv.Itoa(waiting[class]))
	}
	for _, name := range sortedKeys(kinds) {
		args = append(args, name, strconv.FormatFloat(kinds[name].used, 'f', 1, 64)+"/"+strconv.Itoa(kinds[name].n))
	}
	for _, name := range sortedKeys(l.state.Quotas) {
		t := l.state.Quotas[name]
		if t.Used.Cores > 0 {
			args = append(args, name, strconv.FormatFloat(t.Used.Cores, 'f', 0, 64)+"c/"+strconv.FormatFloat(t.Used.Accel, 'f', 0, 64)+"a")
		}
	}
	l.controller.env.log.Info("fleet", args...)
	l.store.Took().Reset()
}
