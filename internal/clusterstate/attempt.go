package clusterstate

import (
	"strconv"
	"strings"
	"time"

	"claybarrow/internal/protocol"
)

// Attempt is one start of a task that may be on its machine.
type Attempt struct {
	Job     *Job
	Index   int
	Number  uint64
	Machine *Machine
	// Durable: written ahead, so the run may leave. Loaded: from the ledger of
	// an earlier leader, whose commands may be under way until the worker has
	// our token.
	Durable, Loaded bool
	// Sent: a run left us in Session. Acked: the worker is known to have had
	// it. Lost: a direct run had no answer, so a copy may still be executed
	// while the session lasts. RunSequence: the report whose answer carried a run.
	Sent, Acknowledged, RunLost bool
	Epoch                       uint64
	RunSequence                 uint64
	RunsInFlight                int // direct runs under way
	State                       protocol.TaskState
	Since                       time.Duration
	// StopRequested: it is to be stopped. Grace is what it has for saving.
	// Yielded: a round stopped it for work that ranks before it. Exit is the
	// worker's word for its end.
	StopRequested bool
	Preempted     bool
	Exit          protocol.ExitCause
	StopSentAt    time.Duration
	Grace         float64
}

// AttemptKey names the attempt.
type AttemptKey struct {
	Task    string
	Attempt uint64
}

// TaskName is the wire's name of a task.
func TaskName(uid string, index int) string { return uid + "/" + strconv.Itoa(index) }

// Key names the attempt on its machine.
func (a *Attempt) Key() AttemptKey { return AttemptKey{TaskName(a.Job.Spec.UID, a.Index), a.Number} }

// mayNeedImage says whether it may still need its image.
func (a *Attempt) mayNeedImage() bool { return a.State == "" || a.State == protocol.FetchingImage }

// SetState notes the worker's word for the attempt's state.
func (a *Attempt) SetState(s protocol.TaskState) {
	if a.State == protocol.Running {
		a.Job.Running--
	}
	if s == protocol.Running {
		a.Job.Running++
	}
	if a.mayNeedImage() {
		a.Machine.startingAttempts--
	}
	a.Machine.revision++
	a.State = s
	if a.mayNeedImage() {
		a.Machine.startingAttempts++
	}
	if a.Job.Gang != nil {
		a.Job.Gang.applyTaskState(a, s == protocol.Running || s == protocol.Saving)
	}
}

// ExitedTask is an exited attempt that the worker still reports and that is to be
// cleared when that is safe.
type ExitedTask struct {
	// Attempt is nil if the ledger did not have it.
	Attempt *Attempt
	// Ready: whatever its end means is durable.
	Ready bool
	Sent  time.Duration // of the last clear
}

// ParseTask reads the wire's name of a task.
func ParseTask(s string) (uid string, index int, ok bool) {
	uid, n, found := strings.Cut(s, "/")
	i, err := strconv.Atoi(n)
	return uid, i, found && err == nil && i >= 0
}
