package scalerun

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// upgradeMonitor counts errors during a rolling upgrade of a region's controllers: they start with run.older, are
// restarted with run.program one after another, and may be rolled back. It must be used on the event loop only.
type upgradeMonitor struct {
	// endedTasks holds the tasks that completed, and the tasks that ended without an exit report because their
	// worker's lease expired, or because its machine failed or was deleted.
	endedTasks  map[string]bool
	dropped     int
	gateChanges []string
	gateOpen    bool
	openedEarly string // names a controller that ran the older program when the gate opened
}

func newUpgradeMonitor() *upgradeMonitor { return &upgradeMonitor{endedTasks: map[string]bool{}} }

// UpgradeResult reports the errors and the feature gate changes of an upgrade.
type UpgradeResult struct {
	// DroppedPlacements counts repeated starts of tasks that had completed or had ended without an exit report (see
	// upgradeMonitor.endedTasks). Tasks of jobs whose clients requested cancellation are not counted.
	DroppedPlacements int `json:"placements_dropped"`
	// UnreadableRecords counts the stored records that the controllers logged as unreadable.
	UnreadableRecords int `json:"unreadable_records"`
	// GateChanges lists the changes of the feature gate, with their times in seconds since the start of the run.
	GateChanges []string `json:"gate"`
	// OpenedEarly names a controller that ran the older program when the gate opened; empty if there was none.
	OpenedEarly string `json:"opened_early,omitempty"`
}

// check returns a RuleViolation if the upgrade had an error.
func (u *UpgradeResult) check(region int) error {
	violation := &RuleViolation{Region: region}
	switch {
	case u.OpenedEarly != "":
		violation.Rule, violation.Problem = "opened_early", u.OpenedEarly
	case u.UnreadableRecords > 0:
		violation.Rule, violation.Problem = "unreadable", fmt.Sprintf("controllers logged %d unreadable records", u.UnreadableRecords)
	case u.DroppedPlacements > 0:
		violation.Rule, violation.Problem = "dropped", fmt.Sprintf("%d task starts after the task had completed or had ended without an exit report", u.DroppedPlacements)
	default:
		return nil
	}
	return violation
}

// programOf returns the program that a controller runs and the path of its operator settings.
func (p *controlPlane) programOf(c *controller) (program, operator string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.runsNewer:
		return p.plan.Run.Older, p.operatorFiles.older
	case c.gateHeld:
		return p.plan.Run.Program, p.operatorFiles.gateHeld
	}
	return p.plan.Run.Program, p.operatorFiles.newer
}

// changeProgram kills a controller, which is then restarted with the newer or the older program.
func (p *controlPlane) changeProgram(ctx context.Context, c *controller, newer bool) {
	c.mu.Lock()
	c.runsNewer, c.gateHeld = newer, c.gateHeld && newer
	c.mu.Unlock()
	p.kill(ctx, c)
}

// holdGate kills a controller, which is then restarted with the feature gate held closed.
func (p *controlPlane) holdGate(ctx context.Context, c *controller) {
	c.mu.Lock()
	c.gateHeld = true
	c.mu.Unlock()
	p.kill(ctx, c)
}

// recordGateState records when the feature gate opens and closes according to the leader's record, and whether a
// controller ran the older program when the gate opened.
func (u *upgradeMonitor) recordGateState(leader leaderRecord, controllers []*controller, now time.Duration) {
	if leader.Token == 0 || (leader.Form != 0) == u.gateOpen {
		return
	}
	u.gateOpen = !u.gateOpen
	state := "closed"
	if u.gateOpen {
		state = "open"
	}
	u.gateChanges = append(u.gateChanges, fmt.Sprintf("%s at %.1f s", state, now.Seconds()))
	for _, c := range controllers {
		c.mu.Lock()
		if u.gateOpen && !c.runsNewer {
			u.openedEarly = c.label + " ran the older program when the gate opened"
		}
		c.mu.Unlock()
	}
}

// taskStopped adds a task to endedTasks if it completed or ended without an exit report.
func (u *upgradeMonitor) taskStopped(task string, t *emulator.Task) {
	if t.State != protocol.TaskExited || t.Cause == protocol.CauseDone {
		u.endedTasks[task] = true
	}
}

// taskStarted counts the start of a task that is in endedTasks, unless its client requested cancellation. j may be
// nil.
func (u *upgradeMonitor) taskStarted(task string, j *job, now time.Duration) {
	if u.endedTasks[task] && j != nil && !j.cancelRequested {
		u.dropped++
		j.addHistory(now, "the placement of %s was dropped; the task starts again", task)
	}
}

// result returns the recorded errors and changes, and the unreadable records found in the controllers' logs.
func (u *upgradeMonitor) result(logs []string) *UpgradeResult {
	summary := &UpgradeResult{DroppedPlacements: u.dropped, GateChanges: u.gateChanges, OpenedEarly: u.openedEarly}
	for _, path := range logs {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue // the controller never started
		}
		summary.UnreadableRecords += bytes.Count(raw, []byte(messageUnreadable)) + bytes.Count(raw, []byte(messageUnreadableLegacy))
	}
	return summary
}
