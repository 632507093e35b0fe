// Package telemetry tells operators what a controller counts and traces: metrics for a scraper and
// a span for each change of leader. Both are off unless the operators' settings ask for them, and
// cost nothing then.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"claybarrow/internal/config"
	"claybarrow/internal/controller"
	"claybarrow/internal/membership"
)

// Recorder takes what the core observes. Its methods are called by the core's goroutine and never
// wait: spans are written by a goroutine of their own, and lost when it falls behind.
type Recorder struct {
	set    *metrics.Set
	start  time.Time
	states map[string]*metrics.Gauge
	tracer trace.Tracer
	traces *sdktrace.TracerProvider
	file   io.Closer
}

var _ controller.Observer = (*Recorder)(nil)

// Enabled says whether the settings ask for any of it.
func Enabled(cfg *config.Config) bool {
	t := cfg.Operator.Telemetry
	return t.Metrics || t.TraceFile != ""
}

// New opens what the settings ask for. start is the zero of the core's steady clock.
func New(cfg *config.Config, start time.Time) (*Recorder, error) {
	r := &Recorder{set: metrics.NewSet(), start: start, states: map[string]*metrics.Gauge{}}
	for _, s := range cfg.Siblings {
		r.states[s.Label] = r.set.NewGauge(fmt.Sprintf(`claybarrow_member_state{controller=%q}`, s.Label), nil)
	}
	if path := cfg.Operator.Telemetry.TraceFile; path != "" {
		if err := r.openTraces(path, cfg.Label); err != nil {
			return nil, fmt.Errorf("operators' settings: telemetry.trace_file: %w", err)
		}
	}
	return r, nil
}

func (r *Recorder) openTraces(path, label string) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return errors.Join(err, file.Close())
	}
	r.file = file
	r.traces = sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "claybarrow"), attribute.String("service.instance.id", label))))
	r.tracer = r.traces.Tracer("claybarrow")
	return nil
}

// Close writes what has not been written yet.
func (r *Recorder) Close(ctx context.Context) error {
	if r.traces == nil {
		return nil
	}
	return errors.Join(r.traces.Shutdown(ctx), r.file.Close())
}

// ServeHTTP answers with the metrics in the text form that scrapers read.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	r.set.WritePrometheus(w)
}

// Detector takes the counters of the detector of failed controllers.
func (r *Recorder) Detector(health int, c membership.Counters) {
	r.set.GetOrCreateGauge("claybarrow_observer_health", nil).Set(float64(health))
	for name, value := range map[string]uint64{
		"probes": c.Probes, "answers": c.Answers, "failures": c.Failures, "witnesses_asked": c.WitnessesAsked,
		"witnesses_reached": c.WitnessesReached, "suspicions": c.Suspicions, "deaths": c.Deaths, "refutations": c.Refutations,
		"false_suspicions": c.FalseSuspicions, "false_deaths": c.FalseDeaths, "stalls": c.Stalls, "bytes_sent": c.BytesSent,
		"bytes_received": c.BytesReceived, "probes_for_others": c.OnBehalf,
	} {
		r.set.GetOrCreateCounter("claybarrow_membership_" + name + "_total").Set(value)
	}
}

// MemberChanged takes a change of state: 0 alive, 1 suspect, 2 dead, 3 left.
func (r *Recorder) MemberChanged(change membership.Change) {
	if g := r.states[change.Label]; g != nil {
		g.Set(float64(change.To))
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`claybarrow_member_changes_total{controller=%q,to=%q}`, change.Label, change.To)).Inc()
}

// Dropped counts a peer's message that was not taken.
func (r *Recorder) Dropped(drop membership.Drop) {
	reason := strings.ReplaceAll(string(drop.Reason), " ", "_")
	r.set.GetOrCreateCounter(fmt.Sprintf(`claybarrow_messages_dropped_total{reason=%q}`, reason)).Inc()
}

// GateChanged takes a change of the feature gate's state: a gauge (0 closed, 1 opening, 2 open, 3
// closing), and a span of no length with what the controllers stated.
func (r *Recorder) GateChanged(change controller.GateChange) {
	r.set.GetOrCreateGauge("claybarrow_feature_gate_state", nil).Set(float64(change.To))
	r.set.GetOrCreateCounter(fmt.Sprintf(`claybarrow_feature_gate_changes_total{to=%q}`, change.To)).Inc()
	if r.tracer == nil {
		return
	}
	attributes := []attribute.KeyValue{attribute.Int64("token", int64(change.Token)), attribute.String("from", change.From.String()),
		attribute.String("to", change.To.String()), attribute.String("why", change.Why)}
	for label, statement := range change.Statements {
		attributes = append(attributes, attribute.String("statement."+label, statement))
	}
	at := trace.WithTimestamp(r.start.Add(change.At))
	_, span := r.tracer.Start(context.Background(), "feature gate", at, trace.WithAttributes(attributes...))
	span.End(trace.WithTimestamp(r.start.Add(change.At)))
}

// JournalSized takes what the journal of ends holds.
func (r *Recorder) JournalSized(size controller.JournalSize) {
	for name, value := range map[string]int{"values": size.Values, "ends": size.Ends, "waiting": size.Waiting, "unreadable": size.Unreadable} {
		r.set.GetOrCreateGauge("claybarrow_end_journal_"+name, nil).Set(float64(value))
	}
}

// MachineRedirected counts a machine that was sent to another controller.
func (r *Recorder) MachineRedirected(_, to string) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`claybarrow_machines_sent_total{to=%q}`, to)).Inc()
}

// Rerouted counts a request that went to the leader by another controller.
func (r *Recorder) Rerouted() { r.set.GetOrCreateCounter("claybarrow_requests_detoured_total").Inc() }

// Retried counts a request to the leader that was sent once more.
func (r *Recorder) Retried() { r.set.GetOrCreateCounter("claybarrow_requests_retried_total").Inc() }

// Resumed takes a standstill.
func (r *Recorder) Resumed(stoodStill time.Duration, led bool) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`claybarrow_standstills_total{led="%t"}`, led)).Inc()
	r.set.GetOrCreateHistogram("claybarrow_standstill_seconds").Update(stoodStill.Seconds())
}

// FailedOver takes a change of leader: its times as metrics, and a span from the suspicion (or the
// end of the former leader's key) to the first placement, with its steps as children.
func (r *Recorder) FailedOver(h controller.Failover) {
	r.set.GetOrCreateCounter("claybarrow_handovers_total").Inc()
	if h.Loaded > 0 {
		r.set.GetOrCreateHistogram("claybarrow_handover_load_seconds").Update((h.Loaded - h.Elected).Seconds())
	}
	if h.LeaderKeyGone > 0 {
		r.set.GetOrCreateHistogram("claybarrow_handover_election_seconds").Update((h.Elected - h.LeaderKeyGone).Seconds())
	}
	if r.tracer == nil {
		return
	}
	steps := h.Steps()
	ctx, span := r.tracer.Start(context.Background(), "handover", trace.WithTimestamp(r.start.Add(steps[0].From)), trace.WithAttributes(
		attribute.Int64("token", int64(h.Token)), attribute.String("former", h.Former), attribute.Int("jobs", h.Jobs),
		attribute.Int("machines", h.Machines), attribute.Int("records_read_ahead", h.Preloaded)))
	for _, step := range steps {
		_, child := r.tracer.Start(ctx, step.Name, trace.WithTimestamp(r.start.Add(step.From)))
		child.End(trace.WithTimestamp(r.start.Add(step.To)))
	}
	span.End(trace.WithTimestamp(r.start.Add(steps[len(steps)-1].To)))
}
