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

// A rolling upgrade of real processes: the controllers begin with run.older, are started again with
// run.program one after the other, and may be rolled back. upgradeMonitor counts what must not happen
// meanwhile.

// upgradeMonitor follows an upgrade of a region. Only the event loop uses it.
type upgradeMonitor struct {
	// left are the tasks that have left a machine other than by failing: stopped or completed.
	left        map[string]bool
	dropped     int
	gateChanges []string
	gateOpen    bool
	openedEarly string // which controller ran the older program when the gate opened
}

func newUpgradeMonitor() *upgradeMonitor { return &upgradeMonitor{left: map[string]bool{}} }

// UpgradeResult counts what a run saw of an upgrade.
type UpgradeResult struct {
	// DroppedPlacements counts tasks that started again though they were done or nobody had told them to stop.
	DroppedPlacements int `json:"placements_dropped"`
	// UnreadableRecords counts the records that a controller could not read, by its log.
	UnreadableRecords int `json:"unreadable_records"`
	// GateChanges lists the changes of the feature gate, in seconds after the start.
	GateChanges []string `json:"gate"`
	// OpenedEarly says which controller ran the older program when the gate opened; empty: none.
	OpenedEarly string `json:"opened_early,omitempty"`
}

// check returns a RuleViolation if something happened that must not happen in an upgrade.
func (u *UpgradeResult) check(region int) error {
	violation := &RuleViolation{Region: region}
	switch {
	case u.OpenedEarly != "":
		violation.Rule, violation.Problem = "opened_early", u.OpenedEarly
	case u.UnreadableRecords > 0:
		violation.Rule, violation.Problem = "unreadable", fmt.Sprintf("%d records could not be read", u.UnreadableRecords)
	case u.DroppedPlacements > 0:
		violation.Rule, violation.Problem = "dropped", fmt.Sprintf("%d tasks began again", u.DroppedPlacements)
	default:
		return nil
	}
	return violation
}

// programOf returns the program that a controller runs and the path of its operators' settings.
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

// changeProgram kills a controller, which is started again with the newer or the older program.
func (p *controlPlane) changeProgram(ctx context.Context, c *controller, newer bool) {
	c.mu.Lock()
	c.runsNewer, c.gateHeld = newer, c.gateHeld && newer
	c.mu.Unlock()
	p.kill(ctx, c)
}

// holdGate kills a controller, which is started again with the feature gate held closed.
func (p *controlPlane) holdGate(ctx context.Context, c *controller) {
	c.mu.Lock()
	c.gateHeld = true
	c.mu.Unlock()
	p.kill(ctx, c)
}

// gateState records when the feature gate opens and closes, as the leader's record tells, and
// whether a controller ran the older program when it opened.
func (u *upgradeMonitor) gateState(leader leaderRecord, controllers []*controller, now time.Duration) {
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

// taskStopped records a task that has left its machine.
func (u *upgradeMonitor) taskStopped(task string, t *emulator.Task) {
	if t.State != protocol.TaskExited || t.Cause == protocol.CauseDone {
		u.left[task] = true
	}
}

// taskStarted counts a task that starts again and should not. The job may be nil.
func (u *upgradeMonitor) taskStarted(task string, j *job, now time.Duration) {
	if u.left[task] && j != nil && !j.cancelRequested {
		u.dropped++
		j.note(now, "%s is dropped and begins again", task)
	}
}

// result sums up the upgrade, with what the controllers' logs tell of it.
func (u *upgradeMonitor) result(logs []string) *UpgradeResult {
	out := &UpgradeResult{DroppedPlacements: u.dropped, GateChanges: u.gateChanges, OpenedEarly: u.openedEarly}
	for _, path := range logs {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue // it never started
		}
		out.UnreadableRecords += bytes.Count(raw, []byte(messageUnreadable)) + bytes.Count(raw, []byte(messageUnreadableBefore))
	}
	return out
}
