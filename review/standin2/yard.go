package main

import (
	"context"
	"time"

	"claybarrow/internal/protocol"
)

// playYard: an array that needs no accelerators may run in one zone only, where only a type with accelerators is
// offered. Another type without accelerators is offered in other zones. Without the trouble it may run in any zone.
func playYard(ctx context.Context, w *world, s *site, trouble bool) int {
	s.Types = []protocol.MachineType{
		{Name: "tisza-mid", Cores: 16, MemoryGB: 64, CacheGB: 30, FetchGBPerS: 0.6, Price: 0.86, SpotPrice: 0.35, BootS: 2, Zones: []string{"b", "c"}},
		{Name: "balaton-gpu32", Cores: 32, Accelerators: 4, MemoryGB: 192, CacheGB: 600, FetchGBPerS: 2.3, Price: 14.18, SpotPrice: 5.9, BootS: 2, Zones: []string{"a", "b"}},
	}
	w.cloud.Types = s.Types
	w.verbose = true
	if err := w.startControllers(s); err != nil {
		return exitCouldNot
	}
	u := w.newUser(5 * time.Second)
	job := &submission{UID: "j-000001", Class: "arrears-scoring", Team: "fines-casework", Shape: "batch", Rank: "high", Tasks: 2, Cores: 11, MemoryGB: 20, Image: "img-1", ImageGB: 1, EstimateS: 20}
	if trouble {
		zone := "a"
		job.Zone = &zone
	}
	if !u.submitUntilAccepted(ctx, job) {
		return exitCouldNot
	}
	accepted := time.Now()
	for i := 0; time.Since(accepted) < waitLimit+time.Second && ctx.Err() == nil; i++ {
		if w.fleet.hasBegun(job) {
			w.record.printf("HELD %s begins %.1f s after it was accepted", job.UID, time.Since(accepted).Seconds())
			return w.verdict()
		}
		u.poll(w.controllers[i%len(w.controllers)], job.UID)
		w.sleep(ctx, 2*time.Second)
	}
	rented := w.fleet.rentedIn("a")
	w.fleet.record("not run: %s was accepted %.1f s ago, the cloud has machines for it that boot in 2 s, %d were rented in its zone, and none of its tasks has begun",
		job.UID, time.Since(accepted).Seconds(), rented)
	return w.verdict()
}

// rentedIn counts the machines that were rented in a zone.
func (f *fleet) rentedIn(zone string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, w := range f.workers {
		if w.zone == zone {
			count++
		}
	}
	return count
}
