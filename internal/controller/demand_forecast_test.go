package controller

import (
	"testing"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

// arrivalAt returns a job of the given number of replicas that was submitted in the given second.
func arrivalAt(second int64, tasks int) *clusterstate.Job {
	return &clusterstate.Job{Spec: &protocol.JobSpec{UID: "j", Team: "red", Tasks: tasks, Image: "img", Service: true}, Submitted: second * 1000}
}

// All arrivals of the last four boot times must be counted. When only the last 200 were, a fleet of
// 4,000 machines, with 1,300 arrivals of one class in that time, reserved a seventh of the capacity
// that its replicas need.
func TestArrivalsOfALargeFleet(t *testing.T) {
	a := &arrivalHistory{}
	for i := range 1300 {
		a.add(arrivalAt(int64(1000+i/7), 2))
	}
	if tasks, images, _ := a.totalSince(1000); tasks != 2600 || images["img"] != 2600 {
		t.Errorf("%d of 2,600 tasks counted, by image: %v", tasks, images)
	}
	if tasks, _, _ := a.totalSince(1100); tasks != 2*(1300-700) {
		t.Errorf("%d tasks counted since second 1100, want %d", tasks, 2*(1300-700))
	}
}

// After a failover, jobs are loaded in the order of their IDs, so arrivals are added out of order. The
// length of the history must still be bounded.
func TestArrivalsOutOfOrder(t *testing.T) {
	a := &arrivalHistory{}
	for i := range 2 * arrivalHistorySeconds {
		a.add(arrivalAt(int64(10_000+i*7919%(2*arrivalHistorySeconds)), 1))
	}
	if len(a.seconds) > arrivalHistorySeconds {
		t.Errorf("the history has %d seconds, want at most %d", len(a.seconds), arrivalHistorySeconds)
	}
	newest := int64(10_000 + 2*arrivalHistorySeconds)
	if tasks, _, sample := a.totalSince(newest - 200); tasks != 200 || sample.Submitted != (newest-1)*1000 {
		t.Errorf("%d of 200 tasks counted, the latest was submitted at %d ms", tasks, sample.Submitted)
	}
	a.add(arrivalAt(1, 5))
	if tasks, _, _ := a.totalSince(0); tasks != arrivalHistorySeconds {
		t.Errorf("the history has %d tasks, want %d", tasks, arrivalHistorySeconds)
	}
}
