package coordination

import (
	"claybarrow/internal/ledger"
	"claybarrow/internal/protocol"
)

// reportOutcomes is told of what the comparison of a report with the ledger finds.
type reportOutcomes interface {
	// onExit takes a task that the machine reports as ended.
	onExit(m *ledger.Machine, key ledger.Key, t protocol.TaskReport)
	// onRunning takes an attempt that has begun to run.
	onRunning(m *ledger.Machine, a *ledger.Attempt)
	// adoptUnknown takes a task that the ledger does not have there; nil: nothing is known of it at all.
	adoptUnknown(m *ledger.Machine, key ledger.Key) *ledger.Attempt
	// gone takes an attempt that is proved to be no longer on the machine.
	gone(a *ledger.Attempt, why goneReason)
}

// comparison sets the newest message of a machine against what the ledger has there.
type comparison struct {
	machine *ledger.Machine
	// ours: the message shows our token, so no command of an earlier leader can follow it.
	ours     bool
	outcomes reportOutcomes
	reported map[ledger.Key]bool
}

// compareWithLedger takes a machine's newest message.
func compareWithLedger(m *ledger.Machine, msg *protocol.Report, ours bool, outcomes reportOutcomes) {
	c := &comparison{machine: m, ours: ours, outcomes: outcomes, reported: map[ledger.Key]bool{}}
	for _, t := range msg.Tasks {
		c.present(t)
	}
	c.findAbsent()
	c.forget()
}

// present takes a task that the machine reports.
func (c *comparison) present(t protocol.TaskReport) {
	key := ledger.Key{Task: t.Task, Try: t.Attempt}
	c.reported[key] = true
	if t.State == protocol.Exited {
		c.outcomes.onExit(c.machine, key, t)
		return
	}
	a := c.machine.Attempts[key]
	if a == nil {
		a = c.outcomes.adoptUnknown(c.machine, key)
	}
	if a == nil {
		return
	}
	a.Acked, a.Sent = true, true
	a.Session = c.machine.Session
	if a.State == t.State {
		return
	}
	a.SetState(t.State)
	if t.State == protocol.Running {
		c.outcomes.onRunning(c.machine, a)
	}
}

// findAbsent looks for attempts whose absence from the message proves that they are gone.
func (c *comparison) findAbsent() {
	if !c.missesSome() {
		return // mostly so, and nothing to sort
	}
	for _, a := range c.machine.Sorted() {
		if !c.reported[a.Key()] && a.Sent && c.provesAbsence(a) {
			c.outcomes.gone(a, absentFromReport)
		}
	}
}

// missesSome says whether an attempt whose run was sent is not reported.
func (c *comparison) missesSome() bool {
	for key, a := range c.machine.Attempts {
		if !c.reported[key] && a.Sent {
			return true
		}
	}
	return false
}

// provesAbsence says whether the message, which lacks the attempt, proves that it is not on the
// machine: by a later session than any run of it named, or by our token after its run was
// answered. Without our token the message may be old, and a run of an earlier leader under way.
// Of one that is to be stopped it is also enough that no run of it can be on its way: none was
// lost, and a report was sent after the last answer that carried one. Without this a task
// whose runs had all been refused was waited for until its machine's session ended.
func (c *comparison) provesAbsence(a *ledger.Attempt) bool {
	if !a.Loaded && a.Session < c.machine.Session {
		return true
	}
	neverBegins := a.Halt && !a.Lost && c.machine.ReportSeq > a.RunSeq
	return c.ours && (a.Acked || a.Loaded || neverBegins) && a.Flying == 0
}

// forget drops ended and unknown tasks that the machine no longer reports.
func (c *comparison) forget() {
	for key := range c.machine.Exited {
		if c.ours && !c.reported[key] {
			delete(c.machine.Exited, key)
		}
	}
	for key := range c.machine.UnknownTasks {
		// Gone or ended: with any left the machine takes no work.
		if c.machine.Exited[key] != nil || c.ours && !c.reported[key] {
			delete(c.machine.UnknownTasks, key)
		}
	}
}
