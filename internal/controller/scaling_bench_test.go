package controller

import (
	"runtime"
	"testing"
	"time"

	"claybarrow/internal/protocol"
)

// The benchmarks of this file measure how the cost of the leader's work grows with the size of the fleet. The slopes in
// docs/CAPACITY.md come from them:
//
//	go test -run '^$' -bench 'Slope' -benchtime 20x -cpu 1 ./internal/controller

// BenchmarkSlopeFill measures a fill after twelve tasks have ended, while all jobs have waiting tasks.
func BenchmarkSlopeFill(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.leadership.placement.runFill()
		f.applyQueuedTransactions()
		var worst time.Duration
		b.ResetTimer()
		for b.Loop() {
			b.StopTimer()
			for range 12 {
				f.removeRandomAttempt()
			}
			f.applyQueuedTransactions()
			b.StartTimer()
			started := time.Now()
			f.leadership.placement.runFill()
			worst = max(worst, time.Since(started))
		}
		b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
	})
}

// BenchmarkSlopeFillBurst measures the first fill of a new leader, in which all free capacity is available.
func BenchmarkSlopeFillBurst(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		placed := 0
		for b.Loop() {
			b.StopTimer()
			f := newSlopeFleet(b, workers)
			runtime.GC()
			before := f.leadership.attemptNumbers.used
			b.StartTimer()
			f.leadership.placement.runFill()
			placed = int(f.leadership.attemptNumbers.used - before)
		}
		b.ReportMetric(float64(placed), "placed")
	})
}

func BenchmarkSlopeSnapshot(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		b.ResetTimer()
		for b.Loop() {
			f.leadership.cache.fullSnapshot()
		}
	})
}

func BenchmarkSlopeRound(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.leadership.placement.runFill()
		f.applyQueuedTransactions()
		b.ResetTimer()
		for b.Loop() {
			f.leadership.placement.runRound()
		}
	})
}

// BenchmarkSlopeRoundStops measures a round that preempts as many tasks as a round may, because all waiting jobs have a
// higher priority than the running tasks.
func BenchmarkSlopeRoundStops(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		stops := 0
		for b.Loop() {
			b.StopTimer()
			f := newSlopeFleet(b, workers)
			for _, j := range f.waiting {
				j.Spec.Priority, j.Spec.Service = protocol.PriorityProduction, true
			}
			f.leadership.placement.runFill()
			f.applyQueuedTransactions()
			runtime.GC()
			b.StartTimer()
			f.leadership.placement.runRound()
			b.StopTimer()
			stops = 0
			for _, a := range f.tasks {
				if a.StopRequested {
					stops++
				}
			}
			b.StartTimer()
		}
		b.ReportMetric(float64(stops), "stops")
	})
}

// BenchmarkSlopeConsolidation measures the search for machines to drain in a fleet that runs replicas and has room on a
// third of its machines.
func BenchmarkSlopeConsolidation(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		for _, j := range f.waiting {
			f.leadership.state.RemoveJob(j.Spec.UID)
		}
		for _, j := range f.leadership.state.Jobs {
			j.Spec.Service = true
		}
		b.ResetTimer()
		for b.Loop() {
			f.leadership.consolidator.drainAt = 0
			f.leadership.consolidator.consolidate()
			b.StopTimer()
			for _, a := range f.tasks {
				a.StopRequested, a.Machine.DrainUntil = false, 0
			}
			f.controller.outbox.effects = f.controller.outbox.effects[:0]
			b.StartTimer()
		}
	})
}

// BenchmarkSlopeSweep measures the update of the scheduler cache by a fill when no machine has changed.
func BenchmarkSlopeSweep(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.leadership.cache.fullSnapshot()
		b.ResetTimer()
		for b.Loop() {
			f.leadership.cache.syncFleet(f.leadership.cache.emptySnapshot())
		}
	})
}

func BenchmarkSlopePlan(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		f.leadership.placement.runFill()
		f.applyQueuedTransactions()
		b.ResetTimer()
		for b.Loop() {
			f.leadership.scaler.planScaling()
			b.StopTimer()
			f.controller.outbox.effects = f.controller.outbox.effects[:0]
			f.resetPool()
			b.StartTimer()
		}
	})
}

func BenchmarkSlopeTick(b *testing.B) {
	eachSlopeSize(b, func(b *testing.B, workers int) {
		f := newSlopeFleet(b, workers)
		l := f.leadership
		l.placement.fillAt, l.placement.roundAt, l.placement.planAt, l.placement.countersAt, l.placement.summaryAt, l.lease.renewLeaseAt = 1<<60, 1<<60, 1<<60, 1<<60, 1<<60, 1<<60
		b.ResetTimer()
		for b.Loop() {
			l.tick()
		}
	})
}
