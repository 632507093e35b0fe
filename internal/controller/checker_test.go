package controller

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"claybarrow/internal/protocol"
)

// checker holds what the rules are checked against: what users requested and were answered, and
// what ran where. It is part of every world, so every test has it. Tests assert on nothing else:
// neither on the cluster state nor on who leads.
type checker struct {
	cancelRequested map[string]bool          // users asked to cancel these
	invalid         map[string]bool          // must be refused
	accepted        map[string]time.Duration // when the user first got this answer
	answered        map[string]time.Duration // when a poll was last answered
	waitingSince    map[string]time.Duration // since when it has waited although there is room
	turn            int
	stopCommands    map[string][]stopCommand
	starts          map[string]int // how often a task has begun to be on a machine
	// calmSince is the time at which all faults ended; 0: they have not ended.
	calmSince time.Duration
	// lateCopy returns how much later a copy of a heartbeat arrives; 0: there is no copy.
	lateCopy func() time.Duration
	// ended is called at the completion of each task.
	ended func(uid string)
}

// stopCommand is the first stop command that a task got.
type stopCommand struct {
	at    time.Duration
	grace float64
}

// The bounds that the operators set, counted from the end of all faults.
const (
	forgottenAfter = 75 * time.Second
	waitsAtMost    = 90 * time.Second
	cancelWithin   = 35 * time.Second // cancel_s of testConfig
	machineCores   = 8.0              // of the cloud's only type
)

func newChecker() checker {
	return checker{cancelRequested: map[string]bool{}, invalid: map[string]bool{}, accepted: map[string]time.Duration{},
		answered: map[string]time.Duration{}, waitingSince: map[string]time.Duration{}, stopCommands: map[string][]stopCommand{},
		starts: map[string]int{}}
}

// watch checks the rules every second and polls each accepted job every five seconds, as its user
// does.
func (w *world) watch() {
	var look func()
	look = func() {
		w.checkCancelledTasksEnded()
		w.checkForgotten()
		w.checkWaiting()
		w.at(time.Second, look)
	}
	w.at(time.Second, look)
	var step func()
	step = func() {
		w.machines.StepGangs()
		w.at(tick, step)
	}
	w.at(tick, step)
}

func (w *world) jobEnded(uid string) bool {
	return w.lastReplies[uid] == protocol.JobDone || w.lastReplies[uid] == protocol.JobCancelled
}

// startPolling begins the polling of a job when its user first gets an answer about it.
func (w *world) startPolling(uid string) {
	w.answered[uid] = w.Now()
	if _, known := w.accepted[uid]; known {
		return
	}
	w.accepted[uid] = w.Now()
	var poll func()
	poll = func() {
		if w.jobEnded(uid) {
			return
		}
		w.turn++
		w.user(w.turn%len(w.nodes), OpPoll, uid, nil)
		w.at(5*time.Second, poll)
	}
	w.at(5*time.Second, poll)
}

func (w *world) checkAnswer(op Op, uid string, status int) {
	switch {
	case w.invalid[uid] && (status == http.StatusOK || status == http.StatusCreated):
		w.violated("an invalid submission was accepted: %s", uid)
	case w.specs[uid] == nil && status == http.StatusOK:
		w.violated("invented: %s", uid)
	case w.lastReplies[uid] != "" && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity):
		w.violated("forgotten: %s answered %d to %s", uid, status, op)
	}
}

func (w *world) checkForgotten() {
	if w.calmSince == 0 {
		return
	}
	for _, uid := range slices.Sorted(maps.Keys(w.accepted)) {
		if since := max(w.answered[uid], w.calmSince); !w.jobEnded(uid) && w.Now() > since+forgottenAfter {
			w.violated("forgotten: no question about %s was answered since %v", uid, since)
			w.answered[uid] = w.Now()
		}
	}
}

// checkWaiting measures how long a job has had no task on any machine although a machine that fits
// has room and its team is below its quota.
func (w *world) checkWaiting() {
	if w.calmSince == 0 {
		clear(w.waitingSince)
		return
	}
	used, held := map[string]float64{}, map[string]int{}
	for _, worker := range w.workers() {
		for _, t := range worker.Tasks {
			if t.State != protocol.TaskExited && !worker.Deleted {
				used[w.specs[t.UID]["owner"].(string)] += w.specs[t.UID]["cores"].(float64)
				held[t.UID]++
			}
		}
	}
	for _, uid := range slices.Sorted(maps.Keys(w.accepted)) {
		spec := w.specs[uid]
		need, owner := spec["cores"].(float64), spec["owner"].(string)
		limit := map[string]float64{"red": 32, "blue": 16}[owner]
		if spec["shape"] == "group" {
			need *= float64(spec["shards"].(int)) // it waits for room for all of it
		}
		if w.jobEnded(uid) || w.cancelRequested[uid] || held[uid] > 0 || used[owner]+need > limit || !w.hasRoom(spec) {
			delete(w.waitingSince, uid)
			continue
		}
		if _, known := w.waitingSince[uid]; !known {
			w.waitingSince[uid] = w.Now()
		}
		if w.Now() > w.waitingSince[uid]+waitsAtMost {
			w.violated("waiting: %s has waited since %v though there is room", uid, w.waitingSince[uid])
			w.waitingSince[uid] = w.Now()
		}
	}
}

// hasRoom says whether a task of the job fits somewhere, or all of a gang.
func (w *world) hasRoom(spec map[string]any) bool {
	most, all, zones := 0, 0, map[string]int{}
	for _, worker := range w.workers() {
		if !worker.Up || worker.Deleted || worker.Partitioned || worker.Hung || worker.RepliesLost || worker.HeartbeatsLost || worker.Spot && !spec["borrowed"].(bool) ||
			spec["yard"] != nil && spec["yard"] != worker.Zone {
			continue
		}
		free := machineCores
		for _, t := range worker.Tasks {
			if t.State != protocol.TaskExited {
				free -= w.specs[t.UID]["cores"].(float64)
			}
		}
		n := int(free / spec["cores"].(float64))
		zones[worker.Zone] += n
		all += n
		most = max(most, zones[worker.Zone])
	}
	switch {
	case spec["shape"] != "group":
		return all > 0
	case spec["together"].(bool):
		return most >= spec["shards"].(int)
	}
	return all >= spec["shards"].(int) && !spec["apart"].(bool)
}

// settle ends all faults, waits for as long as the operators' bounds reach, and then ends what is
// left: services are cancelled, arrays have to complete.
func (w *world) settle() {
	w.t.Helper()
	w.script, w.heartbeatFault, w.lateCopy, w.ended = nil, nil, nil, nil
	w.state.Down, w.state.RefusedClients, w.cloud.Down = false, map[int]bool{}, false
	for _, worker := range w.workers() {
		worker.Partitioned, worker.RepliesLost, worker.HeartbeatsLost = false, false, false
	}
	for i, n := range w.nodes {
		if !n.alive {
			w.boot(i)
		}
	}
	w.calmSince = w.Now()
	w.run(waitsAtMost + 30*time.Second)
	for _, uid := range slices.Sorted(maps.Keys(w.accepted)) {
		if w.specs[uid]["shape"] == "service" && !w.jobEnded(uid) {
			w.cancel(uid)
		}
	}
	for _, uid := range slices.Sorted(maps.Keys(w.accepted)) {
		w.until(400*time.Second, uid+" is over", func() bool { return w.jobEnded(uid) })
	}
	// Wait until the bound of each confirmed cancellation has passed everywhere.
	w.run(cancelWithin + 5*time.Second)
	w.requireNoViolations()
}
