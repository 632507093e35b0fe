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

// Job is a job that has not ended. Its spec, its submission time and its cancellation are stored in a JobRecord,
// and the completions of its tasks in records of type CompletionRecord. At a failover the new leader rebuilds the
// other fields from the records or resets them.
type Job struct {
	Spec *protocol.JobSpec
	// Submitted is the time of submission in ms since the epoch, on the wall clock of the controller that
	// accepted the job.
	Submitted int64
	// Stored is set once the job's record is stored. Only then may the job be reported to the user as accepted.
	Stored bool
	// Cancelling is set once the job's cancellation was requested. No task is started any more, and all running
	// tasks are stopped. The request is stored, so a later leader continues the cancellation.
	Cancelling bool
	// Finalizing is set while the final record is being written. By then all tasks are done, or cancelled and
	// known to have left their machines.
	Finalizing bool
	// Scale is the job's attained service and its number of slots.
	Scale scheduler.ScaleUp
	// Request is the resources that one task requests.
	Request scheduler.Resources
	// Types are the machine types that the tasks may run on; nil: any.
	Types map[string]bool

	// CompletedTasks counts the tasks that have completed.
	CompletedTasks int
	// ActiveAttempts counts the attempts that may be on machines, RunningTasks the attempts that were last
	// reported running.
	ActiveAttempts int
	RunningTasks   int
	// Gang is the current attempt of a gang; nil if the job is not a gang.
	Gang *Gang

	// WaitingSince is the time, on the leader's clock, since which the job waits without any task on a machine;
	// 0 if it does not wait.
	WaitingSince time.Duration
	// Failures are the failures since a task last completed.
	Failures JobFailures
	// NotBefore is the end of the back-off after failures, on the leader's clock. No task starts before it.
	NotBefore time.Duration

	doneTasks      taskSet
	placedTasks    taskSet        // tasks with an attempt that may be on a machine
	attemptsByTask map[int]int    // number of attempts that may be on a machine, by task
	attemptsByZone map[string]int // number of attempts that may be on a machine, by zone
	interrupted    map[int]bool   // interrupted tasks, which are started first
	// oversizedChunks are the chunks whose stored completion record exceeds the present limit on values.
	oversizedChunks map[int]bool
	revision        uint64 // see Revision
	isToSchedule    bool   // the job is in State.toSchedule
}

// TerminalState is the final state of a job that has ended. It is kept to answer status requests.
type TerminalState struct {
	// Cancelled is set if the job was cancelled; otherwise the job is done.
	Cancelled bool
	// Tasks is the number of the job's tasks if the job is done.
	Tasks int
}

// AddJob adds a job. submitted is in ms since the epoch.
func (s *State) AddJob(spec *protocol.JobSpec, submitted int64) *Job {
	j := &Job{
		Spec:           spec,
		Submitted:      submitted,
		Scale:          scheduler.NewScaleUp(),
		Request:        scheduler.Resources{Cores: spec.Cores, Accelerators: spec.Accelerators, MemoryGB: spec.MemoryGB},
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

// RemoveJob removes a job that has ended.
func (s *State) RemoveJob(uid string) {
	delete(s.Jobs, uid)
	s.sortedJobs = nil
}

// SortedJobs returns the jobs sorted by UID. The list is cached until a job is added or removed and, as with
// SortedMachines, is never changed in place.
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

// MarkDone records that the task has completed. It returns false if the completion was recorded before.
func (j *Job) MarkDone(index int) bool {
	if j.IsDone(index) {
		return false
	}
	j.doneTasks.add(index)
	j.CompletedTasks++
	j.revision++
	return true
}

// AttemptCount returns the number of the task's attempts that may be on machines.
func (j *Job) AttemptCount(index int) int { return j.attemptsByTask[index] }

// AttemptsByZone returns the number of attempts that may be on machines in each zone. The map is a copy.
func (j *Job) AttemptsByZone() map[string]int { return maps.Clone(j.attemptsByZone) }

// addAttempt updates the job's counts for an attempt that State.AddAttempt adds.
func (j *Job) addAttempt(a *Attempt) {
	j.attemptsByTask[a.Index]++
	j.placedTasks.add(a.Index)
	delete(j.interrupted, a.Index)
	j.attemptsByZone[a.Machine.Zone]++
	j.ActiveAttempts++
	j.revision++
}

// removeAttempt updates the job's counts for an attempt that State.RemoveAttempt removes.
func (j *Job) removeAttempt(a *Attempt) {
	if j.attemptsByTask[a.Index]--; j.attemptsByTask[a.Index] <= 0 {
		delete(j.attemptsByTask, a.Index)
		j.placedTasks.remove(a.Index)
	}
	j.attemptsByZone[a.Machine.Zone]--
	j.ActiveAttempts--
	j.revision++
}

// MarkInterrupted records that a task was interrupted: its attempt ended before the task was done, for a reason
// other than preemption, the task's own failure or a lack of resources on the machine. The task is started again
// before the job's other tasks.
func (j *Job) MarkInterrupted(index int) {
	if j.interrupted == nil {
		j.interrupted = map[int]bool{}
	}
	j.interrupted[index] = true
	j.revision++
}

// Revision changes whenever a task of the job is placed, ends or is interrupted. Cached waiting tasks of the job
// stay valid while the revision is the same. The waiting tasks of a gang also depend on the gang's state.
func (j *Job) Revision() uint64 { return j.revision }

// OpenTasks returns the number of tasks that are not known to be done and have no attempt that may be on a
// machine.
func (j *Job) OpenTasks() int { return j.Spec.Tasks - j.doneTasks.unionSize(j.placedTasks) }

// WaitingTasks returns up to limit tasks that may be started. The first tasks of the list, interrupted in number,
// are those that were interrupted.
func (j *Job) WaitingTasks(limit int) (tasks []int, interrupted int) {
	return j.AppendWaitingTasks(nil, limit)
}

// AppendWaitingTasks is like WaitingTasks but appends to the given slice, which must be empty. Reusing the slice
// saves an allocation for each job in each scheduling pass.
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
	// Whole words are skipped at a time, as most tasks of a large array are done or placed.
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

// appendWaitingGangTasks appends the tasks of a gang that may be started: all tasks once every task of the
// previous attempt is known to have left its machine, or the tasks that were lost while the others gather. Lost
// tasks of a broken attempt are not replaced while any of its tasks remains.
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
