package controller

import (
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
