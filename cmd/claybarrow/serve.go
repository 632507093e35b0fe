package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
	"claybarrow/internal/telemetry"
	"claybarrow/internal/transport"
)

const (
	// heapFraction is the fraction of the process's memory that is set as the Go runtime's soft memory limit. The rest
	// is left for stacks, the binary and the kernel's socket buffers.
	heapFraction = 0.6
	bytesPerMiB  = 1 << 20
	// telemetryCloseTimeout bounds the time for writing the last spans.
	telemetryCloseTimeout = 2 * time.Second
)

type serveCmd struct{ settingsFlags }

// Run runs a controller until the process receives SIGINT or SIGTERM.
func (c serveCmd) Run() error {
	cfg, err := config.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	level, err := parseLogLevel(os.Getenv(logLevelEnvVar))
	if err != nil {
		return err
	}
	limitRuntime(cfg.Cluster.Resources)
	log := newLogger(os.Stderr, level, cfg.Label)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	core := controller.New(cfg, random, log)
	log.Info("starting", "version", version, "client_listen", cfg.ClientListen, "peer_listen", cfg.PeerListen)
	server := transport.New(cfg, core, log)
	if telemetry.Enabled(cfg) {
		recorder, err := telemetry.New(cfg, server.StartTime())
		if err != nil {
			return err
		}
		defer closeTelemetry(recorder, log)
		core.Observe(recorder)
		server.Observe(recorder)
		if cfg.Operator.Telemetry.Metrics {
			server.SetMetricsHandler(recorder)
		}
	}
	return server.Run(ctx)
}

// limitRuntime limits the Go runtime's threads and memory to the process's resources.
func limitRuntime(resources config.Resources) {
	// The process has a share of one CPU core, so more threads would only add context switches.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(resources.MemMB * heapFraction * bytesPerMiB))
}

func closeTelemetry(recorder *telemetry.Recorder, log *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), telemetryCloseTimeout)
	defer cancel()
	if err := recorder.Close(ctx); err != nil {
		log.Error("failed to close telemetry; trace spans may be lost", "err", err)
	}
}
