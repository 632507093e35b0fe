package scalerun

import (
	"fmt"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// job is a job of this run, with what its client and its workers saw of it. Times are those of the
// event loop's queue; 0: not yet.
type job struct {
	emulator.Job
	uid, class, team string
	load             *LoadPlan
	spread           bool
	submittedAt      time.Duration // first attempt
	acceptedAt       time.Duration
	answeredAt       time.Duration // when a question about it was last answered

	reportedState       protocol.JobState // that the client was last told
	reportedAt          time.Duration     // when it was first told so
	cancelRequested     bool
	reportedCancelledAt time.Duration

	started     map[string]bool // tasks that have started at least once
	completed   map[string]bool
	placements  map[string]*placement // of the tasks that are on machines
	tasksByZone map[string]int
	history     []string
}

// placement is where a task runs.
type placement struct {
	worker *emulator.Worker
	task   *emulator.Task
}

// maxHistory bounds the lines of history that are kept of one job.
const maxHistory = 60

// note adds a line to the job's history, with its time in seconds.
func (j *job) note(now time.Duration, format string, args ...any) {
	if len(j.history) < maxHistory {
		j.history = append(j.history, fmt.Sprintf("%.3f ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// finished says whether the client has been told that the job has ended.
func (j *job) finished() bool {
	return j.reportedState == protocol.JobDone || j.reportedState == protocol.JobCancelled
}
