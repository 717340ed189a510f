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

// Tracer returns the tracer of all hops.
func Tracer() trace.Tracer { return otel.Tracer(tracerName) }

// Propagator passes the trace to the next hop; baggage is left out, since it
// could carry a caller's secret.
func Propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

// StartTracing sends spans to the exporter: "none", "stdout" or the URL of an
// OTLP collector. The returned function flushes and stops.
func StartTracing(ctx context.Context, exporter, host string) (func(context.Context) error, error) {
	if exporter == "" || exporter == "none" {
		return func(context.Context) error { return nil }, nil
	}
	sink, err := newExporter(ctx, exporter)
	if err != nil {
		return nil, errors.Wrap(err, "traces: use none, stdout or an OTLP URL")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(sink),
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
