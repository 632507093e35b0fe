package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/workerclient"
)

// commandDispatcher sends commands to the workers, in direct calls or in the replies to their heartbeats, and
// repeats them until a worker is known to have received them.
//
// It owns the calls in flight, by its limiter. What was sent to a worker is kept with the machine and its
// attempts in the cluster state. Both end with the leadership: after a failover the next leader learns from
// the workers' heartbeats what they received.
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

// commandTimeout bounds a direct call to a worker: one that takes longer is as good as unanswered, however
// long the workers' lease is.
const commandTimeout = 1600 * time.Millisecond

// maxCallBackoffFactor bounds how many times the retry pause a worker is left alone after failed calls.
const maxCallBackoffFactor = 4

// callTimeout is how long a direct call may take: commandTimeout, and a tenth of the workers' lease at the
// most.
func (d *commandDispatcher) callTimeout() time.Duration {
	return min(d.env.cfg.WorkerLease()/10, commandTimeout)
}

// callRetryPause is how long a worker is left alone after its first failed call; after more in a row the
// pause is longer, up to maxCallBackoffFactor times.
func (d *commandDispatcher) callRetryPause() time.Duration {
	return min(d.env.cfg.WorkerHeartbeatInterval()/2, d.env.cfg.LeaderLease()*2/3)
}

// epochRetryPause is how long after a refusal for its agent epoch a worker is called again with the epoch
// that it named.
func (d *commandDispatcher) epochRetryPause() time.Duration {
	return d.env.cfg.WorkerHeartbeatInterval() / 20
}

// directCall is a call to a worker that is in flight.
type directCall struct {
	machine  *clusterstate.Machine
	epoch    uint64                  // the agent epoch that the call names
	attempts []*clusterstate.Attempt // those whose run commands it carries
	sentAt   time.Duration
	mayHang  bool
}

// dispatchCommands sends a worker its pending commands, or a probe, in a direct call. A worker has one call in
// flight at a time.
func (d *commandDispatcher) dispatchCommands(m *clusterstate.Machine) {
	if !d.canCall(m) {
		return
	}
	probe := d.needsProbe(m)
	if !m.Seen && !probe || !d.callLimiter.allows(d.env.now, d.mayHang(m)) {
		return
	}
	commands := d.pendingCommands(m, false)
	if len(commands) == 0 && !probe {
		return
	}
	d.sendCommands(m, commands)
}

// canCall reports whether a direct call to the machine is possible at all now.
func (d *commandDispatcher) canCall(m *clusterstate.Machine) bool {
	if m.CallInFlight || m.Addr == "" || d.env.now < m.NextCallAt {
		return false
	}
	return d.loader.ready && !d.lease.ended && !d.lease.verifiesLease()
}

// sendCommands makes the direct call; without commands it is a probe.
func (d *commandDispatcher) sendCommands(m *clusterstate.Machine, commands []protocol.Command) {
	call := &directCall{machine: m, epoch: m.Epoch, sentAt: d.env.now, mayHang: d.mayHang(m)}
	for _, command := range commands {
		if command.Verb == protocol.VerbRun {
			key := clusterstate.AttemptKey{Task: command.Task, Attempt: command.Attempt}
			call.attempts = append(call.attempts, m.Attempts[key])
		}
	}
	d.callLimiter.begin(d.env.now, call.mayHang)
	m.CallInFlight, m.Probed = true, true
	body := workerclient.NewCommands(d.lease.token, m.Epoch, commands)
	validUntil := time.Duration(0)
	if len(call.attempts) > 0 {
		// A run command must not leave once another leader may be elected.
		validUntil = d.lease.holdsLeaseUntil()
		d.trace.noteFirstPlacement()
	}
	d.outbox.callUntil(ToWorker, m.Addr, workerclient.CommandsMethod, workerclient.CommandsPath, body, d.callTimeout(), validUntil,
		func(res Result) {
			if !d.lease.ended {
				d.onCommandReply(call, res)
			}
		})
}

// onCommandReply handles the response to a direct call, or its absence.
func (d *commandDispatcher) onCommandReply(call *directCall, res Result) {
	m := call.machine
	m.CallInFlight = false
	d.callLimiter.end(call.mayHang)
	reply := workerclient.ReadReply(m.ID, res.Status, res.Body)
	if reply.Outcome != workerclient.NoAnswer {
		d.reach.noteReached(d.env.now)
	} else if m.LastSeen > call.sentAt {
		d.reach.noteMissed(m.ID, d.env.now)
	}
	call.settleRuns(reply.Outcome)
	if d.state.Machines[m.ID] != m {
		return
	}
	if !reply.Outcome.IsAnswer() {
		d.backOffCalls(call, res)
		return
	}
	m.FailedCalls, m.ConnectionFailed = 0, false
	if reply.Heartbeat == nil {
		m.NextCallAt = d.env.now + d.env.cfg.WorkerHeartbeatInterval()
		return
	}
	d.heartbeats.applyHeartbeat(reply.Heartbeat, false)
	if d.lease.ended {
		return
	}
	if reply.Outcome == workerclient.Rejected {
		// The worker has another agent epoch than the call named. The response says which.
		m.Probed = false
		m.NextCallAt = d.env.now + d.epochRetryPause()
		if reply.Heartbeat.Epoch == call.epoch {
			m.NextCallAt = d.env.now + d.env.cfg.WorkerHeartbeatInterval()
		}
	}
	d.dispatchCommands(m)
}

