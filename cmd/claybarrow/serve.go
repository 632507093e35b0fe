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
	// heapShare is the share of the process's memory from which on the garbage collector works
	// harder. The rest is for stacks, the binary and what the kernel holds for sockets.
	heapShare   = 0.6
	bytesPerMiB = 1 << 20
	// telemetryCloseTimeout bounds the writing of the last spans.
	telemetryCloseTimeout = 2 * time.Second
)

type serveCmd struct{ settingsFlags }

// Run serves until the process is told to end by SIGINT or SIGTERM.
func (c serveCmd) Run() error {
	cfg, err := config.Load(c.Config, c.Operator)
	if err != nil {
		return err
	}
	level, err := logLevel(os.Getenv(logLevelVariable))
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
		recorder, err := telemetry.New(cfg, server.Start())
		if err != nil {
			return err
		}
		defer closeTelemetry(recorder, log)
		core.Observe(recorder)
		if cfg.Operator.Telemetry.Metrics {
			server.ServeMetrics(recorder)
		}
	}
	return server.Run(ctx)
}

// limitRuntime fits the Go runtime to what the process may use.
func limitRuntime(resources config.Resources) {
	// The process has a share of one core: more threads only add switches.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(resources.MemMB * heapShare * bytesPerMiB))
}

func closeTelemetry(recorder *telemetry.Recorder, log *slog.Logger) {
	ctx, stop := context.WithTimeout(context.Background(), telemetryCloseTimeout)
	defer stop()
	if err := recorder.Close(ctx); err != nil {
		log.Error("trace spans lost", "err", err)
	}
}
