package telemetry

import (
	"context"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// WithTracing gives each call between hosts a span on both sides, which belong to
// the trace of the request that led to the call. Streams, which last as long as
// their hosts, get none.
func WithTracing() connect.Option { return connect.WithInterceptors(callTraces{}) }

type callTraces struct{}

// WrapUnary implements connect.Interceptor.
func (callTraces) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		kind := trace.SpanKindClient
		carrier := propagation.HeaderCarrier(request.Header())
		if !request.Spec().IsClient {
			kind = trace.SpanKindServer
			ctx = Propagator().Extract(ctx, carrier)
		}
		ctx, span := Tracer().Start(ctx, "peer", trace.WithSpanKind(kind), trace.WithAttributes(attribute.String("rpc.method", request.Spec().Procedure)))
		defer span.End()
		if kind == trace.SpanKindClient {
			Propagator().Inject(ctx, carrier)
		}
		response, err := next(ctx, request)
		SetSpanStatus(span, err)
		return response, err
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (callTraces) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (callTraces) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// SetSpanStatus notes how the work of a span has ended.
func SetSpanStatus(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
}

// TraceID returns the id of the context's trace, or "" where no traces are kept.
func TraceID(ctx context.Context) string {
	if s := trace.SpanContextFromContext(ctx); s.HasTraceID() {
		return s.TraceID().String()
	}
	return ""
}
