package controller

import (
	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// taskExit is the first report of the exit of a task whose job is known.
type taskExit struct {
	machine *clusterstate.Machine
	job     *clusterstate.Job
	index   int // the task's index in its job
	key     clusterstate.AttemptKey
	record  *clusterstate.ExitedTask
	cause   protocol.ExitCause
}

// onExit handles a task that a machine reports as exited. The worker repeats the report until it receives the clear
// command; only the first report is handled.
func (h *heartbeatReceiver) onExit(m *clusterstate.Machine, key clusterstate.AttemptKey, status protocol.TaskStatus) {
	if m.Exited[key] != nil {
		return
	}
	record := &clusterstate.ExitedTask{Attempt: m.Attempts[key], StartToken: m.StartToken, Clearable: true}
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

// applyExitCause updates the task's job and machine according to the cause of the exit.
func (h *heartbeatReceiver) applyExitCause(exit taskExit) {
	m, j := exit.machine, exit.job
	switch exit.cause {
	case protocol.CauseDone:
		h.failures.recordTaskSuccess(j, m, exit.record.Attempt)
		h.onTaskDone(exit)
	case protocol.CauseError:
		h.failures.onTaskError(m, j, exit.record.Attempt, exit.key)
	case protocol.CauseInsufficientResources, protocol.CauseBusy:
		// The worker's view of the machine's free resources is more accurate than the cluster state. The machine
		// gets no tasks for a heartbeat interval.
		m.Quarantine(clusterstate.QuarantineStartRefused, h.env.now+h.env.cfg.WorkerHeartbeatInterval())
	case protocol.CauseStopped, protocol.CausePeersLost:
		// The exit is not the job's fault.
	case protocol.CauseIncomplete:
		if h.env.now >= j.NotBefore {
			h.failures.backOffJob(j) // once for all tasks of the gang
		}
	default:
		// The worker sent a cause that this version of the controller does not support.
		h.failures.backOffJob(j)
	}
}

// onTaskDone handles the completion of a task. The exit may be cleared only once the completion is durable, because
// until then the worker's report is the only record of the completion.
func (h *heartbeatReceiver) onTaskDone(exit taskExit) {
	j, record := exit.job, exit.record
	if j.Spec.Service || j.Cancelling && j.Finalizing {
		return
	}
	h.machines.recordImageUse(exit.machine, j)
	if j.Gang == nil && !j.MarkDone(exit.index) && j.Finalizing {
		return
	}
	record.Clearable = false
	markClearable := func() { record.Clearable = true }
	switch {
	case j.Gang != nil:
		// The completion of one task of a gang completes the whole gang.
		h.attempts.completeGang(j)
		h.storeCompletedJob(j, markClearable)
	case j.CompletedTasks == j.Spec.Tasks:
		// This applies also to a job that is being cancelled.
		h.jobs.completeJob(j)
		h.storeCompletedJob(j, markClearable)
	default:
		h.completions.recordCompletion(j, exit.index, markClearable)
	}
}

// storeCompletedJob queues a write of the job's record; onDurable is called once the record is durable.
func (h *heartbeatReceiver) storeCompletedJob(j *clusterstate.Job, onDurable func()) {
	h.store.QueueWrite(clusterstate.JobPrefix+j.Spec.UID, statestore.PriorityUser, func() any { return j.Record() }, onDurable)
}
