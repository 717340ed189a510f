package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"github.com/masticscale/masticscale/internal/outcome"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
)

// Response is the head of an upstream's response with its unread body. The
// reader must call End exactly once.
type Response struct {
	*upstream.Response
	Upstream upstream.ID

	slot   *Slot
	cancel context.CancelFunc
	ttfb   time.Duration
	onEnd  func(failed bool) // reports the end of the body to the dispatcher
}

// ReadResult describes how reading a response body ended.
type ReadResult struct {
	Failed bool          // the upstream cut the response short
	Usage  outcome.Usage // tokens served; zero if unknown
}

// End closes the response body and releases the slot.
func (r *Response) End(result ReadResult) {
	_ = r.Body.Close()
	r.cancel()
	failed := result.Failed && !r.slot.Preempted()
	if !failed {
		r.slot.pool.recordServed(r.slot, r.ttfb)
	}
	if n := result.Usage.Total(); n > 0 {
		r.slot.Settle(n)
	}
	r.slot.Release(failed)
	r.onEnd(failed)
}

func (d *Dispatcher) attempt(ctx context.Context, r *requestState, slot *Slot, number int) (*Response, error) {
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	ctx, span := telemetry.Tracer().Start(ctx, "upstream")
	defer span.End()
	span.SetAttributes(attribute.String("upstream", slot.ID.String()), attribute.Int("attempt", number))
	if !slot.bindAttempt(cancel) {
		cancel()
		return nil, &upstream.SendError{Cause: ErrPreempted}
	}
	call := r.Call
	call.Fresh = call.Fresh || number > 1
	call.Header = call.Header.Clone()
	if call.Header == nil {
		call.Header = http.Header{}
	}
	telemetry.Propagator().Inject(ctx, propagation.HeaderCarrier(call.Header))
	start := time.Now()
	stop := d.limitFirstByte(r, cancel)
	response, err := d.engine.Start(ctx, slot.Address, call)
	stop()
	if err != nil {
		cancel()
		d.metrics.Attempts.WithLabelValues(attemptLabel(slot, "failed")).Inc()
		span.RecordError(err)
		return nil, err
	}
	d.metrics.Attempts.WithLabelValues("answered").Inc()
	a := &Response{Response: response, Upstream: slot.ID, slot: slot, cancel: cancel}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		a.ttfb = time.Since(start)
	}
	body := &attemptBody{ReadCloser: response.Body, slot: slot}
	if endsWithConnection(response) {
		body.checkEnd = func() error { return d.checkEnd(ctx, slot) }
	}
	response.Body = body
	a.onEnd = func(failed bool) { d.handleBrokenResponse(parent, r, slot, failed && body.broken.Load()) }
	return a, nil
}

// limitFirstByte cancels the attempt if its first byte comes too late, unless the returned
// function is called before. A batch request has no such limit: its response isn't
// streamed, so the first byte comes at the end of the run, and the context bounds it.
func (d *Dispatcher) limitFirstByte(r *requestState, cancel context.CancelFunc) (stop func()) {
	if r.Class == Batch {
		return func() {}
	}
	timer := time.AfterFunc(d.pool.firstByteTimeout(), cancel)
	return func() { timer.Stop() }
}

func attemptLabel(slot *Slot, fallback string) string {
	if slot.Preempted() {
		return "yielded"
	}
	return fallback
}

// handleBrokenResponse marks the request as suspected, unless it is a batch request, if
// its upstream died in the middle of the response. The response is not retried, since the caller may
// already have received a part of it.
func (d *Dispatcher) handleBrokenResponse(ctx context.Context, r *requestState, slot *Slot, broken bool) {
	isGone := false
	switch {
	case ctx.Err() != nil:
		isGone = !slot.Preempted() && r.mayBeQuarantined() && d.probe(ctx, slot) == upstream.Gone
	case broken:
		isGone = d.probe(ctx, slot) == upstream.Gone
	}
	if isGone {
		d.suspect(ctx, r)
	}
}

// attemptBody is a response body that distinguishes preemption from a broken
// connection.
type attemptBody struct {
	io.ReadCloser
	slot     *Slot
	broken   atomic.Bool
	checkEnd func() error // of a body that ends with its connection; nil for others
}

func (b *attemptBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && b.checkEnd != nil {
		incomplete := b.checkEnd()
		b.checkEnd = func() error { return incomplete }
		if incomplete != nil {
			err = incomplete
		}
	}
	if b.slot.Preempted() {
		return n, ErrPreempted
	}
	if err != io.EOF {
		b.broken.Store(true)
	}
	return n, err
}
