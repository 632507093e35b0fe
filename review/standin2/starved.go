package main

import (
	"context"
	"time"

	"claybarrow/internal/emulator"
)

// playStarved: a gang that does not fit beside running replicas keeps a small gang from the room that is free.
func playStarved(ctx context.Context, w *world, s *site, trouble bool) int {
	capacity := 5
	if trouble {
		capacity = 2
	}
	w.cloud.Types[0].Zones = []string{"a"}
	w.cloud.Capacity = map[emulator.Pool]int{{Type: "kerry-gpu96", Zone: "a"}: capacity}
	if err := w.startControllers(s); err != nil {
		return exitCouldNot
	}
	u := w.newUser(5 * time.Second)
	standing := &submission{UID: "j-000001", Class: "standing", Team: "appeals-desk", Shape: "service", Rank: "production", Tasks: 2, Cores: 50, MemoryGB: 50, Image: "img-1", ImageGB: 1}
	large := &submission{UID: "j-000002", Class: "guest", Team: "transport-research", Shape: "group", Rank: "idle", Tasks: 30, Cores: 4, MemoryGB: 4, Image: "img-1", ImageGB: 1, EstimateS: 20}
	small := &submission{UID: "j-000003", Class: "urgent", Team: "fines-casework", Shape: "group", Rank: "high", Tasks: 2, Cores: 4, MemoryGB: 4, Image: "img-1", ImageGB: 1, EstimateS: 20}
	if !u.submitUntilAccepted(ctx, standing) || !w.await(ctx, 20*time.Second, func() bool { return w.fleet.tasksOn(standing) == 2 }) {
		return exitCouldNot
	}
	if !u.submitUntilAccepted(ctx, large) {
		return exitCouldNot
	}
	w.sleep(ctx, 7*time.Second)
	return u.judgeWait(ctx, small)
}
