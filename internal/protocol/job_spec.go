package protocol

import "strings"

// Priority is a job's priority; higher values are scheduled first.
type Priority int

// Priorities in ascending order.
const (
	PriorityIdle Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityProduction
)

// MaxTasksPerJob is the maximum number of tasks of a job.
const MaxTasksPerJob = 100_000

// JobSpec is a job as submitted. It is stored in this form, so its tags and types must not change. Resource
// amounts are per task.
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
	// Types lists the machine types that the tasks may run on; nil: all types; empty: none.
	Types []string `msgpack:"ty,omitempty"`
	// Zone is the only zone that the tasks may run in; empty: any zone.
	Zone    string `msgpack:"z,omitempty"`
	OneZone bool   `msgpack:"tz,omitempty"` // all tasks run in the same zone
	Spread  bool   `msgpack:"sp,omitempty"` // no zone has more than half of the tasks, rounded up
	Spot    bool   `msgpack:"bo,omitempty"` // spot machines may be used
	// EstimateS is the owner's estimate of a task's run time, in seconds.
	EstimateS float64 `msgpack:"e,omitempty"`
	// CheckpointS is the time between two checkpoints, and SaveS the time to write a checkpoint, in seconds.
	// CheckpointS 0: the task writes no checkpoints.
	CheckpointS float64 `msgpack:"cp,omitempty"`
	SaveS       float64 `msgpack:"sv,omitempty"`
	// DeadlineS is the job's deadline, in seconds after its submission; 0: no deadline.
	DeadlineS float64 `msgpack:"d,omitempty"`
}

const (
	jobIDPrefix    = "j-"
	maxJobIDDigits = 40
)

// ValidJobID reports whether s is a well-formed job ID: j- and 1 to 40 digits or lower-case letters.
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
