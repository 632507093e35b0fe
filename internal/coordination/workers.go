package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// machines lists the machines in a fixed order, so runs replay.
func (r *term) machines() []*ledger.Machine { return r.SortedMachines() }

// onReport takes a worker's report.
func (c *Core) onReport(from asker, body []byte) {
	var msg protocol.Report
	if err := protocol.Decode(body, &msg); err != nil || msg.Machine == "" {
		c.reply(from, 400, nil, 0)
		return
	}
	r := c.term
	if r == nil {
		if c.standsIn(&msg) {
			c.standIn(from, &msg)
			return
		}
		if c.forwards(&msg) {
			c.forward(from, &msg, body)
			return
		}
		leader := c.leaderLabel()
		if leader == "" || leader == c.cfg.Label {
			c.refuse(from)
			return
		}
		c.reply(from, 421, protocol.Encode(protocol.Elsewhere{Leader: leader}), 0)
		return
	}
	if !r.ready {
		c.refuse(from)
		return
	}
	m, fresh := r.observe(&msg, true)
	if c.term != r {
		c.refuse(from)
		return
	}
	if !fresh {
		// A late copy, or a machine that is gone: no evidence and no sign of
		// life, and an answer would reach nobody.
		c.refuse(from)
		return
	}
	if label := r.reporter(m, &msg); label != "" && !from.relay {
		c.reply(from, 421, protocol.Encode(protocol.Elsewhere{Leader: label}), 0)
		return
	}
	if !from.relay {
		r.reached(c.now)
	}
	m.Answered = c.now
	reply := protocol.ReportReply{Token: r.token, Commands: r.commands(m, true)}
	c.reply(from, 200, protocol.Encode(reply), 0)
}

// observe takes a worker's report, sent by itself or as an answer to a direct
// request. It returns false for what is not the machine's newest message.
func (r *term) observe(msg *protocol.Report, reported bool) (*ledger.Machine, bool) {
	c := r.c
	if msg.Token > r.token {
		c.endTerm("a worker has seen a higher token")
		return nil, false
	}
	if r.tombs[msg.Machine] != 0 {
		return nil, false
	}
	m := r.Machines[msg.Machine]
	if m == nil {
		// Nobody expected it: it is used, or returned when idle.
		c.log.Info("unexpected machine", "machine", msg.Machine, "type", msg.Type, "zone", msg.Zone)
		m = r.AddMachine(msg.Machine)
		m.Exists, m.Rented = c.now, c.now
	}
	if m.Type == "" {
		m.Type, m.Zone, m.Spot = msg.Type, msg.Zone, msg.Spot
	}
	m.Size = r.sizeOf(m.Type)
	if msg.Addr != "" {
		m.Addr = msg.Addr
	}
	if msg.Session < m.Session || (msg.Session == m.Session && msg.Seq <= m.Seq) || msg.Session <= m.DeadSession {
		return m, false
	}
	lapsed := m.Known && msg.Session > m.Session
	if !m.Known {
		m.IdleSince = c.now
	}
	if !m.Up {
		c.log.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
	}
	// Deafness: its session lapsed although we answered all the while, or
	// several answered reports in a row still show an old token.
	if lapsed && m.Answered > 0 && c.now-m.Answered < c.cfg.Lease()/2 {
		m.Deaf += 3
		m.AsideUntil = c.now + 2*c.cfg.Lease()
		c.log.Info("answers don't reach the machine", "machine", m.ID, "session", msg.Session)
	} else if reported && m.Answered > 0 && msg.Token < r.token {
		m.Deaf++
	} else if msg.Token == r.token && !lapsed && c.now > m.AsideUntil {
		m.Deaf = 0
	}
	m.Session, m.Seq, m.Token = msg.Session, msg.Seq, msg.Token
	if reported {
		m.ReportSeq = msg.Seq
	}
	m.Heard, m.Known, m.Up = c.now, true, true
	if lapsed {
		c.log.Info("session lapsed", "machine", m.ID, "session", msg.Session)
	}
	ours := msg.Token == r.token
	if ours && !m.Fresh {
		m.Fresh, m.FreshAt = true, c.now
		r.fillDirty = true
	}
	if msg.NoticeS != nil {
		by := c.now + seconds(max(0, min(*msg.NoticeS, 1e6)))
		if !m.Notice {
			c.log.Info("notice", "machine", m.ID, "seconds", *msg.NoticeS)
			m.Notice, m.NoticeBy = true, by
			r.fillDirty = true
		}
		m.NoticeBy = min(m.NoticeBy, by)
	}
	r.compare(m, msg, ours)
	return m, true
}