// backOffCalls delays the next direct call to a worker after one that failed.
func (d *commandDispatcher) backOffCalls(call *directCall, res Result) {
	m := call.machine
	m.FailedCalls++
	m.ConnectionFailed, m.LastFailedCallAt = res.ConnectionFailed, call.sentAt
	m.Probed = false
	m.NextCallAt = d.env.now + d.callRetryPause()*time.Duration(min(m.FailedCalls, maxCallBackoffFactor))
}

// settleRuns notes what became of the run commands that the call carried. Without a response a copy of them
// may still be executed; with a conflict none was.
func (call *directCall) settleRuns(outcome workerclient.Outcome) {
	for _, a := range call.attempts {
		a.RunsInFlight--
		switch outcome {
		case workerclient.Executed:
			a.Acknowledged = true
		case workerclient.Rejected:
		case workerclient.NoAnswer, workerclient.Failed:
			a.RunLost = true
		}
	}
}

// mayHang reports whether a direct call to the machine may well hang.
func (d *commandDispatcher) mayHang(m *clusterstate.Machine) bool {
	return !m.TokenAcknowledged || m.FailedCalls > 0
}

// needsProbe reports whether an empty call to the machine is worthwhile. It brings the leader's token to a
// machine that may be up, and shows whether direct calls work again. A machine that still boots would only
// let it time out.
func (d *commandDispatcher) needsProbe(m *clusterstate.Machine) bool {
	unheard := !m.TokenAcknowledged && !m.Probed && (m.EverReported || m.ListedRunning)
	overdue := m.Seen && m.Epoch > m.ExpiredEpoch && d.env.now > m.LastSeen+d.overdueAfter()
	// probesReachability comes last, as it counts what it is asked: other machines did not answer, so this
	// one is asked whether the fault is theirs or the leader's.
	return unheard || m.FailedCalls > 0 || overdue || d.reach.probesReachability(m)
}

// overdueAfter is how long after its last message a worker is probed: half an interval after the heartbeat
// that is missing was due.
func (d *commandDispatcher) overdueAfter() time.Duration {
	return d.env.cfg.WorkerHeartbeatInterval() * 3 / 2
}

// hasNoCommands reports whether the machine has no pending commands, as most machines of a fleet, without
// building any list: every machine is looked at at every tick. Commands sent less than a heartbeat interval
// ago, and exits whose outcome is not durable yet, don't count either. During an array of thousands of short
// tasks most machines had some of these, and the lists built for them at every tick took a fifth of a
// leader's time.
func (d *commandDispatcher) hasNoCommands(m *clusterstate.Machine) bool {
	if len(m.UnknownTasks) > 0 {
		return false
	}
	repeatBefore := d.env.now - d.env.cfg.WorkerHeartbeatInterval()
	for _, exit := range m.Exited {
		if exit.Clearable && (exit.ClearSentAt == 0 || exit.ClearSentAt <= repeatBefore) {
			return false
		}
	}
	for _, a := range m.SortedAttempts() {
		if a.StopRequested {
			if a.StopSentAt == 0 || a.StopSentAt <= repeatBefore {
				return false
			}
		} else if a.Durable && !a.Acknowledged && !a.Loaded {
			return false
		}
	}
	return true
}

// pendingCommands lists what the worker has to do now, and marks it as sent. Run commands go once, in a direct
// call; the reply to a heartbeat (inReply) carries them only where direct calls fail. The order is that of
// the attempts, then the stops of unknown tasks, then the clears.
func (d *commandDispatcher) pendingCommands(m *clusterstate.Machine, inReply bool) []protocol.Command {
	if inReply && m.CallInFlight || d.hasNoCommands(m) {
		return nil
	}
	var commands []protocol.Command
	for _, a := range m.SortedAttempts() {
		switch {
		case a.StopRequested:
			commands = d.appendStop(commands, m, a, inReply)
		case d.mayRun(m, a) && (!inReply || m.FailedCalls > 0):
			commands = d.appendRun(commands, m, a, inReply)
		}
	}
	commands = d.appendUnknownTaskStops(commands, m)
	return d.appendClears(commands, m)
}

