package clusterstate

import (
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// Attempt is one start of a task, which may be on its machine until it is proved gone.
type Attempt struct {
	Job   *Job
	Index int
	// Number is unique to the attempt, but for a gang's tasks, which share one. Later numbers are
	// larger, also those of later leaders.
	Number  uint64
	Machine *Machine

	// Durable: the machine's record with the attempt is stored, so the run command may be sent.
	Durable bool
	// Loaded: the attempt was read from the records of an earlier leader, whose commands may still be
	// on their way until the agent has acknowledged this leader's token.
	Loaded bool

	// Sent: a run command was sent to the agent in Epoch.
	Sent bool
	// Acknowledged: the agent is known to have received it.
	Acknowledged bool
	// RunLost: a direct run command had no answer, so a copy of it may still be carried out while the
	// epoch lasts.
	RunLost bool
	// Epoch is the agent's epoch in which the run command was sent.
	Epoch uint64
	// RunSequence is the sequence number of the heartbeat whose answer carried a run command.
	RunSequence uint64
	// RunsInFlight counts the direct run commands that have no answer yet.
	RunsInFlight int

	// State is the newest one that the agent reported; empty before its first report. Change it with
	// SetState.
	State protocol.TaskState
	// AddedAt is when the attempt was added, by the leader's clock.
	AddedAt time.Duration

	// StopRequested: the attempt is to be stopped.
	StopRequested bool
	// Preempted: it is stopped for work of a higher priority.
	Preempted bool
	// ExitCause is the cause of its end as the agent reported it.
	ExitCause protocol.ExitCause
	// StopSentAt is when the last stop command was sent, by the leader's clock.
	StopSentAt time.Duration
	// GraceSeconds is the time in seconds that the task has to save a checkpoint before it is killed.
	GraceSeconds float64
}

// AttemptKey identifies an attempt on a machine.
type AttemptKey struct {
	// Task is the task's name as TaskName makes it.
	Task    string
	Attempt uint64
}

// TaskName is the name of a task in messages to and from agents: the job's UID, a slash and the index.
func TaskName(uid string, index int) string { return uid + "/" + strconv.Itoa(index) }

// ParseTaskName reads a name that TaskName has made.
func ParseTaskName(name string) (uid string, index int, ok bool) {
	uid, digits, found := strings.Cut(name, "/")
	index, err := strconv.Atoi(digits)
	return uid, index, found && err == nil && index >= 0
}

// Key identifies the attempt on its machine.
func (a *Attempt) Key() AttemptKey { return AttemptKey{TaskName(a.Job.Spec.UID, a.Index), a.Number} }

// mayNeedImage reports whether the agent may still have to fetch the image.
func (a *Attempt) mayNeedImage() bool { return a.State == "" || a.State == protocol.TaskFetchingImage }

// SetState records the state that the agent reported, and keeps the counts of the job, the machine
// and the gang in step with it.
func (a *Attempt) SetState(state protocol.TaskState) {
	if a.State == protocol.TaskRunning {
		a.Job.RunningTasks--
	}
	if state == protocol.TaskRunning {
		a.Job.RunningTasks++
	}
	if a.mayNeedImage() {
		a.Machine.startingAttempts--
	}
	a.Machine.revision++
	a.State = state
	if a.mayNeedImage() {
		a.Machine.startingAttempts++
	}
	if a.Job.Gang != nil {
		a.Job.Gang.applyTaskState(a)
	}
}

// ExitedTask is an exited attempt that the agent still reports. It is told to forget the attempt by a
// clear command, once that is safe.
type ExitedTask struct {
	// Attempt is nil if the cluster state does not have it.
	Attempt *Attempt
	// Clearable: all that follows from the exit is stored, so the clear command may be sent.
	Clearable bool
	// ClearSentAt is when the last clear command was sent, by the leader's clock.
	ClearSentAt time.Duration
}
