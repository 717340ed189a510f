package telemetry

import (
	"context"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// WithTracing returns an option that creates a client and a server span for each
// unary call between hosts, in the trace of the request that caused the call.
// Streams are not traced, because they last as long as their hosts run.
func WithTracing() connect.Option { return connect.WithInterceptors(tracingInterceptor{}) }

type tracingInterceptor struct{}

// WrapUnary implements connect.Interceptor.
func (tracingInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
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
func (tracingInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (tracingInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// SetSpanStatus marks a span as failed if err is not nil. It does not end the span.
func SetSpanStatus(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
}

// TraceID returns the trace ID of the context, or "" if there is none.
func TraceID(ctx context.Context) string {
	if s := trace.SpanContextFromContext(ctx); s.HasTraceID() {
		return s.TraceID().String()
	}
	return ""
}
