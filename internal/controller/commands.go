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
// repeats them until the workers have acknowledged them.
//
// It owns the limiter that counts the calls in flight. The cluster state records with each machine and attempt which
// commands were sent. Both are discarded when the leadership ends: after a failover the next leader learns from the
// workers' heartbeats which commands they have received.
type commandDispatcher struct {
	env          *environment
	heartbeats   *heartbeatReceiver
	authority    *authority
	lease        *leaderLease
	outbox       *outbox
	reachability *reachability
	state        *clusterstate.State
	tokens       *commandTokens
	trace        *failoverTrace

	callLimiter callLimiter
}

// commandTimeout is the upper bound of callTimeout: a call without a reply after this time counts as failed, however
// long the worker lease is.
const commandTimeout = 1600 * time.Millisecond

// maxCallBackoffFactor bounds the back-off after failed calls, as a multiple of callRetryPause.
const maxCallBackoffFactor = 4

// callTimeout is the timeout of a direct call: commandTimeout or a tenth of the workers' lease, whichever is shorter.
func (d *commandDispatcher) callTimeout() time.Duration {
	return min(d.env.cfg.WorkerLease()/10, commandTimeout)
}

// callRetryPause is the back-off after the first failed call to a worker. It grows with each consecutive failure, up
// to maxCallBackoffFactor times.
func (d *commandDispatcher) callRetryPause() time.Duration {
	return min(d.env.cfg.WorkerHeartbeatInterval()/2, d.env.cfg.LeaderLease()*2/3)
}

// epochRetryPause is the delay after a worker has rejected a call because of its agent epoch, until the worker is
// called again with the epoch of its reply.
func (d *commandDispatcher) epochRetryPause() time.Duration {
	return d.env.cfg.WorkerHeartbeatInterval() / 20
}

// directCall is a call to a worker that is in flight.
type directCall struct {
	machine       *clusterstate.Machine
	epoch         uint64                  // the agent epoch that the call is addressed to
	token         uint64                  // the fencing token that the call carries
	attempts      []*clusterstate.Attempt // the attempts whose run commands the call carries
	sentAt        time.Duration
	likelyTimeout bool
}

// dispatchCommands sends a worker its pending commands, or a probe, in a direct call. A worker has one call in
// flight at a time.
func (d *commandDispatcher) dispatchCommands(m *clusterstate.Machine) {
	if !d.canCall(m) {
		return
	}
	probe := d.needsProbe(m)
	if !m.Seen && !probe || !d.callLimiter.allows(d.env.now, d.isLikelyToTimeOut(m)) {
		return
	}
	commands := d.pendingCommands(m, false)
	if len(commands) == 0 && !probe {
		return
	}
	d.sendCommands(m, commands)
}

// canCall reports whether a direct call to the machine is possible now: its address is known, no call is in flight or
// backed off, and the leader may serve workers.
func (d *commandDispatcher) canCall(m *clusterstate.Machine) bool {
	if m.CallInFlight || m.Addr == "" || d.env.now < m.NextCallAt {
		return false
	}
	return d.authority.mayServe()
}

// sendCommands starts a direct call with the commands; a call without commands is a probe.
func (d *commandDispatcher) sendCommands(m *clusterstate.Machine, commands []protocol.Command) {
	token := d.tokens.of(m)
	call := &directCall{machine: m, epoch: m.Epoch, token: token, sentAt: d.env.now, likelyTimeout: d.isLikelyToTimeOut(m)}
	commands = d.authority.withoutUnfencedClears(m, token, commands)
	for _, command := range commands {
		if command.Verb == protocol.VerbRun {
			key := clusterstate.AttemptKey{Task: command.Task, Attempt: command.Attempt}
			call.attempts = append(call.attempts, m.Attempts[key])
		}
	}
	if len(call.attempts) > 0 && !d.authority.mayDecide() {
		d.authority.violated(StartNeedsAuthority, m.ID)
		call.recordRunOutcome(workerclient.NoAnswer)
		return
	}
	d.callLimiter.begin(d.env.now, call.likelyTimeout)
	m.CallInFlight, m.Probed = true, true
	body := workerclient.NewCommandRequest(token, m.Epoch, commands)
	validUntil := time.Duration(0)
	if len(call.attempts) > 0 {
		// A run command must not be sent once another leader may have been elected.
		validUntil = d.authority.decidesUntil()
		d.trace.recordFirstPlacement()
	}
	d.outbox.callUntil(ToWorker, m.Addr, workerclient.CommandsMethod, workerclient.CommandsPath, body, d.callTimeout(), validUntil,
		func(res Result) {
			if !d.lease.ended {
				d.onCommandReply(call, res)
			}
		})
}

