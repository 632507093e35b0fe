package scheduler

// Quota is a team's guarantee, limit and use. Zero in Guarantee or Limit: none.
// Kept is what its batches leave of the limit for services that arrive before a
// round could stop one of them.
type Quota struct{ Guaranteed, Maximum, Used, ServiceReserve Need }

func within(used, bound Need, unbounded bool) bool {
	ok := func(u, b float64) bool { return (unbounded && b == 0) || u <= b+eps }
	return ok(used.Cores, bound.Cores) && ok(used.Accel, bound.Accel)
}

// WithinMaximum says whether the team may use n more.
func (q *Quota) WithinMaximum(n Need) bool { return within(q.Used.Plus(n), q.Maximum, true) }

// Admits says whether the team may use what a task of the job needs.
func (q *Quota) Admits(j *Job) bool {
	if j.Service {
		return q.WithinMaximum(j.Need)
	}
	return q.WithinMaximum(j.Need.Plus(q.ServiceReserve))
}

// HasGuarantee says whether anything is guaranteed to the team.
func (q *Quota) HasGuarantee() bool { return q.Guaranteed.Cores > 0 || q.Guaranteed.Accel > 0 }

// WithinGuarantee says whether n more stays within the guarantee.
func (q *Quota) WithinGuarantee(n Need) bool {
	return q.HasGuarantee() && within(q.Used.Plus(n), q.Guaranteed, true)
}

// ExceedsGuarantee says whether the team now uses more than its guarantee.
func (q *Quota) ExceedsGuarantee() bool {
	return !q.HasGuarantee() || !within(q.Used, q.Guaranteed, true)
}
