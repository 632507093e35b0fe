package coordination

import (
	"slices"
	"time"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
	"claybarrow/internal/sched"
	"claybarrow/internal/statestore"
)

// Times of the protocol's users: they wait 5 s for a submission or a
// cancellation and 2 s for a poll. Requests are given up well inside that.
const (
	decideWithin = 1500 * time.Millisecond
	relayWithin  = 1300 * time.Millisecond
	comeBack     = 1 // seconds
)

func (c *Core) reply(to requester, status int, body []byte, retryAfter int) {
	c.replyUntil(to, status, body, retryAfter, 0)
}

func (c *Core) replyUntil(to requester, status int, body []byte, retryAfter int, until time.Duration) {
	if to.relay {
		body = protocol.EncodePeer(protocol.RelayReply{Status: status, Body: body, RetryAfter: retryAfter})
		status, retryAfter = 200, 0
	}
	c.out = append(c.out, Reply{ID: to.id, Status: status, Body: body, RetryAfter: retryAfter, Until: until})
}

// tell answers with what only a leader may say, and only as long as it is certain
// to be one.
func (r *term) tell(to requester, status int, s protocol.Standing) {
	r.c.replyUntil(to, status, protocol.Encode(s), 0, r.certainUntil())
}

// refuse answers at once that it can't be decided now.
func (c *Core) refuse(to requester) { c.reply(to, 503, nil, comeBack) }

func (c *Core) standing(to requester, status int, s protocol.Standing) {
	c.reply(to, status, protocol.Encode(s), 0)
}

func (c *Core) request(q Request) {
	from := requester{id: q.ID}
	if c.isResuming() && q.Op.needsLeader() {
		from.relay = q.Op == OpRelay || q.Op == OpForward
		c.refuse(from)
		return
	}
	switch q.Op {
	case OpReady:
		if c.isReady() {
			c.reply(from, 200, nil, 0)
		} else {
			c.refuse(from)
		}
	case OpReport:
		c.onReport(from, q.Body)
	case OpForward:
		var relay protocol.Relay
		from.relay = true
		if protocol.DecodePeer(q.Body, &relay) != nil {
			c.refuse(from)
			return
		}
		if c.term == nil {
			c.passOn(from, q, relay)
			return
		}
		from.by = relay.From
		c.onReport(from, relay.Body)
	case OpHeartbeat:
		c.onHeartbeat(from, q.Body)
	case OpProbe:
		c.onProbe(from, q.Body)
	case OpRelay:
		var relay protocol.Relay
		if protocol.DecodePeer(q.Body, &relay) != nil {
			c.reply(from, 400, nil, 0)
			return
		}
		from.relay = true
		if c.term == nil {
			c.passOn(from, q, relay)
			return
		}
		c.term.user(from, Op(relay.Op), relay.UID, relay.Body)
	default:
		if c.term != nil {
			c.term.user(from, q.Op, q.UID, q.Body)
			return
		}
		c.relay(from, q)
	}
}

// isReady must not flap: the load balancer doubles its pause at each removal.
// A controller is fit for requests while it knows a leader, or lost the last
// one only a moment ago; what can't be decided is answered 503 at once.
func (c *Core) isReady() bool {
	if c.term != nil {
		return c.term.ready || c.now < c.term.since+c.cfg.Lease()
	}
	if !c.view.known && c.view.leader == nil && c.view.leaderless == 0 {
		return false
	}
	// One that can't reach the leader who is there, as connections between
	// controllers are refused, could only send its users away one by one.
	if d := &c.follower; d.failed && len(c.cfg.Siblings) > 0 {
		patience := c.cfg.Lease() / 2
		if c.view.known && c.view.leader != nil {
			patience = min(2*c.cfg.LeaderTTL(), c.cfg.Lease()*3/20)
		}
		if c.now > d.lostAt+patience {
			return false
		}
	}
	return c.leaderLabel() != "" || c.now < c.view.leaderless+c.cfg.Lease()/2
}

