package scheduler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// SortByRank follows GREEN: services, then the upper queue first come, first served, then the lower queue by attained
// service divided by degradation, the lowest first.
func TestOrder(t *testing.T) {
	lower := func(attained, degr float64) func(*Job) {
		return func(j *Job) { j.InUpperQueue, j.Attained, j.Degradation = false, attained, degr }
	}
	jobs := []*Job{
		batch("old-lower", 1, lower(10, 1)), batch("young-lower", 1, lower(2, 1)), batch("inefficient", 1, lower(6, 0.5)),
		batch("second", 1, func(j *Job) { j.Submitted = 2 }), batch("first", 1, func(j *Job) { j.Submitted = 1 }),
		batch("service", 1, func(j *Job) { j.Service, j.Submitted = true, 9 }),
		batch("better-service", 1, func(j *Job) { j.Service, j.Submitted, j.Priority = true, 9, 3 }),
	}
	SortByRank(jobs)
	var got []string
	for _, j := range jobs {
		got = append(got, j.ID)
	}
	want := []string{"better-service", "service", "first", "second", "young-lower", "old-lower", "inefficient"}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
