package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/config"
	"claybarrow/internal/protocol"
	"claybarrow/internal/ratelimit"
)

// commandDispatcher sends workers their commands, directly or in the replies to their heartbeats, and
// repeats them until the worker is known to have had them.
type commandDispatcher struct {
	env        *environment
	heartbeats *heartbeatReceiver
	lease      *leaderLease
	loader     *stateLoader
	outbox     *outbox
	reach      *reachability
	state      *clusterstate.State
	trace      *failoverTrace

	callLimiter callLimiter
}

// hasNoCommands tells most machines of a fleet apart without any list being made:
// each is looked at at every tick.
// What was said lately, and ends that are not durable yet, are nothing to say either: during
// an array of thousands of short tasks most machines had some, and the lists made for them
// at every tick took a fifth of a leader's time.
func (d *commandDispatcher) hasNoCommands(m *clusterstate.Machine) bool {
	if len(m.UnknownTasks) > 0 {
		return false
	}
	again := d.env.now - d.env.cfg.Report()
	for _, exit := range m.Exited {
		if exit.Ready && (exit.Sent == 0 || exit.Sent <= again) {
			return false
		}
	}
	for _, a := range m.Sorted() {
		if a.StopRequested && (a.StopSentAt == 0 || a.StopSentAt <= again) || !a.StopRequested && a.Durable && !a.Acknowledged && !a.Loaded {
			return false
		}
	}
	return true
}

