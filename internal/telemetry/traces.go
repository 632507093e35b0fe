package telemetry

import (
	"context"
	"errors"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"claybarrow/internal/controller"
)

const (
	serviceName   = "claybarrow"
	traceFileMode = 0o644
)

// openTraces sets up the tracer, which appends spans to a file. The controller's label is the service instance ID.
func (r *Recorder) openTraces(path, label string) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
	if err != nil {
		return err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return errors.Join(err, file.Close())
	}
	r.traceFile = file
	r.traceProvider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", serviceName),
			attribute.String("service.instance.id", label))))
	r.tracer = r.traceProvider.Tracer(serviceName)
	return nil
}

// timestamp converts a reading of the controller's monotonic clock to a span timestamp.
func (r *Recorder) timestamp(reading time.Duration) trace.SpanEventOption {
	return trace.WithTimestamp(r.startTime.Add(reading))
}

// traceFailover writes a span with a child span for each known step of a failover: suspicion, election, load and first
// placement. The span starts with the suspicion or, if its time is unknown, with the removal of the former leader's key
// or with the election. It ends with the last known step.
func (r *Recorder) traceFailover(failover controller.Failover) {
	if r.tracer == nil {
		return
	}
	steps := failover.Steps()
	ctx, span := r.tracer.Start(context.Background(), "handover", r.timestamp(steps[0].From), trace.WithAttributes(
		attribute.Int64("token", int64(failover.Token)),
		attribute.String("former", failover.FormerLeader),
		attribute.Int("jobs", failover.Jobs),
		attribute.Int("machines", failover.Machines),
		attribute.Int("records_read_ahead", failover.Preloaded)))
	for _, step := range steps {
		_, child := r.tracer.Start(ctx, step.Name, r.timestamp(step.From))
		child.End(r.timestamp(step.To))
	}
	span.End(r.timestamp(steps[len(steps)-1].To))
}

// traceGateChange writes a span of zero duration with the reason and the statements of the other controllers.
func (r *Recorder) traceGateChange(change controller.GateChange) {
	if r.tracer == nil {
		return
	}
	attributes := []attribute.KeyValue{
		attribute.Int64("token", int64(change.Token)),
		attribute.String("from", change.From.String()),
		attribute.String("to", change.To.String()),
		attribute.String("why", change.Reason),
	}
	for label, statement := range change.Statements {
		attributes = append(attributes, attribute.String("statement."+label, statement))
	}
	_, span := r.tracer.Start(context.Background(), "feature gate", r.timestamp(change.At), trace.WithAttributes(attributes...))
	span.End(r.timestamp(change.At))
}
