package main

import (
	"context"
	"time"
)

// forgottenLimit is the limit of the rule by which a job about which no question is answered counts as forgotten.
const forgottenLimit = 75 * time.Second

// playGang: one gang of many small tasks is submitted to a deployment that serves another team's replicas. Without the
// trouble the same tasks come as an array.
func playGang(ctx context.Context, w *world, s *site, trouble bool) int {
	s.RunTime = 30 * time.Second
	if err := w.startControllers(s); err != nil {
		return exitCouldNot
	}
	u := w.newUser(2 * time.Second)
	standing := &submission{UID: "j-000001", Class: "standing", Team: "appeals-desk", Shape: "service", Rank: "production", Tasks: 3, Cores: 4, MemoryGB: 8, Image: "img-1", ImageGB: 1}
	large := &submission{UID: "j-000002", Class: "large", Team: "meter-data", Shape: "group", Rank: "normal", Tasks: 3000, Cores: 0.5, MemoryGB: 1, Image: "img-1", ImageGB: 1, EstimateS: 30}
	if !trouble {
		large.Shape = "batch"
	}
	if !u.submitUntilAccepted(ctx, standing) || !w.await(ctx, 20*time.Second, func() bool { return w.fleet.tasksOn(standing) == standing.Tasks }) {
		return exitCouldNot
	}
	if !u.submitUntilAccepted(ctx, large) {
		return exitCouldNot
	}
	accepted := time.Now()
	answered := map[string]time.Time{standing.UID: accepted, large.UID: accepted}
	begun, asked, replies := false, 0, 0
	for i := 0; time.Since(accepted) < waitLimit+time.Second && ctx.Err() == nil; i++ {
		for _, uid := range []string{standing.UID, large.UID} {
			asked++
			if a := u.poll(w.controllers[i%len(w.controllers)], uid); a.status == 200 {
				replies++
				answered[uid] = time.Now()
			}
			if silence := time.Since(answered[uid]); silence > forgottenLimit {
				w.fleet.record("forgotten: no question about %s was answered for %.1f s", uid, silence.Seconds())
				answered[uid] = time.Now()
			}
		}
		on := w.fleet.tasksOn(large)
		begun = begun || on > 0
		w.record.printf("on machines: %d of %d tasks of %s, %d of %d of %s", w.fleet.tasksOn(standing), standing.Tasks, standing.UID, on, large.Tasks, large.UID)
		w.sleep(ctx, 5*time.Second)
	}
	room := w.fleet.roomFor(large)
	w.record.printf("%d of %d questions answered, room for %d tasks of %s", replies, asked, room, large.UID)
	if !begun && room >= large.Tasks {
		w.fleet.record("waiting: %s was accepted %.1f s ago, none of its tasks has begun, machines have room for %d of %d, and its team uses nothing",
			large.UID, time.Since(accepted).Seconds(), room, large.Tasks)
	}
	return w.verdict()
}
