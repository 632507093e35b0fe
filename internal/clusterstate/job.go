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

// Job is a job that is not over. Its spec, its submission time and its cancellation are stored in a JobRecord and the
// completions of its tasks in CompletionRecords; the rest is rebuilt or starts afresh at a failover.
type Job struct {
	Spec *protocol.JobSpec
	// Submitted is when the job was submitted, in ms since the epoch by the wall clock of the controller
	// that accepted it.
	Submitted int64
	// Stored: the job's record is stored, so the user may be told that the job is accepted.
	Stored bool
	// Cancelling: no task may be started any more, and all that run are to be stopped. The request is
	// stored, so a later leader goes on with it.
	Cancelling bool
	// Finalizing: all tasks are done, or cancelled and proved gone, and the final record is being
	// written.
	Finalizing bool
	// Scale is the job's attained service and its number of slots.
	Scale scheduler.ScaleUp
	// Need is what one task needs.
	Need scheduler.Resources
	// Types are the machine types that the tasks may run on; nil: any.
	Types map[string]bool

	// CompletedTasks counts the tasks that have completed.
	CompletedTasks int
	// ActiveAttempts counts the attempts that may be on machines, Running those that were last reported
	// running.
	ActiveAttempts int
	RunningTasks   int
	// Gang is the current attempt of a gang; nil if the job is no gang.
	Gang *Gang

	// WaitingSince is since when the job has waited without any task on a machine, by the leader's clock;
	// 0: it does not.
	WaitingSince time.Duration
	// Failures are those since a task last completed.
	Failures JobFailures
	// NotBefore is the earliest time for the next start after failures, by the leader's clock.
	NotBefore time.Duration

	doneTasks      taskSet
	placedTasks    taskSet        // tasks with an attempt that may be on a machine
	attemptsByTask map[int]int    // numbers of such attempts
	attemptsByZone map[string]int // and by zone
	interrupted    map[int]bool   // interrupted tasks, which are started first
	// oversizedChunks are the chunks whose stored completion record is larger than one may be now.
	oversizedChunks map[int]bool
	revision        uint64 // see Revision
	isToSchedule    bool   // the job is in State.toSchedule
}

// TerminalState is what is kept of a job that is over, to answer questions about it.
type TerminalState struct {
	// Cancelled: the job was cancelled; otherwise it is done.
	Cancelled bool
	// Tasks is the number of its tasks if it is done.
	Tasks int
}

// AddJob adds a job. submitted is in ms since the epoch.
func (s *State) AddJob(spec *protocol.JobSpec, submitted int64) *Job {
	j := &Job{
		Spec:           spec,
		Submitted:      submitted,
		Scale:          scheduler.NewScaleUp(),
		Need:           scheduler.Resources{Cores: spec.Cores, Accel: spec.Accelerators, Mem: spec.MemoryGB},
		doneTasks:      newTaskSet(spec.Tasks),
		placedTasks:    newTaskSet(spec.Tasks),
		attemptsByTask: map[int]int{},
		attemptsByZone: map[string]int{},
	}
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
	s.markToSchedule(j)
	return j
}

// RemoveJob removes a job that is over.
func (s *State) RemoveJob(uid string) {
	delete(s.Jobs, uid)
	s.sortedJobs = nil
}

// SortedJobs lists the jobs by UID. Like that of SortedMachines, the list is kept until a job is added
// or removed, and is never changed in place.
func (s *State) SortedJobs() []*Job {
	if s.sortedJobs == nil {
		s.sortedJobs = slices.SortedFunc(maps.Values(s.Jobs), func(x, y *Job) int {
			return strings.Compare(x.Spec.UID, y.Spec.UID)
		})
	}
	return s.sortedJobs
}

// IsDone reports whether the task has completed.
func (j *Job) IsDone(index int) bool { return j.doneTasks.contains(index) }

// MarkDone records that the task has completed. It returns false if that was known.
func (j *Job) MarkDone(index int) bool {
	if j.IsDone(index) {
		return false
	}
	j.doneTasks.add(index)
	j.CompletedTasks++
	j.revision++
	return true
}

