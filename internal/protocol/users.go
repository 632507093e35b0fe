package protocol

// JobState is the state of a job as reported to users.
type JobState string

// Job states.
const (
	JobPending   JobState = "pending" // no task is running
	JobRunning   JobState = "running" // at least one task is running
	JobDone      JobState = "done"
	JobCancelled JobState = "aborted"
)

// JobStatus answers a user's submission, poll or cancellation.
type JobStatus struct {
	UID     string   `msgpack:"uid"`
	State   JobState `msgpack:"standing"`
	Done    int      `msgpack:"done"`    // completed tasks
	Running int      `msgpack:"running"` // running tasks
}
