package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// heartbeatReceiver takes the workers' heartbeats and applies them to the cluster state.
type heartbeatReceiver struct {
	attempts    *attemptTracker
	completions *completionRecorder
	controller  *Controller
	env         *environment
	failures    *failureTracker
	follower    *follower
	jobs        *jobCompletion
	lease       *leaderLease
	loader      *stateLoader
	machines    *machineRegistry
	outbox      *outbox
	placement   *taskScheduler
	pool        *machinepool.Pool
	state       *clusterstate.State
	store       *statestore.Writer

	leaseOnlyReplyAt time.Duration // when a worker was last answered without commands
}

// onWorkerHeartbeat takes a worker's report.
func (c *Controller) onWorkerHeartbeat(from requester, body []byte) {
	var msg protocol.WorkerHeartbeat
	if err := protocol.Decode(body, &msg); err != nil || msg.Machine == "" {
		c.outbox.reply(from, 400, nil, 0)
		return
	}
	l := c.leadership
	if c.pause.isRecovering() {
		c.outbox.replyUnavailable(from) // it knows nothing yet, not even whether it leads
		return
	}
	if l == nil {
		if c.follower.renewsLeaseForLeader(&msg) {
			c.follower.replyLeaseOnly(from, &msg)
			return
		}
		if c.follower.forwardsHeartbeat(&msg) {
			c.follower.forwardHeartbeat(from, &msg, body)
			return
		}
		leader := c.follower.leaderLabel()
		if leader == "" || leader == c.env.cfg.Label {
			c.outbox.replyUnavailable(from)
			return
		}
		c.outbox.reply(from, 421, protocol.Encode(protocol.Redirect{Leader: leader}), 0)
		return
	}
	if !l.loader.ready || l.lease.verifiesLease() {
		l.heartbeats.renewWithoutCommands(from, &msg)
		return
	}
	m, fresh := l.heartbeats.applyHeartbeat(&msg, true)
	if l.lease.ended {
		c.outbox.replyUnavailable(from)
		return
	}
	if !fresh {
		// A late copy, or a machine that is gone: no evidence and no sign of
		// life, and an answer would reach nobody.
		c.outbox.replyUnavailable(from)
		return
	}
	if from.relayed {
		l.router.noteForwardedBy(from.forwardedBy, m.Zone)
	}
	if label := l.router.redirectTarget(m, &msg, from); label != "" {
		c.outbox.reply(from, 421, protocol.Encode(protocol.Redirect{Leader: label}), 0)
		return
	}
	if !from.relayed {
		l.reach.noteReached(c.env.now)
	}
	m.LastAnswered = c.env.now
	reply := protocol.WorkerHeartbeatReply{Token: l.lease.token, Commands: l.dispatcher.pendingCommands(m, true)}
	c.outbox.reply(from, 200, protocol.Encode(reply), 0)
}

// answerForwardedHeartbeat answers a report that we passed on to another leader, who did not answer,
// and lead ourselves now. Turned away, the worker would look for us elsewhere, and wait for
// each controller that has ended. It may have answered a direct request since: then the
// report is no evidence, but its lease is renewed all the same.
func (h *heartbeatReceiver) answerForwardedHeartbeat(from requester, msg *protocol.WorkerHeartbeat, body []byte) {
	m := h.state.Machines[msg.Machine]
	if !h.loader.ready || m == nil || m.Epoch != msg.Epoch || msg.Sequence > m.Sequence || msg.Token > h.lease.token {
		h.controller.onWorkerHeartbeat(from, body)
		return
	}
	m.LastAnswered = h.env.now
	h.outbox.reply(from, 200, protocol.Encode(protocol.WorkerHeartbeatReply{Token: h.lease.token, Commands: []protocol.Command{}}), 0)
}

// renewWithoutCommands keeps a worker whose report comes while the ledger is being read, or before a
// leader that stood still knows whether it still leads: without commands and with the
// token that it shows, as a follower does. Turned away, it would wait for each controller
// that has ended.
func (h *heartbeatReceiver) renewWithoutCommands(from requester, msg *protocol.WorkerHeartbeat) {
	if msg.Token > h.lease.token {
		h.controller.endLeadership(endWorkerSawLater)
	}
	if msg.Token > h.lease.token || msg.Token == 0 || from.relayed {
		h.outbox.replyUnavailable(from)
		return
	}
	h.leaseOnlyReplyAt = h.env.now
	h.follower.replyLeaseOnly(from, msg)
}

