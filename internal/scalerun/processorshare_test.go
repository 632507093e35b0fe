package scalerun

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// spinVariable makes this test binary use all the processor time that it gets.
const spinVariable = "SCALERUN_TEST_SPIN"

// spin uses all the processor time that the process gets, for at most a minute.
func spin() {
	for began := time.Now(); time.Since(began) < time.Minute; {
		continue
	}
}

// startSpinning starts a process that uses all the processor time that it gets.
func startSpinning(t *testing.T) *controller {
	t.Helper()
	command := exec.Command(os.Args[0], "-test.run=^$")
	command.Env = append(os.Environ(), spinVariable+"=1")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	c := &controller{label: "c", command: command, exited: make(chan struct{})}
	t.Cleanup(func() {
		c.terminate()
		_ = command.Wait() // it was killed
	})
	return c
}

// used returns the processor time that a controller's process uses in a duration.
func used(t *testing.T, c *controller, duration time.Duration) time.Duration {
	t.Helper()
	before, err := processorTime(c.command.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(duration)
	after, err := processorTime(c.command.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	return after - before
}

func TestProcessIsHeldToItsShare(t *testing.T) {
	const share, duration = 0.2, time.Second
	c := startSpinning(t)
	ctx, stop := context.WithCancel(context.Background())
	held := make(chan struct{})
	go func() {
		(&processorShare{controller: c, share: share}).hold(ctx)
		close(held)
	}()
	time.Sleep(duration / 4)
	if got := used(t, c, duration).Seconds() / duration.Seconds(); got > 1.5*share {
		t.Errorf("the process used %.2f of a core, want %.2f at the most", got, share)
	}
	stop()
	<-held
	if got := used(t, c, duration/4); got == 0 {
		t.Error("the process is still suspended after it was released")
	}
}

func TestKilledProcessLeavesNothingSuspended(t *testing.T) {
	c := startSpinning(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go (&processorShare{controller: c, share: 0.01}).hold(ctx)
	time.Sleep(100 * time.Millisecond)
	c.mu.Lock()
	c.killed = true
	c.terminate()
	c.mu.Unlock()
	exited := make(chan struct{})
	go func() {
		_ = c.command.Wait() // it was killed
		close(exited)
	}()
	select {
	case <-exited:
	case <-time.After(5 * time.Second):
		t.Error("a suspended process was not killed")
	}
}

func TestRunThatMissedItsShareSaysSo(t *testing.T) {
	result := Result{Plan: &Plan{Control: ControlPlan{HoldCores: true, Cores: 0.3}}, Regions: []*RegionResult{{Processes: map[string]ProcessUse{
		"controller-0": {CPUShare: 0.31}, "controller-1": {CPUShare: 0.4}, processLabel: {CPUShare: 2}}}}}
	summary := result.Summary()
	if strings.Count(summary, "MISSED ITS SHARE") != 1 || !strings.Contains(summary, "MISSED ITS SHARE  controller-1 used 0.400 cores") {
		t.Errorf("summary:\n%s", summary)
	}
}

func TestControllerKilledTwiceIsRestartedOnce(t *testing.T) {
	t.Setenv(spinVariable, "1")
	plan := soakTestPlan(t)
	plan.Run.Program = os.Args[0]
	plane := &controlPlane{plan: plan, dir: t.TempDir(), metrics: newMetrics(), fail: func(err error) { t.Error(err) }}
	c := &controller{label: "c", log: filepath.Join(plane.dir, "c.log"), runsNewer: true}
	plane.controllers = []*controller{c}
	if err := plane.start(c); err != nil {
		t.Fatal(err)
	}
	defer plane.stopAll()
	const delay = 100 * time.Millisecond
	plane.killFor(t.Context(), c, delay)
	plane.killFor(t.Context(), c, delay)
	time.Sleep(5 * delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.starts != 2 {
		t.Errorf("%d starts, want the first one and one after two kills", c.starts)
	}
}
