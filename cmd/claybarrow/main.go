// Command claybarrow schedules fleets that serve language models.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
	"claybarrow/internal/telemetry"
	"claybarrow/internal/transport"
)

const version = "0.1.0"

type settingsFlags struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings (JSON)."`
	Operator string `placeholder:"FILE" env:"CLAYBARROW_OPERATOR" help:"The operators' settings (TOML)."`
}

type serveCmd struct{ settingsFlags }

type checkCmd struct{ settingsFlags }

type versionCmd struct{}

type commands struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check   checkCmd   `cmd:"" help:"Check the settings without starting."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

func main() {
	var cli commands
	k := kong.Parse(&cli, kong.Name("claybarrow"),
		kong.Description("A scheduler for fleets that serve language models."), kong.UsageOnError())
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "claybarrow:", err)
		os.Exit(1)
	}
}

func (versionCmd) Run() error {
	fmt.Println("claybarrow", version)
	return nil
}

func (c checkCmd) Run() error {
	cfg, err := config.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	for _, warning := range cfg.Warnings() {
		fmt.Fprintln(os.Stderr, "claybarrow: warning:", warning)
	}
	if _, err := logLevel(); err != nil {
		return err
	}
	fmt.Println("settings are in order")
	return nil
}

func (c serveCmd) Run() error {
	cfg, err := config.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	level, err := logLevel()
	if err != nil {
		return err
	}
	// The process has a share of one core: more threads only add switches.
	runtime.GOMAXPROCS(1)
	// The collector works harder from three fifths of the memory on; the rest
	// is for stacks, the binary and what the kernel holds for sockets.
	debug.SetMemoryLimit(int64(cfg.Cluster.Resources.MemMB * 0.6 * (1 << 20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("node", cfg.Label)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	core := controller.New(cfg, random, log)
	log.Info("starting", "version", version, "users", cfg.ClientListen, "peers", cfg.PeerListen)
	node := transport.New(cfg, core, log)
	if telemetry.Enabled(cfg) {
		recorder, err := telemetry.New(cfg, node.Start())
		if err != nil {
			return err
		}
		defer closeTelemetry(recorder, log)
		core.Observe(recorder)
		if cfg.Operator.Telemetry.Metrics {
			node.ServeMetrics(recorder)
		}
	}
	return node.Run(ctx)
}

// telemetryCloses bounds the writing of the last spans.
const telemetryCloses = 2 * time.Second

func closeTelemetry(recorder *telemetry.Recorder, log *slog.Logger) {
	ctx, stop := context.WithTimeout(context.Background(), telemetryCloses)
	defer stop()
	if err := recorder.Close(ctx); err != nil {
		log.Error("spans were lost", "err", err)
	}
}

func logLevel() (slog.Level, error) {
	switch v := os.Getenv("LOG_LEVEL"); v {
	case "error":
		return slog.LevelError, nil
	case "", "info":
		return slog.LevelInfo, nil
	case "debug":
		return slog.LevelDebug, nil
	default:
		return 0, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", v)
	}
}
