package main

import (
	"context"
	"time"

	"claybarrow/internal/emulator"
)

// playFetch: a gang's image is on one of its machines already, and takes longer than gang_wait_s to fetch on the other.
// Without the trouble the image is smaller.
func playFetch(ctx context.Context, w *world, s *site, trouble bool) int {
	s.Boot = time.Second
	s.Types[0].Zones, s.Types[0].FetchGBPerS, s.Types[0].BootS = []string{"a"}, 1.5, 1
	// "give or take a third": the first machine fetches a third faster, the others a third slower.
	s.FetchFactor = func(machine string) float64 {
		if machine == "i-000001" {
			return 4.0 / 3
		}
		return 2.0 / 3
	}
	gb := 40.0
	if !trouble {
		gb = 15
	}
	w.verbose = true
	w.cloud.Capacity = map[emulator.Pool]int{{Type: "kerry-gpu96", Zone: "a"}: 2}
	if err := w.startControllers(s); err != nil {
		return exitCouldNot
	}
	u := w.newUser(5 * time.Second)
	standing := &submission{UID: "j-000001", Class: "standing", Team: "fines-casework", Shape: "service", Rank: "production", Tasks: 1, Cores: 8, MemoryGB: 16, Image: "img-1", ImageGB: gb}
	gang := &submission{UID: "j-000002", Class: "gang", Team: "fines-casework", Shape: "group", Rank: "normal", Tasks: 2, Cores: 60, MemoryGB: 100, Image: "img-1", ImageGB: gb, EstimateS: 20}
	if !u.submitUntilAccepted(ctx, standing) || !w.await(ctx, 30*time.Second, func() bool { return w.fleet.tasksOn(standing) == 1 }) {
		return exitCouldNot
	}
	if !u.submitUntilAccepted(ctx, gang) {
		return exitCouldNot
	}
	accepted := time.Now()
	for i := 0; time.Since(accepted) < waitLimit+time.Second && ctx.Err() == nil; i++ {
		a := u.poll(w.controllers[i%len(w.controllers)], gang.UID)
		if w.fleet.gangRuns(gang) {
			w.record.printf("HELD %s runs %.1f s after it was accepted, users hear %s", gang.UID, time.Since(accepted).Seconds(), a.job.State)
			return w.verdict()
		}
		w.sleep(ctx, 2*time.Second)
	}
	w.fleet.record("waiting: %s was accepted %.1f s ago and has not run yet; its two machines have had room for it since the second was up, and its team is under its limit",
		gang.UID, time.Since(accepted).Seconds())
	return w.verdict()
}

// gangRuns reports whether the gang has run with all its tasks.
func (f *fleet) gangRuns(s *submission) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[s.UID]
}
