package main

import (
	"fmt"
	"io"
	"log/slog"
)

// logLevelVariable is the environment variable of the log level.
const logLevelVariable = "LOG_LEVEL"

// logLevel returns the level that a value of LOG_LEVEL names; an empty one is info.
func logLevel(value string) (slog.Level, error) {
	switch value {
	case "error":
		return slog.LevelError, nil
	case "", "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	default:
		return 0, fmt.Errorf("%s: %q is not error, info or debug", logLevelVariable, value)
	}
}

// newLogger returns a logger that marks each line with the controller's label.
func newLogger(w io.Writer, level slog.Level, label string) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})).With("node", label)
}
