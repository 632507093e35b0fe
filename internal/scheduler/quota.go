package scheduler

// Quota is a team's guarantee, maximum and usage. A resource that is zero in Guaranteed or Maximum is not limited by
// it.
type Quota struct {
	Guaranteed, Maximum, Used Resources
	// ServiceReserve is the part of the maximum that the team's batches leave free, for services that are submitted
	// before the next round can preempt batches.
	ServiceReserve Resources
}

func isWithin(used, bound Resources) bool {
	amountWithin := func(u, b float64) bool { return b == 0 || u <= b+roundingTolerance }
	return amountWithin(used.Cores, bound.Cores) && amountWithin(used.Accelerators, bound.Accelerators)
}

// WithinMaximum reports whether the team stays within its maximum if it uses n more.
func (q *Quota) WithinMaximum(n Resources) bool { return isWithin(q.Used.Plus(n), q.Maximum) }

// Admits reports whether the quota admits one more task of the job.
func (q *Quota) Admits(j *Job) bool {
	if j.Service {
		return q.WithinMaximum(j.Request)
	}
	return q.WithinMaximum(j.Request.Plus(q.ServiceReserve))
}

// HasGuarantee reports whether the team has a guarantee for any resource.
func (q *Quota) HasGuarantee() bool { return q.Guaranteed.Cores > 0 || q.Guaranteed.Accelerators > 0 }

// WithinGuarantee reports whether the team stays within its guarantee if it uses n more.
func (q *Quota) WithinGuarantee(n Resources) bool {
	return q.HasGuarantee() && isWithin(q.Used.Plus(n), q.Guaranteed)
}

// ExceedsGuarantee reports whether the team uses more than its guarantee. It is always true for a team without a
// guarantee.
func (q *Quota) ExceedsGuarantee() bool {
	return !q.HasGuarantee() || !isWithin(q.Used, q.Guaranteed)
}
