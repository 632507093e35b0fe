package main

import (
	"context"
	"fmt"
	"time"

	"claybarrow/internal/emulator"
)

// mistakenJobs is how many jobs are submitted with a mistake.
const mistakenJobs = 3

// playMistake: jobs that fail on every machine are submitted and called off again. A job that is submitted afterwards
// finds room. Without the trouble the jobs have no mistake and end as done.
func playMistake(ctx context.Context, w *world, s *site, trouble bool) int {
	s.Types[0].Zones = []string{"a"}
	s.RunTime = 2 * time.Second
	w.verbose = true
	w.cloud.Capacity = map[emulator.Pool]int{{Type: "kerry-gpu96", Zone: "a"}: 2}
	if err := w.startControllers(s); err != nil {
		return exitCouldNot
	}
	u := w.newUser(5 * time.Second)
	standing := &submission{UID: "j-000001", Class: "standing", Team: "appeals-desk", Shape: "service", Rank: "production", Tasks: 2, Cores: 50, MemoryGB: 50, Image: "img-1", ImageGB: 1}
	if !u.submitUntilAccepted(ctx, standing) || !w.await(ctx, 20*time.Second, func() bool { return w.fleet.tasksOn(standing) == 2 }) {
		return exitCouldNot
	}
	for i := range mistakenJobs {
		mistaken := &submission{UID: fmt.Sprintf("j-00001%d", i), Class: "guest", Team: "transport-research", Shape: "batch", Rank: "idle", Tasks: 1, Cores: 4, MemoryGB: 4, Image: "img-1", ImageGB: 1, EstimateS: 20, mistaken: trouble}
		if !u.submitUntilAccepted(ctx, mistaken) {
			return exitCouldNot
		}
	}
	w.sleep(ctx, 8*time.Second)
	for i := range mistakenJobs {
		uid := fmt.Sprintf("j-00001%d", i)
		if !w.await(ctx, 10*time.Second, func() bool { return u.cancel(w.controllers[i%len(w.controllers)], uid).status == 200 }) {
			return exitCouldNot
		}
	}
	good := &submission{UID: "j-000002", Class: "standing", Team: "fines-casework", Shape: "service", Rank: "production", Tasks: 2, Cores: 4, MemoryGB: 4, Image: "img-1", ImageGB: 1}
	return u.judgeWait(ctx, good)
}

// judgeWait submits a job and judges it by the rule that no job is left waiting while there is room for it.
func (u *user) judgeWait(ctx context.Context, s *submission) int {
	w := u.world
	if !u.submitUntilAccepted(ctx, s) {
		return exitCouldNot
	}
	accepted := time.Now()
	for i := 0; time.Since(accepted) < waitLimit+time.Second && ctx.Err() == nil; i++ {
		if w.fleet.hasBegun(s) {
			w.record.printf("HELD %s begins %.1f s after it was accepted", s.UID, time.Since(accepted).Seconds())
			return w.verdict()
		}
		if roomy := w.fleet.roomFor(s); roomy < s.Tasks {
			w.record.printf("room for %d tasks of %s only: the case does not count", roomy, s.UID)
			return exitCouldNot
		}
		u.poll(w.controllers[i%len(w.controllers)], s.UID)
		w.sleep(ctx, 2*time.Second)
	}
	w.fleet.record("waiting: %s was accepted %.1f s ago, none of its tasks has begun, machines have room for %d of them, and its team uses nothing",
		s.UID, time.Since(accepted).Seconds(), w.fleet.roomFor(s))
	return w.verdict()
}

// hasBegun reports whether a task of the job has been on a machine.
func (f *fleet) hasBegun(s *submission) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun[s.UID]
}
