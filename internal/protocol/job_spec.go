package protocol

import "strings"

// Priority is a job's priority; a larger one goes first.
type Priority int

// Priorities in rising order.
const (
	PriorityIdle Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityProduction
)

// MaxTasksPerJob is the largest number of tasks that a job may have.
const MaxTasksPerJob = 100_000

// JobSpec is a job as submitted. It is stored in this form, so that tags and types must not change.
// Amounts are those of one task.
type JobSpec struct {
	UID          string   `msgpack:"u"`
	Class        string   `msgpack:"c"`
	Team         string   `msgpack:"o"`
	Service      bool     `msgpack:"s,omitempty"` // runs until it is cancelled
	Gang         bool     `msgpack:"g,omitempty"` // all tasks run at once, or none
	Priority     Priority `msgpack:"p"`
	Tasks        int      `msgpack:"n"`
	Cores        float64  `msgpack:"cc"`
	Accelerators float64  `msgpack:"ca,omitempty"`
	MemoryGB     float64  `msgpack:"cm"`
	Image        string   `msgpack:"i"`
	ImageGB      float64  `msgpack:"ig"`
	// Types are the machine types that the tasks may run on; nil: all; empty: none.
	Types []string `msgpack:"ty,omitempty"`
	// Zone is the only zone that the tasks may run in; empty: all may be used.
	Zone    string `msgpack:"z,omitempty"`
	OneZone bool   `msgpack:"tz,omitempty"` // all tasks in the same zone
	Spread  bool   `msgpack:"sp,omitempty"` // no zone has more than half of the tasks
	Spot    bool   `msgpack:"bo,omitempty"` // spot machines may be used
	// EstimateS is how many seconds a task runs, as its owner says.
	EstimateS float64 `msgpack:"e,omitempty"`
	// CheckpointS is the time between two checkpoints, and CheckpointS how long writing one takes, in
	// seconds. CheckpointS 0: the task has none.
	CheckpointS float64 `msgpack:"cp,omitempty"`
	SaveS       float64 `msgpack:"sv,omitempty"`
	// DeadlineS is when the job is due, in seconds after its submission; 0: no deadline.
	DeadlineS float64 `msgpack:"d,omitempty"`
}

const (
	jobIDPrefix    = "j-"
	maxJobIDDigits = 40
)

// ValidJobID says whether an ID has the form of job IDs: j- and 1 to 40 digits or small letters.
func ValidJobID(s string) bool {
	digits, ok := strings.CutPrefix(s, jobIDPrefix)
	if !ok || len(digits) == 0 || len(digits) > maxJobIDDigits {
		return false
	}
	for _, r := range digits {
		if (r < '0' || r > '9') && (r < 'a' || r > 'z') {
			return false
		}
	}
	return true
}
