package controller

import (
	"net/http"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// heartbeatReceiver takes the workers' heartbeats, and the responses to direct calls, which have the same form,
// and applies them to the cluster state.
//
// Its own state is only when it last renewed a worker's lease without commands. It ends with the leadership:
// after a failover every worker is heard anew.
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

// maxSpotNoticeS bounds the notice of a spot reclaim, in seconds, so that a wrong value can't overflow a time.
const maxSpotNoticeS = 1e6

// onWorkerHeartbeat answers a worker's heartbeat, as the leader or as a follower.
func (c *Controller) onWorkerHeartbeat(from requester, body []byte) {
	var msg protocol.WorkerHeartbeat
	if err := protocol.Decode(body, &msg); err != nil || msg.Machine == "" {
		c.outbox.reply(from, http.StatusBadRequest, nil, 0)
		return
	}
	if c.pause.isRecovering() {
		// After a process pause it knows nothing yet, not even whether it leads.
		c.outbox.replyUnavailable(from)
		return
	}
	if c.leadership == nil {
		c.follower.onWorkerHeartbeat(from, &msg, body)
		return
	}
	c.leadership.onWorkerHeartbeat(from, &msg)
}

// onWorkerHeartbeat answers a worker's heartbeat while this controller does not lead: it renews the worker's
// lease for the leader, forwards the heartbeat to the leader, or redirects the worker there.
func (f *follower) onWorkerHeartbeat(from requester, msg *protocol.WorkerHeartbeat, body []byte) {
	if f.tryRenewLeaseForLeader(msg) {
		f.replyLeaseOnly(from, msg)
		return
	}
	if f.forwardsHeartbeat(msg) {
		f.forwardHeartbeat(from, msg, body)
		return
	}
	leader := f.leaderLabel()
	if leader == "" || leader == f.env.cfg.Label {
		f.outbox.replyUnavailable(from)
		return
	}
	f.outbox.replyRedirect(from, leader)
}

// onWorkerHeartbeat answers a worker's heartbeat as the leader.
func (l *leadership) onWorkerHeartbeat(from requester, msg *protocol.WorkerHeartbeat) {
	env, outbox := l.controller.env, l.controller.outbox
	if !l.loader.ready || l.lease.verifiesLease() {
		l.heartbeats.renewWithoutCommands(from, msg)
		return
	}
	m, newest := l.heartbeats.applyHeartbeat(msg, true)
	if l.lease.ended || !newest {
		// What is not newest is a late copy, or from a machine that was removed. It is neither evidence nor a
		// sign of life, and nobody waits for the answer.
		outbox.replyUnavailable(from)
		return
	}
	if from.relayed {
		l.router.noteForwardedBy(from.forwardedBy, m.Zone)
	}
	if label := l.router.redirectTarget(m, msg, from); label != "" {
		outbox.replyRedirect(from, label)
		return
	}
	if !from.relayed {
		l.reach.noteReached(env.now)
	}
	m.LastAnswered = env.now
	l.heartbeats.replyWithCommands(from, l.dispatcher.pendingCommands(m, true))
}

// replyWithCommands answers a heartbeat under the leader's token, which renews the worker's lease.
func (h *heartbeatReceiver) replyWithCommands(to requester, commands []protocol.Command) {
	reply := protocol.WorkerHeartbeatReply{Token: h.lease.token, Commands: commands}
	h.outbox.reply(to, http.StatusOK, protocol.Encode(reply), 0)
}

// answerForwardedHeartbeat answers a heartbeat that this controller forwarded as a follower to another leader,
// which did not answer, now that it leads itself. If it refused the worker, the worker would look for the
// leader elsewhere and wait for each controller that has ended. The worker may have answered a direct call
// since: then the heartbeat is no evidence, but its lease is renewed all the same.
func (h *heartbeatReceiver) answerForwardedHeartbeat(from requester, msg *protocol.WorkerHeartbeat, body []byte) {
	m := h.state.Machines[msg.Machine]
	if !h.loader.ready || m == nil || m.Epoch != msg.Epoch || msg.Sequence > m.Sequence || msg.Token > h.lease.token {
		h.controller.onWorkerHeartbeat(from, body)
		return
	}
	m.LastAnswered = h.env.now
	h.replyWithCommands(from, []protocol.Command{})
}

// renewWithoutCommands renews the lease of a worker whose heartbeat comes while the stored records are being
// read, or after a process pause before the leader knows whether it still leads. As a follower does, it sends
// no commands and the token that the worker shows. A worker that is refused waits for each controller that has
// ended.
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

// applyHeartbeat applies a worker's message to the cluster state: a heartbeat (isHeartbeat), or the response to
// a direct call. It returns false for what is not the machine's newest message. A message with a later token
// ends the leadership.
func (h *heartbeatReceiver) applyHeartbeat(msg *protocol.WorkerHeartbeat, isHeartbeat bool) (*clusterstate.Machine, bool) {
	if msg.Token > h.lease.token {
		h.controller.endLeadership(endWorkerSawLater)
		return nil, false
	}
	if h.pool.WasRemoved(msg.Machine) {
		return nil, false
	}
	m := h.sender(msg)
	header := clusterstate.HeartbeatHeader{Epoch: msg.Epoch, Sequence: msg.Sequence, Token: msg.Token, Heartbeat: isHeartbeat}
	if !m.IsNewest(header) {
		return m, false
	}
	if !m.Seen {
		m.IdleSince = h.env.now
	}
	if !m.EverReported {
		h.env.log.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
	}
	observation := m.RecordMessage(header, h.lease.token, h.env.now, h.env.cfg.WorkerLease())
	m.EverReported = true
	if observation.AnswersLost {
		h.env.log.Info("machine receives no answers", "machine", m.ID, "epoch", msg.Epoch)
	}
	if observation.LeaseExpired {
		h.env.log.Info("agent epoch expired", "machine", m.ID, "epoch", msg.Epoch)
	}
	h.placement.fillPending = h.placement.fillPending || observation.FirstLeaderToken
	h.noteSpotNotice(m, msg)
	reconcile(m, msg, observation.HasLeaderToken, h)
	return m, true
}

// sender is the machine that a message comes from, with what the message says of its type and address. One
// that nobody expected is added: it is used, or released when it is idle.
func (h *heartbeatReceiver) sender(msg *protocol.WorkerHeartbeat) *clusterstate.Machine {
	m := h.state.Machines[msg.Machine]
	if m == nil {
		h.env.log.Info("heartbeat from an unknown machine", "machine", msg.Machine, "type", msg.Type, "zone", msg.Zone)
		m = h.state.AddMachine(msg.Machine)
		m.KnownToExistAt, m.LaunchedAt = h.env.now, h.env.now
	}
	if m.Type == "" {
		m.Type, m.Zone, m.Spot = msg.Type, msg.Zone, msg.Spot
	}
	m.Size = h.machines.machineSize(m.Type)
	if msg.Addr != "" {
		m.Addr = msg.Addr
	}
	return m
}

// noteSpotNotice notes when the cloud will reclaim a spot machine, as its worker says. Of several notices the
// earliest counts.
func (h *heartbeatReceiver) noteSpotNotice(m *clusterstate.Machine, msg *protocol.WorkerHeartbeat) {
	if msg.SpotNoticeS == nil {
		return
	}
	reclaimedBy := h.env.now + seconds(max(0, min(*msg.SpotNoticeS, maxSpotNoticeS)))
	if !m.ReclaimNotice {
		h.env.log.Info("spot reclaim notice", "machine", m.ID, "notice_s", *msg.SpotNoticeS)
		m.ReclaimNotice, m.ReclaimedBy = true, reclaimedBy
		h.placement.fillPending = true
	}
	m.ReclaimedBy = min(m.ReclaimedBy, reclaimedBy)
}

// onRunning handles an attempt that has begun to run, so that its image is on the machine.
func (h *heartbeatReceiver) onRunning(m *clusterstate.Machine, a *clusterstate.Attempt) {
	h.machines.noteImageUse(m, a.Job)
	h.env.log.Debug("task running", "task", a.Key().Task, "attempt", a.Number, "machine", m.ID)
}

// onAbsent handles an attempt that is proved to be no longer on the machine.
func (h *heartbeatReceiver) onAbsent(a *clusterstate.Attempt, proof absenceProof) {
	h.attempts.removeAttempt(a, proof)
}

// adoptUnknownAttempt adds an attempt that the cluster state did not have on that machine. While it is there,
// the task is not started a second time; it is stopped. The result is nil if the task's job is unknown.
func (h *heartbeatReceiver) adoptUnknownAttempt(m *clusterstate.Machine, key clusterstate.AttemptKey) *clusterstate.Attempt {
	uid, index, ok := clusterstate.ParseTaskName(key.Task)
	if !ok {
		return nil
	}
	j := h.state.Jobs[uid]
	if j == nil || index >= j.Spec.Tasks {
		h.noteUnknownTask(m, key)
		return nil
	}
	h.env.log.Info("heartbeat lists an unrecorded attempt", "task", key.Task, "attempt", key.Attempt, "machine", m.ID)
	a := h.state.AddAttempt(m, j, index, key.Attempt, h.env.now)
	a.Durable, a.Loaded = true, true
	h.attempts.requestStop(a, j.Spec.SaveS, stopUnrecorded)
	h.machines.storeMachine(m, statestore.PriorityBackground, nil)
	return a
}

// noteUnknownTask notes a task whose job the cluster state does not have. The dispatcher stops it.
func (h *heartbeatReceiver) noteUnknownTask(m *clusterstate.Machine, key clusterstate.AttemptKey) {
	if m.UnknownTasks == nil {
		m.UnknownTasks = map[clusterstate.AttemptKey]time.Duration{}
	}
	if _, known := m.UnknownTasks[key]; !known {
		h.env.log.Info("heartbeat lists an unknown task", "task", key.Task, "attempt", key.Attempt, "machine", m.ID)
		m.UnknownTasks[key] = 0
	}
}
