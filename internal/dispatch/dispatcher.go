package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/outcome"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	maxAttempts    = 3
	firstByteBound = 30 * time.Second
)

// ErrYielded is what reading a batch answer returns after its place was given
// to an online request. The item did not end and is to be run again.
var ErrYielded = errors.New("batch request yielded its place to online work")

// Request is a request that has been admitted, as dispatch needs it.
type Request struct {
	Team    string
	Service string
	Class   Class
	Call    upstream.Call
}

// Dispatcher runs the attempts of a request.
type Dispatcher struct {
	pool    *Pool
	engine  upstream.Engine
	metrics *telemetry.Metrics
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(pool *Pool, engine upstream.Engine, metrics *telemetry.Metrics) *Dispatcher {
	return &Dispatcher{pool: pool, engine: engine, metrics: metrics}
}

// Answer is the beginning of an upstream's answer. The reader must call End
// exactly once.
type Answer struct {
	*upstream.Answer
	Upstream upstream.ID

	place  *Place
	cancel context.CancelFunc
}

// Ending is how the reading of an answer ended.
type Ending struct {
	Failed bool          // the answer broke off on the upstream's side
	Usage  outcome.Usage // tokens that were served; zero where not known
}

// End closes the answer and frees its place.
func (a *Answer) End(e Ending) {
	_ = a.Body.Close()
	a.cancel()
	a.place.Release(e.Failed)
}

// Do runs the request at the reserved place, and again elsewhere when the
// attempt failed and another one does no harm.
func (d *Dispatcher) Do(ctx context.Context, req Request, place *Place) (*Answer, error) {
	avoid := map[upstream.ID]bool{}
	for attempt := 1; ; attempt++ {
		answer, err := d.attempt(ctx, req, place, attempt)
		if err == nil {
			return answer, nil
		}
		place.Release(ctx.Err() == nil)
		failure := classify(ctx, err)
		canRepeat := req.Call.Repeatable || failure.Execution == apierr.NotRun
		if !canRepeat || attempt >= maxAttempts || ctx.Err() != nil {
			return nil, failure
		}
		avoid[place.ID] = true
		next, ok := d.pool.Reserve(Need{Service: req.Service, Class: req.Class, Avoid: avoid})
		if !ok {
			return nil, failure
		}
		place = next
	}
}

func (d *Dispatcher) attempt(ctx context.Context, req Request, place *Place, number int) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	ctx, span := telemetry.Tracer().Start(ctx, "upstream")
	defer span.End()
	span.SetAttributes(attribute.String("upstream", place.ID.String()), attribute.Int("attempt", number))
	call := req.Call
	call.Header = call.Header.Clone()
	if call.Header == nil {
		call.Header = http.Header{}
	}
	telemetry.Propagator().Inject(ctx, propagation.HeaderCarrier(call.Header))
	silence := time.AfterFunc(firstByteBound, cancel)
	answer, err := d.engine.Start(ctx, place.Address, call)
	silence.Stop()
	if err != nil {
		cancel()
		d.metrics.Attempts.WithLabelValues("failed").Inc()
		span.RecordError(err)
		return nil, err
	}
	d.metrics.Attempts.WithLabelValues("answered").Inc()
	return &Answer{Answer: answer, Upstream: place.ID, place: place, cancel: cancel}, nil
}

// classify turns a failed attempt into the caller's error.
func classify(ctx context.Context, err error) *apierr.Error {
	var e *apierr.Error
	switch {
	case ctx.Err() == context.Canceled:
		e = apierr.New(apierr.Cancelled, "the caller went away", "")
	case ctx.Err() == context.DeadlineExceeded:
		e = apierr.New(apierr.Timeout, "the request's time ran out", "send it again, or allow it more time").WithRetryAfter(time.Second)
	default:
		e = apierr.New(apierr.UpstreamError, "the upstream did not answer", "send the request again if running it twice does no harm").WithRetryAfter(time.Second)
	}
	e = e.WithCause(err)
	if upstream.CanHaveRun(err) {
		return e.MayHaveRun()
	}
	return e
}
