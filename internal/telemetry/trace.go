package telemetry

import (
	"context"
	"os"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

const tracerName = "github.com/masticscale/masticscale"

// Tracer returns the tracer for all spans of the host.
func Tracer() trace.Tracer { return otel.Tracer(tracerName) }

// Propagator returns the propagator for trace headers. It does not propagate
// baggage, which could contain a caller's secret.
func Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

// StartTracing sets the global tracer provider to one that sends spans to the
// exporter: "none", "stdout" or the URL of an OTLP collector. The returned
// function flushes the spans and stops the provider.
func StartTracing(ctx context.Context, exporter, host string) (func(context.Context) error, error) {
	if exporter == "" || exporter == "none" {
		return func(context.Context) error { return nil }, nil
	}
	spanExporter, err := newExporter(ctx, exporter)
	if err != nil {
		return nil, errors.Wrap(err, "traces: use none, stdout or an OTLP URL")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(spanExporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "masticscale"),
			attribute.String("host.name", host),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, exporter string) (sdktrace.SpanExporter, error) {
	if exporter == "stdout" {
		return stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	}
	return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(exporter))
}
