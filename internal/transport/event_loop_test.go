package transport

import (
	"context"
	"testing"
	"time"

	"claybarrow/internal/controller"
)

// The state service's answers and the time go before what thousands of workers answer, and all
// of these before users: a new leader of 5,500 workers once lost its lease while the answer to its
// renewal waited behind theirs, and the next one after it (scale run, four leaders in four seconds).
func TestStateServiceGoesFirst(t *testing.T) {
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
		switch event := server.next(context.Background(), ticks, register).(type) {
		case controller.Result:
			if event.ID < 100 {
				stateAnswers++
			}
		case controller.Tick:
			tickEvents++
		}
	}
	if stateAnswers != 2 || tickEvents != 1 {
		t.Errorf("first came %d answers of the state service and %d ticks", stateAnswers, tickEvents)
	}
	for range 8 {
		if request, ok := server.next(context.Background(), ticks, register).(controller.Request); ok && request.ID >= firstUserID {
			t.Error("a user went before workers")
		}
	}
	if request, ok := server.next(context.Background(), ticks, register).(controller.Request); !ok || request.ID < firstUserID {
		t.Error("users' turn does not come")
	}
	ctx, end := context.WithCancel(context.Background())
	end()
	for range 3 {
		server.next(context.Background(), ticks, register)
	}
	if event := server.next(ctx, ticks, register); event != nil {
		t.Errorf("%v after the end", event)
	}
}
