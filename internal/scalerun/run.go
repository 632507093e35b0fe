package scalerun

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// regionExit is the message that a region's process writes to its standard output before it exits.
type regionExit struct {
	Result    *RegionResult  `json:"result,omitempty"`
	Violation *RuleViolation `json:"broken,omitempty"`
	Error     string         `json:"error,omitempty"`
}

// ServeRegion runs one region for a parent process and writes its result to out as JSON. It stops early at the end of
// in, which means that the parent has exited or was interrupted.
func ServeRegion(ctx context.Context, plan *Plan, number int, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		_, _ = io.Copy(io.Discard, in) // returns when the parent closes the pipe or exits
		cancel(errInterrupted)
	}()
	result, err := RunRegion(ctx, plan, number)
	exit := regionExit{Result: result}
	var violation *RuleViolation
	switch {
	case errors.As(err, &violation):
		exit.Violation = violation
	case err != nil:
		exit.Error = err.Error()
	}
	return json.NewEncoder(out).Encode(exit)
}

// errInterrupted ends a region whose parent has exited or was interrupted.
var errInterrupted = errors.New("interrupted")

// RegionError reports why a region ended early, for causes other than a RuleViolation.
type RegionError struct {
	Region  int
	Problem string
}

// Error returns the region's number and the problem.
func (e *RegionError) Error() string { return fmt.Sprintf("region %d: %s", e.Region, e.Problem) }

// Run runs a plan. Each region runs in a separate process, which runs executable with regionArgs and the region's
// number. The result is not nil if the run ended early after its start. The error is that of CheckMachine, a *PlanError
// if the program does not exist, a *RuleViolation or a *RegionError.
func Run(ctx context.Context, plan *Plan, executable string, regionArgs []string) (*Result, error) {
	if err := plan.CheckMachine(); err != nil {
		return nil, err
	}
	if _, err := os.Stat(plan.Run.Program); err != nil {
		return nil, planError("run.program", "%v", err)
	}
	reportedPlan := *plan
	reportedPlan.Run.Program = filepath.Base(plan.Run.Program) // the directory means nothing to readers of the result
	if plan.Run.Older != "" {
		reportedPlan.Run.Older = filepath.Base(plan.Run.Older)
	}
	result := &Result{Plan: &reportedPlan, Version: programVersion(ctx, plan.Run.Program), Regions: make([]*RegionResult, plan.Fleet.Regions)}
	group, ctx := errgroup.WithContext(ctx)
	for number := range plan.Fleet.Regions {
		group.Go(func() error {
			exit, err := runChild(ctx, executable, append(append([]string(nil), regionArgs...), strconv.Itoa(number)))
			if err != nil {
				return &RegionError{number, err.Error()}
			}
			result.Regions[number] = exit.Result
			switch {
			case exit.Violation != nil:
				return exit.Violation
			case exit.Error != "":
				return &RegionError{number, exit.Error}
			}
			return nil
		})
	}
	err := group.Wait()
	result.Regions = withoutNil(result.Regions)
	if !errors.As(err, &result.Violation) && err != nil {
		result.Error = err.Error()
	}
	return result, err
}

// withoutNil returns the non-nil results.
func withoutNil(list []*RegionResult) []*RegionResult {
	var results []*RegionResult
	for _, r := range list {
		if r != nil {
			results = append(results, r)
		}
	}
	return results
}

// childShutdownTimeout is how long a region's process may take to exit after its standard input was closed. It is then
// killed.
const childShutdownTimeout = 10 * time.Second

// runChild runs a region's process and returns its output. When the context ends, runChild closes the process's
// standard input; the process then kills its controllers and exits.
func runChild(ctx context.Context, executable string, args []string) (*regionExit, error) {
	command := exec.Command(executable, args...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGTERM, Setpgid: true}
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	stdin, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		closeQuietly(stdin)                                                         // asks the child to exit
		time.AfterFunc(childShutdownTimeout, func() { _ = command.Process.Kill() }) // fails if the process has exited
	})
	defer stop()
	if err := command.Wait(); err != nil && stdout.Len() == 0 {
		return nil, fmt.Errorf("%w: %s", err, strings.TrimSpace(stderr.String()))
	}
	var exit regionExit
	if err := json.Unmarshal(stdout.Bytes(), &exit); err != nil {
		return nil, fmt.Errorf("decode the result of the region's process: %w", err)
	}
	return &exit, nil
}

// programVersion returns the output of the program's version command, or "" if it fails.
func programVersion(ctx context.Context, program string) string {
	out, err := exec.CommandContext(ctx, program, "version").Output()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(out))
}
