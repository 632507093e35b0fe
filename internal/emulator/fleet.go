package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Timing holds the intervals and timeouts of the workers, from the settings and from the protocol documentation.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats. Each interval varies randomly by up to the fraction Jitter
	// in either direction.
	HeartbeatInterval time.Duration
	Jitter            float64
	// MinHeartbeatPause is the minimum time between two heartbeats if the state of the worker has changed; 0: a change
	// is sent with the next regular heartbeat.
	MinHeartbeatPause time.Duration
	// HeartbeatTimeout is how long a worker waits for the reply to a heartbeat. FailoverDelay is how long it waits
	// after a failed heartbeat before it tries the next controller, and RedirectDelay how long it waits before it
	// follows a redirect to another controller.
	HeartbeatTimeout, FailoverDelay, RedirectDelay time.Duration
	// LeaseTTL is the validity of a worker's lease, counted from when the last answered heartbeat was sent. A worker
	// ends its tasks when its lease expires.
	LeaseTTL time.Duration
	// GangStartTimeout is how long a gang's task waits for the other tasks of the gang to start, and GangPeerTimeout
	// how long a task continues to run while others of its gang are missing.
	GangStartTimeout, GangPeerTimeout time.Duration
	// CheckInterval is the shortest interval of lease checks, and the interval at which the completion of a task on a
	// hung machine is retried.
	CheckInterval time.Duration
}

// Job is the part of a job's specification that workers need. Cores, Accelerators and MemoryGB are per task.
// CheckpointS is the time in seconds that a task takes to save a checkpoint (0: the job saves none).
type Job struct {
	Image        string
	ImageGB      float64
	Tasks        int
	Gang         bool
	Service      bool
	CheckpointS  float64
	Cores        float64
	Accelerators float64
	MemoryGB     float64
}

// HeartbeatSender sends a worker's heartbeat to a controller and passes the reply to answer: status 0 if no reply
// arrived in time.
type HeartbeatSender func(worker *Worker, controller int, body []byte, answer Reply)

// Observer holds callbacks for events on the workers. Nil functions are not called.
type Observer struct {
	// TaskStarted is called when a task starts to occupy its machine, TaskStopped when it no longer does.
	TaskStarted func(worker *Worker, task string, t *Task)
	TaskStopped func(worker *Worker, task string, t *Task)
	// TaskCompleted is called for each task that completes.
	TaskCompleted func(task string, t *Task)
	// WorkerTerminated is called for each worker whose machine is terminated.
	WorkerTerminated func(worker *Worker)
	// GangStopRequested is called when a gang's task receives its first stop command, with the grace period in seconds.
	GangStopRequested func(t *Task, graceS float64)
	// OnViolation is called for each message that violates the protocol.
	OnViolation func(description string)
}

// Fleet holds all workers and their common configuration.
type Fleet struct {
	queue         *EventQueue
	Timing        Timing
	Workers       map[string]*Worker
	SendHeartbeat HeartbeatSender
	Observer
	// Controllers is the number of controllers. ControllerByName returns the number of the controller with the given
	// name, or a negative number if there is none.
	Controllers      int
	ControllerByName func(name string) int
	// Jobs returns a job's specification, or nil if there is no such job.
	Jobs func(uid string) *Job
	// RunTime returns how long a task runs, FetchTime how long it waits for its image.
	RunTime   func(task string) time.Duration
	FetchTime func(worker *Worker, task string, j *Job) time.Duration
	// FailsAtStart reports whether a task fails as soon as it starts; nil: no task does.
	FailsAtStart func(worker *Worker, t *Task) bool
	// Random returns a random number from 0 to 1, for the jitter of heartbeats and for late copies.
	Random func() float64
	// RefuseUnfit makes workers refuse tasks of unknown jobs, tasks that do not fit into the machine's free resources,
	// and tasks of which the machine already has another attempt.
	RefuseUnfit bool
	// Copies are the late copies of direct requests that are injected, CopyOutcomes what became of them.
	Copies       CopySettings
	CopyOutcomes CopyOutcomes

	// gangs maps each attempt of a gang to its tasks that workers still report, and each task to its worker.
	// checkpointedTasks counts the tasks of each attempt that have ended with a checkpoint.
	gangs             map[GangAttempt]map[*Task]*Worker
	checkpointedTasks map[GangAttempt]int
	// GangStarts counts for each job how often its gang has started to run with all tasks, and GangCheckpoints how
	// often the gang was stopped with a checkpoint.
	GangStarts, GangCheckpoints map[string]int
}

// NewFleet returns a fleet without workers.
func NewFleet(queue *EventQueue, timing Timing) *Fleet {
	return &Fleet{queue: queue, Timing: timing, Workers: map[string]*Worker{}, gangs: map[GangAttempt]map[*Task]*Worker{},
		checkpointedTasks: map[GangAttempt]int{}, GangStarts: map[string]int{}, GangCheckpoints: map[string]int{}}
}

// Add adds a worker that has not booted yet.
func (f *Fleet) Add(id, addr, typ, zone string, spot bool) *Worker {
	worker := &Worker{fleet: f, ID: id, Addr: addr, Type: typ, Zone: zone, Spot: spot, Epoch: 1, Tasks: map[string]*Task{}}
	f.Workers[id] = worker
	return worker
}

// SortedWorkers returns the workers ordered by ID, so that runs are reproducible.
func (f *Fleet) SortedWorkers() []*Worker {
	var workers []*Worker
	for _, id := range slices.Sorted(maps.Keys(f.Workers)) {
		workers = append(workers, f.Workers[id])
	}
	return workers
}

// reportViolation passes a message that violates the protocol to OnViolation.
func (f *Fleet) reportViolation(format string, args ...any) {
	if f.OnViolation != nil {
		f.OnViolation(fmt.Sprintf(format, args...))
	}
}