// relay passes a user's request on to the leader.
func (c *Core) relay(from requester, q Request) {
	if q.Op == OpSubmit {
		// What is malformed needs no leader, unless the id may be known to it.
		if uid, _, err := protocol.ParseSubmission(q.Body); err != nil && !protocol.ValidUID(uid) {
			c.reply(from, 400, nil, 0)
			return
		}
	}
	c.relayToLeader(from, c.leaderLabel(), "/relay", protocol.Relay{Op: string(q.Op), UID: q.UID, Body: q.Body})
}

// expirePending answers what was given up, at once and finally.
func (c *Core) expirePending() {
	for _, id := range sortedRequests(c.pendingRequests) {
		if w := c.pendingRequests[id]; c.now >= w.deadline {
			delete(c.pendingRequests, id)
			c.refuse(w.from)
		}
	}
}

// wait notes that the requester is answered later, or refused at its deadline.
func (r *term) wait(from requester) bool {
	if len(r.c.pendingRequests) >= r.c.cfg.Cluster.Resources.FDs/2 {
		r.c.reply(from, 429, nil, comeBack)
		return false
	}
	r.c.pendingRequests[from.id] = &pendingRequest{from: from, deadline: r.c.now + decideWithin}
	return true
}

// refusePending answers all that wait, at once and with when to come back.
func (r *term) refusePending() {
	for _, id := range sortedRequests(r.c.pendingRequests) {
		w := r.c.pendingRequests[id]
		delete(r.c.pendingRequests, id)
		r.c.refuse(w.from)
	}
}

// waiting says whether the requester still waits, and ends that.
func (r *term) waiting(from requester) bool {
	if r.c.pendingRequests[from.id] == nil {
		return false
	}
	delete(r.c.pendingRequests, from.id)
	return true
}

func (r *term) user(from requester, op Op, uid string, body []byte) {
	switch op {
	case OpSubmit:
		r.submit(from, body)
	case OpPoll:
		r.poll(from, uid)
	case OpCancel:
		r.cancel(from, uid)
	default:
		r.c.reply(from, 400, nil, 0)
	}
}

func (r *term) terminalStanding(uid string) (protocol.Standing, bool) {
	f, ok := r.Terminal[uid]
	if !ok {
		return protocol.Standing{}, false
	}
	if f.Cancelled {
		return protocol.Standing{UID: uid, State: protocol.Cancelled}, true
	}
	return protocol.Standing{UID: uid, State: protocol.Done, Done: f.Tasks}, true
}

func (r *term) activeStanding(j *ledger.Job) protocol.Standing {
	s := protocol.Standing{UID: j.Spec.UID, State: protocol.Pending, Done: j.Done, Running: j.Running}
	if j.Running > 0 {
		s.State = protocol.Active
	}
	return s
}

func (r *term) submit(from requester, body []byte) {
	c := r.c
	uid, spec, err := protocol.ParseSubmission(body)
	// A job accepted before is answered first, whatever its repeat holds.
	if s, ok := r.terminalStanding(uid); ok {
		c.standing(from, 200, s)
		return
	}
	if !r.ready || !r.certain() {
		c.refuse(from)
		return
	}
	if j := r.Jobs[uid]; j != nil && j.Stored {
		r.tell(from, 200, r.activeStanding(j))
		return
	}
	if err != nil {
		c.log.Info("malformed submission", "job", uid, "err", err)
		c.reply(from, 400, nil, 0)
		return
	}
	if p := r.proposals[uid]; p != nil {
		if r.wait(from) {
			p.wants = append(p.wants, from)
		}
		return
	}
	if len(c.types) == 0 {
		c.refuse(from)
		return
	}
	if why := r.neverRuns(spec); why != "" {
		c.log.Info("can never run", "job", uid, "why", why)
		c.reply(from, 422, nil, 0)
		return
	}
	if !r.wait(from) {
		return
	}
	j := r.AddJob(spec, c.wall)
	p := &proposal{job: j, wants: []requester{from}}
	r.proposals[uid] = p
	r.records.Mark(ledger.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() {
		delete(r.proposals, uid)
		j.Stored = true
		c.log.Info("accepted", "job", uid, "class", spec.Class, "team", spec.Team, "tasks", spec.Tasks)
		r.noteArrival(j)
		r.fillDirty = true
		for _, w := range p.wants {
			if r.waiting(w) {
				r.tell(w, 201, r.activeStanding(j))
			}
		}
	})
}

