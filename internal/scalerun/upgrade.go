package scalerun

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"

	"claybarrow/internal/emulator"
	"claybarrow/internal/protocol"
)

// A rolling upgrade of real processes: the controllers begin with an older program, are started again
// with the plan's one after the other, and perhaps go back. What must not happen is counted.

// upgradeWatch is what a region sees of an upgrade.
type upgradeWatch struct {
	// operators are the operators' files of the older program, of the plan's, and of the plan's with
	// the gate held closed.
	older, newer, held string
	// left are the tasks that have left a machine without being told to, or were done.
	left    map[string]bool
	dropped int
	gate    []string
	open    bool
	early   string
}

// UpgradeResult is what a run counted of it.
type UpgradeResult struct {
	// Dropped counts tasks that began again though they were done, or nobody had told them to stop.
	Dropped int `json:"placements_dropped"`
	// Unreadable counts records that a controller could not read, by its log.
	Unreadable int `json:"unreadable_records"`
	// Gate is when the feature gate changed, in seconds after the start.
	Gate []string `json:"gate"`
	// Early says which controller ran the older program when the gate opened; empty: none.
	Early string `json:"opened_early,omitempty"`
}

// check ends a run with what must not happen.
func (u *UpgradeResult) check(region int) error {
	broken := &RuleViolation{Region: region}
	switch {
	case u.Early != "":
		broken.Rule, broken.What = "opened_early", u.Early
	case u.Unreadable > 0:
		broken.Rule, broken.What = "unreadable", fmt.Sprintf("%d records could not be read", u.Unreadable)
	case u.Dropped > 0:
		broken.Rule, broken.What = "dropped", fmt.Sprintf("%d tasks began again", u.Dropped)
	default:
		return nil
	}
	return broken
}

// writeOperators writes the operators' files.
func (r *region) writeOperators() error {
	u, control := &r.upgrade, r.plan.Control
	u.left = map[string]bool{}
	u.older, u.newer, u.held = filepath.Join(r.dir, "older.toml"), filepath.Join(r.dir, "operator.toml"), filepath.Join(r.dir, "held.toml")
	for file, text := range map[string]string{u.older: control.OlderOperator, u.newer: control.Operator, u.held: control.Operator + "\n[upgrade]\nhold = true\n"} {
		if err := os.WriteFile(file, []byte(operatorSettings+text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// programOf is what a controller runs, with its operators' file.
func (r *region) programOf(c *controller) (program, operator string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.runsNewer:
		return r.plan.Run.Older, r.upgrade.older
	case c.gateHeld:
		return r.plan.Run.Program, r.upgrade.held
	}
	return r.plan.Run.Program, r.upgrade.newer
}

// changeProgram ends a controller, which is started again with the other program.
func (r *region) changeProgram(ctx context.Context, c *controller, newer bool) {
	c.mu.Lock()
	c.runsNewer, c.gateHeld = newer, c.gateHeld && newer
	c.mu.Unlock()
	r.kill(ctx, c)
}

// hold has a controller that does not lead be started again with the gate held closed.
func (r *region) hold(ctx context.Context) {
	c := r.other()
	if c == nil {
		return
	}
	c.mu.Lock()
	c.gateHeld = true
	c.mu.Unlock()
	r.kill(ctx, c)
}

// watchGate notes when the gate opens and closes, and who ran the older program then.
func (r *region) watchGate(leader leaderValue) {
	u := &r.upgrade
	if leader.Token == 0 || (leader.Form != 0) == u.open {
		return
	}
	u.open = !u.open
	state := "closed"
	if u.open {
		state = "open"
	}
	u.gate = append(u.gate, fmt.Sprintf("%s at %.1f s", state, r.loop.queue.Now().Seconds()))
	for _, c := range r.controllers {
		c.mu.Lock()
		if u.open && !c.runsNewer {
			u.early = c.label + " ran the older program when the gate opened"
		}
		c.mu.Unlock()
	}
}

// noteLeave notes a task that has left its machine.
func (r *region) noteLeave(task string, t *emulator.Task) {
	if t.State != protocol.Exited || t.Cause == protocol.CauseDone {
		r.upgrade.left[task] = true
	}
}

// noteBegin counts a task that begins again and should not.
func (r *region) noteBegin(task string, t *emulator.Task) {
	if j := r.invariants.jobs[t.UID]; r.upgrade.left[task] && j != nil && !j.cancelRequested {
		r.upgrade.dropped++
		j.note(r.loop.queue.Now(), "%s is dropped and begins again", task)
	}
}

// upgradeResult sums up.
func (r *region) upgradeResult(logs []string) *UpgradeResult {
	out := &UpgradeResult{Dropped: r.upgrade.dropped, Gate: r.upgrade.gate, Early: r.upgrade.early}
	for _, file := range logs {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue // it never started
		}
		out.Unreadable += bytes.Count(raw, []byte("a record can't be read"))
	}
	return out
}