// mayRun reports whether the attempt's run command may be sent: its record is durable, the worker is not known
// to have the attempt, and nobody else can have become leader. A gang's run commands leave together, once all
// of its placements are durable.
func (d *commandDispatcher) mayRun(m *clusterstate.Machine, a *clusterstate.Attempt) bool {
	if !a.Durable || a.Acknowledged || a.Loaded || m.Releasing || !d.lease.holdsLease() {
		return false
	}
	return a.Job.Gang == nil || a.StopRequested || a.Job.Gang.Complete()
}

// appendRun adds the attempt's run command and notes that it is sent.
func (d *commandDispatcher) appendRun(commands []protocol.Command, m *clusterstate.Machine, a *clusterstate.Attempt, inReply bool) []protocol.Command {
	a.Sent, a.Epoch = true, m.Epoch
	if inReply {
		a.RunSequence = m.HeartbeatSequence
	} else {
		a.RunsInFlight++
	}
	return append(commands, protocol.Command{Verb: protocol.VerbRun, Task: a.Key().Task, Attempt: a.Number})
}

// appendStop adds the stop command of an attempt that is to be stopped, unless it was sent lately.
func (d *commandDispatcher) appendStop(commands []protocol.Command, m *clusterstate.Machine, a *clusterstate.Attempt, inReply bool) []protocol.Command {
	if !d.stopIsDue(a) {
		return commands
	}
	if a.RunLost && !a.Acknowledged {
		// A run command that had no response may have been lost, or may still arrive. Repeating it, with
		// the stop right behind it, makes certain that the worker has the attempt and stops it. No user
		// has been told yet that the job is cancelled.
		if !d.mayRun(m, a) {
			return commands
		}
		commands = d.appendRun(commands, m, a, inReply)
	}
	grace := a.GraceSeconds
	if a.State == protocol.TaskSavingCheckpoint {
		grace = 0 // the time to save is over, see stopIsDue
	}
	a.StopSentAt = d.env.now
	return append(commands, protocol.Command{Verb: protocol.VerbStop, Task: a.Key().Task, Attempt: a.Number, GraceS: grace})
}

// stopIsDue reports whether the stop command is to be sent, for the first time or again. A task that is saving
// has its grace period, and two heartbeat intervals for its exit to be reported.
func (d *commandDispatcher) stopIsDue(a *clusterstate.Attempt) bool {
	interval := d.env.cfg.WorkerHeartbeatInterval()
	if a.State == protocol.TaskSavingCheckpoint && d.env.now < a.StopSentAt+seconds(a.GraceSeconds)+2*interval {
		return false
	}
	return a.StopSentAt <= 0 || d.env.now >= a.StopSentAt+interval
}

// appendUnknownTaskStops adds stop commands for tasks of jobs that the cluster state does not have.
func (d *commandDispatcher) appendUnknownTaskStops(commands []protocol.Command, m *clusterstate.Machine) []protocol.Command {
	for _, key := range slices.SortedFunc(maps.Keys(m.UnknownTasks), compareAttemptKeys) {
		if d.env.now >= m.UnknownTasks[key]+d.env.cfg.WorkerHeartbeatInterval() {
			m.UnknownTasks[key] = d.env.now
			commands = append(commands, protocol.Command{Verb: protocol.VerbStop, Task: key.Task, Attempt: key.Attempt})
		}
	}
	return commands
}

// appendClears adds clear commands for exited tasks, with which the worker forgets them. Before the worker
// shows the leader's token, a command of an earlier leader may still arrive, and nothing may be cleared.
func (d *commandDispatcher) appendClears(commands []protocol.Command, m *clusterstate.Machine) []protocol.Command {
	if !m.TokenAcknowledged {
		return commands
	}
	for _, key := range slices.SortedFunc(maps.Keys(m.Exited), compareAttemptKeys) {
		exited := m.Exited[key]
		if !d.clearIsDue(m, exited) {
			continue
		}
		exited.ClearSentAt = d.env.now
		commands = append(commands, protocol.Command{Verb: protocol.VerbClear, Task: key.Task, Attempt: key.Attempt})
	}
	return commands
}

// clearIsDue reports whether an exited task may be cleared now. After the clear a repeated run command would
// start the task again, so none may be on its way.
func (d *commandDispatcher) clearIsDue(m *clusterstate.Machine, exited *clusterstate.ExitedTask) bool {
	if !exited.Clearable || exited.ClearSentAt > 0 && d.env.now < exited.ClearSentAt+d.env.cfg.WorkerHeartbeatInterval() {
		return false
	}
	a := exited.Attempt
	if a == nil {
		return true
	}
	inReply := a.RunSequence > 0 && m.HeartbeatSequence <= a.RunSequence
	onItsWay := a.RunsInFlight > 0 || a.RunLost || inReply
	return !onItsWay
}

func compareAttemptKeys(a, b clusterstate.AttemptKey) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}
