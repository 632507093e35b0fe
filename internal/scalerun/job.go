package scalerun

import (
	"fmt"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// job is a job of this run, with the events that its client and its workers observed. Times are on the clock of the
// event loop's queue; 0 means that the event has not happened.
type job struct {
	emulator.Job
	uid, class, team string
	load             *LoadPlan
	spread           bool
	submittedAt      time.Duration // when the client first sent the submission
	acceptedAt       time.Duration
	answeredAt       time.Duration // when a request about the job last succeeded

	reportedState       protocol.JobState // last state that the client received
	reportedAt          time.Duration     // when the client first received reportedState
	cancelRequested     bool
	reportedCancelledAt time.Duration

	started     map[string]bool // tasks that have started at least once, by name
	starts      map[attemptStart]bool
	completed   map[string]bool
	placements  map[string]*placement // tasks that are on machines, by name
	tasksByZone map[string]int
	history     []string
}

// attemptStart identifies an attempt on a worker. Each starts once in an agent epoch at the most.
type attemptStart struct {
	worker  string
	epoch   uint64
	task    string
	attempt uint64
}

// placement is a task on a worker.
type placement struct {
	worker *emulator.Worker
	task   *emulator.Task
}

// maxHistory is how many lines of history are kept for a job.
const maxHistory = 60

// addHistory appends a line to the job's history, prefixed with the time in seconds. It drops lines beyond maxHistory.
func (j *job) addHistory(now time.Duration, format string, args ...any) {
	if len(j.history) < maxHistory {
		j.history = append(j.history, fmt.Sprintf("%.3f ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// finished reports whether the client has received a terminal state of the job.
func (j *job) finished() bool {
	return j.reportedState == protocol.JobDone || j.reportedState == protocol.JobCancelled
}
