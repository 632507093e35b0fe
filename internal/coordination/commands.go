package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"claybarrow/internal/budget"
	"claybarrow/internal/config"
	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
)

// halt has an attempt stopped, and with it all of its gang.
func (r *term) halt(a *ledger.Attempt, grace float64, why string) {
	if a.Job.Gang != nil && !a.Job.Finishing {
		r.haltGang(a.Job, a.Try, grace, why)
		return
	}
	r.haltAttempt(a, grace, why)
}

// haltAttempt has one attempt stopped. What never left is dropped at once.
func (r *term) haltAttempt(a *ledger.Attempt, grace float64, why string) {
	if a.Halt && grace >= a.Grace {
		return
	}
	if a.Halt {
		a.HaltSent = 0
	}
	a.Halt, a.Grace = true, grace
	r.c.log.Debug("halt", "task", a.Key().Task, "try", a.Try, "machine", a.Machine.ID, "why", why)
	if a.Durable && !a.Sent {
		r.gone(a, neverSent)
	} else {
		r.dispatch(a.Machine)
	}
}

// nothingToSay tells most machines of a fleet apart without any list being made:
// each is looked at at every tick.
// What was said lately, and ends that are not durable yet, are nothing to say either: during
// an array of thousands of short tasks most machines had some, and the lists made for them
// at every tick took a fifth of a leader's time.
func (r *term) nothingToSay(m *ledger.Machine) bool {
	if len(m.UnknownTasks) > 0 {
		return false
	}
	again := r.c.now - r.c.cfg.Report()
	for _, exit := range m.Exited {
		if exit.Ready && (exit.Sent == 0 || exit.Sent <= again) {
			return false
		}
	}
	for _, a := range m.Sorted() {
		if a.Halt && (a.HaltSent == 0 || a.HaltSent <= again) || !a.Halt && a.Durable && !a.Acked && !a.Loaded {
			return false
		}
	}
	return true
}

