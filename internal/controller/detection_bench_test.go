package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/membership"
)

// The benchmarks of this file measure the detection of failed controllers and the subsequent failover
// in the simulated world, with failure detection off and on. They produce the figures in
// docs/failure-detection.md (simulated time; the leader's lease is 1.5 s, the workers' lease 10 s):
//
//	go test -run '^$' -bench Detection -benchtime 1x ./internal/controller

const (
	measuredSeeds   = 20
	testLeaderLease = 1500 * time.Millisecond
)

// durations holds the times measured in several runs.
type durations []time.Duration

// report reports the median, the 99th percentile and the maximum; without any times it does nothing.
func (s durations) report(b *testing.B, name string) {
	b.Helper()
	if len(s) == 0 {
		return
	}
	slices.Sort(s)
	b.ReportMetric(s[len(s)/2].Seconds(), name+"-p50-s")
	b.ReportMetric(s[len(s)*99/100].Seconds(), name+"-p99-s")
	b.ReportMetric(s[len(s)-1].Seconds(), name+"-most-s")
}

// eachDetection runs a benchmark with failure detection off and on.
func eachDetection(b *testing.B, run func(b *testing.B, operator []byte)) {
	b.Helper()
	b.Run("off", func(b *testing.B) { run(b, nil) })
	b.Run("on", func(b *testing.B) { run(b, []byte(membershipOn)) })
}

// submitSteadily submits a short task twice a second.
func (w *world) submitSteadily() {
	w.runTime = func(string) time.Duration { return 2 * second }
	n := 0
	var next func()
	next = func() {
		n++
		w.submit(fmt.Sprintf("j-8%05d", n), map[string]any{"cores": 1.0})
		w.after(second/2, next)
	}
	next()
}

// BenchmarkDetectionOfDeath crashes the leader and measures the times from the crash to the first
// controller's suspicion, to the last controller's suspicion, to each controller's declaration of its
// death, to the next election and to the first task that the new leader starts.
func BenchmarkDetectionOfDeath(b *testing.B) {
	eachDetection(b, func(b *testing.B, operator []byte) {
		for b.Loop() {
			var firstSuspected, lastSuspected, declaredDead, elected, firstStarts durations
			for seed := range uint64(measuredSeeds) {
				w := newWorldWith(b, 3000+seed, operator)
				w.submitSteadily()
				w.run(70*second + time.Duration(seed)*testLeaderLease/measuredSeeds)
				lead := w.awaitLeader()
				token := w.leadership().lease.token
				var firstStart time.Duration
				checkStart := w.machines.TaskStarted
				w.machines.TaskStarted = func(worker *emulator.Worker, task string, t *emulator.Task) {
					checkStart(worker, task, t)
					if firstStart == 0 && t.Attempt>>attemptBlockBits > token {
						firstStart = w.Now()
					}
				}
				crashedAt := w.Now()
				w.crash(lead)
				w.until(10*second, "another controller leads", func() bool { return w.leader() >= 0 })
				elected = append(elected, w.Now()-crashedAt)
				w.run(20 * second)
				if firstStart > 0 {
					firstStarts = append(firstStarts, firstStart-crashedAt)
				}
				var suspected durations
				for i, n := range w.nodes {
					if at := n.observer.firstChangeTo(controllerLabel(lead), membership.Suspect, crashedAt); i != lead && at > 0 {
						suspected = append(suspected, at-crashedAt)
					}
					if at := n.observer.firstChangeTo(controllerLabel(lead), membership.Dead, crashedAt); i != lead && at > 0 {
						declaredDead = append(declaredDead, at-crashedAt)
					}
				}
				if len(suspected) > 0 {
					firstSuspected, lastSuspected = append(firstSuspected, slices.Min(suspected)), append(lastSuspected, slices.Max(suspected))
				}
			}
			firstSuspected.report(b, "suspect")
			lastSuspected.report(b, "all-suspect")
			declaredDead.report(b, "dead")
			elected.report(b, "elected")
			firstStarts.report(b, "placed")
		}
	})
}

// falseAlarms counts the effects of a fault during which no controller crashed: false suspicions and
// deaths, leader changes, moved tasks and expired worker leases.
type falseAlarms struct{ suspicions, deaths, leaderChanges, movedTasks, expiredLeases float64 }

