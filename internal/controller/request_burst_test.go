package controller

import (
	"fmt"
	"testing"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// TestRandomRequestsUnderFaults sends random submissions and cancellations under random faults, one sequence per fixed
// seed.
func TestRandomRequestsUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkRandomRequests(t, 100+seed) })
	}
}

func checkRandomRequests(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	var jobs []string
	cancelled := map[string]bool{}
	lossyNetwork := false
	w.callFault = func(_ int, _ Call) deliveryFault {
		if !lossyNetwork {
			return deliveryFault{}
		}
		f := deliveryFault{lost: w.rng.IntN(12) == 0, replyLost: w.rng.IntN(12) == 0}
		if w.rng.IntN(10) == 0 {
			f.delay = time.Duration(w.rng.IntN(40_000)) * time.Millisecond
		}
		return f
	}
	w.heartbeatFault = func(*emulator.Worker, int) deliveryFault {
		return deliveryFault{lost: lossyNetwork && w.rng.IntN(8) == 0, replyLost: lossyNetwork && w.rng.IntN(8) == 0}
	}
	w.runTime = func(task string) time.Duration { return time.Duration(5+len(task)*7%40) * second }
	for step := range 50 {
		switch w.rng.IntN(12) {
		case 0, 1, 2:
			uid := fmt.Sprintf("j-%d", step)
			jobs = append(jobs, uid)
			shape := []string{"batch", "service"}[w.rng.IntN(2)]
			w.submit(uid, map[string]any{"shards": 1 + w.rng.IntN(4), "cores": float64(1 + w.rng.IntN(4)), "shape": shape,
				"owner": []string{"red", "blue"}[w.rng.IntN(2)], "apart": w.rng.IntN(2) == 0, "rank": []string{"idle", "normal", "high"}[w.rng.IntN(3)],
				"borrowed": w.rng.IntN(2) == 0})
		case 3:
			if len(jobs) > 0 {
				uid := jobs[w.rng.IntN(len(jobs))]
				cancelled[uid] = true
				w.cancel(uid)
			}
		case 4, 5:
			i := w.rng.IntN(3)
			w.crash(i)
			w.after(time.Duration(50+w.rng.IntN(6000))*time.Millisecond, func() {
				if !w.nodes[i].alive {
					w.boot(i)
				}
			})
		case 6:
			w.state.InjectOutage(time.Duration(1+w.rng.IntN(20)) * second)
		case 7:
			for _, worker := range w.workers() {
				if worker.Up && w.rng.IntN(3) == 0 {
					worker.Partitioned = true
					w.after(time.Duration(w.rng.IntN(30))*second, func() { worker.Partitioned = false })
				}
			}
		case 8:
			lossyNetwork = !lossyNetwork
		case 9:
			for _, worker := range w.workers() {
				if len(w.sentHeartbeats[worker.ID]) > 0 {
					body := w.sentHeartbeats[worker.ID][w.rng.IntN(len(w.sentHeartbeats[worker.ID]))]
					w.sendRequest(w.rng.IntN(3), Request{Op: OpWorkerHeartbeat, Body: body}, func(Reply) {})
				}
			}
		case 10:
			i := w.rng.IntN(3)
			w.state.RefusedClients[i] = true
			w.after(time.Duration(w.rng.IntN(25))*second, func() { w.state.RefusedClients[i] = false })
		case 11:
			for _, worker := range w.workers() {
				if worker.Up && w.rng.IntN(4) == 0 {
					worker.Terminate()
				}
			}
		}
		for range 5 {
			w.run(second)
			w.checkCancelledTasksEnded()
		}
	}
	lossyNetwork = false
	w.state.RefusedClients = map[int]bool{}
	for i := range 3 {
		if !w.nodes[i].alive {
			w.boot(i)
		}
	}
	w.run(40 * second)
	// Services may use up a team's quota, so they are cancelled before the remaining jobs are awaited.
	for _, uid := range jobs {
		if w.specs[uid]["shape"] == "service" {
			w.cancel(uid)
		}
	}
	for _, uid := range jobs {
		if !cancelled[uid] && w.specs[uid]["shape"] == "batch" {
			w.awaitStatus(400*second, uid, protocol.JobDone)
		}
	}
	w.requireNoViolations()
}
