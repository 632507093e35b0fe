package scalerun

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestMain makes the test binary act as a region's process, like cmd/scalerun, if SCALERUN_TEST_PLAN is set.
func TestMain(m *testing.M) {
	if os.Getenv(spinVariable) != "" {
		spin()
		return
	}
	if file := os.Getenv("SCALERUN_TEST_PLAN"); file != "" {
		number, _ := strconv.Atoi(os.Args[len(os.Args)-1])
		plan, err := LoadPlanFile(file)
		if err == nil {
			err = ServeRegion(context.Background(), plan, number, os.Stdin, os.Stdout)
		}
		if err != nil {
			panic(err)
		}
		return
	}
	os.Exit(m.Run())
}

// buildProgram builds the controller program for a test and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "claybarrow")
	if out, err := exec.Command("go", "build", "-o", program, "claybarrow/cmd/claybarrow").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// writePlan writes and loads a plan with 50 workers and the given program, and sets SCALERUN_TEST_PLAN so that the test
// binary runs its regions. sections is further TOML text.
func writePlan(t *testing.T, program, sections string) *Plan {
	t.Helper()
	return writePlanWithRun(t, "program = \""+program+"\"\nduration_s = 8.0", sections)
}

// writePlanWithRun is like writePlan, but takes the settings of the [run] table.
func writePlanWithRun(t *testing.T, run, sections string) *Plan {
	t.Helper()
	text := smallPlan(run+"\nwarmup_s = 6.0\nbase_port = 31000", "workers = 50", sections)
	file := filepath.Join(t.TempDir(), "plan.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("SCALERUN_TEST_PLAN", file)
	plan, err := LoadPlanFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

// controllerProcesses returns the /proc links of the running processes of a program.
func controllerProcesses(t *testing.T, program string) (found []string) {
	t.Helper()
	links, err := filepath.Glob("/proc/[0-9]*/exe")
	if err != nil {
		t.Fatal(err)
	}
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && target == program {
			found = append(found, link)
		}
	}
	return found
}

func assertNoProcesses(t *testing.T, program string) {
	t.Helper()
	for range 50 {
		if len(controllerProcesses(t, program)) == 0 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("processes still running after the run: %v", controllerProcesses(t, program))
}

// With 50 workers and three controllers, the leader is killed: tasks keep starting, no rule is violated, and no
// process outlives the run.
func TestSmallRun(t *testing.T) {
	program := buildProgram(t)
	plan := writePlan(t, program, "[[faults]]\nkind = \"kill_leader\"\nat_s = 1.0")
	result, err := Run(context.Background(), plan, os.Args[0], nil)
	if err != nil {
		t.Fatalf("%v\n%s", err, result.Summary())
	}
	r := result.Regions[0]
	if r.Starts < 10 || r.LeaderChanges < 1 || r.Workers != 50 || r.HeartbeatsPerS < 5 || r.Answers["submit: 201"] == 0 {
		t.Errorf("%s", result.Summary())
	}
	if use := r.Processes["controller-0"]; use.PeakMB < 1 {
		t.Errorf("no memory figure for controller-0: %+v", r.Processes)
	}
	assertNoProcesses(t, program)
}

// With failure detection enabled, the leader is frozen and a follower is killed while tasks are being placed: the
// third controller becomes leader, and no job is owned twice or orphaned, also after the frozen controller resumes.
func TestFreezeAndKill(t *testing.T) {
	program := buildProgram(t)
	plan := writePlan(t, program, `[control]
operator = "[membership]\nenabled = true\n[telemetry]\nmetrics = true\n"
[[faults]]
kind = "freeze_leader"
at_s = 1.0
for_s = 5.0
[[faults]]
kind = "kill_other"
at_s = 2.0`)
	plan.Run.DurationS = 16
	result, err := Run(context.Background(), plan, os.Args[0], nil)
	if err != nil {
		t.Fatalf("%v\n%s", err, result.Summary())
	}
	r := result.Regions[0]
	if r.Ownership.JobsOwnedTwice+r.Ownership.JobsOrphaned+r.Ownership.SessionsExpired > 0 || r.LeaderChanges < 1 || r.Starts < 10 {
		t.Errorf("%s", result.Summary())
	}
	if len(r.Detections) != 2 || r.Detections[0].FirstSuspectMS <= 0 || r.Detections[0].ElectedMS <= r.Detections[0].FirstSuspectMS ||
		r.Detections[0].FirstPlacementMS <= 0 || r.Detections[1].FirstSuspectMS <= 0 {
		t.Errorf("detections %+v, want both faults suspected and the first followed by an election and a placement\n%s", r.Detections, result.Summary())
	}
	assertNoProcesses(t, program)
}

// An interrupt during a run ends all child processes.
func TestInterruptLeavesNothingBehind(t *testing.T) {
	program := buildProgram(t)
	plan := writePlan(t, program, "")
	ctx, interrupt := context.WithCancel(context.Background())
	time.AfterFunc(2*time.Second, interrupt)
	started := time.Now()
	if _, err := Run(ctx, plan, os.Args[0], nil); err == nil || !strings.Contains(err.Error(), "interrupted") {
		t.Errorf("error %v, want one that contains \"interrupted\"", err)
	}
	if took := time.Since(started); took > 6*time.Second {
		t.Errorf("the run took %v to end after an interrupt at 2 s, want at most 6 s", took)
	}
	assertNoProcesses(t, program)
}

// Controllers that are held to a share of a core, behind the load balancer, still start tasks and answer users, and an
// interrupt leaves none of them suspended.
func TestHeldRunBehindTheLoadBalancer(t *testing.T) {
	program := buildProgram(t)
	const share = 0.3
	plan := writePlan(t, program, fmt.Sprintf(`[control]
cores = %v
hold_cores = true
load_balancer = true
[[faults]]
kind = "kill_leader"
at_s = 1.0`, share))
	result, err := Run(context.Background(), plan, os.Args[0], nil)
	if err != nil {
		t.Fatalf("%v\n%s", err, result.Summary())
	}
	r := result.Regions[0]
	if r.Starts < 10 || r.Answers["poll: 200"] == 0 || r.Processes["controller-0"].CPUShare > maxShareExcess*share {
		t.Errorf("%s", result.Summary())
	}
	assertNoProcesses(t, program)
	ctx, interrupt := context.WithCancel(context.Background())
	time.AfterFunc(2*time.Second, interrupt)
	if _, err := Run(ctx, plan, os.Args[0], nil); err == nil {
		t.Error("an interrupted run ended without an error")
	}
	assertNoProcesses(t, program)
}

// A missing program is reported as an invalid plan. A program that exits at once is reported with its controller's
// label and the last line of its log.
func TestProgramThatDoesNotRun(t *testing.T) {
	plan := writePlan(t, "/nowhere/claybarrow", "")
	var planErr *PlanError
	if _, err := Run(context.Background(), plan, os.Args[0], nil); !errors.As(err, &planErr) || planErr.Field != "run.program" {
		t.Errorf("error %v, want a *PlanError for run.program", err)
	}
	exitingProgram := filepath.Join(t.TempDir(), "ends")
	if err := os.WriteFile(exitingProgram, []byte("#!/bin/sh\necho unsupported kernel >&2\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	plan = writePlan(t, exitingProgram, "")
	_, err := Run(context.Background(), plan, os.Args[0], nil)
	if err == nil || !strings.Contains(err.Error(), "controller-") || !strings.Contains(err.Error(), "unsupported kernel") {
		t.Errorf("error %v, want one with the controller's label and the last line of its log", err)
	}
}

// A run that began while the listeners of the one before were closing found its ports in use.
func TestConsecutiveRunsReuseTheirPorts(t *testing.T) {
	plan := writePlan(t, buildProgram(t), "")
	plan.Run.WarmupS, plan.Run.DurationS, plan.Run.BasePort, plan.Run.Links = 1, 1, 31_500, true
	for range 3 {
		if err := plan.CheckMachine(); err != nil {
			t.Fatal(err)
		}
		if _, err := RunRegion(context.Background(), plan, 0); err != nil {
			t.Fatal(err)
		}
	}
}