// applyHeartbeat takes a worker's report, sent by itself or as an answer to a direct
// request. It returns false for what is not the machine's newest message.
func (h *heartbeatReceiver) applyHeartbeat(msg *protocol.WorkerHeartbeat, reported bool) (*clusterstate.Machine, bool) {
	if msg.Token > h.lease.token {
		h.controller.endLeadership(endWorkerSawLater)
		return nil, false
	}
	if h.pool.WasRemoved(msg.Machine) {
		return nil, false
	}
	m := h.state.Machines[msg.Machine]
	if m == nil {
		// Nobody expected it: it is used, or returned when idle.
		h.env.log.Info("heartbeat from an unknown machine", "machine", msg.Machine, "type", msg.Type, "zone", msg.Zone)
		m = h.state.AddMachine(msg.Machine)
		m.ExistedAt, m.LaunchedAt = h.env.now, h.env.now
	}
	if m.Type == "" {
		m.Type, m.Zone, m.Spot = msg.Type, msg.Zone, msg.Spot
	}
	m.Size = h.machines.machineSize(m.Type)
	if msg.Addr != "" {
		m.Addr = msg.Addr
	}
	message := clusterstate.HeartbeatHeader{Epoch: msg.Epoch, Sequence: msg.Sequence, Token: msg.Token, Heartbeat: reported}
	if !m.IsNewest(message) {
		return m, false
	}
	if !m.Seen {
		m.IdleSince = h.env.now
	}
	if !m.Up {
		h.env.log.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
	}
	sign := m.Apply(message, h.lease.token, h.env.now, h.env.cfg.Lease())
	m.Up = true
	if sign.AnswersLost {
		h.env.log.Info("machine receives no answers", "machine", m.ID, "epoch", msg.Epoch)
	}
	if sign.LeaseExpired {
		h.env.log.Info("agent epoch expired", "machine", m.ID, "epoch", msg.Epoch)
	}
	h.placement.fillPending = h.placement.fillPending || sign.FirstToken
	if msg.SpotNoticeS != nil {
		by := h.env.now + seconds(max(0, min(*msg.SpotNoticeS, 1e6)))
		if !m.SpotNotice {
			h.env.log.Info("spot reclaim notice", "machine", m.ID, "notice_s", *msg.SpotNoticeS)
			m.SpotNotice, m.ReclaimedBy = true, by
			h.placement.fillPending = true
		}
		m.ReclaimedBy = min(m.ReclaimedBy, by)
	}
	reconcile(m, msg, sign.ShowsToken, h)
	return m, true
}

// onRunning takes the beginning of an attempt's run: its image is there.
func (h *heartbeatReceiver) onRunning(m *clusterstate.Machine, a *clusterstate.Attempt) {
	h.machines.noteImageUse(m, a.Job)
	h.env.log.Debug("task running", "task", a.Key().Task, "attempt", a.Number, "machine", m.ID)
}

// onAbsent takes an attempt that the machine no longer has.
func (h *heartbeatReceiver) onAbsent(a *clusterstate.Attempt, why absenceProof) {
	h.attempts.removeAttempt(a, why)
}

// adoptUnknownAttempt notes an attempt that the ledger did not have on that machine. Its
// presence blocks a second start; it is halted.
func (h *heartbeatReceiver) adoptUnknownAttempt(m *clusterstate.Machine, key clusterstate.AttemptKey) *clusterstate.Attempt {
	uid, index, ok := clusterstate.ParseTask(key.Task)
	if !ok {
		return nil
	}
	j := h.state.Jobs[uid]
	if j == nil || index >= j.Spec.Tasks {
		if m.UnknownTasks == nil {
			m.UnknownTasks = map[clusterstate.AttemptKey]time.Duration{}
		}
		if _, known := m.UnknownTasks[key]; !known {
			h.env.log.Info("heartbeat lists an unknown task", "task", key.Task, "attempt", key.Attempt, "machine", m.ID)
			m.UnknownTasks[key] = 0
		}
		return nil
	}
	h.env.log.Info("heartbeat lists an unrecorded attempt", "task", key.Task, "attempt", key.Attempt, "machine", m.ID)
	a := h.state.AddAttempt(m, j, index, key.Attempt, h.env.now)
	a.Durable, a.Loaded = true, true
	h.attempts.requestStop(a, j.Spec.SaveS, stopUnrecorded)
	h.machines.storeMachine(m, statestore.Lazy, nil)
	return a
}
