package transport

import (
	"context"
	"testing"
	"time"

	"claybarrow/internal/controller"
)

// Ticks and the state service's responses have priority over the responses and heartbeats of workers, and all of these
// have priority over users' requests. Without this order, a new leader with 5,500 workers lost its lease in a scale run
// because the response to its lease renewal waited behind the workers' responses. The next leader lost its lease in the
// same way: there were four leaders in four seconds.
func TestStateServiceResponsesHavePriority(t *testing.T) {
	server := &Server{
		results:      make(chan controller.Event, 8),
		stateResults: make(chan controller.Event, 8),
		requests:     make(chan pendingRequest, 8),
		heartbeats:   make(chan pendingRequest, 8),
	}
	ticks := make(chan time.Time, 1)
	register := func(pending pendingRequest) controller.Event { return pending.request }
	const firstUserID = 300
	for id := range uint64(4) {
		server.results <- controller.Result{ID: 100 + id}
		server.heartbeats <- pendingRequest{request: controller.Request{ID: 200 + id}}
		server.requests <- pendingRequest{request: controller.Request{ID: firstUserID + id}}
	}
	server.stateResults <- controller.Result{ID: 1}
	server.stateResults <- controller.Result{ID: 2}
	ticks <- time.Time{}
	stateAnswers, tickEvents := 0, 0
	for range 3 {
		switch event := server.nextEvent(context.Background(), ticks, register).(type) {
		case controller.Result:
			if event.ID < 100 {
				stateAnswers++
			}
		case controller.Tick:
			tickEvents++
		}
	}
	if stateAnswers != 2 || tickEvents != 1 {
		t.Errorf("the first 3 events contain %d responses of the state service and %d ticks, want 2 and 1", stateAnswers, tickEvents)
	}
	for range 8 {
		if request, ok := server.nextEvent(context.Background(), ticks, register).(controller.Request); ok && request.ID >= firstUserID {
			t.Error("a user's request was taken before the workers' events")
		}
	}
	if request, ok := server.nextEvent(context.Background(), ticks, register).(controller.Request); !ok || request.ID < firstUserID {
		t.Error("no user's request was taken after the workers' events")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 3 {
		server.nextEvent(context.Background(), ticks, register)
	}
	if event := server.nextEvent(ctx, ticks, register); event != nil {
		t.Errorf("nextEvent returned %v after ctx was cancelled, want nil", event)
	}
}
