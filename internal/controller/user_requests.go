package controller

import (
	"slices"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/scheduler"
	"claybarrow/internal/statestore"
)

// userRequests are what users ask of a leader: submissions whose records are being written, and
// cancellations whose users wait for the last task's end.
type userRequests struct {
	attempts  *attemptTracker
	catalog   *machineCatalog
	env       *environment
	forecast  *demandForecast
	jobs      *jobCompletion
	lease     *leaderLease
	loader    *stateLoader
	machines  *machineRegistry
	outbox    *outbox
	pending   *pendingTable
	placement *taskScheduler
	state     *clusterstate.State
	store     *statestore.Writer

	pendingSubmissions map[string]*pendingSubmission
	cancelWaiters      map[string][]requester
}

// pendingSubmission is a submission whose record is being written.
type pendingSubmission struct {
	job     *clusterstate.Job
	waiters []requester
}

func newUserRequests() *userRequests {
	return &userRequests{pendingSubmissions: map[string]*pendingSubmission{}, cancelWaiters: map[string][]requester{}}
}

// handle answers a user's request, at once or when what it asks for is durable.
func (u *userRequests) handle(from requester, op Op, uid string, body []byte) {
	switch op {
	case OpSubmit:
		u.submit(from, body)
	case OpPoll:
		u.poll(from, uid)
	case OpCancel:
		u.cancel(from, uid)
	default:
		u.outbox.reply(from, 400, nil, 0)
	}
}

// terminalStatus is the final state of a job that is over.
func (u *userRequests) terminalStatus(uid string) (protocol.JobStatus, bool) {
	f, ok := u.state.Terminal[uid]
	if !ok {
		return protocol.JobStatus{}, false
	}
	if f.Cancelled {
		return protocol.JobStatus{UID: uid, State: protocol.Cancelled}, true
	}
	return protocol.JobStatus{UID: uid, State: protocol.Done, Done: f.Tasks}, true
}

// activeStatus is the state of a job that is not over.
func (u *userRequests) activeStatus(j *clusterstate.Job) protocol.JobStatus {
	s := protocol.JobStatus{UID: j.Spec.UID, State: protocol.Pending, Done: j.Done, Running: j.Running}
	if j.Running > 0 {
		s.State = protocol.Active
	}
	return s
}

// submit takes a submission, or says why it is not taken.
func (u *userRequests) submit(from requester, body []byte) {
	uid, spec, err := protocol.ParseSubmission(body)
	if u.answerKnownJob(from, uid) {
		return
	}
	if err != nil {
		u.env.log.Info("submission rejected as malformed", "job", uid, "err", err)
		u.outbox.reply(from, 400, nil, 0)
		return
	}
	if submission := u.pendingSubmissions[uid]; submission != nil {
		if u.pending.addPending(from) {
			submission.waiters = append(submission.waiters, from)
		}
		return
	}
	if len(u.catalog.types) == 0 {
		u.outbox.replyUnavailable(from)
		return
	}
	if reason := u.infeasibleReason(spec); reason != feasible {
		u.env.log.Info("submission rejected as infeasible", "job", uid, "reason", reason)
		u.outbox.reply(from, 422, nil, 0)
		return
	}
	if u.pending.addPending(from) {
		u.storeSubmission(from, uid, spec)
	}
}

// answerKnownJob answers a submission that can be answered by its id alone: a job accepted before is answered
// first, whatever its repeat holds, and who is not certainly the leader decides nothing.
func (u *userRequests) answerKnownJob(from requester, uid string) bool {
	if s, ok := u.terminalStatus(uid); ok {
		u.outbox.replyStatus(from, 200, s)
		return true
	}
	if !u.loader.ready || !u.lease.holdsLease() {
		u.outbox.replyUnavailable(from)
		return true
	}
	if j := u.state.Jobs[uid]; j != nil && j.Stored {
		u.replyAsLeader(from, 200, u.activeStatus(j))
		return true
	}
	return false
}

