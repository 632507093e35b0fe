package controller

import (
	"testing"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

func arrivalAt(second int64, tasks int) *clusterstate.Job {
	return &clusterstate.Job{Spec: &protocol.JobSpec{UID: "j", Team: "red", Tasks: tasks, Image: "img", Service: true}, Submitted: second * 1000}
}

// Of more than 200 arrivals within four boot times only the last 200 counted: a fleet of 4,000
// machines has 1,300 of one class, and kept a seventh of the room that its replicas need.
func TestArrivalsOfALargeFleet(t *testing.T) {
	a := &arrivalHistory{}
	for i := range 1300 {
		a.add(arrivalAt(int64(1000+i/7), 2))
	}
	if tasks, images, _ := a.since(1000); tasks != 2600 || images["img"] != 2600 {
		t.Errorf("%d of 2,600 tasks count, %v by image", tasks, images)
	}
	if tasks, _, _ := a.since(1100); tasks != 2*(1300-700) {
		t.Errorf("%d tasks since second 1100", tasks)
	}
}

// After a failover jobs are read in the order of their ids; the history is bounded.
func TestArrivalsInNoOrder(t *testing.T) {
	a := &arrivalHistory{}
	for i := range 2 * arrivalHistorySeconds {
		a.add(arrivalAt(int64(10_000+i*7919%(2*arrivalHistorySeconds)), 1))
	}
	if len(a.seconds) > arrivalHistorySeconds {
		t.Errorf("%d seconds are kept", len(a.seconds))
	}
	newest := int64(10_000 + 2*arrivalHistorySeconds)
	if tasks, _, sample := a.since(newest - 200); tasks != 200 || sample.Submitted != (newest-1)*1000 {
		t.Errorf("%d of 200 tasks count, the last is of %d", tasks, sample.Submitted)
	}
	a.add(arrivalAt(1, 5))
	if tasks, _, _ := a.since(0); tasks != arrivalHistorySeconds {
		t.Errorf("%d tasks are kept", tasks)
	}
}
