package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Timing holds the workers' times: those of the settings and those that the protocol's page names.
type Timing struct {
	// HeartbeatInterval is the time between two heartbeats, give or take the share Jitter of it.
	HeartbeatInterval time.Duration
	Jitter            float64
	// MinHeartbeatPause is the shortest time between two heartbeats when something has changed; 0: changes
	// wait for the next regular heartbeat.
	MinHeartbeatPause time.Duration
	// HeartbeatTimeout is how long the answer to a heartbeat is waited for. FailoverDelay is how long after a
	// failure the next controller is tried, RedirectDelay how long after a redirect the one that it names.
	HeartbeatTimeout, FailoverDelay, RedirectDelay time.Duration
	// LeaseTTL is how long after the last answered heartbeat a worker ends its tasks.
	LeaseTTL time.Duration
	// GangStartTimeout is how long a gang's task waits for the others to start, GangPeerTimeout how long one runs on
	// without them.
	GangStartTimeout, GangPeerTimeout time.Duration
	// CheckInterval is how often expired leases and the ends of tasks on hung machines are checked for.
	CheckInterval time.Duration
}

// Job is the part of a job's description that workers need: cores, accelerators and memory (GB) of each
// task, the image, and the time in seconds that a task takes to save a checkpoint (0: it saves none).
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

// HeartbeatSender sends a worker's heartbeat to a controller, and gives the answer: status 0 if there was none in
// time.
type HeartbeatSender func(worker *Worker, controller int, body []byte, answer Reply)

// Observer is called for what happens on workers. Nil functions are not called.
type Observer struct {
	// TaskStarted is called when a task starts on a machine, Leaves when it is no longer there.
	TaskStarted func(worker *Worker, task string, t *Task)
	TaskStopped func(worker *Worker, task string, t *Task)
	// TaskCompleted is called for each task that has completed.
	TaskCompleted func(task string, t *Task)
	// WorkerDied is called for each machine that has ended.
	WorkerDied func(worker *Worker)
	// GangStopRequested is called for the first command to stop a gang's task, with its grace period in seconds.
	GangStopRequested func(t *Task, graceS float64)
	// Violation is called for messages that violate the protocol.
	Violation func(what string)
}

// Fleet is all workers, with what is the same for all of them.
type Fleet struct {
	queue         *EventQueue
	Timing        Timing
	Workers       map[string]*Worker
	SendHeartbeat HeartbeatSender
	Observer
	// Controllers is the number of controllers; Label returns the number of the one with a name,
	// negative if there is none.
	Controllers      int
	ControllerByName func(name string) int
	// Jobs returns a job's description; nil: there is no such job.
	Jobs func(uid string) *Job
	// RunTime returns how long a task runs, FetchTime how long it waits for its image.
	RunTime   func(task string) time.Duration
	FetchTime func(worker *Worker, task string, j *Job) time.Duration
	// FailsAtStart says whether a task fails as soon as it starts; nil: none does.
	FailsAtStart func(worker *Worker, t *Task) bool
	// Random returns numbers from 0 to 1, for the jitter of heartbeats.
	Random func() float64
	// RefuseUnfit has workers refuse tasks that they have no room for or run already.
	RefuseUnfit bool

	// gangs are the tasks of each attempt that workers know, with their workers. checkpointedTasks
	// counts those that have ended with a checkpoint.
	gangs             map[GangAttempt]map[*Task]*Worker
	checkpointedTasks map[GangAttempt]int
	// GangStarts counts by job how often a gang has started to run with all its tasks, and Saves how often
	// one was stopped with a checkpoint.
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

// Sorted returns the workers in the order of their names, so that runs are reproducible.
func (f *Fleet) Sorted() []*Worker {
	var out []*Worker
	for _, id := range slices.Sorted(maps.Keys(f.Workers)) {
		out = append(out, f.Workers[id])
	}
	return out
}

// reportViolation tells of a message that violates the protocol.
func (f *Fleet) reportViolation(format string, args ...any) {
	if f.Violation != nil {
		f.Violation(fmt.Sprintf(format, args...))
	}
}
