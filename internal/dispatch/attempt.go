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

// Response is the beginning of an upstream's answer. The reader must call End
// exactly once.
type Response struct {
	*upstream.Answer
	Upstream upstream.ID

	place     *Slot
	cancel    context.CancelFunc
	firstByte time.Duration
	ended     func(failed bool) // tells the dispatcher
}

// ReadResult is how the reading of an answer ended.
type ReadResult struct {
	Failed bool          // the answer broke off on the upstream's side
	Usage  outcome.Usage // tokens that were served; zero where not known
}

// End closes the answer and frees its place.
func (a *Response) End(e ReadResult) {
	_ = a.Body.Close()
	a.cancel()
	failed := e.Failed && !a.place.Preempted()
	if !failed {
		a.place.pool.served(a.place, a.firstByte)
	}
	if n := e.Usage.Total(); n > 0 {
		a.place.Settle(n)
	}
	a.place.Release(failed)
	a.ended(failed)
}

func (d *Dispatcher) attempt(ctx context.Context, r *run, place *Slot, number int) (*Response, error) {
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	ctx, span := telemetry.Tracer().Start(ctx, "upstream")
	defer span.End()
	span.SetAttributes(attribute.String("upstream", place.ID.String()), attribute.Int("attempt", number))
	if !place.run(cancel) {
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
	silence := time.AfterFunc(d.pool.firstByteBound(), cancel)
	start := time.Now()
	answer, err := d.engine.Start(ctx, place.Address, call)
	silence.Stop()
	if err != nil {
		cancel()
		d.metrics.Attempts.WithLabelValues(result(place, "failed")).Inc()
		span.RecordError(err)
		return nil, err
	}
	d.metrics.Attempts.WithLabelValues("answered").Inc()
	a := &Response{Answer: answer, Upstream: place.ID, place: place, cancel: cancel}
	if strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		a.firstByte = time.Since(start)
	}
	body := &attemptBody{ReadCloser: answer.Body, place: place}
	answer.Body = body
	a.ended = func(failed bool) { d.afterAnswer(parent, r, place, failed && body.broken.Load()) }
	return a, nil
}

func result(place *Slot, otherwise string) string {
	if place.Preempted() {
		return "yielded"
	}
	return otherwise
}

// afterAnswer suspects the request when its upstream died in mid-answer. The
// answer has begun to reach the caller, so nothing is tried again here.
func (d *Dispatcher) afterAnswer(ctx context.Context, r *run, place *Slot, broken bool) {
	if !broken || ctx.Err() != nil {
		return
	}
	if d.probe(ctx, place) == upstream.Gone {
		d.suspects.Suspect(ctx, r.print)
	}
}

// attemptBody tells a yielded place from a broken connection.
type attemptBody struct {
	io.ReadCloser
	place  *Slot
	broken atomic.Bool
}

func (b *attemptBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if b.place.Preempted() {
		return n, ErrPreempted
	}
	if err != io.EOF {
		b.broken.Store(true)
	}
	return n, err
}
