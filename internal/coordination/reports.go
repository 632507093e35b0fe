package coordination

import (
	"time"

	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
	"claybarrow/internal/statestore"
)

// onReport takes a worker's report.
func (c *Core) onReport(from requester, body []byte) {
	var msg protocol.Report
	if err := protocol.Decode(body, &msg); err != nil || msg.Machine == "" {
		c.reply(from, 400, nil, 0)
		return
	}
	r := c.term
	if c.isResuming() {
		c.refuse(from) // it knows nothing yet, not even whether it leads
		return
	}
	if r == nil {
		if c.renewsLease(&msg) {
			c.renewLease(from, &msg)
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
	if !r.ready || r.suspended() {
		r.renewOnly(from, &msg)
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
	if from.relay {
		r.forwardedBy(from.by, m.Zone)
	}
	if label := r.reportTarget(m, &msg, from); label != "" {
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

// takeOverReport answers a report that we passed on to another leader, who did not answer,
// and lead ourselves now. Turned away, the worker would look for us elsewhere, and wait for
// each controller that has ended. It may have answered a direct request since: then the
// report is no evidence, but its lease is renewed all the same.
func (r *term) takeOverReport(from requester, msg *protocol.Report, body []byte) {
	c := r.c
	m := r.Machines[msg.Machine]
	if !r.ready || m == nil || m.Session != msg.Session || msg.Seq > m.Seq || msg.Token > r.token {
		c.onReport(from, body)
		return
	}
	m.Answered = c.now
	c.reply(from, 200, protocol.Encode(protocol.ReportReply{Token: r.token, Commands: []protocol.Command{}}), 0)
}

// renewOnly keeps a worker whose report comes while the ledger is being read, or before a
// leader that stood still knows whether it still leads: without commands and with the
// token that it shows, as a follower does. Turned away, it would wait for each controller
// that has ended.
func (r *term) renewOnly(from requester, msg *protocol.Report) {
	c := r.c
	if msg.Token > r.token {
		c.endTerm("a worker has seen a higher token")
	}
	if msg.Token > r.token || msg.Token == 0 || from.relay {
		c.refuse(from)
		return
	}
	r.renewed = c.now
	c.renewLease(from, msg)
}

// observe takes a worker's report, sent by itself or as an answer to a direct
// request. It returns false for what is not the machine's newest message.
func (r *term) observe(msg *protocol.Report, reported bool) (*ledger.Machine, bool) {
	c := r.c
	if msg.Token > r.token {
		c.endTerm("a worker has seen a higher token")
		return nil, false
	}
	if r.pool.WasRemoved(msg.Machine) {
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
	message := ledger.SessionMessage{Session: msg.Session, Seq: msg.Seq, Token: msg.Token, Report: reported}
	if !m.IsNewest(message) {
		return m, false
	}
	if !m.Known {
		m.IdleSince = c.now
	}
	if !m.Up {
		c.log.Info("machine up", "machine", m.ID, "type", m.Type, "zone", m.Zone, "spot", m.Spot)
	}
	sign := m.Take(message, r.token, c.now, c.cfg.Lease())
	m.Up = true
	if sign.Unheard {
		c.log.Info("answers don't reach the machine", "machine", m.ID, "session", msg.Session)
	}
	if sign.Lapsed {
		c.log.Info("session lapsed", "machine", m.ID, "session", msg.Session)
	}
	r.fillDirty = r.fillDirty || sign.First
	if msg.NoticeS != nil {
		by := c.now + seconds(max(0, min(*msg.NoticeS, 1e6)))
		if !m.Notice {
			c.log.Info("notice", "machine", m.ID, "seconds", *msg.NoticeS)
			m.Notice, m.NoticeBy = true, by
			r.fillDirty = true
		}
		m.NoticeBy = min(m.NoticeBy, by)
	}
	compareWithLedger(m, msg, sign.Ours, r)
	return m, true
}

// onRunning takes the beginning of an attempt's run: its image is there.
func (r *term) onRunning(m *ledger.Machine, a *ledger.Attempt) {
	r.useImage(m, a.Job)
	r.c.log.Debug("running", "task", a.Key().Task, "try", a.Try, "machine", m.ID)
}

// adoptUnknown notes an attempt that the ledger did not have on that machine. Its
// presence blocks a second start; it is halted.
func (r *term) adoptUnknown(m *ledger.Machine, key ledger.Key) *ledger.Attempt {
	uid, index, ok := ledger.ParseTask(key.Task)
	if !ok {
		return nil
	}
	j := r.Jobs[uid]
	if j == nil || index >= j.Spec.Tasks {
		if m.UnknownTasks == nil {
			m.UnknownTasks = map[ledger.Key]time.Duration{}
		}
		if _, known := m.UnknownTasks[key]; !known {
			r.c.log.Info("unknown task", "task", key.Task, "try", key.Try, "machine", m.ID)
			m.UnknownTasks[key] = 0
		}
		return nil
	}
	r.c.log.Info("task not in the ledger", "task", key.Task, "try", key.Try, "machine", m.ID)
	a := r.Put(m, j, index, key.Try, r.c.now)
	a.Durable, a.Loaded = true, true
	r.halt(a, j.Spec.SaveS, "not in the ledger")
	r.record(m, statestore.Lazy, nil)
	return a
}
