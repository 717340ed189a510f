package telemetry_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	peerv1 "github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1"
	"github.com/masticscale/masticscale/internal/peer/gen/masticscale/peer/v1/peerv1connect"
	"github.com/masticscale/masticscale/internal/telemetry"
)

// adoptServer implements Adopt. All other calls fail as unimplemented.
type adoptServer struct {
	peerv1connect.UnimplementedFleetServiceHandler
}

func (adoptServer) Adopt(context.Context, *connect.Request[peerv1.AdoptRequest]) (*connect.Response[peerv1.AdoptResponse], error) {
	return connect.NewResponse(&peerv1.AdoptResponse{}), nil
}

// TestCallsBetweenHostsAreTraced checks that successful and failed calls to
// another host create spans in the trace of the request.
func TestCallsBetweenHostsAreTraced(t *testing.T) {
	c := qt.New(t)
	spans := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	previous := otel.GetTracerProvider()
	otel.SetTracerProvider(provider)
	defer otel.SetTracerProvider(previous)
	_, handler := peerv1connect.NewFleetServiceHandler(adoptServer{}, telemetry.WithTracing())
	server := httptest.NewServer(handler)
	defer server.Close()
	client := peerv1connect.NewFleetServiceClient(server.Client(), server.URL, telemetry.WithTracing())

	ctx, root := telemetry.Tracer().Start(context.Background(), "gateway")
	_, err := client.Adopt(ctx, connect.NewRequest(&peerv1.AdoptRequest{}))
	c.Assert(err, qt.IsNil)
	_, err = client.EndJob(ctx, connect.NewRequest(&peerv1.EndJobRequest{}))
	c.Assert(err, qt.IsNotNil)
	root.End()

	c.Assert(telemetry.TraceID(ctx), qt.Equals, root.SpanContext().TraceID().String())
	c.Assert(telemetry.TraceID(context.Background()), qt.Equals, "")
	got := spans.GetSpans()
	c.Assert(got, qt.HasLen, 5) // the request, and a client and a server span for each of two calls
	kinds := map[trace.SpanKind]int{}
	for _, s := range got {
		c.Assert(s.SpanContext.TraceID(), qt.Equals, root.SpanContext().TraceID())
		kinds[s.SpanKind]++
	}
	c.Assert(kinds[trace.SpanKindClient], qt.Equals, 2)
	c.Assert(kinds[trace.SpanKindServer], qt.Equals, 2)
}