// pendingCommands lists what the worker is to do now. Directly sent ones go once;
// those in a report's answer fill in where the direct way fails.
func (d *commandDispatcher) pendingCommands(m *clusterstate.Machine, inReply bool) []protocol.Command {
	if inReply && m.CallInFlight || d.hasNoCommands(m) {
		return nil
	}
	var out []protocol.Command
	again := d.env.cfg.Report()
	for _, a := range m.Sorted() {
		key := a.Key()
		run := protocol.Command{Verb: protocol.VerbRun, Task: key.Task, Attempt: a.Number}
		mayRun := a.Durable && !a.Acknowledged && !a.Loaded && !m.Releasing && d.lease.holdsLease() &&
			// A gang's runs leave together, once all its places are durable.
			(a.Job.Gang == nil || a.StopRequested || a.Job.Gang.Complete())
		if a.StopRequested {
			if a.State == protocol.Saving && d.env.now < a.StopSentAt+seconds(a.Grace)+2*again {
				continue
			}
			if a.StopSentAt > 0 && d.env.now < a.StopSentAt+again {
				continue
			}
			if a.RunLost && !a.Acknowledged {
				// A run that may have been lost, or may come later still: it
				// is made certain by a repeat that is halted in the same
				// breath. Of a cancelled job, no user has been told yet.
				if !mayRun {
					continue
				}
				out = append(out, run)
				d.noteRunSent(a, m, inReply)
			}
			grace := a.Grace
			if a.State == protocol.Saving {
				grace = 0
			}
			a.StopSentAt = d.env.now
			out = append(out, protocol.Command{Verb: protocol.VerbStop, Task: key.Task, Attempt: a.Number, GraceS: grace})
			continue
		}
		if mayRun && (!inReply || m.FailedCalls > 0) {
			out = append(out, run)
			d.noteRunSent(a, m, inReply)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(m.UnknownTasks), compareKeys) {
		if d.env.now >= m.UnknownTasks[key]+again {
			m.UnknownTasks[key] = d.env.now
			out = append(out, protocol.Command{Verb: protocol.VerbStop, Task: key.Task, Attempt: key.Attempt})
		}
	}
	if m.TokenAcknowledged {
		for _, key := range slices.SortedFunc(maps.Keys(m.Exited), compareKeys) {
			g := m.Exited[key]
			if a := g.Attempt; !g.Ready || (g.Sent > 0 && d.env.now < g.Sent+again) ||
				// After a clear, a repeated run would start it again: none may
				// be under way.
				(a != nil && (a.RunsInFlight > 0 || a.RunLost || a.RunSequence > 0 && m.HeartbeatSequence <= a.RunSequence)) {
				continue
			}
			g.Sent = d.env.now
			out = append(out, protocol.Command{Verb: protocol.VerbClear, Task: key.Task, Attempt: key.Attempt})
		}
	}
	return out
}

func compareKeys(a, b clusterstate.AttemptKey) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

func (d *commandDispatcher) noteRunSent(a *clusterstate.Attempt, m *clusterstate.Machine, inReply bool) {
	a.Sent, a.Epoch = true, m.Epoch
	if inReply {
		a.RunSequence = m.HeartbeatSequence
	} else {
		a.RunsInFlight++
	}
}

// mayHang says whether a direct request to the machine may well hang.
func (d *commandDispatcher) mayHang(m *clusterstate.Machine) bool {
	return !m.TokenAcknowledged || m.FailedCalls > 0
}

// commandTimeout bounds a direct request to a worker: one that takes longer is as
// good as unanswered, however long the workers' lease.
const commandTimeout = 1600 * time.Millisecond

// directCall is a request to a worker that is under way.
type directCall struct {
	machine *clusterstate.Machine
	session uint64
	runs    []*clusterstate.Attempt // whose runs it carries
	sent    time.Duration
	mayHang bool
}

// needsProbe says whether an empty request is worth a call. It brings our token to a
// machine that may be up, and tells whether the direct way works again. A booting one
// would only time out.
func (d *commandDispatcher) needsProbe(m *clusterstate.Machine) bool {
	unheard := !m.TokenAcknowledged && !m.Probed && (m.Up || m.Listed)
	overdue := m.Seen && m.Epoch > m.ExpiredEpoch && d.env.now > m.LastSeen+d.env.cfg.Report()*3/2
	// The last: others did not answer. Is it them, or can't we reach anybody?
	return unheard || m.FailedCalls > 0 || overdue || d.reach.probesReachability(m)
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
	rate    ratelimit.TokenBucket
}

func newCallLimiter(resources config.Resources) callLimiter {
	// A core at the least: what is bounded by it is for fleets that need one.
	cores := max(1, resources.Cores)
	return callLimiter{most: min(resources.FDs/8, int(callsPerCore*cores)), rate: ratelimit.New(callsPerCoreSecond*cores, callsPerCoreBurst*cores)}
}

// allows says whether a call may leave now.
func (l *callLimiter) allows(now time.Duration, mayHang bool) bool {
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

// dispatchCommands sends what there is to send directly, one request at a time.
func (d *commandDispatcher) dispatchCommands(m *clusterstate.Machine) {
	if m.CallInFlight || m.Addr == "" || d.env.now < m.NextCall || !d.loader.ready || d.lease.ended || d.lease.verifiesLease() {
		return
	}
	probe := d.needsProbe(m)
	if !m.Seen && !probe || !d.callLimiter.allows(d.env.now, d.mayHang(m)) {
		return
	}
	cmds := d.pendingCommands(m, false)
	if len(cmds) == 0 && !probe {
		return
	}
	call := &directCall{machine: m, session: m.Epoch, sent: d.env.now, mayHang: d.mayHang(m)}
	for _, cmd := range cmds {
		if cmd.Verb == protocol.VerbRun {
			call.runs = append(call.runs, m.Attempts[clusterstate.AttemptKey{Task: cmd.Task, Attempt: cmd.Attempt}])
		}
	}
	d.callLimiter.begin(d.env.now, call.mayHang)
	m.CallInFlight, m.Probed = true, true
	body := protocol.Commands{Token: d.lease.token, Epoch: m.Epoch, Commands: cmds}
	if body.Commands == nil {
		body.Commands = []protocol.Command{}
	}
	until := time.Duration(0)
	if len(call.runs) > 0 {
		until = d.lease.holdsLeaseUntil()
		d.trace.noteFirstPlacement()
	}
	d.outbox.callUntil(ToWorker, m.Addr, "POST", "/commands", body, min(d.env.cfg.Lease()/10, commandTimeout), until, func(res Result) {
		if !d.lease.ended {
			d.onCommandReply(call, res)
		}
	})
}

// onCommandReply takes the answer to a direct request, or that there was none.
func (d *commandDispatcher) onCommandReply(call *directCall, res Result) {
	m := call.machine
	m.CallInFlight = false
	d.callLimiter.end(call.mayHang)
	if res.Status != 0 {
		d.reach.noteReached(d.env.now)
	} else if m.LastSeen > call.sent {
		d.reach.noteMissed(m.ID, d.env.now)
	}
	call.settleRuns(res.Status)
	if d.state.Machines[m.ID] != m {
		return
	}
	if res.Status != 200 && res.Status != 409 {
		m.FailedCalls++
		m.ConnectionFailed, m.LastFailedCallAt = res.ConnectionFailed, call.sent
		m.Probed = false
		m.NextCall = d.env.now + min(d.env.cfg.Report()/2, d.env.cfg.LeaderTTL()*2/3)*time.Duration(min(m.FailedCalls, 4))
		return
	}
	m.FailedCalls, m.ConnectionFailed = 0, false
	var msg protocol.WorkerHeartbeat
	if protocol.Decode(res.Body, &msg) != nil || msg.Machine != m.ID {
		m.NextCall = d.env.now + d.env.cfg.Report()
		return
	}
	d.heartbeats.applyHeartbeat(&msg, false)
	if d.lease.ended {
		return
	}
	if res.Status == 409 {
		// The session was not the one we thought; its answer says which.
		m.Probed = false
		m.NextCall = d.env.now + d.env.cfg.Report()/20
		if msg.Epoch == call.session {
			m.NextCall = d.env.now + d.env.cfg.Report()
		}
	}
	d.dispatchCommands(m)
}

// settleRuns notes what became of the runs that the request carried: without an answer
// a copy of them may still be executed.
func (call *directCall) settleRuns(status int) {
	for _, a := range call.runs {
		a.RunsInFlight--
		switch status {
		case 200:
			a.Acknowledged = true
		case 409:
		default:
			a.RunLost = true
		}
	}
}
