package protocol

// TaskState is the state of a task as reported by its worker.
type TaskState string

// States of tasks on workers.
const (
	TaskFetchingImage    TaskState = "pulling"
	TaskWaitingForGang   TaskState = "gathering" // waits until the gang's other tasks of the same attempt are ready
	TaskRunning          TaskState = "running"
	TaskSavingCheckpoint TaskState = "saving" // writes its last checkpoint before it stops
	TaskExited           TaskState = "exited" // stays in heartbeats until a VerbClear
)

// ExitCause is why a task ended, as reported by its worker.
type ExitCause string

// Exit causes.
const (
	CauseDone                  ExitCause = "done"
	CauseStopped               ExitCause = "halted"  // by VerbStop
	CauseError                 ExitCause = "error"   // the task failed
	CauseInsufficientResources ExitCause = "no_room" // the machine has too little free
	CauseBusy                  ExitCause = "busy"    // another attempt of the task is on the machine
	// CausePeersLost means that the other tasks of the gang were lost.
	CausePeersLost ExitCause = "mates_gone"
	// CauseIncomplete means that the gang was not complete in time.
	CauseIncomplete ExitCause = "incomplete"
)

// Command verbs.
const (
	VerbRun   = "run"
	VerbStop  = "halt"  // with a grace period in which the task may save a checkpoint
	VerbClear = "clear" // drops an exited task from the heartbeats
)

// TaskStatus is the status of one task in a worker's heartbeat.
type TaskStatus struct {
	Task            string    `msgpack:"shard"`
	Attempt         uint64    `msgpack:"try"`
	State           TaskState `msgpack:"standing"`
	Cause           ExitCause `msgpack:"cause"` // set once the task has exited
	CheckpointSaved bool      `msgpack:"stored"`
}

// WorkerHeartbeat is a worker's periodic report of its own status and the status of all its tasks.
type WorkerHeartbeat struct {
	Machine string `msgpack:"host"`
	Addr    string `msgpack:"addr"`
	Type    string `msgpack:"flavour"`
	Zone    string `msgpack:"yard"`
	Spot    bool   `msgpack:"borrowed"`
	// Epoch increases when the worker's agent starts and whenever its lease expires; Sequence increases with
	// each heartbeat of an epoch.
	Epoch    uint64 `msgpack:"shift"`
	Sequence uint64 `msgpack:"tally"`
	// Token is the highest fencing token that the worker has seen.
	Token uint64 `msgpack:"mandate"`
	// SpotNoticeS is the time until the cloud reclaims a spot machine, in seconds; nil: the cloud has given
	// no notice.
	SpotNoticeS *float64     `msgpack:"warningS"`
	Tasks       []TaskStatus `msgpack:"shards"`
}

// Command is one command to a worker.
type Command struct {
	Verb    string `msgpack:"verb"`
	Task    string `msgpack:"shard"`
	Attempt uint64 `msgpack:"try"`
	// GraceS is the grace period in which a stopped task may save a checkpoint, in seconds.
	GraceS float64 `msgpack:"leewayS"`
}

// WorkerHeartbeatReply answers a worker's heartbeat, which renews the worker's lease.
type WorkerHeartbeatReply struct {
	Token    uint64    `msgpack:"mandate"`
	Commands []Command `msgpack:"orders"`
}

// CommandRequest sends commands to a worker directly, without waiting for its next heartbeat. The worker rejects
// the request if it has seen a higher fencing token or is in another epoch.
type CommandRequest struct {
	Token    uint64    `msgpack:"mandate"`
	Epoch    uint64    `msgpack:"shift"`
	Commands []Command `msgpack:"orders"`
}

// Redirect is the body of a 421 response: the worker must send its heartbeats to another controller.
type Redirect struct {
	// Leader is the label of that controller; empty: unknown.
	Leader string `msgpack:"foreman,omitempty"`
}
