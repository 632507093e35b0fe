package controller

import (
	"net/http"
	"slices"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// userRequests handles users' requests as the leader. It holds the submissions whose records are being stored, and the
// users who wait for a cancellation to complete. When the leadership ends, all of these requests are refused with a
// Retry-After header, and users repeat them at the next leader: requests are idempotent by the job's ID.
type userRequests struct {
	attempts  *attemptTracker
	authority *authority
	catalog   *machineCatalog
	env       *environment
	failures  *failureTracker
	forecast  *demandForecast
	jobs      *jobCompletion
	machines  *machineRegistry
	outbox    *outbox
	pending   *pendingTable
	placement *taskScheduler
	state     *clusterstate.State
	store     *statestore.Writer

	pendingSubmissions map[string]*pendingSubmission // by job ID
	cancelWaiters      map[string][]requester        // by job ID
}

// pendingSubmission is a submission whose record is being stored.
type pendingSubmission struct {
	job     *clusterstate.Job
	waiters []requester
}

func newUserRequests() *userRequests {
	return &userRequests{pendingSubmissions: map[string]*pendingSubmission{}, cancelWaiters: map[string][]requester{}}
}

// handle answers a user's request, either at once or when its effect is durable.
func (u *userRequests) handle(from requester, op Op, uid string, body []byte) {
	switch op {
	case OpSubmit:
		u.submit(from, body)
	case OpPoll:
		u.poll(from, uid)
	case OpCancel:
		u.cancel(from, uid)
	default:
		// A relayed request may contain an unsupported operation.
		u.outbox.reply(from, http.StatusBadRequest, nil, 0)
	}
}

// submit accepts or rejects a job. A repeated submission of an accepted job is answered with the job's status.
func (u *userRequests) submit(from requester, body []byte) {
	uid, spec, err := protocol.ParseSubmission(body)
	if u.replyToKnownJob(from, uid) {
		return
	}
	if err != nil {
		u.env.log.Info("submission rejected as malformed", "job", uid, "err", err)
		u.outbox.reply(from, http.StatusBadRequest, nil, 0)
		return
	}
	if submission := u.pendingSubmissions[uid]; submission != nil {
		if u.pending.add(from) {
			submission.waiters = append(submission.waiters, from)
		}
		return
	}
	if len(u.catalog.types) == 0 {
		u.outbox.refuse(from, refusedNoMachineTypes) // feasibility depends on the machine types, which are not loaded yet
		return
	}
	if reason := u.infeasibleReason(spec); reason != feasible {
		u.env.log.Info("submission rejected as infeasible", "job", uid, "reason", reason)
		u.outbox.reply(from, http.StatusUnprocessableEntity, nil, 0)
		return
	}
	if u.pending.add(from) {
		u.storeSubmission(from, uid, spec)
	}
}

// replyToKnownJob answers a submission if the job's ID suffices for that, and reports whether it did. A job that was
// accepted before is answered with its status, even if the repeated submission is malformed. A final status is always
// returned. Otherwise the request is refused if this controller has not loaded all records or is not certain to be the
// leader.
func (u *userRequests) replyToKnownJob(from requester, uid string) bool {
	if status, ok := u.terminalStatus(uid); ok {
		u.outbox.replyStatus(from, http.StatusOK, status)
		return true
	}
	if reason := u.authority.restriction(); reason != unrestricted {
		u.outbox.refuse(from, refusal(reason))
		return true
	}
	if j := u.state.Jobs[uid]; j != nil && j.Stored {
		u.replyAsLeader(from, http.StatusOK, u.activeStatus(j))
		return true
	}
	return false
}

// infeasibleReason returns why a job can never run on this cluster, or feasible.
func (u *userRequests) infeasibleReason(spec *protocol.JobSpec) infeasibility {
	quota := u.state.Quotas[spec.Team]
	if quota == nil {
		return unknownTeam
	}
	taskDemand := scheduler.Resources{Cores: spec.Cores, Accelerators: spec.Accelerators, MemoryGB: spec.MemoryGB}
	zones := u.feasibleZones(spec, taskDemand)
	if len(zones) == 0 {
		return noMachineTypeFits
	}
	if spec.Gang && spec.Spread && spec.Tasks > 1 && (spec.OneZone || len(zones) == 1) {
		return gangCannotSpread
	}
	// Services and gangs run all their tasks at the same time; the tasks of other jobs may run one after another.
	concurrentDemand := taskDemand
	if spec.Service || spec.Gang {
		concurrentDemand = taskDemand.Times(float64(spec.Tasks))
	}
	if !(&scheduler.Quota{Maximum: quota.Maximum}).WithinMaximum(concurrentDemand) {
		return exceedsQuotaMaximum
	}
	return feasible
}

// feasibleZones returns the zones that the job may use and that offer a machine type which the job may use and which is
// large enough for one of its tasks.
func (u *userRequests) feasibleZones(spec *protocol.JobSpec, taskDemand scheduler.Resources) map[string]bool {
	zones := map[string]bool{}
	for _, t := range u.catalog.types {
		allowed := spec.Types == nil || slices.Contains(spec.Types, t.Name)
		if !allowed || !taskDemand.Fits(t.Size) {
			continue
		}
		for _, zone := range t.Zones {
			if spec.Zone == "" || spec.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return zones
}

// storeSubmission queues a write of the job's record. Once the record is durable, the waiting users get the reply and
// the job's tasks may be placed.
func (u *userRequests) storeSubmission(from requester, uid string, spec *protocol.JobSpec) {
	j := u.state.AddJob(spec, u.env.wall)
	submission := &pendingSubmission{job: j, waiters: []requester{from}}
	u.pendingSubmissions[uid] = submission
	u.store.QueueWrite(clusterstate.JobPrefix+uid, statestore.PriorityUser, func() any { return j.Record() }, func() {
		u.onSubmissionStored(submission)
	})
}

// onSubmissionStored accepts a job whose record is durable.
func (u *userRequests) onSubmissionStored(submission *pendingSubmission) {
	j := submission.job
	spec := j.Spec
	delete(u.pendingSubmissions, spec.UID)
	j.Stored = true
	u.env.log.Info("job accepted", "job", spec.UID, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
	u.forecast.recordArrival(j)
	u.placement.fillPending = true
	for _, waiter := range submission.waiters {
		if u.pending.take(waiter) {
			u.replyAsLeader(waiter, http.StatusCreated, u.activeStatus(j))
		}
	}
}

// dropAbandonedSubmissions drops the submissions without a waiting request, unless the write of their record is already
// in flight. Their requests have been refused with status 503.
func (u *userRequests) dropAbandonedSubmissions() {
	for _, uid := range sortedKeys(u.pendingSubmissions) {
		if slices.ContainsFunc(u.pendingSubmissions[uid].waiters, u.pending.isWaiting) {
			continue
		}
		if u.store.CancelWrite(clusterstate.JobPrefix + uid) {
			delete(u.pendingSubmissions, uid)
			u.state.RemoveJob(uid)
		}
	}
}

// abandonSubmission drops a submission whose record the state service permanently rejects. Its requests are refused
// with status 503.
func (u *userRequests) abandonSubmission(uid string) {
	submission := u.pendingSubmissions[uid]
	if submission == nil {
		return
	}
	for _, waiter := range submission.waiters {
		if u.pending.take(waiter) {
			u.outbox.refuse(waiter, refusedRecordRejected)
		}
	}
	delete(u.pendingSubmissions, uid)
	u.state.RemoveJob(uid)
}

// poll answers with a job's status. A final state is reported only once it is durable; until then the reply contains
// the status before it.
func (u *userRequests) poll(from requester, uid string) {
	if j := u.findActiveJob(from, uid); j != nil {
		u.replyAsLeader(from, http.StatusOK, u.activeStatus(j))
	}
}

// cancel requests the stop of a job's tasks. The user gets the reply once the last task is proven to have ended and the
// final state is durable.
func (u *userRequests) cancel(from requester, uid string) {
	j := u.findActiveJob(from, uid)
	if j == nil || !u.pending.add(from) {
		return
	}
	// Requests that were refused in the meantime are removed: their users retry, so the list would grow without bound.
	waiters := slices.DeleteFunc(u.cancelWaiters[uid], func(waiter requester) bool { return !u.pending.isWaiting(waiter) })
	u.cancelWaiters[uid] = append(waiters, from)
	if j.Cancelling || j.Finalizing {
		return // the reply follows once the final state is durable
	}
	u.env.log.Info("job cancellation accepted", "job", uid)
	j.Cancelling = true
	u.failures.withdrawFailures(j)
	u.store.QueueWrite(clusterstate.JobPrefix+uid, statestore.PriorityUser, func() any { return j.Record() }, nil)
	u.stopAttempts(j)
	u.jobs.completeCancellation(j)
}

// stopAttempts requests the stop of all attempts of a job, without a grace period: a cancelled job needs no checkpoint.
func (u *userRequests) stopAttempts(j *clusterstate.Job) {
	for _, m := range u.machines.sortedMachines() {
		for _, a := range m.SortedAttempts() {
			if a.Job == j {
				u.attempts.requestStop(a, 0, stopJobCancelled)
			}
		}
	}
}

// replyCancelled answers the users who wait for a job's cancellation with its final state.
func (u *userRequests) replyCancelled(uid string) {
	status, durable := u.terminalStatus(uid)
	if !durable {
		u.authority.violated(FinalStateIsDurable, uid)
		return
	}
	for _, waiter := range u.cancelWaiters[uid] {
		if u.pending.take(waiter) {
			u.outbox.replyStatus(waiter, http.StatusOK, status)
		}
	}
	delete(u.cancelWaiters, uid)
}

// findActiveJob returns an accepted job that is neither done nor cancelled. In all other cases it answers the request
// and returns nil. Final states never change, so a controller may report them even if it is not certain to still be the
// leader. All other answers require a leader with a valid lease and all records loaded.
func (u *userRequests) findActiveJob(from requester, uid string) *clusterstate.Job {
	if status, ok := u.terminalStatus(uid); ok {
		u.outbox.replyStatus(from, http.StatusOK, status)
		return nil
	}
	j, reason := u.state.Jobs[uid], u.authority.restriction()
	switch {
	case reason != unrestricted:
		u.refuseQuestion(from, j, reason)
	case j == nil:
		u.outbox.replyUntil(from, http.StatusNotFound, nil, 0, u.authority.decidesUntil())
	case !j.Stored:
		u.outbox.refuse(from, refusedNotStored)
	default:
		return j
	}
	return nil
}

// refuseQuestion refuses a request about a job, nil if it is unknown, because of a restriction.
func (u *userRequests) refuseQuestion(from requester, j *clusterstate.Job, reason restriction) {
	if j != nil && j.Stored && u.authority.mayDecide() {
		u.authority.violated(StoredJobIsAnswered, j.Spec.UID)
	}
	u.outbox.refuse(from, refusal(reason))
}

// terminalStatus returns the final status of a job. It returns false if the job is unknown or has no final state yet.
func (u *userRequests) terminalStatus(uid string) (protocol.JobStatus, bool) {
	terminal, ok := u.state.TerminalJobs[uid]
	if !ok {
		return protocol.JobStatus{}, false
	}
	if terminal.Cancelled {
		return protocol.JobStatus{UID: uid, State: protocol.JobCancelled}, true
	}
	return protocol.JobStatus{UID: uid, State: protocol.JobDone, Done: terminal.Tasks}, true
}

// activeStatus returns the status of a job that is neither done nor cancelled.
func (u *userRequests) activeStatus(j *clusterstate.Job) protocol.JobStatus {
	status := protocol.JobStatus{UID: j.Spec.UID, State: protocol.JobPending, Done: j.CompletedTasks, Running: j.RunningTasks}
	if j.RunningTasks > 0 {
		status.State = protocol.JobRunning
	}
	return status
}

// replyAsLeader answers with a job status that only the leader may report. The reply is sent only while this controller
// is certain to be the leader.
func (u *userRequests) replyAsLeader(to requester, status int, job protocol.JobStatus) {
	u.outbox.replyUntil(to, status, protocol.Encode(job), 0, u.authority.decidesUntil())
}
