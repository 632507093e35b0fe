package clusterstate

import (
	"maps"
	"math/bits"
	"slices"
	"strings"
	"time"

	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
)

// Job is a job that is not over.
type Job struct {
	Spec      *protocol.Spec
	Submitted int64 // time of day, ms
	// Stored: the job's record is durable, the user may be told so.
	Stored bool
	// Cancelling: no starts any more, and whatever runs is stopped, by this leader
	// or a later one: the request is stored.
	Cancelling bool
	// Finishing: all tasks are done, or cancelled and proved gone, and the last
	// record is being written.
	Finishing bool
	Scale     scheduler.Scale
	Need      scheduler.Need
	Types     map[string]bool

	doneBits []uint64
	// oversizedChunks are the chunks whose stored record is larger than may be written now.
	oversizedChunks map[int]bool
	Done            int
	attemptsByTask  map[int]int // attempts in the ledger, by task
	placedBits      []uint64    // tasks that have any, like done
	attemptsByZone  map[string]int
	ActiveAttempts  int
	Running         int
	interrupted     map[int]bool // interrupted tasks, which go on first
	// Gang is a gang's current attempt; nil: the job is no gang.
	Gang *Gang
	// revision changes with the tasks that wait, see Revision.
	revision       uint64
	isInOpenedJobs bool // in the ledger's list of opened jobs

	// WaitingSince is since when it has waited with no task anywhere, 0: it does not.
	WaitingSince time.Duration

	// NotBefore is when the next start may be made, after failures.
	Failures  JobFailures
	NotBefore time.Duration
}

// TerminalState is what is kept of a job that is over.
type TerminalState struct {
	Cancelled bool
	Tasks     int
}

// AddJob puts a job in the ledger.
func (s *State) AddJob(spec *protocol.Spec, submitted int64) *Job {
	j := &Job{Spec: spec, Submitted: submitted, Scale: scheduler.NewScale(),
		Need:     scheduler.Need{Cores: spec.Cores, Accel: spec.Accelerators, Mem: spec.MemoryGB},
		doneBits: make([]uint64, (spec.Tasks+63)/64), placedBits: make([]uint64, (spec.Tasks+63)/64), attemptsByTask: map[int]int{}, attemptsByZone: map[string]int{}}
	if spec.Gang {
		j.Gang = &Gang{tasks: spec.Tasks}
	}
	if spec.Types != nil {
		j.Types = map[string]bool{}
		for _, t := range spec.Types {
			j.Types[t] = true
		}
	}
	s.Jobs[spec.UID] = j
	s.sortedJobs = nil
	s.markOpened(j)
	return j
}

// RemoveJob takes a job out of the ledger.
func (s *State) RemoveJob(uid string) {
	delete(s.Jobs, uid)
	s.sortedJobs = nil
}

// SortedJobs lists the jobs by name. Like SortedMachines, the list is kept until a job comes
// or goes, and is never changed.
func (s *State) SortedJobs() []*Job {
	if s.sortedJobs == nil {
		s.sortedJobs = slices.Collect(maps.Values(s.Jobs))
		slices.SortFunc(s.sortedJobs, func(x, y *Job) int { return strings.Compare(x.Spec.UID, y.Spec.UID) })
	}
	return s.sortedJobs
}

// IsDone says whether the task has completed.
func (j *Job) IsDone(i int) bool { return j.doneBits[i/64]&(1<<(i%64)) != 0 }

// MarkDone notes a completion; false if it was known.
func (j *Job) MarkDone(i int) bool {
	if j.IsDone(i) {
		return false
	}
	j.doneBits[i/64] |= 1 << (i % 64)
	j.Done++
	j.revision++
	return true
}

// AttemptsOf is how many attempts of the task may be somewhere.
func (j *Job) AttemptsOf(i int) int { return j.attemptsByTask[i] }

// InZone is a copy of the counts of attempts by zone.
func (j *Job) InZone() map[string]int { return maps.Clone(j.attemptsByZone) }

// MarkInterrupted notes a task that was stopped, but not by rank.
func (j *Job) MarkInterrupted(index int) {
	if j.interrupted == nil {
		j.interrupted = map[int]bool{}
	}
	j.interrupted[index] = true
	j.revision++
}

// Revision changes whenever a task of the job starts, ends or is interrupted. It serves those
// who keep a view of what waits; a gang's waiting tasks hang on its state too.
func (j *Job) Revision() uint64 { return j.revision }

// WaitingTasks lists up to limit tasks that may be started. The first of them, as
// many as it says, were interrupted.
func (j *Job) WaitingTasks(limit int) (out []int, resume int) {
	return j.AppendWaitingTasks(nil, limit)
}

// OpenTasks is how many tasks are neither done nor on a machine, as far as is known.
func (j *Job) OpenTasks() int {
	open := j.Spec.Tasks
	for w := range j.doneBits {
		open -= bits.OnesCount64(j.doneBits[w] | j.placedBits[w])
	}
	return open
}

// AppendWaitingTasks is Waiting with a list to use.
func (j *Job) AppendWaitingTasks(out []int, limit int) (_ []int, resume int) {
	if j.Cancelling || j.Finishing {
		return out, 0
	}
	if j.Gang != nil {
		return append(out, j.waitingGangTasks()...), 0
	}
	for _, i := range slices.Sorted(maps.Keys(j.interrupted)) {
		if len(out) < limit && !j.IsDone(i) && j.attemptsByTask[i] == 0 {
			out = append(out, i)
		}
	}
	resume = len(out)
	// 64 tasks at a time: of an array of thousands most are done or held.
	for w := range j.doneBits {
		for open := ^(j.doneBits[w] | j.placedBits[w]); open != 0; open &= open - 1 {
			i := w*64 + bits.TrailingZeros64(open)
			if i >= j.Spec.Tasks || len(out) >= limit {
				return out, resume
			}
			if !j.interrupted[i] {
				out = append(out, i)
			}
		}
	}
	return out, resume
}

// waitingGangTasks lists a gang's tasks that may be started: all of them once all of the
// attempt before is proved gone, or those that were lost while the others gather. Lost
// tasks of a broken attempt are not replaced while any of it is left.
func (j *Job) waitingGangTasks() (out []int) {
	if j.ActiveAttempts > 0 && !j.Gang.Replaces() {
		return nil
	}
	for i := range j.Spec.Tasks {
		if j.attemptsByTask[i] == 0 {
			out = append(out, i)
		}
	}
	return out
}