// compare sets the books against the newest message.
func (r *term) compare(m *ledger.Machine, msg *protocol.Report, ours bool) {
	seen := map[ledger.Key]bool{}
	for _, t := range msg.Tasks {
		key := ledger.Key{Task: t.Task, Try: t.Attempt}
		seen[key] = true
		if t.State == protocol.Exited {
			r.onExit(m, key, t)
			continue
		}
		a := m.Attempts[key]
		if a == nil {
			a = r.foreign(m, key)
			if a == nil {
				continue
			}
		}
		a.Acked, a.Sent = true, true
		a.Session = m.Session
		if a.State != t.State {
			a.SetState(t.State)
			if t.State == protocol.Running {
				m.Images[a.Job.Spec.Image] = true
				r.c.log.Debug("running", "task", t.Task, "try", t.Attempt, "machine", m.ID)
			}
		}
	}
	var missing []*ledger.Attempt // mostly none, and nothing to sort
	for key, a := range m.Attempts {
		if !seen[key] && a.Sent {
			missing = m.Sorted()
			break
		}
	}
	for _, a := range missing {
		if seen[a.Key()] || !a.Sent {
			continue
		}
		// Proofs of absence: a later session than any run of it named, or a
		// message with our token after its run was answered. Without our token
		// the message may be old, and a run of an earlier leader under way.
		// Of one that is to be stopped it is also enough that no run of it can be
		// on its way: none was lost, and a report was sent after the last answer
		// that carried one. Without this a task whose runs had all been refused
		// was waited for until its machine's session ended.
		lapsed := !a.Loaded && a.Session < m.Session
		never := a.Halt && !a.Lost && m.ReportSeq > a.RunSeq
		if lapsed || (ours && (a.Acked || a.Loaded || never) && a.Flying == 0) {
			r.gone(a, "absent from the machine's report")
		}
	}
	for key := range m.Exited {
		if ours && !seen[key] {
			delete(m.Exited, key)
		}
	}
	for key := range m.Strays {
		// Gone or ended: with any left the machine takes no work.
		if m.Exited[key] != nil || ours && !seen[key] {
			delete(m.Strays, key)
		}
	}
}

// foreign notes an attempt that the books did not have on that machine. Its
// presence blocks a second start; it is halted.
func (r *term) foreign(m *ledger.Machine, key ledger.Key) *ledger.Attempt {
	uid, index, ok := ledger.ParseTask(key.Task)
	if !ok {
		return nil
	}
	j := r.Jobs[uid]
	if j == nil || index >= j.Spec.Tasks {
		if m.Strays == nil {
			m.Strays = map[ledger.Key]time.Duration{}
		}
		if _, known := m.Strays[key]; !known {
			r.c.log.Info("stray task", "task", key.Task, "try", key.Try, "machine", m.ID)
			m.Strays[key] = 0
		}
		return nil
	}
	r.c.log.Info("task not in the books", "task", key.Task, "try", key.Try, "machine", m.ID)
	a := r.Put(m, j, index, key.Try, r.c.now)
	a.Durable, a.Loaded = true, true
	r.halt(a, j.Spec.SaveS, "not in the books")
	r.record(m, writeLazy, nil)
	return a
}

// onExit takes the end of an attempt.
func (r *term) onExit(m *ledger.Machine, key ledger.Key, t protocol.TaskReport) {
	if g := m.Exited[key]; g != nil {
		return
	}
	c := r.c
	g := &ledger.Gone{Attempt: m.Attempts[key], Ready: true}
	m.Exited[key] = g
	uid, index, ok := ledger.ParseTask(key.Task)
	j := r.Jobs[uid]
	if !ok || j == nil || index >= j.Spec.Tasks {
		if g.Attempt != nil {
			r.gone(g.Attempt, t.Cause)
		}
		return
	}
	c.log.Debug("exited", "task", key.Task, "try", key.Try, "machine", m.ID, "cause", t.Cause)
	switch t.Cause {
	case protocol.CauseDone:
		j.Failures, m.Errors = 0, 0
		if j.Spec.Service || j.Cancelling && j.Finishing {
			break
		}
		m.Images[j.Spec.Image] = true
		if j.Spec.Gang {
			// If one task is done, all are; what tells so is kept until it is durable.
			for i := range j.Spec.Tasks {
				j.MarkDone(i)
			}
			g.Ready = false
			r.finish(j)
			r.mark(ledger.JobPrefix+uid, writeUser, func() any { return j.Record() }, func() { g.Ready = true })
			break
		}
		if j.MarkDone(index) || !j.Finishing {
			g.Ready = false
			ready := func() { g.Ready = true }
			if j.Done == j.Spec.Tasks {
				r.finish(j) // also if its cancellation was under way
				r.mark(ledger.JobPrefix+uid, writeUser, func() any { return j.Record() }, ready)
			} else {
				r.mark(r.DoneKey(j, index), writeDone, func() any { return r.DoneChunk(j, index) }, ready)
			}
		}
	case protocol.CauseError:
		r.onError(m, j, key)
	case protocol.CauseNoRoom, protocol.CauseBusy:
		// The machine knows better than the books: leave it alone a moment.
		m.AsideUntil = max(m.AsideUntil, c.now+c.cfg.Report())
	case protocol.CauseHalted, protocol.CauseMatesGone:
	case protocol.CauseIncomplete:
		if c.now >= j.NotBefore {
			r.backOff(j) // once for all its tasks
		}
	default:
		r.backOff(j)
	}
	if g.Attempt != nil {
		r.gone(g.Attempt, t.Cause)
	}
}