// commands lists what the worker is to do now. Directly sent ones go once;
// those in a report's answer fill in where the direct way fails.
func (r *term) commands(m *ledger.Machine, inReply bool) []protocol.Command {
	c := r.c
	if inReply && m.Calling || r.nothingToSay(m) {
		return nil
	}
	var out []protocol.Command
	again := c.cfg.Report()
	for _, a := range m.Sorted() {
		key := a.Key()
		run := protocol.Command{Verb: protocol.VerbRun, Task: key.Task, Attempt: a.Try}
		mayRun := a.Durable && !a.Acked && !a.Loaded && !m.Returning && r.certain() &&
			// A gang's runs leave together, once all its places are durable.
			(a.Job.Gang == nil || a.Halt || a.Job.Gang.Complete())
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
	for _, key := range slices.SortedFunc(maps.Keys(m.UnknownTasks), compareKeys) {
		if c.now >= m.UnknownTasks[key]+again {
			m.UnknownTasks[key] = c.now
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

// mayHang says whether a direct request to the machine may well hang.
func (r *term) mayHang(m *ledger.Machine) bool { return !m.Fresh || m.CallFails > 0 }

// callWithin bounds a direct request to a worker: one that takes longer is as
// good as unanswered, however long the workers' lease.
const callWithin = 1600 * time.Millisecond

// directCall is a request to a worker that is under way.
type directCall struct {
	machine *ledger.Machine
	session uint64
	runs    []*ledger.Attempt // whose runs it carries
	sent    time.Duration
	mayHang bool
}

// wantsProbe says whether an empty request is worth a call. It brings our token to a
// machine that may be up, and tells whether the direct way works again. A booting one
// would only time out.
func (r *term) wantsProbe(m *ledger.Machine) bool {
	unheard := !m.Fresh && !m.Probed && (m.Up || m.Listed)
	overdue := m.Known && m.Session > m.DeadSession && r.c.now > m.Heard+r.c.cfg.Report()*3/2
	// The last: others did not answer. Is it them, or can't we reach anybody?
	return unheard || m.CallFails > 0 || overdue || r.probes(m)
}

// Direct calls are bounded by what the processor can take beside the sockets: each costs a
// tenth of a millisecond of a core, and the lease's renewal waits in turn with them. A new leader of
// 5,500 workers, which asks all of them at once, lost its lease that way.
const (
	callsPerCore       = 1024
	callsPerCoreSecond = 4000
	callsPerCoreBurst  = 128
)

// callLimiter bounds the direct calls. They wait for one another before anything is noted as
// sent: a take-over of hundreds of machines, or a partitioned zone whose calls all hang,
// must not take the sockets, and what answers must not wait for what hangs.
type callLimiter struct {
	most    int // at once
	calling int
	hanging int // of those, that may well hang
	rate    budget.Bucket
}

func newCallLimiter(resources config.Resources) callLimiter {
	// A core at the least: what is bounded by it is for fleets that need one.
	cores := max(1, resources.Cores)
	return callLimiter{most: min(resources.FDs/8, int(callsPerCore*cores)), rate: budget.New(callsPerCoreSecond*cores, callsPerCoreBurst*cores)}
}

// may says whether a call may leave now.
func (l *callLimiter) may(now time.Duration, mayHang bool) bool {
	return l.calling < l.most && !(mayHang && l.hanging >= l.most*2/3) && l.rate.Has(now, 1)
}

// begin notes that a call leaves, end that it is over.
func (l *callLimiter) begin(now time.Duration, mayHang bool) {
	l.calling++
	l.rate.Take(now, 1)
	if mayHang {
		l.hanging++
	}
}

func (l *callLimiter) end(mayHang bool) {
	l.calling--
	if mayHang {
		l.hanging--
	}
}

// dispatch sends what there is to send directly, one request at a time.
func (r *term) dispatch(m *ledger.Machine) {
	c := r.c
	if m.Calling || m.Addr == "" || c.now < m.NextCall || !r.ready || c.term != r || r.suspended() {
		return
	}
	probe := r.wantsProbe(m)
	if !m.Known && !probe || !r.calls.may(c.now, r.mayHang(m)) {
		return
	}
	cmds := r.commands(m, false)
	if len(cmds) == 0 && !probe {
		return
	}
	call := &directCall{machine: m, session: m.Session, sent: c.now, mayHang: r.mayHang(m)}
	for _, cmd := range cmds {
		if cmd.Verb == protocol.VerbRun {
			call.runs = append(call.runs, m.Attempts[ledger.Key{Task: cmd.Task, Try: cmd.Attempt}])
		}
	}
	r.calls.begin(c.now, call.mayHang)
	m.Calling, m.Probed = true, true
	body := protocol.Commands{Token: r.token, Session: m.Session, Commands: cmds}
	if body.Commands == nil {
		body.Commands = []protocol.Command{}
	}
	until := time.Duration(0)
	if len(call.runs) > 0 {
		until = r.certainUntil()
		r.notePlaced()
	}
	c.callUntil(ToWorker, m.Addr, "POST", "/commands", body, min(c.cfg.Lease()/10, callWithin), until, func(res Result) {
		if c.term == r {
			r.onDirectAnswer(call, res)
		}
	})
}

// onDirectAnswer takes the answer to a direct request, or that there was none.
func (r *term) onDirectAnswer(call *directCall, res Result) {
	c, m := r.c, call.machine
	m.Calling = false
	r.calls.end(call.mayHang)
	if res.Status != 0 {
		r.reached(c.now)
	} else if m.Heard > call.sent {
		r.missed(m.ID, c.now)
	}
	call.settleRuns(res.Status)
	if r.Machines[m.ID] != m {
		return
	}
	if res.Status != 200 && res.Status != 409 {
		m.CallFails++
		m.NoConn, m.FailedAt = res.NoConn, call.sent
		m.Probed = false
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
		m.Probed = false
		m.NextCall = c.now + c.cfg.Report()/20
		if msg.Session == call.session {
			m.NextCall = c.now + c.cfg.Report()
		}
	}
	r.dispatch(m)
}

// settleRuns notes what became of the runs that the request carried: without an answer
// a copy of them may still be executed.
func (call *directCall) settleRuns(status int) {
	for _, a := range call.runs {
		a.Flying--
		switch status {
		case 200:
			a.Acked = true
		case 409:
		default:
			a.Lost = true
		}
	}
}