// onCommandReply handles the result of a direct call: the worker's reply, or the failure of the call.
func (d *commandDispatcher) onCommandReply(call *directCall, res Result) {
	m := call.machine
	m.CallInFlight = false
	d.callLimiter.end(call.likelyTimeout)
	reply := workerclient.ReadReply(m.ID, res.Status, res.Body)
	if reply.Outcome != workerclient.NoAnswer {
		d.reachability.recordReached(d.env.now)
	} else if m.LastSeen > call.sentAt {
		d.reachability.recordMissed(m.ID, d.env.now)
	}
	call.recordRunOutcome(reply.Outcome)
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
		// The call was addressed to another agent epoch than the worker's. The reply carries the worker's epoch.
		d.env.observer.CommandsRejected(rejectionCause(call, reply.Heartbeat))
		m.Probed = false
		m.NextCallAt = d.env.now + d.epochRetryPause()
		if reply.Heartbeat.Epoch == call.epoch {
			m.NextCallAt = d.env.now + d.env.cfg.WorkerHeartbeatInterval()
		}
	}
	d.dispatchCommands(m)
}

// rejectionCause returns why a worker rejected a call, by the heartbeat in its reply.
func rejectionCause(call *directCall, heartbeat *protocol.WorkerHeartbeat) RejectionCause {
	switch {
	case heartbeat.Epoch != call.epoch:
		return RejectedByEpoch
	case heartbeat.Token > call.token:
		return RejectedByToken
	}
	return RejectedUnexplained
}

// backOffCalls delays the next direct call to a worker after a failed call.
func (d *commandDispatcher) backOffCalls(call *directCall, res Result) {
	m := call.machine
	m.FailedCalls++
	m.ConnectionFailed, m.LastFailedCallAt = res.ConnectionFailed, call.sentAt
	m.Probed = false
	m.NextCallAt = d.env.now + d.callRetryPause()*time.Duration(min(m.FailedCalls, maxCallBackoffFactor))
}

// recordRunOutcome records the outcome of the run commands that the call carried. After a call without a usable reply,
// a copy of the commands may still be executed; after a rejection the worker has executed none of them.
func (call *directCall) recordRunOutcome(outcome workerclient.Outcome) {
	for _, a := range call.attempts {
		a.RunsInFlight--
		switch outcome {
		case workerclient.Executed:
			a.Acknowledged = true
		case workerclient.Rejected:
		case workerclient.NoAnswer, workerclient.Failed:
			a.RunUnanswered = true
		}
	}
}

// isLikelyToTimeOut reports whether a direct call to the machine is likely to time out: the machine has not
// acknowledged this leader's token, or the last call to it failed.
func (d *commandDispatcher) isLikelyToTimeOut(m *clusterstate.Machine) bool {
	return !m.TokenAcknowledged || m.FailedCalls > 0
}

// needsProbe reports whether the machine should get a call without commands. Such a probe sends the leader's token to
// a machine that may be up, and shows whether direct calls succeed again. A machine that is still booting is not
// probed, because the call would only time out.
func (d *commandDispatcher) needsProbe(m *clusterstate.Machine) bool {
	unacknowledged := !m.TokenAcknowledged && !m.Probed && (m.EverReported || m.ListedRunning)
	overdue := m.Seen && m.Epoch > m.ExpiredEpoch && d.env.now > m.LastSeen+d.overdueAfter()
	// probesReachability comes last because it counts the probes that it permits. While other machines do not
	// answer, the probe shows whether the fault is with those machines or with the leader.
	return unacknowledged || m.FailedCalls > 0 || overdue || d.reachability.probesReachability(m)
}

// overdueAfter is the time without messages after which a worker is probed: half an interval after its next heartbeat
// was due.
func (d *commandDispatcher) overdueAfter() time.Duration {
	return d.env.cfg.WorkerHeartbeatInterval() * 3 / 2
}

// hasNoCommands reports whether the machine has no pending commands. It allocates no lists: it runs for every machine
// on every tick, and most machines of a fleet have no commands. Commands that were sent less than a heartbeat interval
// ago, and exits whose outcome is not durable yet, do not count as pending. During an array job of thousands of short
// tasks most machines had some of these, and the lists built for them on every tick took a fifth of a leader's CPU
// time.
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

// pendingCommands returns the commands to send to the worker now, and marks them as sent. Run commands are sent in
// direct calls; the reply to a heartbeat (inReply) carries them only if direct calls to the worker fail. The commands
// of the attempts come first, in the order of the attempts, then the stops of unknown tasks, then the clears.
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
	commands = d.appendClears(commands, m)
	if slices.ContainsFunc(commands, isStart) {
		d.tokens.recordStart(m)
	}
	return commands
}

// isStart reports whether a command starts a task.
func isStart(command protocol.Command) bool { return command.Verb == protocol.VerbRun }

