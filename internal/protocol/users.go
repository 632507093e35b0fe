package protocol

// JobState is a job's state as its user sees it.
type JobState string

// States of jobs.
const (
	JobPending   JobState = "pending" // no task is running now
	JobRunning   JobState = "running" // at least one task is
	JobDone      JobState = "done"
	JobCancelled JobState = "aborted"
)

// JobStatus answers a user's submission, poll or cancellation.
type JobStatus struct {
	UID     string   `msgpack:"uid"`
	State   JobState `msgpack:"standing"`
	Done    int      `msgpack:"done"`    // tasks completed
	Running int      `msgpack:"running"` // tasks running now
}