// countFalseAlarms injects a fault for ten minutes with each of several seeds and reports the false
// alarms per hour.
func countFalseAlarms(b *testing.B, operator []byte, inject func(w *world)) {
	b.Helper()
	const faultDuration, seeds = 10 * time.Minute, 4
	var sum falseAlarms
	for seed := range uint64(seeds) {
		w := newWorldWith(b, 3100+seed, operator)
		w.startReplicas()
		began, token := w.Now(), w.leadership().lease.token
		inject(w)
		w.run(faultDuration)
		sum.leaderChanges += float64(w.leadership().lease.token - token)
		for _, n := range w.nodes {
			for _, c := range n.observer.changes {
				switch {
				case c.at < began:
				case c.To == membership.Suspect:
					sum.suspicions++
				case c.To == membership.Dead:
					sum.deaths++
				}
			}
		}
		for _, starts := range w.startCounts {
			sum.movedTasks += float64(starts - 1)
		}
		for _, worker := range w.workers() {
			if worker.Up && !worker.Deleted {
				sum.expiredLeases += float64(worker.Epoch - 1)
			}
		}
		w.requireNoViolations()
	}
	hours := (seeds * faultDuration).Hours()
	b.ReportMetric(sum.suspicions/hours, "suspicions/h")
	b.ReportMetric(sum.deaths/hours, "deaths/h")
	b.ReportMetric(sum.leaderChanges/hours, "leader-changes/h")
	b.ReportMetric(sum.movedTasks/hours, "tasks-moved/h")
	b.ReportMetric(sum.expiredLeases/hours, "leases-run-out/h")
}

// pauseInTurn pauses the controllers in turn, one every twenty seconds, for the given duration.
func pauseInTurn(d time.Duration) func(*world) {
	return func(w *world) {
		node := 0
		var next func()
		next = func() {
			w.pauseProcess(node, d)
			node = (node + 1) % 3
			w.after(20*second, next)
		}
		next()
	}
}

// BenchmarkDetectionInStalls counts false alarms while controllers pause, one every twenty seconds:
// 180 pauses an hour.
func BenchmarkDetectionInStalls(b *testing.B) {
	for _, d := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, second, 2 * second, 5 * second, 10 * second} {
		b.Run(d.String(), func(b *testing.B) {
			eachDetection(b, func(b *testing.B, operator []byte) {
				for b.Loop() {
					countFalseAlarms(b, operator, pauseInTurn(d))
				}
			})
		})
	}
}

// BenchmarkDetectionInLoss counts false alarms while a share of the messages between controllers and
// of their answers is lost.
func BenchmarkDetectionInLoss(b *testing.B) {
	for _, loss := range []float64{0.05, 0.1, 0.2} {
		b.Run(fmt.Sprintf("%.0f%%", loss*100), func(b *testing.B) {
			eachDetection(b, func(b *testing.B, operator []byte) {
				for b.Loop() {
					countFalseAlarms(b, operator, func(w *world) {
						w.callFault = func(_ int, c Call) deliveryFault {
							return deliveryFault{lost: c.Target == ToPeer && w.rng.Float64() < loss, replyLost: c.Target == ToPeer && w.rng.Float64() < loss}
						}
					})
				}
			})
		})
	}
}

// BenchmarkDetectionWhileStarved counts false alarms while one controller handles no events for seven
// tenths of each second.
func BenchmarkDetectionWhileStarved(b *testing.B) {
	eachDetection(b, func(b *testing.B, operator []byte) {
		for b.Loop() {
			countFalseAlarms(b, operator, func(w *world) {
				var next func()
				next = func() {
					w.pauseProcess(1, 700*time.Millisecond)
					w.after(second, next)
				}
				next()
			})
		}
	})
}

// BenchmarkDetectionCost measures the rate and the bytes of one controller's membership messages to
// the others without faults.
func BenchmarkDetectionCost(b *testing.B) {
	eachDetection(b, func(b *testing.B, operator []byte) {
		for b.Loop() {
			const measuredTime = 60 * second
			w := newWorldWith(b, 3200, operator)
			w.startReplicas()
			messages, bytes := 0, 0
			w.callFault = func(node int, c Call) deliveryFault {
				if node == 0 && c.Target == ToPeer && c.Path != "/forward" && c.Path != "/relay" {
					messages++
					bytes += len(c.Body)
				}
				return deliveryFault{}
			}
			w.run(measuredTime)
			b.ReportMetric(float64(messages)/measuredTime.Seconds(), "messages/s")
			b.ReportMetric(float64(bytes)/measuredTime.Seconds(), "bytes/s")
		}
	})
}