// dropStale takes back submissions that nobody waits for any more, if they
// have not left: their users were told to come back.
func (r *term) dropStale() {
	for _, uid := range sortedKeys(r.proposals) {
		p := r.proposals[uid]
		if slices.ContainsFunc(p.wants, func(a requester) bool { return r.c.pendingRequests[a.id] != nil }) {
			continue
		}
		if r.records.Unmark(ledger.JobPrefix + uid) {
			delete(r.proposals, uid)
			r.RemoveJob(uid)
		}
	}
}

// neverRuns says why a job can never run here, or nothing.
func (r *term) neverRuns(s *protocol.Spec) string {
	c := r.c
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
func (r *term) find(from requester, uid string) *ledger.Job {
	c := r.c
	if s, ok := r.terminalStanding(uid); ok {
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

func (r *term) poll(from requester, uid string) {
	// One that is about to be done or cancelled is told so once that is durable;
	// until then what it was before is still true for its user.
	if j := r.find(from, uid); j != nil {
		r.tell(from, 200, r.activeStanding(j))
	}
}

func (r *term) cancel(from requester, uid string) {
	c := r.c
	j := r.find(from, uid)
	if j == nil || !r.wait(from) {
		return
	}
	waiting := slices.DeleteFunc(r.cancels[uid], func(a requester) bool { return c.pendingRequests[a.id] == nil })
	r.cancels[uid] = append(waiting, from)
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

// settleCancel records the end of a cancelled job, and then tells of it, once its
// last task is proved gone. A follower in a zone that is cut off may keep a task
// alive for longer than cancel_s, but only of a job whose user has not been told.
// The request itself is stored at once: a user who has not been told asks again, but
// gives up after a while, and the job must not run on after a change of leader.
func (r *term) settleCancel(j *ledger.Job) {
	if !j.Cancelling || j.Finishing || j.HeldTotal > 0 {
		return
	}
	uid := j.Spec.UID
	j.Finishing = true
	r.withdrawFailures(j)
	r.records.Mark(ledger.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() {
		r.Terminal[uid] = ledger.TerminalState{Cancelled: true}
		r.ends.jobOver(j)
		r.dropChunks(j)
		r.answerCancels(uid)
		r.RemoveJob(uid)
	})
}

func (r *term) answerCancels(uid string) {
	s, _ := r.terminalStanding(uid)
	for _, a := range r.cancels[uid] {
		if r.waiting(a) {
			r.c.standing(a, 200, s)
		}
	}
	delete(r.cancels, uid)
}

// finish writes a job's final state; its user is told once that is durable.
func (r *term) finish(j *ledger.Job) {
	if j.Finishing {
		return
	}
	uid := j.Spec.UID
	// What ended before it could be cancelled is done.
	j.Finishing, j.Cancelling = true, false
	r.records.Mark(ledger.JobPrefix+uid, statestore.User, func() any { return j.Record() }, func() {
		r.c.log.Info("done", "job", uid)
		r.Terminal[uid] = ledger.TerminalState{Tasks: j.Spec.Tasks}
		r.ends.jobOver(j)
		r.dropChunks(j)
		r.answerCancels(uid)
		r.RemoveJob(uid)
	})
}

func (r *term) dropChunks(j *ledger.Job) {
	for _, key := range r.DoneKeys(j) {
		if r.records.Version(key) != 0 || r.records.IsPending(key) {
			r.records.Mark(key, statestore.Lazy, func() any { return nil }, nil)
		}
	}
}
