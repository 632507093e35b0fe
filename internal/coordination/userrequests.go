package coordination

import (
	"slices"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
	"claybarrow/internal/sched"
	"claybarrow/internal/statestore"
)

// userRequests are what users ask of a leader: submissions whose records are being written, and
// cancellations whose users wait for the last task's end.
type userRequests struct {
	term      *term
	proposals map[string]*proposal
	cancels   map[string][]requester
}

// proposal is a submission whose record is being written.
type proposal struct {
	job   *ledger.Job
	wants []requester
}

func newUserRequests(r *term) userRequests {
	return userRequests{term: r, proposals: map[string]*proposal{}, cancels: map[string][]requester{}}
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
		u.term.c.reply(from, 400, nil, 0)
	}
}

// terminalStanding is the final state of a job that is over.
func (u *userRequests) terminalStanding(uid string) (protocol.Standing, bool) {
	f, ok := u.term.Terminal[uid]
	if !ok {
		return protocol.Standing{}, false
	}
	if f.Cancelled {
		return protocol.Standing{UID: uid, State: protocol.Cancelled}, true
	}
	return protocol.Standing{UID: uid, State: protocol.Done, Done: f.Tasks}, true
}

// activeStanding is the state of a job that is not over.
func (u *userRequests) activeStanding(j *ledger.Job) protocol.Standing {
	s := protocol.Standing{UID: j.Spec.UID, State: protocol.Pending, Done: j.Done, Running: j.Running}
	if j.Running > 0 {
		s.State = protocol.Active
	}
	return s
}

// submit takes a submission, or says why it is not taken.
func (u *userRequests) submit(from requester, body []byte) {
	r, c := u.term, u.term.c
	uid, spec, err := protocol.ParseSubmission(body)
	if u.answersKnown(from, uid) {
		return
	}
	if err != nil {
		c.log.Info("malformed submission", "job", uid, "err", err)
		c.reply(from, 400, nil, 0)
		return
	}
	if p := u.proposals[uid]; p != nil {
		if r.wait(from) {
			p.wants = append(p.wants, from)
		}
		return
	}
	if len(c.types) == 0 {
		c.refuse(from)
		return
	}
	if why := u.neverRuns(spec); why != "" {
		c.log.Info("can never run", "job", uid, "why", why)
		c.reply(from, 422, nil, 0)
		return
	}
	if r.wait(from) {
		u.propose(from, uid, spec)
	}
}

// answersKnown answers a submission that can be answered by its id alone: a job accepted before is answered
// first, whatever its repeat holds, and who is not certainly the leader decides nothing.
func (u *userRequests) answersKnown(from requester, uid string) bool {
	r, c := u.term, u.term.c
	if s, ok := u.terminalStanding(uid); ok {
		c.standing(from, 200, s)
		return true
	}
	if !r.ready || !r.certain() {
		c.refuse(from)
		return true
	}
	if j := r.Jobs[uid]; j != nil && j.Stored {
		r.tell(from, 200, u.activeStanding(j))
		return true
	}
	return false
}

