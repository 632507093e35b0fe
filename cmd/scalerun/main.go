// Command scalerun is a load test with fault injection. It runs real controller processes on one machine with an
// emulated fleet of thousands of workers. See package internal/scalerun.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"claybarrow/internal/scalerun"
)

// planFlags holds the argument that names a plan and the flags that override settings of the plan.
type planFlags struct {
	Plan     string  `arg:"" help:"File with the test plan (TOML). The folder docs/scale/ contains plans."`
	Scale    float64 `default:"1" placeholder:"FACTOR" help:"Multiply workers, load and teams by this factor."`
	Regions  int     `placeholder:"N" help:"Number of regions that the fleet is divided into; overrides the plan."`
	Program  string  `placeholder:"FILE" help:"Path of the controller program to test; overrides the plan."`
	BasePort int     `placeholder:"PORT" help:"First port; each region uses ten consecutive ports; overrides the plan."`
	WriteRPS float64 `name:"write-rps" placeholder:"RATE" help:"Changes per second that each state service accepts; overrides the plan."`
}

// regionArgs returns the command-line arguments of a region's process, without the region's number.
func (f planFlags) regionArgs() []string {
	return []string{"region", f.Plan, "--scale", fmt.Sprint(f.Scale), "--regions", fmt.Sprint(f.Regions), "--program", f.Program,
		"--write-rps", fmt.Sprint(f.WriteRPS), "--base-port", fmt.Sprint(f.BasePort)}
}

// loadPlan reads the plan and applies the flags to it.
func (f planFlags) loadPlan() (*scalerun.Plan, error) {
	plan, err := scalerun.LoadPlanFile(f.Plan)
	if err != nil {
		return nil, err
	}
	if f.Program != "" {
		plan.Run.Program = f.Program
	}
	if f.Regions != 0 {
		if err := plan.Divide(f.Regions); err != nil {
			return nil, err
		}
	}
	if f.BasePort != 0 {
		plan.Run.BasePort = f.BasePort
	}
	if f.WriteRPS != 0 {
		plan.State.WriteRPS = f.WriteRPS
	}
	return plan, plan.Scale(f.Scale)
}

// runCmd runs a plan and prints its summary.
type runCmd struct {
	planFlags
	Out string `placeholder:"FILE" help:"Write the result to this file as JSON."`
}

// checkCmd validates a plan without running it.
type checkCmd struct{ planFlags }

// regionCmd runs one region. The run command starts it in a separate process for each region.
type regionCmd struct {
	planFlags
	Number int `arg:""`
}

type commands struct {
	Run    runCmd    `cmd:"" help:"Run a plan: real controllers, emulated workers and users, faults. Exits non-zero if an invariant was violated."`
	Soak   soakCmd   `cmd:"" help:"Run seeded random faults against small regions of real processes. Exits 2 if an invariant was violated, 1 if a setting is invalid."`
	Check  checkCmd  `cmd:"" help:"Check that a plan is valid and that this machine has the resources to run it."`
	Region regionCmd `cmd:"" hidden:""`
}

const description = `Runs a load test of the controller program against an emulated fleet of any size.

Each region has its own controllers (real processes of the program), state service, cloud and users,
and thousands of emulated workers that run in one process and use the workers' protocol. All traffic
stays on the loopback network. Build the program first, as described in deploy/service.toml.`

func main() {
	var cli commands
	command := kong.Parse(&cli, kong.Name("scalerun"), kong.Description(description), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "scalerun:", err)
		stop()
		os.Exit(exitCode(err))
	}
}

// Exit codes.
const (
	exitFailure    = 1
	exitSoakFailed = 2 // a run of a soak test failed
)

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	if errors.Is(err, scalerun.ErrSoakFailed) {
		return exitSoakFailed
	}
	return exitFailure
}

// soakCmd runs a soak test.
type soakCmd struct {
	Seed         uint64  `default:"1" help:"The first seed. Plan and schedule of faults of a run follow from its seed; the timing of the processes does not."`
	Seeds        int     `default:"1" help:"Number of seeds."`
	Parallel     int     `default:"4" help:"Runs at a time. Each has three controllers and uses ten ports."`
	Workers      int     `default:"40" help:"Emulated workers of each run."`
	Program      string  `default:"target/claybarrow" placeholder:"FILE" help:"Path of the controller program to test."`
	Dir          string  `default:"soak" placeholder:"DIR" help:"Directory for the result of each seed, and for the logs of all controllers of a failed one."`
	BasePort     int     `default:"22000" placeholder:"PORT" help:"First port."`
	Operator     string  `placeholder:"FILE" help:"Operators' settings (TOML) of the controllers."`
	Share        float64 `placeholder:"CORES" help:"Hold each controller to this share of a core."`
	LoadBalancer bool    `help:"Distribute users' connections by health checks with pauses, as the protocol describes it."`
	Features     bool    `help:"Turn failure detection and the completion journal on or off by the seed."`
	Copies       bool    `help:"Let direct requests to workers arrive again, late, by the seed."`
}

// Run implements the soak command.
func (c soakCmd) Run(ctx context.Context) error {
	settings := &scalerun.SoakSettings{Program: c.Program, Seed: c.Seed, Seeds: c.Seeds, Parallel: c.Parallel, Workers: c.Workers, BasePort: c.BasePort, Dir: c.Dir,
		Share: c.Share, LoadBalancer: c.LoadBalancer, Features: c.Features, Copies: c.Copies}
	if c.Operator != "" {
		text, err := os.ReadFile(c.Operator)
		if err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		settings.Operator = string(text)
	}
	return scalerun.Soak(ctx, settings, os.Stdout)
}

// Run implements the check command.
func (c checkCmd) Run() error {
	plan, err := c.loadPlan()
	if err != nil {
		return err
	}
	if err := plan.CheckMachine(); err != nil {
		return err
	}
	fmt.Println("the plan is in order")
	return nil
}

// Run implements the run command. It returns an error if the run ended early or violated an invariant.
func (c runCmd) Run(ctx context.Context) error {
	plan, err := c.loadPlan()
	if err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	slog.Info("starting load test", "workers", plan.Fleet.Workers, "regions", plan.Fleet.Regions, "warmup_s", plan.Run.WarmupS, "duration_s", plan.Run.DurationS)
	result, err := scalerun.Run(ctx, plan, executable, c.regionArgs())
	if result == nil {
		return err
	}
	fmt.Print(result.Summary())
	if c.Out != "" {
		if writeErr := writeResult(c.Out, result); writeErr != nil {
			return writeErr
		}
	}
	return err
}

// writeResult writes a result as indented JSON.
func writeResult(path string, result *scalerun.Result) error {
	encoded, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(encoded, '\n'), 0o644)
}

// Run implements the region command.
func (c regionCmd) Run(ctx context.Context) error {
	plan, err := c.loadPlan()
	if err != nil {
		return err
	}
	return scalerun.ServeRegion(ctx, plan, c.Number, os.Stdin, os.Stdout)
}