// AttemptCount is the number of the task's attempts that may be on machines.
func (j *Job) AttemptCount(index int) int { return j.attemptsByTask[index] }

// AttemptsByZone returns the number of attempts in each zone. The map is a copy.
func (j *Job) AttemptsByZone() map[string]int { return maps.Clone(j.attemptsByZone) }

// addAttempt keeps the job's counts in step with an attempt that State.AddAttempt adds.
func (j *Job) addAttempt(a *Attempt) {
	j.attemptsByTask[a.Index]++
	j.placedTasks.add(a.Index)
	delete(j.interrupted, a.Index)
	j.attemptsByZone[a.Machine.Zone]++
	j.ActiveAttempts++
	j.revision++
}

// removeAttempt keeps the job's counts in step with an attempt that State.RemoveAttempt removes.
func (j *Job) removeAttempt(a *Attempt) {
	if j.attemptsByTask[a.Index]--; j.attemptsByTask[a.Index] <= 0 {
		delete(j.attemptsByTask, a.Index)
		j.placedTasks.remove(a.Index)
	}
	j.attemptsByZone[a.Machine.Zone]--
	j.ActiveAttempts--
	j.revision++
}

// MarkInterrupted records that a task was stopped, other than by preemption. It is started again before
// the job's other tasks.
func (j *Job) MarkInterrupted(index int) {
	if j.interrupted == nil {
		j.interrupted = map[int]bool{}
	}
	j.interrupted[index] = true
	j.revision++
}

// Revision changes whenever a task of the job is placed, ends or is interrupted. A cache of the job's
// waiting tasks is current while the revision is the same; those of a gang also depend on its state.
func (j *Job) Revision() uint64 { return j.revision }

// OpenTasks is the number of tasks that are neither done nor on a machine, as far as is known.
func (j *Job) OpenTasks() int { return j.Spec.Tasks - j.doneTasks.unionSize(j.placedTasks) }

// WaitingTasks lists up to limit tasks that may be started. The first ones, as many as interrupted
// says, were interrupted.
func (j *Job) WaitingTasks(limit int) (tasks []int, interrupted int) {
	return j.AppendWaitingTasks(nil, limit)
}

// AppendWaitingTasks is WaitingTasks with a slice to append to, which must be empty. It saves an
// allocation for each job in each scheduling pass.
func (j *Job) AppendWaitingTasks(tasks []int, limit int) (_ []int, interrupted int) {
	if j.Cancelling || j.Finalizing {
		return tasks, 0
	}
	if j.Gang != nil {
		return j.appendWaitingGangTasks(tasks), 0
	}
	for _, index := range slices.Sorted(maps.Keys(j.interrupted)) {
		if len(tasks) < limit && !j.IsDone(index) && !j.placedTasks.contains(index) {
			tasks = append(tasks, index)
		}
	}
	interrupted = len(tasks)
	// Whole words at a time, as most tasks of a large array are done or placed.
	for word := range j.doneTasks {
		for open := ^(j.doneTasks[word] | j.placedTasks[word]); open != 0; open &= open - 1 {
			index := word*bitsPerWord + bits.TrailingZeros64(open)
			if index >= j.Spec.Tasks || len(tasks) >= limit {
				return tasks, interrupted
			}
			if !j.interrupted[index] {
				tasks = append(tasks, index)
			}
		}
	}
	return tasks, interrupted
}

// appendWaitingGangTasks appends a gang's tasks that may be started: all of them once the whole attempt
// before is proved gone, or those that were lost while the others gather. Lost tasks of a broken
// attempt are not replaced while any of it is left.
func (j *Job) appendWaitingGangTasks(tasks []int) []int {
	if j.ActiveAttempts > 0 && !j.Gang.MayReplaceTasks() {
		return tasks
	}
	for index := range j.Spec.Tasks {
		if !j.placedTasks.contains(index) {
			tasks = append(tasks, index)
		}
	}
	return tasks
}
