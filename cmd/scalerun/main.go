// Command scalerun is a load test with fault injection: it runs real controller processes on this machine
// against an emulated fleet of thousands of workers. See package internal/scalerun.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"claybarrow/internal/scalerun"
)

// planFlags name a plan and the settings that replace the plan's.
type planFlags struct {
	Plan     string  `arg:"" help:"The plan (TOML); docs/scale/ has some."`
	Scale    float64 `default:"1" placeholder:"FACTOR" help:"Multiply workers, load and teams."`
	Regions  int     `placeholder:"N" help:"Divide the fleet into so many regions, not the plan's."`
	Program  string  `placeholder:"FILE" help:"Play against this program, not the plan's."`
	BasePort int     `placeholder:"PORT" help:"First of ten ports for each region, not the plan's."`
	WriteRPS float64 `name:"write-rps" placeholder:"RATE" help:"Changes a second that each state service takes, not the plan's."`
}

// args returns the arguments of a region's process, without the region's number.
func (f planFlags) args() []string {
	return []string{"region", f.Plan, "--scale", fmt.Sprint(f.Scale), "--regions", fmt.Sprint(f.Regions), "--program", f.Program,
		"--write-rps", fmt.Sprint(f.WriteRPS), "--base-port", fmt.Sprint(f.BasePort)}
}

// load reads the plan and applies the flags to it.
func (f planFlags) load() (*scalerun.Plan, error) {
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
	Out string `placeholder:"FILE" help:"Write the result there as JSON."`
}

// checkCmd checks a plan without running it.
type checkCmd struct{ planFlags }

// regionCmd runs one region; runCmd starts it in a process of its own.
type regionCmd struct {
	planFlags
	Number int `arg:""`
}

type commands struct {
	Run    runCmd    `cmd:"" help:"Play a plan: real controllers, hollow workers, users and faults. Ends non-zero if a rule was broken."`
	Check  checkCmd  `cmd:"" help:"Check a plan, and whether this machine has room for it."`
	Region regionCmd `cmd:"" hidden:""`
}

const description = `Plays a fleet of any size against the deployed program.

Each region has controllers (real processes of the program), a state service, a cloud and users
of its own, and thousands of hollow workers that share one process and speak the protocol. All
traffic stays on the loopback network. Build the program first, as deploy/service.toml says.`

func main() {
	var cli commands
	command := kong.Parse(&cli, kong.Name("scalerun"), kong.Description(description), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "scalerun:", err)
		stop()
		os.Exit(1)
	}
}

// Run is called by kong.
func (c checkCmd) Run() error {
	plan, err := c.load()
	if err != nil {
		return err
	}
	if err := plan.CheckMachine(); err != nil {
		return err
	}
	fmt.Println("the plan is in order")
	return nil
}

// Run is called by kong. It returns an error if the run ended early or violated an invariant.
func (c runCmd) Run(ctx context.Context) error {
	plan, err := c.load()
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	slog.Info("run", "workers", plan.Fleet.Workers, "regions", plan.Fleet.Regions, "warmup_s", plan.Run.WarmupS, "duration_s", plan.Run.DurationS)
	result, err := scalerun.Run(ctx, plan, self, c.args())
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
	raw, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// Run is called by kong.
func (c regionCmd) Run(ctx context.Context) error {
	plan, err := c.load()
	if err != nil {
		return err
	}
	return scalerun.ServeRegion(ctx, plan, c.Number, os.Stdin, os.Stdout)
}
