package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/masticscale/masticscale/internal/apierr"
	"github.com/masticscale/masticscale/internal/telemetry"
	"github.com/masticscale/masticscale/internal/upstream"
)

const (
	maxAttempts   = 3
	probeBound    = 2 * time.Second
	retryInterval = 50 * time.Millisecond
	retryWait     = 2 * time.Second
)

// ErrPreempted is what reading a batch answer returns after its place was given
// to an online request. The item did not end and is to be run again.
var ErrPreempted = errors.New("batch request yielded its place to online work")

// Request is a request that has been admitted, as dispatch needs it.
type Request struct {
	Team    string
	Service string
	Class   Class
	Call    upstream.Call
}

// Dispatcher runs the attempts of a request.
type Dispatcher struct {
	pool     *Pool
	engine   upstream.Engine
	suspects *Suspects
	budget   *retryBudget
	metrics  *telemetry.Metrics
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(pool *Pool, engine upstream.Engine, suspects *Suspects, metrics *telemetry.Metrics) *Dispatcher {
	return &Dispatcher{pool: pool, engine: engine, suspects: suspects, budget: newRetryBudget(), metrics: metrics}
}

// run is one request on its way through its attempts.
type run struct {
	Request
	print Fingerprint
	avoid map[upstream.ID]bool
}

// CheckQuarantine refuses a request that has crashed upstreams before.
func (d *Dispatcher) CheckQuarantine(req Request) error {
	if d.suspects.State(FingerprintOf(d.suspects.key, req)) == Quarantined {
		return quarantined()
	}
	return nil
}

// Do runs the request at the reserved place, and again elsewhere when the
// attempt failed and another one does no harm. A request whose upstream died
// runs again only alone.
func (d *Dispatcher) Do(ctx context.Context, req Request, place *Slot) (*Response, error) {
	r := &run{Request: req, print: FingerprintOf(d.suspects.key, req), avoid: map[upstream.ID]bool{}}
	d.budget.earn()
	switch d.suspects.State(r.print) {
	case Quarantined:
		place.Release(false)
		return nil, quarantined()
	case Suspected:
		place.Release(false)
		return d.runAlone(ctx, r, place.settle)
	}
	for attempt := 1; ; attempt++ {
		answer, err := d.attempt(ctx, r, place, attempt)
		if err == nil {
			return answer, nil
		}
		if place.Preempted() {
			place.Release(false)
			return nil, ErrPreempted
		}
		failure := classify(ctx, err)
		died := d.afterFailure(ctx, r, place, failure)
		switch {
		case !d.mayRepeat(ctx, r, failure, attempt):
			place.Settle(0)
			return nil, failure
		case died:
			return d.runAlone(ctx, r, place.settle)
		}
		next, ok := d.reserveAgain(ctx, r)
		if !ok {
			place.Settle(0)
			return nil, failure
		}
		next.settle = place.settle
		place = next
	}
}

// reserveAgain finds a place for another attempt. It waits for one only while an
// upstream that has not failed the request may become free.
func (d *Dispatcher) reserveAgain(ctx context.Context, r *run) (*Slot, bool) {
	for waited := time.Duration(0); ; waited += retryInterval {
		place, ok := d.pool.Reserve(SlotRequest{Service: r.Service, Class: r.Class, Avoid: r.avoid})
		if ok || waited >= retryWait || !d.pool.Reachable(r.Service, r.avoid) {
			return place, ok
		}
		if !sleep(ctx, retryInterval) {
			return nil, false
		}
	}
}

// mayRepeat reports whether another attempt does no harm and is affordable.
func (d *Dispatcher) mayRepeat(ctx context.Context, r *run, failure *apierr.Error, attempt int) bool {
	if ctx.Err() != nil || attempt >= maxAttempts {
		return false
	}
	if !r.Call.Repeatable && failure.Execution != apierr.NotRun {
		return false
	}
	return d.budget.spend()
}

// afterFailure frees the place, learns what became of the upstream and suspects
// the request when the upstream died under it.
func (d *Dispatcher) afterFailure(ctx context.Context, r *run, place *Slot, failure *apierr.Error) bool {
	if ctx.Err() != nil {
		place.Release(false)
		return false
	}
	r.avoid[place.ID] = true
	place.Release(true)
	health := d.probe(ctx, place)
	if health != upstream.Gone || failure.Execution == apierr.NotRun {
		return false
	}
	d.suspects.Suspect(ctx, r.print)
	return true
}

// probe checks the upstream's health and passes the result on.
func (d *Dispatcher) probe(ctx context.Context, place *Slot) upstream.Health {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeBound)
	defer cancel()
	health := upstream.HealthOf(d.engine.Healthy(ctx, place.Address))
	d.pool.Observe(place.ID, health)
	return health
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
