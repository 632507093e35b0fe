package main

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

func TestLogLevel(t *testing.T) {
	for _, tc := range []struct {
		value string
		want  slog.Level
		err   string
	}{
		{value: "", want: slog.LevelInfo},
		{value: "info", want: slog.LevelInfo},
		{value: "error", want: slog.LevelError},
		{value: "debug", want: slog.LevelDebug},
		{value: "warn", err: `LOG_LEVEL: "warn" is not error, info or debug`},
	} {
		t.Run("LOG_LEVEL="+tc.value, func(t *testing.T) {
			level, err := parseLogLevel(tc.value)
			if tc.err != "" {
				if err == nil || err.Error() != tc.err {
					t.Fatalf("error %v, want %s", err, tc.err)
				}
				return
			}
			if err != nil || level != tc.want {
				t.Errorf("level %v, error %v, want level %v", level, err, tc.want)
			}
		})
	}
}

func TestLoggerAddsLabel(t *testing.T) {
	var logOutput bytes.Buffer
	log := newLogger(&logOutput, slog.LevelInfo, "n0")
	log.Debug("below the level")
	log.Info("starting")
	if lines := strings.Count(logOutput.String(), "\n"); lines != 1 || !strings.Contains(logOutput.String(), "msg=starting node=n0") {
		t.Errorf("want one line with the message and the label, logged:\n%s", logOutput.String())
	}
}
