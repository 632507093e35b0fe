package clusterstate

import (
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// Attempt is one start of a task on a machine. The task counts as possibly present on the machine until the
// attempt is known to have ended.
type Attempt struct {
	Job   *Job
	Index int
	// Number is unique to the attempt, except that the tasks of a gang share one number. Numbers increase
	// over time, across leaders too.
	Number  uint64
	Machine *Machine

	// Durable is set once the machine's record with the attempt is stored. Only then may the run command be
	// sent.
	Durable bool
	// Loaded is set if the attempt was read from the records of an earlier leader, or was reported by the agent
	// without a record. Commands of an earlier leader may still be in flight until the agent has acknowledged
	// this leader's token.
	Loaded bool

	// Sent is set once a run command may have been sent to the agent: this leader sent it in Epoch, an earlier
	// leader may have sent it, or the agent reports the task.
	Sent bool
	// Acknowledged is set once the agent is known to have received the run command.
	Acknowledged bool
	// RunUnanswered is set if a direct run command was not answered. A copy of the command may still be executed
	// until the epoch ends.
	RunUnanswered bool
	// Epoch is the agent's epoch in which the run command was sent.
	Epoch uint64
	// RunSequence is the sequence number of the heartbeat whose answer carried a run command.
	RunSequence uint64
	// RunsInFlight counts the direct run commands that are not answered yet.
	RunsInFlight int

	// ReportedEpoch and ReportedSequence identify the newest message in which the agent has reported the attempt as not
	// exited; 0: none to this leader.
	ReportedEpoch, ReportedSequence uint64

	// State is the state that the agent reported last; empty before the first report. Change it with
	// SetState.
	State protocol.TaskState
	// AddedAt is the time at which the attempt was added, on the leader's clock.
	AddedAt time.Duration
	// RunningSince is the time at which the agent first reported the task as running to this leader; 0 before.
	RunningSince time.Duration

	// StopRequested is set once the leader has decided to stop the attempt.
	StopRequested bool
	// Preempted is set if the attempt is stopped in favour of work of a higher priority.
	Preempted bool
	// ExitCause is the cause of the attempt's exit as the agent reported it.
	ExitCause protocol.ExitCause
	// StopSentAt is the time at which the last stop command was sent, on the leader's clock; 0 if none was sent
	// since the grace period was last set.
	StopSentAt time.Duration
	// GraceSeconds is the grace period in which the task may save a checkpoint before it is killed.
	GraceSeconds float64
}

// AttemptKey identifies an attempt on a machine.
type AttemptKey struct {
	// Task is the task's name in the format of TaskName.
	Task    string
	Attempt uint64
}

// TaskName returns the name of a task in messages to and from agents: the job's UID, a slash and the index.
func TaskName(uid string, index int) string { return uid + "/" + strconv.Itoa(index) }

// ParseTaskName parses a name in the format of TaskName.
func ParseTaskName(name string) (uid string, index int, ok bool) {
	uid, digits, found := strings.Cut(name, "/")
	index, err := strconv.Atoi(digits)
	return uid, index, found && err == nil && index >= 0
}

// Key returns the key of the attempt on its machine.
func (a *Attempt) Key() AttemptKey { return AttemptKey{TaskName(a.Job.Spec.UID, a.Index), a.Number} }

// RecordReport records that the newest message of the agent reports the attempt as not exited: the agent has received
// its run command in its present epoch.
func (a *Attempt) RecordReport() {
	a.Acknowledged, a.Sent = true, true
	a.Epoch = a.Machine.Epoch
	a.ReportedEpoch, a.ReportedSequence = a.Machine.Epoch, a.Machine.Sequence
}

// IsInNewestMessage reports whether the newest message of the agent reports the attempt as not exited.
func (a *Attempt) IsInNewestMessage() bool {
	return a.ReportedSequence > 0 && a.ReportedEpoch == a.Machine.Epoch && a.ReportedSequence == a.Machine.Sequence
}

// mayNeedImage reports whether the agent may still have to fetch the image.
func (a *Attempt) mayNeedImage() bool { return a.State == "" || a.State == protocol.TaskFetchingImage }

// SetState records the state that the agent reported, and updates the counts of the job and the machine and
// the state of the gang.
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

// ExitedTask is an exited attempt that the agent still reports. A clear command tells the agent to drop the
// attempt. A copy of the attempt's start command that arrives after it would start the attempt again, so the leader sends
// the clear with a higher fencing token than any start command that it has sent to the machine before.
type ExitedTask struct {
	// Attempt is nil if the cluster state does not contain the attempt.
	Attempt *Attempt
	// StartToken is the highest token under which this leader can have sent the attempt's start command.
	StartToken uint64
	// Clearable is set once every consequence of the exit is stored. Only then may the clear command be
	// sent.
	Clearable bool
	// ClearSentAt is the time at which the last clear command was sent, on the leader's clock.
	ClearSentAt time.Duration
}
