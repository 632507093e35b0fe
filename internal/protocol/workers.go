package protocol

// TaskState is a task's state as its worker reports it.
type TaskState string

// States of tasks on workers.
const (
	TaskFetchingImage    TaskState = "pulling"
	TaskWaitingForGang   TaskState = "gathering" // until the gang's other tasks of the same attempt are there
	TaskRunning          TaskState = "running"
	TaskSavingCheckpoint TaskState = "saving" // writes its last checkpoint before it stops
	TaskExited           TaskState = "exited" // stays in the reports until a VerbClear
)

// ExitCause is why a task ended, as its worker reports it.
type ExitCause string

// Causes of a task's end.
const (
	CauseDone                  ExitCause = "done"
	CauseStopped               ExitCause = "halted"  // by VerbStop
	CauseError                 ExitCause = "error"   // the task failed
	CauseInsufficientResources ExitCause = "no_room" // the machine has too little free
	CauseBusy                  ExitCause = "busy"    // another attempt of the task is on the machine
	// CausePeersLost is that of a gang's task whose other tasks are gone.
	CausePeersLost ExitCause = "mates_gone"
	// CauseIncomplete is that of a gang's task whose gang was not complete in time.
	CauseIncomplete ExitCause = "incomplete"
)

// Verbs of commands.
const (
	VerbRun   = "run"
	VerbStop  = "halt"  // with a grace period in which the task may save a checkpoint
	VerbClear = "clear" // forget a task that has exited
)

// TaskStatus is one task in a worker's heartbeat.
type TaskStatus struct {
	Task            string    `msgpack:"shard"`
	Attempt         uint64    `msgpack:"try"`
	State           TaskState `msgpack:"standing"`
	Cause           ExitCause `msgpack:"cause"` // set once the task has exited
	CheckpointSaved bool      `msgpack:"stored"`
}

// WorkerHeartbeat is a worker's periodic report of itself and all its tasks.
type WorkerHeartbeat struct {
	Machine string `msgpack:"host"`
	Addr    string `msgpack:"addr"`
	Type    string `msgpack:"flavour"`
	Zone    string `msgpack:"yard"`
	Spot    bool   `msgpack:"borrowed"`
	// Epoch grows whenever the worker's agent starts anew; Sequence grows with each report of an
	// epoch.
	Epoch    uint64 `msgpack:"shift"`
	Sequence uint64 `msgpack:"tally"`
	// Token is the highest fencing token that the worker has seen.
	Token uint64 `msgpack:"mandate"`
	// SpotNoticeS is how many seconds remain until the cloud takes a spot machine back; nil: it
	// has not given notice.
	SpotNoticeS *float64     `msgpack:"warningS"`
	Tasks       []TaskStatus `msgpack:"shards"`
}

// Command is one command to a worker.
type Command struct {
	Verb    string `msgpack:"verb"`
	Task    string `msgpack:"shard"`
	Attempt uint64 `msgpack:"try"`
	// GraceS is how many seconds a task that is stopped has for its checkpoint.
	GraceS float64 `msgpack:"leewayS"`
}

// WorkerHeartbeatReply answers a worker's heartbeat, which renews the worker's lease.
type WorkerHeartbeatReply struct {
	Token    uint64    `msgpack:"mandate"`
	Commands []Command `msgpack:"orders"`
}

// CommandRequest is a request to a worker with commands that do not wait for its next heartbeat. The
// worker refuses it if it has seen a higher fencing token, or is in another epoch.
type CommandRequest struct {
	Token    uint64    `msgpack:"mandate"`
	Epoch    uint64    `msgpack:"shift"`
	Commands []Command `msgpack:"orders"`
}

// Redirect is the body of a 421 answer: the worker shall report to another controller.
type Redirect struct {
	// Leader is the label of the controller to report to; empty: none is known.
	Leader string `msgpack:"foreman,omitempty"`
}
