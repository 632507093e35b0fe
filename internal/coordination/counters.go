package coordination

import (
	"strconv"

	"claybarrow/internal/ledger"
	"claybarrow/internal/statestore"
)

// accrue books the service attained since the last time.
func (r *term) accrue() {
	c := r.c
	dt := (c.now - r.accrueAt).Seconds()
	if dt < c.cfg.Lease().Seconds()/20 {
		return
	}
	r.accrueAt = c.now
	whole := r.capacity()
	for _, j := range r.Jobs {
		if j.HeldTotal > 0 && !j.Spec.Service {
			j.Scale.Attained += dt * float64(j.HeldTotal) * shareOf(j, whole)
		}
	}
}

// writeCounters stores the attained service in a batch, for a successor.
func (r *term) writeCounters() {
	limit := r.c.cfg.ValueBytes() / (2 * ledger.EntryBytes)
	var batch []map[string]ledger.CounterRow
	for _, j := range r.SortedJobs() {
		uid := j.Spec.UID
		if j.Spec.Service || j.Cancelling || !j.Stored {
			continue
		}
		if len(batch) == 0 || len(batch[len(batch)-1]) >= limit {
			batch = append(batch, map[string]ledger.CounterRow{})
		}
		s := j.Scale
		batch[len(batch)-1][uid] = ledger.CounterRow{Attained: s.Attained, Upper: s.Upper, Slots: s.Slots,
			DoneAt: s.DoneAt, AttainedAt: s.AttainedAt, First: s.First, Degr: s.Degr}
	}
	at := r.c.wall
	for i, jobs := range batch {
		rec := ledger.Counters{At: at, Jobs: jobs}
		r.records.Mark(counterKey(i), statestore.Counters, func() any { return rec }, nil)
	}
	// Batches that are no longer needed.
	for i := len(batch); r.records.Version(counterKey(i)) != 0; i++ {
		r.records.Mark(counterKey(i), statestore.Counters, func() any { return nil }, nil)
	}
}

func counterKey(i int) string { return ledger.CounterPrefix + strconv.Itoa(i) }

// overview logs how the fleet stands, for those who follow an incident.
func (r *term) overview() {
	up, booting, idle := 0, 0, 0
	for _, m := range r.Machines {
		switch {
		case m.Returning:
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
	for _, m := range r.Machines {
		if !m.Up || m.Returning {
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
	for _, j := range r.Jobs {
		if j.Stored && !j.Cancelling {
			waiting[j.Spec.Class] += j.Spec.Tasks - j.Done - j.HeldTotal
			held[j.Spec.Class] += j.HeldTotal
		}
	}
	args := []any{"txns", r.records.Took().TotalCount(), "txn_p99_ms", r.records.Took().ValueAtQuantile(99), "jobs", len(r.Jobs), "busy", up, "idle", idle, "booting", booting, "renting", len(r.pool.Renting())}
	for _, class := range sortedKeys(waiting) {
		args = append(args, class, strconv.Itoa(held[class])+"+"+strconv.Itoa(waiting[class]))
	}
	for _, name := range sortedKeys(kinds) {
		args = append(args, name, strconv.FormatFloat(kinds[name].used, 'f', 1, 64)+"/"+strconv.Itoa(kinds[name].n))
	}
	for _, name := range sortedKeys(r.Teams) {
		t := r.Teams[name]
		if t.Used.Cores > 0 {
			args = append(args, name, strconv.FormatFloat(t.Used.Cores, 'f', 0, 64)+"c/"+strconv.FormatFloat(t.Used.Accel, 'f', 0, 64)+"a")
		}
	}
	r.c.log.Info("fleet", args...)
	r.records.Took().Reset()
}