// storeSubmission has a job's record written; its users are told once it is durable.
func (u *userRequests) storeSubmission(from requester, uid string, spec *protocol.Spec) {
	j := u.state.AddJob(spec, u.env.wall)
	submission := &pendingSubmission{job: j, waiters: []requester{from}}
	u.pendingSubmissions[uid] = submission
	u.store.Mark(clusterstate.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() {
		delete(u.pendingSubmissions, uid)
		j.Stored = true
		u.env.log.Info("job accepted", "job", uid, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
		u.forecast.recordArrival(j)
		u.placement.fillPending = true
		for _, w := range submission.waiters {
			if u.pending.takePending(w) {
				u.replyAsLeader(w, 201, u.activeStatus(j))
			}
		}
	})
}

// dropAbandonedSubmissions takes back submissions that nobody waits for any more, if they
// have not left: their users were told to come back.
func (u *userRequests) dropAbandonedSubmissions() {
	for _, uid := range sortedKeys(u.pendingSubmissions) {
		submission := u.pendingSubmissions[uid]
		if slices.ContainsFunc(submission.waiters, func(a requester) bool { return u.pending.pendingRequests[a.id] != nil }) {
			continue
		}
		if u.store.Unmark(clusterstate.JobPrefix + uid) {
			delete(u.pendingSubmissions, uid)
			u.state.RemoveJob(uid)
		}
	}
}

// infeasibleReason says why a job can never run here, or nothing.
func (u *userRequests) infeasibleReason(s *protocol.Spec) infeasibility {
	team := u.state.Quotas[s.Team]
	if team == nil {
		return unknownTeam
	}
	need := scheduler.Need{Cores: s.Cores, Accel: s.Accelerators, Mem: s.MemoryGB}
	zones := map[string]bool{}
	for _, t := range u.catalog.types {
		if !need.Fits(t.Size) || s.Types != nil && !slices.Contains(s.Types, t.Name) {
			continue
		}
		for _, z := range t.Zones {
			if s.Zone == "" || s.Zone == z {
				zones[z] = true
			}
		}
	}
	if len(zones) == 0 {
		return noMachineTypeFits
	}
	if s.Gang && s.Spread && s.Tasks > 1 && (s.OneZone || len(zones) == 1) {
		return gangCannotSpread
	}
	whole := need
	if s.Service || s.Gang {
		whole = need.Times(float64(s.Tasks))
	}
	if !(&scheduler.Quota{Maximum: team.Maximum}).WithinMaximum(whole) {
		return exceedsQuotaMaximum
	}
	return feasible
}

// findActiveJob returns an accepted job that is not over. For all else it answers: final
// states never change and may be told even by a leader that can't know whether
// it still is one; the rest only by one that is, with a complete ledger.
func (u *userRequests) findActiveJob(from requester, uid string) *clusterstate.Job {
	if s, ok := u.terminalStatus(uid); ok {
		u.outbox.replyStatus(from, 200, s)
		return nil
	}
	j := u.state.Jobs[uid]
	switch {
	case !u.loader.ready || !u.lease.holdsLease():
		u.outbox.replyUnavailable(from)
	case j == nil:
		u.outbox.replyUntil(from, 404, nil, 0, u.lease.holdsLeaseUntil())
	case !j.Stored:
		u.outbox.replyUnavailable(from) // about to be accepted: not durable yet
	default:
		return j
	}
	return nil
}

// poll answers a user's question.
func (u *userRequests) poll(from requester, uid string) {
	// One that is about to be done or cancelled is told so once that is durable;
	// until then what it was before is still true for its user.
	if j := u.findActiveJob(from, uid); j != nil {
		u.replyAsLeader(from, 200, u.activeStatus(j))
	}
}

// cancel stops a job's tasks; its user is told once the last one is proved gone.
func (u *userRequests) cancel(from requester, uid string) {
	j := u.findActiveJob(from, uid)
	if j == nil || !u.pending.addPending(from) {
		return
	}
	waiting := slices.DeleteFunc(u.cancelWaiters[uid], func(a requester) bool { return u.pending.pendingRequests[a.id] == nil })
	u.cancelWaiters[uid] = append(waiting, from)
	if j.Cancelling || j.Finishing {
		return // answered when that is durable
	}
	u.env.log.Info("job cancellation accepted", "job", uid)
	j.Cancelling = true
	u.store.Mark(clusterstate.JobPrefix+uid, statestore.User, func() any { return j.Record() }, nil)
	// Nothing it does from here on is of use.
	for _, m := range u.machines.sortedMachines() {
		for _, a := range m.Sorted() {
			if a.Job == j {
				u.attempts.requestStop(a, 0, stopJobCancelled)
			}
		}
	}
	u.jobs.completeCancellation(j)
}

// replyCancelled tells those who wait for a job's cancellation what became of it.
func (u *userRequests) replyCancelled(uid string) {
	s, _ := u.terminalStatus(uid)
	for _, a := range u.cancelWaiters[uid] {
		if u.pending.takePending(a) {
			u.outbox.replyStatus(a, 200, s)
		}
	}
	delete(u.cancelWaiters, uid)
}

// abandonSubmission gives up a submission whose record the state service takes in no form: its users come back.
func (u *userRequests) abandonSubmission(uid string) {
	submission := u.pendingSubmissions[uid]
	if submission == nil {
		return
	}

	for _, from := range submission.waiters {
		if u.pending.takePending(from) {
			u.outbox.replyUnavailable(from)
		}
	}
	delete(u.pendingSubmissions, uid)
	u.state.RemoveJob(uid)
}

// replyAsLeader answers with what only a leader may say, and only as long as it is certain
// to be one.
func (u *userRequests) replyAsLeader(to requester, status int, s protocol.JobStatus) {
	u.outbox.replyUntil(to, status, protocol.Encode(s), 0, u.lease.holdsLeaseUntil())
}
