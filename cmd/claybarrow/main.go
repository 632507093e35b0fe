// Command claybarrow schedules fleets that serve language models. It runs one controller, checks
// settings, or prints its version; --help lists the flags. LOG_LEVEL is error, info (the default)
// or debug.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

const version = "0.1.0"

type commands struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check   checkCmd   `cmd:"" help:"Check the settings without starting."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// settingsFlags name the two files of settings.
type settingsFlags struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings (JSON)."`
	Operator string `placeholder:"FILE" env:"CLAYBARROW_OPERATOR" help:"The operators' settings (TOML)."`
}

type versionCmd struct{}

func main() {
	var cli commands
	command := kong.Parse(&cli,
		kong.Name("claybarrow"),
		kong.Description("A scheduler for fleets that serve language models."),
		kong.UsageOnError())
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "claybarrow:", err)
		os.Exit(1)
	}
}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("claybarrow", version)
	return nil
}
