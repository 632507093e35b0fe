package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// taskExit is the first report of a task's exit, for a task whose job is known.
type taskExit struct {
	machine *clusterstate.Machine
	job     *clusterstate.Job
	index   int // of the task in its job
	key     clusterstate.AttemptKey
	record  *clusterstate.ExitedTask
	cause   protocol.ExitCause
}

// onExit handles a task that a machine reports as exited. A worker reports it until it receives the clear
// command; only the first report counts.
func (h *heartbeatReceiver) onExit(m *clusterstate.Machine, key clusterstate.AttemptKey, status protocol.TaskStatus) {
	if m.Exited[key] != nil {
		return
	}
	record := &clusterstate.ExitedTask{Attempt: m.Attempts[key], Clearable: true}
	m.Exited[key] = record
	if record.Attempt != nil {
		record.Attempt.ExitCause = status.Cause
	}
	uid, index, ok := clusterstate.ParseTaskName(key.Task)
	if j := h.state.Jobs[uid]; ok && j != nil && index < j.Spec.Tasks {
		h.env.log.Debug("task exited", "task", key.Task, "attempt", key.Attempt, "machine", m.ID, "cause", status.Cause)
		h.applyExitCause(taskExit{machine: m, job: j, index: index, key: key, record: record, cause: status.Cause})
	}
	if record.Attempt != nil {
		h.attempts.removeAttempt(record.Attempt, reportedExited)
	}
}

// applyExitCause does what the cause of a task's exit means for its job and its machine.
func (h *heartbeatReceiver) applyExitCause(exit taskExit) {
	m, j := exit.machine, exit.job
	switch exit.cause {
	case protocol.CauseDone:
		h.failures.noteTaskSuccess(j, m)
		h.onTaskDone(exit)
	case protocol.CauseError:
		h.failures.onTaskError(m, j, exit.record.Attempt, exit.key)
	case protocol.CauseInsufficientResources, protocol.CauseBusy:
		// The machine knows better than the cluster state what is on it. It gets no tasks for a heartbeat
		// interval.
		m.QuarantinedUntil = max(m.QuarantinedUntil, h.env.now+h.env.cfg.WorkerHeartbeatInterval())
	case protocol.CauseStopped, protocol.CausePeersLost:
		// The job is not to blame.
	case protocol.CauseIncomplete:
		if h.env.now >= j.NotBefore {
			h.failures.backOffJob(j) // once for all tasks of the gang
		}
	default:
		// A cause that this version does not know.
		h.failures.backOffJob(j)
	}
}

// onTaskDone handles the completion of a task. The exit may be cleared only once the completion is durable: the
// worker's report is its only record until then.
func (h *heartbeatReceiver) onTaskDone(exit taskExit) {
	j, record := exit.job, exit.record
	if j.Spec.Service || j.Cancelling && j.Finalizing {
		return
	}
	h.machines.noteImageUse(exit.machine, j)
	if j.Gang == nil && !j.MarkDone(exit.index) && j.Finalizing {
		return
	}
	record.Clearable = false
	ready := func() { record.Clearable = true }
	switch {
	case j.Gang != nil:
		// If one task of a gang is done, all are.
		h.attempts.completeGang(j)
		h.storeCompletedJob(j, ready)
	case j.CompletedTasks == j.Spec.Tasks:
		// Also if the job's cancellation was under way.
		h.jobs.completeJob(j)
		h.storeCompletedJob(j, ready)
	default:
		h.completions.recordCompletion(j, exit.index, ready)
	}
}

// storeCompletedJob marks the job's record to be written; then is called once it is durable.
func (h *heartbeatReceiver) storeCompletedJob(j *clusterstate.Job, then func()) {
	h.store.QueueWrite(clusterstate.JobPrefix+j.Spec.UID, statestore.PriorityUser, func() any { return j.Record() }, then)
}
