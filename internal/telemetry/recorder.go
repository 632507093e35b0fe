// Package telemetry exports a controller's metrics and traces: metrics in the Prometheus format, and spans for each
// failover and each change of the feature gate. Both are disabled by default and enabled in the operators' settings.
// While they are disabled, they have no cost.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
)

// Recorder is the controller's observer, and the HTTP handler of the metrics endpoint. The event loop's goroutine calls
// the observer's methods, which do not block: another goroutine writes the spans, and drops spans if it falls behind.
type Recorder struct {
	metricSet *metrics.Set
	// startTime is the time at which the controller's monotonic clock is zero.
	startTime time.Time
	// memberStates holds a gauge for each other controller, by label.
	memberStates map[string]*metrics.Gauge
	// tracer, traceProvider and traceFile are nil if no trace file is configured.
	tracer        trace.Tracer
	traceProvider *sdktrace.TracerProvider
	traceFile     io.Closer
}

var _ controller.Observer = (*Recorder)(nil)

// Enabled reports whether the settings enable metrics or traces.
func Enabled(cfg *config.Config) bool {
	t := cfg.Operator.Telemetry
	return t.Metrics || t.TraceFile != ""
}

// New returns a recorder. The start time is the time at which the controller's monotonic clock is zero. New returns an
// error if the configured trace file cannot be opened.
func New(cfg *config.Config, start time.Time) (*Recorder, error) {
	r := &Recorder{metricSet: metrics.NewSet(), startTime: start, memberStates: map[string]*metrics.Gauge{}}
	for _, sibling := range cfg.Siblings {
		name := fmt.Sprintf(`claybarrow_member_state{controller=%q}`, sibling.Label)
		r.memberStates[sibling.Label] = r.metricSet.NewGauge(name, nil)
	}
	if path := cfg.Operator.Telemetry.TraceFile; path != "" {
		if err := r.openTraces(path, cfg.Label); err != nil {
			return nil, fmt.Errorf("operators' settings: telemetry.trace_file: %w", err)
		}
	}
	return r, nil
}

// Close flushes the remaining spans and closes the trace file. It stops flushing when ctx ends. An error means that
// some spans may be lost.
func (r *Recorder) Close(ctx context.Context) error {
	if r.traceProvider == nil {
		return nil
	}
	return errors.Join(r.traceProvider.Shutdown(ctx), r.traceFile.Close())
}

// FailedOver records a failover: its durations as metrics, and its steps as spans.
func (r *Recorder) FailedOver(failover controller.Failover) {
	r.recordFailoverMetrics(failover)
	r.traceFailover(failover)
}

// GateChanged records a change of the feature gate's state, as metrics and as a span with the statements of the other
// controllers.
func (r *Recorder) GateChanged(change controller.GateChange) {
	r.recordGateMetrics(change)
	r.traceGateChange(change)
}
