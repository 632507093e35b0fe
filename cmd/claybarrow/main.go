// Command claybarrow is a scheduler for fleets that serve language models. It runs one controller, checks the settings,
// or prints its version. The --help flag lists the flags. The environment variable LOG_LEVEL sets the log level: error,
// info (the default) or debug.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

const version = "0.1.0"

type commands struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check   checkCmd   `cmd:"" help:"Check the settings without starting a controller."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// settingsFlags holds the flags that name the two settings files.
type settingsFlags struct {
	Config   string `required:"" placeholder:"FILE" help:"File with the platform's settings (JSON)."`
	Operator string `placeholder:"FILE" env:"CLAYBARROW_OPERATOR" help:"File with the operators' settings (TOML)."`
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