// onError tells a faulty machine from a faulty job: a job that fails on many
// machines waits longer and longer; a machine where several jobs fail is set
// aside and returned.
func (r *term) onError(m *ledger.Machine, j *ledger.Job, key ledger.Key) {
	c := r.c
	if j.FailedOn == nil {
		j.FailedOn = map[string]bool{}
	}
	j.FailedOn[m.ID] = true
	c.log.Info("task failed", "task", key.Task, "machine", m.ID, "failures", j.Failures+1, "machines", len(j.FailedOn))
	r.backOff(j)
	if len(j.FailedOn) >= 3 {
		return // the job's fault
	}
	m.Errors++
	m.AsideUntil = max(m.AsideUntil, c.now+c.cfg.Lease())
	if m.Errors >= 3 {
		m.AsideUntil = c.now + 100*c.cfg.Lease()
		c.log.Info("machine is faulty", "machine", m.ID)
	}
}

// backOff delays a failing job, and counts the time as attained service: a job
// that fails at once would keep the top rank for ever otherwise.
func (r *term) backOff(j *ledger.Job) {
	j.Failures++
	// At most a lease: a job that waits for longer with room beside it is stuck.
	wait := min(r.c.cfg.Report()*time.Duration(int64(1)<<min(j.Failures-1, 5)), r.c.cfg.Lease())
	j.NotBefore = max(j.NotBefore, r.c.now+wait)
	j.Scale.Attained += wait.Seconds() * shareOf(j, r.capacity())
}

// gone takes an attempt that is proved gone out of the books.
func (r *term) gone(a *ledger.Attempt, why string) {
	m := a.Machine
	r.Drop(a)
	if len(m.Attempts) == 0 {
		m.IdleSince = r.c.now
	}
	r.c.log.Debug("gone", "task", a.Key().Task, "try", a.Try, "machine", m.ID, "why", why)
	j := a.Job
	if !j.Spec.Service && a.Sent && !a.Yielded && !j.IsDone(a.Index) && why != protocol.CauseError && why != protocol.CauseNoRoom {
		j.Interrupted(a.Index)
	}
	r.settleCancel(j)
	if why == protocol.CauseIncomplete || why == protocol.CauseMatesGone || a.Halt || !j.Gathering() {
		// Otherwise the rest still gathers: the task starts anew under its number, as
		// its old place is proved empty and no run can be on its way there.
		r.haltMates(a, 0, "a task of its gang is gone")
	}
	if m.Recorded {
		r.record(m, writeLazy, nil)
	}
	r.fillDirty = true
}

// record marks the machine's record to be written.
func (r *term) record(m *ledger.Machine, kind int, then func()) {
	r.mark(ledger.MachinePrefix+m.ID, kind, func() any {
		if r.Machines[m.ID] != m {
			return nil
		}
		m.Recorded = true
		return m.Record()
	}, then)
}

// halt has an attempt stopped. What never left is dropped at once.
func (r *term) halt(a *ledger.Attempt, grace float64, why string) {
	if a.Halt && grace >= a.Grace {
		return
	}
	if a.Halt {
		a.HaltSent = 0
	}
	a.Halt, a.Grace = true, grace
	if a.Job.Spec.Gang && grace > 0 {
		a.Grace += r.c.cfg.GangPeer().Seconds() // a task that has saved waits for the others
	}
	r.c.log.Debug("halt", "task", a.Key().Task, "try", a.Try, "machine", a.Machine.ID, "why", why)
	if a.Durable && !a.Sent {
		r.gone(a, "never sent")
	} else {
		r.kick(a.Machine)
	}
	r.haltMates(a, grace, why)
}

