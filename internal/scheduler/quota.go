package scheduler

// Quota is a team's guarantee, maximum and use. A zero resource in Guaranteed or Maximum is not
// bounded.
type Quota struct {
	Guaranteed, Maximum, Used Resources
	// ServiceReserve is what the team's batches leave of the maximum for services that arrive
	// before a round could preempt one of them.
	ServiceReserve Resources
}

func within(used, bound Resources) bool {
	ok := func(u, b float64) bool { return b == 0 || u <= b+eps }
	return ok(used.Cores, bound.Cores) && ok(used.Accel, bound.Accel)
}

// WithinMaximum says whether the team may use n more.
func (q *Quota) WithinMaximum(n Resources) bool { return within(q.Used.Plus(n), q.Maximum) }

// Admits says whether the team may use what a task of the job needs.
func (q *Quota) Admits(j *Job) bool {
	if j.Service {
		return q.WithinMaximum(j.Request)
	}
	return q.WithinMaximum(j.Request.Plus(q.ServiceReserve))
}

// HasGuarantee says whether anything is guaranteed to the team.
func (q *Quota) HasGuarantee() bool { return q.Guaranteed.Cores > 0 || q.Guaranteed.Accel > 0 }

// WithinGuarantee says whether n more stays within the guarantee.
func (q *Quota) WithinGuarantee(n Resources) bool {
	return q.HasGuarantee() && within(q.Used.Plus(n), q.Guaranteed)
}

// ExceedsGuarantee says whether the team now uses more than its guarantee. A team without one
// always does.
func (q *Quota) ExceedsGuarantee() bool {
	return !q.HasGuarantee() || !within(q.Used, q.Guaranteed)
}
