package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// The job of limitsFollow: so many tasks that their ends take several keys, and one task that takes long.
const (
	limitsShards = 25_600
	// limitsDone is how many tasks have ended when the settings change.
	limitsDone = 25_300
	slowShard  = 6_184
)

// limitsFollow: the state service has lowered its limits, as state.next said. The controllers are then restarted one
// after the other with settings that state the limits in force. Without the disruption they are restarted with the
// settings as they were.
func limitsFollow(w *world, trouble bool) ([]string, error) {
	w.cloud.bootTime = time.Second
	for _, yard := range w.site.zones {
		w.cloud.capacity[poolKey("tisza-small", yard)] = 12
	}
	address, err := w.startAll()
	if err != nil {
		return nil, err
	}
	u := newUser("pest-credit", address, w.record)
	j := &job{uid: "j-000412", cores: 0.1, fetch: 20 * time.Millisecond, run: 50 * time.Millisecond, slowShard: slowShard, slowRun: 10 * time.Minute}
	w.jobs.put(j)
	if !u.submit(submission(j, "batch", "pest-credit", "arrears-scoring", limitsShards, map[string]any{"ramGb": 0.05})) {
		return nil, errors.New("the job was not accepted")
	}
	if !await(70*time.Second, func() bool { return w.watch.completedTasks() >= limitsDone }) {
		return nil, fmt.Errorf("only %d tasks have ended", w.watch.completedTasks())
	}
	w.record.printf("test: %d tasks have ended", w.watch.completedTasks())
	w.state.setLimits(*w.site.nextState)
	if trouble {
		w.site.state, w.site.nextState = *w.site.nextState, nil
		w.record.printf("test: the settings state the limits in force")
		if err := w.writeSettings(); err != nil {
			return nil, err
		}
	}
	if err := w.restartAll(time.Second); err != nil {
		return nil, err
	}
	var broken []string
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end) && len(broken) == 0; time.Sleep(time.Second) {
		if a := u.poll(j.uid); a.status == http.StatusOK && a.standing == "done" && w.watch.completedTasks() < limitsShards {
			broken = append(broken, fmt.Sprintf("not_done: %s is called done after %d of its %d tasks have completed; %s/%d has not",
				j.uid, w.watch.completedTasks(), limitsShards, j.uid, slowShard))
		}
	}
	return broken, nil
}