// mayRun reports whether the attempt's run command may be sent: its record is durable, this leader placed the attempt,
// the worker has not acknowledged it, the machine is not being released, and no other controller can have become
// leader. The run commands of a gang are sent together, once all of its placements are durable; only an attempt whose
// stop was requested does not wait for the others.
func (d *commandDispatcher) mayRun(m *clusterstate.Machine, a *clusterstate.Attempt) bool {
	if !a.Durable || a.Acknowledged || a.Loaded || m.Releasing || !d.authority.mayDecide() {
		return false
	}
	return a.Job.Gang == nil || a.StopRequested || a.Job.Gang.Complete()
}

// appendRun appends the attempt's run command and marks it as sent.
func (d *commandDispatcher) appendRun(commands []protocol.Command, m *clusterstate.Machine, a *clusterstate.Attempt, inReply bool) []protocol.Command {
	a.Sent, a.Epoch = true, m.Epoch
	if inReply {
		a.RunSequence = m.HeartbeatSequence
	} else {
		a.RunsInFlight++
	}
	return append(commands, protocol.Command{Verb: protocol.VerbRun, Task: a.Key().Task, Attempt: a.Number})
}

// appendStop appends the stop command of an attempt whose stop was requested, unless it was sent recently.
func (d *commandDispatcher) appendStop(commands []protocol.Command, m *clusterstate.Machine, a *clusterstate.Attempt, inReply bool) []protocol.Command {
	if !d.stopIsDue(a) {
		return commands
	}
	if a.RunUnanswered && !a.Acknowledged {
		// A run command without a reply may have been lost, or may still arrive. The worker gets the run command
		// again, followed by the stop, so that it certainly has the attempt and stops it. If the job is being
		// cancelled, its cancellation has not been confirmed to a user yet.
		if !d.mayRun(m, a) {
			return commands
		}
		commands = d.appendRun(commands, m, a, inReply)
	}
	grace := a.GraceSeconds
	if a.State == protocol.TaskSavingCheckpoint {
		grace = 0 // the grace period is over, see stopIsDue
	}
	a.StopSentAt = d.env.now
	return append(commands, protocol.Command{Verb: protocol.VerbStop, Task: a.Key().Task, Attempt: a.Number, GraceS: grace})
}

// stopIsDue reports whether the stop command should be sent, for the first time or again. For a task that is saving a
// checkpoint, it is repeated only after the grace period and two heartbeat intervals for the report of the exit.
func (d *commandDispatcher) stopIsDue(a *clusterstate.Attempt) bool {
	interval := d.env.cfg.WorkerHeartbeatInterval()
	if a.State == protocol.TaskSavingCheckpoint && d.env.now < a.StopSentAt+seconds(a.GraceSeconds)+2*interval {
		return false
	}
	return a.StopSentAt <= 0 || d.env.now >= a.StopSentAt+interval
}

// appendUnknownTaskStops appends stop commands for the tasks of jobs that the cluster state lacks.
func (d *commandDispatcher) appendUnknownTaskStops(commands []protocol.Command, m *clusterstate.Machine) []protocol.Command {
	for _, key := range slices.SortedFunc(maps.Keys(m.UnknownTasks), compareAttemptKeys) {
		if d.env.now >= m.UnknownTasks[key]+d.env.cfg.WorkerHeartbeatInterval() {
			m.UnknownTasks[key] = d.env.now
			commands = append(commands, protocol.Command{Verb: protocol.VerbStop, Task: key.Task, Attempt: key.Attempt})
		}
	}
	return commands
}

// appendClears appends clear commands for exited tasks, and raises the machine's token if that is needed to send them. On a
// clear command the worker drops its record of the task. Until the worker has acknowledged the leader's token, run commands
// of an earlier leader may still arrive, so no task is cleared.
func (d *commandDispatcher) appendClears(commands []protocol.Command, m *clusterstate.Machine) []protocol.Command {
	if !m.TokenAcknowledged {
		return commands
	}
	for _, key := range slices.SortedFunc(maps.Keys(m.Exited), compareAttemptKeys) {
		exited := m.Exited[key]
		if !d.clearIsDue(exited) || !d.tokens.fence(m, exited.StartToken) {
			continue
		}
		exited.ClearSentAt = d.env.now
		d.env.log.Debug("clearing attempt", "task", key.Task, "attempt", key.Attempt, "machine", m.ID, "token", d.tokens.of(m), "start_token", exited.StartToken)
		commands = append(commands, protocol.Command{Verb: protocol.VerbClear, Task: key.Task, Attempt: key.Attempt})
	}
	return commands
}

// clearIsDue reports whether the clear command of an exited task should be sent, for the first time or again.
func (d *commandDispatcher) clearIsDue(exited *clusterstate.ExitedTask) bool {
	return exited.Clearable && (exited.ClearSentAt == 0 || d.env.now >= exited.ClearSentAt+d.env.cfg.WorkerHeartbeatInterval())
}

func compareAttemptKeys(a, b clusterstate.AttemptKey) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
}