// haltMates has the rest of a gang stopped with one of its tasks: it stops whole,
// and its progress is saved only if all are told within gang_peer_s.
func (r *term) haltMates(a *ledger.Attempt, grace float64, why string) {
	if a.Job.Finishing {
		return // one is done, so all are
	}
	for _, mate := range slices.Clone(a.Job.Gang) {
		if mate != a && mate.Try == a.Try && !mate.Halt {
			r.halt(mate, grace, why)
		}
	}
}

// nothingToSay tells most machines of a fleet apart without any list being made:
// each is looked at at every tick.
func nothingToSay(m *ledger.Machine) bool {
	if len(m.Exited) > 0 || len(m.Strays) > 0 {
		return false
	}
	for _, a := range m.Attempts {
		if a.Halt || a.Durable && !a.Acked && !a.Loaded {
			return false
		}
	}
	return true
}

// commands lists what the worker is to do now. Directly sent ones go once;
// those in a report's answer fill in where the direct way fails.
func (r *term) commands(m *ledger.Machine, inReply bool) []protocol.Command {
	c := r.c
	if inReply && m.Calling || nothingToSay(m) {
		return nil
	}
	var out []protocol.Command
	again := c.cfg.Report()
	for _, a := range m.Sorted() {
		key := a.Key()
		run := protocol.Command{Verb: protocol.VerbRun, Task: key.Task, Attempt: a.Try}
		mayRun := a.Durable && !a.Acked && !a.Loaded && !m.Returning && r.certain() &&
			// A gang's runs leave together, once all its places are durable.
			(!a.Job.Spec.Gang || a.Halt || a.Job.Whole())
		if a.Halt {
			if a.State == protocol.Saving && c.now < a.HaltSent+seconds(a.Grace)+2*again {
				continue
			}
			if a.HaltSent > 0 && c.now < a.HaltSent+again {
				continue
			}
			if a.Lost && !a.Acked {
				// A run that may have been lost, or may come later still: it
				// is made certain by a repeat that is halted in the same
				// breath. Of a cancelled job, no user has been told yet.
				if !mayRun {
					continue
				}
				out = append(out, run)
				r.sent(a, m, inReply)
			}
			grace := a.Grace
			if a.State == protocol.Saving {
				grace = 0
			}
			a.HaltSent = c.now
			out = append(out, protocol.Command{Verb: protocol.VerbHalt, Task: key.Task, Attempt: a.Try, GraceS: grace})
			continue
		}
		if mayRun && (!inReply || m.CallFails > 0) {
			out = append(out, run)
			r.sent(a, m, inReply)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(m.Strays), compareKeys) {
		if c.now >= m.Strays[key]+again {
			m.Strays[key] = c.now
			out = append(out, protocol.Command{Verb: protocol.VerbHalt, Task: key.Task, Attempt: key.Try})
		}
	}
	if m.Fresh {
		for _, key := range slices.SortedFunc(maps.Keys(m.Exited), compareKeys) {
			g := m.Exited[key]
			if a := g.Attempt; !g.Ready || (g.Sent > 0 && c.now < g.Sent+again) ||
				// After a clear, a repeated run would start it again: none may
				// be under way.
				(a != nil && (a.Flying > 0 || a.Lost || a.RunSeq > 0 && m.ReportSeq <= a.RunSeq)) {
				continue
			}
			g.Sent = c.now
			out = append(out, protocol.Command{Verb: protocol.VerbClear, Task: key.Task, Attempt: key.Try})
		}
	}
	return out
}

func compareKeys(a, b ledger.Key) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Try, b.Try))
}

func (r *term) sent(a *ledger.Attempt, m *ledger.Machine, inReply bool) {
	a.Sent, a.Session = true, m.Session
	if inReply {
		a.RunSeq = m.ReportSeq
	} else {
		a.Flying++
	}
}

// doubtful says whether a direct request to the machine may well hang.
func (r *term) doubtful(m *ledger.Machine) bool { return !m.Fresh || m.CallFails > 0 }

// callWithin bounds a direct request to a worker: one that takes longer is as
// good as unanswered, however long the workers' lease.
const callWithin = 1600 * time.Millisecond

