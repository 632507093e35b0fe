package scalerun

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
)

// Three controllers are upgraded one at a time under load; meanwhile the leader is killed and a follower is frozen.
// Then the gate is held closed and the controllers are rolled back. The older program is the same program with the
// feature disabled in its settings.
func TestUpgradeAndRollback(t *testing.T) {
	program := buildProgram(t)
	plan := writePlanWithRun(t, fmt.Sprintf("program = %q\nolder = %q\nduration_s = 36.0", program, program), `[control]
operator = "[end_journal]\nenabled = true\n"
restart_s = 1.0
[[faults]]
kind = "upgrade"
at_s = 1.0
for_s = 3.0
[[faults]]
kind = "kill_leader"
at_s = 5.5
[[faults]]
kind = "freeze_other"
at_s = 8.5
for_s = 2.0
[[faults]]
kind = "hold"
at_s = 18.0
[[faults]]
kind = "rollback"
at_s = 24.0
for_s = 3.0`)
	result, err := Run(context.Background(), plan, os.Args[0], nil)
	if err != nil {
		t.Fatalf("%v\n%s", err, result.Summary())
	}
	u := result.Regions[0].Upgrade
	if u == nil || u.DroppedPlacements+u.UnreadableRecords > 0 || len(u.GateChanges) != 2 || !strings.HasPrefix(u.GateChanges[0], "open at") || !strings.HasPrefix(u.GateChanges[1], "closed at") {
		t.Errorf("upgrade %+v, want no errors and the gate changes open, closed\n%s", u, result.Summary())
	}
	assertNoProcesses(t, program)
}

// Each error of an upgrade is reported as a RuleViolation.
func TestUpgradeResultIsChecked(t *testing.T) {
	for _, tc := range []struct {
		name, rule string
		result     UpgradeResult
	}{
		{"no errors", "", UpgradeResult{}},
		{"gate opened early", "opened_early", UpgradeResult{OpenedEarly: "controller-1"}},
		{"unreadable record", "unreadable", UpgradeResult{UnreadableRecords: 1}},
		{"dropped placements", "dropped", UpgradeResult{DroppedPlacements: 2}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.result.check(0)
			var violation *RuleViolation
			if errors.As(err, &violation) != (tc.rule != "") || violation != nil && violation.Rule != tc.rule {
				t.Errorf("result %+v: error %v, want rule %q", tc.result, err, tc.rule)
			}
		})
	}
}
