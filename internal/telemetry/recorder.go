// Package telemetry exports what a controller counts and traces: metrics for a scraper, and spans
// for each change of leader and of the feature gate. Both are off unless the operators' settings
// ask for them, and cost nothing then.
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

// Recorder is the controller's observer. Its methods are called by the event loop's goroutine and
// never wait: spans are written by a goroutine of their own, and lost when it falls behind. It is
// also the HTTP handler of the metrics.
type Recorder struct {
	set *metrics.Set
	// start is the zero of the controller's steady clock.
	start time.Time
	// memberStates holds a gauge for each of the other controllers, by label.
	memberStates map[string]*metrics.Gauge
	// tracer, traceProvider and traceFile are nil without a trace file.
	tracer        trace.Tracer
	traceProvider *sdktrace.TracerProvider
	traceFile     io.Closer
}

var _ controller.Observer = (*Recorder)(nil)

// Enabled says whether the settings ask for metrics or traces.
func Enabled(cfg *config.Config) bool {
	t := cfg.Operator.Telemetry
	return t.Metrics || t.TraceFile != ""
}

// New returns a recorder. start is the zero of the controller's steady clock. It returns an error
// if the trace file that the settings name can't be opened.
func New(cfg *config.Config, start time.Time) (*Recorder, error) {
	r := &Recorder{set: metrics.NewSet(), start: start, memberStates: map[string]*metrics.Gauge{}}
	for _, sibling := range cfg.Siblings {
		name := fmt.Sprintf(`claybarrow_member_state{controller=%q}`, sibling.Label)
		r.memberStates[sibling.Label] = r.set.NewGauge(name, nil)
	}
	if path := cfg.Operator.Telemetry.TraceFile; path != "" {
		if err := r.openTraces(path, cfg.Label); err != nil {
			return nil, fmt.Errorf("operators' settings: telemetry.trace_file: %w", err)
		}
	}
	return r, nil
}

// Close writes the spans that have not been written yet, until ctx ends. An error means that some
// may be lost.
func (r *Recorder) Close(ctx context.Context) error {
	if r.traceProvider == nil {
		return nil
	}
	return errors.Join(r.traceProvider.Shutdown(ctx), r.traceFile.Close())
}

// FailedOver records a change of leader: its times as metrics, and its steps as spans.
func (r *Recorder) FailedOver(failover controller.Failover) {
	r.countFailover(failover)
	r.traceFailover(failover)
}

// GateChanged records a change of the feature gate's state, as metrics and as a span with what the
// controllers stated.
func (r *Recorder) GateChanged(change controller.GateChange) {
	r.countGateChange(change)
	r.traceGateChange(change)
}
