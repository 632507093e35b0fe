package controller

import (
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

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
	if !l.ready || l.verifiesLease() {
		l.renewWithoutCommands(from, &msg)
		return
	}
	m, fresh := l.applyHeartbeat(&msg, true)
	if l.ended {
		c.outbox.replyUnavailable(from)
		return
	}
	if !fresh {
		// A late copy, or a machine that is gone: no evidence and no sign of
		// life, and an answer would reach nobody.
		c.outbox.replyUnavailable(from)
		return
	}
	if from.relay {
		l.noteForwardedBy(from.by, m.Zone)
	}
	if label := l.redirectTarget(m, &msg, from); label != "" {
		c.outbox.reply(from, 421, protocol.Encode(protocol.Redirect{Leader: label}), 0)
		return
	}
	if !from.relay {
		l.reach.noteReached(c.env.now)
	}
	m.LastAnswered = c.env.now
	reply := protocol.WorkerHeartbeatReply{Token: l.token, Commands: l.pendingCommands(m, true)}
	c.outbox.reply(from, 200, protocol.Encode(reply), 0)
}

// answerForwardedHeartbeat answers a report that we passed on to another leader, who did not answer,
// and lead ourselves now. Turned away, the worker would look for us elsewhere, and wait for
// each controller that has ended. It may have answered a direct request since: then the
// report is no evidence, but its lease is renewed all the same.
func (l *leadership) answerForwardedHeartbeat(from requester, msg *protocol.WorkerHeartbeat, body []byte) {
	m := l.state.Machines[msg.Machine]
	if !l.ready || m == nil || m.Epoch != msg.Epoch || msg.Sequence > m.Sequence || msg.Token > l.token {
		l.controller.onWorkerHeartbeat(from, body)
		return
	}
	m.LastAnswered = l.controller.env.now
	l.controller.outbox.reply(from, 200, protocol.Encode(protocol.WorkerHeartbeatReply{Token: l.token, Commands: []protocol.Command{}}), 0)
}

// renewWithoutCommands keeps a worker whose report comes while the ledger is being read, or before a
// leader that stood still knows whether it still leads: without commands and with the
// token that it shows, as a follower does. Turned away, it would wait for each controller
// that has ended.
func (l *leadership) renewWithoutCommands(from requester, msg *protocol.WorkerHeartbeat) {
	if msg.Token > l.token {
		l.controller.endLeadership("a worker has seen a higher token")
	}
	if msg.Token > l.token || msg.Token == 0 || from.relay {
		l.controller.outbox.replyUnavailable(from)
		return
	}
	l.leaseOnlyReplyAt = l.controller.env.now
	l.controller.follower.replyLeaseOnly(from, msg)
}

// applyHeartbeat takes a worker's report, sent by itself or as an answer to a direct
// request. It returns false for what is not the machine's newest message.
func (l *leadership) applyHeartbeat(msg *protocol.WorkerHeartbeat, reported bool) (*clusterstate.Machine, bool) {
	if msg.Token > l.token {
		l.controller.endLeadership("a worker has seen a higher token")
		return nil, false
	}
	if l.pool.WasRemoved(msg.Machine) {
		return nil, false
	}
	m := l.state.Machines[msg.Machine]
	if m == nil {
		// Nobody expected it: it is used, or returned when idle.
		l.controller.env.log.Info("unexpected machine", "machine", msg.Machine, "type", msg.Type, "zone", msg.Zone)
		m = l.state.AddMachine(msg.Machine)
		m.ExistedAt, m.LaunchedAt = l.controller.env.now, l.controller.env.now
	}
	if m.Type == "" {
		m.Type, m.Zone, m.Spot = msg.Type, msg.Zone, msg.Spot
	}
	m.Size = l.machineSize(m.Type)
	if msg.Addr != "" {
		m.Addr = msg.Addr
	}
	message := clusterstate.HeartbeatHeader{Epoch: msg.Epoch, Sequence: msg.Sequence, Token: msg.Token, Heartbeat: reported}
	if !m.IsNewest(message) {
		return m, false
	}
	if !m.Seen {
		m.IdleSince = l.controller.env.now
	}
	if !m.Up {
		l.controller.env.log.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
	}
	sign := m.Apply(message, l.token, l.controller.env.now, l.controller.env.cfg.Lease())
	m.Up = true
	if sign.AnswersLost {
		l.controller.env.log.Info("answers don't reach the machine", "machine", m.ID, "session", msg.Epoch)
	}
	if sign.LeaseExpired {
		l.controller.env.log.Info("session lapsed", "machine", m.ID, "session", msg.Epoch)
	}
	l.fillPending = l.fillPending || sign.FirstToken
	if msg.SpotNoticeS != nil {
		by := l.controller.env.now + seconds(max(0, min(*msg.SpotNoticeS, 1e6)))
		if !m.SpotNotice {
			l.controller.env.log.Info("notice", "machine", m.ID, "seconds", *msg.SpotNoticeS)
			m.SpotNotice, m.ReclaimedBy = true, by
			l.fillPending = true
		}
		m.ReclaimedBy = min(m.ReclaimedBy, by)
	}
	reconcile(m, msg, sign.ShowsToken, l)
	return m, true
}

// onRunning takes the beginning of an attempt's run: its image is there.
func (l *leadership) onRunning(m *clusterstate.Machine, a *clusterstate.Attempt) {
	l.noteImageUse(m, a.Job)
	l.controller.env.log.Debug("running", "task", a.Key().Task, "try", a.Number, "machine", m.ID)
}

// onAbsent takes an attempt that the machine no longer has.
func (l *leadership) onAbsent(a *clusterstate.Attempt, why absenceProof) { l.removeAttempt(a, why) }

// adoptUnknownAttempt notes an attempt that the ledger did not have on that machine. Its
// presence blocks a second start; it is halted.
func (l *leadership) adoptUnknownAttempt(m *clusterstate.Machine, key clusterstate.AttemptKey) *clusterstate.Attempt {
	uid, index, ok := clusterstate.ParseTask(key.Task)
	if !ok {
		return nil
	}
	j := l.state.Jobs[uid]
	if j == nil || index >= j.Spec.Tasks {
		if m.UnknownTasks == nil {
			m.UnknownTasks = map[clusterstate.AttemptKey]time.Duration{}
		}
		if _, known := m.UnknownTasks[key]; !known {
			l.controller.env.log.Info("unknown task", "task", key.Task, "try", key.Attempt, "machine", m.ID)
			m.UnknownTasks[key] = 0
		}
		return nil
	}
	l.controller.env.log.Info("task not in the ledger", "task", key.Task, "try", key.Attempt, "machine", m.ID)
	a := l.state.AddAttempt(m, j, index, key.Attempt, l.controller.env.now)
	a.Durable, a.Loaded = true, true
	l.requestStop(a, j.Spec.SaveS, "not in the ledger")
	l.storeMachine(m, statestore.Lazy, nil)
	return a
}
