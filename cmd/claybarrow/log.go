package main

import (
	"fmt"
	"io"
	"log/slog"
)

// logLevelEnvVar is the name of the environment variable that sets the log level.
const logLevelEnvVar = "LOG_LEVEL"

// parseLogLevel parses a value of LOG_LEVEL. An empty value means info.
func parseLogLevel(value string) (slog.Level, error) {
	switch value {
	case "error":
		return slog.LevelError, nil
	case "", "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	default:
		return 0, fmt.Errorf("%s: %q is not error, info or debug", logLevelEnvVar, value)
	}
}

// newLogger returns a logger that adds the controller's label to each line.
func newLogger(w io.Writer, level slog.Level, label string) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})).With("node", label)
}