// propose has a job's record written; its users are told once it is durable.
func (u *userRequests) propose(from requester, uid string, spec *protocol.Spec) {
	r, c := u.term, u.term.c
	j := r.AddJob(spec, c.wall)
	p := &proposal{job: j, wants: []requester{from}}
	u.proposals[uid] = p
	r.records.Mark(ledger.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() {
		delete(u.proposals, uid)
		j.Stored = true
		c.log.Info("accepted", "job", uid, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
		r.noteArrival(j)
		r.fillDirty = true
		for _, w := range p.wants {
			if r.waiting(w) {
				r.tell(w, 201, u.activeStanding(j))
			}
		}
	})
}

// dropStale takes back submissions that nobody waits for any more, if they
// have not left: their users were told to come back.
func (u *userRequests) dropStale() {
	r := u.term
	for _, uid := range sortedKeys(u.proposals) {
		p := u.proposals[uid]
		if slices.ContainsFunc(p.wants, func(a requester) bool { return r.c.pendingRequests[a.id] != nil }) {
			continue
		}
		if r.records.Unmark(ledger.JobPrefix + uid) {
			delete(u.proposals, uid)
			r.RemoveJob(uid)
		}
	}
}

// neverRuns says why a job can never run here, or nothing.
func (u *userRequests) neverRuns(s *protocol.Spec) string {
	r, c := u.term, u.term.c
	team := r.Teams[s.Team]
	if team == nil {
		return "unknown team"
	}
	need := sched.Need{Cores: s.Cores, Accel: s.Accelerators, Mem: s.MemoryGB}
	zones := map[string]bool{}
	for _, t := range c.types {
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
		return "a task fits no allowed machine type"
	}
	if s.Gang && s.Spread && s.Tasks > 1 && (s.OneZone || len(zones) == 1) {
		return "the whole gang can't be spread over one zone"
	}
	whole := need
	if s.Service || s.Gang {
		whole = need.Times(float64(s.Tasks))
	}
	if !(&sched.Team{Limit: team.Limit}).InLimit(whole) {
		return "more than the team's limit"
	}
	return ""
}

// find returns an accepted job that is not over. For all else it answers: final
// states never change and may be told even by a leader that can't know whether
// it still is one; the rest only by one that is, with a complete ledger.
func (u *userRequests) find(from requester, uid string) *ledger.Job {
	r, c := u.term, u.term.c
	if s, ok := u.terminalStanding(uid); ok {
		c.standing(from, 200, s)
		return nil
	}
	j := r.Jobs[uid]
	switch {
	case !r.ready || !r.certain():
		c.refuse(from)
	case j == nil:
		c.replyUntil(from, 404, nil, 0, r.certainUntil())
	case !j.Stored:
		c.refuse(from) // about to be accepted: not durable yet
	default:
		return j
	}
	return nil
}

// poll answers a user's question.
func (u *userRequests) poll(from requester, uid string) {
	r := u.term
	// One that is about to be done or cancelled is told so once that is durable;
	// until then what it was before is still true for its user.
	if j := u.find(from, uid); j != nil {
		r.tell(from, 200, u.activeStanding(j))
	}
}

// cancel stops a job's tasks; its user is told once the last one is proved gone.
func (u *userRequests) cancel(from requester, uid string) {
	r, c := u.term, u.term.c
	j := u.find(from, uid)
	if j == nil || !r.wait(from) {
		return
	}
	waiting := slices.DeleteFunc(u.cancels[uid], func(a requester) bool { return c.pendingRequests[a.id] == nil })
	u.cancels[uid] = append(waiting, from)
	if j.Cancelling || j.Finishing {
		return // answered when that is durable
	}
	c.log.Info("cancelling", "job", uid)
	j.Cancelling = true
	r.records.Mark(ledger.JobPrefix+uid, statestore.User, func() any { return j.Record() }, nil)
	// Nothing it does from here on is of use.
	for _, m := range r.machines() {
		for _, a := range m.Sorted() {
			if a.Job == j {
				r.halt(a, 0, "cancelled")
			}
		}
	}
	r.settleCancel(j)
}

// answerCancels tells those who wait for a job's cancellation what became of it.
func (u *userRequests) answerCancels(uid string) {
	r := u.term
	s, _ := u.terminalStanding(uid)
	for _, a := range u.cancels[uid] {
		if r.waiting(a) {
			r.c.standing(a, 200, s)
		}
	}
	delete(u.cancels, uid)
}

// abandon gives up a submission whose record the state service takes in no form: its users come back.
func (u *userRequests) abandon(uid string) {
	p := u.proposals[uid]
	if p == nil {
		return
	}
	r := u.term
	for _, from := range p.wants {
		if r.waiting(from) {
			r.c.refuse(from)
		}
	}
	delete(u.proposals, uid)
	r.RemoveJob(uid)
}
