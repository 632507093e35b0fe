package controller

import (
	"net/http"
	"slices"
	"time"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/machinepool"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// heartbeatReceiver applies the workers' heartbeats, and the replies to direct calls, which have the same form, to
// the cluster state.
//
// Its only own state is leaseOnlyReplyAt, which is discarded when the leadership ends: after a failover the next
// leader waits for a new heartbeat of every worker.
type heartbeatReceiver struct {
	attemptNumbers *attemptNumbers
	attempts       *attemptTracker
	authority      *authority
	completions    *completionRecorder
	controller     *Controller
	env            *environment
	failures       *failureTracker
	follower       *follower
	jobs           *jobCompletion
	lease          *leaderLease
	machines       *machineRegistry
	outbox         *outbox
	placement      *taskScheduler
	pool           *machinepool.Pool
	state          *clusterstate.State
	store          *statestore.Writer
	tokens         *commandTokens

	leaseOnlyReplyAt time.Duration // when a worker's lease was last renewed by a reply without commands
}

// maxSpotNoticeS bounds the notice period of a spot reclaim, in seconds. Larger values, which a faulty worker could
// send, would overflow a time.Duration.
const maxSpotNoticeS = 1e6

// onWorkerHeartbeat answers a worker's heartbeat, as the leader or as a follower.
func (c *Controller) onWorkerHeartbeat(from requester, body []byte) {
	var msg protocol.WorkerHeartbeat
	if err := protocol.Decode(body, &msg); err != nil || msg.Machine == "" {
		c.outbox.reply(from, http.StatusBadRequest, nil, 0)
		return
	}
	if c.pause.isRecovering() {
		// After a process pause this controller's view is stale: another controller may have become leader.
		c.outbox.replyUnavailable(from)
		return
	}
	if c.leadership == nil {
		c.follower.onWorkerHeartbeat(from, &msg, body)
		return
	}
	c.leadership.onWorkerHeartbeat(from, &msg)
}

// onWorkerHeartbeat answers a worker's heartbeat as a follower: the follower renews the worker's lease for the
// leader, forwards the heartbeat to the leader, or redirects the worker to the leader.
func (f *follower) onWorkerHeartbeat(from requester, msg *protocol.WorkerHeartbeat, body []byte) {
	if f.tryRenewLeaseForLeader(msg) {
		f.replyLeaseOnly(from, msg)
		return
	}
	if f.shouldForwardHeartbeat(msg) {
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
	if !l.authority.mayServe() {
		l.heartbeats.renewWithoutCommands(from, msg)
		return
	}
	m, newest := l.heartbeats.applyHeartbeat(msg, true)
	if l.lease.ended || !newest {
		// If newest is false, the message is a late copy, is of an expired epoch, or its machine was removed. Such a
		// message proves neither the state of a task nor that the machine is up, and no worker waits for the reply.
		outbox.replyUnavailable(from)
		return
	}
	if from.relayed {
		l.router.recordForwardedBy(from.forwardedBy, m.Zone)
	}
	if label := l.router.redirectTarget(m, msg, from); label != "" {
		outbox.replyRedirect(from, label)
		return
	}
	if !from.relayed {
		l.reachability.recordReached(env.now)
	}
	m.LastAnswered = env.now
	l.heartbeats.replyWithCommands(from, m, l.dispatcher.pendingCommands(m, true))
}

// replyWithCommands answers a machine's heartbeat with the leader's token and commands, which renews the worker's lease.
// Commands that the leader may not send are left out.
func (h *heartbeatReceiver) replyWithCommands(to requester, m *clusterstate.Machine, commands []protocol.Command) {
	token := h.tokens.of(m)
	commands = h.authority.withoutUnfencedClears(m, token, commands)
	reply := protocol.WorkerHeartbeatReply{Token: token, Commands: commands}
	validUntil := time.Duration(0)
	if slices.ContainsFunc(commands, func(command protocol.Command) bool { return command.Verb == protocol.VerbRun }) {
		validUntil = h.authority.decidesUntil()
	}
	h.outbox.replyUntil(to, http.StatusOK, protocol.Encode(reply), 0, validUntil)
}

// answerForwardedHeartbeat answers a heartbeat that this controller forwarded to the previous leader as a follower,
// if this controller was elected before the request completed. A refusal would make the worker try the other
// controllers, and wait for the timeout of each terminated controller. If the worker has since answered a direct call,
// the heartbeat is out of date and is not applied to the cluster state, but the reply still renews the worker's lease.
func (h *heartbeatReceiver) answerForwardedHeartbeat(from requester, msg *protocol.WorkerHeartbeat, body []byte) {
	m := h.state.Machines[msg.Machine]
	if !h.authority.mayServe() || m == nil || m.Epoch != msg.Epoch || msg.Sequence > m.Sequence || h.tokens.isOfLaterLeader(msg.Token) {
		h.controller.onWorkerHeartbeat(from, body)
		return
	}
	m.LastAnswered = h.env.now
	h.replyWithCommands(from, m, []protocol.Command{})
}

// renewWithoutCommands renews the lease of a worker whose heartbeat arrives while the leader loads the stored
// records, or while it verifies its own lease after a process pause. Like the reply of a follower, the reply has no
// commands and repeats the token that the worker sent. A refusal would make the worker try the other controllers,
// and wait for the timeout of each terminated controller.
func (h *heartbeatReceiver) renewWithoutCommands(from requester, msg *protocol.WorkerHeartbeat) {
	if h.tokens.isOfLaterLeader(msg.Token) {
		h.controller.endLeadership(endWorkerHasHigherToken)
	}
	if h.tokens.isOfLaterLeader(msg.Token) || msg.Token == 0 || from.relayed {
		h.outbox.replyUnavailable(from)
		return
	}
	h.leaseOnlyReplyAt = h.env.now
	h.follower.replyLeaseOnly(from, msg)
}

// applyHeartbeat applies a worker's message to the cluster state. The message is a heartbeat if isHeartbeat is true,
// and the reply to a direct call otherwise. A message that is not the machine's newest is not applied, and the result
// is false. A message with a later leader's token ends the leadership.
func (h *heartbeatReceiver) applyHeartbeat(msg *protocol.WorkerHeartbeat, isHeartbeat bool) (*clusterstate.Machine, bool) {
	if h.tokens.isOfLaterLeader(msg.Token) {
		h.controller.endLeadership(endWorkerHasHigherToken)
		return nil, false
	}
	if h.pool.WasRemoved(msg.Machine) {
		return nil, false
	}
	m := h.findOrAddSender(msg)
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
	h.tokens.recordShown(m, msg.Token)
	if observation.AnswersUndelivered {
		h.env.log.Info("machine does not receive the leader's answers", "machine", m.ID, "epoch", msg.Epoch)
	}
	if observation.LeaseExpired {
		h.env.log.Info("agent epoch expired", "machine", m.ID, "epoch", msg.Epoch)
	}
	h.placement.fillPending = h.placement.fillPending || observation.FirstLeaderToken
	h.recordSpotNotice(m, msg)
	reconcile(m, msg, observation.HasLeaderToken, h)
	return m, true
}

// findOrAddSender returns the machine that sent the message, and updates its address and, if unknown, its type and zone
// from the message. A machine that the cluster state lacks is added: it gets tasks like any other, or is released when
// it is idle.
func (h *heartbeatReceiver) findOrAddSender(msg *protocol.WorkerHeartbeat) *clusterstate.Machine {
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

// recordSpotNotice records when the cloud will reclaim a spot machine according to its worker. The earliest of several
// notices applies.
func (h *heartbeatReceiver) recordSpotNotice(m *clusterstate.Machine, msg *protocol.WorkerHeartbeat) {
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

// onRunning handles an attempt that has begun to run, which shows that the machine has fetched its image.
func (h *heartbeatReceiver) onRunning(m *clusterstate.Machine, a *clusterstate.Attempt) {
	h.machines.recordImageUse(m, a.Job)
	a.RunningSince = h.env.now
	h.failures.onTaskRunning(a)
	h.env.log.Debug("task running", "task", a.Key().Task, "attempt", a.Number, "machine", m.ID)
}

// onAbsent handles an attempt that is proven to have left the machine.
func (h *heartbeatReceiver) onAbsent(a *clusterstate.Attempt, proof absenceProof) {
	h.attempts.removeAttempt(a, proof)
}
