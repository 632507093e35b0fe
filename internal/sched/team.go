package sched

// Team is a team's guarantee, limit and use. Zero in Guarantee or Limit: none.
// Kept is what its batches leave of the limit for services that arrive before a
// round could stop one of them.
type Team struct{ Guarantee, Limit, Used, Kept Need }

func within(used, bound Need, unbounded bool) bool {
	ok := func(u, b float64) bool { return (unbounded && b == 0) || u <= b+eps }
	return ok(used.Cores, bound.Cores) && ok(used.Accel, bound.Accel)
}

// InLimit says whether the team may use n more.
func (t *Team) InLimit(n Need) bool { return within(t.Used.Plus(n), t.Limit, true) }

// Takes says whether the team may use what a task of the job needs.
func (t *Team) Takes(j *Job) bool {
	if j.Service {
		return t.InLimit(j.Need)
	}
	return t.InLimit(j.Need.Plus(t.Kept))
}

// HasGuarantee says whether anything is guaranteed to the team.
func (t *Team) HasGuarantee() bool { return t.Guarantee.Cores > 0 || t.Guarantee.Accel > 0 }

// InGuarantee says whether n more stays within the guarantee.
func (t *Team) InGuarantee(n Need) bool {
	return t.HasGuarantee() && within(t.Used.Plus(n), t.Guarantee, true)
}

// Beyond says whether the team now uses more than its guarantee.
func (t *Team) Beyond() bool { return !t.HasGuarantee() || !within(t.Used, t.Guarantee, true) }
