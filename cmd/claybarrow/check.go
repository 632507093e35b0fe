package main

import (
	"fmt"
	"os"

	"claybarrow/internal/config"
)

type checkCmd struct{ settingsFlags }

// Run loads and validates the settings in the same way as the serve command. It prints warnings to standard error;
// warnings do not make the command fail.
func (c checkCmd) Run() error {
	cfg, err := config.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	for _, warning := range cfg.Warnings() {
		fmt.Fprintln(os.Stderr, "claybarrow: warning:", warning)
	}
	if _, err := parseLogLevel(os.Getenv(logLevelEnvVar)); err != nil {
		return err
	}
	fmt.Println("settings are in order")
	return nil
}