// kick sends what there is to send directly, one request at a time.
func (r *term) kick(m *ledger.Machine) {
	c := r.c
	if m.Calling || m.Addr == "" || c.now < m.NextCall || !r.ready || c.term != r {
		return
	}
	// An empty request brings our token to a machine that may be up, and tells
	// whether the direct way works again. A booting one would only time out.
	greet := (!m.Fresh && !m.Greeted && (m.Up || m.Listed)) || m.CallFails > 0 ||
		// A report is overdue: is the machine there at all?
		(m.Known && m.Session > m.DeadSession && c.now > m.Heard+c.cfg.Report()*3/2) ||
		// Others did not answer: is it them, or can't we reach anybody?
		r.probes(m)
	if !m.Known && !greet {
		return
	}
	// Calls wait for one another before anything is noted as sent: a take-over of
	// hundreds of machines, or a dark zone whose calls all hang, must not take the
	// sockets, and what answers must not wait for what hangs.
	fds := c.cfg.Cluster.Resources.FDs
	if r.calling >= fds/8 || r.doubtful(m) && r.hanging >= fds/12 {
		return
	}
	cmds := r.commands(m, false)
	if len(cmds) == 0 && !greet {
		return
	}
	r.calling++
	doubtful := r.doubtful(m)
	if doubtful {
		r.hanging++
	}
	m.Calling, m.Greeted = true, true
	var runs []*ledger.Attempt
	for _, cmd := range cmds {
		if cmd.Verb == protocol.VerbRun {
			runs = append(runs, m.Attempts[ledger.Key{Task: cmd.Task, Try: cmd.Attempt}])
		}
	}
	body := protocol.Commands{Token: r.token, Session: m.Session, Commands: cmds}
	if body.Commands == nil {
		body.Commands = []protocol.Command{}
	}
	called := c.now
	c.call(ToWorker, m.Addr, "POST", "/commands", body, min(c.cfg.Lease()/10, callWithin), func(res Result) {
		if c.term != r {
			return
		}
		m.Calling = false
		if res.Status != 0 {
			r.reached(c.now)
		} else if m.Heard > called {
			r.missed(m.ID, c.now)
		}
		r.calling--
		if doubtful {
			r.hanging--
		}
		for _, a := range runs {
			a.Flying--
			switch res.Status {
			case 200:
				a.Acked = true
			case 409:
			default:
				a.Lost = true
			}
		}
		if r.Machines[m.ID] != m {
			return
		}
		if res.Status != 200 && res.Status != 409 {
			m.CallFails++
			m.NoConn, m.FailedAt = res.NoConn, called
			m.Greeted = false
			m.NextCall = c.now + min(c.cfg.Report()/2, c.cfg.LeaderTTL()*2/3)*time.Duration(min(m.CallFails, 4))
			return
		}
		m.CallFails, m.NoConn = 0, false
		var msg protocol.Report
		if protocol.Decode(res.Body, &msg) != nil || msg.Machine != m.ID {
			m.NextCall = c.now + c.cfg.Report()
			return
		}
		r.observe(&msg, false)
		if c.term != r {
			return
		}
		if res.Status == 409 {
			// The session was not the one we thought; its answer says which.
			m.Greeted = false
			m.NextCall = c.now + c.cfg.Report()/20
			if msg.Session == body.Session {
				m.NextCall = c.now + c.cfg.Report()
			}
		}
		r.kick(m)
	})
}

// watchMachines looks at what time alone tells.
func (r *term) watchMachines() {
	c := r.c
	for _, m := range r.machines() {
		if m.Notice {
			r.beforeNotice(m)
		}
		if len(m.Attempts) > 0 && r.mute(m) {
			// Its lease runs out: what is there goes on elsewhere sooner.
			for _, a := range m.Sorted() {
				r.halt(a, a.Job.Spec.SaveS, "the machine reaches no controller")
			}
		}
		r.kick(m)
		if c.term != r {
			return
		}
		if len(m.Attempts) == 0 && m.Session <= m.DeadSession {
			continue
		}
		if !r.leaseOver(m) {
			continue
		}
		if m.Known {
			m.DeadSession = m.Session
			c.log.Info("machine is silent, its lease is over", "machine", m.ID, "tasks", len(m.Attempts))
		}
		m.Fresh, m.Greeted = false, false
		for _, a := range m.Sorted() {
			r.gone(a, "the worker's lease is over")
		}
		clear(m.Exited)
		clear(m.Strays)
	}
}

// beforeNotice has tasks with checkpoints saved before the machine is taken.
func (r *term) beforeNotice(m *ledger.Machine) {
	c := r.c
	for _, a := range m.Sorted() {
		s := a.Job.Spec
		if s.CheckpointS <= 0 {
			continue
		}
		if c.now > m.NoticeBy-seconds(s.SaveS)-2*c.cfg.Report()-c.cfg.Lease()/10 {
			r.halt(a, s.SaveS+1, "the machine is taken back")
		}
	}
}
