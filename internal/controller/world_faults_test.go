package controller

import (
	"time"

	"claybarrow/internal/emulator"
)

// initialJobs submits jobs of all kinds: services of both teams, with and without anti-affinity,
// arrays with and without checkpoints, and gangs. It waits until all services and the first array run.
func (w *world) initialJobs() {
	w.t.Helper()
	w.runTime = func(task string) time.Duration { return time.Duration(20+len(task)*13%60) * second }
	w.submit("j-s1", map[string]any{"shape": "service", "shards": 2, "apart": true, "cores": 4.0})
	w.submit("j-s2", map[string]any{"shape": "service", "shards": 2, "cores": 2.0, "owner": "blue", "rank": "high"})
	w.submit("j-s3", map[string]any{"shape": "service", "shards": 1, "cores": 4.0, "yard": "b"})
	w.submit("j-b1", map[string]any{"shards": 4, "cores": 2.0, "saveEveryS": 10.0, "saveTakesS": 4.0, "borrowed": true})
	w.submit("j-b22", map[string]any{"shards": 3, "cores": 2.0, "owner": "blue", "together": true})
	w.submit("j-g1", map[string]any{"shape": "group", "shards": 3, "cores": 1.0, "together": true, "saveEveryS": 5.0, "saveTakesS": 2.0})
	w.submit("j-g2", map[string]any{"shape": "group", "shards": 2, "cores": 1.0, "owner": "blue", "rank": "high"})
	w.submit("j-b333", map[string]any{"shards": 2, "cores": 1.0, "yard": "a"})
	w.until(90*second, "all services and tasks of j-b1 run", func() bool {
		return w.running("j-s1") == 2 && w.running("j-s2") == 2 && w.running("j-s3") == 1 && w.running("j-b1") > 0
	})
}

// cancelJobs cancels several jobs at the same time; each request is repeated until it succeeds.
func (w *world) cancelJobs(uids ...string) {
	for _, uid := range uids {
		w.cancel(uid)
	}
}

// randomMachines returns a random share of the machines that are up.
func (w *world) randomMachines(share float64) []*emulator.Worker {
	var machines []*emulator.Worker
	for _, worker := range w.workers() {
		if worker.Up && !worker.Deleted && w.rng.Float64() < share {
			machines = append(machines, worker)
		}
	}
	return machines
}

// restart crashes a controller and boots it again after a delay.
func (w *world) restart(i int, after time.Duration) {
	w.crash(i)
	w.after(after, func() {
		if !w.nodes[i].alive {
			w.boot(i)
		}
	})
}

// leaderOrFirst returns the index of the leader or, without a leader, of the first controller.
func (w *world) leaderOrFirst() int { return max(0, w.leader()) }

// randomMilliseconds returns a random whole number of milliseconds within the bounds.
func (w *world) randomMilliseconds(least, most int) time.Duration {
	return time.Duration(least+w.rng.IntN(most-least+1)) * time.Millisecond
}
