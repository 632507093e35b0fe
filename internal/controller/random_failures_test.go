package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"claybarrow/internal/emulator"
)

// TestCompoundFailuresAtRandom injects random combinations of two or three faults, one combination per fixed seed.
func TestCompoundFailuresAtRandom(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newWorld(t, 5000+seed).playRandomFailures() })
	}
}

// TestCompoundFailuresAtRandomWithLateCopies does the same while direct calls that were executed and answered arrive again.
func TestCompoundFailuresAtRandomWithLateCopies(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, 5100+seed)
			w.machines.Copies = emulator.CopySettings{Share: w.rng.Float64(), MaxCopies: 1 + w.rng.IntN(4),
				MinDelay: w.randomMilliseconds(100, 1000), MaxDelay: w.randomMilliseconds(1000, 120_000)}
			w.playRandomFailures()
			if w.machines.CopyOutcomes == (emulator.CopyOutcomes{}) {
				t.Error("no copy has arrived: the test checks nothing")
			}
		})
	}
}

// TestCompoundFailuresAtRandomWithCopiesOfCalls does the same while calls to the state service, the cloud and the other controllers
// arrive again: transactions, grants, renewals and ends of leases, launches, deletions, relays, heartbeats and forwarded ones.
func TestCompoundFailuresAtRandomWithCopiesOfCalls(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, 5200+seed)
			share, longest := w.rng.Float64(), 1000+w.rng.IntN(60_000)
			w.copyDelay = func(c Call) time.Duration {
				if c.Method == http.MethodGet || w.rng.Float64() >= share {
					return 0
				}
				return w.randomMilliseconds(1, longest)
			}
			w.playRandomFailures()
		})
	}
}

// playRandomFailures plays jobs of all kinds under a random combination of two or three faults.
func (w *world) playRandomFailures() {
	faults := w.injectNetworkFaults()
	w.initialJobs()
	for range 2 + w.rng.IntN(2) {
		w.injectRandomFault(faults, w.randomMilliseconds(8000, 60_000))
		w.run(w.randomMilliseconds(0, 6000))
	}
	w.cancelJobs([]string{"j-s1", "j-s2", "j-b1", "j-b22"}[w.rng.IntN(4)])
	w.submit("j-n1", map[string]any{"shards": 2, "cores": 2.0})
	w.submit("j-n2", map[string]any{"shape": "group", "shards": 3, "cores": 1.0, "apart": w.rng.IntN(2) == 0})
	w.run(w.randomMilliseconds(5000, 60_000))
	w.settle()
}

// injectRandomFault starts a random fault that ends after the given duration.
func (w *world) injectRandomFault(faults *networkFaults, lasts time.Duration) {
	node := w.leaderOrFirst()
	if w.rng.IntN(3) == 0 {
		node = w.rng.IntN(3)
	}
	switch w.rng.IntN(13) {
	case 0:
		w.state.InjectOutage(lasts)
	case 1:
		w.state.RefusedClients[node] = true
		w.after(lasts, func() { w.state.RefusedClients[node] = false })
	case 2:
		faults.isolated[node] = true
		w.after(lasts, func() { faults.isolated[node] = false })
	case 3:
		w.restart(node, min(lasts, w.randomMilliseconds(50, 12_000)))
	case 4:
		for i := range 3 {
			w.restart(i, w.randomMilliseconds(50, 12_000))
		}
	case 5:
		for _, worker := range w.randomMachines(0.4) {
			worker.RepliesLost = true
			w.after(lasts, func() { worker.RepliesLost = false })
		}
	case 6:
		for _, worker := range w.randomMachines(0.4) {
			worker.HeartbeatsLost = true
			w.after(lasts, func() { worker.HeartbeatsLost = false })
		}
	case 7:
		for _, worker := range w.randomMachines(0.4) {
			worker.Partitioned = true
			w.after(lasts, func() { worker.Partitioned = false })
		}
	case 8:
		for _, worker := range w.randomMachines(0.4) {
			worker.InjectHang(min(lasts, w.randomMilliseconds(1000, 15_000)))
		}
	case 9:
		faults.lateTransactions = 0.3
		w.after(lasts, func() { faults.lateTransactions = 0 })
	case 10:
		w.duplicateDelay = func() time.Duration { return w.randomMilliseconds(2000, 40_000) }
	case 11:
		faults.delayedCommands, faults.lostReplies = 0.3, 0.2
		w.after(lasts, func() { faults.delayedCommands, faults.lostReplies = 0, 0 })
	case 12:
		w.onTaskCompleted = func(uid string) { w.after(w.randomMilliseconds(0, 500), func() { w.cancel(uid) }) }
	}
}
