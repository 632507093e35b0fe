package controller

import (
	"cmp"
	"maps"
	"slices"

	"claybarrow/internal/clusterstate"
	"claybarrow/internal/protocol"
)

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
